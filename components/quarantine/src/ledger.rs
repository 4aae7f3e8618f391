//! Which requests runners crashed under, added up over processes.
//!
//! A request that crashes each runner that begins it comes again at any gateway. Every process keeps a ledger; ledgers
//! are united by what processes tell each other, in any order and as often as they like. So only those runners end under
//! such a request that begin it before the third crash is known everywhere.

mod entry;

use std::collections::{BTreeMap, BTreeSet};

use fleet::Millis;

pub(crate) use self::entry::SUCCESS_COUNTS_FOR;
use self::entry::{Entry, QUARANTINE_AT};
use crate::digest::RequestDigest;
use crate::life::LifeDigest;
use crate::told::{CrashList, Told, ToldRequest};

/// The most requests that are kept, a few hundred bytes each.
const MOST_REQUESTS: usize = 1024;
/// The most crashes in one list, of about 20 bytes with their request: half of a datagram.
const MOST_TOLD: usize = 32;

/// What a ledger says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// No runner crashed under it.
    Clear,
    /// Some did, fewer than it takes.
    Suspect,
    /// It is refused.
    Quarantined {
        /// In how many milliseconds it may be tried once more. `None` where it is not.
        probe_in_ms: Option<u64>,
    },
}

/// What a change made of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashChange {
    /// It is in quarantine now.
    Quarantined(RequestDigest),
    /// It ended well and is not suspected any more.
    Cleared {
        /// The request.
        digest: RequestDigest,
        /// Whether it was in quarantine.
        was_quarantined: bool,
    },
}

/// The requests that runners crashed under, as one process knows them.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    requests: BTreeMap<RequestDigest, Entry>,
}

impl CrashLedger {
    /// Notes that a runner crashed under a request.
    pub fn note_crash(
        &mut self,
        now: Millis,
        digest: RequestDigest,
        life: LifeDigest,
        at: Millis,
    ) -> Option<CrashChange> {
        self.change(now, digest, |entry| entry.add(life, at))
    }

    /// Notes that a request ended well. Only of requests that a runner crashed under: of the others there is nothing
    /// to take back.
    pub fn note_success(
        &mut self,
        now: Millis,
        digest: RequestDigest,
        at: Millis,
    ) -> Option<CrashChange> {
        if !self.requests.contains_key(&digest) {
            return None;
        }
        self.change(now, digest, |entry| entry.clear(at))
    }

    /// Takes in what another process tells.
    pub fn take(&mut self, now: Millis, list: &CrashList) -> Vec<CrashChange> {
        let take =
            |told: &ToldRequest| self.change(now, told.digest, |entry| entry.merge(now, told));
        list.0.iter().filter_map(take).collect()
    }

    /// Changes what is kept of a request. `change` tells whether there is news.
    fn change(
        &mut self,
        now: Millis,
        digest: RequestDigest,
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
        self.bound(now);
        match (is_quarantined, is_cleared) {
            (true, _) => Some(CrashChange::Quarantined(digest)),
            (false, true) => Some(CrashChange::Cleared { digest, was_quarantined }),
            (false, false) => None,
        }
    }

    /// Forgets what is too old, and of too many entries those that matter least.
    fn bound(&mut self, now: Millis) {
        if self.requests.len() <= MOST_REQUESTS {
            return;
        }
        self.forget_old(now);
        while self.requests.len() > MOST_REQUESTS {
            let least = self.requests.iter().min_by_key(|it| (it.1.crashes.len(), it.1.changed_at));
            let Some(digest) = least.map(|it| *it.0) else {
                return;
            };
            self.requests.remove(&digest);
        }
    }

    /// Forgets what is too old to matter.
    pub fn forget_old(&mut self, now: Millis) {
        self.requests.retain(|_, it| now < it.kept_until());
    }

    /// What is known of a request that somebody asks for.
    pub fn ask(&mut self, now: Millis, digest: RequestDigest) -> RequestStatus {
        if let Some(entry) = self.requests.get_mut(&digest) {
            entry.asked_at = now;
        }
        self.status(now, digest, &BTreeSet::new())
    }

    /// What would be known of a request if these lives had ended under it as well.
    pub fn status(
        &self,
        now: Millis,
        digest: RequestDigest,
        suspected: &BTreeSet<LifeDigest>,
    ) -> RequestStatus {
        let known = self.requests.get(&digest);
        let is_new = |life: &&LifeDigest| known.is_none_or(|it| !it.crashes.contains_key(life));
        let crashes = known.map_or(0, |it| it.crashes.len());
        match crashes + suspected.iter().filter(is_new).count() {
            0 => RequestStatus::Clear,
            sum if sum < QUARANTINE_AT => RequestStatus::Suspect,
            _ => {
                let probe_at = known.filter(|it| it.is_quarantined()).and_then(Entry::probe_at);
                RequestStatus::Quarantined { probe_in_ms: probe_at.map(|at| at.since(now).0) }
            }
        }
    }

    /// How many runners crashed under a request since it last ended well.
    pub fn crashes(&self, digest: RequestDigest) -> usize {
        self.requests.get(&digest).map_or(0, |it| it.crashes.len())
    }

    /// The lives that ended under a request, where it is in quarantine; with `unrecorded` only where the platform's store
    /// is not known to hold that.
    pub fn lives_under(&self, digest: RequestDigest, unrecorded: bool) -> Option<Vec<LifeDigest>> {
        let entry = self.requests.get(&digest).filter(|it| it.is_quarantined())?;
        let is_asked = !unrecorded || !entry.is_recorded;
        is_asked.then(|| entry.crashes.keys().copied().collect())
    }

    /// The requests in quarantine.
    pub fn quarantined(&self) -> Vec<RequestDigest> {
        let quarantined = self.requests.iter().filter(|it| it.1.is_quarantined());
        quarantined.map(|it| *it.0).collect()
    }

    /// Notes that the platform's store holds that a request is in quarantine.
    pub fn note_recorded(&mut self, now: Millis, digest: RequestDigest) {
        if let Some(entry) = self.requests.get_mut(&digest) {
            entry.is_recorded = true;
            entry.changed_at = now;
        }
    }

    /// How many requests are suspected, and how many of these are in quarantine.
    pub fn count(&self) -> (usize, usize) {
        let suspects = self.requests.values().filter(|it| !it.crashes.is_empty());
        let quarantined = self.requests.values().filter(|it| it.is_quarantined());
        (suspects.count(), quarantined.count())
    }

    /// What another process is told. Where there is too much for one list, that with the most crashes, and of these
    /// the newest; `draw` adds one of the rest, another one each time.
    pub fn list(&self, now: Millis, part: Told, draw: u64) -> CrashList {
        let is_told = |entry: &Entry| match part {
            Told::Fresh => entry.is_fresh(now),
            Told::FreshSuspects => entry.is_fresh(now) && entry.crashes.len() != 1,
            Told::Suspects => entry.crashes.len() > 1 || entry.is_fresh(now),
        };
        let mut told: Vec<_> = self.requests.iter().filter(|it| is_told(it.1)).collect();
        told.sort_by_key(|(_, it)| std::cmp::Reverse((it.crashes.len(), it.changed_at)));
        let mut size = 0;
        told.retain(|(_, it)| {
            size += it.crashes.len().max(1);
            size <= MOST_TOLD
        });
        let mut list: Vec<_> = told.iter().map(|(digest, it)| it.told(now, **digest)).collect();
        if part == Told::Fresh {
            list.extend(self.one_more(now, draw));
        }
        CrashList(list)
    }

    /// One request in quarantine that is not news: whoever has forgotten it hears of it again.
    fn one_more(&self, now: Millis, draw: u64) -> Option<ToldRequest> {
        let is_older =
            |it: &&(&RequestDigest, &Entry)| it.1.is_quarantined() && !it.1.is_fresh(now);
        let older: Vec<_> = self.requests.iter().filter(|it| is_older(&it)).collect();
        let index = draw.checked_rem(older.len() as u64)?;
        let (digest, entry) = older.get(index as usize)?;
        Some(entry.told(now, **digest))
    }
}
