//! Runners that are missing from the list when the store is back after an outage.
//!
//! Rows expire while their runners cannot reach the store. Live runners write them again within two seconds
//! after its return; removing them at once would leave no runner to serve requests. Such an outage removes
//! most rows. A single missing runner has left, and is removed at once: if only this machine was
//! disconnected, the store has been right all along.

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::InstanceId;
use uptime::Instant;

/// How long after the store's return runners that it no longer lists are kept: two seconds for the runner to
/// write its row again, and half a second until this process receives it.
const REMOVAL_DELAY: Duration = Duration::from_millis(2500);

/// The runners that are missing from the list since the store is back.
#[derive(Debug, Default)]
pub struct DelayedRemovals {
    back_at: Option<Instant>,
    /// Whether the store was restored from an older copy. Then any single row written after the copy may be
    /// lost.
    restored_from_copy: bool,
    missing: BTreeSet<InstanceId>,
}

impl DelayedRemovals {
    /// Records that the store answers again after an outage.
    pub fn record_store_return(&mut self, now: Instant) {
        self.back_at = Some(now);
        self.restored_from_copy = false;
    }

    /// Records that the store was restored from an older copy.
    pub fn record_store_restore(&mut self, now: Instant) {
        self.back_at = Some(now);
        self.restored_from_copy = true;
    }

    /// Handles a runner that is no longer listed, where `gone` of `known` runners disappeared at once.
    /// Returns whether its removal is delayed.
    pub fn delay(&mut self, now: Instant, id: &InstanceId, gone: usize, known: usize) -> bool {
        if self.is_over(now) || (2 * gone < known && !self.restored_from_copy) {
            return false;
        }
        self.missing.insert(id.clone());
        true
    }

    /// Records that a runner is listed.
    pub fn record_listed(&mut self, id: &InstanceId) {
        self.missing.remove(id);
    }

    /// Removes and returns the runners whose delay is over.
    pub fn take_due(&mut self, now: Instant) -> BTreeSet<InstanceId> {
        if self.is_over(now) {
            std::mem::take(&mut self.missing)
        } else {
            BTreeSet::new()
        }
    }

    /// The time until the missing runners are removed, if there are any.
    pub fn time_left(&self, now: Instant) -> Option<Duration> {
        let back_at = self.back_at.filter(|_| !self.missing.is_empty())?;
        Some((back_at + REMOVAL_DELAY).saturating_duration_since(now))
    }

    fn is_over(&self, now: Instant) -> bool {
        self.back_at.is_none_or(|at| now >= at + REMOVAL_DELAY)
    }
}
