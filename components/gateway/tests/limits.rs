//! Runners that name the rate that they take: what gateways send that no sidecar answers for.

mod support;

use std::collections::VecDeque;
use std::net::SocketAddr;

use fleet::{Millis, Rate, RateWord, ToldLimit};
use gateway::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::*;

/// How many times its rate a runner may get in a window, how many requests on top, and the window in milliseconds.
const OVERRUN: f64 = 1.5;
const SLACK: f64 = 5.0;
const WINDOW: u64 = 4000;
/// How long after a runner first named a limit, and after trouble, gateways are held to it, in milliseconds.
const CONTACT: u64 = 3000;
/// How long after it was told a gateway counts, in milliseconds.
const TOLD: u64 = 500;
/// The time between two steps, in milliseconds.
const STEP: u64 = 100;
/// How long between two reports of a sidecar, and between two rounds of a gateway, in milliseconds.
const ROUND: u64 = 1000;

fn address(gateway: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (gateway / 200) as u8, (gateway % 200) as u8], 9000))
}

fn rate(per_s: f64) -> Rate {
    Rate::from_per_s(per_s).unwrap()
}

/// A request that reached the limited runner.
struct Reached {
    at: u64,
    is_counted: bool,
}

/// A gateway with what the test knows of it.
struct Member {
    bed: Bed,
    next_round: u64,
    told_at: Option<u64>,
    troubled_at: Option<u64>,
    is_cut: bool,
}

/// Gateways before two plain runners, the first of which names limits, and sidecars that tell of others.
struct Fleet {
    random: SmallRng,
    now: u64,
    members: Vec<Member>,
    sidecars: Vec<(GatewaysHeard, LimitsHeard)>,
    /// What the runner names, and since when it has named something.
    word: RateWord,
    named_at: Option<u64>,
    reached: VecDeque<Reached>,
    /// The number of the next request.
    next: u64,
    served: usize,
    asked: usize,
    sent: usize,
    /// Of each gateway, requests a second.
    per_s: f64,
    others: bool,
}

impl Fleet {
    fn new(seed: u64, gateways: usize, sidecars: usize) -> Self {
        let mut fleet = Self {
            random: SmallRng::seed_from_u64(seed),
            now: 1_000_000,
            members: Vec::new(),
            sidecars: (0..sidecars)
                .map(|_| (GatewaysHeard::new(10_000), LimitsHeard::default()))
                .collect(),
            word: RateWord::Unlimited,
            named_at: None,
            reached: VecDeque::new(),
            next: 0,
            served: 0,
            asked: 0,
            sent: 0,
            per_s: 4.0,
            others: true,
        };
        for _ in 0..gateways {
            let member = fleet.member();
            fleet.members.push(member);
        }
        fleet.run(7000);
        fleet
    }

    fn member(&mut self) -> Member {
        let mut bed = Bed::new();
        bed.now = self.now;
        for sidecar in 0..self.sidecars.len() {
            bed.list(&format!("m{sidecar}"), MODEL_SERVICE, 100 + sidecar as u16);
        }
        bed.list("limited", PLAIN_SERVICE, 1);
        if self.others {
            bed.list("other", PLAIN_SERVICE, 2);
        }
        let next_round = self.now + self.random.random_range(0..ROUND);
        Member { bed, next_round, told_at: None, troubled_at: None, is_cut: false }
    }

    /// Has the runner name something else from now on. Nobody goes by that before it is told.
    fn name(&mut self, word: RateWord) {
        self.word = word;
        self.reached.clear();
        self.members.iter_mut().for_each(|it| it.told_at = None);
        match word {
            RateWord::Unlimited => self.named_at = None,
            _ => self.named_at = self.named_at.or(Some(self.now)),
        }
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            for gateway in 0..self.members.len() {
                self.members[gateway].bed.now = self.now;
                self.members[gateway].bed.feed(Event::Tick);
                if self.members[gateway].next_round <= self.now && !self.members[gateway].is_cut {
                    self.members[gateway].next_round += ROUND;
                    self.exchange(gateway);
                }
                let due = self.per_s * STEP as f64 / 1000.0 + self.random.random::<f64>();
                (0..due as usize).for_each(|_| self.call(gateway));
            }
        }
    }

    /// A round of a gateway with the sidecars: its limits to them, their reports, and one of their lists.
    fn exchange(&mut self, gateway: usize) {
        let now = Millis(self.now);
        let asked = self.random.random_range(0..self.sidecars.len());
        let bed = &mut self.members[gateway].bed;
        let told = bed.gateway.told_limits(now, &mut self.random);
        for (number, (gateways, limits)) in self.sidecars.iter_mut().enumerate() {
            if self.random.random_bool(0.1) {
                continue;
            }
            gateways.note(now, address(gateway));
            limits.take(now, &told);
            let runner = record(&format!("m{number}"), MODEL_SERVICE, 100 + number as u16).address;
            bed.feed(Event::Load(runner, load(1, 0)));
            if number == asked {
                bed.feed(Event::Gateways(gateways.list(now, address(gateway))));
                bed.feed(Event::Limits(limits.list(now, &mut self.random)));
            }
        }
    }

    /// A caller calls a gateway. What is sent is answered at once.
    fn call(&mut self, gateway: usize) {
        self.next += 1;
        let key = self.next;
        self.asked += 1;
        let bed = &mut self.members[gateway].bed;
        let Some(NextStep::Send(target)) = bed.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe))
        else {
            bed.feed(Event::Gone(RequestKey(key)));
            return;
        };
        self.served += 1;
        let is_limited = target.id.0 == "limited";
        if is_limited {
            self.reach(gateway, key);
        }
        let bed = &mut self.members[gateway].bed;
        bed.outcome(key, AttemptOutcome::Answered);
        bed.outcome(key, AttemptOutcome::Finished);
    }

    /// A request reaches the limited runner, and its answer says what the runner says now.
    fn reach(&mut self, gateway: usize, key: u64) {
        let (now, word) = (self.now, self.word);
        self.sent += 1;
        let member = &mut self.members[gateway];
        let is_known = member.bed.gateway.is_limited(&"limited".into());
        if word != RateWord::Unlimited || is_known {
            let notice = Notice { limit: Some(word), ..Notice::default() };
            // The answer comes a little later than the request was sent.
            member.bed.now += 1;
            member.bed.feed(Event::Noticed(RequestKey(key), notice));
            member.bed.now -= 1;
        }
        if word == RateWord::Unlimited {
            return;
        }
        let is_told = member.told_at.is_some_and(|at| at + TOLD <= now);
        let is_calm = member.troubled_at.is_none_or(|at| at + CONTACT <= now);
        member.told_at.get_or_insert(now);
        let is_counted = is_told && is_calm && self.named_at.is_some_and(|at| at + CONTACT <= now);
        self.reached.push_back(Reached { at: now, is_counted });
    }

    /// The most requests of counted gateways in a window.
    fn most_in_window(&self) -> usize {
        let counted: Vec<u64> =
            self.reached.iter().filter(|it| it.is_counted).map(|it| it.at).collect();
        let within = |from: u64| {
            let window = from..from + WINDOW;
            counted.iter().filter(|at| window.contains(at)).count()
        };
        counted.iter().map(|from| within(*from)).max().unwrap_or(0)
    }

    /// Something that happens to a gateway.
    fn trouble(&mut self) {
        let gateway = self.random.random_range(0..self.members.len());
        match self.random.random_range(0..4) {
            0 => {
                self.members[gateway] = self.member();
                self.members[gateway].troubled_at = Some(self.now);
            }
            1 => self.members[gateway].is_cut = true,
            2 => self.members.iter_mut().for_each(|it| it.is_cut = false),
            _ => {
                let sidecar = self.random.random_range(0..self.sidecars.len());
                self.sidecars[sidecar] = (GatewaysHeard::new(10_000), LimitsHeard::default());
            }
        }
        for member in self.members.iter_mut().filter(|it| it.is_cut) {
            member.troubled_at = Some(self.now);
        }
    }
}

fn allowed(per_s: f64) -> f64 {
    per_s * OVERRUN * WINDOW as f64 / 1000.0 + SLACK
}

#[test]
fn all_gateways_together_send_a_plain_runner_what_it_takes() {
    for (gateways, per_s) in [(1, 1.0), (5, 1.6), (13, 1.0), (13, 12.0), (53, 0.4)] {
        let mut fleet = Fleet::new(gateways as u64, gateways, 12);
        fleet.name(RateWord::Limited(rate(per_s)));
        fleet.run(20_000);
        let most = fleet.most_in_window();
        assert!(most as f64 <= allowed(per_s), "{gateways} gateways: {most} at {per_s} a second");
        let calm = fleet.reached.iter().filter(|it| it.at + 15_000 > fleet.now).count() as f64;
        let offered = fleet.per_s * gateways as f64 / 2.0;
        let most = 15.0 * per_s.min(offered);
        assert!(calm >= 0.5 * most, "{gateways} gateways: {calm} of {most} in 15 s");
        assert_eq!(fleet.served, fleet.asked, "the other one serves");
    }
}

#[test]
fn the_sum_holds_at_303_gateways() {
    let mut fleet = Fleet::new(303, 303, 4);
    for per_s in [1.0, 9.5] {
        fleet.per_s = 1.0;
        fleet.name(RateWord::Limited(rate(per_s)));
        fleet.run(7000);
        let most = fleet.most_in_window();
        assert!(most as f64 <= allowed(per_s), "{most} at {per_s} a second");
    }
    fleet.name(RateWord::Unlimited);
    fleet.run(6000);
    let before = fleet.sent;
    fleet.run(2000);
    let sent = fleet.sent - before;
    assert!(sent as f64 >= 0.4 * 2.0 * 303.0 * fleet.per_s, "{sent} in 2 s after it has ended");
}

#[test]
fn the_sum_holds_whatever_the_runner_names_and_whoever_is_in_trouble() {
    for seed in 0..30 {
        let mut random = SmallRng::seed_from_u64(1000 + seed);
        let gateways = random.random_range(2..14);
        let mut fleet = Fleet::new(seed, gateways, 8);
        let mut named = f64::MAX;
        for _ in 0..8 {
            let per_s = [0.0, 0.3, 1.0, 1.6, 4.0, 25.0][random.random_range(0..6)];
            match random.random_range(0..5) {
                0 => fleet.name(RateWord::Unreadable),
                1 => {
                    fleet.name(RateWord::Unlimited);
                    named = f64::MAX;
                }
                _ => {
                    fleet.name(RateWord::Limited(rate(per_s)));
                    named = per_s;
                }
            }
            fleet.run(random.random_range(500..4500));
            (0..random.random_range(0..3)).for_each(|_| fleet.trouble());
            fleet.run(random.random_range(500..4500));
            if fleet.word == RateWord::Unreadable {
                continue;
            }
            let most = fleet.most_in_window();
            assert!(most as f64 <= allowed(named), "seed {seed}: {most} at {named} a second");
        }
        fleet.members.iter_mut().for_each(|it| it.is_cut = false);
        fleet.name(RateWord::Unlimited);
        fleet.run(12_000);
        let (sent, served) = (fleet.sent, fleet.served);
        fleet.run(2000);
        let part = (fleet.sent - sent) as f64 / (fleet.served - served) as f64;
        assert!(part > 0.3, "seed {seed}: {part} of all go there after the limit has ended");
    }
}

/// A gateway that knows itself and a plain runner, and is responsible for it.
fn responsible() -> Fleet {
    let mut fleet = Fleet::new(1, 1, 3);
    fleet.per_s = 0.0;
    fleet
}

fn named(bed: &mut Bed, key: u64, word: RateWord) {
    bed.now += 1;
    let notice = Notice { limit: Some(word), ..Notice::default() };
    bed.feed(Event::Noticed(RequestKey(key), notice));
}

#[test]
fn a_request_that_was_on_its_way_when_the_limit_was_named_goes_elsewhere() {
    let mut fleet = responsible();
    let bed = &mut fleet.members[0].bed;
    let mut call = |key| sent_to(bed.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe))).0;
    // Each runner gets its half.
    let there: Vec<u64> = (1..=6).filter(|key| call(*key) == "limited").collect();
    let (first, second) = (there[0], there[1]);
    assert!(bed.gateway.may_send(Millis(bed.now), RequestKey(second)));
    named(bed, first, RateWord::Limited(rate(1.0)));
    assert!(!bed.gateway.may_send(Millis(bed.now), RequestKey(second)));
    let step = bed.outcome(second, AttemptOutcome::Withdrawn);
    assert_eq!(sent_to(step).0, "other");
}

#[test]
fn a_gateway_that_knows_nobody_sends_nothing_to_a_runner_that_names_a_limit() {
    let mut bed = Bed::new();
    bed.list("m1", MODEL_SERVICE, 100);
    bed.list("limited", PLAIN_SERVICE, 1);
    bed.pass(1000);
    sent_to(bed.arrive(arrival(1, PLAIN_SERVICE, RouteKind::Safe)));
    named(&mut bed, 1, RateWord::Limited(rate(2.0)));
    bed.pass(5000);
    let next = bed.arrive(arrival(2, PLAIN_SERVICE, RouteKind::Safe));
    assert_eq!(refused(next).0, errors::Code::RateLimited);
}

#[test]
fn where_there_are_no_sidecars_each_gateway_takes_a_tenth() {
    let mut bed = Bed::new();
    bed.list("limited", PLAIN_SERVICE, 1);
    sent_to(bed.arrive(arrival(1, PLAIN_SERVICE, RouteKind::Safe)));
    named(&mut bed, 1, RateWord::Limited(rate(2.0)));
    bed.outcome(1, AttemptOutcome::Finished);
    let mut sent = 0;
    for key in 2..1002 {
        bed.pass(20);
        let step = bed.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe));
        sent += usize::from(matches!(step, Some(NextStep::Send(_))));
        bed.feed(Event::Gone(RequestKey(key)));
    }
    assert!((3..=5).contains(&sent), "{sent} in 20 s, of 2 a second");
}

#[test]
fn the_next_life_under_the_same_name_has_no_limit() {
    let mut fleet = responsible();
    let bed = &mut fleet.members[0].bed;
    bed.feed(Event::Unlisted("other".into()));
    sent_to(bed.arrive(arrival(1, PLAIN_SERVICE, RouteKind::Safe)));
    named(bed, 1, RateWord::Limited(rate(0.5)));
    let life = fleet::LifeWord { born: Some(9), sequence: 0 };
    bed.feed(Event::Listed(RunnerRecord { life, ..record("limited", PLAIN_SERVICE, 1) }));
    bed.feed(Event::Tick);
    for key in 2..5 {
        assert_eq!(sent_to(bed.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe))).0, "limited");
    }
}

/// A gateway before one model runner that has named a limit in an answer.
fn before_model_runner(told: Option<ToldLimit>) -> Bed {
    let mut bed = Bed::new();
    bed.list("m1", MODEL_SERVICE, 100);
    let runner = record("m1", MODEL_SERVICE, 100).address;
    bed.feed(Event::Load(runner, load(1, 0)));
    sent_to(bed.arrive(arrival(1, MODEL_SERVICE, RouteKind::Safe)));
    named(&mut bed, 1, RateWord::Limited(rate(1.0)));
    bed.outcome(1, AttemptOutcome::Finished);
    let target = target_of(bed.arrive(arrival(2, MODEL_SERVICE, RouteKind::Safe)));
    assert_eq!(target.limit.and_then(|it| it.rate), Some(rate(1.0)), "its sidecar is told");
    bed.feed(Event::LimitTold(runner, told));
    bed
}

#[test]
fn a_place_of_a_sidecar_that_keeps_to_the_rate_is_used() {
    let told = ToldLimit { born: None, rate: Some(rate(1.0)), age_ms: 0 };
    let bed = before_model_runner(Some(told));
    assert!(bed.gateway.may_send(Millis(bed.now), RequestKey(2)));
    let told = bed.gateway.told_limits(Millis(bed.now), &mut SmallRng::seed_from_u64(1));
    assert_eq!(told, [], "whoever asks that sidecar hears of it");
}

#[test]
fn a_place_of_a_sidecar_that_knows_of_no_rates_is_not_used_by_one_that_has_no_share() {
    let mut bed = before_model_runner(None);
    assert!(!bed.gateway.may_send(Millis(bed.now), RequestKey(2)));
    bed.outcome(2, AttemptOutcome::Withdrawn);
    let next = bed.arrive(arrival(3, MODEL_SERVICE, RouteKind::Safe));
    assert_eq!(refused(next).0, errors::Code::RateLimited, "it is left alone for a while");
}

#[test]
fn a_gateway_hears_from_a_sidecar_that_a_limit_has_ended() {
    let told = ToldLimit { born: None, rate: Some(rate(1.0)), age_ms: 0 };
    let mut bed = before_model_runner(Some(told));
    bed.now += 500;
    let runner = record("m1", MODEL_SERVICE, 100).address;
    bed.feed(Event::LimitTold(runner, Some(ToldLimit { rate: None, age_ms: 20, ..told })));
    assert!(!bed.gateway.is_limited(&"m1".into()));
}

/// A gateway before so many model runners that all name a rate, with their sidecars told.
fn all_limited(runners: u16) -> Bed {
    let mut bed = Bed::new();
    let told = ToldLimit { born: None, rate: Some(rate(0.5)), age_ms: 0 };
    for port in 1..=runners {
        bed.list(&format!("r{port}"), MODEL_SERVICE, port);
        let runner = record("", MODEL_SERVICE, port).address;
        bed.feed(Event::Load(runner, load(1, 0)));
        bed.feed(Event::LimitTold(runner, Some(told)));
    }
    bed
}

/// Has the sidecars deny a request, each with the time after which to ask again, until it is not sent any more.
fn denied(bed: &mut Bed, key: u64, again_ms: u64) -> Option<NextStep> {
    let mut step = bed.arrive(arrival(key, MODEL_SERVICE, RouteKind::Safe));
    while let Some(NextStep::Send(_)) = step {
        step = bed.outcome(key, AttemptOutcome::Denied { again_ms, short_ms: 0 });
    }
    step
}

fn refused(step: Option<NextStep>) -> (errors::Code, u64) {
    match step {
        Some(NextStep::Refuse { code, retry_after_ms, .. }) => (code, retry_after_ms),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn callers_are_refused_at_once_while_no_runner_takes_another_request_by_its_rate() {
    let mut bed = all_limited(3);
    let (code, away) = refused(denied(&mut bed, 1, 1400));
    assert_eq!(code, errors::Code::RateLimited);
    assert!(away >= 1400, "{away}: no runner takes anything before");
    bed.pass(400);
    let next = bed.arrive(arrival(2, MODEL_SERVICE, RouteKind::Safe));
    let (code, away) = refused(next);
    assert_eq!(code, errors::Code::RateLimited, "without a question to any sidecar");
    assert!((1000..=2000).contains(&away), "{away}");
    bed.pass(1001);
    (1..=3).for_each(|port| {
        bed.feed(Event::Load(record("", MODEL_SERVICE, port).address, load(1, 0)));
    });
    sent_to(bed.arrive(arrival(3, MODEL_SERVICE, RouteKind::Safe)));
}

#[test]
fn a_caller_waits_for_a_turn_that_comes_in_time() {
    let mut bed = all_limited(2);
    assert_eq!(denied(&mut bed, 1, 40), None, "a place comes within the time that it may wait");
    bed.now += 41;
    sent_to(bed.step(1, Event::Tick));
}

#[test]
fn a_caller_that_waited_for_a_turn_in_vain_hears_that_the_rate_was_the_reason() {
    let mut bed = all_limited(2);
    assert_eq!(denied(&mut bed, 1, 40), None);
    bed.now += 41;
    sent_to(bed.step(1, Event::Tick));
    bed.now += 400;
    // The turn of the other runner has come meanwhile, but this caller's time is over.
    let (code, _) = refused(bed.outcome(1, AttemptOutcome::Denied { again_ms: 2000, short_ms: 0 }));
    assert_eq!(code, errors::Code::RateLimited);
}

#[test]
fn callers_of_a_plain_service_are_refused_at_once_while_its_only_runner_has_had_its_rate() {
    let mut fleet = responsible();
    let bed = &mut fleet.members[0].bed;
    bed.feed(Event::Unlisted("other".into()));
    sent_to(bed.arrive(arrival(1, PLAIN_SERVICE, RouteKind::Safe)));
    named(bed, 1, RateWord::Limited(rate(1.0)));
    bed.outcome(1, AttemptOutcome::Finished);
    let (code, away) = refused(bed.arrive(arrival(2, PLAIN_SERVICE, RouteKind::Safe)));
    assert_eq!(code, errors::Code::RateLimited);
    assert!((990..=1010).contains(&away), "{away}");
    bed.pass(1010);
    sent_to(bed.arrive(arrival(3, PLAIN_SERVICE, RouteKind::Safe)));
}

#[test]
fn one_runner_without_a_limit_is_enough_to_be_served() {
    let mut bed = all_limited(2);
    bed.list("free", MODEL_SERVICE, 9);
    bed.feed(Event::Load(record("", MODEL_SERVICE, 9).address, load(1, 0)));
    for key in 1..4 {
        let mut step = bed.arrive(arrival(key, MODEL_SERVICE, RouteKind::Safe));
        while target_of(step.clone()).id.0 != "free" {
            step = bed.outcome(key, AttemptOutcome::Denied { again_ms: 1900, short_ms: 0 });
        }
    }
}
