//! A request under way, as the reducer keeps it.

use std::sync::Arc;

use errors::Code;
use fleet::{InstanceId, Millis};

use crate::choice::Outlook;
use crate::event::{Arrival, Reach};
use crate::runner::RunnerLife;

/// A life of a runner that a request was sent to.
#[derive(Clone, Debug)]
pub(super) struct Chosen {
    pub(super) id: InstanceId,
    pub(super) life: RunnerLife,
    /// Whether this gateway may send it by itself, though the runner names a rate limit.
    pub(super) has_turn: bool,
}

/// A request under way.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) arrival: Arrival,
    /// The runners that it may go to. Each pass over the queue asks for it.
    pub(super) reach: Arc<Reach>,
    pub(super) tried: Vec<InstanceId>,
    /// The runner of the attempt under way.
    pub(super) current: Option<Chosen>,
    /// When that attempt was sent.
    pub(super) sent_at: Millis,
    /// Whether its answer has begun.
    pub(super) answered: bool,
    /// Whether some runner may have run it.
    pub(super) may_have_run: bool,
    /// Until when it may wait for a place.
    pub(super) wait_until: Millis,
    /// Until when an answer is on time.
    pub(super) aim_until: Millis,
    /// Whether it looks like a later try of a caller that was refused.
    pub(super) is_later: bool,
    /// Whether the last runner that was chosen for it had no place.
    pub(super) was_denied: bool,
    /// How long places have been short at the runners that had none for it, in milliseconds.
    pub(super) short_ms: u64,
    /// Whether it was suspected of crashing runners when the runner of the attempt under way was chosen.
    pub(super) is_suspect: bool,
    /// How often some runner was chosen for it.
    pub(super) asked: u32,
    /// Why it was sent again or refused, if it was.
    pub(super) reason: Code,
}

impl Progress {
    /// Whether waiting for a place is of no more use: its time is over, or it is known that no runner
    /// serves before that. Where all runners lack a version that is due, callers are then told at once and
    /// not when they have waited out their time. What may have run already waits all the same, for its
    /// caller cannot come back.
    pub(super) fn waits_in_vain(&self, now: Millis, outlook: Outlook) -> bool {
        let serves_too_late = match outlook {
            Outlook::ServesIn(left) | Outlook::Limited(left) => now.plus(left) >= self.wait_until,
            Outlook::NotServing => true,
            Outlook::Serving | Outlook::Unknown => false,
        };
        now >= self.wait_until || (serves_too_late && !self.may_have_run)
    }

    /// Why it is refused, while the runners that it may go to stand so.
    pub(super) fn refusal(&self, outlook: Outlook) -> Code {
        let for_want_of_place =
            matches!(self.reason, Code::Overloaded | Code::Withdrawn | Code::LaterTry);
        let is_missing = match outlook {
            Outlook::NotServing => true,
            // One that serves and is paused for a moment is full.
            Outlook::ServesIn(left) => left > 0,
            Outlook::Serving | Outlook::Limited(_) | Outlook::Unknown => false,
        };
        if for_want_of_place && matches!(outlook, Outlook::Limited(_)) {
            return Code::RateLimited;
        }
        if for_want_of_place && self.arrival.homes.is_bound() && is_missing {
            Code::NoHome
        } else {
            self.reason
        }
    }
}
