use super::*;

#[test]
fn long_run_retries_stay_within_the_share() {
    let mut budget = RetryBudget::new(0.1);
    let mut spent = 0;
    for _ in 0..1000 {
        budget.record_first_attempt();
        spent += u32::from(budget.take_retry());
    }
    assert!(spent <= 120, "{spent}");
}
