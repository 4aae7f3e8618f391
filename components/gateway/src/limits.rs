//! Limits how many requests this gateway sends to runners that have a rate limit.
//!
//! The sidecar of a model runner grants reservations within the runner's rate limit. For a runner
//! without such a sidecar a few gateways are responsible, which share its rate.

use std::collections::{BTreeMap, BTreeSet};

use fleet::{InstanceId, Millis, Rate, RateLimit, ReportedLimit};
use quarantine::IncarnationDigest;
use rand::seq::IteratorRandom;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::rate_shares::RateShares;
use crate::runner::Runner;

/// The lowest rate share of a gateway, in requests per second: with a lower one no gateway would
/// send for many seconds.
const MIN_SHARE_PER_S: f64 = 0.5;
/// Maximum number of gateways that share a rate, in excess of the requests per second of the rate.
const MAX_EXTRA_GATEWAYS: usize = 4;
/// Interval between checks of which gateways are responsible, in milliseconds: a fraction of the
/// time after which a disconnected gateway is no longer responsible.
const CHECK_INTERVAL_MS: u64 = 500;
/// Maximum number of limits in one list, of about 15 bytes each.
const MAX_LIMITS_PER_MESSAGE: usize = 8;
/// How long a limit that is no longer reported is remembered, in milliseconds: gateways report
/// theirs each second.
const LIMIT_MEMORY_MS: u64 = 10_000;

/// Maximum number of gateways that share a rate. Each may send a request at the same moment, so
/// within a few seconds the total exceeds the rate by up to this number.
pub(crate) fn max_gateways(rate: Rate) -> usize {
    let by_share = (rate.asked_per_s() / MIN_SHARE_PER_S) as usize;
    let by_burst = (rate.asked_per_s() as usize).saturating_add(MAX_EXTRA_GATEWAYS);
    by_share.min(by_burst).max(1)
}

/// Rate shares of this gateway for runners that have a rate limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitRateShares {
    /// Runners that have a rate limit or had one recently.
    runners: BTreeSet<InstanceId>,
    rate_shares: RateShares,
    /// When the shares were last checked.
    checked_at: Millis,
}

impl LimitRateShares {
    /// Adds a runner that reported a rate limit.
    pub(crate) fn add(&mut self, runner: &InstanceId) {
        self.runners.insert(runner.clone());
    }

    /// Removes a runner that has reported no rate limit for a while or is no longer listed.
    pub(crate) fn forget(&mut self, runner: &InstanceId) {
        self.runners.remove(runner);
        self.rate_shares.close(runner);
    }

    /// Whether a check of which gateways are responsible is due.
    pub(crate) fn is_due(&mut self, now: Millis) -> bool {
        let is_due = !self.runners.is_empty() && now.since(self.checked_at).0 >= CHECK_INTERVAL_MS;
        if is_due {
            self.checked_at = now;
        }
        is_due
    }

    /// The runners that have a rate limit or had one recently.
    pub(crate) fn runners(&self) -> impl Iterator<Item = &InstanceId> {
        self.runners.iter()
    }

    /// Sets what this gateway may send to a runner without its sidecar: the rate divided by the
    /// number of gateways. `None` allows nothing.
    pub(crate) fn set_share(
        &mut self,
        now: Millis,
        runner: &InstanceId,
        rate: Rate,
        gateways: Option<usize>,
    ) {
        match gateways {
            Some(gateways) => {
                let per_s = rate.asked_per_s() / gateways.max(1) as f64;
                self.rate_shares.set(now, runner, per_s);
            }
            None => self.rate_shares.close(runner),
        }
    }

    /// In how many milliseconds this gateway may send a request to a runner without its sidecar. If
    /// it has no share, in how many another gateway may.
    pub(crate) fn rate_allows_in_ms(&self, now: Millis, runner: &Runner) -> u64 {
        let Some(rate) = runner.notices.limit.rate() else {
            return 0;
        };
        let own = self.rate_shares.rate_allows_in_ms(now, &runner.record.id);
        own.unwrap_or((1000.0 / rate.asked_per_s()) as u64)
    }

    /// Counts a request sent to a runner, if this gateway's share allows one now.
    pub(crate) fn take_token(&mut self, now: Millis, runner: &InstanceId) -> bool {
        self.rate_shares.take_token(now, runner)
    }
}

/// The rate limit of one incarnation of a runner, as processes exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationLimit {
    /// Digest of the runner's incarnation.
    pub life: IncarnationDigest,
    /// The rate limit.
    pub limit: ReportedLimit,
}

/// Selects as many random limits as fit in one list.
pub(crate) fn draw_limits(
    limits: impl Iterator<Item = IncarnationLimit>,
    random: &mut impl Rng,
) -> Vec<IncarnationLimit> {
    limits.choose_multiple(random, MAX_LIMITS_PER_MESSAGE)
}

/// The rate limits that a sidecar received from gateways.
#[derive(Clone, Debug, Default)]
pub struct KnownLimits {
    /// The limits, and when each was last reported.
    received: BTreeMap<IncarnationDigest, (RateLimit, Millis)>,
}

impl KnownLimits {
    /// Records the limits that a gateway reports.
    pub fn take(&mut self, now: Millis, reported: &[IncarnationLimit]) {
        for IncarnationLimit { life, limit } in reported {
            let (known, reported_at) = self.received.entry(*life).or_default();
            known.apply_report(now, None, *limit);
            *reported_at = now;
        }
        self.received.retain(|_, (_, reported_at)| now.since(*reported_at).0 <= LIMIT_MEMORY_MS);
    }

    /// The limits that are sent to a gateway. If there are too many for one message, a random
    /// selection.
    pub fn list(&self, now: Millis, random: &mut impl Rng) -> Vec<IncarnationLimit> {
        let reported = self.received.iter().filter_map(|(life, (limit, _))| {
            Some(IncarnationLimit { life: *life, limit: limit.to_report(now, None)? })
        });
        draw_limits(reported, random)
    }
}
