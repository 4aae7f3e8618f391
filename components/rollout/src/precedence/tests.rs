//! Tests of `precedence`.

use proptest::prelude::*;

use super::*;

/// A second version named two seconds after the first one, whose copies take the origin 2.8 s each and which
/// may be late by 9.4 s after their names.
fn two_seconds_apart(older_ms: u64, newer_ms: u64) -> (Remainder, Remainder) {
    let older = Remainder { bound: Millis(9400), origin_ms: older_ms };
    let newer = Remainder { bound: Millis(11_400), origin_ms: newer_ms };
    (older, newer)
}

#[test]
fn a_version_of_which_most_has_left_the_origin_is_finished() {
    let (older, newer) = two_seconds_apart(1100, 2800);
    assert!(finishes_older(Millis(2000), older, newer));
}

#[test]
fn a_version_that_has_hardly_begun_gives_way_to_a_newer_one() {
    let (older, newer) = two_seconds_apart(2400, 2800);
    assert!(!finishes_older(Millis(300), older, newer));
}

#[test]
fn a_version_that_comes_in_time_is_not_left_while_the_origin_is_out() {
    let (older, newer) = two_seconds_apart(900, 2800);
    assert!(!leaves_older(Millis(6400), older, newer));
}

/// The older one would come 2.5 s late and then make the newer one 4.3 s late.
#[test]
fn a_version_that_comes_too_late_to_be_of_use_is_left() {
    let (older, newer) = two_seconds_apart(900, 2800);
    assert!(leaves_older(Millis(9000), older, newer));
}

/// For how many milliseconds runners start nothing, millisecond by millisecond: each version is served from the
/// moment it is whole, version one until the older one's bound, the older one until the newer one's.
fn idle_by_steps(now: u64, older: Remainder, newer: Remainder, with_older: bool) -> u64 {
    let older_whole = now + older.origin_ms + SPREAD_DELAY;
    let newer_whole = if with_older {
        older_whole + newer.origin_ms
    } else {
        now + newer.origin_ms + SPREAD_DELAY
    };
    let serves = |at: u64| {
        let on_first = at < older.bound.0;
        let on_older = with_older && at >= older_whole && at < newer.bound.0;
        on_first || on_older || at >= newer_whole
    };
    (now..newer_whole.max(older_whole)).filter(|at| !serves(*at)).count() as u64
}

proptest! {
    #[test]
    fn idle_times_are_those_of_a_walk_through_every_millisecond(
        now in 0..14_000u64,
        older_ms in 0..3000u64,
        newer_ms in 0..3000u64,
        bound in 1000..12_000u64,
        apart in 0..6000u64,
    ) {
        let older = Remainder { bound: Millis(bound), origin_ms: older_ms };
        let newer = Remainder { bound: Millis(bound + apart), origin_ms: newer_ms };
        let at = Millis(now);
        prop_assert_eq!(idle_without_older(at, older, newer), idle_by_steps(now, older, newer, false));
        prop_assert_eq!(idle_with_older(at, older, newer), idle_by_steps(now, older, newer, true));
    }
}
