//! Tests of `lateness`.

use super::*;

const AT_ONCE: Duration = Duration::from_millis(8);
const AFTER_A_WAIT: Duration = Duration::from_millis(1400);

/// A process that has read its tables and hears a change when it happens.
fn calm() -> Lateness {
    let mut lateness = Lateness::default();
    assert!(lateness.take_listing(true), "what lay there at the start is old");
    assert!(!lateness.take_feed(false, AFTER_A_WAIT, false));
    lateness
}

/// Found on trouble-3 of mizani-tips-now-grown: two versions were named while the store was out. They came in two
/// answers, and the second one was taken for news of that moment, six seconds after it had been named.
#[test]
fn every_answer_behind_a_silence_is_old_until_nothing_is_left() {
    let mut lateness = calm();
    assert!(lateness.take_feed(true, AT_ONCE, false));
    assert!(lateness.take_feed(false, AT_ONCE, false));
    assert!(lateness.take_feed(false, AT_ONCE, true));
    assert!(!lateness.take_feed(false, AT_ONCE, false));
}

#[test]
fn an_answer_that_a_feed_has_waited_for_is_new() {
    let mut lateness = calm();
    assert!(lateness.take_feed(true, AT_ONCE, false));
    assert!(!lateness.take_feed(false, AFTER_A_WAIT, false));
}

#[test]
fn a_series_of_changes_in_a_calm_is_new() {
    let mut lateness = calm();
    assert!(!lateness.take_feed(false, AT_ONCE, false));
    assert!(!lateness.take_feed(false, AT_ONCE, false));
}

#[test]
fn a_listing_in_a_calm_holds_nothing_that_is_old() {
    assert!(!calm().take_listing(false));
}
