//! Combines the crashes under each request over all processes.
//!
//! A request that crashes every runner that starts it is retried at any gateway. Every process keeps a ledger
//! and merges the lists that other processes send, in any order and any number of times. A request can
//! therefore crash only those runners that start it before the third crash is known everywhere.

mod entry;

use std::collections::{BTreeMap, BTreeSet};

use fleet::Millis;

pub(crate) use self::entry::SUCCESS_GRACE_MS;
use self::entry::{Entry, QUARANTINE_THRESHOLD};
use crate::digest::SubjectDigest;
use crate::incarnation::IncarnationDigest;
use crate::messages::{CrashList, ListScope, SubjectReport};

/// Most requests that are kept, a few hundred bytes each.
const MAX_REQUESTS: usize = 1024;
/// Most crashes in one list, of about 20 bytes each including the request: half of a datagram.
const MAX_CRASHES_PER_LIST: usize = 32;

/// The status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubjectStatus {
    /// No runner is known to have crashed under it.
    Clear,
    /// Runners crashed under it, fewer than the quarantine threshold.
    Suspect,
    /// It is refused.
    Quarantined {
        /// When the request may be probed, in milliseconds. `None` if it may not.
        probe_in_ms: Option<u64>,
    },
}

/// A change of the status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashChange {
    /// The request is in quarantine now.
    Quarantined(SubjectDigest),
    /// The request succeeded and is no longer suspect.
    Cleared {
        /// The request.
        digest: SubjectDigest,
        /// Whether the request was in quarantine.
        was_quarantined: bool,
    },
}

/// The requests that runners crashed under, as known to one process.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    requests: BTreeMap<SubjectDigest, Entry>,
}

impl CrashLedger {
    /// Records that a runner crashed under a request.
    pub fn note_crash(
        &mut self,
        now: Millis,
        digest: SubjectDigest,
        life: IncarnationDigest,
        at: Millis,
    ) -> Option<CrashChange> {
        self.change(now, digest, |entry| entry.add(life, at))
    }

    /// Records that a request succeeded. Has no effect unless a runner crashed under the request.
    pub fn note_success(
        &mut self,
        now: Millis,
        digest: SubjectDigest,
        at: Millis,
    ) -> Option<CrashChange> {
        if !self.requests.contains_key(&digest) {
            return None;
        }
        self.change(now, digest, |entry| entry.clear(at))
    }

    /// Merges a list from another process.
    pub fn merge(&mut self, now: Millis, list: &CrashList) -> Vec<CrashChange> {
        let take = |report: &SubjectReport| {
            self.change(now, report.digest, |entry| entry.merge(now, report))
        };
        list.0.iter().filter_map(take).collect()
    }

    /// Applies `change` to the entry of a request. `change` returns whether the entry has to be sent to other
    /// processes.
    fn change(
        &mut self,
        now: Millis,
        digest: SubjectDigest,
        change: impl FnOnce(&mut Entry) -> bool,
    ) -> Option<CrashChange> {
        let entry = self.requests.entry(digest).or_insert_with(|| Entry::new(now));
        let (was_suspect, was_quarantined) = (!entry.crashes.is_empty(), entry.is_quarantined());
        if change(entry) {
            entry.changed_at = now;
        }
        let is_cleared = was_suspect && entry.crashes.is_empty();
        if is_cleared {
            entry.is_recorded = false;
        }
        let is_quarantined = entry.is_quarantined() && !was_quarantined;
        self.enforce_limit(now);
        match (is_quarantined, is_cleared) {
            (true, _) => Some(CrashChange::Quarantined(digest)),
            (false, true) => Some(CrashChange::Cleared { digest, was_quarantined }),
            (false, false) => None,
        }
    }

    /// Removes expired entries and, if there are still too many, those with the fewest crashes and, among
    /// these, the oldest.
    fn enforce_limit(&mut self, now: Millis) {
        if self.requests.len() <= MAX_REQUESTS {
            return;
        }
        self.forget_old(now);
        while self.requests.len() > MAX_REQUESTS {
            let least_relevant =
                self.requests.iter().min_by_key(|it| (it.1.crashes.len(), it.1.changed_at));
            let Some(digest) = least_relevant.map(|it| *it.0) else {
                return;
            };
            self.requests.remove(&digest);
        }
    }

    /// Removes expired entries.
    pub fn forget_old(&mut self, now: Millis) {
        self.requests.retain(|_, it| now < it.expires_at());
    }

    /// The status of a request for which a caller asks. Extends the time for which the request is kept.
    pub fn ask(&mut self, now: Millis, digest: SubjectDigest) -> SubjectStatus {
        if let Some(entry) = self.requests.get_mut(&digest) {
            entry.asked_at = now;
        }
        self.status(now, digest, &BTreeSet::new())
    }

    /// The status that a request would have if the `suspected` runner incarnations had crashed under it as
    /// well.
    pub fn status(
        &self,
        now: Millis,
        digest: SubjectDigest,
        suspected: &BTreeSet<IncarnationDigest>,
    ) -> SubjectStatus {
        let known = self.requests.get(&digest);
        let is_new =
            |life: &&IncarnationDigest| known.is_none_or(|it| !it.crashes.contains_key(life));
        let crashes = known.map_or(0, |it| it.crashes.len());
        match crashes + suspected.iter().filter(is_new).count() {
            0 => SubjectStatus::Clear,
            sum if sum < QUARANTINE_THRESHOLD => SubjectStatus::Suspect,
            _ => {
                let probe_at = known.filter(|it| it.is_quarantined()).and_then(Entry::probe_at);
                SubjectStatus::Quarantined { probe_in_ms: probe_at.map(|at| at.since(now).0) }
            }
        }
    }

    /// The number of runners that crashed under a request since it last succeeded.
    pub fn crashes(&self, digest: SubjectDigest) -> usize {
        self.requests.get(&digest).map_or(0, |it| it.crashes.len())
    }

    /// The runner incarnations that crashed under a quarantined request. With `unrecorded`, only if the
    /// platform's store is not known to contain the quarantine.
    pub fn incarnations_under(
        &self,
        digest: SubjectDigest,
        unrecorded: bool,
    ) -> Option<Vec<IncarnationDigest>> {
        let entry = self.requests.get(&digest).filter(|it| it.is_quarantined())?;
        let is_selected = !unrecorded || !entry.is_recorded;
        is_selected.then(|| entry.crashes.keys().copied().collect())
    }

    /// The requests in quarantine.
    pub fn quarantined(&self) -> Vec<SubjectDigest> {
        let quarantined = self.requests.iter().filter(|it| it.1.is_quarantined());
        quarantined.map(|it| *it.0).collect()
    }

    /// Records that the platform's store contains the quarantine of a request.
    pub fn note_recorded(&mut self, now: Millis, digest: SubjectDigest) {
        if let Some(entry) = self.requests.get_mut(&digest) {
            entry.is_recorded = true;
            entry.changed_at = now;
        }
    }

    /// The number of suspect requests and, among these, of quarantined ones.
    pub fn count(&self) -> (usize, usize) {
        let suspects = self.requests.values().filter(|it| !it.crashes.is_empty());
        let quarantined = self.requests.values().filter(|it| it.is_quarantined());
        (suspects.count(), quarantined.count())
    }

    /// The list for another process. If the entries exceed one list, those with the most crashes are included
    /// first and, among these, the most recent. With `ListScope::Fresh`, one older quarantine is added,
    /// selected by `draw`.
    pub fn list(&self, now: Millis, part: ListScope, draw: u64) -> CrashList {
        let is_included = |entry: &Entry| match part {
            ListScope::Fresh => entry.is_fresh(now),
            ListScope::FreshSuspects => entry.is_fresh(now) && entry.crashes.len() != 1,
            ListScope::Suspects => entry.crashes.len() > 1 || entry.is_fresh(now),
        };
        let mut entries: Vec<_> = self.requests.iter().filter(|it| is_included(it.1)).collect();
        entries.sort_by_key(|(_, it)| std::cmp::Reverse((it.crashes.len(), it.changed_at)));
        let mut size = 0;
        entries.retain(|(_, it)| {
            size += it.crashes.len().max(1);
            size <= MAX_CRASHES_PER_LIST
        });
        let mut list: Vec<_> =
            entries.iter().map(|(digest, it)| it.to_message(now, **digest)).collect();
        if part == ListScope::Fresh {
            list.extend(self.older_quarantine(now, draw));
        }
        CrashList(list)
    }

    /// One quarantined request that has not changed recently, so that processes that lost it receive it
    /// again.
    fn older_quarantine(&self, now: Millis, draw: u64) -> Option<SubjectReport> {
        let is_older =
            |it: &&(&SubjectDigest, &Entry)| it.1.is_quarantined() && !it.1.is_fresh(now);
        let older: Vec<_> = self.requests.iter().filter(|it| is_older(&it)).collect();
        let index = draw.checked_rem(older.len() as u64)?;
        let (digest, entry) = older.get(index as usize)?;
        Some(entry.to_message(now, **digest))
    }
}
