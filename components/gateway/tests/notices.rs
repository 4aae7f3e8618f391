//! What runners say of themselves in answers: that they leave, and that they want to be left alone.
//!
//! Both were read from the list alone, which cannot be read while the platform's store is away and says nothing of rest:
//! runners that had said that they leave, or that had asked for rest, got requests as before.

mod support;

use fleet::{LifeWord, Rate, RateWord};
use gateway::*;
use proptest::prelude::*;
use support::*;

const REST: u64 = 3000;
const LEAVES: Notice = Notice { is_leaving: true, rest_ms: None, limit: None };
const RESTS: Notice = Notice { is_leaving: false, rest_ms: Some(REST), limit: None };

/// A gateway that knows so many runners of the model, heard just now.
fn bed(runners: u16) -> Bed {
    let mut bed = Bed::new();
    for port in 1..=runners {
        bed.list(&format!("r{port}"), MODEL_SERVICE, port);
    }
    hear(&mut bed, runners);
    bed
}

fn hear(bed: &mut Bed, runners: u16) {
    for port in 1..=runners {
        bed.feed(Event::Load(([127, 0, 0, 1], port).into(), load(1, 0)));
    }
}

fn call(bed: &mut Bed, key: u64) -> Option<NextStep> {
    bed.arrive(arrival(key, MODEL_SERVICE, RouteKind::Safe))
}

/// Sends a request and lets its runner say something while it turns it away. Gives the runner.
fn told(bed: &mut Bed, key: u64, notice: Notice) -> String {
    let runner = sent_to(call(bed, key)).0;
    bed.feed(Event::Noticed(RequestKey(key), notice));
    bed.outcome(key, AttemptOutcome::Full);
    bed.feed(Event::Gone(RequestKey(key)));
    runner
}

fn entry(id: &str, state: RunnerState) -> Event {
    let port = id[1..].parse().unwrap();
    Event::Listed(RunnerRecord { state, ..record(id, MODEL_SERVICE, port) })
}

#[test]
fn a_runner_that_leaves_gets_nothing_though_the_list_calls_it_ready() {
    let mut bed = bed(2);
    let leaving = told(&mut bed, 0, LEAVES);
    bed.pass(5000);
    hear(&mut bed, 2);
    for key in 1..6 {
        bed.feed(entry(&leaving, RunnerState::Ready));
        assert_ne!(sent_to(call(&mut bed, key)).0, leaving);
    }
}

#[test]
fn a_place_that_was_given_before_the_word_is_not_used() {
    let mut bed = bed(1);
    sent_to(call(&mut bed, 0));
    sent_to(call(&mut bed, 1));
    assert!(bed.gateway.may_send(fleet::Millis(bed.now), RequestKey(1)));
    bed.feed(Event::Noticed(RequestKey(0), LEAVES));
    assert!(!bed.gateway.may_send(fleet::Millis(bed.now), RequestKey(1)));
}

#[test]
fn a_stream_does_not_go_on_at_a_runner_that_leaves() {
    let mut bed = bed(2);
    let leaving = told(&mut bed, 0, LEAVES);
    let stream = arrival(1, MODEL_SERVICE, RouteKind::Stream { resumable: true });
    assert_ne!(sent_to(bed.arrive(stream)).0, leaving);
    bed.outcome(1, AttemptOutcome::Answered);
    assert_eq!(bed.outcome(1, AttemptOutcome::Cut), None, "it waits for another runner");
}

#[test]
fn the_word_outlasts_an_entry_that_runs_out_and_comes_back() {
    let mut bed = bed(2);
    let leaving = told(&mut bed, 0, LEAVES);
    bed.feed(Event::Unlisted(leaving.as_str().into()));
    bed.pass(14_000);
    bed.feed(entry(&leaving, RunnerState::Ready));
    hear(&mut bed, 2);
    for key in 1..6 {
        assert_ne!(sent_to(call(&mut bed, key)).0, leaving);
    }
}

#[test]
fn the_next_life_under_the_same_name_is_free_of_it() {
    for notice in [LEAVES, RESTS] {
        let mut bed = bed(1);
        told(&mut bed, 0, notice);
        let life = LifeWord { born: Some(9), sequence: 0 };
        bed.feed(Event::Listed(RunnerRecord { life, ..record("r1", MODEL_SERVICE, 1) }));
        assert_eq!(sent_to(call(&mut bed, 1)).0, "r1");
    }
}

#[test]
fn a_word_of_an_attempt_at_an_earlier_life_says_nothing_of_the_later_one() {
    let mut bed = bed(1);
    sent_to(call(&mut bed, 0));
    let life = LifeWord { born: Some(9), sequence: 0 };
    bed.feed(Event::Listed(RunnerRecord { life, ..record("r1", MODEL_SERVICE, 1) }));
    bed.feed(Event::Noticed(RequestKey(0), LEAVES));
    assert_eq!(sent_to(call(&mut bed, 1)).0, "r1");
}

/// Lets the runner of a request name a rate, and gives what of it was news.
fn named(bed: &mut Bed, key: u64, limit: RateWord) -> Option<RateWord> {
    bed.now += 1;
    sent_to(call(bed, key));
    bed.now += 1;
    let notice = Notice { limit: Some(limit), ..Notice::default() };
    let effects = bed.feed(Event::Noticed(RequestKey(key), notice));
    bed.outcome(key, AttemptOutcome::Finished);
    effects.into_iter().find_map(|effect| match effect {
        Effect::Notice(news) => news.notice.limit,
        _ => None,
    })
}

#[test]
fn a_rate_limit_is_told_of_when_it_begins_changes_and_ends() {
    let mut bed = bed(1);
    let limited = |per_s| RateWord::Limited(Rate::from_per_s(per_s).unwrap());
    let words =
        [limited(1.6), limited(1.6), limited(4.0), RateWord::Unlimited, RateWord::Unlimited];
    let told: Vec<_> = (0..).zip(words).map(|(key, word)| named(&mut bed, key, word)).collect();
    let news = [Some(limited(1.6)), None, Some(limited(4.0)), Some(RateWord::Unlimited), None];
    assert_eq!(told, news);
    assert!(!bed.gateway.is_limited(&"r1".into()));
}

#[test]
fn a_runner_that_asked_for_rest_gets_nothing_until_it_is_over() {
    let mut bed = bed(2);
    let resting = told(&mut bed, 0, RESTS);
    for key in 1..30 {
        bed.pass(100);
        hear(&mut bed, 2);
        let runner = sent_to(call(&mut bed, key)).0;
        assert_ne!(runner, resting, "after {} ms", key * 100);
        bed.outcome(key, AttemptOutcome::Answered);
        bed.outcome(key, AttemptOutcome::Finished);
    }
    bed.pass(200);
    hear(&mut bed, 2);
    let runners = [sent_to(call(&mut bed, 98)).0, sent_to(call(&mut bed, 99)).0];
    assert!(runners.contains(&resting), "it is tried again: {runners:?}");
}

#[test]
fn a_stream_that_ends_well_meanwhile_does_not_end_the_rest() {
    let mut bed = bed(1);
    sent_to(call(&mut bed, 0));
    bed.outcome(0, AttemptOutcome::Answered);
    told(&mut bed, 1, RESTS);
    bed.outcome(0, AttemptOutcome::Finished);
    bed.pass(500);
    hear(&mut bed, 1);
    assert!(matches!(call(&mut bed, 2), Some(NextStep::Refuse { .. })));
}

#[test]
fn after_the_rest_one_request_goes_first_and_the_others_follow_once_it_runs() {
    let mut bed = bed(1);
    told(&mut bed, 0, RESTS);
    bed.pass(REST);
    hear(&mut bed, 1);
    sent_to(call(&mut bed, 1));
    assert_eq!(call(&mut bed, 2), None, "it waits for how the first one ends");
    let effects = bed.feed(Event::Attempt(RequestKey(1), AttemptOutcome::Answered));
    let step = step_of(2, &effects).or_else(|| bed.step(2, Event::Tick));
    assert_eq!(sent_to(step).0, "r1");
}

#[test]
fn a_trial_that_is_turned_away_begins_another_rest_and_one_that_is_gone_lets_the_next_go() {
    let mut bed = bed(1);
    told(&mut bed, 0, RESTS);
    bed.pass(REST);
    hear(&mut bed, 1);
    sent_to(call(&mut bed, 1));
    bed.feed(Event::Gone(RequestKey(1)));
    assert_eq!(told(&mut bed, 2, RESTS), "r1");
    bed.pass(REST - 1);
    hear(&mut bed, 1);
    assert!(!matches!(call(&mut bed, 3), Some(NextStep::Send(_))));
}

#[test]
fn where_all_want_rest_callers_are_refused_at_once_and_come_back_after_it() {
    for service in [MODEL_SERVICE, PLAIN_SERVICE] {
        let mut bed = Bed::new();
        bed.list("r1", service, 1);
        sent_to(bed.arrive(arrival(0, service, RouteKind::Safe)));
        bed.feed(Event::Noticed(RequestKey(0), RESTS));
        bed.outcome(0, AttemptOutcome::Full);
        bed.pass(100);
        match bed.arrive(arrival(1, service, RouteKind::Safe)) {
            Some(NextStep::Refuse { retry_after_ms, .. }) => {
                assert!((REST - 100..REST + 900).contains(&retry_after_ms), "{retry_after_ms}");
            }
            other => panic!("{service}: {other:?}"),
        }
    }
}

/// What happens next; numbers are taken modulo what there is.
#[derive(Clone, Debug)]
enum Move {
    Call,
    Tell { request: u8, leaves: bool, rest_ms: u16 },
    End { request: u8, outcome: u8 },
    Relist { runner: u8, unlisted_first: bool },
    Wait(u16),
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let tell = (any::<u8>(), proptest::bool::weighted(0.1), 0..4000u16)
        .prop_map(|(request, leaves, rest_ms)| Move::Tell { request, leaves, rest_ms });
    let one = prop_oneof![
        6 => Just(Move::Call),
        2 => tell,
        6 => (any::<u8>(), 0..4u8).prop_map(|(request, outcome)| Move::End { request, outcome }),
        1 => (any::<u8>(), any::<bool>())
            .prop_map(|(runner, unlisted_first)| Move::Relist { runner, unlisted_first }),
        3 => (1..900u16).prop_map(Move::Wait),
    ];
    proptest::collection::vec(one, 1..120)
}

/// What a runner said, as a simple model keeps it.
#[derive(Clone, Copy, Default)]
struct Said {
    leaves: bool,
    rest_until: u64,
}

proptest! {
    #[test]
    fn nothing_is_sent_against_a_runners_word(moves in moves()) {
        const RUNNERS: u16 = 3;
        let mut bed = bed(RUNNERS);
        let mut said = [Said::default(); RUNNERS as usize];
        let mut open: Vec<(u64, usize)> = Vec::new();
        let mut next = 0;
        for one in moves {
            let effects = match one {
                Move::Call => {
                    next += 1;
                    hear(&mut bed, RUNNERS);
                    bed.feed(Event::Arrived(arrival(next, MODEL_SERVICE, RouteKind::Safe)))
                }
                Move::Tell { request, leaves, rest_ms } if !open.is_empty() => {
                    let (key, runner) = open[request as usize % open.len()];
                    let rest_ms = Some(u64::from(rest_ms)).filter(|it| *it > 0);
                    said[runner].leaves |= leaves;
                    let until = rest_ms.map_or(0, |it| bed.now + it);
                    said[runner].rest_until = said[runner].rest_until.max(until);
                    bed.feed(Event::Noticed(RequestKey(key), Notice { is_leaving: leaves, rest_ms, limit: None }))
                }
                Move::End { request, outcome } if !open.is_empty() => {
                    let (key, _) = open.swap_remove(request as usize % open.len());
                    let outcomes = [AttemptOutcome::Full, AttemptOutcome::Finished, AttemptOutcome::Lost];
                    match outcomes.get(outcome as usize) {
                        Some(outcome) => bed.feed(Event::Attempt(RequestKey(key), *outcome)),
                        None => bed.feed(Event::Gone(RequestKey(key))),
                    }
                }
                Move::Relist { runner, unlisted_first } => {
                    let id = format!("r{}", runner as u16 % RUNNERS + 1);
                    if unlisted_first {
                        bed.feed(Event::Unlisted(id.as_str().into()));
                    }
                    bed.feed(entry(&id, RunnerState::Ready))
                }
                Move::Wait(span) => {
                    bed.now += u64::from(span);
                    bed.feed(Event::Tick)
                }
                Move::Tell { .. } | Move::End { .. } => Vec::new(),
            };
            for effect in effects {
                let Effect::Proceed(key, NextStep::Send(target)) = effect else {
                    continue;
                };
                let runner = target.id.0[1..].parse::<usize>().unwrap() - 1;
                prop_assert!(!said[runner].leaves, "{key:?} to {} that leaves", target.id);
                prop_assert!(said[runner].rest_until <= bed.now, "{key:?} to {} that rests", target.id);
                open.retain(|it| it.0 != key.0);
                open.push((key.0, runner));
            }
        }
    }
}
