//! Room that requests without homes leave to those that are bound, on a seeded load.

mod support;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use fleet::{Ablation, HomeRegions, Mechanism, Millis};
use gateway::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::*;

/// Runners in each of three regions; each has four places.
const RUNNERS: usize = 4;
/// How long a request runs, in milliseconds.
const RUN_MS: std::ops::Range<u64> = 150..250;
/// How long the load lasts, in milliseconds.
const LOAD_MS: u64 = 16_000;
/// What the runners can serve, in requests a second: 48 places of 200 ms.
const CAPACITY: f64 = 240.0;

/// Requests by what became of them.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    asked: u32,
    served: u32,
    /// Sent to a runner outside the gateway's hall.
    far: u32,
}

impl Count {
    fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked)
    }
}

/// What bound and unbound requests got: one gateway sees a load, `bound` of which may go to the north only.
struct Load {
    gateway: Gateway,
    random: SmallRng,
    ends: BinaryHeap<Reverse<(u64, u64)>>,
    counts: BTreeMap<bool, Count>,
    bound: BTreeMap<u64, bool>,
}

impl Load {
    fn new(seed: u64, room: bool, hall: &str) -> Self {
        let off = (!room).then_some(Mechanism::HomeRoom);
        let halls = [("a", "north"), ("b", "south"), ("c", "east")];
        let options = GatewayOptions {
            name: "g".into(),
            hall: hall.into(),
            halls: halls.iter().map(|(hall, region)| ((*hall).into(), (*region).into())).collect(),
            ablation: Ablation::without(off),
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
            for runner in 0..RUNNERS {
                let port = (index * RUNNERS + runner + 1) as u16;
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
            count.far += u32::from(!target.id.0.starts_with(&self.gateway.hall().0));
        }
    }

    /// Plays `load` times the capacity, with this part of it bound.
    fn play(mut self, load: f64, part: f64) -> (Count, Count) {
        let mut key = 0;
        for now in 1000..1000 + LOAD_MS {
            while let Some(Reverse((_, key))) = self.ends.pop_if_due(now) {
                self.feed(now, Event::Attempt(RequestKey(key), AttemptOutcome::Finished));
            }
            if now % 15 == 0 {
                self.feed(now, Event::Tick);
            }
            if self.random.random::<f64>() < load * CAPACITY / 1000.0 {
                key += 1;
                let is_bound = self.random.random::<f64>() < part;
                self.bound.insert(key, is_bound);
                self.counts.entry(is_bound).or_default().asked += 1;
                let north = HomeRegions::only(["north".into()]);
                let homes = if is_bound { north } else { HomeRegions::anywhere() };
                let request = arrival(key, PLAIN_SERVICE, RouteKind::Safe);
                self.feed(now, Event::Arrived(Arrival { homes, ..request }));
            }
        }
        (self.counts[&true], self.counts[&false])
    }
}

trait Due {
    fn pop_if_due(&mut self, now: u64) -> Option<Reverse<(u64, u64)>>;
}

impl Due for BinaryHeap<Reverse<(u64, u64)>> {
    fn pop_if_due(&mut self, now: u64) -> Option<Reverse<(u64, u64)>> {
        let is_due = self.peek().is_some_and(|Reverse((at, _))| *at <= now);
        if is_due {
            self.pop()
        } else {
            None
        }
    }
}

/// What the load of all kinds was served, in parts of one: bound, unbound and all requests.
fn shares(room: bool, hall: &str, load: f64, part: f64) -> (f64, f64, f64) {
    let (bound, free) = Load::new(7, room, hall).play(load, part);
    let all = Count { asked: bound.asked + free.asked, served: bound.served + free.served, far: 0 };
    (bound.share(), free.share(), all.share())
}

#[test]
fn bound_callers_of_a_tight_home_are_served_though_others_come_in_numbers() {
    for hall in ["a", "b"] {
        let (bound_before, _, all_before) = shares(false, hall, 1.3, 0.25);
        let (bound, free, all) = shares(true, hall, 1.3, 0.25);
        assert!(bound_before < 0.6, "as it stands: {bound_before}");
        assert!(bound > 0.93 && free > 0.65, "bound {bound}, unbound {free}");
        assert!(all > all_before - 0.01, "of all {all}, before {all_before}");
    }
}

#[test]
fn where_there_is_room_for_all_nobody_loses_and_hardly_more_goes_far() {
    for (load, part) in [(0.5, 0.15), (0.85, 0.28)] {
        let far = |room| {
            let (bound, free) = Load::new(7, room, "a").play(load, part);
            assert!(bound.share() > 0.99 && free.share() > 0.99, "{bound:?} {free:?}");
            free.far
        };
        let (before, with_room) = (far(false), far(true));
        assert!(with_room <= before * 21 / 20, "{with_room} sent far, before {before}");
    }
}

#[test]
fn nothing_is_held_back_where_every_region_is_the_home_of_as_many() {
    let mut load = Load::new(7, true, "a");
    for key in 1..=48 {
        let region = ["north", "south", "east"][key as usize % 3];
        let homes = HomeRegions::only([region.into()]);
        let homes = if key <= 24 { homes } else { HomeRegions::anywhere() };
        load.bound.insert(key, key <= 24);
        load.counts.entry(key <= 24).or_default().asked += 1;
        let request = arrival(key, PLAIN_SERVICE, RouteKind::Safe);
        load.feed(1000, Event::Arrived(Arrival { homes, ..request }));
    }
    assert_eq!(load.counts[&true].served + load.counts[&false].served, 48);
}
