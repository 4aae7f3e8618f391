//! Unit tests for `precedence`.

use proptest::prelude::*;

use super::*;

/// A second version announced two seconds after the first. The origin needs 2.8 s to send a copy of each, and
/// each has its deadline 9.4 s after its announcement.
fn announced_two_seconds_apart(older_ms: u64, newer_ms: u64) -> (RemainingWork, RemainingWork) {
    let older = RemainingWork { deadline: Millis(9400), origin_ms: older_ms };
    let newer = RemainingWork { deadline: Millis(11_400), origin_ms: newer_ms };
    (older, newer)
}

#[test]
fn version_mostly_sent_by_the_origin_is_completed() {
    let (older, newer) = announced_two_seconds_apart(1100, 2800);
    assert!(completes_older(Millis(2000), older, newer));
}

#[test]
fn version_hardly_sent_by_the_origin_is_not_completed_first() {
    let (older, newer) = announced_two_seconds_apart(2400, 2800);
    assert!(!completes_older(Millis(300), older, newer));
}

#[test]
fn version_that_will_be_in_time_is_not_abandoned() {
    let (older, newer) = announced_two_seconds_apart(900, 2800);
    assert!(!abandons_older(Millis(6400), older, newer));
}

/// The older version would be 2.5 s late and then make the newer one 4.3 s late.
#[test]
fn version_that_will_be_too_late_is_abandoned() {
    let (older, newer) = announced_two_seconds_apart(900, 2800);
    assert!(abandons_older(Millis(9000), older, newer));
}

/// Idle time of the runners in milliseconds, counted millisecond by millisecond: each version is served as
/// soon as it is complete, version 1 until the deadline of the older version, the older version until the
/// deadline of the newer one.
fn count_idle_ms(now: u64, older: RemainingWork, newer: RemainingWork, with_older: bool) -> u64 {
    let older_complete_at = now + older.origin_ms + DISTRIBUTION_DELAY_MS;
    let newer_complete_at = if with_older {
        older_complete_at + newer.origin_ms
    } else {
        now + newer.origin_ms + DISTRIBUTION_DELAY_MS
    };
    let is_served = |at: u64| {
        let serves_first = at < older.deadline.0;
        let serves_older = with_older && at >= older_complete_at && at < newer.deadline.0;
        serves_first || serves_older || at >= newer_complete_at
    };
    (now..newer_complete_at.max(older_complete_at)).filter(|at| !is_served(*at)).count() as u64
}

proptest! {
    #[test]
    fn idle_times_equal_a_count_of_every_millisecond(
        now in 0..14_000u64,
        older_ms in 0..3000u64,
        newer_ms in 0..3000u64,
        deadline in 1000..12_000u64,
        deadline_gap in 0..6000u64,
    ) {
        let older = RemainingWork { deadline: Millis(deadline), origin_ms: older_ms };
        let newer = RemainingWork { deadline: Millis(deadline + deadline_gap), origin_ms: newer_ms };
        let at = Millis(now);
        prop_assert_eq!(idle_without_older(at, older, newer), count_idle_ms(now, older, newer, false));
        prop_assert_eq!(idle_with_older(at, older, newer), count_idle_ms(now, older, newer, true));
    }
}
