//! Tests of time, sleeps and the detection of suspensions, with simulated suspensions.

use std::time::Duration;

use futures_lite::future::block_on;
use uptime::{simulate_suspension, sleep, Instant, SuspensionDetector};

const LONG_SUSPENSION: Duration = Duration::from_secs(5);

#[test]
fn elapsed_time_includes_a_suspension() {
    let before = Instant::now();
    simulate_suspension(LONG_SUSPENSION);
    assert!(before.elapsed() >= LONG_SUSPENSION);
    assert!(before.elapsed() < LONG_SUSPENSION + Duration::from_secs(1));
}

#[test]
fn a_suspension_is_detected_once_and_a_short_pause_is_not_detected() {
    let mut suspensions = SuspensionDetector::default();
    assert_eq!(suspensions.poll(), None);
    simulate_suspension(Duration::from_millis(50));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(suspensions.poll(), None);
    simulate_suspension(LONG_SUSPENSION);
    assert!(suspensions.poll().is_some_and(|it| it >= LONG_SUSPENSION && it < LONG_SUSPENSION * 2));
    assert_eq!(suspensions.poll(), None);
}

#[test]
fn a_sleep_ends_when_the_machine_resumes_after_its_deadline() {
    let mut suspensions = SuspensionDetector::default();
    let start = std::time::Instant::now();
    block_on(async {
        let sleeping = sleep(LONG_SUSPENSION);
        let resuming = async {
            async_io::Timer::after(Duration::from_millis(20)).await;
            simulate_suspension(LONG_SUSPENSION);
            assert!(suspensions.poll().is_some());
        };
        futures_lite::future::zip(sleeping, resuming).await;
    });
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}

#[test]
fn a_sleep_continues_when_the_machine_resumes_before_its_deadline() {
    let mut suspensions = SuspensionDetector::default();
    let start = std::time::Instant::now();
    block_on(async {
        let sleeping = sleep(LONG_SUSPENSION + Duration::from_millis(300));
        let resuming = async {
            async_io::Timer::after(Duration::from_millis(20)).await;
            simulate_suspension(LONG_SUSPENSION);
            suspensions.poll();
        };
        futures_lite::future::zip(sleeping, resuming).await;
    });
    let took = start.elapsed();
    assert!(took >= Duration::from_millis(290) && took < Duration::from_secs(2), "{took:?}");
}
