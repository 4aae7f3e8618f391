//! The record of requests in quarantine in the platform's store: it outlasts every process.
//!
//! A gateway that starts reads it once; while the fleet lives, gateways hear of each other's quarantines through sidecars.

use std::collections::BTreeMap;

use fleet::Millis;

use crate::crashes::CrashNews;
use crate::digest::RequestDigest;
use crate::ledger::CrashChange;
use crate::life::LifeDigest;
use crate::told::CrashList;

/// How long the gateway that put a request into quarantine has to write the row before others try, in
/// milliseconds: a call and another one. The others come apart over the same time, so that the row is there
/// well before all must have heard, also where none found it alone.
const OTHERS_AFTER: u64 = 700;
/// The pause after the first call that failed, in milliseconds; it doubles with each.
const FIRST_PAUSE: u64 = 250;
/// How often the pause is doubled at most.
const MOST_DOUBLINGS: u32 = 4;

/// A call that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineCall {
    /// Read every row.
    Read,
    /// Write the row of a request, with the lives that ended under it. Doing it twice is doing it once.
    Write(RequestDigest, Vec<LifeDigest>),
    /// Remove the row of a request that ended well.
    Remove(RequestDigest),
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineAnswer {
    /// The rows.
    Rows(CrashList),
    /// It is written or removed.
    Done,
    /// Nothing was done, or nobody knows.
    Failed,
}

/// Over how many milliseconds rows are written again that the store may have lost.
const AGAIN_WITHIN: u64 = 2000;
/// How long after it was removed a row may come back with an older copy of the store, in milliseconds: far
/// longer than copies are old.
const OLDEST_COPY: u64 = 60_000;

/// What is to be done about a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wanted {
    There,
    /// It was there, and the store may have lost it.
    ThereAgain,
    Gone,
}

/// What is to be read and written.
#[derive(Clone, Debug)]
pub struct QuarantineRecord {
    /// When the record is to be read. `None` once it was.
    read_at: Option<Millis>,
    rows: BTreeMap<RequestDigest, (Wanted, Millis)>,
    /// Rows that this process removed, and when.
    removed: BTreeMap<RequestDigest, Millis>,
    failures: u32,
}

impl QuarantineRecord {
    /// Starts with everything to read.
    pub fn new(now: Millis) -> Self {
        Self { read_at: Some(now), rows: BTreeMap::new(), removed: BTreeMap::new(), failures: 0 }
    }

    /// Takes in that the status of a request has changed.
    pub fn hear(&mut self, now: Millis, seed: u64, news: &CrashNews) {
        let CrashNews::Changed { change, is_own } = news else {
            return;
        };
        match change {
            CrashChange::Quarantined(digest) => {
                let wait = if *is_own { 0 } else { OTHERS_AFTER + seed % OTHERS_AFTER };
                self.rows.insert(*digest, (Wanted::There, now.plus(wait)));
            }
            CrashChange::Cleared { digest, was_quarantined } if *is_own && *was_quarantined => {
                self.rows.insert(*digest, (Wanted::Gone, now));
            }
            CrashChange::Cleared { digest, .. } => {
                self.rows.remove(digest);
            }
        }
    }

    /// The store came back from an older copy. The rows of these requests in quarantine are written again, and those that
    /// were removed lately are removed again: the copy may have them.
    pub fn note_went_back(
        &mut self,
        now: Millis,
        seed: u64,
        quarantined: impl IntoIterator<Item = RequestDigest>,
    ) {
        let at = now.plus(seed % AGAIN_WITHIN);
        for digest in quarantined {
            self.rows.entry(digest).or_insert((Wanted::ThereAgain, at));
        }
        self.removed.retain(|_, removed_at| now.since(*removed_at).0 <= OLDEST_COPY);
        for digest in self.removed.keys() {
            self.rows.entry(*digest).or_insert((Wanted::Gone, at));
        }
    }

    /// The call that is due. `lives` gives the lives that ended under a request in quarantine; where it is told so, only of
    /// one whose row is not known to be written.
    pub fn due(
        &mut self,
        now: Millis,
        lives: impl Fn(RequestDigest, bool) -> Option<Vec<LifeDigest>>,
    ) -> Option<QuarantineCall> {
        if self.read_at.is_some_and(|at| at <= now) {
            return Some(QuarantineCall::Read);
        }
        let written = |digest: &RequestDigest, wanted: &Wanted| match wanted {
            Wanted::There => lives(*digest, true),
            Wanted::ThereAgain => lives(*digest, false),
            Wanted::Gone => None,
        };
        self.rows.retain(|digest, (wanted, _)| {
            *wanted == Wanted::Gone || written(digest, wanted).is_some()
        });
        let (digest, (wanted, _)) = self.rows.iter().find(|(_, (_, at))| *at <= now)?;
        match wanted {
            Wanted::Gone => Some(QuarantineCall::Remove(*digest)),
            Wanted::There | Wanted::ThereAgain => {
                written(digest, wanted).map(|lives| QuarantineCall::Write(*digest, lives))
            }
        }
    }

    /// When the next call is due.
    pub fn next_at(&self) -> Option<Millis> {
        self.rows.values().map(|it| it.1).chain(self.read_at).min()
    }

    /// Takes in what became of a call. Gives the request whose row is written.
    pub fn take(
        &mut self,
        now: Millis,
        seed: u64,
        call: &QuarantineCall,
        answer: &QuarantineAnswer,
    ) -> Option<RequestDigest> {
        match (call, answer) {
            (QuarantineCall::Read, QuarantineAnswer::Rows(_)) => {
                self.read_at = None;
                self.failures = 0;
                None
            }
            (QuarantineCall::Write(digest, _), QuarantineAnswer::Done) => {
                self.settle(*digest, &[Wanted::There, Wanted::ThereAgain]);
                Some(*digest)
            }
            (QuarantineCall::Remove(digest), QuarantineAnswer::Done) => {
                self.settle(*digest, &[Wanted::Gone]);
                self.removed.insert(*digest, now);
                None
            }
            (call, _) => {
                self.wait(now, seed, call);
                None
            }
        }
    }

    /// A row is as it was wanted, unless something else is wanted by now.
    fn settle(&mut self, digest: RequestDigest, done: &[Wanted]) {
        self.failures = 0;
        if self.rows.get(&digest).is_some_and(|it| done.contains(&it.0)) {
            self.rows.remove(&digest);
        }
    }

    /// Puts a call that failed off, for longer each time.
    fn wait(&mut self, now: Millis, seed: u64, call: &QuarantineCall) {
        let pause = FIRST_PAUSE << self.failures.min(MOST_DOUBLINGS);
        self.failures += 1;
        // Those that failed together come apart.
        let again = now.plus(pause / 2 + seed % pause);
        match call {
            QuarantineCall::Read => self.read_at = Some(again),
            QuarantineCall::Write(digest, _) | QuarantineCall::Remove(digest) => {
                if let Some((_, at)) = self.rows.get_mut(digest) {
                    *at = again;
                }
            }
        }
    }
}
