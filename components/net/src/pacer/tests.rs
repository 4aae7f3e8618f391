//! Tests of `pacer`.

use super::*;

#[test]
fn can_hold_a_flow_to_its_rate() {
    let pacer = Pacer::new(1000);
    let start = Instant::now();
    pacer.reserve(500);
    let done = pacer.reserve(500);
    let span = done.duration_since(start);
    assert!(span >= Duration::from_millis(970) && span <= Duration::from_millis(1500));
}
