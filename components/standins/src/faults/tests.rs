//! Tests of `faults`.

use super::*;

#[test]
fn allows_a_burst_and_then_the_rate() {
    let limiter = RateLimiter::new(100);
    let start = Instant::now();
    let taken = |at: Instant| (0..500).filter(|_| limiter.try_take_at(at)).count();
    assert_eq!(taken(start), 100);
    assert_eq!(taken(start + Duration::from_millis(500)), 50);
    assert_eq!(taken(start + Duration::from_secs(60)), 100);
}

#[test]
fn picks_the_given_percentage_of_events() {
    let sampler = PercentSampler::default();
    sampler.set_percent(30);
    assert_eq!((0..100).filter(|_| sampler.pick()).count(), 30);
}
