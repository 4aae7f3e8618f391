//! What requests that may go anywhere leave to those that may not.
//!
//! A region that is the only home of many callers is short of places before the others are. A request without homes
//! that takes a place there costs a bound one its only chance, and gains nothing that another region would not give.

use std::collections::{BTreeMap, BTreeSet};

use fleet::{Hall, Millis, Region, ServiceName};

use crate::event::Arrival;

/// The time after which a request that was seen counts for a third, in milliseconds: the longest time that a caller is
/// asked to stay away, so that a home is still held for those that come back.
const MEMORY_MS: f64 = 2000.0;
/// A home is tight when this part of its even share of all requests may go nowhere else. Below it the other half of
/// its places is enough for the spread of the bound ones; their region is then served as any other.
const TIGHT: f64 = 0.5;
/// Fewer bound requests than this within the memory say nothing about a region: of a service that is asked seven times
/// in that time, a single one would be half of an even share.
const FEW: f64 = 2.0;
/// One of so many places of a runner in a tight home is held back.
const HELD_PART: u32 = 4;

/// Requests that were seen lately.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    count: f64,
    at: Millis,
}

impl Recent {
    fn now(&self, now: Millis) -> f64 {
        self.count * (-(now.since(self.at).0 as f64) / MEMORY_MS).exp()
    }

    fn add(&mut self, now: Millis, part: f64) {
        *self = Self { count: self.now(now) + part, at: now };
    }
}

/// What was seen of one service.
#[derive(Clone, Debug, Default)]
struct Demand {
    all: Recent,
    bound: BTreeMap<Region, Recent>,
}

/// Which homes are tight, by the requests that arrived lately. Empty, and of no cost, until a bound one has.
#[derive(Clone, Debug, Default)]
pub(crate) struct HomeRoom {
    services: BTreeMap<ServiceName, Demand>,
}

impl HomeRoom {
    /// Notes a request. One with several homes counts for a part in each.
    pub fn note(&mut self, now: Millis, arrival: &Arrival) {
        if arrival.homes.is_bound() {
            self.note_bound(now, arrival);
        } else if let Some(demand) = self.services.get_mut(&arrival.service) {
            demand.all.add(now, 1.0);
        }
    }

    fn note_bound(&mut self, now: Millis, arrival: &Arrival) {
        let demand = self.services.entry(arrival.service.clone()).or_default();
        demand.all.add(now, 1.0);
        let part = 1.0 / arrival.homes.regions().count().max(1) as f64;
        for region in arrival.homes.regions() {
            demand.bound.entry(region.clone()).or_default().add(now, part);
        }
    }

    /// The homes that are tight for a request that may go elsewhere. None where all regions are: then each has its
    /// own callers, and what may go anywhere takes no more from one than from another.
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

    /// How many homes are tight, over all services.
    pub fn count_tight(&self, now: Millis, halls: &BTreeMap<Hall, Region>) -> usize {
        self.services.values().map(|it| it.tight(now, halls).len()).sum()
    }
}

impl Demand {
    /// The regions that are tight, none where all are.
    fn tight<'a>(&self, now: Millis, halls: &'a BTreeMap<Hall, Region>) -> Vec<&'a Region> {
        let regions: BTreeSet<&Region> = halls.values().collect();
        let count = regions.len();
        let even = self.all.now(now) / count.max(1) as f64;
        let mut tight: Vec<&Region> = regions.into_iter().collect();
        tight.retain(|it| self.is_tight(now, it, even));
        if tight.len() == count {
            return Vec::new();
        }
        tight
    }

    /// `even` is the region's share of all requests if all regions had the same.
    fn is_tight(&self, now: Millis, region: &Region, even: f64) -> bool {
        let bound = self.bound.get(region).map_or(0.0, |it| it.now(now));
        bound >= even * TIGHT && bound >= FEW
    }
}

/// How many of a runner's places in a tight home a request that may go elsewhere leaves to others. If none
/// were held back, the bound would be served least: whoever waits takes each place that comes free,
/// whatever the runner costs in the comparison. Holding more back gains the bound nothing, and fewer are
/// served in all.
pub(crate) fn held_back(slots: u32) -> u32 {
    let held = (slots / HELD_PART).max(1);
    // The only place of a runner is anybody's.
    held.min(slots.saturating_sub(1))
}
