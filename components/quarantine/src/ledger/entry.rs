//! What a ledger keeps of one request.

use std::collections::BTreeMap;

use fleet::Millis;

use crate::digest::RequestDigest;
use crate::life::LifeDigest;
use crate::told::{ToldCrash, ToldRequest};

/// Runners that a request has ended, without a success since, when it is in quarantine. One or two may end under
/// anybody's: whoever shares a runner with the cause is cut as well.
pub(super) const QUARANTINE_AT: usize = 3;
/// The most crashes that are kept of one request: more say nothing new.
const MOST_CRASHES: usize = 8;
/// How long a change is told on, in milliseconds: gateways and sidecars speak to each other each second, and one
/// datagram or two may be lost.
const FRESH: u64 = 3000;
/// How long one or two crashes are remembered, in milliseconds. A request that comes again less often does little harm.
const SUSPECT_MEMORY: u64 = 600_000;
/// How long a request stays in quarantine after anybody last asked for it, in milliseconds.
const QUARANTINE_MEMORY: u64 = 3_600_000;
/// How long a success is remembered, in milliseconds: as long as crashes before it may still be told.
const SUCCESS_MEMORY: u64 = 10_000;
/// How long after a success crashes are not blamed on a request, in milliseconds. What crashes each runner
/// that begins it has no success; what many callers ask for is on every runner that crashes, and would come
/// into quarantine beside the request that crashes them.
pub(crate) const SUCCESS_COUNTS_FOR: u64 = 3000;
/// The first pause after which a request in quarantine may be tried once more, in milliseconds; it doubles
/// twice with each crash. It is longer than the shortages that its crashes make.
const PROBE_PAUSE: u64 = 10_000;
/// The most crashes after which there is a probe. At most two, so a request that was tried at both times has ended five
/// runners.
const LAST_PROBE: usize = QUARANTINE_AT + 1;

/// What is kept of a request.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) crashes: BTreeMap<LifeDigest, Millis>,
    succeeded_at: Option<Millis>,
    /// When anything about it last changed.
    pub(super) changed_at: Millis,
    /// When anybody last asked for it.
    pub(super) asked_at: Millis,
    /// Whether the platform's store holds that it is in quarantine.
    pub(super) is_recorded: bool,
}

impl Entry {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            crashes: BTreeMap::new(),
            succeeded_at: None,
            changed_at: now,
            asked_at: now,
            is_recorded: false,
        }
    }

    pub(super) fn is_quarantined(&self) -> bool {
        self.crashes.len() >= QUARANTINE_AT
    }

    pub(super) fn is_fresh(&self, now: Millis) -> bool {
        now.since(self.changed_at).0 <= FRESH
    }

    /// Until when it is kept.
    pub(super) fn kept_until(&self) -> Millis {
        let memory = match self.crashes.len() {
            0 => SUCCESS_MEMORY,
            crashes if crashes < QUARANTINE_AT => SUSPECT_MEMORY,
            _ => QUARANTINE_MEMORY,
        };
        self.changed_at.max(self.asked_at).plus(memory)
    }

    /// Adds a crash. Whether it is news.
    pub(super) fn add(&mut self, life: LifeDigest, at: Millis) -> bool {
        if self.succeeded_at.is_some_and(|it| at <= it.plus(SUCCESS_COUNTS_FOR)) {
            return false;
        }
        if let Some(known) = self.crashes.get_mut(&life) {
            // The latest word counts, so that all processes end up with the same one.
            *known = (*known).max(at);
            return false;
        }
        if self.crashes.len() >= MOST_CRASHES {
            return false;
        }
        self.crashes.insert(life, at);
        true
    }

    /// Takes all suspicion from before a success. Whether it is news.
    pub(super) fn clear(&mut self, at: Millis) -> bool {
        if self.succeeded_at.is_some_and(|it| at <= it) {
            return false;
        }
        self.succeeded_at = Some(at);
        let before = self.crashes.len();
        self.crashes.retain(|_, crashed_at| *crashed_at > at.plus(SUCCESS_COUNTS_FOR));
        self.crashes.len() < before
    }

    /// Takes in what another process tells of it. Whether there is news.
    pub(super) fn merge(&mut self, now: Millis, told: &ToldRequest) -> bool {
        let is_recorded = told.is_recorded && !self.is_recorded;
        self.is_recorded |= told.is_recorded;
        let success = told.success_age_ms.map(|age| now.minus(u64::from(age)));
        let is_cleared = success.is_some_and(|at| self.clear(at));
        let mut is_news = is_cleared || is_recorded;
        for crash in &told.crashes {
            is_news |= self.add(crash.life, now.minus(u64::from(crash.age_ms)));
        }
        is_news
    }

    /// When it may be tried once more, if it may.
    pub(super) fn probe_at(&self) -> Option<Millis> {
        let last = self.crashes.values().max()?;
        let pause = PROBE_PAUSE << (2 * (self.crashes.len() - QUARANTINE_AT));
        (self.crashes.len() <= LAST_PROBE).then(|| last.plus(pause))
    }

    /// It as other processes are told of it.
    pub(super) fn told(&self, now: Millis, digest: RequestDigest) -> ToldRequest {
        let age = |at: Millis| u32::try_from(now.since(at).0).unwrap_or(u32::MAX);
        let crash =
            |(life, at): (&LifeDigest, &Millis)| ToldCrash { life: *life, age_ms: age(*at) };
        ToldRequest {
            digest,
            crashes: self.crashes.iter().map(crash).collect(),
            success_age_ms: self.succeeded_at.map(age),
            is_recorded: self.is_recorded,
        }
    }
}
