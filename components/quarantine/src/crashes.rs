//! Detects crashes of runners and attributes them to requests and to the parts of their prompts.
//!
//! An attempt that fails midway makes its subjects and the runner suspect. The suspicion is confirmed as
//! a crash if no report of the runner is received afterwards. `CrashLedger` describes how gateways combine
//! their observations.

use std::collections::{BTreeMap, BTreeSet};

use fleet::{InstanceId, Millis};

use crate::digest::SubjectDigest;
use crate::incarnation::IncarnationDigest;
use crate::ledger::{CrashChange, CrashLedger, SubjectStatus, SUCCESS_GRACE_MS};
use crate::messages::CrashList;
use crate::subjects::Subjects;
use crate::suspicion::{RunnerLiveness, Suspicion, UnclearEnd, Verdict};

/// Shortest retry delay returned to callers while a probe is due at another gateway.
const PROBE_ELSEWHERE_RETRY_MS: u64 = 1000;
/// Retry delay returned to callers when no further probe is planned.
const NO_PROBE_RETRY_MS: u64 = 3_600_000;

/// Most successes that are kept, 16 bytes each: more than a gateway forwards within `SUCCESS_GRACE_MS`. A
/// success beyond this limit is not recorded and does not clear its subject of later crashes.
const MAX_SUCCESSES: usize = 8192;

/// A change in what is known of subjects and crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashEvent {
    /// A runner crashed while it processed an attempt of this gateway.
    Crashed {
        /// The subject of the attempt that the crash is attributed to.
        digest: SubjectDigest,
        /// The runner.
        runner: InstanceId,
        /// The number of known crashes under the subject.
        crashes: usize,
    },
    /// The status of a subject has changed.
    Changed {
        /// The new status.
        change: CrashChange,
        /// Whether this process detected the change itself, rather than receiving it from another one.
        is_own: bool,
    },
}

impl CrashEvent {
    /// Whether this process detected the change itself, so that others should be informed at once.
    pub fn is_own(&self) -> bool {
        match self {
            Self::Crashed { .. } => true,
            Self::Changed { is_own, .. } => *is_own,
        }
    }
}

/// Whether a request may be sent, given the known crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent. A suspect request is kept apart from others.
    Admitted {
        /// Whether runners have crashed under the request.
        is_suspect: bool,
    },
    /// The request is refused.
    Refused {
        /// When the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// The subjects that runners crashed under, as known to a process that sends requests. `K` identifies a
/// request in that process.
#[derive(Debug)]
pub struct Crashes<K> {
    /// The crashes and successes of subjects.
    pub ledger: CrashLedger,
    pending: BTreeMap<SubjectDigest, Vec<Suspicion>>,
    /// When requests with a subject last succeeded here. Entries are removed once older than `SUCCESS_GRACE_MS`
    /// if space is needed.
    successes: BTreeMap<SubjectDigest, Millis>,
    /// Quarantined subjects that this process is currently probing, with the key of the probing request.
    probes: BTreeMap<SubjectDigest, K>,
}

impl<K> Default for Crashes<K> {
    fn default() -> Self {
        Self {
            ledger: CrashLedger::default(),
            pending: BTreeMap::new(),
            successes: BTreeMap::new(),
            probes: BTreeMap::new(),
        }
    }
}

impl<K: Copy + PartialEq> Crashes<K> {
    /// Records for these subjects of an attempt that its end does not show whether the runner has crashed.
    pub fn record_suspicion(
        &mut self,
        now: Millis,
        subjects: impl IntoIterator<Item = SubjectDigest>,
        runner: &InstanceId,
        life: IncarnationDigest,
        end: UnclearEnd,
    ) {
        for digest in subjects {
            let suspicion = Suspicion { runner: runner.clone(), life, at: now, end };
            self.pending.entry(digest).or_default().push(suspicion);
        }
    }

    /// Confirms or drops pending suspicions according to the state of their runners. `liveness` returns that
    /// state.
    pub fn resolve_suspicions(
        &mut self,
        now: Millis,
        liveness: impl Fn(&InstanceId, IncarnationDigest) -> RunnerLiveness,
    ) -> Vec<CrashEvent> {
        let mut events = Vec::new();
        for (digest, suspicions) in std::mem::take(&mut self.pending) {
            for suspicion in suspicions {
                let liveness = liveness(&suspicion.runner, suspicion.life);
                match suspicion.verdict(now, liveness) {
                    Verdict::Unknown => {
                        self.pending.entry(digest).or_default().push(suspicion);
                    }
                    Verdict::Crashed => events.extend(self.confirm(now, digest, suspicion)),
                    Verdict::Succeeded => events.extend(self.succeed(now, digest, suspicion.at)),
                    Verdict::Nothing => {}
                }
            }
        }
        events
    }

    /// Records a crash that needs no confirmation.
    pub fn note_crash(
        &mut self,
        now: Millis,
        subjects: &Subjects,
        runner: &InstanceId,
        life: IncarnationDigest,
    ) -> Vec<CrashEvent> {
        let mut events = Vec::new();
        for digest in subjects.iter() {
            let end = UnclearEnd::Failed;
            let suspicion = Suspicion { runner: runner.clone(), life, at: now, end };
            events.extend(self.confirm(now, digest, suspicion));
        }
        events
    }

    fn confirm(
        &mut self,
        now: Millis,
        digest: SubjectDigest,
        suspicion: Suspicion,
    ) -> Vec<CrashEvent> {
        let Suspicion { runner, life, at, .. } = suspicion;
        if self.has_recent_success(digest, at) {
            return Vec::new();
        }
        let changes = self.ledger.note_crash(now, digest, life, at);
        let crashes = self.ledger.crashes(digest);
        let crashed = CrashEvent::Crashed { digest, runner, crashes };
        std::iter::once(crashed).chain(own_changes(changes)).collect()
    }

    /// Records that a request with these subjects succeeded.
    pub fn note_success(
        &mut self,
        now: Millis,
        subjects: impl IntoIterator<Item = SubjectDigest>,
    ) -> Vec<CrashEvent> {
        let mut events = Vec::new();
        for digest in subjects {
            self.pending.remove(&digest);
            events.extend(self.succeed(now, digest, now));
        }
        events
    }

    /// Records that a request with a subject succeeded at some time.
    fn succeed(&mut self, now: Millis, digest: SubjectDigest, at: Millis) -> Vec<CrashEvent> {
        if self.successes.len() >= MAX_SUCCESSES {
            self.successes.retain(|_, at| now.since(*at).0 <= SUCCESS_GRACE_MS);
        }
        if self.successes.len() < MAX_SUCCESSES {
            // The end of a response may have been confirmed only after a later one succeeded.
            let latest = self.successes.entry(digest).or_insert(at);
            *latest = at.max(*latest);
        }
        own_changes(self.ledger.note_success(now, digest, at)).collect()
    }

    /// Whether a request with a subject succeeded here at most `SUCCESS_GRACE_MS` before `moment`, or after it.
    fn has_recent_success(&self, digest: SubjectDigest, moment: Millis) -> bool {
        self.successes.get(&digest).is_some_and(|at| moment <= at.plus(SUCCESS_GRACE_MS))
    }

    /// Merges a crash list from a sidecar or from the platform's store.
    pub fn merge(&mut self, now: Millis, list: &CrashList) -> Vec<CrashEvent> {
        let changes = self.ledger.merge(now, list).into_iter();
        let mut events: Vec<CrashEvent> =
            changes.map(|change| CrashEvent::Changed { change, is_own: false }).collect();
        // A subject that others report may have succeeded here recently.
        for report in &list.0 {
            if let Some(at) = self.successes.get(&report.digest).copied() {
                events.extend(own_changes(self.ledger.note_success(now, report.digest, at)));
            }
        }
        events
    }

    /// Whether an arriving request may be sent. `may_try` tells whether this process is the one to probe a
    /// quarantined subject. A request probes all of its subjects that are in quarantine, or none.
    pub fn admit(
        &mut self,
        now: Millis,
        key: K,
        subjects: &Subjects,
        may_try: impl Fn(SubjectDigest) -> bool,
    ) -> Admission {
        for digest in subjects.iter() {
            self.ledger.ask(now, digest);
        }
        let admission = self.still_admits(now, key, subjects);
        if !matches!(admission, Admission::Refused { .. }) {
            return admission;
        }
        let is_quarantined = |digest: &SubjectDigest| self.retry_after_ms(now, *digest).is_some();
        let probed: Vec<_> = subjects.iter().filter(is_quarantined).collect();
        let may_probe = |digest: &SubjectDigest| {
            self.is_probe_due(now, *digest) && !self.probes.contains_key(digest) && may_try(*digest)
        };
        if !probed.iter().all(may_probe) {
            return admission;
        }
        self.probes.extend(probed.into_iter().map(|digest| (digest, key)));
        Admission::Admitted { is_suspect: true }
    }

    /// Whether a request that was admitted before may still be sent.
    pub fn still_admits(&self, now: Millis, key: K, subjects: &Subjects) -> Admission {
        // A probe whose attempt has failed does not get a second one.
        let is_probe = |digest: SubjectDigest| {
            self.probes.get(&digest) == Some(&key) && !self.pending.contains_key(&digest)
        };
        let refused = subjects.iter().filter(|digest| !is_probe(*digest));
        match refused.filter_map(|digest| self.retry_after_ms(now, digest)).max() {
            Some(retry_after_ms) => Admission::Refused { retry_after_ms },
            None => Admission::Admitted { is_suspect: self.is_suspect(now, subjects) },
        }
    }

    /// Removes the state of a request that has ended.
    pub fn remove(&mut self, key: K, subjects: &Subjects) {
        for digest in subjects.iter() {
            if self.probes.get(&digest) == Some(&key) {
                self.probes.remove(&digest);
            }
        }
    }

    /// When callers may retry a request with a subject that is in quarantine. `None` for any other subject.
    fn retry_after_ms(&self, now: Millis, digest: SubjectDigest) -> Option<u64> {
        match self.status(now, digest) {
            SubjectStatus::Clear | SubjectStatus::Suspect => None,
            SubjectStatus::Quarantined { probe_in_ms } => {
                let probe_in_ms = probe_in_ms.map(|it| it.max(PROBE_ELSEWHERE_RETRY_MS));
                Some(probe_in_ms.unwrap_or(NO_PROBE_RETRY_MS))
            }
        }
    }

    fn is_suspect(&self, now: Millis, subjects: &Subjects) -> bool {
        subjects.iter().any(|digest| self.status(now, digest) != SubjectStatus::Clear)
    }

    /// The status of a subject, counting pending suspicions as crashes: a caller that retries immediately
    /// cannot reach more runners than the quarantine threshold.
    fn status(&self, now: Millis, digest: SubjectDigest) -> SubjectStatus {
        let pending = self.pending.get(&digest).into_iter().flatten();
        let counted = pending
            .filter(|it| it.end == UnclearEnd::Failed && !self.has_recent_success(digest, it.at));
        // Many requests share a part, and all of them fail midway when a network fails.
        let is_known = !digest.is_part() || self.ledger.crashes(digest) > 0;
        let most = if is_known { usize::MAX } else { 1 };
        let incarnations: BTreeSet<IncarnationDigest> =
            counted.map(|it| it.life).take(most).collect();
        self.ledger.status(now, digest, &incarnations)
    }

    fn is_probe_due(&self, now: Millis, digest: SubjectDigest) -> bool {
        let status = self.ledger.status(now, digest, &BTreeSet::new());
        let is_due = status == SubjectStatus::Quarantined { probe_in_ms: Some(0) };
        is_due && !self.pending.contains_key(&digest)
    }
}

/// Changes that this process detected itself.
fn own_changes(changes: Vec<CrashChange>) -> impl Iterator<Item = CrashEvent> {
    changes.into_iter().map(|change| CrashEvent::Changed { change, is_own: true })
}
