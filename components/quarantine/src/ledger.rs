//! Combines the crashes under each subject over all processes.
//!
//! A request that crashes every runner that starts it is retried at any gateway, and requests with a part that does
//! so arrive at any gateway. Every process keeps a ledger and merges the lists that other processes send, in any
//! order and any number of times. A subject can therefore crash only those runners that start it before the third
//! crash is known everywhere.

mod blame;
mod entry;

use std::collections::{BTreeMap, BTreeSet};

use fleet::Millis;

use self::blame::Blame;
pub(crate) use self::entry::SUCCESS_GRACE_MS;
use self::entry::{Entry, QUARANTINE_THRESHOLD};
use crate::digest::SubjectDigest;
use crate::incarnation::IncarnationDigest;
use crate::messages::{CrashList, ListScope, SubjectReport};

/// Most subjects that are kept, a few hundred bytes each.
const MAX_SUBJECTS: usize = 1024;
/// Most crashes in one list, of about 20 bytes each including the subject: half of a datagram.
const MAX_CRASHES_PER_LIST: usize = 32;

/// The status of a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubjectStatus {
    /// No runner is known to have crashed under it.
    Clear,
    /// Runners crashed under it, fewer than the quarantine threshold.
    Suspect,
    /// Requests with it are refused.
    Quarantined {
        /// When it may be probed, in milliseconds. `None` if it may not.
        probe_in_ms: Option<u64>,
    },
}

/// A change of the status of a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashChange {
    /// The subject is in quarantine now.
    Quarantined(SubjectDigest),
    /// A request with the subject succeeded, and it is no longer suspect.
    Cleared {
        /// The subject.
        digest: SubjectDigest,
        /// Whether the subject was in quarantine.
        was_quarantined: bool,
    },
    /// The subject is no longer in quarantine, because others that are explain its crashes.
    Explained(SubjectDigest),
}

/// The subjects that runners crashed under, as known to one process.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    subjects: BTreeMap<SubjectDigest, Entry>,
    blame: Blame,
}

impl CrashLedger {
    /// Records that a runner crashed under a subject.
    pub fn note_crash(
        &mut self,
        now: Millis,
        digest: SubjectDigest,
        life: IncarnationDigest,
        at: Millis,
    ) -> Vec<CrashChange> {
        self.change(now, digest, |entry| entry.add(life, at))
    }

    /// Records that a request with a subject succeeded. Has no effect unless a runner crashed under the subject.
    pub fn note_success(
        &mut self,
        now: Millis,
        digest: SubjectDigest,
        at: Millis,
    ) -> Vec<CrashChange> {
        if !self.subjects.contains_key(&digest) {
            return Vec::new();
        }
        self.change(now, digest, |entry| entry.clear(at))
    }

    /// Merges a list from another process.
    pub fn merge(&mut self, now: Millis, list: &CrashList) -> Vec<CrashChange> {
        let take = |report: &SubjectReport| {
            self.change(now, report.digest, |entry| entry.merge(now, report))
        };
        list.0.iter().flat_map(take).collect()
    }

    /// Applies `change` to the entry of a subject. `change` returns whether the entry has to be sent to other
    /// processes.
    fn change(
        &mut self,
        now: Millis,
        digest: SubjectDigest,
        change: impl FnOnce(&mut Entry) -> bool,
    ) -> Vec<CrashChange> {
        let entry = self.subjects.entry(digest).or_insert_with(|| Entry::new(now));
        let crashes_before = entry.crashes.len();
        if change(entry) {
            entry.changed_at = now;
        }
        let crashes = entry.crashes.len();
        let is_cleared = crashes_before > 0 && crashes == 0;
        if is_cleared {
            entry.is_recorded = false;
        }
        let was_quarantined = self.blame.quarantined.contains(&digest);
        let mut changes = Vec::new();
        if is_cleared {
            changes.push(CrashChange::Cleared { digest, was_quarantined });
        }
        if crashes != crashes_before && crashes.max(crashes_before) >= QUARANTINE_THRESHOLD {
            changes.extend(self.update_blame());
        }
        self.enforce_limit(now);
        changes
    }

    /// Decides again which subjects are in quarantine. Returns what changed, except for cleared subjects.
    fn update_blame(&mut self) -> Vec<CrashChange> {
        let blame = Blame::new(&self.subjects);
        let previous = std::mem::replace(&mut self.blame, blame);
        let quarantined = &self.blame.quarantined;
        let mut changes: Vec<_> = quarantined
            .difference(&previous.quarantined)
            .map(|it| CrashChange::Quarantined(*it))
            .collect();
        for digest in previous.quarantined.difference(quarantined) {
            let entry = self.subjects.get_mut(digest).filter(|it| !it.crashes.is_empty());
            if let Some(entry) = entry {
                entry.is_recorded = false;
                changes.push(CrashChange::Explained(*digest));
            }
        }
        changes
    }

    /// Removes expired entries and, if there are still too many, those with the fewest crashes and, among
    /// these, whole requests before parts of prompts and then the oldest.
    fn enforce_limit(&mut self, now: Millis) {
        if self.subjects.len() <= MAX_SUBJECTS {
            return;
        }
        self.forget_old(now);
        while self.subjects.len() > MAX_SUBJECTS {
            let least_relevant = self.subjects.iter().min_by_key(|it| relevance(*it));
            let Some(digest) = least_relevant.map(|it| *it.0) else {
                return;
            };
            self.subjects.remove(&digest);
            if self.blame.quarantined.contains(&digest) {
                self.blame = Blame::new(&self.subjects);
            }
        }
    }

    /// Removes expired entries.
    pub fn forget_old(&mut self, now: Millis) {
        let before = self.subjects.len();
        self.subjects.retain(|_, it| now < it.expires_at());
        if self.subjects.len() < before {
            self.blame = Blame::new(&self.subjects);
        }
    }

    /// The status of a subject for which a caller asks. Extends the time for which the subject is kept.
    pub fn ask(&mut self, now: Millis, digest: SubjectDigest) -> SubjectStatus {
        if let Some(entry) = self.subjects.get_mut(&digest) {
            entry.asked_at = now;
        }
        self.status(now, digest, &BTreeSet::new())
    }

    /// The status that a subject would have if the `suspected` runner incarnations had crashed under it as
    /// well.
    pub fn status(
        &self,
        now: Millis,
        digest: SubjectDigest,
        suspected: &BTreeSet<IncarnationDigest>,
    ) -> SubjectStatus {
        let known = self.subjects.get(&digest);
        if self.blame.quarantined.contains(&digest) {
            let probe_at = known.and_then(|it| it.probe_at(digest));
            return SubjectStatus::Quarantined { probe_in_ms: probe_at.map(|at| at.since(now).0) };
        }
        let is_new = |life: &&IncarnationDigest| {
            !self.blame.explains(life) && known.is_none_or(|it| !it.crashes.contains_key(life))
        };
        let crashes = known.map_or(0, |it| self.blame.unexplained(it));
        match crashes + suspected.iter().filter(is_new).count() {
            0 => SubjectStatus::Clear,
            sum if sum < QUARANTINE_THRESHOLD => SubjectStatus::Suspect,
            _ => SubjectStatus::Quarantined { probe_in_ms: None },
        }
    }

    /// The number of runners that crashed under a subject since it last succeeded.
    pub fn crashes(&self, digest: SubjectDigest) -> usize {
        self.subjects.get(&digest).map_or(0, |it| it.crashes.len())
    }

    /// The runner incarnations that crashed under a quarantined subject. With `unrecorded`, only if the
    /// platform's store is not known to contain the quarantine.
    pub fn incarnations_under(
        &self,
        digest: SubjectDigest,
        unrecorded: bool,
    ) -> Option<Vec<IncarnationDigest>> {
        if !self.blame.quarantined.contains(&digest) {
            return None;
        }
        let entry = self.subjects.get(&digest)?;
        let is_selected = !unrecorded || !entry.is_recorded;
        is_selected.then(|| entry.crashes.keys().copied().collect())
    }

    /// The subjects in quarantine.
    pub fn quarantined(&self) -> Vec<SubjectDigest> {
        self.blame.quarantined.iter().copied().collect()
    }

    /// Records that the platform's store contains the quarantine of a subject.
    pub fn note_recorded(&mut self, now: Millis, digest: SubjectDigest) {
        if let Some(entry) = self.subjects.get_mut(&digest) {
            entry.is_recorded = true;
            entry.changed_at = now;
        }
    }

    /// The number of suspect subjects and, among these, of quarantined ones.
    pub fn count(&self) -> (usize, usize) {
        let suspects = self.subjects.values().filter(|it| !it.crashes.is_empty());
        (suspects.count(), self.blame.quarantined.len())
    }

    /// The list for another process. If the entries exceed one list, those with the most crashes are included
    /// first and, among these, parts of prompts before whole requests and then the most recent. With `ListScope::Fresh`, one older quarantine is added,
    /// selected by `draw`.
    pub fn list(&self, now: Millis, part: ListScope, draw: u64) -> CrashList {
        let is_included = |entry: &Entry| match part {
            ListScope::Fresh => entry.is_fresh(now),
            ListScope::FreshSuspects => entry.is_fresh(now) && entry.crashes.len() != 1,
            ListScope::Suspects => entry.crashes.len() > 1 || entry.is_fresh(now),
        };
        let mut entries: Vec<_> = self.subjects.iter().filter(|it| is_included(it.1)).collect();
        entries.sort_by_key(|it| std::cmp::Reverse(relevance(*it)));
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

    /// One quarantined subject that has not changed recently, so that processes that lost it receive it
    /// again.
    fn older_quarantine(&self, now: Millis, draw: u64) -> Option<SubjectReport> {
        let quarantined = self.blame.quarantined.iter();
        let entries = quarantined.filter_map(|it| Some((it, self.subjects.get(it)?)));
        let older: Vec<_> = entries.filter(|it| !it.1.is_fresh(now)).collect();
        let index = draw.checked_rem(older.len() as u64)?;
        let (digest, entry) = older.get(index as usize)?;
        Some(entry.to_message(now, **digest))
    }
}

/// The order in which subjects are kept and sent, the most relevant last: another request with the same part arrives
/// sooner than the same request again.
fn relevance((digest, entry): (&SubjectDigest, &Entry)) -> (usize, bool, Millis) {
    (entry.crashes.len(), digest.is_part(), entry.changed_at)
}
