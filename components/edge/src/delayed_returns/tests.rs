//! Tests of rows that come back with a copy of the store.

use fleet::IncarnationReport;
use gateway::RunnerState;

use super::*;

fn row(id: &str) -> Change {
    Change::Runner(RunnerRecord {
        id: id.into(),
        incarnation: IncarnationReport::default(),
        service: "ledger".into(),
        address: ([127, 0, 0, 1], 1).into(),
        hall: "a".into(),
        slots: 4,
        state: RunnerState::Ready,
        weights: None,
        cold_ms: 0,
    })
}

#[test]
fn a_row_that_was_deleted_before_is_delayed_until_it_has_existed_for_a_while() {
    let (mut delayed_returns, now) = (DelayedReturns::default(), Instant::now());
    delayed_returns.record_removed(now, &"r".into());
    assert!(delayed_returns.delay(now, &row("r")));
    assert!(!delayed_returns.delay(now, &row("other")));
    assert_eq!(delayed_returns.time_left(now), Some(RETURN_DELAY));
    assert!(delayed_returns.take_due(now + RETURN_DELAY / 2).is_empty());
    assert_eq!(delayed_returns.take_due(now + RETURN_DELAY).len(), 1);
    assert_eq!(delayed_returns.time_left(now), None);
}

#[test]
fn a_row_that_is_rewritten_or_deleted_again_is_no_longer_delayed() {
    for is_rewritten in [true, false] {
        let (mut delayed_returns, now) = (DelayedReturns::default(), Instant::now());
        delayed_returns.record_removed(now, &"r".into());
        delayed_returns.delay(now, &row("r"));
        match is_rewritten {
            true => delayed_returns.record_listed(&"r".into()),
            false => delayed_returns.record_removed(now, &"r".into()),
        }
        assert!(delayed_returns.take_due(now + RETURN_DELAY).is_empty());
    }
}

#[test]
fn a_row_deleted_before_the_oldest_copy_is_not_delayed() {
    let (mut delayed_returns, now) = (DelayedReturns::default(), Instant::now());
    delayed_returns.record_removed(now, &"r".into());
    assert!(!delayed_returns.delay(now + MAX_COPY_AGE * 2, &row("r")));
}
