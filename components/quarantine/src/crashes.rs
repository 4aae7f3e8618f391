//! Whether runners crash under a request, and what that makes of it.
//!
//! An attempt that breaks off is a suspicion against the request as well as against the runner. It becomes a crash where
//! the runner shows no sign of life afterwards. See `CrashLedger` for how gateways add these up.

use std::collections::{BTreeMap, BTreeSet};

use fleet::{InstanceId, Millis};

use crate::digest::RequestDigest;
use crate::ledger::{CrashChange, CrashLedger, RequestStatus, SUCCESS_COUNTS_FOR};
use crate::life::LifeDigest;
use crate::told::CrashList;

/// How long a runner has to show that it lives, in milliseconds: longer than the pause between two reports
/// to other halls.
const CONFIRM_AFTER: u64 = 600;
/// What arrives so soon may have left the runner before it ended, in milliseconds.
const WAY: u64 = 60;
/// When callers come back where a probe is due that is for another gateway, in milliseconds.
const PROBE_ELSEWHERE: u64 = 1000;
/// When they do where none is to come, in milliseconds.
const NO_PROBE: u64 = 3_600_000;

/// The most successes that are remembered, of 16 bytes each: more than a gateway hands on within their time. What finds
/// no room has to be told apart without.
const MOST_SUCCESSES: usize = 8192;

/// What is seen of the life of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It is listed, and was last heard of then.
    Heard(Millis),
    /// It is listed no more, or has started anew.
    Over,
}

/// An attempt that broke off.
#[derive(Clone, Debug)]
struct Suspicion {
    digest: RequestDigest,
    runner: InstanceId,
    life: LifeDigest,
    at: Millis,
}

/// Something to tell of requests and crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashNews {
    /// A runner crashed while this gateway's attempt ran there.
    Crashed {
        /// The request.
        digest: RequestDigest,
        /// The runner.
        runner: InstanceId,
        /// How many have crashed under the request, as far as known.
        crashes: usize,
    },
    /// The status of a request has changed.
    Changed {
        /// How.
        change: CrashChange,
        /// Whether this gateway saw it itself; others told it otherwise.
        is_own: bool,
    },
}

impl CrashNews {
    /// Whether this process found it itself, so that others should hear of it at once.
    pub fn is_own(&self) -> bool {
        match self {
            Self::Crashed { .. } => true,
            Self::Changed { is_own, .. } => *is_own,
        }
    }
}

/// What becomes of a request by what is known of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent. A suspect is kept apart from others.
    Admitted {
        /// Whether runners crashed under it.
        is_suspect: bool,
    },
    /// It is refused.
    Barred {
        /// When its caller may come back, in milliseconds.
        retry_after_ms: u64,
    },
}

/// The requests that runners crashed under, as one who sends requests knows them. `K` is the key of a request there.
#[derive(Debug)]
pub struct Crashes<K> {
    /// What is known of requests.
    pub ledger: CrashLedger,
    open: Vec<Suspicion>,
    /// When requests last ended well here, as long as that speaks for them.
    successes: BTreeMap<RequestDigest, Millis>,
    /// Requests in quarantine that are tried once more here now.
    probes: BTreeMap<RequestDigest, K>,
}

impl<K> Default for Crashes<K> {
    fn default() -> Self {
        Self {
            ledger: CrashLedger::default(),
            open: Vec::new(),
            successes: BTreeMap::new(),
            probes: BTreeMap::new(),
        }
    }
}

impl<K: Copy + PartialEq> Crashes<K> {
    /// An attempt that may have run broke off.
    pub fn suspect(
        &mut self,
        now: Millis,
        digest: RequestDigest,
        runner: InstanceId,
        life: LifeDigest,
    ) {
        self.open.push(Suspicion { digest, runner, life, at: now });
    }

    /// Decides on suspicions by what was seen of their runners meanwhile.
    pub fn settle(
        &mut self,
        now: Millis,
        sign: impl Fn(&InstanceId, LifeDigest) -> Sign,
    ) -> Vec<CrashNews> {
        let mut news = Vec::new();
        for suspicion in std::mem::take(&mut self.open) {
            let is_due = now.since(suspicion.at).0 >= CONFIRM_AFTER;
            match sign(&suspicion.runner, suspicion.life) {
                Sign::Heard(at) if at >= suspicion.at.plus(WAY) => {}
                Sign::Heard(_) if !is_due => self.open.push(suspicion),
                Sign::Heard(_) | Sign::Over => news.extend(self.confirm(now, suspicion)),
            }
        }
        news
    }

    /// Notes a crash that needs no other sign.
    pub fn note_crash(
        &mut self,
        now: Millis,
        digest: RequestDigest,
        runner: InstanceId,
        life: LifeDigest,
    ) -> Vec<CrashNews> {
        self.confirm(now, Suspicion { digest, runner, life, at: now })
    }

    fn confirm(&mut self, now: Millis, suspicion: Suspicion) -> Vec<CrashNews> {
        let Suspicion { digest, runner, life, at } = suspicion;
        if self.has_just_succeeded(digest, at) {
            return Vec::new();
        }
        let change = self.ledger.note_crash(now, digest, life, at);
        let crashes = self.ledger.crashes(digest);
        let crashed = CrashNews::Crashed { digest, runner, crashes };
        let changed = change.map(|change| CrashNews::Changed { change, is_own: true });
        std::iter::once(crashed).chain(changed).collect()
    }

    /// A request ended well.
    pub fn note_success(&mut self, now: Millis, digest: RequestDigest) -> Option<CrashNews> {
        self.open.retain(|it| it.digest != digest);
        if self.successes.len() >= MOST_SUCCESSES {
            self.successes.retain(|_, at| now.since(*at).0 <= SUCCESS_COUNTS_FOR);
        }
        if self.successes.len() < MOST_SUCCESSES {
            self.successes.insert(digest, now);
        }
        let change = self.ledger.note_success(now, digest, now)?;
        Some(CrashNews::Changed { change, is_own: true })
    }

    /// Whether a request had ended well here shortly before a moment, or has since.
    fn has_just_succeeded(&self, digest: RequestDigest, moment: Millis) -> bool {
        self.successes.get(&digest).is_some_and(|at| moment <= at.plus(SUCCESS_COUNTS_FOR))
    }

    /// Takes in what a sidecar or the platform's store tells.
    pub fn take(&mut self, now: Millis, list: &CrashList) -> Vec<CrashNews> {
        let changes = self.ledger.take(now, list).into_iter();
        let mut news: Vec<CrashNews> =
            changes.map(|change| CrashNews::Changed { change, is_own: false }).collect();
        // What others blame may have just ended well here.
        for told in &list.0 {
            if let Some(at) = self.successes.get(&told.digest).copied() {
                let change = self.ledger.note_success(now, told.digest, at);
                news.extend(change.map(|change| CrashNews::Changed { change, is_own: true }));
            }
        }
        news
    }

    /// Whether a request that arrives may be sent. `may_try` tells whether it is up to this process to try a request in
    /// quarantine once more.
    pub fn admit(
        &mut self,
        now: Millis,
        key: K,
        digest: RequestDigest,
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

    /// Whether a request that was admitted may still be sent.
    pub fn admits(&self, now: Millis, key: K, digest: RequestDigest) -> Admission {
        let is_probe = self.probes.get(&digest) == Some(&key);
        match self.admission(now, digest) {
            // Its attempt has broken off as well: no second one.
            barred @ Admission::Barred { .. } if !is_probe || self.has_open(digest) => barred,
            Admission::Barred { .. } => Admission::Admitted { is_suspect: true },
            admitted => admitted,
        }
    }

    /// A request has ended.
    pub fn end(&mut self, key: K, digest: RequestDigest) {
        if self.probes.get(&digest) == Some(&key) {
            self.probes.remove(&digest);
        }
    }

    fn admission(&self, now: Millis, digest: RequestDigest) -> Admission {
        match self.status(now, digest) {
            RequestStatus::Clear => Admission::Admitted { is_suspect: false },
            RequestStatus::Suspect => Admission::Admitted { is_suspect: true },
            RequestStatus::Quarantined { probe_in_ms } => Admission::Barred {
                retry_after_ms: probe_in_ms.map_or(NO_PROBE, |it| it.max(PROBE_ELSEWHERE)),
            },
        }
    }

    /// The status with the suspicions that are still open: a caller that comes back at once is not sent to more
    /// runners than it takes.
    fn status(&self, now: Millis, digest: RequestDigest) -> RequestStatus {
        let open = self.open.iter().filter(|it| it.digest == digest);
        let lives: BTreeSet<LifeDigest> = open.map(|it| it.life).collect();
        self.ledger.status(now, digest, &lives)
    }

    fn is_probe_due(&self, now: Millis, digest: RequestDigest) -> bool {
        let status = self.ledger.status(now, digest, &BTreeSet::new());
        status == RequestStatus::Quarantined { probe_in_ms: Some(0) } && !self.has_open(digest)
    }

    fn has_open(&self, digest: RequestDigest) -> bool {
        self.open.iter().any(|it| it.digest == digest)
    }
}
