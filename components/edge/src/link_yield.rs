//! Yields the link to the store to more urgent answers.
//!
//! The gateways of a region share one link to the store. While many runners change, each feed call for them
//! has a large answer, and the answers to all gateways are in one queue, with the configuration behind them.
//! So a process measures the queueing delay of its answers by the store's clock. After a large answer that
//! was delayed it pauses for a multiple of the delay before the next call. This keeps the queue short for any
//! number of processes and any width of the link.

use std::time::Duration;

/// The smallest answer, in bytes, that takes notable time on a narrow link.
const LARGE_ANSWER_BYTES: usize = 32 * 1024;
/// The pause after a large answer, as a multiple of its queueing delay.
const PAUSE_FACTOR: u32 = 8;
/// The smallest ratio of a pause to the previous one, in eighths.
const MIN_PAUSE_RATIO_EIGHTHS: u32 = 7;
/// How long the smallest delay is remembered at least. It expires because clocks drift and paths change.
const DELAY_WINDOW: Duration = Duration::from_secs(60);

/// The queueing delay of answers, relative to the fastest recent answer.
///
/// The two clocks have different starting points, so only changes of their difference are meaningful.
#[derive(Debug, Default)]
struct QueueDelay {
    /// When the current window started, by the process's clock.
    window_start: Duration,
    /// The smallest difference of the clocks in the previous window, in milliseconds.
    previous: Option<i64>,
    /// The smallest difference in the current window, in milliseconds.
    current: Option<i64>,
}

impl QueueDelay {
    /// Records an answer that arrived at `now` and was produced when the store's clock showed `clock_ms`.
    /// Returns its queueing delay.
    fn record(&mut self, now: Duration, clock_ms: u64) -> Duration {
        if now.saturating_sub(self.window_start) >= DELAY_WINDOW {
            self.previous = self.current.take();
            self.window_start = now;
        }
        let difference = now.as_millis() as i64 - clock_ms as i64;
        let current = self.current.map_or(difference, |it| it.min(difference));
        self.current = Some(current);
        let least = self.previous.map_or(current, |it| it.min(current));
        Duration::from_millis((difference - least) as u64)
    }
}

/// The pause between two large answers.
#[derive(Debug)]
pub struct LinkYield {
    /// The longest pause. Zero if the table does not yield the link.
    max_pause: Duration,
    delay: QueueDelay,
    pause: Duration,
}

impl LinkYield {
    /// Creates a state whose pauses last `max_pause` at most.
    pub fn new(max_pause: Duration) -> Self {
        Self { max_pause, delay: QueueDelay::default(), pause: Duration::ZERO }
    }

    /// Records an answer of `bytes` bytes that arrived at `now`, by the process's clock. `clock_ms` is the
    /// store's clock when it was produced; without it the delay is unknown.
    pub fn record_answer(&mut self, now: Duration, clock_ms: Option<u64>, bytes: usize) {
        let delay = clock_ms.map_or(Duration::ZERO, |it| self.delay.record(now, it));
        if bytes < LARGE_ANSWER_BYTES {
            self.pause = Duration::ZERO;
            return;
        }
        // If pauses ended abruptly, all processes would call again at the same time.
        let min_pause = self.pause * MIN_PAUSE_RATIO_EIGHTHS / 8;
        self.pause = min_pause.max(delay * PAUSE_FACTOR).min(self.max_pause);
    }

    /// Discards the measured delays: after a restore from an older copy the store's clock may be another one.
    pub fn reset(&mut self) {
        self.delay = QueueDelay::default();
    }

    /// How long to pause before the next call.
    pub fn pause(&self) -> Duration {
        self.pause
    }
}

#[cfg(test)]
mod tests;
