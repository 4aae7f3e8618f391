//! Nothing begins at the runner on a version behind its bound, whoever sent it and whenever that was.
//!
//! A place is given well before the bound, but a request may be on its way for longer than anybody waits for it: in the
//! queue of a narrow link, or until it is sent again where it was lost. Gateways can't take it back, and the runner
//! doesn't know the bound. So a runner that still holds the version shortly before its bound is ordered to keep a part of
//! it only, and turns away what comes.

use fleet::Millis;

use super::{Rollout, ORDER_PAUSE};
use crate::event::Effect;
use crate::target::Step;

/// How long before its bound a version is given up, in milliseconds: later than the last request with a place has begun,
/// and early enough for a sidecar that is short of processor time.
const RETIRE_MARGIN: u64 = 300;
/// How long before its bound a version is given up although the newer one is just being put at the runner, in
/// milliseconds: that may fail, or take long.
const STAGED_MARGIN: u64 = 150;

impl Rollout {
    /// Whether the bound of the version that the runner holds is about to pass. An order can't be taken back, so a bound
    /// that is only assumed doesn't count.
    pub(super) fn must_give_up(&self, now: Millis) -> bool {
        let held = self.status.as_ref().and_then(|it| it.version).unwrap_or(0);
        self.is_past(now, held)
    }

    /// Whether a version is given up by now, or would be at once if the runner took it.
    pub(super) fn is_past(&self, now: Millis, version: u64) -> bool {
        self.is_bound_within(now, version, RETIRE_MARGIN)
    }

    fn is_bound_within(&self, now: Millis, version: u64, margin_ms: u64) -> bool {
        let bound = self.names.known_bound_of(version, self.options.version_ms);
        bound.is_some_and(|it| now.plus(margin_ms) >= it)
    }

    /// Gives up the version that the runner holds, where its bound is about to pass. An order for a newer one does the same,
    /// but only once it is taken: until then it may fail, and be tried again for any time.
    pub(super) fn retire_when_due(&mut self, now: Millis) -> Option<Effect> {
        let status = self.status.as_ref()?;
        let (version, sequence) = (status.version?, status.sequence);
        if !self.must_give_up(now) || !self.is_runner_free() {
            return None;
        }
        let is_staged = self.current.as_ref().is_some_and(|it| it.step == Step::Staging);
        if is_staged && !self.is_bound_within(now, version, STAGED_MARGIN) {
            return None;
        }
        if self.retired_at.is_some_and(|at| now.since(at).0 < ORDER_PAUSE) {
            return None;
        }
        self.retired_at = Some(now);
        self.ordered_at = Some(now);
        self.own_order_at = now;
        Some(Effect::Retire { version, sequence })
    }
}
