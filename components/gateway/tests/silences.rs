//! What becomes of a request whose runner is silent for a while.

mod support;

use errors::Code;
use fleet::Millis;
use gateway::*;
use support::*;

const KEY: RequestKey = RequestKey(1);
const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };
/// Longer than a request that may have run waits for another slot, in milliseconds.
const LONGER_THAN_ANY_WAIT_MS: u64 = 3000;

/// A gateway with these plain runners, and a request that is sent to the one that is returned.
fn sent_request(runners: &[&str], arrival: Arrival) -> (Fixture, fleet::InstanceId) {
    let mut fixture = Fixture::new();
    for (port, id) in (1..).zip(runners) {
        fixture.list(id, PLAIN_SERVICE, port);
    }
    let first = sent_to(fixture.arrive(arrival));
    (fixture, first)
}

fn request(kind: RouteKind) -> Arrival {
    arrival(KEY.0, PLAIN_SERVICE, kind)
}

fn stalled(fixture: &mut Fixture, runner: &fleet::InstanceId, event: StalledEvent) -> Vec<Effect> {
    fixture.feed(Event::StalledAttempt(KEY, runner.clone(), event))
}

/// The number of requests that the gateway counts at a runner.
fn in_flight(fixture: &Fixture, runner: &str) -> u32 {
    let runner = fixture.gateway.pool().runner(&runner.into()).expect("the runner is listed");
    runner.occupancy(Millis(fixture.now))
}

/// Lets time pass and returns the first step that the request got meanwhile.
fn step_within(fixture: &mut Fixture, span_ms: u64) -> Option<NextStep> {
    (0..span_ms / 50).find_map(|_| {
        fixture.now += 50;
        fixture.step(KEY.0, Event::Tick)
    })
}

/// The step of a request whose stalled attempt ends like this.
fn step_after_end(
    fixture: &mut Fixture,
    runner: &fleet::InstanceId,
    outcome: AttemptOutcome,
) -> Option<NextStep> {
    let effects = stalled(fixture, runner, StalledEvent::Ended(outcome));
    step_of(KEY.0, &effects).or_else(|| step_within(fixture, LONGER_THAN_ANY_WAIT_MS))
}

#[test]
fn a_silent_runner_is_kept_if_there_is_no_other() {
    for kind in [RouteKind::Safe, RESUMABLE] {
        let (mut fixture, first) = sent_request(&["r1"], request(kind));
        assert_eq!(fixture.step(KEY.0, Event::Stalled(KEY)), None);
        assert_eq!(step_within(&mut fixture, LONGER_THAN_ANY_WAIT_MS), None);
        assert_eq!(in_flight(&fixture, "r1"), 1);
        stalled(&mut fixture, &first, StalledEvent::Continued { is_other_sent: true });
        fixture.outcome(KEY.0, AttemptOutcome::Finished);
        assert_eq!(in_flight(&fixture, "r1"), 0);
        assert_eq!(fixture.gateway.load(), (0, 0));
    }
}

#[test]
fn a_silent_runner_is_kept_if_the_attempts_are_used_up() {
    let (mut fixture, _) =
        sent_request(&["r1", "r2"], Arrival { attempts: 1, ..request(RESUMABLE) });
    assert_eq!(fixture.step(KEY.0, Event::Stalled(KEY)), None);
    assert_eq!(step_within(&mut fixture, LONGER_THAN_ANY_WAIT_MS), None);
}

#[test]
fn a_silent_runner_is_kept_if_the_retry_budget_is_used_up() {
    let options = GatewayOptions { budget_ratio: 0.0, budget_allowance: 0.0, ..options() };
    let mut fixture = Fixture::with(options);
    fixture.list("r1", PLAIN_SERVICE, 1);
    fixture.list("r2", PLAIN_SERVICE, 2);
    sent_to(fixture.arrive(request(RouteKind::Safe)));
    assert_eq!(fixture.step(KEY.0, Event::Stalled(KEY)), None);
    assert_eq!(step_within(&mut fixture, LONGER_THAN_ANY_WAIT_MS), None);
}

#[test]
fn a_silent_runner_is_kept_if_the_others_fail() {
    let all = &["r1", "r2", "r3"][..];
    let cases = [
        (AttemptOutcome::Full, all),
        (AttemptOutcome::Lost, all),
        (AttemptOutcome::NotSent, &all[..2]),
    ];
    for (outcome, runners) in cases {
        let (mut fixture, first) = sent_request(runners, request(RESUMABLE));
        let second = sent_to(fixture.step(KEY.0, Event::Stalled(KEY)));
        assert_ne!(first, second);
        assert_eq!(fixture.outcome(KEY.0, outcome), None);
        assert_eq!(step_within(&mut fixture, LONGER_THAN_ANY_WAIT_MS), None, "{outcome:?}");
        assert_eq!(in_flight(&fixture, &first.0), 1);
        assert_eq!(in_flight(&fixture, &second.0), 0);
    }
}

#[test]
fn an_unreachable_runner_does_not_use_up_the_attempts_of_a_silent_request() {
    let (mut fixture, first) = sent_request(&["r1", "r2", "r3"], request(RESUMABLE));
    let second = sent_to(fixture.step(KEY.0, Event::Stalled(KEY)));
    let third = sent_to(fixture.outcome(KEY.0, AttemptOutcome::NotSent));
    assert!(third != first && third != second);
    assert_eq!(fixture.outcome(KEY.0, AttemptOutcome::Lost), None);
    assert_eq!(step_within(&mut fixture, LONGER_THAN_ANY_WAIT_MS), None);
    assert_eq!(in_flight(&fixture, &first.0), 1);
}

#[test]
fn a_withdrawn_attempt_that_was_not_sent_does_not_use_up_the_attempts() {
    for (is_other_sent, is_resumed) in [(false, true), (true, false)] {
        let (mut fixture, first) = sent_request(&["r1", "r2"], request(RESUMABLE));
        fixture.outcome(KEY.0, AttemptOutcome::Answered);
        let second = sent_to(fixture.step(KEY.0, Event::Stalled(KEY)));
        stalled(&mut fixture, &first, StalledEvent::Continued { is_other_sent });
        let step = fixture.outcome(KEY.0, AttemptOutcome::Cut);
        let resumed_at = match step {
            Some(NextStep::Send(target)) => Some(target.id),
            _ => None,
        };
        assert_eq!(resumed_at, is_resumed.then_some(second));
    }
}

#[test]
fn a_runner_that_goes_on_is_neither_paused_nor_suspected() {
    let (mut fixture, first) = sent_request(&["r1", "r2"], request(RESUMABLE));
    fixture.outcome(KEY.0, AttemptOutcome::Answered);
    let second = sent_to(fixture.step(KEY.0, Event::Stalled(KEY)));
    stalled(&mut fixture, &first, StalledEvent::Continued { is_other_sent: true });
    assert_eq!(in_flight(&fixture, &second.0), 0, "the second attempt is withdrawn");
    fixture.outcome(KEY.0, AttemptOutcome::Finished);
    for runner in ["r1", "r2"] {
        assert_eq!(in_flight(&fixture, runner), 0);
        let runner = fixture.gateway.pool().runner(&runner.into()).unwrap();
        assert!(!runner.is_paused(Millis(fixture.now)));
    }
    assert_eq!(fixture.gateway.crash_counts(), (0, 0));
}

#[test]
fn a_silent_runner_that_is_replaced_counts_as_failed() {
    let (mut fixture, first) = sent_request(&["r1", "r2"], request(RESUMABLE));
    fixture.outcome(KEY.0, AttemptOutcome::Answered);
    sent_to(fixture.step(KEY.0, Event::Stalled(KEY)));
    fixture.outcome(KEY.0, AttemptOutcome::Answered);
    assert_eq!(in_flight(&fixture, &first.0), 0);
    let runner = fixture.gateway.pool().runner(&first).unwrap();
    assert!(runner.is_paused(Millis(fixture.now)));
}

#[test]
fn a_request_ends_when_its_last_silent_runner_is_lost() {
    let (mut fixture, first) = sent_request(&["r1"], request(RESUMABLE));
    fixture.feed(Event::Stalled(KEY));
    step_within(&mut fixture, LONGER_THAN_ANY_WAIT_MS);
    let step = step_after_end(&mut fixture, &first, AttemptOutcome::Lost);
    assert_eq!(step, Some(NextStep::GiveUp(Code::ConnectionLost)));
}

/// A runner that refuses after a silence has not run the request, so its caller may come back.
#[test]
fn a_request_that_a_silent_runner_rejects_is_refused_as_not_run() {
    let (mut fixture, first) = sent_request(&["r1"], request(RouteKind::Safe));
    fixture.feed(Event::Stalled(KEY));
    step_within(&mut fixture, LONGER_THAN_ANY_WAIT_MS);
    let step = step_after_end(&mut fixture, &first, AttemptOutcome::Full);
    assert!(matches!(step, Some(NextStep::Refuse { .. })), "{step:?}");
}

#[test]
fn the_second_attempt_goes_on_if_the_silent_runner_is_lost() {
    let (mut fixture, first) = sent_request(&["r1", "r2"], request(RESUMABLE));
    sent_to(fixture.step(KEY.0, Event::Stalled(KEY)));
    let ended = stalled(&mut fixture, &first, StalledEvent::Ended(AttemptOutcome::Lost));
    assert_eq!(step_of(KEY.0, &ended), None);
    assert_eq!(in_flight(&fixture, &first.0), 0);
    fixture.outcome(KEY.0, AttemptOutcome::Answered);
    fixture.outcome(KEY.0, AttemptOutcome::Finished);
    assert_eq!(fixture.gateway.load(), (0, 0));
}

#[test]
fn a_request_that_may_not_be_repeated_is_not_sent_twice_for_a_silence() {
    for kind in [RouteKind::Unsafe, RouteKind::Stream { resumable: false }] {
        let (mut fixture, _) = sent_request(&["r1", "r2"], request(kind));
        assert_eq!(fixture.step(KEY.0, Event::Stalled(KEY)), None);
        assert_eq!(step_within(&mut fixture, LONGER_THAN_ANY_WAIT_MS), None);
    }
}

#[test]
fn a_disconnected_caller_frees_all_its_runners() {
    let (mut fixture, _) = sent_request(&["r1", "r2"], request(RESUMABLE));
    sent_to(fixture.step(KEY.0, Event::Stalled(KEY)));
    fixture.feed(Event::RequestEnded(KEY));
    assert_eq!((in_flight(&fixture, "r1"), in_flight(&fixture, "r2")), (0, 0));
    assert_eq!(fixture.gateway.load(), (0, 0));
}

#[test]
fn a_notice_after_a_silence_counts_for_the_runner_that_sent_it() {
    let (mut fixture, first) = sent_request(&["r1", "r2"], request(RESUMABLE));
    sent_to(fixture.step(KEY.0, Event::Stalled(KEY)));
    let notice = Notice { is_leaving: true, ..Notice::default() };
    let effects = stalled(&mut fixture, &first, StalledEvent::Notice(notice));
    assert_eq!(effects, [Effect::Notice(NoticeChange { runner: first, notice })]);
}
