//! Configurations and settings that come into force while requests are active: whatever they change or remove, each
//! request keeps a next step until it has ended.

mod support;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use errors::Code;
use fleet::{HomeRegions, InstanceId, Millis, WorkspaceId};
use gateway::*;
use proptest::prelude::*;
use support::*;

/// The longest time that a request without an attempt may be left without a step, in milliseconds: it may have run
/// and waits for another slot, its wait was extended after a process pause, and the timer ticks.
const MAX_STEP_DELAY_MS: u64 = 800;
/// The interval of the periodic timer, in milliseconds.
const TICK_MS: u64 = 10;
/// How long a request may take, in milliseconds.
const DEADLINE_MS: u64 = 4000;
/// The longest hold after a process pause, in milliseconds.
const HOLD_MS: u64 = 800;

/// What a configuration contains; each value is taken modulo the number of possibilities.
#[derive(Clone, Copy, Debug, Default)]
struct Contents {
    /// Whether the route of all requests is gone.
    drops_route: bool,
    /// Whether the workspace of all requests is gone.
    drops_workspace: bool,
    /// Whether no service is configured.
    drops_services: bool,
    /// Whether the plain service runs a model and the other one none.
    swaps_engines: bool,
    /// Whether runners start cold.
    starts_cold: bool,
    /// The home regions of the route.
    homes: u8,
}

/// Home regions that are applied in turn; the deployment has the first two regions.
const HOMES: [&[&str]; 4] = [&[], &["north"], &["south"], &["nowhere"]];

impl Contents {
    /// A configuration without anything that a request was routed by.
    const NOTHING: Self = Self {
        drops_route: true,
        drops_workspace: true,
        drops_services: true,
        swaps_engines: false,
        starts_cold: false,
        homes: 0,
    };

    fn event(self, version: u64) -> Event {
        let regions = HOMES[self.homes as usize % HOMES.len()];
        let homes = HomeRegions::only(regions.iter().map(|it| (*it).into()));
        let routes = if self.drops_route { Vec::new() } else { vec![route(homes)] };
        let mut workspaces = HashMap::new();
        if !self.drops_workspace {
            let name = workspace();
            workspaces.insert(
                "key".into(),
                Workspace { name, priority: 0, homes: HomeRegions::anywhere() },
            );
        }
        Event::Configured(Arc::new(Catalog::new(CatalogParts {
            version,
            routes,
            services: self.services(),
            workspaces: Some(workspaces),
            limits: Limits::default(),
        })))
    }

    fn services(self) -> Vec<Service> {
        let configured = catalog(1);
        let engine = configured.service(&service(MODEL_SERVICE)).and_then(|it| it.engine.clone());
        let (with_engine, without) = match self.swaps_engines {
            true => (PLAIN_SERVICE, MODEL_SERVICE),
            false => (MODEL_SERVICE, PLAIN_SERVICE),
        };
        let cold = self.starts_cold.then_some(ColdProfile { start_ms: 3000, requests_per_s: 1.0 });
        let named = |name: &str, engine| Service { name: name.into(), engine, origin: None, cold };
        match self.drops_services {
            true => Vec::new(),
            false => vec![named(with_engine, engine), named(without, None)],
        }
    }
}

fn workspace() -> WorkspaceId {
    WorkspaceId("w".into())
}

/// A request of a workspace with a deadline.
fn request(key: u64, now: u64, service: &str, kind: RouteKind) -> Arrival {
    Arrival {
        workspace: Some(workspace()),
        deadline: Millis(now + DEADLINE_MS),
        ..arrival(key, service, kind)
    }
}

/// A gateway with two runners of each service.
fn two_runners_each() -> Fixture {
    let mut fixture = Fixture::new();
    for (number, service) in (1..).zip([MODEL_SERVICE, MODEL_SERVICE, PLAIN_SERVICE, PLAIN_SERVICE])
    {
        fixture.list(&format!("r{number}"), service, number);
    }
    fixture
}

/// Advances the clock and returns the first step of a request within `span`.
fn step_within(fixture: &mut Fixture, key: u64, span: u64) -> Option<NextStep> {
    (0..span / TICK_MS).find_map(|_| {
        fixture.now += TICK_MS;
        fixture.step(key, Event::Tick)
    })
}

const STREAM: RouteKind = RouteKind::Stream { resumable: true };

#[test]
fn a_queued_request_whose_route_is_gone_is_sent_once_a_runner_is_free() {
    for service in [MODEL_SERVICE, PLAIN_SERVICE] {
        let mut fixture = Fixture::new();
        assert_eq!(fixture.arrive(request(1, fixture.now, service, STREAM)), None);
        assert_eq!(fixture.step(1, Contents::NOTHING.event(2)), None);
        let step = fixture.step(1, Event::Listed(record("r1", service, 1)));
        assert_eq!(sent_to(step), "r1".into());
    }
}

#[test]
fn a_queued_request_whose_route_is_gone_is_refused_when_its_wait_is_over() {
    for service in [MODEL_SERVICE, PLAIN_SERVICE] {
        let mut fixture = Fixture::new();
        assert_eq!(fixture.arrive(request(1, fixture.now, service, STREAM)), None);
        assert_eq!(fixture.step(1, Contents::NOTHING.event(2)), None);
        let step = step_within(&mut fixture, 1, 110);
        assert!(matches!(step, Some(NextStep::Refuse { .. })), "{step:?}");
    }
}

#[test]
fn a_queued_request_is_refused_at_once_by_a_configuration_that_leaves_it_no_runner() {
    for service in [MODEL_SERVICE, PLAIN_SERVICE] {
        let mut fixture = Fixture::new();
        fixture.list("r1", service, 1);
        for key in 1..=12 {
            fixture.arrive(request(key, fixture.now, service, STREAM));
        }
        let (_, queued) = fixture.gateway.load();
        assert!(queued > 0, "the last request has no slot");
        let nowhere = Contents { homes: 3, ..Contents::default() };
        let step = fixture.step(12, nowhere.event(2));
        assert!(matches!(step, Some(NextStep::Refuse { code: Code::NoHome, .. })), "{step:?}");
    }
}

#[test]
fn a_request_that_waits_for_a_reservation_goes_on_after_its_route_is_gone() {
    let mut fixture = two_runners_each();
    let now = fixture.now;
    let target = target_of(fixture.arrive(request(1, now, MODEL_SERVICE, STREAM)));
    assert!(target.reserve);
    assert_eq!(fixture.step(1, Contents::NOTHING.event(2)), None);
    assert!(fixture.gateway.may_send(Millis(now), RequestKey(1)), "its runner still serves");
    let step = fixture.outcome(1, AttemptOutcome::Silent);
    assert_ne!(sent_to(step), target.id);
}

#[test]
fn a_request_whose_runner_may_not_have_it_any_more_goes_to_another() {
    for service in [MODEL_SERVICE, PLAIN_SERVICE] {
        let mut fixture = Fixture::new();
        fixture.list("r1", service, 1);
        let now = fixture.now;
        sent_to(fixture.arrive(request(1, now, service, STREAM)));
        let south = RunnerRecord { hall: "b".into(), ..record("r2", service, 2) };
        fixture.feed(Event::Listed(south));
        assert_eq!(fixture.step(1, Contents { homes: 2, ..Contents::default() }.event(2)), None);
        assert!(!fixture.gateway.may_send(Millis(now), RequestKey(1)), "it must run in the south");
        let step = fixture.outcome(1, AttemptOutcome::Withdrawn);
        assert_eq!(sent_to(step), "r2".into());
    }
}

#[test]
fn a_request_that_was_sent_is_retried_after_its_route_is_gone() {
    for service in [MODEL_SERVICE, PLAIN_SERVICE] {
        let mut fixture = two_runners_each();
        let first = sent_to(fixture.arrive(request(1, fixture.now, service, STREAM)));
        assert_eq!(fixture.step(1, Contents::NOTHING.event(2)), None);
        assert_ne!(sent_to(fixture.outcome(1, AttemptOutcome::Full)), first);
    }
}

#[test]
fn a_stream_that_is_cut_after_its_route_is_gone_is_resumed() {
    for service in [MODEL_SERVICE, PLAIN_SERVICE] {
        let mut fixture = two_runners_each();
        let first = sent_to(fixture.arrive(request(1, fixture.now, service, STREAM)));
        fixture.outcome(1, AttemptOutcome::Answered);
        assert_eq!(fixture.step(1, Contents::NOTHING.event(2)), None);
        assert_ne!(sent_to(fixture.outcome(1, AttemptOutcome::Cut)), first);
    }
}

#[test]
fn a_stream_that_waits_to_be_resumed_is_resumed_after_its_route_is_gone() {
    for service in [MODEL_SERVICE, PLAIN_SERVICE] {
        let mut fixture = Fixture::new();
        fixture.list("r1", service, 1);
        sent_to(fixture.arrive(request(1, fixture.now, service, STREAM)));
        fixture.outcome(1, AttemptOutcome::Answered);
        assert_eq!(fixture.outcome(1, AttemptOutcome::Cut), None, "no other runner is known");
        assert_eq!(fixture.step(1, Contents::NOTHING.event(2)), None);
        let step = fixture.step(1, Event::Listed(record("r2", service, 2)));
        assert_eq!(sent_to(step), "r2".into());
    }
}

#[test]
fn a_stream_that_waits_to_be_resumed_is_given_up_when_no_runner_is_left() {
    for service in [MODEL_SERVICE, PLAIN_SERVICE] {
        let mut fixture = Fixture::new();
        fixture.list("r1", service, 1);
        sent_to(fixture.arrive(request(1, fixture.now, service, STREAM)));
        fixture.outcome(1, AttemptOutcome::Answered);
        assert_eq!(fixture.outcome(1, AttemptOutcome::Cut), None, "no other runner is known");
        assert_eq!(fixture.step(1, Contents::NOTHING.event(2)), None);
        let step = step_within(&mut fixture, 1, MAX_STEP_DELAY_MS);
        assert_eq!(step, Some(NextStep::GiveUp(Code::CutShort)));
    }
}

#[test]
fn a_request_that_is_held_after_a_pause_is_sent_when_its_route_is_gone() {
    for service in [MODEL_SERVICE, PLAIN_SERVICE] {
        let mut fixture = two_runners_each();
        fixture.feed(Event::Resumed);
        assert_eq!(fixture.arrive(request(1, fixture.now, service, STREAM)), None);
        assert_eq!(fixture.step(1, Contents::NOTHING.event(2)), None, "it is still held");
        let step = step_within(&mut fixture, 1, DEADLINE_MS);
        assert!(matches!(step, Some(NextStep::Send(_))), "{step:?}");
    }
}

#[test]
fn an_older_configuration_changes_nothing() {
    let mut fixture = two_runners_each();
    fixture.feed(Contents::default().event(5));
    let nowhere = Contents { homes: 3, ..Contents::default() };
    fixture.feed(nowhere.event(4));
    let step = fixture.arrive(request(1, fixture.now, PLAIN_SERVICE, STREAM));
    assert!(matches!(step, Some(NextStep::Send(_))), "{step:?}");
}

/// An event between two checks. Numbers are taken modulo the number of existing items.
#[derive(Clone, Debug)]
enum Action {
    Configure(Contents),
    /// The settings are read again; the bits select which of them differ.
    Reload(u8),
    List(u8),
    Unlist(u8),
    Pause,
    Arrive {
        plain: bool,
        kind: u8,
    },
    Outcome {
        request: u8,
        outcome: u8,
    },
    /// The runner of a request falls silent.
    Stall(u8),
    /// A silent runner goes on, or its attempt ends.
    EndStall {
        request: u8,
        goes_on: bool,
    },
    Wait(u8),
}

fn contents() -> impl Strategy<Value = Contents> {
    (any::<[bool; 5]>(), any::<u8>()).prop_map(|(flags, homes)| Contents {
        drops_route: flags[0],
        drops_workspace: flags[1],
        drops_services: flags[2],
        swaps_engines: flags[3],
        starts_cold: flags[4],
        homes,
    })
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let action = prop_oneof![
        4 => contents().prop_map(Action::Configure),
        1 => any::<u8>().prop_map(Action::Reload),
        3 => any::<u8>().prop_map(Action::List),
        1 => any::<u8>().prop_map(Action::Unlist),
        1 => Just(Action::Pause),
        6 => (any::<bool>(), any::<u8>()).prop_map(|(plain, kind)| Action::Arrive { plain, kind }),
        8 => (any::<u8>(), any::<u8>())
            .prop_map(|(request, outcome)| Action::Outcome { request, outcome }),
        3 => any::<u8>().prop_map(Action::Stall),
        3 => (any::<u8>(), any::<bool>())
            .prop_map(|(request, goes_on)| Action::EndStall { request, goes_on }),
        3 => (1..60u8).prop_map(Action::Wait),
    ];
    proptest::collection::vec(action, 1..120)
}

const KINDS: [RouteKind; 4] =
    [RouteKind::Safe, RouteKind::Unsafe, STREAM, RouteKind::Stream { resumable: false }];

const OUTCOMES: [AttemptOutcome; 11] = [
    AttemptOutcome::Denied { retry_after_ms: 30, shortage_ms: 0 },
    AttemptOutcome::Silent,
    AttemptOutcome::Expired,
    AttemptOutcome::Withdrawn,
    AttemptOutcome::Answered,
    AttemptOutcome::NotSent,
    AttemptOutcome::Full,
    AttemptOutcome::Misdirected,
    AttemptOutcome::Failed,
    AttemptOutcome::Lost,
    AttemptOutcome::VersionDeadlinePassed,
];

const OUTCOMES_AFTER_RESPONSE: [AttemptOutcome; 2] =
    [AttemptOutcome::Finished, AttemptOutcome::Cut];

/// Numbers of the outcomes of an attempt that is lost, and of one whose response has begun and is cut.
const LAST_LOST: u8 = 9;
const LAST_CUT: u8 = 1;

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waiting {
    /// For a step, since this time, in milliseconds.
    Step(u64),
    /// For the outcome of its attempt.
    Response,
    /// For the end of a response that has begun.
    End,
}

/// A request that has not ended.
#[derive(Clone, Debug)]
struct Request {
    kind: RouteKind,
    waiting: Waiting,
    /// The runner of the current attempt.
    runner: Option<InstanceId>,
    /// The silent runners that may go on, and whether their responses have begun.
    silent: Vec<(InstanceId, bool)>,
}

/// A gateway and the requests that have not ended.
struct Play {
    fixture: Fixture,
    requests: BTreeMap<u64, Request>,
    /// When the gateway last continued after a process pause.
    paused_at: u64,
}

impl Play {
    /// Passes an event to the gateway and checks that each step is for a request that waits for one.
    fn feed(&mut self, event: Event) -> Result<(), TestCaseError> {
        for effect in self.fixture.feed(event) {
            let Effect::Proceed(RequestKey(key), step) = effect else {
                continue;
            };
            let request = self.requests.get_mut(&key);
            let request = request.filter(|it| matches!(it.waiting, Waiting::Step(_)));
            let Some(request) = request else {
                return Err(TestCaseError::fail(format!("{key} waits for no step: {step:?}")));
            };
            if let NextStep::Send(target) = step {
                (request.waiting, request.runner) = (Waiting::Response, Some(target.id));
            } else {
                prop_assert!(request.silent.is_empty(), "{step:?} beside a silent runner");
                self.requests.remove(&key);
            }
        }
        Ok(())
    }

    /// Checks that no request has been without a step for too long. One whose runner is silent may wait for it.
    fn check_delays(&self) -> Result<(), TestCaseError> {
        for (key, request) in self.requests.iter().filter(|(_, it)| it.silent.is_empty()) {
            if let Waiting::Step(since) = request.waiting {
                let since = self.paused_at.max(since);
                let waited = self.fixture.now.saturating_sub(since);
                prop_assert!(waited <= MAX_STEP_DELAY_MS, "{key} has no step for {waited} ms");
            }
        }
        Ok(())
    }

    fn outcome(&mut self, key: u64, number: u8) -> Result<(), TestCaseError> {
        let now = self.fixture.now;
        let request = self.requests.get_mut(&key).expect("it has not ended");
        let possible = match request.waiting {
            Waiting::End => &OUTCOMES_AFTER_RESPONSE[..],
            _ => &OUTCOMES[..],
        };
        let outcome = possible[number as usize % possible.len()];
        request.waiting = match outcome {
            AttemptOutcome::Answered => Waiting::End,
            _ => Waiting::Step(now),
        };
        if outcome == AttemptOutcome::Answered {
            request.silent.clear();
        }
        if outcome == AttemptOutcome::Finished {
            self.requests.remove(&key);
        }
        self.feed(Event::Attempt(RequestKey(key), outcome))
    }

    /// The runner of a request falls silent.
    fn stall(&mut self, key: u64) -> Result<(), TestCaseError> {
        let now = self.fixture.now;
        let request = self.requests.get_mut(&key).expect("it has not ended");
        let Some(runner) = request.runner.clone().filter(|_| request.kind.is_repeatable()) else {
            return Ok(());
        };
        request.silent.push((runner, request.waiting == Waiting::End));
        request.waiting = Waiting::Step(now);
        self.feed(Event::Stalled(RequestKey(key)))
    }

    /// The first silent runner of a request goes on, or its attempt ends.
    fn end_stall(&mut self, key: u64, goes_on: bool) -> Result<(), TestCaseError> {
        let now = self.fixture.now;
        let request = self.requests.get_mut(&key).expect("it has not ended");
        let (runner, has_begun) = request.silent.remove(0);
        let event = match (goes_on, has_begun) {
            (true, _) => StalledEvent::Continued { is_other_sent: true },
            (false, true) => StalledEvent::Ended(AttemptOutcome::Cut),
            (false, false) => StalledEvent::Ended(AttemptOutcome::Lost),
        };
        if goes_on {
            request.silent.clear();
            (request.waiting, request.runner) = (Waiting::End, Some(runner.clone()));
        } else if matches!(request.waiting, Waiting::Step(_)) {
            request.waiting = Waiting::Step(now);
        }
        self.feed(Event::StalledAttempt(RequestKey(key), runner, event))
    }

    fn wait(&mut self, ticks: u64) -> Result<(), TestCaseError> {
        for _ in 0..ticks {
            self.fixture.now += TICK_MS;
            self.feed(Event::Tick)?;
            self.check_delays()?;
        }
        Ok(())
    }

    /// The requests for which `check` returns `true`.
    fn keys(&self, check: impl Fn(&Request) -> bool) -> Vec<u64> {
        self.requests.iter().filter(|(_, it)| check(it)).map(|(key, _)| *key).collect()
    }

    /// The requests that wait for a runner.
    fn running(&self) -> Vec<u64> {
        self.keys(|it| !matches!(it.waiting, Waiting::Step(_)))
    }

    /// The requests that have a silent runner.
    fn stalled(&self) -> Vec<u64> {
        self.keys(|it| !it.silent.is_empty())
    }

    fn act(&mut self, number: u64, action: Action) -> Result<(), TestCaseError> {
        let now = self.fixture.now;
        match action {
            // Every third one repeats an earlier version.
            Action::Configure(contents) => {
                let version = if number.is_multiple_of(3) { 1 } else { number + 1 };
                self.feed(contents.event(version))
            }
            Action::Reload(bits) => self.feed(Event::OptionsChanged(reloaded(bits))),
            Action::List(runner) => self.feed(Event::Listed(runner_record(runner))),
            Action::Unlist(runner) => self.feed(Event::Unlisted(runner_record(runner).id)),
            Action::Pause => {
                self.paused_at = now + HOLD_MS;
                self.feed(Event::Resumed)
            }
            Action::Arrive { plain, kind } => {
                let service = if plain { PLAIN_SERVICE } else { MODEL_SERVICE };
                let kind = KINDS[kind as usize % KINDS.len()];
                let waiting = Waiting::Step(now);
                let entry = Request { kind, waiting, runner: None, silent: Vec::new() };
                self.requests.insert(number, entry);
                self.feed(Event::Arrived(request(number, now, service, kind)))
            }
            Action::Outcome { request, outcome } => match pick(&self.running(), request) {
                Some(key) => self.outcome(key, outcome),
                None => Ok(()),
            },
            Action::Stall(request) => match pick(&self.running(), request) {
                Some(key) => self.stall(key),
                None => Ok(()),
            },
            Action::EndStall { request, goes_on } => match pick(&self.stalled(), request) {
                Some(key) => self.end_stall(key, goes_on),
                None => Ok(()),
            },
            Action::Wait(ticks) => self.wait(u64::from(ticks)),
        }
    }

    /// Ends all attempts without a whole response, also those that follow.
    fn end_attempts(&mut self) -> Result<(), TestCaseError> {
        loop {
            if let Some(key) = self.running().first().copied() {
                let has_begun = self.requests[&key].waiting == Waiting::End;
                self.outcome(key, if has_begun { LAST_CUT } else { LAST_LOST })?;
            } else if let Some(key) = self.stalled().first().copied() {
                self.end_stall(key, false)?;
            } else {
                return Ok(());
            }
        }
    }
}

/// Picks one of some requests.
fn pick(keys: &[u64], number: u8) -> Option<u64> {
    keys.get(number as usize % keys.len().max(1)).copied()
}

/// Options with other values in what a process reads again while it runs.
fn reloaded(bits: u8) -> GatewayOptions {
    let is_set = |bit: u8| bits & (1 << bit) != 0;
    let before = options();
    GatewayOptions {
        budget_window_ms: if is_set(0) { 100 } else { before.budget_window_ms },
        budget_ratio: if is_set(1) { 0.0 } else { before.budget_ratio },
        budget_allowance: if is_set(2) { 0.0 } else { before.budget_allowance },
        version_ms: if is_set(3) { 0 } else { before.version_ms },
        evacuate_ms: is_set(4).then_some(500),
        cold: is_set(5).then_some(ColdBounds { overrun: 1.0, slack: 0.0 }),
        ..before
    }
}

/// A runner of one of the two services in one of the two data halls.
fn runner_record(number: u8) -> RunnerRecord {
    let number = number % 8;
    let service = if number.is_multiple_of(2) { PLAIN_SERVICE } else { MODEL_SERVICE };
    let hall = if number < 4 { "a" } else { "b" };
    let record = record(&format!("r{number}"), service, u16::from(number) + 1);
    RunnerRecord { hall: hall.into(), ..record }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn no_configuration_leaves_a_request_without_a_next_step(actions in actions()) {
        let fixture = Fixture::new();
        let mut play = Play { fixture, requests: BTreeMap::new(), paused_at: 0 };
        for (number, action) in (1..).zip(actions) {
            play.act(number, action)?;
            play.check_delays()?;
        }
        // After the end of its attempts every request ends without another event.
        play.end_attempts()?;
        play.wait(DEADLINE_MS / TICK_MS)?;
        let left: Vec<u64> = play.requests.keys().copied().collect();
        prop_assert_eq!(left, play.running(), "these have no next step");
        prop_assert_eq!(play.fixture.gateway.load().1, 0, "positions without a request");
    }
}
