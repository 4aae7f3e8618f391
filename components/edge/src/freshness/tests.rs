//! Tests of `freshness`.

use super::*;

const WAIT: Duration = Duration::from_millis(1750);
const DELAY: Duration = Duration::from_millis(700);
const ROUND_TRIP: Duration = Duration::from_millis(4);

/// Timing of a call, as seen by this process, with the store's clock at the time the answer was produced.
fn answer(
    sent_at: Instant,
    took: Duration,
    waited: Option<Duration>,
    clock_ms: u64,
) -> AnswerTiming {
    AnswerTiming {
        sent_at,
        arrived_at: sent_at + took,
        waited,
        clock_ms: Some(clock_ms),
        by_reader: None,
    }
}

#[test]
fn an_answer_without_changes_is_current_as_of_the_end_of_its_wait() {
    let sent_at = Instant::now();
    let answer = answer(sent_at, WAIT + DELAY, Some(WAIT), 5000);
    assert_eq!(Freshness::default().record(&answer), sent_at + WAIT);
}

#[test]
fn an_early_answer_without_changes_is_current_as_of_its_call() {
    let sent_at = Instant::now();
    let answer = answer(sent_at, WAIT / 2, Some(WAIT), 5000);
    assert_eq!(Freshness::default().record(&answer), sent_at);
}

#[test]
fn the_first_answer_with_changes_is_current_as_of_its_call() {
    let sent_at = Instant::now();
    assert_eq!(Freshness::default().record(&answer(sent_at, DELAY, None, 5000)), sent_at);
}

#[test]
fn an_answer_with_changes_is_dated_by_the_clock_of_the_store() {
    let sent_at = Instant::now();
    let mut freshness = Freshness::default();
    let first = freshness.record(&answer(sent_at, WAIT + ROUND_TRIP, Some(WAIT), 5000));
    let next = first + Duration::from_millis(250);
    // Produced 1.2 s after the call, delivered late.
    let took = Duration::from_millis(1200) + DELAY;
    assert_eq!(
        freshness.record(&answer(next, took, None, 6450)),
        next + Duration::from_millis(1200)
    );
}

#[test]
fn an_answer_is_dated_between_its_call_and_its_arrival() {
    let sent_at = Instant::now();
    for clock_ms in [0, 4999, 5000, 5001, 90_000] {
        let mut freshness = Freshness::default();
        let first = freshness.record(&answer(sent_at, ROUND_TRIP, None, 5000));
        let next = first + WAIT;
        let produced_at = freshness.record(&answer(next, ROUND_TRIP, None, clock_ms));
        assert!((next..=next + ROUND_TRIP).contains(&produced_at), "{clock_ms}");
    }
}

#[test]
fn without_a_store_clock_an_answer_is_current_as_of_its_call() {
    let sent_at = Instant::now();
    let mut freshness = Freshness::default();
    freshness.record(&answer(sent_at, ROUND_TRIP, None, 5000));
    let next = sent_at + WAIT;
    let without = AnswerTiming { clock_ms: None, ..answer(next, DELAY, None, 0) };
    assert_eq!(freshness.record(&without), next);
}

#[test]
fn an_answer_of_a_reader_is_as_old_as_reported_plus_its_transit() {
    let sent_at = Instant::now();
    let by_reader = Some((Duration::from_millis(900), Duration::from_millis(300)));
    let answer =
        AnswerTiming { by_reader, ..answer(sent_at, Duration::from_millis(1000), None, 5) };
    assert_eq!(Freshness::default().record(&answer), sent_at + Duration::from_millis(600));
}
