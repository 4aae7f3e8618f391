use std::time::{Duration, Instant};

use super::{Allowance, LineKind};

const PER_S: u32 = 100;

/// Takes lines of a kind until there are no more, and gives how many.
fn use_up(allowance: &mut Allowance, now: Instant, kind: LineKind) -> usize {
    std::iter::repeat_with(|| allowance.take(now, kind)).take_while(|taken| *taken).count()
}

#[test]
fn each_kind_leaves_lines_to_the_next() {
    let now = Instant::now();
    let mut allowance = Allowance::new(now, PER_S);
    assert_eq!(use_up(&mut allowance, now, LineKind::Request), 100);
    assert_eq!(use_up(&mut allowance, now, LineKind::FailedRequest), 60);
    assert_eq!(use_up(&mut allowance, now, LineKind::Process), 40);
}

#[test]
fn requests_that_fail_all_the_time_leave_lines_to_what_the_process_knows() {
    let start = Instant::now();
    let mut allowance = Allowance::new(start, PER_S);
    for tenth in 0..300 {
        let now = start + Duration::from_millis(100 * tenth);
        use_up(&mut allowance, now, LineKind::Request);
        use_up(&mut allowance, now, LineKind::FailedRequest);
        assert!(allowance.take(now, LineKind::Process), "after {tenth} tenths of a second");
    }
}

#[test]
fn no_more_lines_are_written_than_are_allowed_whatever_they_tell_of() {
    let start = Instant::now();
    let mut allowance = Allowance::new(start, PER_S);
    let mut lines = 0;
    for tenth in 0..=100 {
        let now = start + Duration::from_millis(100 * tenth);
        for kind in [LineKind::Process, LineKind::FailedRequest, LineKind::Request] {
            lines += use_up(&mut allowance, now, kind);
        }
    }
    assert!((1190..=1200).contains(&lines), "{lines}");
}
