//! The entry of one subject in the ledger.

use std::collections::BTreeMap;

use fleet::Millis;

use crate::digest::SubjectDigest;
use crate::incarnation::IncarnationDigest;
use crate::messages::{CrashReport, SubjectReport};

/// Number of runners that must crash under a subject, with no success in between, to quarantine it. One or
/// two may crash under a harmless one, because every request on a runner fails when another one crashes it.
pub(super) const QUARANTINE_THRESHOLD: usize = 3;
/// Most crashes that are kept of one subject: all that happen until every gateway refuses it. Crashes that are not
/// kept would count against the subjects that accompany it.
const MAX_CRASHES_PER_SUBJECT: usize = 16;
/// How long a change is sent to other processes. Gateways and sidecars exchange messages every second, and
/// one or two datagrams may be lost.
const FRESH_MS: u64 = 3000;
/// How long one or two crashes are kept. A subject that arrives less often does little harm.
const SUSPECT_TTL_MS: u64 = 600_000;
/// How long a subject stays in quarantine after a caller last asked for it.
const QUARANTINE_TTL_MS: u64 = 3_600_000;
/// How long a success is kept: as long as earlier crashes may still be reported.
const SUCCESS_TTL_MS: u64 = 10_000;
/// How long after a success crashes are not attributed to the subject. One that crashes every runner that starts a
/// request with it never succeeds. One that many requests have runs on every runner that crashes, and would
/// otherwise be quarantined along with the cause of the crashes.
pub(crate) const SUCCESS_GRACE_MS: u64 = 3000;
/// Delay before a quarantined subject may be probed for the first time; it is multiplied by four with each
/// further crash. Longer than the capacity shortage that the crashes cause.
const FIRST_PROBE_DELAY_MS: u64 = 10_000;
/// Largest number of crashes after which a probe of a request is allowed. There are at most two probes, so a request
/// that was probed twice has crashed five runners.
const MAX_CRASHES_FOR_PROBE: usize = QUARANTINE_THRESHOLD + 1;
/// The same for a part of prompts: it may reach three runners after the fifth crash, so that a part that was on five
/// by chance is not refused for good.
const MAX_CRASHES_FOR_PART_PROBE: usize = 7;

/// The crashes and the last success of a subject.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) crashes: BTreeMap<IncarnationDigest, Millis>,
    succeeded_at: Option<Millis>,
    /// When the entry last changed.
    pub(super) changed_at: Millis,
    /// When a caller last asked for the subject.
    pub(super) asked_at: Millis,
    /// Whether the platform's store contains the quarantine of the subject.
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

    pub(super) fn is_fresh(&self, now: Millis) -> bool {
        now.since(self.changed_at).0 <= FRESH_MS
    }

    /// When the entry expires.
    pub(super) fn expires_at(&self) -> Millis {
        let ttl = match self.crashes.len() {
            0 => SUCCESS_TTL_MS,
            crashes if crashes < QUARANTINE_THRESHOLD => SUSPECT_TTL_MS,
            _ => QUARANTINE_TTL_MS,
        };
        self.changed_at.max(self.asked_at).plus(ttl)
    }

    /// Adds a crash. Returns whether the entry changed.
    pub(super) fn add(&mut self, life: IncarnationDigest, at: Millis) -> bool {
        if self.succeeded_at.is_some_and(|it| at <= it.plus(SUCCESS_GRACE_MS)) {
            return false;
        }
        if let Some(known) = self.crashes.get_mut(&life) {
            // The latest report counts, so that all processes converge on the same time.
            *known = (*known).max(at);
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES_PER_SUBJECT {
            return false;
        }
        self.crashes.insert(life, at);
        true
    }

    /// Records a success and removes the crashes that it makes void. Returns whether crashes were removed.
    pub(super) fn clear(&mut self, at: Millis) -> bool {
        if self.succeeded_at.is_some_and(|it| at <= it) {
            return false;
        }
        self.succeeded_at = Some(at);
        let before = self.crashes.len();
        self.crashes.retain(|_, crashed_at| *crashed_at > at.plus(SUCCESS_GRACE_MS));
        self.crashes.len() < before
    }

    /// Merges what another process reports of the subject. Returns whether the entry changed.
    pub(super) fn merge(&mut self, now: Millis, report: &SubjectReport) -> bool {
        let is_recorded = report.is_recorded && !self.is_recorded;
        self.is_recorded |= report.is_recorded;
        let success = report.success_age_ms.map(|age| now.minus(u64::from(age)));
        let is_cleared = success.is_some_and(|at| self.clear(at));
        let mut is_changed = is_cleared || is_recorded;
        for crash in &report.crashes {
            is_changed |= self.add(crash.life, now.minus(u64::from(crash.age_ms)));
        }
        is_changed
    }

    /// When the subject may be probed, if it may.
    pub(super) fn probe_at(&self, digest: SubjectDigest) -> Option<Millis> {
        let most =
            if digest.is_part() { MAX_CRASHES_FOR_PART_PROBE } else { MAX_CRASHES_FOR_PROBE };
        let last = self.crashes.values().max()?;
        let delay = FIRST_PROBE_DELAY_MS << (2 * (self.crashes.len() - QUARANTINE_THRESHOLD));
        (self.crashes.len() <= most).then(|| last.plus(delay))
    }

    /// The entry in the form that is sent to other processes.
    pub(super) fn to_message(&self, now: Millis, digest: SubjectDigest) -> SubjectReport {
        let age = |at: Millis| u32::try_from(now.since(at).0).unwrap_or(u32::MAX);
        let crash = |(life, at): (&IncarnationDigest, &Millis)| CrashReport {
            life: *life,
            age_ms: age(*at),
        };
        SubjectReport {
            digest,
            crashes: self.crashes.iter().map(crash).collect(),
            success_age_ms: self.succeeded_at.map(age),
            is_recorded: self.is_recorded,
        }
    }
}
