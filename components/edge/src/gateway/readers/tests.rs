//! Tests of the ages that a reader reports.

use http::header::HeaderValue;

use super::*;

/// A table whose answers reached up to revisions 20, 30 and 40, after 10. If `is_second_unknown` is set, the age of the
/// second answer's changes is unknown.
fn table(is_second_unknown: bool) -> (CachedTable, [Instant; 3]) {
    let now = Instant::now();
    let times = [3, 2, 1].map(|seconds| now - Duration::from_secs(seconds));
    let cached = CachedTable::default();
    for (number, after_revision) in [10, 20, 30].into_iter().enumerate() {
        let age = Some(times[number]).filter(|_| !(is_second_unknown && number == 1));
        cached.change_times.borrow_mut().push_back((after_revision, age));
    }
    (cached, times)
}

#[test]
fn changes_are_as_old_as_the_oldest_answer_after_a_revision() {
    let (cached, times) = table(false);
    assert_eq!(cached.earliest_change_after(10), Some(times[0]));
    assert_eq!(cached.earliest_change_after(15), Some(times[0]));
    assert_eq!(cached.earliest_change_after(20), Some(times[1]));
    assert_eq!(cached.earliest_change_after(30), Some(times[2]));
    assert_eq!(cached.earliest_change_after(35), Some(times[2]));
}

#[test]
fn no_age_is_reported_if_one_of_the_answers_has_none() {
    let (cached, times) = table(true);
    assert_eq!(cached.earliest_change_after(10), None);
    assert_eq!(cached.earliest_change_after(20), None);
    assert_eq!(cached.earliest_change_after(30), Some(times[2]));
    assert_eq!(
        cached.earliest_change_after(5),
        None,
        "the recorded changes do not go back that far"
    );
}

#[test]
fn an_answer_with_an_incomplete_age_is_an_error_and_one_of_the_store_has_none() {
    let mut headers = HeaderMap::new();
    assert_eq!(read_age(&headers).unwrap(), None);
    headers.insert(KNOWN_AGE_HEADER, HeaderValue::from_static("120"));
    assert!(read_age(&headers).is_err(), "the held time is missing");
    headers.insert(HELD_TIME_HEADER, HeaderValue::from_static("900"));
    let age = read_age(&headers).unwrap().unwrap();
    assert_eq!((age.known.as_millis(), age.held.as_millis(), age.changes), (120, 900, None));
    headers.insert(CHANGE_AGE_HEADER, HeaderValue::from_static("soon"));
    assert!(read_age(&headers).is_err());
}
