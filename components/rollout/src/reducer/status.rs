//! Processes status reports of the runner.

use fleet::{IncarnationChange, IncarnationReport, Millis};

use super::{Rollout, ORDER_TIMEOUT_MS};
use crate::event::{Effect, RunnerStatus};
use crate::rate::RateLimiter;
use crate::target::Step;

impl Rollout {
    pub(super) fn apply_status(&mut self, now: Millis, status: RunnerStatus) -> Vec<Effect> {
        let reported = IncarnationReport { born: status.started_at_ms, sequence: status.sequence };
        let change =
            self.incarnation.map_or(IncarnationChange::Same, |known| known.compare(reported));
        let effects = match change {
            IncarnationChange::Same => Vec::new(),
            change => vec![Effect::LogIncarnationChange(change, reported)],
        };
        if matches!(change, IncarnationChange::Earlier | IncarnationChange::StartTimeMissing) {
            return effects;
        }
        self.incarnation = Some(reported);
        let has_restarted = change == IncarnationChange::Restarted;
        if has_restarted {
            self.slots.reset();
            self.pinned.clear();
            self.rate = RateLimiter::default();
            self.waiting_since = None;
        }
        self.slots.apply_report(now, status.running);
        self.pinned.apply_report(now, status.running);
        self.status_at = now;
        self.waiting_since = match status.waiting {
            0 => None,
            _ => self.waiting_since.or(Some(now)),
        };
        let had_status = self.status.replace(status.clone()).is_some();
        if has_restarted || !had_status {
            self.cold.assume_started(now);
        }
        let Some(target) = &mut self.current else {
            return effects;
        };
        let holds_target = status.version.is_some_and(|it| it >= target.version);
        match target.step {
            // Chunks that were written to the previous incarnation are written again: the order must refer to
            // the state of the new incarnation.
            Step::Staging(_) if has_restarted => target.step = Step::Waiting(now),
            Step::Served if !holds_target && !status.is_executing_order => {
                target.step = if target.is_complete() {
                    Step::Waiting(now)
                } else {
                    Step::FetchingManifest { not_before: now, is_requested: false }
                };
            }
            Step::Served => {}
            _ if holds_target && !status.is_executing_order => target.step = Step::Served,
            // The runner starts to load the version only once its last request has ended.
            Step::Ordered(_, sequence) if status.is_executing_order && status.running > 0 => {
                target.step = Step::Ordered(now, sequence);
            }
            Step::Ordered(at, sequence) => {
                let has_timed_out =
                    now.since(at).0 > ORDER_TIMEOUT_MS && !status.is_executing_order;
                let has_completed = status.sequence > sequence && !status.is_executing_order;
                if has_timed_out || has_completed || has_restarted {
                    target.step = Step::Waiting(now);
                }
            }
            _ => {}
        }
        effects
    }
}
