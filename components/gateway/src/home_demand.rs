//! Holds back capacity in tight home regions from requests that may be served anywhere.
//!
//! A region that is the only home of many callers runs out of capacity before the others. A request
//! without home regions that takes a slot there costs a bound request its only chance, and gains
//! nothing that another region would not provide.

use std::collections::{BTreeMap, BTreeSet};

use fleet::{Hall, Millis, Region, ServiceName};

use crate::event::Arrival;

/// Decay time of the request counts, in milliseconds: after it a request counts for about a third
/// (1/e). It equals the longest retry delay, so that capacity is still held back for callers that
/// come back.
const DECAY_MS: f64 = 2000.0;
/// A home region is tight when the requests bound to it are at least this part of its even share of
/// all requests. Below it the other half of its slots is enough for the variation of the bound
/// requests, and the region is treated like any other.
const TIGHT_SHARE: f64 = 0.5;
/// Minimum number of bound requests within the decay time. Fewer are not significant: for a service
/// that receives seven requests in that time, a single one would be half of an even share.
const MIN_BOUND_REQUESTS: f64 = 2.0;
/// One in this number of slots of a runner in a tight home region is held back.
const HELD_BACK_DIVISOR: u32 = 4;

/// An exponentially decaying count of requests.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    count: f64,
    at: Millis,
}

impl DecayingCount {
    fn now(&self, now: Millis) -> f64 {
        self.count * (-(now.since(self.at).0 as f64) / DECAY_MS).exp()
    }

    fn add(&mut self, now: Millis, part: f64) {
        *self = Self { count: self.now(now) + part, at: now };
    }
}

/// Recent requests for one service.
#[derive(Clone, Debug, Default)]
struct ServiceDemand {
    all: DecayingCount,
    bound: BTreeMap<Region, DecayingCount>,
}

/// Tracks which home regions are tight, by the requests that arrived recently. Empty, and without
/// cost, until a bound request arrives.
#[derive(Clone, Debug, Default)]
pub(crate) struct HomeDemand {
    services: BTreeMap<ServiceName, ServiceDemand>,
}

impl HomeDemand {
    /// Records a request. A request with several home regions counts for a part in each.
    pub fn record(&mut self, now: Millis, arrival: &Arrival) {
        if arrival.homes.is_bound() {
            self.record_bound(now, arrival);
        } else if let Some(demand) = self.services.get_mut(&arrival.service) {
            demand.all.add(now, 1.0);
        }
    }

    fn record_bound(&mut self, now: Millis, arrival: &Arrival) {
        let demand = self.services.entry(arrival.service.clone()).or_default();
        demand.all.add(now, 1.0);
        let part = 1.0 / arrival.homes.regions().count().max(1) as f64;
        for region in arrival.homes.regions() {
            demand.bound.entry(region.clone()).or_default().add(now, part);
        }
    }

    /// The tight home regions for a request that may be served elsewhere. None if all regions are
    /// tight: each region then has its own callers, and unbound requests take no more capacity from
    /// one than from another.
    pub fn tight<'a>(
        &self,
        now: Millis,
        arrival: &Arrival,
        halls: &'a BTreeMap<Hall, Region>,
    ) -> Vec<&'a Region> {
        match self.services.get(&arrival.service) {
            Some(demand) if !arrival.homes.is_bound() => demand.tight(now, halls),
            _ => Vec::new(),
        }
    }

    /// Number of tight home regions, summed over all services.
    pub fn count_tight(&self, now: Millis, halls: &BTreeMap<Hall, Region>) -> usize {
        self.services.values().map(|it| it.tight(now, halls).len()).sum()
    }
}

impl ServiceDemand {
    /// The tight regions; none if all are tight.
    fn tight<'a>(&self, now: Millis, halls: &'a BTreeMap<Hall, Region>) -> Vec<&'a Region> {
        let regions: BTreeSet<&Region> = halls.values().collect();
        let count = regions.len();
        let even_share = self.all.now(now) / count.max(1) as f64;
        let mut tight: Vec<&Region> = regions.into_iter().collect();
        tight.retain(|it| self.is_tight(now, it, even_share));
        if tight.len() == count {
            return Vec::new();
        }
        tight
    }

    /// Whether a region is tight. `even_share` is the region's share of all requests if all regions had
    /// the same share.
    fn is_tight(&self, now: Millis, region: &Region, even_share: f64) -> bool {
        let bound = self.bound.get(region).map_or(0.0, |it| it.now(now));
        bound >= even_share * TIGHT_SHARE && bound >= MIN_BOUND_REQUESTS
    }
}

/// How many slots of a runner in a tight home region a request without home regions leaves free. If
/// none were held back, the bound requests would be served least: waiting requests take each slot
/// that becomes free, whatever the cost of the runner in the comparison. Holding back more does not
/// help the bound requests, and fewer requests are served in total.
pub(crate) fn held_back(slots: u32) -> u32 {
    let held = (slots / HELD_BACK_DIVISOR).max(1);
    // The only slot of a runner is open to all requests.
    held.min(slots.saturating_sub(1))
}
