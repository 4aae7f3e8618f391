//! Detection of restarts of a runner.

use fleet::{IncarnationChange, IncarnationReport};

fn report(born: Option<u64>, sequence: u64) -> IncarnationReport {
    IncarnationReport { born, sequence }
}

#[test]
fn later_start_time_is_a_restart_despite_an_equal_order_count() {
    assert_eq!(report(Some(5), 2).compare(report(Some(9), 2)), IncarnationChange::Restarted);
    assert_eq!(report(Some(5), 2).compare(report(Some(5), 3)), IncarnationChange::Same);
}

#[test]
fn report_of_an_earlier_run_is_detected() {
    assert_eq!(report(Some(9), 0).compare(report(Some(5), 7)), IncarnationChange::Earlier);
}

#[test]
fn fewer_orders_without_a_start_time_are_a_restart() {
    assert_eq!(report(None, 2).compare(report(None, 1)), IncarnationChange::Restarted);
    assert_eq!(report(None, 2).compare(report(None, 2)), IncarnationChange::Same);
}

#[test]
fn report_without_a_start_time_after_one_with_it_is_of_an_unknown_run() {
    assert_eq!(report(Some(5), 2).compare(report(None, 0)), IncarnationChange::StartTimeMissing);
}

#[test]
fn first_reported_start_time_begins_another_run() {
    assert_eq!(report(None, 2).compare(report(Some(5), 2)), IncarnationChange::Restarted);
}
