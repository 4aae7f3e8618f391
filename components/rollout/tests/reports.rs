//! When gateways are told of the load of a runner.

use fleet::Millis;
use rollout::{Audience, Reports};

/// How often each audience is told in ten seconds, asked every `step` milliseconds.
fn told(step: u64) -> (u32, u32) {
    let mut reports = Reports::default();
    let (mut hall, mut everyone) = (0, 0);
    for now in (0..10_000).step_by(step as usize) {
        match reports.audience(Millis(now), false) {
            Audience::Nobody => {}
            Audience::Hall => hall += 1,
            Audience::Everyone => everyone += 1,
        }
    }
    (hall, everyone)
}

#[test]
fn gateways_of_other_halls_are_told_a_third_as_often() {
    let (hall, everyone) = told(10);
    let near = hall + everyone;
    assert!((70..=72).contains(&near), "{near}");
    assert!((23..=24).contains(&everyone), "{everyone}");
}

#[test]
fn nobody_waits_longer_than_a_report_counts() {
    // Gateways take a report for a second; one that is lost must not leave them without.
    let (_, everyone) = told(100);
    assert!(everyone >= 20, "{everyone}");
}

#[test]
fn everyone_hears_at_once_that_a_runner_takes_requests_or_does_not() {
    let mut reports = Reports::default();
    assert_eq!(reports.audience(Millis(1000), false), Audience::Everyone);
    assert_eq!(reports.audience(Millis(1001), false), Audience::Nobody);
    assert_eq!(reports.audience(Millis(1002), true), Audience::Everyone);
    assert_eq!(reports.audience(Millis(1150), false), Audience::Hall);
}
