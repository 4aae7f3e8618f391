use super::*;

#[test]
fn reservations_take_as_long_as_the_rate_requires() {
    let pacer = Pacer::new(1000);
    let start = Instant::now();
    pacer.reserve(500);
    let done = pacer.reserve(500);
    let span = done.duration_since(start);
    assert!(span >= Duration::from_millis(970) && span <= Duration::from_millis(1500));
}
