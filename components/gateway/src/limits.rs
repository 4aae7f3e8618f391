//! How many requests this gateway sends to runners that name the rate that they take.
//!
//! The sidecar beside a model runner keeps its places to the rate. Where no sidecar does, a few gateways are responsible for
//! the runner and share the rate.

use std::collections::{BTreeMap, BTreeSet};

use fleet::{InstanceId, Millis, Rate, RateLimit, ToldLimit};
use quarantine::LifeDigest;
use rand::seq::IteratorRandom;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::runner::Runner;
use crate::shares::RunnerShares;

/// The lowest share of a gateway, in requests a second: with a lower one nobody would send for many seconds.
const LEAST_SHARE_PER_S: f64 = 0.5;
/// How many gateways more than the rate has requests a second share it at the most.
const SPARE_GATEWAYS: usize = 4;
/// How often it is looked at who is responsible, in milliseconds: a fraction of the time after which one that is cut off
/// is not any more.
const LOOK_EVERY: u64 = 500;
/// The most limits in one list, of about 15 bytes each.
const MOST_TOLD: usize = 8;
/// How long a limit that nobody tells of any more is remembered, in milliseconds: gateways tell of theirs each second.
const MEMORY: u64 = 10_000;

/// The most gateways that share a rate. Each may send a request at the same moment, so the sum of a few seconds is
/// above the rate by as many.
pub(crate) fn most_gateways(rate: Rate) -> usize {
    let by_share = (rate.asked_per_s() / LEAST_SHARE_PER_S) as usize;
    let by_sum = (rate.asked_per_s() as usize).saturating_add(SPARE_GATEWAYS);
    by_share.min(by_sum).max(1)
}

/// What this gateway may send to runners that name a limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitGates {
    /// Runners that name a limit, or did lately.
    runners: BTreeSet<InstanceId>,
    shares: RunnerShares,
    /// When the shares were last looked at.
    looked_at: Millis,
}

impl LimitGates {
    /// A runner has named a limit.
    pub(crate) fn add(&mut self, runner: &InstanceId) {
        self.runners.insert(runner.clone());
    }

    /// A runner has named none for a while, or is there no more.
    pub(crate) fn forget(&mut self, runner: &InstanceId) {
        self.runners.remove(runner);
        self.shares.close(runner);
    }

    /// Whether it is time to look who is responsible.
    pub(crate) fn is_due(&mut self, now: Millis) -> bool {
        let is_due = !self.runners.is_empty() && now.since(self.looked_at).0 >= LOOK_EVERY;
        if is_due {
            self.looked_at = now;
        }
        is_due
    }

    /// The runners that name a limit, or did lately.
    pub(crate) fn runners(&self) -> impl Iterator<Item = &InstanceId> {
        self.runners.iter()
    }

    /// Sets what this gateway may send to a runner by itself: the rate's part of one gateway in so many. `None`: nothing.
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
                self.shares.set(now, runner, per_s);
            }
            None => self.shares.close(runner),
        }
    }

    /// In how many milliseconds this gateway may send a request to a runner by itself. Where it has no share, in how many
    /// another one may.
    pub(crate) fn turn_in_ms(&self, now: Millis, runner: &Runner) -> u64 {
        let Some(rate) = runner.notices.limit.rate() else {
            return 0;
        };
        let own = self.shares.turn_in_ms(now, &runner.record.id);
        own.unwrap_or((1000.0 / rate.asked_per_s()) as u64)
    }

    /// Counts a request that is sent to a runner, if this gateway may send one by itself.
    pub(crate) fn take_turn(&mut self, now: Millis, runner: &InstanceId) -> bool {
        self.shares.take_turn(now, runner)
    }
}

/// The rate limit of a life of a runner, as processes tell each other of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LifeLimit {
    /// The life.
    pub life: LifeDigest,
    /// Its limit.
    pub limit: ToldLimit,
}

/// Draws as many limits as one list holds.
pub(crate) fn draw_told(
    limits: impl Iterator<Item = LifeLimit>,
    random: &mut impl Rng,
) -> Vec<LifeLimit> {
    limits.choose_multiple(random, MOST_TOLD)
}

/// What a sidecar remembers of the rate limits that gateways tell of.
#[derive(Clone, Debug, Default)]
pub struct LimitsHeard {
    /// Limits, and when each was last told of.
    heard: BTreeMap<LifeDigest, (RateLimit, Millis)>,
}

impl LimitsHeard {
    /// Takes in what a gateway tells.
    pub fn take(&mut self, now: Millis, told: &[LifeLimit]) {
        for LifeLimit { life, limit } in told {
            let (known, told_at) = self.heard.entry(*life).or_default();
            known.learn(now, None, *limit);
            *told_at = now;
        }
        self.heard.retain(|_, (_, told_at)| now.since(*told_at).0 <= MEMORY);
    }

    /// What a gateway is told. Where there are too many for one answer, others each time.
    pub fn list(&self, now: Millis, random: &mut impl Rng) -> Vec<LifeLimit> {
        let told = self.heard.iter().filter_map(|(life, (limit, _))| {
            Some(LifeLimit { life: *life, limit: limit.told(now, None)? })
        });
        draw_told(told, random)
    }
}
