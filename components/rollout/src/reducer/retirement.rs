//! Ensures that no request starts at the runner on a version after its deadline, regardless of who sent the
//! request and when.
//!
//! Slots are granted only until well before the deadline, but a request may be in transit for longer than any
//! timeout: in the queue of a slow link, or until it is retransmitted after a loss. Gateways can't recall it,
//! and the runner doesn't know the deadline. So a runner that still holds the version shortly before the
//! deadline is ordered to keep only a part of it, and rejects requests that arrive afterwards.

use fleet::Millis;

use super::{Rollout, ORDER_RETRY_MS};
use crate::event::Effect;
use crate::target::Step;

/// How long before its deadline a version is dropped, in milliseconds. The last request with a slot has
/// started by then, and a sidecar that is short of processor time still has enough time.
const RETIRE_MARGIN_MS: u64 = 300;
/// How long before its deadline a version is dropped even though the newer one is being written to the
/// runner, in milliseconds. Writing may fail or take long.
const STAGING_RETIRE_MARGIN_MS: u64 = 150;

impl Rollout {
    /// Returns whether the deadline of the version at the runner is about to pass. An order can't be revoked,
    /// so deadlines derived from an assumed age are ignored.
    pub(super) fn is_deadline_near(&self, now: Millis) -> bool {
        let held_version = self.status.as_ref().and_then(|it| it.version).unwrap_or(0);
        self.is_expired(now, held_version)
    }

    /// Returns whether a version has been dropped by now, or would be dropped at once if the runner loaded
    /// it.
    pub(super) fn is_expired(&self, now: Millis, version: u64) -> bool {
        self.is_deadline_within(now, version, RETIRE_MARGIN_MS)
    }

    fn is_deadline_within(&self, now: Millis, version: u64, margin_ms: u64) -> bool {
        let deadline = self.announced.known_deadline_of(version, self.options.version_ms);
        deadline.is_some_and(|it| now.plus(margin_ms) >= it)
    }

    /// Drops the version at the runner if its deadline is about to pass. An order for a newer version has the
    /// same effect, but only once it is accepted; until then it may fail and be retried for any length of
    /// time.
    pub(super) fn retire_when_due(&mut self, now: Millis) -> Option<Effect> {
        let status = self.status.as_ref()?;
        let (version, sequence) = (status.version?, status.sequence);
        if !self.is_deadline_near(now) || !self.is_runner_ready_for_order() {
            return None;
        }
        let is_staging =
            self.current.as_ref().is_some_and(|it| matches!(it.step, Step::Staging(_)));
        if is_staging && !self.is_deadline_within(now, version, STAGING_RETIRE_MARGIN_MS) {
            return None;
        }
        if self.retired_at.is_some_and(|at| now.since(at).0 < ORDER_RETRY_MS) {
            return None;
        }
        self.retired_at = Some(now);
        self.ordered_at = Some(now);
        self.own_order_at = now;
        Some(Effect::Retire { version, sequence })
    }
}
