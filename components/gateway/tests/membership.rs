//! Gateways that know of each other through sidecars, and what they share: repeats and cold plain runners.

mod support;

use std::collections::VecDeque;
use std::net::SocketAddr;

use fleet::{Evacuation, EvacuationList, InstanceId, Millis};
use gateway::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::*;

const WINDOW: u64 = 10_000;
const ALLOWANCE: f64 = 134.0;
const PROFILE: ColdProfile = ColdProfile { start_ms: 3000, requests_per_s: 26.0 };
const BOUNDS: ColdBounds = ColdBounds { overrun: 1.5, slack: 5.0 };
const STEP: u64 = 20;
const COLD: [&str; 4] = ["p1", "p2", "p3", "p4"];

fn address(gateway: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, gateway as u8], 9000))
}

fn limits(allowance: f64) -> BudgetLimits {
    BudgetLimits { window_ms: WINDOW, ratio: 0.15, allowance }
}

/// What one life of a gateway knows and has used.
struct Life {
    members: Members,
    budget: RetryBudget,
    gates: ColdGates,
    next_round: u64,
}

impl Life {
    fn new(starts: u64) -> Self {
        let budget = RetryBudget::new(limits(0.0));
        Self {
            members: Members::new(WINDOW),
            budget,
            gates: ColdGates::default(),
            next_round: starts,
        }
    }

    fn look_around(&mut self, now: Millis) {
        self.budget.set_limits(limits(ALLOWANCE * self.members.part(now)));
        let share = ColdShare::new(PROFILE, BOUNDS);
        for runner in COLD {
            let id: InstanceId = runner.into();
            match self.members.responsible(now, runner, share.gateways) {
                Some(gateways) => self.gates.set(now, &id, share, gateways),
                None => self.gates.close(&id),
            }
        }
    }
}

/// Gateways and sidecars that lose a tenth of their datagrams. Every gateway sends as much as it may.
struct Town {
    now: u64,
    random: SmallRng,
    lives: Vec<Option<Life>>,
    sidecars: Vec<GatewaysHeard>,
    /// Sidecars below the first number and gateways below the second one hear nothing of the others.
    cut: Option<(usize, usize)>,
    repeats: VecDeque<u64>,
    most_repeats: usize,
    arrivals: Vec<VecDeque<u64>>,
    most_arrivals: usize,
    /// Arrivals at all cold runners.
    arrived: usize,
    /// Requests of callers at each gateway in a step; none where only the fixed allowance is looked at.
    traffic: f64,
    /// Requests and repeats in each step.
    steps: Vec<(usize, usize)>,
}

impl Town {
    fn new(seed: u64, gateways: usize, sidecars: usize) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let now = 1_000_000;
        let lives = (0..gateways).map(|_| Some(Life::new(now + random.random_range(0..2000))));
        Self {
            now,
            lives: lives.collect(),
            random,
            sidecars: vec![GatewaysHeard::new(WINDOW); sidecars],
            cut: None,
            repeats: VecDeque::new(),
            most_repeats: 0,
            arrivals: vec![VecDeque::new(); COLD.len()],
            most_arrivals: 0,
            arrived: 0,
            traffic: 0.0,
            steps: Vec::new(),
        }
    }

    fn are_linked(&self, gateway: usize, sidecar: usize) -> bool {
        self.cut.is_none_or(|(sidecars, gateways)| (sidecar < sidecars) == (gateway < gateways))
    }

    fn reach(&self, gateway: usize) -> f64 {
        let linked = (0..self.sidecars.len()).filter(|it| self.are_linked(gateway, *it)).count();
        linked as f64 / self.sidecars.len() as f64
    }

    /// A round of subscriptions, with questions to some sidecars.
    fn exchange(&mut self, gateway: usize) {
        let now = Millis(self.now);
        let Some(life) = &self.lives[gateway] else {
            return;
        };
        let asks = if life.members.sureness(now) == Sureness::Unsure { 3 } else { 1 };
        let asked: Vec<usize> =
            (0..asks).map(|_| self.random.random_range(0..self.sidecars.len())).collect();
        for sidecar in 0..self.sidecars.len() {
            let arrives = self.are_linked(gateway, sidecar) && self.random.random_bool(0.9);
            if !arrives {
                continue;
            }
            self.sidecars[sidecar].note(now, address(gateway));
            if asked.contains(&sidecar) && self.random.random_bool(0.9) {
                let list = self.sidecars[sidecar].list(now, address(gateway));
                let life = self.lives[gateway].as_mut();
                life.unwrap().members.take(now, list);
            }
        }
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.steps.push((0, 0));
            for gateway in 0..self.lives.len() {
                let due = self.lives[gateway].as_mut().is_some_and(|it| {
                    let due = it.next_round <= self.now;
                    it.next_round += if due { 1000 } else { 0 };
                    due
                });
                if due {
                    self.exchange(gateway);
                }
                self.use_all(gateway);
            }
        }
    }

    fn use_all(&mut self, gateway: usize) {
        let (at, now) = (self.now, Millis(self.now));
        let reach = self.reach(gateway);
        let Some(life) = &mut self.lives[gateway] else {
            return;
        };
        if life.members.wants_reach(now) {
            life.members.note_reach(now, Some(reach));
            life.look_around(now);
        }
        let step = self.steps.last_mut().unwrap();
        for _ in 0..(self.traffic + self.random.random::<f64>()) as usize {
            life.budget.count_request(now);
            step.0 += 1;
        }
        while life.budget.take_repeat(now) {
            step.1 += 1;
            self.most_repeats = self.most_repeats.max(count(&mut self.repeats, at, WINDOW));
        }
        for (index, runner) in COLD.iter().enumerate() {
            let id: InstanceId = (*runner).into();
            while life.gates.take(now, &id) {
                self.arrived += 1;
                let most = count(&mut self.arrivals[index], at, 1000);
                self.most_arrivals = self.most_arrivals.max(most);
            }
        }
    }

    /// The most repeats of a window above what its requests allow, by those that came in the window, in the one
    /// before or half a window earlier, whichever are most.
    fn most_above_ratio(&self, ratio: f64) -> f64 {
        let window = (WINDOW / STEP) as usize;
        let sum = |end: usize, part: fn(&(usize, usize)) -> usize| -> f64 {
            self.steps[end - window..end].iter().map(part).sum::<usize>() as f64
        };
        let ends = (2 * window..self.steps.len()).step_by(10);
        let above = ends.map(|end| {
            let before = [end, end - window / 2, end - window].map(|it| sum(it, |step| step.0));
            sum(end, |step| step.1) - ratio * before.into_iter().fold(0.0, f64::max)
        });
        above.fold(0.0, f64::max)
    }

    /// Something that happens to gateways, sidecars or the links between them.
    fn trouble(&mut self) {
        let gateway = self.random.random_range(0..self.lives.len());
        let sidecar = self.random.random_range(0..self.sidecars.len());
        match self.random.random_range(0..6) {
            0 => self.lives[gateway] = None,
            1 => self.lives[gateway] = Some(Life::new(self.now)),
            2 if self.lives.len() < 64 => self.lives.push(Some(Life::new(self.now))),
            3 => self.cut = Some((sidecar, gateway)),
            4 => self.cut = None,
            _ => self.sidecars[sidecar] = GatewaysHeard::new(WINDOW),
        }
    }
}

/// Adds a moment, and gives how many lie in the span that ends with it.
fn count(moments: &mut VecDeque<u64>, at: u64, span: u64) -> usize {
    moments.push_back(at);
    while moments.front().is_some_and(|it| it + span < at) {
        moments.pop_front();
    }
    moments.len()
}

fn cold_bound() -> f64 {
    PROFILE.requests_per_s * BOUNDS.overrun + BOUNDS.slack
}

#[test]
fn what_is_sent_within_a_second_and_what_a_connection_takes_is_bounded_where_the_bound_is_tight() {
    let share = ColdShare::new(PROFILE, ColdBounds { overrun: 1.0, slack: 5.0 });
    let (mut gates, id) = (ColdGates::default(), InstanceId::from("p1"));
    gates.set(Millis(1_000_000), &id, share, 1);
    let mut moments = VecDeque::new();
    let taken = (1_000_000..1_009_000).filter(|at| gates.take(Millis(*at), &id));
    let most = taken.map(|at| count(&mut moments, at, 1350)).max().unwrap_or(0);
    assert!((20..=31).contains(&most), "{most} requests");
}

#[test]
fn gateways_that_know_each_other_use_most_of_what_they_share_and_no_more() {
    for gateways in [1, 5, 15, 53] {
        let mut town = Town::new(7, gateways, 34);
        town.run(20_000);
        town.arrived = 0;
        town.run(20_000);
        let repeats = town.most_repeats as f64;
        assert!((0.5 * ALLOWANCE..=ALLOWANCE).contains(&repeats), "{repeats} of {gateways}");
        let per_s = town.arrived as f64 / 20.0 / COLD.len() as f64;
        assert!((20.0..=26.5).contains(&per_s), "{per_s} a second from {gateways}");
        assert!(town.most_arrivals as f64 <= cold_bound(), "{} arrivals", town.most_arrivals);
    }
}

#[test]
fn no_window_holds_more_than_the_bounds_while_gateways_start_restart_end_and_are_cut_off() {
    for seed in 12..20 {
        let gateways = 1 + (seed as usize * 7) % 53;
        let mut town = Town::new(seed, gateways, 3 + seed as usize % 32);
        town.run(18_000);
        for _ in 0..30 {
            town.trouble();
            let span = town.random.random_range(100..6000);
            town.run(span);
        }
        let (repeats, arrivals) = (town.most_repeats, town.most_arrivals);
        assert!(repeats as f64 <= ALLOWANCE, "seed {seed}: {repeats} repeats in a window");
        assert!(arrivals as f64 <= cold_bound(), "seed {seed}: {arrivals} arrivals in a second");
    }
}

#[test]
fn repeats_by_ratio_and_allowance_stay_within_both_while_traffic_jumps_and_gateways_change() {
    for seed in 0..6 {
        let mut town = Town::new(seed, 5 + 3 * seed as usize, 12);
        town.traffic = 0.2;
        town.run(20_000);
        for _ in 0..15 {
            town.trouble();
            town.traffic = town.random.random_range(0.1..0.8);
            let span = town.random.random_range(500..4000);
            town.run(span);
        }
        let above = town.most_above_ratio(0.2);
        assert!(above <= ALLOWANCE, "seed {seed}: {above} repeats above the ratio");
        assert!(town.most_repeats as f64 > ALLOWANCE, "seed {seed}: the ratio is used");
    }
}

#[test]
fn a_gateway_that_restarts_over_and_over_uses_no_full_part_in_each_life() {
    let mut town = Town::new(3, 15, 34);
    town.run(20_000);
    for _ in 0..20 {
        town.lives[0] = Some(Life::new(town.now));
        town.run(500);
    }
    assert!(town.most_repeats as f64 <= ALLOWANCE, "{} repeats", town.most_repeats);
}

#[test]
fn all_gateways_that_restart_at_once_stay_within_the_allowance() {
    let mut town = Town::new(4, 53, 34);
    town.run(20_000);
    let now = town.now;
    town.lives.iter_mut().for_each(|it| *it = Some(Life::new(now)));
    town.run(20_000);
    assert!(town.most_repeats as f64 <= ALLOWANCE, "{} repeats", town.most_repeats);
}

#[test]
fn a_gateway_that_is_told_nothing_is_unsure_and_responsible_for_nothing() {
    let mut town = Town::new(5, 5, 10);
    town.run(20_000);
    town.cut = Some((0, 1));
    town.run(4500);
    let members = &town.lives[0].as_ref().unwrap().members;
    assert_eq!(members.sureness(Millis(town.now)), Sureness::Unsure);
    assert_eq!(members.responsible(Millis(town.now), "p1", 5), None);
}

#[test]
fn only_a_gateway_that_never_saw_a_sidecar_takes_a_tenth_without_knowing_the_others() {
    let mut members = Members::new(WINDOW);
    members.note_reach(Millis(1_000_000), None);
    assert_eq!(members.part(Millis(1_000_000)), 0.1);
    members.note_reach(Millis(1_000_200), Some(0.0));
    members.note_reach(Millis(1_000_400), None);
    assert!(members.part(Millis(1_000_400)) < 0.01, "the list has lost them");
}

#[test]
fn a_gateway_that_was_killed_is_counted_until_its_last_repeats_are_out_of_the_window() {
    let mut town = Town::new(6, 5, 10);
    town.run(20_000);
    town.lives[0] = None;
    town.run(WINDOW);
    let count = |town: &Town| town.lives[1].as_ref().unwrap().members.count(Millis(town.now));
    assert_eq!(count(&town), 5);
    town.run(8000);
    assert_eq!(count(&town), 4);
}

#[test]
fn a_sidecar_that_has_restarted_tells_less_and_nobody_is_forgotten() {
    let mut town = Town::new(8, 5, 3);
    town.run(20_000);
    town.sidecars.fill(GatewaysHeard::new(WINDOW));
    town.run(300);
    let members = &town.lives[1].as_ref().unwrap().members;
    assert_eq!(members.count(Millis(town.now)), 5);
}

#[test]
fn repeats_of_the_end_of_a_step_count_for_a_whole_window() {
    let mut budget = RetryBudget::new(BudgetLimits { ratio: 0.0, ..limits(10.0) });
    let taken = |budget: &mut RetryBudget, at: u64| {
        (0..20).filter(|_| budget.take_repeat(Millis(at))).count()
    };
    budget.count_request(Millis(1_000_000));
    assert_eq!(taken(&mut budget, 1_000_990), 10);
    assert_eq!(taken(&mut budget, 1_010_900), 0, "the first ten are in this window");
}

#[test]
fn more_gateways_than_an_answer_holds_are_known_after_some_answers() {
    let (mut sidecar, mut members) = (GatewaysHeard::new(WINDOW), Members::new(WINDOW));
    for at in 1_000_000..1_020_000 {
        if at % 5 == 0 {
            sidecar.note(Millis(at), address((at / 5 % 200) as usize));
        }
        // Another sidecar answers each time, and their clocks differ.
        if at % 1000 == 35 {
            members.take(Millis(at), sidecar.list(Millis(at), address(7)));
        }
    }
    assert_eq!(members.count(Millis(1_020_000)), 200);
    let told = sidecar.list(Millis(1_020_001), address(7)).gateways;
    assert!(told.len() <= 128 && told.iter().any(|it| it.address == address(7)));
}

#[test]
fn a_window_that_is_made_longer_counts_what_was_forgotten_by_the_shorter_one() {
    let mut town = Town::new(9, 5, 10);
    town.run(40_000);
    let members = &mut town.lives[1].as_mut().unwrap().members;
    let (now, before) = (Millis(town.now), members.part(Millis(town.now)));
    members.set_window(now, WINDOW / 2);
    assert!(members.part(now) >= before, "a shorter one counts less");
    members.set_window(now, 2 * WINDOW);
    assert!(members.part(now) < 0.01, "others may have used it all ten seconds ago");
    assert!(members.responsible(now, "p1", 5).is_some(), "who they are is known as before");
    town.run(2 * WINDOW + 5000);
    let members = &town.lives[1].as_ref().unwrap().members;
    assert_eq!(members.part(Millis(town.now)), before);
}

/// A gateway that knows itself, with a plain service whose runners start cold.
fn bed_with_cold_services(told: bool) -> Bed {
    let mut bed = Bed::with(GatewayOptions { cold: Some(BOUNDS), ..options() });
    let mut services: Vec<Service> = catalog(1).services().cloned().collect();
    services.iter_mut().for_each(|it| it.cold = Some(PROFILE));
    let parts = CatalogParts { version: 2, services, ..CatalogParts::default() };
    bed.feed(Event::Configured(std::sync::Arc::new(Catalog::new(parts))));
    bed.list("m1", MODEL_SERVICE, 100);
    if told {
        for _ in 0..6 {
            let gateways = vec![HeardGateway { address: address(0), tenths: 0 }];
            bed.feed(Event::Gateways(GatewayList { asker: address(0), gateways }));
            bed.feed(Event::Load(record("m1", MODEL_SERVICE, 100).address, load(1, 0)));
            (0..50).for_each(|_| bed.pass(20));
        }
    }
    bed
}

fn list_cold(bed: &mut Bed, id: &str, port: u16, cold_ms: u64) {
    bed.feed(Event::Listed(RunnerRecord { cold_ms, ..record(id, PLAIN_SERVICE, port) }));
}

#[test]
fn sidecars_are_told_how_cold_their_runners_are_and_nothing_where_none_starts_cold() {
    let mut bed = bed_with_cold_services(false);
    let cold = RunnerRecord { cold_ms: 2500, ..record("m2", MODEL_SERVICE, 101) };
    let machine = SocketAddr::from(([10, 9, 9, 9], 101));
    bed.feed(Event::Listed(RunnerRecord { address: machine, ..cold.clone() }));
    bed.pass(1000);
    let told = bed.gateway.cold_machines(Millis(bed.now));
    assert_eq!(told.get(&machine.ip()), Some(&1500));
    assert_eq!(told.len(), 2, "the warm one too");
    let mut bed = Bed::new();
    bed.feed(Event::Listed(cold));
    assert!(bed.gateway.cold_machines(Millis(bed.now)).is_empty());
}

/// Sends two hundred requests a second for a second, each answered at once, and counts those sent to a runner.
fn sent_in_a_second(bed: &mut Bed, runner: &str) -> usize {
    let mut sent = 0;
    for key in 0..200 {
        let key = 1000 + bed.now + key;
        let step = bed.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe));
        if let Some(NextStep::Send(target)) = step {
            sent += usize::from(target.id.0 == runner);
            bed.outcome(key, AttemptOutcome::Answered);
            bed.outcome(key, AttemptOutcome::Finished);
        } else {
            bed.feed(Event::Gone(RequestKey(key)));
        }
        bed.now += 5;
        bed.feed(Event::Tick);
    }
    sent
}

#[test]
fn a_cold_plain_runner_gets_what_it_bears_and_a_warm_one_the_rest() {
    let mut bed = bed_with_cold_services(true);
    list_cold(&mut bed, "cold", 1, 5000);
    list_cold(&mut bed, "warm", 2, 0);
    bed.feed(Event::Tick);
    let sent = sent_in_a_second(&mut bed, "cold");
    assert!((10..=31).contains(&sent), "{sent} in a second");
}

#[test]
fn a_cold_plain_runner_gets_nothing_from_a_gateway_that_knows_nobody() {
    let mut bed = bed_with_cold_services(false);
    list_cold(&mut bed, "cold", 1, 5000);
    list_cold(&mut bed, "warm", 2, 0);
    bed.feed(Event::Tick);
    assert_eq!(sent_in_a_second(&mut bed, "cold"), 0);
}

#[test]
fn a_hall_that_is_taken_back_counts_as_cold_until_the_list_can_tell() {
    let mut bed = bed_with_cold_services(false);
    list_cold(&mut bed, "back", 1, 0);
    let evacuated = vec![Evacuation { hall: "a".into(), age_ms: None }];
    bed.feed(Event::Evacuations(EvacuationList { revision: 1, evacuated }));
    bed.feed(Event::Evacuations(EvacuationList { revision: 2, evacuated: Vec::new() }));
    assert_eq!(sent_in_a_second(&mut bed, "back"), 0);
    bed.now += 1000;
    bed.feed(Event::ListHeard);
    assert!(sent_in_a_second(&mut bed, "back") > 50, "the list says that it is warm");
}

#[test]
fn a_hall_that_is_taken_back_counts_as_cold_for_a_whole_start_while_the_list_is_not_heard() {
    let mut bed = bed_with_cold_services(false);
    list_cold(&mut bed, "back", 1, 0);
    bed.feed(Event::ListHeard);
    let evacuated = vec![Evacuation { hall: "a".into(), age_ms: None }];
    bed.feed(Event::Evacuations(EvacuationList { revision: 1, evacuated }));
    bed.feed(Event::Evacuations(EvacuationList { revision: 2, evacuated: Vec::new() }));
    let told = |bed: &Bed| bed.gateway.cold_machines(Millis(bed.now)).into_values().max();
    assert_eq!(told(&bed), Some(2000), "a sidecar is not told more than the list takes");
    bed.now += 1990;
    assert_eq!(sent_in_a_second(&mut bed, "back"), 0, "the list is of before");
    assert!(sent_in_a_second(&mut bed, "back") > 50, "no start takes longer");
}

#[test]
fn without_bounds_a_cold_runner_is_like_any_other() {
    let mut bed = Bed::new();
    list_cold(&mut bed, "cold", 1, 5000);
    assert!(sent_in_a_second(&mut bed, "cold") > 100);
}
