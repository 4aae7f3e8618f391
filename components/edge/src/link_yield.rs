//! Yields the link to the store to more urgent answers.
//!
//! The gateways of a region share one link to the store. While many runners change, each feed call for them
//! has a large answer, and the answers to all gateways are in one queue, with the configuration behind them.
//! So a process measures the queueing delay of its answers by the store's clock. After a large answer that
//! was delayed it pauses for a multiple of the delay before the next call. This keeps the queue short for any
//! number of processes and any width of the link.

use std::time::Duration;

/// The smallest answer, in bytes, that takes notable time on a narrow link.
const BULK_BYTES: usize = 32 * 1024;
/// The pause after a large answer, as a multiple of its queueing delay.
const RESTS_PER_DELAY: u32 = 8;
/// The smallest ratio of a pause to the previous one, in eighths.
const KEPT_OF_EIGHT: u32 = 7;
/// How long the smallest delay is remembered at least. It expires because clocks drift and paths change.
const WINDOW: Duration = Duration::from_secs(60);

/// The queueing delay of answers, relative to the fastest recent answer.
///
/// The two clocks have different starting points, so only changes of their difference are meaningful.
#[derive(Debug, Default)]
struct QueueDelay {
    /// When the current window started, by the process's clock.
    window_began: Duration,
    /// The smallest difference of the clocks in the previous window, in milliseconds.
    before: Option<i64>,
    /// The smallest difference in the current window, in milliseconds.
    current: Option<i64>,
}

impl QueueDelay {
    /// Records an answer that arrived at `now` and was produced when the store's clock showed `clock_ms`.
    /// Returns its queueing delay.
    fn take(&mut self, now: Duration, clock_ms: u64) -> Duration {
        if now.saturating_sub(self.window_began) >= WINDOW {
            self.before = self.current.take();
            self.window_began = now;
        }
        let difference = now.as_millis() as i64 - clock_ms as i64;
        let current = self.current.map_or(difference, |it| it.min(difference));
        self.current = Some(current);
        let least = self.before.map_or(current, |it| it.min(current));
        Duration::from_millis((difference - least) as u64)
    }
}

/// The pause between two large answers.
#[derive(Debug)]
pub struct LinkYield {
    /// The longest pause. Zero if the table does not yield the link.
    longest: Duration,
    delay: QueueDelay,
    rest: Duration,
}

impl LinkYield {
    /// Creates a state whose pauses last `max_pause` at most.
    pub fn new(longest: Duration) -> Self {
        Self { longest, delay: QueueDelay::default(), rest: Duration::ZERO }
    }

    /// Records an answer of `bytes` bytes that arrived at `now`, by the process's clock. `clock_ms` is the
    /// store's clock when it was produced; without it the delay is unknown.
    pub fn take(&mut self, now: Duration, clock_ms: Option<u64>, bytes: usize) {
        let delay = clock_ms.map_or(Duration::ZERO, |it| self.delay.take(now, it));
        if bytes < BULK_BYTES {
            self.rest = Duration::ZERO;
            return;
        }
        // If pauses ended abruptly, all processes would call again at the same time.
        let kept = self.rest * KEPT_OF_EIGHT / 8;
        self.rest = kept.max(delay * RESTS_PER_DELAY).min(self.longest);
    }

    /// Discards the measured delays: after a restore from an older copy the store's clock may be another one.
    pub fn forget(&mut self) {
        self.delay = QueueDelay::default();
    }

    /// How long to pause before the next call.
    pub fn rest(&self) -> Duration {
        self.rest
    }
}

#[cfg(test)]
mod tests;
