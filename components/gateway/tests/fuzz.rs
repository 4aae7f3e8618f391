//! Runs the reducer with random events and compares it with a simple model of its guarantees.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use fleet::{Evacuation, EvacuationList, Hall, HomeRegions, IncarnationReport, InstanceId, Millis};
use gateway::*;
use proptest::prelude::*;
use support::random_actions::{actions, Action};
use support::*;

const KINDS: [RouteKind; 4] = [
    RouteKind::Safe,
    RouteKind::Unsafe,
    RouteKind::Stream { resumable: true },
    RouteKind::Stream { resumable: false },
];
const OUTCOMES: [AttemptOutcome; 12] = [
    AttemptOutcome::Denied { retry_after_ms: 30, shortage_ms: 0 },
    AttemptOutcome::Silent,
    AttemptOutcome::Withdrawn,
    AttemptOutcome::Answered,
    AttemptOutcome::Finished,
    AttemptOutcome::NotSent,
    AttemptOutcome::Full,
    AttemptOutcome::Misdirected,
    AttemptOutcome::Failed,
    AttemptOutcome::Lost,
    AttemptOutcome::Cut,
    AttemptOutcome::Malformed,
];

/// Time after which a load report does not count any more, in milliseconds.
const LOAD_REPORT_EXPIRES_MS: u64 = 5000;

/// Home regions that are applied in turn; the deployment has the first two regions.
const HOMES: [&[&str]; 4] = [&[], &["north"], &["south"], &["nowhere"]];

/// Outcomes of an attempt that was sent and has no response yet.
const OUTCOMES_OF_STALLED: [AttemptOutcome; 6] = [
    AttemptOutcome::Full,
    AttemptOutcome::Misdirected,
    AttemptOutcome::Failed,
    AttemptOutcome::VersionDeadlinePassed,
    AttemptOutcome::Lost,
    AttemptOutcome::Malformed,
];

const OUTCOMES_AFTER_RESPONSE: [AttemptOutcome; 3] =
    [AttemptOutcome::Finished, AttemptOutcome::Cut, AttemptOutcome::Malformed];

/// The model's state of a request.
#[derive(Clone, Debug)]
struct RequestModel {
    kind: RouteKind,
    sends: u32,
    /// How many of these attempts found no connection, so that nothing was sent.
    unreachable: u32,
    /// Whether a runner has been silent under it.
    was_stalled: bool,
    may_have_run: bool,
    current: Option<InstanceId>,
    /// Attempts whose runners are silent.
    stalled: Vec<StalledModel>,
    /// The incarnation of the current runner that the request was sent to.
    incarnation: u64,
    /// Whether the response of the current attempt has begun.
    answered: bool,
    ended: bool,
    arrived: u64,
}

/// The model's state of a stalled attempt.
#[derive(Clone, Debug)]
struct StalledModel {
    runner: InstanceId,
    incarnation: u64,
    answered: bool,
}

impl RequestModel {
    /// Moves the current attempt to the stalled ones, if the request may be repeated.
    fn stall(&mut self) {
        if !self.kind.is_repeatable() {
            return;
        }
        self.was_stalled = true;
        let runner = self.current.take().expect("it has a current attempt");
        let answered = std::mem::take(&mut self.answered);
        self.stalled.push(StalledModel { runner, incarnation: self.incarnation, answered });
    }

    /// Makes a stalled attempt the current one, and drops all others.
    fn continue_stalled(&mut self) -> InstanceId {
        let attempt = self.stalled.remove(0);
        self.stalled.clear();
        self.may_have_run = true;
        self.current = Some(attempt.runner.clone());
        self.answered = true;
        self.incarnation = attempt.incarnation;
        attempt.runner
    }
}

#[derive(Default)]
struct Model {
    usable: BTreeSet<InstanceId>,
    /// Draining runners, until they restart: a runner never returns to service in the same
    /// incarnation, whatever the list says.
    leaving: BTreeSet<InstanceId>,
    /// Number of restarts of each runner.
    restarts: BTreeMap<InstanceId, u64>,
    homes: HomeRegions,
    /// Data halls that are evacuated and to which nothing is sent any more.
    evacuated: Vec<Hall>,
    requests: BTreeMap<u64, RequestModel>,
}

impl Model {
    fn check_effects(&mut self, now: u64, effects: &[Effect]) -> Result<(), TestCaseError> {
        for effect in effects {
            let Effect::Proceed(key, step) = effect else {
                continue;
            };
            let request_model =
                self.requests.get_mut(&key.0).expect("each decision is about a known request");
            prop_assert!(!request_model.ended, "a request that had ended received {step:?}");
            match step {
                NextStep::Send(target) => {
                    prop_assert!(self.usable.contains(&target.id), "sent to {:?}", target.id);
                    let hall = hall(&target.id);
                    prop_assert!(!self.evacuated.contains(&hall.into()), "sent to {hall:?}");
                    let region = if hall == "a" { "north" } else { "south" };
                    let is_home = self.homes.allow(&region.into());
                    prop_assert!(is_home, "sent to {:?}, not in {:?}", target.id, self.homes);
                    prop_assert!(request_model.current.is_none(), "two attempts at once");
                    let is_unsafe_repeat =
                        request_model.may_have_run && !request_model.kind.is_repeatable();
                    prop_assert!(!is_unsafe_repeat, "sent again after it may have run");
                    request_model.sends += 1;
                    // Unreachable runners count only while its caller can be refused. A silent runner may
                    // refuse it after the next attempt was decided on.
                    let counts_as_run = request_model.may_have_run || request_model.was_stalled;
                    let uncounted = if counts_as_run { request_model.unreachable } else { 0 };
                    prop_assert!(
                        request_model.sends - uncounted <= 2,
                        "more attempts than the route allows"
                    );
                    request_model.current = Some(target.id.clone());
                    request_model.incarnation = self.restarts.get(&target.id).copied().unwrap_or(0);
                }
                NextStep::Refuse { .. } => {
                    prop_assert!(request_model.stalled.is_empty(), "refused while stalled");
                    prop_assert!(
                        !request_model.may_have_run,
                        "reported as not run although it may have run"
                    );
                    request_model.ended = true;
                }
                NextStep::GiveUp(_) => {
                    prop_assert!(request_model.stalled.is_empty(), "given up while stalled");
                    prop_assert!(
                        request_model.may_have_run,
                        "given up although it certainly did not run"
                    );
                    request_model.ended = true;
                }
            }
        }
        for request_model in self.requests.values() {
            let is_waiting = !request_model.ended
                && request_model.current.is_none()
                && request_model.stalled.is_empty();
            let limit = if request_model.sends == 0 { 110 } else { 6000 };
            prop_assert!(
                !is_waiting || now - request_model.arrived <= limit,
                "left waiting: {request_model:?}"
            );
        }
        Ok(())
    }
}

impl Model {
    /// The list entry of a runner in its current incarnation.
    fn listed(&self, runner: u8) -> RunnerRecord {
        let restarts = self.restarts.get(&id(runner)).copied().unwrap_or(0);
        let incarnation = IncarnationReport { born: Some(restarts), sequence: 0 };
        RunnerRecord { incarnation, ..listed(runner) }
    }

    /// Selects a request in progress that fits.
    fn pick(
        &mut self,
        number: u8,
        is_fit: impl Fn(&RequestModel) -> bool,
    ) -> Option<(RequestKey, &mut RequestModel)> {
        let fit = self.requests.iter_mut().filter(|(_, it)| !it.ended && is_fit(it));
        let mut fit: Vec<_> = fit.map(|(key, it)| (RequestKey(*key), it)).collect();
        let index = number as usize % fit.len().max(1);
        (index < fit.len()).then(|| fit.swap_remove(index))
    }

    /// Ends all requests and checks that no runner counts any afterwards.
    fn check_balance(&self, fixture: &mut Fixture) -> Result<(), TestCaseError> {
        for key in self.requests.keys() {
            fixture.feed(Event::RequestEnded(RequestKey(*key)));
        }
        fixture.now += LOAD_REPORT_EXPIRES_MS;
        prop_assert_eq!(fixture.gateway.load(), (0, 0));
        for runner in fixture.gateway.pool().of_service(&service(PLAIN_SERVICE)) {
            prop_assert_eq!(runner.occupancy(Millis(fixture.now)), 0, "at {:?}", runner.record.id);
        }
        Ok(())
    }

    /// Checks that a request may still be sent to its selected runner exactly if that runner could
    /// be selected now.
    fn check_may_send(&self, fixture: &Fixture) -> Result<(), TestCaseError> {
        for (key, request_model) in self.requests.iter().filter(|(_, it)| !it.ended) {
            let Some(id) = &request_model.current else {
                continue;
            };
            let region = if hall(id) == "a" { "north" } else { "south" };
            let is_open = self.usable.contains(id) && !self.evacuated.contains(&hall(id).into());
            let is_its_incarnation =
                self.restarts.get(id).copied().unwrap_or(0) == request_model.incarnation;
            let is_fit = is_open && is_its_incarnation && self.homes.allow(&region.into());
            let may_send = fixture.gateway.may_send(Millis(fixture.now), RequestKey(*key));
            prop_assert_eq!(may_send, is_fit, "to {:?}, homes {:?}", id, self.homes);
        }
        Ok(())
    }
}

fn id(number: u8) -> InstanceId {
    InstanceId(format!("r{}", number % 6))
}

/// The data hall of a runner; the runners alternate between two data halls.
fn hall(id: &InstanceId) -> &'static str {
    if id.0.ends_with(['0', '2', '4']) {
        "a"
    } else {
        "b"
    }
}

fn listed(number: u8) -> RunnerRecord {
    let id = id(number);
    let record = record(&id.0, PLAIN_SERVICE, u16::from(number % 6) + 1);
    RunnerRecord { hall: hall(&id).into(), ..record }
}

fn run_actions(actions: Vec<Action>) -> Result<(), TestCaseError> {
    let mut fixture = Fixture::new();
    let mut model = Model::default();
    for (number, action) in (1..).zip(actions) {
        let effects = match action {
            Action::List(runner) => {
                if !model.leaving.contains(&id(runner)) {
                    model.usable.insert(id(runner));
                }
                fixture.feed(Event::Listed(model.listed(runner)))
            }
            Action::Restart(runner) => {
                *model.restarts.entry(id(runner)).or_default() += 1;
                model.leaving.remove(&id(runner));
                model.usable.insert(id(runner));
                fixture.feed(Event::Listed(model.listed(runner)))
            }
            Action::Drain(runner) => {
                let state = RunnerState::Draining;
                let record = RunnerRecord { state, ..model.listed(runner) };
                model.usable.remove(&id(runner));
                model.leaving.insert(id(runner));
                fixture.feed(Event::Listed(record))
            }
            Action::Unlist(runner) => {
                model.usable.remove(&id(runner));
                fixture.feed(Event::Unlisted(id(runner)))
            }
            Action::Load { runner, running, version, busy } => {
                let mut load = load(u64::from(version), u32::from(running));
                load.busy = busy;
                load.life = model.listed(runner).incarnation;
                let address = ([127, 0, 0, 1], u16::from(runner % 6) + 1).into();
                fixture.feed(Event::Load(address, load))
            }
            Action::Name(version) => {
                let version = u64::from(version);
                fixture.feed(named(version, Some(0)))
            }
            Action::Rehome(homes) => {
                let regions = HOMES[homes as usize % HOMES.len()];
                model.homes = HomeRegions::only(regions.iter().map(|it| (*it).into()));
                fixture.feed(bound(number + 1, &model.homes))
            }
            Action::Evacuate(bits) => {
                let halls = [(1, "a"), (2, "b")].into_iter().filter(|(bit, _)| bits & bit != 0);
                model.evacuated = halls.map(|(_, hall)| hall.into()).collect();
                let evacuated = model.evacuated.iter().cloned();
                let evacuated = evacuated.map(|hall| Evacuation { hall, age_ms: None }).collect();
                fixture.feed(Event::Evacuations(EvacuationList { place: number.into(), evacuated }))
            }
            Action::Arrive(kind) => {
                let kind = KINDS[kind as usize % KINDS.len()];
                let request_model = RequestModel {
                    kind,
                    sends: 0,
                    unreachable: 0,
                    was_stalled: false,
                    may_have_run: false,
                    current: None,
                    stalled: Vec::new(),
                    incarnation: 0,
                    answered: false,
                    ended: false,
                    arrived: fixture.now,
                };
                model.requests.insert(number, request_model);
                fixture.feed(Event::Arrived(arrival(number, PLAIN_SERVICE, kind)))
            }
            Action::Outcome { request, outcome } => {
                let open: Vec<u64> = model
                    .requests
                    .iter()
                    .filter(|(_, it)| !it.ended && it.current.is_some())
                    .map(|(key, _)| *key)
                    .collect();
                let Some(key) = open.get(request as usize % open.len().max(1)).copied() else {
                    continue;
                };
                let request_model = model.requests.get_mut(&key).expect("it was just found");
                // A response that has begun can only finish or be cut.
                let possible = if request_model.answered {
                    &OUTCOMES_AFTER_RESPONSE[..]
                } else {
                    &OUTCOMES[..]
                };
                let outcome = possible[outcome as usize % possible.len()];
                request_model.answered = outcome == AttemptOutcome::Answered;
                let unsent = [AttemptOutcome::Silent, AttemptOutcome::Withdrawn];
                if matches!(outcome, AttemptOutcome::Denied { .. }) || unsent.contains(&outcome) {
                    request_model.sends -= 1;
                }
                request_model.unreachable += u32::from(outcome == AttemptOutcome::NotSent);
                request_model.may_have_run |= !outcome.is_not_run();
                if outcome != AttemptOutcome::Answered {
                    request_model.current = None;
                }
                if outcome == AttemptOutcome::Answered {
                    request_model.stalled.clear();
                }
                request_model.ended |= outcome == AttemptOutcome::Finished;
                request_model.arrived = fixture.now;
                fixture.feed(Event::Attempt(RequestKey(key), outcome))
            }
            Action::Stall(request) => {
                let Some((key, request_model)) = model.pick(request, |it| it.current.is_some())
                else {
                    continue;
                };
                request_model.stall();
                fixture.feed(Event::Stalled(key))
            }
            Action::Continue(request) => {
                let Some((key, request_model)) = model.pick(request, |it| !it.stalled.is_empty())
                else {
                    continue;
                };
                let runner = request_model.continue_stalled();
                fixture.feed(Event::StalledAttempt(
                    key,
                    runner,
                    StalledEvent::Continued { is_other_sent: true },
                ))
            }
            Action::EndStalled { request, outcome } => {
                let Some((key, request_model)) = model.pick(request, |it| !it.stalled.is_empty())
                else {
                    continue;
                };
                let StalledModel { runner, answered, .. } = request_model.stalled.remove(0);
                let outcome = match answered {
                    true => AttemptOutcome::Cut,
                    false => OUTCOMES_OF_STALLED[outcome as usize % OUTCOMES_OF_STALLED.len()],
                };
                request_model.may_have_run |= !outcome.is_not_run();
                request_model.arrived = fixture.now;
                fixture.feed(Event::StalledAttempt(key, runner, StalledEvent::Ended(outcome)))
            }
            Action::Leave(request) => {
                let keys: Vec<u64> = model.requests.keys().copied().collect();
                let Some(key) = keys.get(request as usize % keys.len().max(1)) else {
                    continue;
                };
                if let Some(request_model) = model.requests.get_mut(key) {
                    request_model.ended = true;
                }
                fixture.feed(Event::RequestEnded(RequestKey(*key)))
            }
            Action::Wait(span) => {
                let mut effects = Vec::new();
                for _ in 0..span / 10 + 1 {
                    fixture.now += 10;
                    effects.extend(fixture.feed(Event::Tick));
                }
                effects
            }
        };
        model.check_effects(fixture.now, &effects)?;
        model.check_may_send(&fixture)?;
    }
    model.check_balance(&mut fixture)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn guarantees_hold_under_random_events(actions in actions()) {
        run_actions(actions)?;
    }
}
