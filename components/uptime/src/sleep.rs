//! Waits that end in time although the machine was suspended meanwhile.

use std::time::Duration;

use async_io::Timer;
use event_listener::Event;
use futures_lite::future;

use crate::instant::Instant;

/// Told when the machine goes on: timers of the system count by the steady clock, which stood.
static RESUMED: Event = Event::new();

/// Has all that sleep look at the time again.
pub(crate) fn wake_all() {
    RESUMED.notify(usize::MAX);
}

/// Waits until a moment.
pub async fn sleep_until(moment: Instant) {
    loop {
        let resumed = RESUMED.listen();
        let left = moment.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        future::or(resumed, async {
            Timer::after(left).await;
        })
        .await;
    }
}

/// Waits for so long.
pub async fn sleep(span: Duration) {
    sleep_until(Instant::now() + span).await;
}
