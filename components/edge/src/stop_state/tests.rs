//! Tests of `stop_state`.

use super::*;

const DETECTED: Millis = Millis(2600);
const REQUESTS_END: Millis = Millis(7400);

#[test]
fn requests_that_arrive_before_the_stop_is_detected_or_end_in_time_are_not_refused() {
    let stop = StopState::default();
    assert!(!stop.refuses(DETECTED, Millis(u64::MAX)), "there is no stop");
    stop.begin(StopPlan { detected_at: DETECTED, requests_end: REQUESTS_END });
    assert!(!stop.refuses(DETECTED.minus(1), Millis(u64::MAX)));
    assert!(!stop.refuses(DETECTED, REQUESTS_END));
    assert!(stop.refuses(DETECTED, REQUESTS_END.plus(1)));
}
