//! How many requests this gateway sends to plain runners that are cold.
//!
//! No sidecar stands beside them. A few gateways are responsible for each, and share the rate that it bears.

use std::collections::BTreeMap;

use fleet::{InstanceId, Millis, ServiceName};

use crate::catalog::ColdProfile;
use crate::event::ColdBounds;
use crate::runner::Runner;
use crate::shares::{RunnerShares, BURST};

/// How much longer than a second what is sent in a second was chosen over: by the time of a connection and,
/// for a machine that is short of processor time, some more.
const SEND_STRETCH: f64 = 1.35;

/// What one gateway may send to a cold runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdShare {
    /// The most gateways that share a runner.
    pub gateways: usize,
    /// Requests a second of all of them together.
    pub per_s: f64,
}

impl ColdShare {
    /// As many gateways as the bound has room for one request of each at once, above the rate that the runner bears.
    pub fn new(profile: ColdProfile, bounds: ColdBounds) -> Self {
        let gateways = bounds.slack.max(1.0) as usize;
        let bound = profile.requests_per_s * bounds.overrun + bounds.slack;
        let lasting = (bound - gateways as f64 * BURST) / SEND_STRETCH;
        let per_s = profile.requests_per_s.min(lasting).max(0.0);
        Self { gateways, per_s }
    }
}

/// What may be sent to each cold runner now.
#[derive(Clone, Debug, Default)]
pub struct ColdGates {
    /// The plain services whose runners start cold.
    services: BTreeMap<ServiceName, ColdShare>,
    shares: RunnerShares,
}

impl ColdGates {
    /// Sets the plain services whose runners start cold.
    pub fn set_services(&mut self, services: BTreeMap<ServiceName, ColdShare>) {
        self.services = services;
    }

    /// Those services, with what one gateway may send to a runner of theirs.
    pub fn services(&self) -> impl Iterator<Item = (ServiceName, ColdShare)> + '_ {
        self.services.iter().map(|(name, share)| (name.clone(), *share))
    }

    /// Sets what this gateway may send to a cold runner that it is responsible for with so many others.
    pub fn set(&mut self, now: Millis, runner: &InstanceId, share: ColdShare, gateways: usize) {
        self.shares.set(now, runner, share.per_s / gateways.max(1) as f64);
    }

    /// Lets nothing through to a runner.
    pub fn close(&mut self, runner: &InstanceId) {
        self.shares.close(runner);
    }

    /// Whether a request may be sent to a runner as far as a cold start goes.
    pub fn admit(&self, now: Millis, runner: &Runner) -> bool {
        if !self.services.contains_key(&runner.record.service) || runner.cold_left_ms(now) == 0 {
            return true;
        }
        self.shares.has_turn(now, &runner.record.id)
    }

    /// Whether this gateway is one of those that send to a cold runner.
    pub fn is_open(&self, runner: &InstanceId) -> bool {
        self.shares.is_open(runner)
    }

    /// Counts a request that is sent to a cold runner, if its turn has come.
    pub fn take(&mut self, now: Millis, runner: &InstanceId) -> bool {
        self.shares.take_turn(now, runner)
    }
}
