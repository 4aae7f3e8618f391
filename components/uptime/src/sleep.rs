//! Timers that fire on time even if the machine is suspended while they run.

use std::time::Duration;

use async_io::Timer;
use event_listener::Event;
use futures_lite::future;

use crate::instant::Instant;

/// Notified when the machine has resumed. System timers use the monotonic clock, which stopped during the suspension,
/// so pending ones would fire too late.
static RESUMED: Event = Event::new();

/// Makes all pending sleeps check the time again.
pub(crate) fn wake_all() {
    RESUMED.notify(usize::MAX);
}

/// Waits until a point in time.
pub async fn sleep_until(deadline: Instant) {
    loop {
        let resumed = RESUMED.listen();
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        future::or(resumed, async {
            Timer::after(left).await;
        })
        .await;
    }
}

/// Waits for a duration.
pub async fn sleep(duration: Duration) {
    sleep_until(Instant::now() + duration).await;
}
