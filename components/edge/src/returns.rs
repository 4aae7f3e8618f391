//! Runners that the store has listed again because it came back from an older copy.
//!
//! One whose entry had gone shortly before the store went back may have left for good: whoever knew that it is gone is held
//! to that. It is believed to be there once it writes its entry again, or once the entry has stood for longer than entries
//! of runners that are gone do.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::InstanceId;
use gateway::RunnerRecord;
use platform::store::Change;
use uptime::Instant;

/// How old a copy may be: what went before that is not in it. Platforms keep no longer history.
const OLDEST_COPY: Duration = Duration::from_secs(20);
/// How long an entry that came back with a copy is held: longer than three heartbeats, after which one that
/// nobody writes has run out.
const HELD: Duration = Duration::from_secs(4);

/// Entries that went, and those that came back with a copy.
#[derive(Debug, Default)]
pub struct Returns {
    gone: BTreeMap<InstanceId, Instant>,
    held: BTreeMap<InstanceId, (RunnerRecord, Instant)>,
}

impl Returns {
    /// An entry is listed no more.
    pub fn note_gone(&mut self, now: Instant, id: &InstanceId) {
        self.gone.retain(|_, at| now.saturating_duration_since(*at) <= OLDEST_COPY);
        self.gone.insert(id.clone(), now);
        self.held.remove(id);
    }

    /// An entry was written.
    pub fn note_listed(&mut self, id: &InstanceId) {
        self.gone.remove(id);
        self.held.remove(id);
    }

    /// Takes in what a listing of the copy holds, and tells whether that is to be believed later only.
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

    /// The entries that have stood for long enough.
    pub fn take_due(&mut self, now: Instant) -> Vec<RunnerRecord> {
        let (due, later) =
            std::mem::take(&mut self.held).into_iter().partition(|it| it.1 .1 <= now);
        self.held = later;
        let due: BTreeMap<InstanceId, (RunnerRecord, Instant)> = due;
        due.into_values().map(|it| it.0).collect()
    }

    /// How long until the next one is due, if some are held.
    pub fn left(&self, now: Instant) -> Option<Duration> {
        self.held.values().map(|it| it.1.saturating_duration_since(now)).min()
    }
}

#[cfg(test)]
mod tests;
