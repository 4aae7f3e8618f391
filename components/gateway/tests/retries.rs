//! When a request is retried, and the result if it is not.

mod support;

use errors::Code;
use fleet::Millis;
use gateway::*;
use support::*;

fn two_runners(service: &str) -> Fixture {
    let mut fixture = Fixture::new();
    fixture.list("r1", service, 1);
    fixture.list("r2", service, 2);
    fixture
}

#[test]
fn an_unsafe_request_that_may_have_run_is_not_retried() {
    let mut fixture = two_runners(PLAIN_SERVICE);
    sent_to(fixture.arrive(arrival(1, PLAIN_SERVICE, RouteKind::Unsafe)));
    let step = fixture.outcome(1, AttemptOutcome::Lost);
    assert_eq!(step, Some(NextStep::GiveUp(Code::ConnectionLost)));
}

#[test]
fn a_rejected_unsafe_request_is_sent_to_another_runner() {
    let mut fixture = two_runners(PLAIN_SERVICE);
    let first = sent_to(fixture.arrive(arrival(1, PLAIN_SERVICE, RouteKind::Unsafe)));
    let second = sent_to(fixture.outcome(1, AttemptOutcome::Full));
    assert_ne!(first, second);
    let step = fixture.outcome(1, AttemptOutcome::Full);
    assert!(matches!(step, Some(NextStep::Refuse { code: Code::Overloaded, .. })), "{step:?}");
}

#[test]
fn a_request_that_may_have_run_is_never_reported_as_not_run() {
    let mut fixture = two_runners(PLAIN_SERVICE);
    sent_to(fixture.arrive(arrival(1, PLAIN_SERVICE, RouteKind::Safe)));
    sent_to(fixture.outcome(1, AttemptOutcome::Lost));
    let step = fixture.outcome(1, AttemptOutcome::NotSent);
    assert!(matches!(step, Some(NextStep::GiveUp(_))), "{step:?}");
}

#[test]
fn a_cut_stream_is_resumed_at_another_runner() {
    let mut fixture = two_runners(MODEL_SERVICE);
    let stream = arrival(1, MODEL_SERVICE, RouteKind::Stream { resumable: true });
    let first = sent_to(fixture.arrive(stream));
    fixture.outcome(1, AttemptOutcome::Answered);
    let second = sent_to(fixture.outcome(1, AttemptOutcome::Cut));
    assert_ne!(first, second);
}

#[test]
fn a_malformed_stream_is_resumed_elsewhere_and_its_runner_is_passed_over() {
    let mut fixture = two_runners(MODEL_SERVICE);
    let stream = |key| arrival(key, MODEL_SERVICE, RouteKind::Stream { resumable: true });
    let first = sent_to(fixture.arrive(stream(1)));
    fixture.outcome(1, AttemptOutcome::Answered);
    let second = sent_to(fixture.outcome(1, AttemptOutcome::Malformed));
    assert_ne!(first, second);
    assert_eq!(sent_to(fixture.arrive(stream(2))), second);
}

#[test]
fn an_unsafe_request_with_a_malformed_answer_is_not_retried() {
    let mut fixture = two_runners(PLAIN_SERVICE);
    sent_to(fixture.arrive(arrival(1, PLAIN_SERVICE, RouteKind::Unsafe)));
    let step = fixture.outcome(1, AttemptOutcome::Malformed);
    assert_eq!(step, Some(NextStep::GiveUp(Code::MalformedAnswer)));
}

#[test]
fn a_stream_that_cannot_be_resumed_ends_when_it_is_cut() {
    let mut fixture = two_runners(MODEL_SERVICE);
    let stream = arrival(1, MODEL_SERVICE, RouteKind::Stream { resumable: false });
    sent_to(fixture.arrive(stream));
    fixture.outcome(1, AttemptOutcome::Answered);
    assert_eq!(fixture.outcome(1, AttemptOutcome::Cut), Some(NextStep::GiveUp(Code::CutShort)));
}

#[test]
fn a_request_that_finds_no_slot_is_refused_within_a_quarter_of_its_target_latency() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.arrive(arrival(1, PLAIN_SERVICE, RouteKind::Safe)), None);
    fixture.now += 100;
    let step = fixture.step(1, Event::Tick);
    let Some(NextStep::Refuse { retry_after_ms, .. }) = step else {
        panic!("expected a refusal, got {step:?}");
    };
    assert!(retry_after_ms > 0, "the caller is told when to come back");
}

#[test]
fn retries_stay_within_the_budget_of_their_window() {
    let mut budget =
        RetryBudget::new(BudgetLimits { window_ms: 10_000, ratio: 0.5, allowance: 2.0 });
    for at in 0..10 {
        budget.count_request(Millis(1000 + at));
    }
    let taken = (0..20).filter(|at| budget.take_retry(Millis(1100 + at))).count();
    assert_eq!(taken, 7);
    let later = (0..20).filter(|at| budget.take_retry(Millis(13_000 + at))).count();
    assert_eq!(later, 2, "a new window starts with the allowance alone");
}

#[test]
fn a_failed_connection_costs_no_retry() {
    let mut fixture = Fixture::new();
    for port in 1..=40 {
        fixture.list(&format!("r{port}"), PLAIN_SERVICE, port);
    }
    for key in 1..=20 {
        sent_to(fixture.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Unsafe)));
        sent_to(fixture.outcome(key, AttemptOutcome::NotSent));
    }
}

/// Guards against streams cut by a runner that has just left: nothing was sent to it, but it counted as the last attempt.
#[test]
fn a_stream_whose_next_runner_is_unreachable_is_resumed_at_a_third_one() {
    let mut fixture = two_runners(MODEL_SERVICE);
    fixture.list("r3", MODEL_SERVICE, 3);
    let stream = arrival(1, MODEL_SERVICE, RouteKind::Stream { resumable: true });
    let first = sent_to(fixture.arrive(stream));
    fixture.outcome(1, AttemptOutcome::Answered);
    let second = sent_to(fixture.outcome(1, AttemptOutcome::Cut));
    let third = sent_to(fixture.outcome(1, AttemptOutcome::NotSent));
    assert!(third != first && third != second);
    let step = fixture.outcome(1, AttemptOutcome::Cut);
    assert_eq!(step, Some(NextStep::GiveUp(Code::CutShort)), "two runners received it");
}

#[test]
fn the_slot_of_a_disconnected_caller_is_free_again() {
    let mut fixture = Fixture::new();
    fixture.list("r1", PLAIN_SERVICE, 1);
    for key in 1..=4 {
        sent_to(fixture.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe)));
    }
    assert_eq!(fixture.arrive(arrival(5, PLAIN_SERVICE, RouteKind::Safe)), None);
    let step = fixture.step(5, Event::RequestEnded(RequestKey(1)));
    assert_eq!(sent_to(step), "r1".into());
}

/// Guards against applying the rule for requests that waited at a sidecar to requests whose runner
/// was unreachable: these were refused although another runner was free.
#[test]
fn a_request_whose_runner_is_unreachable_is_sent_to_another_after_its_wait() {
    for service in [PLAIN_SERVICE, MODEL_SERVICE] {
        let mut fixture = Fixture::new();
        fixture.list("r1", service, 1);
        fixture.list("r2", service, 2);
        let kind = RouteKind::Stream { resumable: true };
        let first = sent_to(fixture.arrive(arrival(1, service, kind)));
        fixture.now += 260;
        let second = sent_to(fixture.outcome(1, AttemptOutcome::NotSent));
        assert_ne!(first, second, "{service}");
    }
}

#[test]
fn a_request_that_waited_at_a_sidecar_queries_no_other_after_its_wait() {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    fixture.list("r2", MODEL_SERVICE, 2);
    let kind = RouteKind::Stream { resumable: true };
    sent_to(fixture.arrive(arrival(1, MODEL_SERVICE, kind)));
    fixture.now += 120;
    let step = fixture.outcome(1, AttemptOutcome::Denied { retry_after_ms: 60, shortage_ms: 0 });
    assert!(matches!(step, Some(NextStep::Refuse { .. })), "{step:?}");
}

/// Lets a request wait until it is refused, and returns the retry delay for its caller.
fn retry_delay_of(fixture: &mut Fixture, key: u64) -> u64 {
    assert_eq!(
        fixture.arrive(arrival(key, MODEL_SERVICE, RouteKind::Stream { resumable: true })),
        None
    );
    fixture.now += 200;
    match fixture.step(key, Event::Tick) {
        Some(NextStep::Refuse { retry_after_ms, .. }) => retry_after_ms,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// After a loss of power, callers were told to come back while every runner was still empty, and
/// were then refused for good.
#[test]
fn the_retry_delay_lasts_until_a_runner_serves_again() {
    let mut fixture = two_runners(MODEL_SERVICE);
    for (port, serves_in_ms) in [(1, None), (2, Some(1600))] {
        let empty = RunnerLoad { weights: None, serves_in_ms, ..load(1, 0) };
        fixture.feed(Event::Load(([127, 0, 0, 1], port).into(), empty));
    }
    // No runner can serve it before its waiting time is over, so it is refused at once.
    let kind = RouteKind::Stream { resumable: true };
    match fixture.arrive(arrival(1, MODEL_SERVICE, kind)) {
        Some(NextStep::Refuse { retry_after_ms, .. }) => {
            assert!((1600..2500).contains(&retry_after_ms), "{retry_after_ms}");
        }
        other => panic!("expected a refusal at once, got {other:?}"),
    }
}

#[test]
fn a_request_waits_for_a_runner_that_serves_in_a_moment() {
    let mut fixture = two_runners(MODEL_SERVICE);
    for port in [1, 2] {
        let empty = RunnerLoad { weights: None, serves_in_ms: Some(50), ..load(1, 0) };
        fixture.feed(Event::Load(([127, 0, 0, 1], port).into(), empty));
    }
    let kind = RouteKind::Stream { resumable: true };
    assert_eq!(fixture.arrive(arrival(1, MODEL_SERVICE, kind)), None);
    fixture.now += 60;
    let step = fixture.feed(Event::Load(([127, 0, 0, 1], 2).into(), load(1, 0)));
    assert_eq!(sent_to(step_of(1, &step)), "r2".into());
}

#[test]
fn the_retry_delay_grows_with_the_duration_of_the_shortage() {
    let mut fixture = two_runners(MODEL_SERVICE);
    let full = |fixture: &mut Fixture| {
        for port in [1, 2] {
            fixture.feed(Event::Load(([127, 0, 0, 1], port).into(), load(1, 8)));
        }
    };
    let mut away = Vec::new();
    for key in 0..12 {
        full(&mut fixture);
        away.push(retry_delay_of(&mut fixture, key));
    }
    assert!(away[0] < 500, "{away:?}");
    assert!(away[11] >= 1800, "{away:?}");
    assert!(away.iter().all(|it| (250..=2000).contains(it)), "{away:?}");
    fixture.now += 1000;
    full(&mut fixture);
    assert!(retry_delay_of(&mut fixture, 12) < 500, "the next shortage starts with a short delay");
}

/// If a version was required that no runner held, nine of ten callers waited 88 ms before they were
/// refused.
#[test]
fn a_request_that_no_runner_can_run_is_refused_at_once_if_all_runners_reported() {
    let mut fixture = two_runners(MODEL_SERVICE);
    let empty = RunnerLoad { weights: None, serves_in_ms: None, ..load(1, 0) };
    let kind = RouteKind::Stream { resumable: true };
    fixture.feed(Event::Load(([127, 0, 0, 1], 1).into(), empty.clone()));
    fixture.feed(Event::Unlisted("r2".into()));
    fixture.list("r3", MODEL_SERVICE, 3);
    fixture.feed(Event::Load(([127, 0, 0, 1], 3).into(), empty));
    let step = fixture.arrive(arrival(1, MODEL_SERVICE, kind));
    assert!(matches!(step, Some(NextStep::Refuse { .. })), "{step:?}");
}

/// A runner without a recent report may serve: a gateway that has just started has no reports.
#[test]
fn a_request_waits_if_a_runner_has_not_reported() {
    let mut fixture = two_runners(MODEL_SERVICE);
    let empty = RunnerLoad { weights: None, serves_in_ms: None, ..load(1, 0) };
    fixture.feed(Event::Load(([127, 0, 0, 1], 1).into(), empty.clone()));
    let record = RunnerRecord { weights: None, ..record("r2", MODEL_SERVICE, 2) };
    fixture.feed(Event::Listed(record));
    let kind = RouteKind::Stream { resumable: true };
    assert_eq!(fixture.arrive(arrival(1, MODEL_SERVICE, kind)), None);
}

/// The sidecars of such runners still grant reservations for a moment, but a request would start
/// there too late.
#[test]
fn a_request_is_refused_at_once_if_every_runner_holds_a_version_that_is_too_old() {
    let mut fixture = two_runners(MODEL_SERVICE);
    fixture.feed(named(2, Some(VERSION_MS)));
    for port in [1, 2] {
        fixture.feed(Event::Load(([127, 0, 0, 1], port).into(), load(1, 0)));
    }
    let step = fixture.arrive(arrival(1, MODEL_SERVICE, RouteKind::Stream { resumable: true }));
    assert!(matches!(step, Some(NextStep::Refuse { .. })), "{step:?}");
}

#[test]
fn changed_limits_keep_earlier_counts() {
    let limits = |allowance| BudgetLimits { window_ms: 10_000, ratio: 0.0, allowance };
    let mut budget = RetryBudget::new(limits(5.0));
    assert!((0..4).all(|at| budget.take_retry(Millis(1000 + at))));
    budget.set_limits(limits(3.0));
    assert!(!budget.take_retry(Millis(1100)));
    budget.set_limits(limits(6.0));
    assert_eq!((0..9).filter(|at| budget.take_retry(Millis(1200 + at))).count(), 2);
}

#[test]
fn a_changed_bound_applies_to_the_next_selection() {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    fixture.feed(named(2, Some(0)));
    fixture.now += VERSION_MS / 2;
    sent_to(fixture.arrive(arrival(1, MODEL_SERVICE, RouteKind::Safe)));
    fixture.feed(Event::OptionsChanged(GatewayOptions { version_ms: VERSION_MS / 4, ..options() }));
    let step = fixture.arrive(arrival(2, MODEL_SERVICE, RouteKind::Safe));
    assert!(!matches!(step, Some(NextStep::Send(_))), "{step:?}");
}
