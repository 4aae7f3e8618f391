//! Tests of `retry`.

use super::*;

#[test]
fn allows_no_more_than_the_share_in_the_long_run() {
    let mut budget = RetryBudget::new(0.1);
    let mut spent = 0;
    for _ in 0..1000 {
        budget.earn();
        spent += u32::from(budget.spend());
    }
    assert!(spent <= 120, "{spent}");
}
