//! The slots of a runner.

use fleet::Millis;
use rollout::RunnerSlots;

fn runner_slots(slots: u32) -> RunnerSlots {
    let mut runner_slots = RunnerSlots::default();
    runner_slots.set_profile(slots, 20.0);
    runner_slots.apply_report(Millis(1_000_000), 0);
    runner_slots
}

#[test]
fn each_slot_is_granted_once() {
    let mut runner_slots = runner_slots(3);
    let granted = (0..10).filter(|_| runner_slots.grant(Millis(1_000_000), 10).is_ok()).count();
    assert_eq!(granted, 3);
}

#[test]
fn request_in_transit_counts_until_a_report_can_include_it() {
    let mut runner_slots = runner_slots(1);
    assert!(runner_slots.grant(Millis(1_000_100), 10).is_ok());
    runner_slots.apply_report(Millis(1_000_105), 0);
    assert!(
        runner_slots.grant(Millis(1_000_106), 10).is_err(),
        "the report is too recent to include it"
    );
    runner_slots.apply_report(Millis(1_000_200), 0);
    assert!(runner_slots.grant(Millis(1_000_201), 10).is_ok(), "it has ended");
}

#[test]
fn prompts_are_sent_no_faster_than_the_runner_processes_them() {
    let mut runner_slots = runner_slots(16);
    let mut tokens = 0;
    for at in 0..1000 {
        runner_slots.apply_report(Millis(1_000_000 + at), 0);
        if runner_slots.grant(Millis(1_000_000 + at), 1000).is_ok() {
            tokens += 1000;
        }
    }
    assert!(
        (17_000..=22_000).contains(&tokens),
        "{tokens} tokens in a second at a limit of 20 per millisecond"
    );
}

#[test]
fn nothing_is_granted_without_a_recent_report() {
    let mut runner_slots = RunnerSlots::default();
    runner_slots.set_profile(4, 20.0);
    assert!(runner_slots.grant(Millis(1_000_000), 10).is_err());
    runner_slots.apply_report(Millis(1_000_000), 0);
    assert!(runner_slots.grant(Millis(1_000_100), 10).is_ok());
    assert!(runner_slots.grant(Millis(1_002_000), 10).is_err());
}
