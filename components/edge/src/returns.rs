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
const OLDEST_COPY: Duration = Duration::from_secs(20);
/// How long a row that came back with a copy is ignored: longer than three heartbeats, after which a row that
/// is not renewed has expired.
const HELD: Duration = Duration::from_secs(4);

/// Deleted rows, and those that came back with a copy.
#[derive(Debug, Default)]
pub struct Returns {
    gone: BTreeMap<InstanceId, Instant>,
    held: BTreeMap<InstanceId, (RunnerRecord, Instant)>,
}

impl Returns {
    /// Records that a row is no longer listed.
    pub fn note_gone(&mut self, now: Instant, id: &InstanceId) {
        self.gone.retain(|_, at| now.saturating_duration_since(*at) <= OLDEST_COPY);
        self.gone.insert(id.clone(), now);
        self.held.remove(id);
    }

    /// Records that a row was written.
    pub fn note_listed(&mut self, id: &InstanceId) {
        self.gone.remove(id);
        self.held.remove(id);
    }

    /// Handles a row in the listing of a restored copy. Returns whether its use is delayed.
    pub fn hold(&mut self, now: Instant, change: &Change) -> bool {
        let Change::Runner(record) = change else {
            return false;
        };
        let gone_at = self.gone.get(&record.id);
        let is_back = gone_at.is_some_and(|at| now.saturating_duration_since(*at) <= OLDEST_COPY);
        if is_back {
            log::info!(runner = record.id.0.as_str(); "runner listed again by the store's copy");
            self.held.insert(record.id.clone(), (record.clone(), now + HELD));
        }
        is_back
    }

    /// Removes and returns the rows whose delay is over.
    pub fn take_due(&mut self, now: Instant) -> Vec<RunnerRecord> {
        let (due, later) =
            std::mem::take(&mut self.held).into_iter().partition(|it| it.1 .1 <= now);
        self.held = later;
        let due: BTreeMap<InstanceId, (RunnerRecord, Instant)> = due;
        due.into_values().map(|it| it.0).collect()
    }

    /// The time until the next delay is over, if there is one.
    pub fn left(&self, now: Instant) -> Option<Duration> {
        self.held.values().map(|it| it.1.saturating_duration_since(now)).min()
    }
}

#[cfg(test)]
mod tests;
