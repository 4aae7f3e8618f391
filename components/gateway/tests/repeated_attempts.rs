//! Callers that were refused and come back while capacity is short.

mod support;

use errors::Code;
use fleet::HomeRegions;
use gateway::*;
use support::*;

const STREAM: RouteKind = RouteKind::Stream { resumable: true };

/// A gateway that has received first attempts with deadlines of 5 to 6 s and served each at once.
fn fixture() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    for key in 0..60 {
        fixture.arrive(request_with_deadline(key, 5000 + key * 371 % 1000));
        fixture.feed(Event::RequestEnded(RequestKey(key)));
    }
    fixture
}

fn request_with_deadline(key: u64, deadline_ms: u64) -> Arrival {
    Arrival { deadline_ms: Some(deadline_ms), ..arrival(key, MODEL_SERVICE, STREAM) }
}

fn left_ms_of(fixture: &mut Fixture, key: u64, deadline_ms: u64) -> u64 {
    target_of(fixture.arrive(request_with_deadline(key, deadline_ms))).left_ms
}

#[test]
fn a_later_try_is_detected_by_the_remaining_time_of_its_caller() {
    let mut fixture = fixture();
    assert_eq!(left_ms_of(&mut fixture, 100, 3700), 0, "its caller came back after two seconds");
    assert_eq!(
        left_ms_of(&mut fixture, 101, 5000),
        400,
        "a first try is not treated as a later one"
    );
}

#[test]
fn no_request_is_a_later_try_on_a_route_with_few_requests() {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    assert_eq!(left_ms_of(&mut fixture, 1, 6000), 400);
    assert_eq!(left_ms_of(&mut fixture, 2, 600), 400);
}

#[test]
fn no_request_is_a_later_try_on_a_route_whose_deadlines_differ_widely() {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    for key in 0..200 {
        fixture.arrive(request_with_deadline(key, 1000 + key * 371 % 5000));
        fixture.feed(Event::RequestEnded(RequestKey(key)));
    }
    assert_eq!(left_ms_of(&mut fixture, 300, 1500), 400);
}

#[test]
fn callers_whose_deadlines_become_shorter_are_first_tries_again_after_a_while() {
    let mut fixture = fixture();
    let later = (100..400).filter(|key| {
        let left = left_ms_of(&mut fixture, *key, 3000);
        fixture.feed(Event::RequestEnded(RequestKey(*key)));
        left == 0
    });
    assert!(later.count() < 150, "the estimate has adapted to half of the usual deadline");
    assert_eq!(left_ms_of(&mut fixture, 500, 3000), 400);
}

#[test]
fn a_later_try_that_finds_no_slot_is_refused_before_its_waiting_time_ends() {
    let mut fixture = fixture();
    (2..9).for_each(|port| drop(fixture.list(&format!("r{port}"), MODEL_SERVICE, port)));
    let mut step = fixture.arrive(request_with_deadline(100, 3700));
    let mut questions = 0;
    while let Some(NextStep::Send(_)) = step {
        questions += 1;
        fixture.now += 2;
        step = fixture.outcome(100, AttemptOutcome::Denied { retry_after_ms: 5, shortage_ms: 0 });
    }
    let Some(NextStep::Refuse { code, .. }) = step else {
        panic!("expected a refusal, got {step:?}");
    };
    assert_eq!((code, questions), (Code::LaterTry, 4));
}

/// A gateway of a large fleet refuses few callers itself, and takes each refusal for the start of a
/// shortage.
#[test]
fn the_retry_delay_follows_the_duration_of_the_shortage_reported_by_sidecars() {
    for (short_ms, expected_delay) in [(0, 250..=500), (1000, 1000..=1500), (60_000, 2000..=2000)] {
        let mut fixture = fixture();
        fixture.arrive(request_with_deadline(100, 5500));
        fixture.outcome(100, AttemptOutcome::Denied { retry_after_ms: 5, shortage_ms: short_ms });
        fixture.now += 350;
        let refused = fixture.feed(Event::Tick);
        let Some(Effect::Proceed(_, NextStep::Refuse { retry_after_ms, .. })) = refused.first()
        else {
            panic!("expected a refusal, got {refused:?}");
        };
        assert!(expected_delay.contains(retry_after_ms), "{retry_after_ms} after {short_ms}");
    }
}

#[test]
fn a_later_try_that_may_have_run_is_retried_like_any_other() {
    let mut fixture = fixture();
    fixture.list("r2", MODEL_SERVICE, 2);
    fixture.arrive(request_with_deadline(100, 3700));
    fixture.now += 900;
    let target = target_of(fixture.outcome(100, AttemptOutcome::Lost));
    assert_eq!((target.rank, target.left_ms), (0, 1));
}

#[test]
fn a_resumed_stream_of_a_later_try_does_not_yield_to_first_tries() {
    let mut fixture = fixture();
    fixture.list("r2", MODEL_SERVICE, 2);
    let lost_at = sent_to(fixture.arrive(request_with_deadline(100, 3700)));
    fixture.arrive(request_with_deadline(101, 5500));
    for _ in 0..2 {
        fixture.outcome(101, AttemptOutcome::Denied { retry_after_ms: 60, shortage_ms: 0 });
    }
    assert_eq!(fixture.outcome(100, AttemptOutcome::Lost), None, "both runners are paused");
    fixture.feed(Event::Unlisted(lost_at));
    fixture.now += 65;
    let sent: Vec<u64> = fixture
        .feed(Event::Tick)
        .iter()
        .filter_map(|it| match it {
            Effect::Proceed(key, NextStep::Send(_)) => Some(key.0),
            _ => None,
        })
        .collect();
    assert_eq!(sent, [100, 101]);
}

#[test]
fn a_later_try_whose_homes_have_no_more_runners_is_refused_for_that_reason() {
    let mut fixture = fixture();
    let south = RunnerRecord { hall: "b".into(), ..record("s", MODEL_SERVICE, 9) };
    fixture.feed(Event::Listed(south));
    fixture.feed(bound(2, &HomeRegions::only(["north".into()])));
    fixture.arrive(request_with_deadline(100, 3700));
    for _ in 0..3 {
        fixture.outcome(100, AttemptOutcome::Denied { retry_after_ms: 5, shortage_ms: 0 });
        fixture.pass(6);
    }
    fixture.feed(Event::Unlisted("r1".into()));
    let step = fixture.outcome(100, AttemptOutcome::Denied { retry_after_ms: 5, shortage_ms: 0 });
    let Some(NextStep::Refuse { code, .. }) = step else {
        panic!("expected a refusal, got {step:?}");
    };
    assert_eq!(code, Code::NoHome);
}

/// Guards against an estimate that one caller with a deadline of days raises so much that every
/// later first attempt looks like a repeated attempt.
#[test]
fn one_long_deadline_does_not_distort_the_estimate_of_a_new_gateway() {
    let mut fixture = Fixture::new();
    fixture.arrive(request_with_deadline(1, u64::MAX));
    fixture.pass(100);
    fixture.list("r1", MODEL_SERVICE, 1);
    for key in 100..140 {
        assert_eq!(left_ms_of(&mut fixture, key, 5000 + key * 371 % 1000), 400, "{key}");
        fixture.feed(Event::RequestEnded(RequestKey(key)));
    }
    assert_eq!(left_ms_of(&mut fixture, 200, 3700), 0);
}

#[test]
fn a_deadline_of_zero_does_not_disable_the_detection_permanently() {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    for key in 0..1000 {
        let deadline_ms = if key == 0 { 0 } else { 5000 + key * 371 % 1000 };
        fixture.arrive(request_with_deadline(key, deadline_ms));
        fixture.feed(Event::RequestEnded(RequestKey(key)));
    }
    assert_eq!(left_ms_of(&mut fixture, 2000, 3700), 0);
}

/// Sidecars keep one slot in 21 for repeated attempts: if one caller in seven counted as a repeated
/// attempt, far fewer of them would be served.
#[test]
fn no_request_is_a_later_try_if_one_caller_in_seven_has_a_short_deadline() {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    for key in 0..300 {
        let short = if key % 7 == 0 { 2 } else { 1 };
        fixture.arrive(request_with_deadline(key, (5000 + key * 371 % 1000) / short));
        fixture.feed(Event::RequestEnded(RequestKey(key)));
    }
    assert_eq!(left_ms_of(&mut fixture, 400, 2700), 400);
}
