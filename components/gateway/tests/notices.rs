//! Information that runners send about themselves in responses: that they are draining, and that
//! they ask for a backoff.
//!
//! Guards against using the runner list alone, which cannot be read while the platform's store is
//! unavailable and does not contain backoffs: draining runners and runners that had asked for a
//! backoff received requests as before.

mod support;

use fleet::{AdvertisedLimit, IncarnationReport, Rate};
use gateway::*;
use proptest::prelude::*;
use support::*;

const BACKOFF_MS: u64 = 3000;
const DRAINING: Notice = Notice { is_leaving: true, backoff_ms: None, limit: None };
const ASKS_FOR_BACKOFF: Notice =
    Notice { is_leaving: false, backoff_ms: Some(BACKOFF_MS), limit: None };

/// A gateway that knows this number of runners of the model, all with a recent report.
fn fixture(runners: u16) -> Fixture {
    let mut fixture = Fixture::new();
    for port in 1..=runners {
        fixture.list(&format!("r{port}"), MODEL_SERVICE, port);
    }
    report_all(&mut fixture, runners);
    fixture
}

fn report_all(fixture: &mut Fixture, runners: u16) {
    for port in 1..=runners {
        fixture.feed(Event::Load(([127, 0, 0, 1], port).into(), load(1, 0)));
    }
}

fn send_request(fixture: &mut Fixture, key: u64) -> Option<NextStep> {
    fixture.arrive(arrival(key, MODEL_SERVICE, RouteKind::Safe))
}

/// Sends a request whose runner rejects it with this notice. Returns the runner.
fn reject_with(fixture: &mut Fixture, key: u64, notice: Notice) -> String {
    let runner = sent_to(send_request(fixture, key)).0;
    fixture.feed(Event::NoticeReceived(RequestKey(key), notice));
    fixture.outcome(key, AttemptOutcome::Full);
    fixture.feed(Event::RequestEnded(RequestKey(key)));
    runner
}

fn entry(id: &str, state: RunnerState) -> Event {
    let port = id[1..].parse().unwrap();
    Event::Listed(RunnerRecord { state, ..record(id, MODEL_SERVICE, port) })
}

#[test]
fn a_draining_runner_receives_nothing_although_the_list_shows_it_as_ready() {
    let mut fixture = fixture(2);
    let leaving = reject_with(&mut fixture, 0, DRAINING);
    fixture.pass(5000);
    report_all(&mut fixture, 2);
    for key in 1..6 {
        fixture.feed(entry(&leaving, RunnerState::Ready));
        assert_ne!(sent_to(send_request(&mut fixture, key)).0, leaving);
    }
}

#[test]
fn a_reservation_granted_before_the_notice_is_not_used() {
    let mut fixture = fixture(1);
    sent_to(send_request(&mut fixture, 0));
    sent_to(send_request(&mut fixture, 1));
    assert!(fixture.gateway.may_send(fleet::Millis(fixture.now), RequestKey(1)));
    fixture.feed(Event::NoticeReceived(RequestKey(0), DRAINING));
    assert!(!fixture.gateway.may_send(fleet::Millis(fixture.now), RequestKey(1)));
}

#[test]
fn a_stream_is_not_resumed_at_a_draining_runner() {
    let mut fixture = fixture(2);
    let leaving = reject_with(&mut fixture, 0, DRAINING);
    let stream = arrival(1, MODEL_SERVICE, RouteKind::Stream { resumable: true });
    assert_ne!(sent_to(fixture.arrive(stream)).0, leaving);
    fixture.outcome(1, AttemptOutcome::Answered);
    assert_eq!(fixture.outcome(1, AttemptOutcome::Cut), None, "it waits for another runner");
}

#[test]
fn a_notice_remains_in_force_when_the_entry_expires_and_comes_back() {
    let mut fixture = fixture(2);
    let leaving = reject_with(&mut fixture, 0, DRAINING);
    fixture.feed(Event::Unlisted(leaving.as_str().into()));
    fixture.pass(14_000);
    fixture.feed(entry(&leaving, RunnerState::Ready));
    report_all(&mut fixture, 2);
    for key in 1..6 {
        assert_ne!(sent_to(send_request(&mut fixture, key)).0, leaving);
    }
}

#[test]
fn a_notice_does_not_apply_to_the_next_life_under_the_same_name() {
    for notice in [DRAINING, ASKS_FOR_BACKOFF] {
        let mut fixture = fixture(1);
        reject_with(&mut fixture, 0, notice);
        let incarnation = IncarnationReport { born: Some(9), sequence: 0 };
        fixture.feed(Event::Listed(RunnerRecord { incarnation, ..record("r1", MODEL_SERVICE, 1) }));
        assert_eq!(sent_to(send_request(&mut fixture, 1)).0, "r1");
    }
}

#[test]
fn a_notice_from_an_earlier_life_does_not_apply_to_the_later_one() {
    let mut fixture = fixture(1);
    sent_to(send_request(&mut fixture, 0));
    let incarnation = IncarnationReport { born: Some(9), sequence: 0 };
    fixture.feed(Event::Listed(RunnerRecord { incarnation, ..record("r1", MODEL_SERVICE, 1) }));
    fixture.feed(Event::NoticeReceived(RequestKey(0), DRAINING));
    assert_eq!(sent_to(send_request(&mut fixture, 1)).0, "r1");
}

/// Applies a rate limit from the response to a request, and returns what was new.
fn receive_limit(
    fixture: &mut Fixture,
    key: u64,
    limit: AdvertisedLimit,
) -> Option<AdvertisedLimit> {
    fixture.now += 1;
    sent_to(send_request(fixture, key));
    fixture.now += 1;
    let notice = Notice { limit: Some(limit), ..Notice::default() };
    let effects = fixture.feed(Event::NoticeReceived(RequestKey(key), notice));
    fixture.outcome(key, AttemptOutcome::Finished);
    effects.into_iter().find_map(|effect| match effect {
        Effect::Notice(change) => change.notice.limit,
        _ => None,
    })
}

#[test]
fn a_rate_limit_is_reported_when_it_begins_changes_and_ends() {
    let mut fixture = fixture(1);
    let limited = |per_s| AdvertisedLimit::Limited(Rate::from_per_s(per_s).unwrap());
    let limits = [
        limited(1.6),
        limited(1.6),
        limited(4.0),
        AdvertisedLimit::Unlimited,
        AdvertisedLimit::Unlimited,
    ];
    let reported: Vec<_> =
        (0..).zip(limits).map(|(key, limit)| receive_limit(&mut fixture, key, limit)).collect();
    let expected =
        [Some(limited(1.6)), None, Some(limited(4.0)), Some(AdvertisedLimit::Unlimited), None];
    assert_eq!(reported, expected);
    assert!(!fixture.gateway.is_limited(&"r1".into()));
}

#[test]
fn a_runner_receives_nothing_during_its_backoff() {
    let mut fixture = fixture(2);
    let paused_runner = reject_with(&mut fixture, 0, ASKS_FOR_BACKOFF);
    for key in 1..30 {
        fixture.pass(100);
        report_all(&mut fixture, 2);
        let runner = sent_to(send_request(&mut fixture, key)).0;
        assert_ne!(runner, paused_runner, "after {} ms", key * 100);
        fixture.outcome(key, AttemptOutcome::Answered);
        fixture.outcome(key, AttemptOutcome::Finished);
    }
    fixture.pass(200);
    report_all(&mut fixture, 2);
    let runners =
        [sent_to(send_request(&mut fixture, 98)).0, sent_to(send_request(&mut fixture, 99)).0];
    assert!(runners.contains(&paused_runner), "it is tried again: {runners:?}");
}

#[test]
fn a_stream_that_finishes_during_the_backoff_does_not_end_it() {
    let mut fixture = fixture(1);
    sent_to(send_request(&mut fixture, 0));
    fixture.outcome(0, AttemptOutcome::Answered);
    reject_with(&mut fixture, 1, ASKS_FOR_BACKOFF);
    fixture.outcome(0, AttemptOutcome::Finished);
    fixture.pass(500);
    report_all(&mut fixture, 1);
    assert!(matches!(send_request(&mut fixture, 2), Some(NextStep::Refuse { .. })));
}

#[test]
fn after_the_backoff_one_trial_request_is_sent_and_others_follow_once_it_runs() {
    let mut fixture = fixture(1);
    reject_with(&mut fixture, 0, ASKS_FOR_BACKOFF);
    fixture.pass(BACKOFF_MS);
    report_all(&mut fixture, 1);
    sent_to(send_request(&mut fixture, 1));
    assert_eq!(send_request(&mut fixture, 2), None, "it waits for the result of the first one");
    let effects = fixture.feed(Event::Attempt(RequestKey(1), AttemptOutcome::Answered));
    let step = step_of(2, &effects).or_else(|| fixture.step(2, Event::Tick));
    assert_eq!(sent_to(step).0, "r1");
}

#[test]
fn a_rejected_trial_starts_another_backoff_and_an_abandoned_one_allows_the_next() {
    let mut fixture = fixture(1);
    reject_with(&mut fixture, 0, ASKS_FOR_BACKOFF);
    fixture.pass(BACKOFF_MS);
    report_all(&mut fixture, 1);
    sent_to(send_request(&mut fixture, 1));
    fixture.feed(Event::RequestEnded(RequestKey(1)));
    assert_eq!(reject_with(&mut fixture, 2, ASKS_FOR_BACKOFF), "r1");
    fixture.pass(BACKOFF_MS - 1);
    report_all(&mut fixture, 1);
    assert!(!matches!(send_request(&mut fixture, 3), Some(NextStep::Send(_))));
}

#[test]
fn callers_are_refused_until_the_backoff_ends_if_all_runners_are_in_a_backoff() {
    for service in [MODEL_SERVICE, PLAIN_SERVICE] {
        let mut fixture = Fixture::new();
        fixture.list("r1", service, 1);
        sent_to(fixture.arrive(arrival(0, service, RouteKind::Safe)));
        fixture.feed(Event::NoticeReceived(RequestKey(0), ASKS_FOR_BACKOFF));
        fixture.outcome(0, AttemptOutcome::Full);
        fixture.pass(100);
        match fixture.arrive(arrival(1, service, RouteKind::Safe)) {
            Some(NextStep::Refuse { retry_after_ms, .. }) => {
                assert!(
                    (BACKOFF_MS - 100..BACKOFF_MS + 900).contains(&retry_after_ms),
                    "{retry_after_ms}"
                );
            }
            other => panic!("{service}: {other:?}"),
        }
    }
}

/// The next event. Numbers are taken modulo the number of existing items.
#[derive(Clone, Debug)]
enum Action {
    Call,
    Notify { request: u8, is_draining: bool, backoff_ms: u16 },
    End { request: u8, outcome: u8 },
    Relist { runner: u8, unlisted_first: bool },
    Wait(u16),
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let tell = (any::<u8>(), proptest::bool::weighted(0.1), 0..4000u16).prop_map(
        |(request, is_draining, backoff_ms)| Action::Notify { request, is_draining, backoff_ms },
    );
    let action = prop_oneof![
        6 => Just(Action::Call),
        2 => tell,
        6 => (any::<u8>(), 0..4u8).prop_map(|(request, outcome)| Action::End { request, outcome }),
        1 => (any::<u8>(), any::<bool>())
            .prop_map(|(runner, unlisted_first)| Action::Relist { runner, unlisted_first }),
        3 => (1..900u16).prop_map(Action::Wait),
    ];
    proptest::collection::vec(action, 1..120)
}

/// The information that a runner has sent, in the model.
#[derive(Clone, Copy, Default)]
struct Sent {
    is_draining: bool,
    backoff_until: u64,
}

proptest! {
    #[test]
    fn no_request_is_sent_against_a_notice(actions in actions()) {
        const RUNNERS: u16 = 3;
        let mut fixture = fixture(RUNNERS);
        let mut sent = [Sent::default(); RUNNERS as usize];
        let mut open: Vec<(u64, usize)> = Vec::new();
        let mut next = 0;
        for action in actions {
            let effects = match action {
                Action::Call => {
                    next += 1;
                    report_all(&mut fixture, RUNNERS);
                    fixture.feed(Event::Arrived(arrival(next, MODEL_SERVICE, RouteKind::Safe)))
                }
                Action::Notify { request, is_draining, backoff_ms } if !open.is_empty() => {
                    let (key, runner) = open[request as usize % open.len()];
                    let backoff_ms = Some(u64::from(backoff_ms)).filter(|it| *it > 0);
                    sent[runner].is_draining |= is_draining;
                    let until = backoff_ms.map_or(0, |it| fixture.now + it);
                    sent[runner].backoff_until = sent[runner].backoff_until.max(until);
                    fixture.feed(Event::NoticeReceived(RequestKey(key), Notice { is_leaving: is_draining, backoff_ms, limit: None }))
                }
                Action::End { request, outcome } if !open.is_empty() => {
                    let (key, _) = open.swap_remove(request as usize % open.len());
                    let outcomes = [AttemptOutcome::Full, AttemptOutcome::Finished, AttemptOutcome::Lost];
                    match outcomes.get(outcome as usize) {
                        Some(outcome) => fixture.feed(Event::Attempt(RequestKey(key), *outcome)),
                        None => fixture.feed(Event::RequestEnded(RequestKey(key))),
                    }
                }
                Action::Relist { runner, unlisted_first } => {
                    let id = format!("r{}", runner as u16 % RUNNERS + 1);
                    if unlisted_first {
                        fixture.feed(Event::Unlisted(id.as_str().into()));
                    }
                    fixture.feed(entry(&id, RunnerState::Ready))
                }
                Action::Wait(span) => {
                    fixture.now += u64::from(span);
                    fixture.feed(Event::Tick)
                }
                Action::Notify { .. } | Action::End { .. } => Vec::new(),
            };
            for effect in effects {
                let Effect::Proceed(key, NextStep::Send(target)) = effect else {
                    continue;
                };
                let runner = target.id.0[1..].parse::<usize>().unwrap() - 1;
                prop_assert!(!sent[runner].is_draining, "{key:?} to {}, which is draining", target.id);
                prop_assert!(sent[runner].backoff_until <= fixture.now, "{key:?} to {}, which is in a backoff", target.id);
                open.retain(|it| it.0 != key.0);
                open.push((key.0, runner));
            }
        }
    }
}
