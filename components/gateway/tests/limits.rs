//! Runners with a rate limit: what gateways send without a reservation from a sidecar.

mod support;

use std::collections::VecDeque;
use std::net::SocketAddr;

use fleet::{AdvertisedLimit, Millis, Rate, ReportedLimit};
use gateway::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::*;

/// The factor on its rate up to which a runner may receive requests in a window, the number of
/// additional requests, and the window in milliseconds.
const OVERRUN: f64 = 1.5;
const SLACK: f64 = 5.0;
const WINDOW_MS: u64 = 4000;
/// Time after the first rate limit of a runner, and after a fault, from which gateways are held to
/// it, in milliseconds.
const GRACE_MS: u64 = 3000;
/// Time after a gateway received the limit from which its requests count, in milliseconds.
const AFTER_RECEIPT_MS: u64 = 500;
/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 100;
/// Interval of the reports of a sidecar and of the rounds of a gateway, in milliseconds.
const ROUND_MS: u64 = 1000;

fn address(gateway: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (gateway / 200) as u8, (gateway % 200) as u8], 9000))
}

fn rate(per_s: f64) -> Rate {
    Rate::from_per_s(per_s).unwrap()
}

/// A request that reached the limited runner.
struct Arrived {
    at: u64,
    is_counted: bool,
}

/// A gateway with its state in the simulation.
struct Member {
    fixture: Fixture,
    next_round_at: u64,
    limit_received_at: Option<u64>,
    faulted_at: Option<u64>,
    is_cut_off: bool,
}

/// Gateways with two plain runners, the first of which has rate limits, and sidecars that exchange
/// messages with the gateways.
struct Fleet {
    random: SmallRng,
    now: u64,
    members: Vec<Member>,
    sidecars: Vec<(KnownGateways, KnownLimits)>,
    /// The limit that the runner reports, and when it reported its first one.
    reported_limit: AdvertisedLimit,
    limit_set_at: Option<u64>,
    arrivals: VecDeque<Arrived>,
    /// The number of the next request.
    next: u64,
    served: usize,
    request_count: usize,
    sent: usize,
    /// Requests per second at each gateway.
    per_s: f64,
    has_other_runner: bool,
}

impl Fleet {
    fn new(seed: u64, gateways: usize, sidecars: usize) -> Self {
        let mut fleet = Self {
            random: SmallRng::seed_from_u64(seed),
            now: 1_000_000,
            members: Vec::new(),
            sidecars: (0..sidecars)
                .map(|_| (KnownGateways::new(10_000), KnownLimits::default()))
                .collect(),
            reported_limit: AdvertisedLimit::Unlimited,
            limit_set_at: None,
            arrivals: VecDeque::new(),
            next: 0,
            served: 0,
            request_count: 0,
            sent: 0,
            per_s: 4.0,
            has_other_runner: true,
        };
        for _ in 0..gateways {
            let member = fleet.member();
            fleet.members.push(member);
        }
        fleet.run(7000);
        fleet
    }

    fn member(&mut self) -> Member {
        let mut fixture = Fixture::new();
        fixture.now = self.now;
        for sidecar in 0..self.sidecars.len() {
            fixture.list(&format!("m{sidecar}"), MODEL_SERVICE, 100 + sidecar as u16);
        }
        fixture.list("limited", PLAIN_SERVICE, 1);
        if self.has_other_runner {
            fixture.list("other", PLAIN_SERVICE, 2);
        }
        let next_round_at = self.now + self.random.random_range(0..ROUND_MS);
        Member {
            fixture,
            next_round_at,
            limit_received_at: None,
            faulted_at: None,
            is_cut_off: false,
        }
    }

    /// Changes the limit that the runner reports. No gateway is held to it before it has received
    /// it.
    fn set_limit(&mut self, reported_limit: AdvertisedLimit) {
        self.reported_limit = reported_limit;
        self.arrivals.clear();
        self.members.iter_mut().for_each(|it| it.limit_received_at = None);
        match reported_limit {
            AdvertisedLimit::Unlimited => self.limit_set_at = None,
            _ => self.limit_set_at = self.limit_set_at.or(Some(self.now)),
        }
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP_MS;
            for gateway in 0..self.members.len() {
                self.members[gateway].fixture.now = self.now;
                self.members[gateway].fixture.feed(Event::Tick);
                if self.members[gateway].next_round_at <= self.now
                    && !self.members[gateway].is_cut_off
                {
                    self.members[gateway].next_round_at += ROUND_MS;
                    self.exchange(gateway);
                }
                let due = self.per_s * STEP_MS as f64 / 1000.0 + self.random.random::<f64>();
                (0..due as usize).for_each(|_| self.send_request(gateway));
            }
        }
    }

    /// One round of a gateway with the sidecars: it sends its limits and receives their reports and
    /// one of their lists.
    fn exchange(&mut self, gateway: usize) {
        let now = Millis(self.now);
        let request_count = self.random.random_range(0..self.sidecars.len());
        let fixture = &mut self.members[gateway].fixture;
        let reported = fixture.gateway.limits_to_report(now, &mut self.random);
        for (number, (gateways, limits)) in self.sidecars.iter_mut().enumerate() {
            if self.random.random_bool(0.1) {
                continue;
            }
            gateways.note(now, address(gateway));
            limits.take(now, &reported);
            let runner = record(&format!("m{number}"), MODEL_SERVICE, 100 + number as u16).address;
            fixture.feed(Event::Load(runner, load(1, 0)));
            if number == request_count {
                fixture.feed(Event::Gateways(gateways.list(now, address(gateway))));
                fixture.feed(Event::Limits(limits.list(now, &mut self.random)));
            }
        }
    }

    /// Sends a request to a gateway. If it is forwarded, it is answered at once.
    fn send_request(&mut self, gateway: usize) {
        self.next += 1;
        let key = self.next;
        self.request_count += 1;
        let fixture = &mut self.members[gateway].fixture;
        let Some(NextStep::Send(target)) =
            fixture.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe))
        else {
            fixture.feed(Event::RequestEnded(RequestKey(key)));
            return;
        };
        self.served += 1;
        let is_limited = target.id.0 == "limited";
        if is_limited {
            self.reach_limited_runner(gateway, key);
        }
        let fixture = &mut self.members[gateway].fixture;
        fixture.outcome(key, AttemptOutcome::Answered);
        fixture.outcome(key, AttemptOutcome::Finished);
    }

    /// Delivers a request to the limited runner, whose response contains its current limit.
    fn reach_limited_runner(&mut self, gateway: usize, key: u64) {
        let (now, reported_limit) = (self.now, self.reported_limit);
        self.sent += 1;
        let member = &mut self.members[gateway];
        let is_known = member.fixture.gateway.is_limited(&"limited".into());
        if reported_limit != AdvertisedLimit::Unlimited || is_known {
            let notice = Notice { limit: Some(reported_limit), ..Notice::default() };
            // The response arrives a little later than the request was sent.
            member.fixture.now += 1;
            member.fixture.feed(Event::NoticeReceived(RequestKey(key), notice));
            member.fixture.now -= 1;
        }
        if reported_limit == AdvertisedLimit::Unlimited {
            return;
        }
        let is_told = member.limit_received_at.is_some_and(|at| at + AFTER_RECEIPT_MS <= now);
        let is_calm = member.faulted_at.is_none_or(|at| at + GRACE_MS <= now);
        member.limit_received_at.get_or_insert(now);
        let is_counted =
            is_told && is_calm && self.limit_set_at.is_some_and(|at| at + GRACE_MS <= now);
        self.arrivals.push_back(Arrived { at: now, is_counted });
    }

    /// The highest number of counted requests in a window.
    fn max_in_window(&self) -> usize {
        let counted: Vec<u64> =
            self.arrivals.iter().filter(|it| it.is_counted).map(|it| it.at).collect();
        let within = |from: u64| {
            let window = from..from + WINDOW_MS;
            counted.iter().filter(|at| window.contains(at)).count()
        };
        counted.iter().map(|from| within(*from)).max().unwrap_or(0)
    }

    /// Injects a random fault.
    fn inject_fault(&mut self) {
        let gateway = self.random.random_range(0..self.members.len());
        match self.random.random_range(0..4) {
            0 => {
                self.members[gateway] = self.member();
                self.members[gateway].faulted_at = Some(self.now);
            }
            1 => self.members[gateway].is_cut_off = true,
            2 => self.members.iter_mut().for_each(|it| it.is_cut_off = false),
            _ => {
                let sidecar = self.random.random_range(0..self.sidecars.len());
                self.sidecars[sidecar] = (KnownGateways::new(10_000), KnownLimits::default());
            }
        }
        for member in self.members.iter_mut().filter(|it| it.is_cut_off) {
            member.faulted_at = Some(self.now);
        }
    }
}

fn max_allowed(per_s: f64) -> f64 {
    per_s * OVERRUN * WINDOW_MS as f64 / 1000.0 + SLACK
}

#[test]
fn all_gateways_together_respect_the_rate_limit_of_a_plain_runner() {
    for (gateways, per_s) in [(1, 1.0), (5, 1.6), (13, 1.0), (13, 12.0), (53, 0.4)] {
        let mut fleet = Fleet::new(gateways as u64, gateways, 12);
        fleet.set_limit(AdvertisedLimit::Limited(rate(per_s)));
        fleet.run(20_000);
        let most = fleet.max_in_window();
        assert!(
            most as f64 <= max_allowed(per_s),
            "{gateways} gateways: {most} at {per_s} a second"
        );
        let calm = fleet.arrivals.iter().filter(|it| it.at + 15_000 > fleet.now).count() as f64;
        let offered = fleet.per_s * gateways as f64 / 2.0;
        let most = 15.0 * per_s.min(offered);
        assert!(calm >= 0.5 * most, "{gateways} gateways: {calm} of {most} in 15 s");
        assert_eq!(fleet.served, fleet.request_count, "the other runner serves");
    }
}

#[test]
fn the_total_rate_is_respected_with_303_gateways() {
    let mut fleet = Fleet::new(303, 303, 4);
    for per_s in [1.0, 9.5] {
        fleet.per_s = 1.0;
        fleet.set_limit(AdvertisedLimit::Limited(rate(per_s)));
        fleet.run(7000);
        let most = fleet.max_in_window();
        assert!(most as f64 <= max_allowed(per_s), "{most} at {per_s} a second");
    }
    fleet.set_limit(AdvertisedLimit::Unlimited);
    fleet.run(6000);
    let before = fleet.sent;
    fleet.run(2000);
    let sent = fleet.sent - before;
    assert!(sent as f64 >= 0.4 * 2.0 * 303.0 * fleet.per_s, "{sent} in 2 s after it has ended");
}

#[test]
fn the_total_rate_is_respected_with_changing_limits_and_faults() {
    for seed in 0..30 {
        let mut random = SmallRng::seed_from_u64(1000 + seed);
        let gateways = random.random_range(2..14);
        let mut fleet = Fleet::new(seed, gateways, 8);
        let mut reported_per_s = f64::MAX;
        for _ in 0..8 {
            let per_s = [0.0, 0.3, 1.0, 1.6, 4.0, 25.0][random.random_range(0..6)];
            match random.random_range(0..5) {
                0 => fleet.set_limit(AdvertisedLimit::Unreadable),
                1 => {
                    fleet.set_limit(AdvertisedLimit::Unlimited);
                    reported_per_s = f64::MAX;
                }
                _ => {
                    fleet.set_limit(AdvertisedLimit::Limited(rate(per_s)));
                    reported_per_s = per_s;
                }
            }
            fleet.run(random.random_range(500..4500));
            (0..random.random_range(0..3)).for_each(|_| fleet.inject_fault());
            fleet.run(random.random_range(500..4500));
            if fleet.reported_limit == AdvertisedLimit::Unreadable {
                continue;
            }
            let most = fleet.max_in_window();
            assert!(
                most as f64 <= max_allowed(reported_per_s),
                "seed {seed}: {most} at {reported_per_s} a second"
            );
        }
        fleet.members.iter_mut().for_each(|it| it.is_cut_off = false);
        fleet.set_limit(AdvertisedLimit::Unlimited);
        fleet.run(12_000);
        let (sent, served) = (fleet.sent, fleet.served);
        fleet.run(2000);
        let part = (fleet.sent - sent) as f64 / (fleet.served - served) as f64;
        assert!(
            part > 0.3,
            "seed {seed}: {part} of all requests are sent to the runner after its limit has ended"
        );
    }
}

/// A gateway that knows itself and a plain runner, and is responsible for the runner.
fn responsible() -> Fleet {
    let mut fleet = Fleet::new(1, 1, 3);
    fleet.per_s = 0.0;
    fleet
}

fn receive_limit(fixture: &mut Fixture, key: u64, reported_limit: AdvertisedLimit) {
    fixture.now += 1;
    let notice = Notice { limit: Some(reported_limit), ..Notice::default() };
    fixture.feed(Event::NoticeReceived(RequestKey(key), notice));
}

#[test]
fn an_unsent_request_is_rerouted_when_its_runner_reports_a_limit() {
    let mut fleet = responsible();
    let fixture = &mut fleet.members[0].fixture;
    let mut send_request =
        |key| sent_to(fixture.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe))).0;
    // Each runner receives half of the requests.
    let there: Vec<u64> = (1..=6).filter(|key| send_request(*key) == "limited").collect();
    let (first, second) = (there[0], there[1]);
    assert!(fixture.gateway.may_send(Millis(fixture.now), RequestKey(second)));
    receive_limit(fixture, first, AdvertisedLimit::Limited(rate(1.0)));
    assert!(!fixture.gateway.may_send(Millis(fixture.now), RequestKey(second)));
    let step = fixture.outcome(second, AttemptOutcome::Withdrawn);
    assert_eq!(sent_to(step).0, "other");
}

#[test]
fn a_gateway_without_known_members_sends_nothing_to_a_runner_with_a_limit() {
    let mut fixture = Fixture::new();
    fixture.list("m1", MODEL_SERVICE, 100);
    fixture.list("limited", PLAIN_SERVICE, 1);
    fixture.pass(1000);
    sent_to(fixture.arrive(arrival(1, PLAIN_SERVICE, RouteKind::Safe)));
    receive_limit(&mut fixture, 1, AdvertisedLimit::Limited(rate(2.0)));
    fixture.pass(5000);
    let next = fixture.arrive(arrival(2, PLAIN_SERVICE, RouteKind::Safe));
    assert_eq!(refused(next).0, errors::Code::RateLimited);
}

#[test]
fn without_sidecars_each_gateway_uses_a_tenth_of_the_rate() {
    let mut fixture = Fixture::new();
    fixture.list("limited", PLAIN_SERVICE, 1);
    sent_to(fixture.arrive(arrival(1, PLAIN_SERVICE, RouteKind::Safe)));
    receive_limit(&mut fixture, 1, AdvertisedLimit::Limited(rate(2.0)));
    fixture.outcome(1, AttemptOutcome::Finished);
    let mut sent = 0;
    for key in 2..1002 {
        fixture.pass(20);
        let step = fixture.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe));
        sent += usize::from(matches!(step, Some(NextStep::Send(_))));
        fixture.feed(Event::RequestEnded(RequestKey(key)));
    }
    assert!((3..=5).contains(&sent), "{sent} in 20 s, of 2 a second");
}

#[test]
fn the_next_life_under_the_same_name_has_no_limit() {
    let mut fleet = responsible();
    let fixture = &mut fleet.members[0].fixture;
    fixture.feed(Event::Unlisted("other".into()));
    sent_to(fixture.arrive(arrival(1, PLAIN_SERVICE, RouteKind::Safe)));
    receive_limit(fixture, 1, AdvertisedLimit::Limited(rate(0.5)));
    let incarnation = fleet::IncarnationReport { born: Some(9), sequence: 0 };
    fixture
        .feed(Event::Listed(RunnerRecord { incarnation, ..record("limited", PLAIN_SERVICE, 1) }));
    fixture.feed(Event::Tick);
    for key in 2..5 {
        assert_eq!(
            sent_to(fixture.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe))).0,
            "limited"
        );
    }
}

/// A gateway with one model runner that has reported a limit in a response.
fn fixture_with_model_runner(reported: Option<ReportedLimit>) -> Fixture {
    let mut fixture = Fixture::new();
    fixture.list("m1", MODEL_SERVICE, 100);
    let runner = record("m1", MODEL_SERVICE, 100).address;
    fixture.feed(Event::Load(runner, load(1, 0)));
    sent_to(fixture.arrive(arrival(1, MODEL_SERVICE, RouteKind::Safe)));
    receive_limit(&mut fixture, 1, AdvertisedLimit::Limited(rate(1.0)));
    fixture.outcome(1, AttemptOutcome::Finished);
    let target = target_of(fixture.arrive(arrival(2, MODEL_SERVICE, RouteKind::Safe)));
    assert_eq!(
        target.limit.and_then(|it| it.rate),
        Some(rate(1.0)),
        "the limit is reported to its sidecar"
    );
    fixture.feed(Event::LimitReported(runner, reported));
    fixture
}

#[test]
fn a_reservation_of_a_sidecar_that_enforces_the_rate_is_used() {
    let reported = ReportedLimit { born: None, rate: Some(rate(1.0)), age_ms: 0 };
    let fixture = fixture_with_model_runner(Some(reported));
    assert!(fixture.gateway.may_send(Millis(fixture.now), RequestKey(2)));
    let reported =
        fixture.gateway.limits_to_report(Millis(fixture.now), &mut SmallRng::seed_from_u64(1));
    assert_eq!(reported, [], "the sidecar reports the limit itself");
}

#[test]
fn a_reservation_of_a_sidecar_that_does_not_enforce_the_rate_is_not_used_without_a_share() {
    let mut fixture = fixture_with_model_runner(None);
    assert!(!fixture.gateway.may_send(Millis(fixture.now), RequestKey(2)));
    fixture.outcome(2, AttemptOutcome::Withdrawn);
    let next = fixture.arrive(arrival(3, MODEL_SERVICE, RouteKind::Safe));
    assert_eq!(refused(next).0, errors::Code::RateLimited, "it is paused for a while");
}

#[test]
fn a_gateway_learns_from_a_sidecar_that_a_limit_has_ended() {
    let reported = ReportedLimit { born: None, rate: Some(rate(1.0)), age_ms: 0 };
    let mut fixture = fixture_with_model_runner(Some(reported));
    fixture.now += 500;
    let runner = record("m1", MODEL_SERVICE, 100).address;
    fixture.feed(Event::LimitReported(
        runner,
        Some(ReportedLimit { rate: None, age_ms: 20, ..reported }),
    ));
    assert!(!fixture.gateway.is_limited(&"m1".into()));
}

/// A gateway with this number of model runners, all with a rate limit that their sidecars know.
fn fixture_with_limited_runners(runners: u16) -> Fixture {
    let mut fixture = Fixture::new();
    let reported = ReportedLimit { born: None, rate: Some(rate(0.5)), age_ms: 0 };
    for port in 1..=runners {
        fixture.list(&format!("r{port}"), MODEL_SERVICE, port);
        let runner = record("", MODEL_SERVICE, port).address;
        fixture.feed(Event::Load(runner, load(1, 0)));
        fixture.feed(Event::LimitReported(runner, Some(reported)));
    }
    fixture
}

/// Denies a request at each sidecar, with this retry delay, until it is not sent any more.
fn deny_until_waiting(fixture: &mut Fixture, key: u64, retry_after_ms: u64) -> Option<NextStep> {
    let mut step = fixture.arrive(arrival(key, MODEL_SERVICE, RouteKind::Safe));
    while let Some(NextStep::Send(_)) = step {
        step = fixture.outcome(key, AttemptOutcome::Denied { retry_after_ms, shortage_ms: 0 });
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
fn callers_are_refused_at_once_while_all_rate_limits_are_exhausted() {
    let mut fixture = fixture_with_limited_runners(3);
    let (code, retry_delay) = refused(deny_until_waiting(&mut fixture, 1, 1400));
    assert_eq!(code, errors::Code::RateLimited);
    assert!(retry_delay >= 1400, "{retry_delay}: no runner accepts a request earlier");
    fixture.pass(400);
    let next = fixture.arrive(arrival(2, MODEL_SERVICE, RouteKind::Safe));
    let (code, retry_delay) = refused(next);
    assert_eq!(code, errors::Code::RateLimited, "without a query to any sidecar");
    assert!((1000..=2000).contains(&retry_delay), "{retry_delay}");
    fixture.pass(1001);
    (1..=3).for_each(|port| {
        fixture.feed(Event::Load(record("", MODEL_SERVICE, port).address, load(1, 0)));
    });
    sent_to(fixture.arrive(arrival(3, MODEL_SERVICE, RouteKind::Safe)));
}

#[test]
fn a_caller_waits_for_a_rate_limit_that_allows_a_request_in_time() {
    let mut fixture = fixture_with_limited_runners(2);
    assert_eq!(
        deny_until_waiting(&mut fixture, 1, 40),
        None,
        "a slot becomes free within its waiting time"
    );
    fixture.now += 41;
    sent_to(fixture.step(1, Event::Tick));
}

#[test]
fn a_caller_that_waited_for_an_exhausted_rate_limit_is_refused_as_rate_limited() {
    let mut fixture = fixture_with_limited_runners(2);
    assert_eq!(deny_until_waiting(&mut fixture, 1, 40), None);
    fixture.now += 41;
    sent_to(fixture.step(1, Event::Tick));
    fixture.now += 400;
    // The other runner would accept a request by now, but the waiting time of this one is over.
    let (code, _) = refused(
        fixture.outcome(1, AttemptOutcome::Denied { retry_after_ms: 2000, shortage_ms: 0 }),
    );
    assert_eq!(code, errors::Code::RateLimited);
}

#[test]
fn callers_of_a_plain_service_are_refused_while_the_rate_of_its_only_runner_is_exhausted() {
    let mut fleet = responsible();
    let fixture = &mut fleet.members[0].fixture;
    fixture.feed(Event::Unlisted("other".into()));
    sent_to(fixture.arrive(arrival(1, PLAIN_SERVICE, RouteKind::Safe)));
    receive_limit(fixture, 1, AdvertisedLimit::Limited(rate(1.0)));
    fixture.outcome(1, AttemptOutcome::Finished);
    let (code, retry_delay) = refused(fixture.arrive(arrival(2, PLAIN_SERVICE, RouteKind::Safe)));
    assert_eq!(code, errors::Code::RateLimited);
    assert!((990..=1010).contains(&retry_delay), "{retry_delay}");
    fixture.pass(1010);
    sent_to(fixture.arrive(arrival(3, PLAIN_SERVICE, RouteKind::Safe)));
}

#[test]
fn requests_are_served_if_one_runner_has_no_limit() {
    let mut fixture = fixture_with_limited_runners(2);
    fixture.list("free", MODEL_SERVICE, 9);
    fixture.feed(Event::Load(record("", MODEL_SERVICE, 9).address, load(1, 0)));
    for key in 1..4 {
        let mut step = fixture.arrive(arrival(key, MODEL_SERVICE, RouteKind::Safe));
        while target_of(step.clone()).id.0 != "free" {
            step = fixture
                .outcome(key, AttemptOutcome::Denied { retry_after_ms: 1900, shortage_ms: 0 });
        }
    }
}
