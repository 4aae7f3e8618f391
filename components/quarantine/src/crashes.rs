//! Detects crashes of runners and attributes them to requests.
//!
//! An attempt that fails midway makes both the request and the runner suspect. The suspicion is confirmed as
//! a crash if no report of the runner is received afterwards. `CrashLedger` describes how gateways combine
//! their observations.

use std::collections::{BTreeMap, BTreeSet};

use fleet::{InstanceId, Millis};

use crate::digest::SubjectDigest;
use crate::incarnation::IncarnationDigest;
use crate::ledger::{CrashChange, CrashLedger, SubjectStatus, SUCCESS_GRACE_MS};
use crate::messages::CrashList;

/// How long to wait for a report of the runner before a suspicion is confirmed as a crash. Longer than the
/// interval between two reports to other halls.
const CRASH_CONFIRM_DELAY_MS: u64 = 600;
/// Transit time of a report: one received within this time after the attempt failed may have been sent
/// before the runner terminated.
const REPORT_TRANSIT_MS: u64 = 60;
/// Shortest retry delay returned to callers while a probe is due at another gateway.
const PROBE_ELSEWHERE_RETRY_MS: u64 = 1000;
/// Retry delay returned to callers when no further probe is planned.
const NO_PROBE_RETRY_MS: u64 = 3_600_000;

/// Most successes that are kept, 16 bytes each: more than a gateway forwards within `SUCCESS_GRACE_MS`. A
/// success beyond this limit is not recorded and does not clear the request of later crashes.
const MAX_SUCCESSES: usize = 8192;

/// Whether a runner is still running, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerLiveness {
    /// The runner is listed; its last report was received at this time.
    ReportedAt(Millis),
    /// The runner is no longer listed, or has restarted.
    Gone,
}

/// An attempt that failed midway and may have crashed its runner.
#[derive(Clone, Debug)]
struct Suspicion {
    digest: SubjectDigest,
    runner: InstanceId,
    life: IncarnationDigest,
    at: Millis,
}

/// A change in what is known of requests and crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashEvent {
    /// A runner crashed while it processed an attempt of this gateway.
    Crashed {
        /// The request.
        digest: SubjectDigest,
        /// The runner.
        runner: InstanceId,
        /// The number of known crashes under the request.
        crashes: usize,
    },
    /// The status of a request has changed.
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

/// The requests that runners crashed under, as known to a process that sends requests. `K` identifies a
/// request in that process.
#[derive(Debug)]
pub struct Crashes<K> {
    /// The crashes and successes of requests.
    pub ledger: CrashLedger,
    pending: Vec<Suspicion>,
    /// When requests last succeeded here. Entries are removed once older than `SUCCESS_GRACE_MS` if space
    /// is needed.
    successes: BTreeMap<SubjectDigest, Millis>,
    /// Quarantined requests that this process is currently probing, with the key of the probing request.
    probes: BTreeMap<SubjectDigest, K>,
}

impl<K> Default for Crashes<K> {
    fn default() -> Self {
        Self {
            ledger: CrashLedger::default(),
            pending: Vec::new(),
            successes: BTreeMap::new(),
            probes: BTreeMap::new(),
        }
    }
}

impl<K: Copy + PartialEq> Crashes<K> {
    /// Records that an attempt which may have run failed midway.
    pub fn record_suspicion(
        &mut self,
        now: Millis,
        digest: SubjectDigest,
        runner: InstanceId,
        life: IncarnationDigest,
    ) {
        self.pending.push(Suspicion { digest, runner, life, at: now });
    }

    /// Confirms or drops pending suspicions according to the state of their runners. `liveness` returns that
    /// state.
    pub fn resolve_suspicions(
        &mut self,
        now: Millis,
        liveness: impl Fn(&InstanceId, IncarnationDigest) -> RunnerLiveness,
    ) -> Vec<CrashEvent> {
        let mut events = Vec::new();
        for suspicion in std::mem::take(&mut self.pending) {
            let is_due = now.since(suspicion.at).0 >= CRASH_CONFIRM_DELAY_MS;
            match liveness(&suspicion.runner, suspicion.life) {
                RunnerLiveness::ReportedAt(at) if at >= suspicion.at.plus(REPORT_TRANSIT_MS) => {}
                RunnerLiveness::ReportedAt(_) if !is_due => self.pending.push(suspicion),
                RunnerLiveness::ReportedAt(_) | RunnerLiveness::Gone => {
                    events.extend(self.confirm(now, suspicion))
                }
            }
        }
        events
    }

    /// Records a crash that needs no confirmation.
    pub fn note_crash(
        &mut self,
        now: Millis,
        digest: SubjectDigest,
        runner: InstanceId,
        life: IncarnationDigest,
    ) -> Vec<CrashEvent> {
        self.confirm(now, Suspicion { digest, runner, life, at: now })
    }

    fn confirm(&mut self, now: Millis, suspicion: Suspicion) -> Vec<CrashEvent> {
        let Suspicion { digest, runner, life, at } = suspicion;
        if self.has_recent_success(digest, at) {
            return Vec::new();
        }
        let change = self.ledger.note_crash(now, digest, life, at);
        let crashes = self.ledger.crashes(digest);
        let crashed = CrashEvent::Crashed { digest, runner, crashes };
        let changed = change.map(|change| CrashEvent::Changed { change, is_own: true });
        std::iter::once(crashed).chain(changed).collect()
    }

    /// Records that a request succeeded.
    pub fn note_success(&mut self, now: Millis, digest: SubjectDigest) -> Option<CrashEvent> {
        self.pending.retain(|it| it.digest != digest);
        if self.successes.len() >= MAX_SUCCESSES {
            self.successes.retain(|_, at| now.since(*at).0 <= SUCCESS_GRACE_MS);
        }
        if self.successes.len() < MAX_SUCCESSES {
            self.successes.insert(digest, now);
        }
        let change = self.ledger.note_success(now, digest, now)?;
        Some(CrashEvent::Changed { change, is_own: true })
    }

    /// Whether a request succeeded here at most `SUCCESS_GRACE_MS` before `moment`, or after it.
    fn has_recent_success(&self, digest: SubjectDigest, moment: Millis) -> bool {
        self.successes.get(&digest).is_some_and(|at| moment <= at.plus(SUCCESS_GRACE_MS))
    }

    /// Merges a crash list from a sidecar or from the platform's store.
    pub fn merge(&mut self, now: Millis, list: &CrashList) -> Vec<CrashEvent> {
        let changes = self.ledger.merge(now, list).into_iter();
        let mut events: Vec<CrashEvent> =
            changes.map(|change| CrashEvent::Changed { change, is_own: false }).collect();
        // A request that others report may have succeeded here recently.
        for report in &list.0 {
            if let Some(at) = self.successes.get(&report.digest).copied() {
                let change = self.ledger.note_success(now, report.digest, at);
                events.extend(change.map(|change| CrashEvent::Changed { change, is_own: true }));
            }
        }
        events
    }

    /// Whether an arriving request may be sent. `may_try` tells whether this process is the one to probe a
    /// quarantined request.
    pub fn admit(
        &mut self,
        now: Millis,
        key: K,
        digest: SubjectDigest,
        may_try: impl Fn() -> bool,
    ) -> Admission {
        self.ledger.ask(now, digest);
        let admission = self.admission(now, digest);
        let is_due = self.is_probe_due(now, digest) && !self.probes.contains_key(&digest);
        if is_due && may_try() {
            self.probes.insert(digest, key);
            return Admission::Admitted { is_suspect: true };
        }
        admission
    }

    /// Whether a request that was admitted before may still be sent.
    pub fn still_admits(&self, now: Millis, key: K, digest: SubjectDigest) -> Admission {
        let is_probe = self.probes.get(&digest) == Some(&key);
        match self.admission(now, digest) {
            // The attempt of the probe failed as well; the request does not get a second one.
            refused @ Admission::Refused { .. } if !is_probe || self.has_pending(digest) => refused,
            Admission::Refused { .. } => Admission::Admitted { is_suspect: true },
            admitted => admitted,
        }
    }

    /// Removes the state of a request that has ended.
    pub fn remove(&mut self, key: K, digest: SubjectDigest) {
        if self.probes.get(&digest) == Some(&key) {
            self.probes.remove(&digest);
        }
    }

    fn admission(&self, now: Millis, digest: SubjectDigest) -> Admission {
        match self.status(now, digest) {
            SubjectStatus::Clear => Admission::Admitted { is_suspect: false },
            SubjectStatus::Suspect => Admission::Admitted { is_suspect: true },
            SubjectStatus::Quarantined { probe_in_ms } => Admission::Refused {
                retry_after_ms: probe_in_ms
                    .map_or(NO_PROBE_RETRY_MS, |it| it.max(PROBE_ELSEWHERE_RETRY_MS)),
            },
        }
    }

    /// The status of a request, counting pending suspicions as crashes: a caller that retries immediately
    /// cannot reach more runners than the quarantine threshold.
    fn status(&self, now: Millis, digest: SubjectDigest) -> SubjectStatus {
        let pending = self.pending.iter().filter(|it| it.digest == digest);
        let incarnations: BTreeSet<IncarnationDigest> = pending.map(|it| it.life).collect();
        self.ledger.status(now, digest, &incarnations)
    }

    fn is_probe_due(&self, now: Millis, digest: SubjectDigest) -> bool {
        let status = self.ledger.status(now, digest, &BTreeSet::new());
        status == SubjectStatus::Quarantined { probe_in_ms: Some(0) } && !self.has_pending(digest)
    }

    fn has_pending(&self, digest: SubjectDigest) -> bool {
        self.pending.iter().any(|it| it.digest == digest)
    }
}
