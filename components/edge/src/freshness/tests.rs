//! Tests of `freshness`.

use super::*;

const WAIT: Duration = Duration::from_millis(1750);
const LATE: Duration = Duration::from_millis(700);
const ROUND_TRIP: Duration = Duration::from_millis(4);

/// Timing of a call, as seen by this process, with the store's clock at the time the answer was produced.
fn answer(asked: Instant, took: Duration, waited: Option<Duration>, clock_ms: u64) -> Arrival {
    Arrival { asked, arrived: asked + took, waited, clock_ms: Some(clock_ms), told: None }
}

#[test]
fn an_answer_without_news_is_as_old_as_the_end_of_the_wait() {
    let asked = Instant::now();
    let answer = answer(asked, WAIT + LATE, Some(WAIT), 5000);
    assert_eq!(Freshness::default().take(&answer), asked + WAIT);
}

#[test]
fn an_answer_without_news_that_came_early_is_as_old_as_its_question() {
    let asked = Instant::now();
    let answer = answer(asked, WAIT / 2, Some(WAIT), 5000);
    assert_eq!(Freshness::default().take(&answer), asked);
}

#[test]
fn the_first_answer_with_news_is_as_old_as_its_question() {
    let asked = Instant::now();
    assert_eq!(Freshness::default().take(&answer(asked, LATE, None, 5000)), asked);
}

#[test]
fn news_is_as_old_as_the_clock_of_the_store_says() {
    let asked = Instant::now();
    let mut freshness = Freshness::default();
    let first = freshness.take(&answer(asked, WAIT + ROUND_TRIP, Some(WAIT), 5000));
    let next = first + Duration::from_millis(250);
    // Produced 1.2 s after the call, delivered late.
    let took = Duration::from_millis(1200) + LATE;
    assert_eq!(freshness.take(&answer(next, took, None, 6450)), next + Duration::from_millis(1200));
}

#[test]
fn no_answer_is_newer_than_its_arrival_or_older_than_its_question() {
    let asked = Instant::now();
    for clock_ms in [0, 4999, 5000, 5001, 90_000] {
        let mut freshness = Freshness::default();
        let first = freshness.take(&answer(asked, ROUND_TRIP, None, 5000));
        let next = first + WAIT;
        let made = freshness.take(&answer(next, ROUND_TRIP, None, clock_ms));
        assert!((next..=next + ROUND_TRIP).contains(&made), "{clock_ms}");
    }
}

#[test]
fn a_store_without_a_clock_is_believed_from_the_question_on() {
    let asked = Instant::now();
    let mut freshness = Freshness::default();
    freshness.take(&answer(asked, ROUND_TRIP, None, 5000));
    let next = asked + WAIT;
    let without = Arrival { clock_ms: None, ..answer(next, LATE, None, 0) };
    assert_eq!(freshness.take(&without), next);
}

#[test]
fn what_another_process_passes_on_is_as_old_as_it_says_and_its_way() {
    let asked = Instant::now();
    let told = Some((Duration::from_millis(900), Duration::from_millis(300)));
    let answer = Arrival { told, ..answer(asked, Duration::from_millis(1000), None, 5) };
    assert_eq!(Freshness::default().take(&answer), asked + Duration::from_millis(600));
}
