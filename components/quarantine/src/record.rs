//! The rows of quarantined subjects in the platform's store, which persist when every process has stopped.
//!
//! A gateway reads the rows once, at its start. While the fleet is running, gateways learn of each other's
//! quarantines through sidecars.

use std::collections::BTreeMap;

use fleet::Millis;

use crate::crashes::CrashEvent;
use crate::digest::SubjectDigest;
use crate::incarnation::IncarnationDigest;
use crate::ledger::CrashChange;
use crate::messages::CrashList;

/// Delay before a gateway writes the row of a subject that another gateway quarantined: time for two calls by
/// that gateway. The other gateways are spread at random over a further period of the same length. The row is
/// thus stored well before every gateway must know of the quarantine, also if the crashes were observed by
/// different gateways.
const OTHERS_WRITE_DELAY_MS: u64 = 700;
/// Delay after the first failed call; it doubles with each further failure.
const FIRST_RETRY_DELAY_MS: u64 = 250;
/// Most doublings of the delay.
const MAX_DOUBLINGS: u32 = 4;

/// A call to the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineCall {
    /// Read every row.
    Read,
    /// Write the row of a subject, with the runner incarnations that crashed under it. The call is
    /// idempotent.
    Write(SubjectDigest, Vec<IncarnationDigest>),
    /// Remove the row of a subject that succeeded, or whose crashes others explain.
    Remove(SubjectDigest),
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineAnswer {
    /// The rows.
    Rows(CrashList),
    /// The row was written or removed.
    Done,
    /// The call failed, or its outcome is unknown.
    Failed,
}

/// Period over which rows that the store may have lost are written again.
const REWRITE_SPREAD_MS: u64 = 2000;
/// How long after its removal a row may reappear because the store was restored from an older copy. Copies
/// are much younger than this.
const MAX_STORE_COPY_AGE_MS: u64 = 60_000;

/// The target state of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TargetState {
    Present,
    /// The row was stored before, but the store may have lost it.
    PresentAgain,
    Absent,
}

/// Schedules the reads and writes of the rows.
#[derive(Clone, Debug)]
pub struct QuarantineRecord {
    /// When the rows are to be read. `None` once they have been.
    read_at: Option<Millis>,
    rows: BTreeMap<SubjectDigest, (TargetState, Millis)>,
    /// Rows that this process removed, and when.
    removed: BTreeMap<SubjectDigest, Millis>,
    failures: u32,
}

impl QuarantineRecord {
    /// Creates a schedule that starts with reading all rows.
    pub fn new(now: Millis) -> Self {
        Self { read_at: Some(now), rows: BTreeMap::new(), removed: BTreeMap::new(), failures: 0 }
    }

    /// Schedules the write or removal that follows from a change of status.
    pub fn handle_change(&mut self, now: Millis, seed: u64, event: &CrashEvent) {
        let CrashEvent::Changed { change, is_own } = event else {
            return;
        };
        match change {
            CrashChange::Quarantined(digest) => {
                let delay =
                    if *is_own { 0 } else { OTHERS_WRITE_DELAY_MS + seed % OTHERS_WRITE_DELAY_MS };
                self.rows.insert(*digest, (TargetState::Present, now.plus(delay)));
            }
            CrashChange::Cleared { digest, was_quarantined } if *is_own && *was_quarantined => {
                self.rows.insert(*digest, (TargetState::Absent, now));
            }
            CrashChange::Explained(digest) if *is_own => {
                self.rows.insert(*digest, (TargetState::Absent, now));
            }
            CrashChange::Cleared { digest, .. } | CrashChange::Explained(digest) => {
                self.rows.remove(digest);
            }
        }
    }

    /// Handles that the store was restored from an older copy. The rows of the `quarantined` subjects are
    /// written again, and those that were removed recently are removed again, because the copy may contain
    /// them.
    pub fn handle_store_restore(
        &mut self,
        now: Millis,
        seed: u64,
        quarantined: impl IntoIterator<Item = SubjectDigest>,
    ) {
        let at = now.plus(seed % REWRITE_SPREAD_MS);
        for digest in quarantined {
            self.rows.entry(digest).or_insert((TargetState::PresentAgain, at));
        }
        self.removed.retain(|_, removed_at| now.since(*removed_at).0 <= MAX_STORE_COPY_AGE_MS);
        for digest in self.removed.keys() {
            self.rows.entry(*digest).or_insert((TargetState::Absent, at));
        }
    }

    /// The call that is due. `incarnations` returns the runner incarnations that crashed under a quarantined
    /// subject; if its second argument is true, only for a subject whose row is not known to be stored.
    pub fn due(
        &mut self,
        now: Millis,
        incarnations: impl Fn(SubjectDigest, bool) -> Option<Vec<IncarnationDigest>>,
    ) -> Option<QuarantineCall> {
        if self.read_at.is_some_and(|at| at <= now) {
            return Some(QuarantineCall::Read);
        }
        let written = |digest: &SubjectDigest, target: &TargetState| match target {
            TargetState::Present => incarnations(*digest, true),
            TargetState::PresentAgain => incarnations(*digest, false),
            TargetState::Absent => None,
        };
        self.rows.retain(|digest, (target, _)| {
            *target == TargetState::Absent || written(digest, target).is_some()
        });
        let (digest, (target, _)) = self.rows.iter().find(|(_, (_, at))| *at <= now)?;
        match target {
            TargetState::Absent => Some(QuarantineCall::Remove(*digest)),
            TargetState::Present | TargetState::PresentAgain => written(digest, target)
                .map(|incarnations| QuarantineCall::Write(*digest, incarnations)),
        }
    }

    /// When the next call is due.
    pub fn next_at(&self) -> Option<Millis> {
        self.rows.values().map(|it| it.1).chain(self.read_at).min()
    }

    /// Handles the result of a call. Returns the subject whose row was written.
    pub fn handle_answer(
        &mut self,
        now: Millis,
        seed: u64,
        call: &QuarantineCall,
        answer: &QuarantineAnswer,
    ) -> Option<SubjectDigest> {
        match (call, answer) {
            (QuarantineCall::Read, QuarantineAnswer::Rows(_)) => {
                self.read_at = None;
                self.failures = 0;
                None
            }
            (QuarantineCall::Write(digest, _), QuarantineAnswer::Done) => {
                self.complete(*digest, &[TargetState::Present, TargetState::PresentAgain]);
                Some(*digest)
            }
            (QuarantineCall::Remove(digest), QuarantineAnswer::Done) => {
                self.complete(*digest, &[TargetState::Absent]);
                self.removed.insert(*digest, now);
                None
            }
            (call, _) => {
                self.back_off(now, seed, call);
                None
            }
        }
    }

    /// Unschedules a row that is in its target state, unless the target has changed since.
    fn complete(&mut self, digest: SubjectDigest, done: &[TargetState]) {
        self.failures = 0;
        if self.rows.get(&digest).is_some_and(|it| done.contains(&it.0)) {
            self.rows.remove(&digest);
        }
    }

    /// Schedules a failed call again, with exponential backoff.
    fn back_off(&mut self, now: Millis, seed: u64, call: &QuarantineCall) {
        let delay = FIRST_RETRY_DELAY_MS << self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        // The jitter separates processes whose calls failed at the same time.
        let retry_at = now.plus(delay / 2 + seed % delay);
        match call {
            QuarantineCall::Read => self.read_at = Some(retry_at),
            QuarantineCall::Write(digest, _) | QuarantineCall::Remove(digest) => {
                if let Some((_, at)) = self.rows.get_mut(digest) {
                    *at = retry_at;
                }
            }
        }
    }
}
