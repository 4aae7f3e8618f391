//! Simulates a load of 1.5 times the capacity for 16 s, to check which callers gateways and
//! sidecars serve. There is no network.

mod support;

use std::collections::BTreeMap;

use fleet::{Ablation, Location, Mechanism, Millis};
use gateway::*;
use rollout::{
    ReservationReply, ReservationRequest, Rollout, RolloutOptions, RunnerStatus, WeightsPlan,
};
use support::*;

const RUNNERS: usize = 6;
const GATEWAYS: usize = 3;
const SLOTS: u32 = 12;
/// Mean duration of a request at a runner, and the time to its first event, in milliseconds.
const WORK_MS: u64 = 1300;
const FIRST_EVENT_MS: u64 = 120;
const TARGET_LATENCY_MS: u64 = 400;
const SHORTAGE_MS: u64 = 16_000;
/// Duration of the phase before the shortage, in milliseconds, in which gateways learn the usual
/// deadlines.
const WARM_UP_MS: u64 = 40_000;
/// Slowness factors of runners of different speed.
const DIFFERENT_SLOWNESS: [f64; RUNNERS] = [0.6, 0.8, 1.0, 1.2, 1.5, 2.0];
const SAME_SLOWNESS: [f64; RUNNERS] = [1.0; RUNNERS];
/// Number of callers that the slots of all runners can serve during the shortage.
const CAPACITY_IN_SHORTAGE: u64 = RUNNERS as u64 * SLOTS as u64 * SHORTAGE_MS / WORK_MS;
/// One in this number of callers has a deadline of half the usual length, and so have all callers
/// of one workspace, which sends one request in ten.
const SHORT_DEADLINE_EVERY: u64 = 41;
const WORKSPACES: u64 = 10;

/// Results of the callers of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    request_count: u64,
    on_time: u64,
    late: u64,
    /// Late callers that were served after the load had fallen.
    late_after_shortage: u64,
    /// Callers that were refused at least once, and callers that were refused again and are not
    /// served.
    refused_once: u64,
    refused: u64,
}

impl Count {
    fn share_served(self) -> f64 {
        (self.on_time + self.late) as f64 / self.request_count as f64
    }
}

struct Simulation {
    now: u64,
    random: StatelessRandom,
    slowness: [f64; RUNNERS],
    gateways: Vec<Gateway>,
    sidecars: Vec<Rollout>,
    /// For each runner, the end times of its requests, with the gateway and the key.
    ends: Vec<Vec<(u64, usize, u64)>>,
    /// Start times of attempts, by key: twice the caller's number, plus one for its repeated attempt.
    starts: BTreeMap<u64, Vec<u64>>,
    first_at: BTreeMap<u64, u64>,
    by_priority: [Count; 2],
    short_deadlines: Count,
    short_workspace: Count,
}

/// Pseudo-random numbers that are the same in each run with this seed.
#[derive(Clone, Copy, Debug)]
struct StatelessRandom(u64);

impl StatelessRandom {
    fn draw(self, key: u64, below: u64) -> u64 {
        ((key ^ (self.0 << 40)).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33) % below
    }

    fn deadline_of(self, caller: u64) -> u64 {
        let usual = 5000 + self.draw(caller, 1000);
        let is_short =
            caller.is_multiple_of(SHORT_DEADLINE_EVERY) || caller.is_multiple_of(WORKSPACES);
        usual / if is_short { 2 } else { 1 }
    }
}

fn sidecar(ablation: &Ablation) -> Rollout {
    let place = Location { region: "north".into(), hall: "a".into() };
    let mut sidecar = Rollout::new(RolloutOptions {
        me: "s".into(),
        place,
        link_bytes_per_s: 950_000,
        control_bytes_per_s: 6000,
        version_ms: VERSION_MS,
        evacuate_ms: None,
        cold: None,
        ablation: ablation.clone(),
    });
    let plan = WeightsPlan {
        model: model(),
        warm_ms: 300,
        origin_bytes_per_s: 1_000_000,
        slots: SLOTS,
        cold: None,
        prompt_tokens_per_ms: 30.0,
    };
    sidecar.reduce(Millis(0), rollout::Event::Configured(plan));
    sidecar.reduce(Millis(0), rollout::Event::VersionsKnown);
    sidecar
}

impl Simulation {
    fn new(ablation: &Ablation, slowness: [f64; RUNNERS], seed: u64) -> Self {
        let gateway = || {
            let mut gateway =
                Gateway::new(GatewayOptions { ablation: ablation.clone(), ..options() });
            for port in 0..RUNNERS {
                let record = record(&format!("r{port}"), MODEL_SERVICE, port as u16);
                let listed = Event::Listed(RunnerRecord { slots: SLOTS, ..record });
                gateway.reduce(Millis(0), 1, listed);
            }
            gateway
        };
        Self {
            now: 0,
            random: StatelessRandom(seed),
            slowness,
            gateways: (0..GATEWAYS).map(|_| gateway()).collect(),
            sidecars: (0..RUNNERS).map(|_| sidecar(ablation)).collect(),
            ends: vec![Vec::new(); RUNNERS],
            starts: BTreeMap::new(),
            first_at: BTreeMap::new(),
            by_priority: Default::default(),
            short_deadlines: Count::default(),
            short_workspace: Count::default(),
        }
    }

    /// Number of callers that all slots can serve during the shortage.
    fn capacity(&self) -> f64 {
        let speed: f64 = self.slowness.iter().map(|it| 1.0 / it).sum();
        CAPACITY_IN_SHORTAGE as f64 * speed / RUNNERS as f64
    }

    /// Simulates the load, after a phase in which the gateways learn the usual deadlines.
    fn simulate(mut self, load_factor: f64) -> Self {
        let rate = self.capacity() / SHORTAGE_MS as f64;
        let mut due = 0.0;
        let mut caller = 0;
        for now in (0..WARM_UP_MS + SHORTAGE_MS + 4000).step_by(5) {
            self.now = now;
            let burst = (WARM_UP_MS..WARM_UP_MS + SHORTAGE_MS).contains(&now);
            due += 5.0 * rate * if burst { load_factor } else { 0.6 };
            while caller < due as u64 {
                self.starts.entry(now).or_default().push(2 * caller);
                self.first_at.insert(caller, now);
                if burst {
                    self.update_counts(caller, |it| it.request_count += 1);
                }
                caller += 1;
            }
            self.step();
        }
        self
    }

    fn step(&mut self) {
        for runner in 0..RUNNERS {
            self.end_work(runner);
            if self.now.is_multiple_of(25) {
                self.report(runner);
            }
        }
        for key in self.starts.remove(&self.now).unwrap_or_default() {
            self.start_try(key);
        }
        for gateway in 0..GATEWAYS {
            self.feed(gateway, Event::Tick);
        }
    }

    fn end_work(&mut self, runner: usize) {
        let now = self.now;
        let work = std::mem::take(&mut self.ends[runner]);
        let (over, left): (Vec<_>, Vec<_>) = work.into_iter().partition(|it| it.0 <= now);
        self.ends[runner] = left;
        for (_, gateway, key) in over {
            self.feed(gateway, Event::Attempt(RequestKey(key), AttemptOutcome::Finished));
        }
    }

    fn report(&mut self, runner: usize) {
        let running = self.ends[runner].len() as u32;
        let status = RunnerStatus {
            started_at_ms: None,
            sequence: 0,
            is_executing_order: false,
            running,
            waiting: 0,
            version: Some(1),
        };
        self.pass_to_sidecar(runner, rollout::Event::Status(status));
        for gateway in 0..GATEWAYS {
            self.report_to_gateway(gateway, runner);
        }
    }

    fn report_to_gateway(&mut self, gateway: usize, runner: usize) {
        let places = self.sidecars[runner].slots();
        let mut load = load(1, places.used());
        load.reading_ms = places.prompt_backlog_ms(Millis(self.now)) as u32;
        load.waiting = self.sidecars[runner].queued_requests() as u32;
        self.feed(gateway, Event::Load(([127, 0, 0, 1], runner as u16).into(), load));
    }

    fn start_try(&mut self, key: u64) {
        let caller = key / 2;
        let left = self.random.deadline_of(caller) - (self.now - self.first_at[&caller]);
        let mut arrival = arrival(key, MODEL_SERVICE, RouteKind::Stream { resumable: true });
        arrival.priority = 1 + (caller % 2) as u8;
        arrival.workspace = Some(format!("w{}", caller % WORKSPACES).as_str().into());
        arrival.prompt_tokens = 300 + self.random.draw(caller, 1200) as u32;
        arrival.deadline_ms = Some(left);
        self.feed(self.random.draw(key, GATEWAYS as u64) as usize, Event::Arrived(arrival));
    }

    fn feed(&mut self, gateway: usize, event: Event) {
        for effect in self.gateways[gateway].reduce(Millis(self.now), self.now, event) {
            match effect {
                Effect::Proceed(key, NextStep::Send(target)) => {
                    let reservation_request = ReservationRequest {
                        asker: ([127, 0, 0, 1], gateway as u16).into(),
                        number: key.0,
                        request: String::new(),
                        prompt_tokens: 300 + self.random.draw(key.0 / 2, 1200) as u32,
                        rank: target.rank,
                        target_left_ms: target.left_ms,
                        max_wait_ms: target.wait_ms,
                        pinned_ms: target.pinned_ms,
                    };
                    let runner = usize::from(target.address.port());
                    self.pass_to_sidecar(
                        runner,
                        rollout::Event::ReservationRequested(reservation_request),
                    );
                    self.report_to_gateway(gateway, runner);
                }
                Effect::Proceed(key, NextStep::Refuse { retry_after_ms, .. }) => {
                    self.count_refused(key.0, retry_after_ms);
                }
                _ => {}
            }
        }
    }

    fn pass_to_sidecar(&mut self, runner: usize, event: rollout::Event) {
        for effect in self.sidecars[runner].reduce(Millis(self.now), event) {
            let rollout::Effect::Answer(reservation_request, reply) = effect else {
                continue;
            };
            let (gateway, key) =
                (usize::from(reservation_request.asker.port()), reservation_request.number);
            let outcome = match reply {
                ReservationReply::Queued => continue,
                ReservationReply::Denied { retry_after_ms, shortage_ms, .. } => {
                    AttemptOutcome::Denied { retry_after_ms, shortage_ms }
                }
                ReservationReply::Granted => {
                    let work = WORK_MS * 7 / 10 + self.random.draw(key, WORK_MS * 6 / 10);
                    let slowness = self.slowness[runner];
                    let end = self.now + (work as f64 * slowness) as u64;
                    self.ends[runner].push((end, gateway, key));
                    self.count_served(key, (FIRST_EVENT_MS as f64 * slowness) as u64);
                    AttemptOutcome::Answered
                }
            };
            self.feed(gateway, Event::Attempt(RequestKey(key), outcome));
        }
    }

    fn count_served(&mut self, key: u64, first_event: u64) {
        let caller = key / 2;
        let took = self.now + first_event - self.first_at[&caller];
        let late_after_shortage = self.now >= WARM_UP_MS + SHORTAGE_MS;
        self.update_counts(caller, |it| match took {
            0..=TARGET_LATENCY_MS => it.on_time += 1,
            _ => {
                it.late += 1;
                it.late_after_shortage += u64::from(late_after_shortage);
            }
        });
    }

    fn count_refused(&mut self, key: u64, retry_after_ms: u64) {
        let caller = key / 2;
        if !key.is_multiple_of(2) {
            self.update_counts(caller, |it| it.refused += 1);
            return;
        }
        self.update_counts(caller, |it| it.refused_once += 1);
        let left = self.random.deadline_of(caller) - (self.now - self.first_at[&caller]);
        let back = self.now + retry_after_ms.min(left / 3).next_multiple_of(5).max(5);
        self.starts.entry(back).or_default().push(key + 1);
    }

    fn update_counts(&mut self, caller: u64, note: impl Fn(&mut Count)) {
        if (WARM_UP_MS..WARM_UP_MS + SHORTAGE_MS).contains(&self.first_at[&caller]) {
            note(&mut self.by_priority[(caller % 2) as usize]);
            if caller.is_multiple_of(WORKSPACES) {
                note(&mut self.short_workspace);
            } else if caller.is_multiple_of(SHORT_DEADLINE_EVERY) {
                note(&mut self.short_deadlines);
            }
        }
    }
}

/// Adds the results of both priorities.
fn add_priorities([a, b]: [Count; 2]) -> Count {
    Count {
        request_count: a.request_count + b.request_count,
        on_time: a.on_time + b.on_time,
        late: a.late + b.late,
        late_after_shortage: a.late_after_shortage + b.late_after_shortage,
        refused_once: a.refused_once + b.refused_once,
        refused: a.refused + b.refused,
    }
}

fn simulate_without(without: Option<Mechanism>) -> (Count, Simulation) {
    let load = Simulation::new(&Ablation::without(without), SAME_SLOWNESS, 0).simulate(1.5);
    let all = add_priorities(load.by_priority);
    println!(
        "without {without:?}: capacity {CAPACITY_IN_SHORTAGE}, {all:?}, {:?}",
        load.by_priority
    );
    println!(
        "short deadlines: {:?}, of one workspace {:?}",
        load.short_deadlines, load.short_workspace
    );
    (all, load)
}

#[test]
fn slots_are_given_to_callers_that_can_be_on_time() {
    let (all, load) = simulate_without(None);
    let (before, _) = simulate_without(Some(Mechanism::FirstTries));
    assert!(all.on_time * 10 >= CAPACITY_IN_SHORTAGE * 9, "{all:?} of {CAPACITY_IN_SHORTAGE}");
    // Callers that are served after the load has fallen take no slot from others.
    assert!((all.late - all.late_after_shortage) * 20 <= all.request_count, "{all:?}");
    assert!(all.on_time > before.on_time, "{all:?} against {before:?}");
    let [urgent, other] = load.by_priority;
    assert!(urgent.share_served() + 0.05 >= other.share_served(), "{:?}", load.by_priority);
    let workspace = load.short_workspace.share_served();
    assert!(workspace + 0.1 >= all.share_served(), "{:?}", load.short_workspace);
    assert!(
        load.short_deadlines.share_served() * 4.0 >= all.share_served(),
        "{:?}",
        load.short_deadlines
    );
}

/// Simulates a load on runners of different speed.
fn simulate_different_speeds(load_factor: f64, seed: u64) -> (Count, Simulation) {
    let load =
        Simulation::new(&Ablation::default(), DIFFERENT_SLOWNESS, seed).simulate(load_factor);
    let all = add_priorities(load.by_priority);
    println!("seed {seed}, {load_factor} of {:.0}: {all:?}", load.capacity());
    println!("by priority {:?}, short deadlines {:?}", load.by_priority, load.short_deadlines);
    (all, load)
}

/// Checks that nine in ten of the callers that runners of different speed can serve are on time,
/// that few of all callers are late, and that the more urgent priority is not at a disadvantage.
fn check_different_speeds(load_factor: f64, seed: u64) {
    let (all, load) = simulate_different_speeds(load_factor, seed);
    let servable = load.capacity().min(all.request_count as f64);
    assert!(all.on_time as f64 >= 0.9 * servable, "{all:?} of {servable:.0}");
    assert!((all.late - all.late_after_shortage) * 20 <= all.request_count, "{all:?}");
    let [urgent, other] = load.by_priority;
    assert!(urgent.share_served() + 0.05 >= other.share_served(), "{:?}", load.by_priority);
}

#[test]
fn runners_of_different_speed_serve_all_on_time_with_enough_capacity() {
    let (all, _) = simulate_different_speeds(0.9, 0);
    assert_eq!(all.on_time, all.request_count, "{all:?}");
}

#[test]
fn runners_of_different_speed_serve_on_time_in_a_slight_shortage() {
    check_different_speeds(1.1, 0);
}

#[test]
fn runners_of_different_speed_serve_on_time_in_a_shortage() {
    check_different_speeds(1.5, 0);
    check_different_speeds(2.0, 0);
}

#[test]
fn runners_of_different_speed_serve_on_time_in_a_slight_shortage_with_any_seed() {
    for seed in 1..24 {
        check_different_speeds(1.1, seed);
    }
}
