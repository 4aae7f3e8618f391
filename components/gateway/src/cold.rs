//! Limits how many requests this gateway sends to cold plain runners.
//!
//! Plain runners have no sidecar. For each cold runner a few gateways are responsible, which share
//! the request rate that the runner can handle.

use std::collections::BTreeMap;

use fleet::{InstanceId, Millis, ServiceName};

use crate::catalog::ColdProfile;
use crate::event::ColdBounds;
use crate::rate_shares::{RateShares, BURST_REQUESTS};
use crate::runner::Runner;

/// Factor by which the requests sent in one second may spread beyond that second: the time of a
/// connection, plus a margin for machines that are short of CPU time.
const SEND_SPREAD_FACTOR: f64 = 1.35;

/// The limit on what one gateway may send to a cold runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdShare {
    /// Maximum number of gateways that share a runner.
    pub gateways: usize,
    /// Requests per second of all these gateways together.
    pub per_s: f64,
}

impl ColdShare {
    /// Computes the share from the profile and the bounds. The number of gateways is such that the
    /// bound allows one simultaneous request of each, in addition to the rate that the runner can
    /// handle.
    pub fn new(profile: ColdProfile, bounds: ColdBounds) -> Self {
        let gateways = bounds.slack.max(1.0) as usize;
        let bound = profile.requests_per_s * bounds.overrun + bounds.slack;
        let sustained_per_s = (bound - gateways as f64 * BURST_REQUESTS) / SEND_SPREAD_FACTOR;
        let per_s = profile.requests_per_s.min(sustained_per_s).max(0.0);
        Self { gateways, per_s }
    }
}

/// Rate shares of this gateway for cold runners.
#[derive(Clone, Debug, Default)]
pub struct ColdRateShares {
    /// The plain services whose runners start cold.
    services: BTreeMap<ServiceName, ColdShare>,
    rate_shares: RateShares,
}

impl ColdRateShares {
    /// Sets the plain services whose runners start cold.
    pub fn set_services(&mut self, services: BTreeMap<ServiceName, ColdShare>) {
        self.services = services;
    }

    /// The plain services whose runners start cold, with the share of one gateway for each of their
    /// runners.
    pub fn services(&self) -> impl Iterator<Item = (ServiceName, ColdShare)> + '_ {
        self.services.iter().map(|(name, share)| (name.clone(), *share))
    }

    /// Sets the rate of this gateway for a cold runner; `gateways` is the number of gateways that
    /// share the responsibility for it.
    pub fn set(&mut self, now: Millis, runner: &InstanceId, share: ColdShare, gateways: usize) {
        self.rate_shares.set(now, runner, share.per_s / gateways.max(1) as f64);
    }

    /// Removes the share for a runner, so that nothing is sent to it while it is cold.
    pub fn close(&mut self, runner: &InstanceId) {
        self.rate_shares.close(runner);
    }

    /// Whether a request may be sent to a runner with regard to its cold start.
    pub fn admit(&self, now: Millis, runner: &Runner) -> bool {
        if !self.services.contains_key(&runner.record.service) || runner.cold_left_ms(now) == 0 {
            return true;
        }
        self.rate_shares.has_token(now, &runner.record.id)
    }

    /// Whether this gateway has a share for a cold runner.
    pub fn is_open(&self, runner: &InstanceId) -> bool {
        self.rate_shares.is_open(runner)
    }

    /// Counts a request sent to a cold runner, if the share allows one now.
    pub fn take_token(&mut self, now: Millis, runner: &InstanceId) -> bool {
        self.rate_shares.take_token(now, runner)
    }
}
