//! Tests of `store_time`.

use super::*;

fn place(revision: u64) -> StorePlace {
    StorePlace { era: None, revision }
}

/// Answers at these moments before one that is taken for now, in milliseconds, each with the newest revision. The store's
/// clock shows 50,000 then.
fn read(answers: &[(u64, u64)]) -> (StoreTime, Instant) {
    // Clocks count from the start of the process.
    let now = Instant::now() + Duration::from_secs(10);
    let mut time = StoreTime::default();
    for (ago, newest) in answers {
        time.note(place(*newest), 50_000 - ago, now - Duration::from_millis(*ago));
    }
    (time, now)
}

#[test]
fn a_row_was_written_after_the_last_answer_under_an_older_revision() {
    let (time, now) = read(&[(900, 7), (500, 9), (100, 12)]);
    let at = now - Duration::from_millis(500);
    assert_eq!(time.unwritten(place(11)), Some(Unwritten { clock_ms: 49_500, at }));
    assert_eq!(time.unwritten(place(7)), None);
}

#[test]
fn answers_may_be_taken_in_out_of_order() {
    let (time, _) = read(&[(500, 9), (100, 12), (900, 7)]);
    assert_eq!(time.unwritten(place(9)).map(|it| it.clock_ms), Some(49_100));
    assert_eq!(time.unwritten(place(13)).map(|it| it.clock_ms), Some(49_900));
}

#[test]
fn revisions_of_another_era_tell_nothing() {
    let (time, _) = read(&[(500, 9)]);
    assert_eq!(time.unwritten(StorePlace { era: Some(2), revision: 11 }), None);
}

#[test]
fn readings_are_bounded() {
    let (mut time, now) = read(&[]);
    (0..2000).for_each(|it| time.note(place(it), 40_000 + it, now));
    assert!(time.readings.len() <= MOST_READINGS);
    assert_eq!(time.unwritten(place(5000)).map(|it| it.clock_ms), Some(41_999));
}
