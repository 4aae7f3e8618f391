//! Tests of the ages that a reader reports.

use http::header::HeaderValue;

use super::*;

/// A table whose answers reached up to revisions 20, 30 and 40, after 10. If `unknown` is set, the age of the
/// second answer's changes is unknown.
fn table(unknown: bool) -> (KeptTable, [Instant; 3]) {
    let now = Instant::now();
    let since = [3, 2, 1].map(|seconds| now - Duration::from_secs(seconds));
    let kept = KeptTable::default();
    for (number, behind) in [10, 20, 30].into_iter().enumerate() {
        let told = Some(since[number]).filter(|_| !(unknown && number == 1));
        kept.news.borrow_mut().push_back((behind, told));
    }
    (kept, since)
}

#[test]
fn news_is_as_old_as_the_oldest_answer_behind_a_revision() {
    let (kept, since) = table(false);
    assert_eq!(kept.news_since(10), Some(since[0]));
    assert_eq!(kept.news_since(15), Some(since[0]));
    assert_eq!(kept.news_since(20), Some(since[1]));
    assert_eq!(kept.news_since(30), Some(since[2]));
    assert_eq!(kept.news_since(35), Some(since[2]));
}

#[test]
fn nothing_is_told_of_the_age_of_news_where_nobody_knows_it() {
    let (kept, since) = table(true);
    assert_eq!(kept.news_since(10), None);
    assert_eq!(kept.news_since(20), None);
    assert_eq!(kept.news_since(30), Some(since[2]));
    assert_eq!(kept.news_since(5), None, "it goes back no further");
}

#[test]
fn an_answer_that_leaves_out_an_age_is_an_error_and_the_store_tells_none() {
    let mut headers = HeaderMap::new();
    assert_eq!(read_age(&headers).unwrap(), None);
    headers.insert(KNOWN, HeaderValue::from_static("120"));
    assert!(read_age(&headers).is_err(), "how long it was held is missing");
    headers.insert(HELD, HeaderValue::from_static("900"));
    let told = read_age(&headers).unwrap().unwrap();
    assert_eq!((told.known.as_millis(), told.held.as_millis(), told.news), (120, 900, None));
    headers.insert(NEWS, HeaderValue::from_static("soon"));
    assert!(read_age(&headers).is_err());
}
