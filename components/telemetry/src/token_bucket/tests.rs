//! Tests of `token_bucket`.

use std::time::{Duration, Instant};

use super::{LineKind, TokenBucket};

const LINES_PER_S: u32 = 100;

/// Takes tokens for lines of a kind until none is available to it, and returns how many were taken.
fn use_up(bucket: &mut TokenBucket, now: Instant, kind: LineKind) -> usize {
    std::iter::repeat_with(|| bucket.try_take(now, kind)).take_while(|taken| *taken).count()
}

#[test]
fn each_kind_leaves_tokens_for_the_next_kind() {
    let now = Instant::now();
    let mut bucket = TokenBucket::new(now, LINES_PER_S);
    assert_eq!(use_up(&mut bucket, now, LineKind::Request), 100);
    assert_eq!(use_up(&mut bucket, now, LineKind::FailedRequest), 60);
    assert_eq!(use_up(&mut bucket, now, LineKind::Process), 40);
}

#[test]
fn constantly_failing_requests_leave_tokens_for_lines_about_the_process() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(start, LINES_PER_S);
    for tenth in 0..300 {
        let now = start + Duration::from_millis(100 * tenth);
        use_up(&mut bucket, now, LineKind::Request);
        use_up(&mut bucket, now, LineKind::FailedRequest);
        assert!(bucket.try_take(now, LineKind::Process), "after {tenth} tenths of a second");
    }
}

#[test]
fn lines_of_all_kinds_together_stay_within_the_rate() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(start, LINES_PER_S);
    let mut lines = 0;
    for tenth in 0..=100 {
        let now = start + Duration::from_millis(100 * tenth);
        for kind in [LineKind::Process, LineKind::FailedRequest, LineKind::Request] {
            lines += use_up(&mut bucket, now, kind);
        }
    }
    assert!((1190..=1200).contains(&lines), "{lines}");
}
