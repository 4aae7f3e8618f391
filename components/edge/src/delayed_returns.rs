//! Runners that the store lists again because it was restored from an older copy.
//!
//! A runner whose row was deleted shortly before the restore may have left for good, so a process that knew
//! of the deletion does not use it yet. It uses the runner once the runner writes its row again, or once the
//! row has existed for longer than the rows of stopped runners do.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::InstanceId;
use gateway::RunnerRecord;
use platform::store::Change;
use uptime::Instant;

/// The greatest age of a copy: a row deleted before that is not in it. Platforms keep no longer history.
const MAX_COPY_AGE: Duration = Duration::from_secs(20);
/// How long a row that came back with a copy is ignored: longer than three heartbeats, after which a row that
/// is not renewed has expired.
const RETURN_DELAY: Duration = Duration::from_secs(4);

/// Deleted rows, and those that came back with a copy.
#[derive(Debug, Default)]
pub struct DelayedReturns {
    removed_at: BTreeMap<InstanceId, Instant>,
    delayed: BTreeMap<InstanceId, (RunnerRecord, Instant)>,
}

impl DelayedReturns {
    /// Records that a row is no longer listed.
    pub fn record_removed(&mut self, now: Instant, id: &InstanceId) {
        self.removed_at.retain(|_, at| now.saturating_duration_since(*at) <= MAX_COPY_AGE);
        self.removed_at.insert(id.clone(), now);
        self.delayed.remove(id);
    }

    /// Records that a row was written, readable or not.
    pub fn record_listed(&mut self, id: &InstanceId) {
        self.removed_at.remove(id);
        self.delayed.remove(id);
    }

    /// Handles a row in the listing of a restored copy. Returns whether its use is delayed.
    pub fn delay(&mut self, now: Instant, change: &Change) -> bool {
        let Change::Runner(record) = change else {
            return false;
        };
        let runner_removed_at = self.removed_at.get(&record.id);
        let is_back =
            runner_removed_at.is_some_and(|at| now.saturating_duration_since(*at) <= MAX_COPY_AGE);
        if is_back {
            log::info!(runner = record.id.0.as_str(); "runner listed again by the store's copy");
            self.delayed.insert(record.id.clone(), (record.clone(), now + RETURN_DELAY));
        }
        is_back
    }

    /// Removes and returns the rows whose delay is over.
    pub fn take_due(&mut self, now: Instant) -> Vec<RunnerRecord> {
        let (due, later) =
            std::mem::take(&mut self.delayed).into_iter().partition(|it| it.1 .1 <= now);
        self.delayed = later;
        let due: BTreeMap<InstanceId, (RunnerRecord, Instant)> = due;
        due.into_values().map(|it| it.0).collect()
    }

    /// The time until the next delay is over, if there is one.
    pub fn time_left(&self, now: Instant) -> Option<Duration> {
        self.delayed.values().map(|it| it.1.saturating_duration_since(now)).min()
    }
}

#[cfg(test)]
mod tests;
