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

#[test]
fn a_change_that_came_while_the_feed_waited_was_named_as_long_ago_as_a_slow_answer_takes_at_most() {
    assert_eq!(not_before(50_000, 52_000, AFTER_A_WAIT), 51_600);
}

#[test]
fn a_change_that_was_told_at_once_may_be_as_old_as_the_answer_before() {
    assert_eq!(not_before(51_500, 52_000, AT_ONCE), 51_500);
}

#[test]
fn a_change_is_never_older_than_the_answer_that_did_not_hold_it() {
    assert_eq!(not_before(51_900, 52_000, AFTER_A_WAIT), 51_900);
}

#[test]
fn a_change_happened_behind_the_answer_that_did_not_hold_it_or_while_the_store_waited_for_it() {
    let before = Instant::now();
    let asked = before + Duration::from_millis(250);
    let (at_once, later) = (asked + Duration::from_millis(4), asked + Duration::from_millis(120));
    assert_eq!(happened_since(before, asked, at_once), before);
    assert_eq!(happened_since(before, asked, later), later);
}
