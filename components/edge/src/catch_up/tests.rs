//! Tests of `catch_up`.

use super::*;

/// A feed that has read its tables and receives changes as they happen.
fn caught_up() -> CatchUp {
    let mut catch_up = CatchUp::default();
    catch_up.record_listing(true);
    assert!(catch_up.record_feed(false, true), "what lay there at the start is old");
    catch_up
}

/// Guards against dating a version too late. Two versions that are named during an outage of the store arrive
/// in two answers; the second one, taken for a current change, was dated six seconds late.
#[test]
fn every_answer_behind_a_silence_is_old_until_nothing_is_left() {
    let mut catch_up = caught_up();
    assert!(catch_up.record_feed(true, false));
    assert!(catch_up.record_feed(false, false));
    assert!(catch_up.record_feed(false, true));
    assert!(!catch_up.record_feed(false, false));
}

#[test]
fn a_series_of_changes_in_a_calm_is_new() {
    let mut catch_up = caught_up();
    assert!(!catch_up.record_feed(false, false));
    assert!(!catch_up.record_feed(false, false));
}

#[test]
fn a_listing_in_a_calm_leaves_what_comes_next_new() {
    let mut catch_up = caught_up();
    catch_up.record_listing(false);
    assert!(!catch_up.record_feed(false, false));
}

#[test]
fn a_listing_behind_a_silence_leaves_what_comes_next_old() {
    let mut catch_up = caught_up();
    catch_up.record_listing(true);
    assert!(catch_up.record_feed(false, false));
}
