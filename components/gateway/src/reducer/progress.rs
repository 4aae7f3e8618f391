//! The state of an active request.

use std::sync::Arc;

use errors::Code;
use fleet::{InstanceId, Millis};

use crate::choice::Availability;
use crate::event::{Arrival, RunnerScope};
use crate::runner::RunnerIncarnation;

/// The incarnation of a runner that a request was sent to.
#[derive(Clone, Debug)]
pub(super) struct SelectedRunner {
    pub(super) id: InstanceId,
    pub(super) incarnation: RunnerIncarnation,
    /// Whether this gateway may send the request without the sidecar, although the runner has a
    /// rate limit.
    pub(super) has_token: bool,
}

/// An attempt of a request at a runner.
#[derive(Clone, Debug)]
pub(super) struct ActiveAttempt {
    pub(super) runner: SelectedRunner,
    /// When it was sent.
    pub(super) sent_at: Millis,
    /// Whether its response has begun.
    pub(super) answered: bool,
    /// Whether the request was suspected of crashing runners when the runner was selected.
    pub(super) is_suspect: bool,
}

/// An active request.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) arrival: Arrival,
    /// The runners that it may use. Stored here because each pass over the queue needs it.
    pub(super) scope: Arc<RunnerScope>,
    pub(super) tried: Vec<InstanceId>,
    /// How many of the tried runners it was not sent to because no connection could be opened.
    pub(super) unreachable: u32,
    /// The current attempt.
    pub(super) current: Option<ActiveAttempt>,
    /// The attempts whose runners are silent and may go on.
    pub(super) stalled: Vec<ActiveAttempt>,
    /// Whether a runner whose attempt has ended or whose response has begun may have run it.
    pub(super) may_have_run: bool,
    /// Until when it may wait for a slot.
    pub(super) wait_until: Millis,
    /// Until when a response is on time.
    pub(super) on_time_until: Millis,
    /// Whether it looks like a repeated attempt of a caller that was refused.
    pub(super) is_repeated: bool,
    /// Whether the last runner selected for it denied the reservation.
    pub(super) was_denied: bool,
    /// How long reservations have been short at the runners that denied one, in milliseconds.
    pub(super) short_ms: u64,
    /// How often a runner was selected for it.
    pub(super) queries: u32,
    /// Why it was retried or refused, if it was.
    pub(super) reason: Code,
}

impl Progress {
    /// Whether a runner may have run it or may be running it in silence.
    pub(super) fn counts_as_run(&self) -> bool {
        self.may_have_run || !self.stalled.is_empty()
    }

    /// Removes the stalled attempt at a runner.
    pub(super) fn take_stalled(&mut self, runner: &InstanceId) -> Option<ActiveAttempt> {
        let index = self.stalled.iter().position(|it| &it.runner.id == runner)?;
        Some(self.stalled.remove(index))
    }

    /// Removes all attempts, which end without a result.
    pub(super) fn take_attempts(&mut self) -> Vec<ActiveAttempt> {
        let mut attempts = std::mem::take(&mut self.stalled);
        attempts.extend(self.current.take());
        attempts
    }

    /// How many runners the request was sent to.
    pub(super) fn sends(&self) -> u32 {
        (self.tried.len() as u32).saturating_sub(self.unreachable)
    }

    /// Whether waiting for a slot is useless: its time is over, or no runner is known to serve
    /// before that. If all runners lack a required version, callers are thus refused at once
    /// instead of after their waiting time. A request that may have run waits anyway, because its
    /// caller cannot retry it.
    pub(super) fn should_stop_waiting(&self, now: Millis, availability: Availability) -> bool {
        let serves_too_late = match availability {
            Availability::ServesIn(left) | Availability::Limited(left) => {
                now.plus(left) >= self.wait_until
            }
            Availability::NotServing => true,
            Availability::Serving | Availability::Unknown => false,
        };
        now >= self.wait_until || (serves_too_late && !self.counts_as_run())
    }

    /// The code of a refusal in this state of the runners.
    pub(super) fn refusal(&self, availability: Availability) -> Code {
        let is_for_lack_of_capacity =
            matches!(self.reason, Code::Overloaded | Code::Withdrawn | Code::LaterTry);
        let is_home_unavailable = match availability {
            Availability::NotServing => true,
            // A runner that serves and is paused for a moment counts as full.
            Availability::ServesIn(left) => left > 0,
            Availability::Serving | Availability::Limited(_) | Availability::Unknown => false,
        };
        if is_for_lack_of_capacity && matches!(availability, Availability::Limited(_)) {
            return Code::RateLimited;
        }
        if is_for_lack_of_capacity && self.arrival.homes.is_bound() && is_home_unavailable {
            Code::NoHome
        } else {
            self.reason
        }
    }
}
