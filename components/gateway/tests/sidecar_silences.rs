//! Pauses of runners whose sidecars do not answer reservation queries.

mod support;

use fleet::Millis;
use gateway::*;
use support::*;

const STREAM: RouteKind = RouteKind::Stream { resumable: true };
/// How long a query waits for an answer, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 45;
const DENIED: AttemptOutcome = AttemptOutcome::Denied { retry_after_ms: 1000, shortage_ms: 0 };

/// A gateway with one model runner.
fn fixture() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    fixture
}

/// A load report of the runner.
fn report() -> Event {
    Event::Load(record("r1", MODEL_SERVICE, 1).address, load(1, 0))
}

/// An answer of the sidecar to a query.
fn answer() -> Event {
    Event::LimitReported(record("r1", MODEL_SERVICE, 1).address, None)
}

fn ask(fixture: &mut Fixture, key: u64) {
    sent_to(fixture.arrive(arrival(key, MODEL_SERVICE, STREAM)));
}

/// Sends a query that gets no answer.
fn ask_in_vain(fixture: &mut Fixture, key: u64) {
    ask(fixture, key);
    fixture.now += ANSWER_TIMEOUT_MS;
    assert_eq!(fixture.outcome(key, AttemptOutcome::Silent), None);
}

fn is_paused(fixture: &Fixture) -> bool {
    let runner = fixture.gateway.pool().runner(&"r1".into()).unwrap();
    runner.is_paused(Millis(fixture.now))
}

#[test]
fn a_waiting_request_is_sent_when_the_sidecar_is_heard_again() {
    let mut fixture = fixture();
    ask_in_vain(&mut fixture, 1);
    fixture.now += 15;
    sent_to(fixture.step(1, report()));
}

#[test]
fn a_waiting_request_is_sent_although_several_queries_were_silent() {
    let mut fixture = fixture();
    let keys = 1..=4;
    keys.clone().for_each(|key| ask(&mut fixture, key));
    fixture.now += ANSWER_TIMEOUT_MS;
    for key in keys.clone() {
        assert_eq!(fixture.outcome(key, AttemptOutcome::Silent), None);
    }
    fixture.now += 15;
    let effects = fixture.feed(report());
    keys.for_each(|key| drop(sent_to(step_of(key, &effects))));
}

#[test]
fn a_query_from_before_the_sidecar_was_heard_again_pauses_no_runner() {
    let mut fixture = fixture();
    ask(&mut fixture, 1);
    fixture.now += 30;
    ask(&mut fixture, 2);
    fixture.now += 15;
    assert_eq!(fixture.outcome(1, AttemptOutcome::Silent), None);
    fixture.now += 10;
    sent_to(fixture.step(1, report()));
    fixture.now += 20;
    sent_to(fixture.outcome(2, AttemptOutcome::Silent));
    assert!(!is_paused(&fixture));
}

#[test]
fn a_sidecar_that_reports_but_never_answers_is_paused_longer_each_time() {
    let mut fixture = fixture();
    ask_in_vain(&mut fixture, 1);
    fixture.feed(report());
    fixture.feed(Event::RequestEnded(RequestKey(1)));
    for (key, pause_ms) in [(2, 600), (3, 1200), (4, 2400), (5, 4000), (6, 4000)] {
        ask_in_vain(&mut fixture, key);
        fixture.feed(Event::RequestEnded(RequestKey(key)));
        fixture.feed(report());
        fixture.now += pause_ms - 1;
        fixture.feed(report());
        assert!(is_paused(&fixture), "the pause after query {key}");
        fixture.now += 1;
        assert!(!is_paused(&fixture), "the pause after query {key}");
    }
}

#[test]
fn a_failed_runner_stays_paused_when_its_sidecar_is_heard() {
    for outcome in [AttemptOutcome::NotSent, AttemptOutcome::Lost] {
        let mut fixture = fixture();
        ask(&mut fixture, 1);
        fixture.outcome(1, outcome);
        fixture.now += 10;
        fixture.feed(report());
        assert!(is_paused(&fixture), "{outcome:?}");
    }
}

#[test]
fn silences_between_answered_queries_do_not_add_up() {
    for outcome in [AttemptOutcome::Answered, DENIED] {
        let mut fixture = fixture();
        for key in 1..=5 {
            ask_in_vain(&mut fixture, key);
            fixture.feed(Event::RequestEnded(RequestKey(key)));
            fixture.now += 300;
            assert!(!is_paused(&fixture), "the pause after query {key}, {outcome:?}");
            ask(&mut fixture, 100 + key);
            fixture.feed(answer());
            fixture.outcome(100 + key, outcome);
            fixture.feed(Event::RequestEnded(RequestKey(100 + key)));
            fixture.now += 1000;
        }
    }
}

#[test]
fn a_query_from_before_an_answer_pauses_no_runner() {
    let mut fixture = fixture();
    ask(&mut fixture, 1);
    fixture.now += 20;
    fixture.feed(answer());
    fixture.now += 25;
    fixture.outcome(1, AttemptOutcome::Silent);
    assert!(!is_paused(&fixture));
}

#[test]
fn the_first_message_after_a_long_silence_ends_its_pause() {
    let mut fixture = fixture();
    for key in 1..=3 {
        ask_in_vain(&mut fixture, key);
        fixture.feed(Event::RequestEnded(RequestKey(key)));
        fixture.now += 300 << (key - 1);
    }
    ask_in_vain(&mut fixture, 4);
    fixture.now += 10;
    sent_to(fixture.step(4, report()));
}

#[test]
fn queries_of_one_silence_double_no_pause() {
    let mut fixture = fixture();
    ask_in_vain(&mut fixture, 1);
    fixture.feed(report());
    fixture.feed(Event::RequestEnded(RequestKey(1)));
    let keys = 2..=5;
    keys.clone().for_each(|key| ask(&mut fixture, key));
    fixture.now += ANSWER_TIMEOUT_MS;
    keys.for_each(|key| drop(fixture.outcome(key, AttemptOutcome::Silent)));
    fixture.now += 600;
    assert!(!is_paused(&fixture));
}
