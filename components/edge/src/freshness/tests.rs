//! Tests of `freshness`.

use super::*;

const WAIT: Duration = Duration::from_millis(1750);
const LATE: Duration = Duration::from_millis(700);
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
fn an_answer_without_news_is_as_old_as_the_end_of_the_wait() {
    let sent_at = Instant::now();
    let answer = answer(sent_at, WAIT + LATE, Some(WAIT), 5000);
    assert_eq!(Freshness::default().record(&answer), sent_at + WAIT);
}

#[test]
fn an_answer_without_news_that_came_early_is_as_old_as_its_question() {
    let sent_at = Instant::now();
    let answer = answer(sent_at, WAIT / 2, Some(WAIT), 5000);
    assert_eq!(Freshness::default().record(&answer), sent_at);
}

#[test]
fn the_first_answer_with_news_is_as_old_as_its_question() {
    let sent_at = Instant::now();
    assert_eq!(Freshness::default().record(&answer(sent_at, LATE, None, 5000)), sent_at);
}

#[test]
fn news_is_as_old_as_the_clock_of_the_store_says() {
    let sent_at = Instant::now();
    let mut freshness = Freshness::default();
    let first = freshness.record(&answer(sent_at, WAIT + ROUND_TRIP, Some(WAIT), 5000));
    let next = first + Duration::from_millis(250);
    // Produced 1.2 s after the call, delivered late.
    let took = Duration::from_millis(1200) + LATE;
    assert_eq!(
        freshness.record(&answer(next, took, None, 6450)),
        next + Duration::from_millis(1200)
    );
}

#[test]
fn no_answer_is_newer_than_its_arrival_or_older_than_its_question() {
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
fn a_store_without_a_clock_is_believed_from_the_question_on() {
    let sent_at = Instant::now();
    let mut freshness = Freshness::default();
    freshness.record(&answer(sent_at, ROUND_TRIP, None, 5000));
    let next = sent_at + WAIT;
    let without = AnswerTiming { clock_ms: None, ..answer(next, LATE, None, 0) };
    assert_eq!(freshness.record(&without), next);
}

#[test]
fn what_another_process_passes_on_is_as_old_as_it_says_and_its_way() {
    let sent_at = Instant::now();
    let by_reader = Some((Duration::from_millis(900), Duration::from_millis(300)));
    let answer =
        AnswerTiming { by_reader, ..answer(sent_at, Duration::from_millis(1000), None, 5) };
    assert_eq!(Freshness::default().record(&answer), sent_at + Duration::from_millis(600));
}
