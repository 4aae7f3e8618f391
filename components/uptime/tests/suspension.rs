//! Time, waits and suspensions, with a machine that only seems to be suspended.

use std::time::Duration;

use futures_lite::future::block_on;
use uptime::{pretend_suspended, sleep, Instant, Suspensions};

const LONG: Duration = Duration::from_secs(5);

#[test]
fn what_was_seen_before_a_suspension_is_as_old_as_it_is() {
    let before = Instant::now();
    pretend_suspended(LONG);
    assert!(before.elapsed() >= LONG);
    assert!(before.elapsed() < LONG + Duration::from_secs(1));
}

#[test]
fn a_suspension_is_found_once_and_a_short_pause_is_none() {
    let mut suspensions = Suspensions::default();
    assert_eq!(suspensions.look(), None);
    pretend_suspended(Duration::from_millis(50));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(suspensions.look(), None);
    pretend_suspended(LONG);
    assert!(suspensions.look().is_some_and(|it| it >= LONG && it < LONG * 2));
    assert_eq!(suspensions.look(), None);
}

#[test]
fn whoever_sleeps_wakes_as_the_machine_goes_on() {
    let mut suspensions = Suspensions::default();
    let begun = std::time::Instant::now();
    block_on(async {
        let sleeping = sleep(LONG);
        let going_on = async {
            async_io::Timer::after(Duration::from_millis(20)).await;
            pretend_suspended(LONG);
            assert!(suspensions.look().is_some());
        };
        futures_lite::future::zip(sleeping, going_on).await;
    });
    assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
}

#[test]
fn a_suspension_that_ends_before_its_time_wakes_nobody_for_good() {
    let mut suspensions = Suspensions::default();
    let begun = std::time::Instant::now();
    block_on(async {
        let sleeping = sleep(LONG + Duration::from_millis(300));
        let going_on = async {
            async_io::Timer::after(Duration::from_millis(20)).await;
            pretend_suspended(LONG);
            suspensions.look();
        };
        futures_lite::future::zip(sleeping, going_on).await;
    });
    let took = begun.elapsed();
    assert!(took >= Duration::from_millis(290) && took < Duration::from_secs(2), "{took:?}");
}
