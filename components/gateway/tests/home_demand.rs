//! Capacity that requests without home regions leave to bound requests, under a seeded load.

mod support;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use fleet::{Ablation, HomeRegions, Mechanism, Millis};
use gateway::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::*;

/// Number of runners in each of three regions; each has four slots.
const RUNNERS_PER_REGION: usize = 4;
/// Duration of a request, in milliseconds.
const RUN_MS: std::ops::Range<u64> = 150..250;
/// Duration of the load, in milliseconds.
const LOAD_DURATION_MS: u64 = 16_000;
/// Capacity of the runners, in requests per second: 48 slots of 200 ms.
const CAPACITY_PER_S: f64 = 240.0;

/// Number of requests by result.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    request_count: u32,
    served: u32,
    /// Sent to a runner outside the gateway's data hall.
    in_other_hall: u32,
}

impl Count {
    fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.request_count)
    }
}

/// A simulated load on one gateway, and the results of bound and unbound requests. Requests in
/// `bound` with the value `true` may only be served in the north.
struct Simulation {
    gateway: Gateway,
    random: SmallRng,
    ends: BinaryHeap<Reverse<(u64, u64)>>,
    counts: BTreeMap<bool, Count>,
    bound: BTreeMap<u64, bool>,
}

impl Simulation {
    fn new(seed: u64, holds_back: bool, hall: &str) -> Self {
        let disabled = (!holds_back).then_some(Mechanism::HomeRoom);
        let halls = [("a", "north"), ("b", "south"), ("c", "east")];
        let options = GatewayOptions {
            name: "g".into(),
            hall: hall.into(),
            halls: halls.iter().map(|(hall, region)| ((*hall).into(), (*region).into())).collect(),
            ablation: Ablation::without(disabled),
            ..options()
        };
        let mut load = Self {
            gateway: Gateway::new(options),
            random: SmallRng::seed_from_u64(seed),
            ends: BinaryHeap::new(),
            counts: BTreeMap::new(),
            bound: BTreeMap::new(),
        };
        for (index, (hall, _)) in halls.iter().enumerate() {
            for runner in 0..RUNNERS_PER_REGION {
                let port = (index * RUNNERS_PER_REGION + runner + 1) as u16;
                let record = record(&format!("{hall}{runner}"), PLAIN_SERVICE, port);
                load.feed(0, Event::Listed(RunnerRecord { hall: (*hall).into(), ..record }));
            }
        }
        load
    }

    fn feed(&mut self, now: u64, event: Event) {
        let seed = self.random.random();
        for effect in self.gateway.reduce(Millis(now), seed, event) {
            let Effect::Proceed(key, NextStep::Send(target)) = effect else {
                continue;
            };
            self.ends.push(Reverse((now + self.random.random_range(RUN_MS), key.0)));
            let count = self.counts.entry(self.bound[&key.0]).or_default();
            count.served += 1;
            count.in_other_hall += u32::from(!target.id.0.starts_with(&self.gateway.hall().0));
        }
    }

    /// Simulates `load` times the capacity, with this part of the requests bound.
    fn simulate(mut self, load: f64, bound_part: f64) -> (Count, Count) {
        let mut key = 0;
        for now in 1000..1000 + LOAD_DURATION_MS {
            while let Some(Reverse((_, key))) = self.ends.pop_if_due(now) {
                self.feed(now, Event::Attempt(RequestKey(key), AttemptOutcome::Finished));
            }
            if now % 15 == 0 {
                self.feed(now, Event::Tick);
            }
            if self.random.random::<f64>() < load * CAPACITY_PER_S / 1000.0 {
                key += 1;
                let is_bound = self.random.random::<f64>() < bound_part;
                self.bound.insert(key, is_bound);
                self.counts.entry(is_bound).or_default().request_count += 1;
                let north = HomeRegions::only(["north".into()]);
                let homes = if is_bound { north } else { HomeRegions::anywhere() };
                let request = arrival(key, PLAIN_SERVICE, RouteKind::Safe);
                self.feed(now, Event::Arrived(Arrival { homes, ..request }));
            }
        }
        (self.counts[&true], self.counts[&false])
    }
}

trait PopDue {
    fn pop_if_due(&mut self, now: u64) -> Option<Reverse<(u64, u64)>>;
}

impl PopDue for BinaryHeap<Reverse<(u64, u64)>> {
    fn pop_if_due(&mut self, now: u64) -> Option<Reverse<(u64, u64)>> {
        let is_due = self.peek().is_some_and(|Reverse((at, _))| *at <= now);
        if is_due {
            self.pop()
        } else {
            None
        }
    }
}

/// The served share of bound, unbound and all requests.
fn served_shares(holds_back: bool, hall: &str, load: f64, bound_part: f64) -> (f64, f64, f64) {
    let (bound, free) = Simulation::new(7, holds_back, hall).simulate(load, bound_part);
    let all = Count {
        request_count: bound.request_count + free.request_count,
        served: bound.served + free.served,
        in_other_hall: 0,
    };
    (bound.served_share(), free.served_share(), all.served_share())
}

#[test]
fn bound_callers_of_a_tight_home_are_served_despite_many_unbound_requests() {
    for hall in ["a", "b"] {
        let (bound_before, _, all_before) = served_shares(false, hall, 1.3, 0.25);
        let (bound, free, all) = served_shares(true, hall, 1.3, 0.25);
        assert!(bound_before < 0.6, "without held-back capacity: {bound_before}");
        assert!(bound > 0.93 && free > 0.65, "bound {bound}, unbound {free}");
        assert!(all > all_before - 0.01, "of all {all}, before {all_before}");
    }
}

#[test]
fn with_enough_capacity_no_caller_loses_and_few_more_requests_go_to_other_halls() {
    for (load, bound_part) in [(0.5, 0.15), (0.85, 0.28)] {
        let in_other_hall = |holds_back| {
            let (bound, free) = Simulation::new(7, holds_back, "a").simulate(load, bound_part);
            assert!(
                bound.served_share() > 0.99 && free.served_share() > 0.99,
                "{bound:?} {free:?}"
            );
            free.in_other_hall
        };
        let (before, with_room) = (in_other_hall(false), in_other_hall(true));
        assert!(with_room <= before * 21 / 20, "{with_room} sent to other halls, before {before}");
    }
}

#[test]
fn nothing_is_held_back_if_all_regions_are_equally_in_demand() {
    let mut load = Simulation::new(7, true, "a");
    for key in 1..=48 {
        let region = ["north", "south", "east"][key as usize % 3];
        let homes = HomeRegions::only([region.into()]);
        let homes = if key <= 24 { homes } else { HomeRegions::anywhere() };
        load.bound.insert(key, key <= 24);
        load.counts.entry(key <= 24).or_default().request_count += 1;
        let request = arrival(key, PLAIN_SERVICE, RouteKind::Safe);
        load.feed(1000, Event::Arrived(Arrival { homes, ..request }));
    }
    assert_eq!(load.counts[&true].served + load.counts[&false].served, 48);
}
