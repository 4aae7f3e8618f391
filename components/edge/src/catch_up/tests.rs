//! Tests of `catch_up`.

use super::*;

/// A feed that has read its tables and receives changes as they happen.
fn caught_up() -> CatchUp {
    let mut catch_up = CatchUp::default();
    catch_up.record_listing(true);
    assert!(catch_up.record_feed(false, true), "changes from before the start are old");
    catch_up
}

/// Guards against dating a version too late. Two versions that are announced during an outage of the store
/// arrive in two answers; the second one, taken for a current change, was dated six seconds late.
#[test]
fn every_answer_after_a_silence_is_old_until_an_empty_one() {
    let mut catch_up = caught_up();
    assert!(catch_up.record_feed(true, false));
    assert!(catch_up.record_feed(false, false));
    assert!(catch_up.record_feed(false, true));
    assert!(!catch_up.record_feed(false, false));
}

#[test]
fn consecutive_changes_without_a_silence_are_current() {
    let mut catch_up = caught_up();
    assert!(!catch_up.record_feed(false, false));
    assert!(!catch_up.record_feed(false, false));
}

#[test]
fn a_listing_without_a_silence_is_followed_by_current_changes() {
    let mut catch_up = caught_up();
    catch_up.record_listing(false);
    assert!(!catch_up.record_feed(false, false));
}

#[test]
fn a_listing_after_a_silence_is_followed_by_old_changes() {
    let mut catch_up = caught_up();
    catch_up.record_listing(true);
    assert!(catch_up.record_feed(false, false));
}
