//! Yielding the link to the store to more urgent answers.
//!
//! Gateways of a region share one link to the store. While many runners change, each feed of them gives a large answer,
//! and the answers of all gateways stand in one queue, the configuration behind them. So a process measures how long its
//! answers stood in that queue, by the store's clock, and after a large answer that waited it rests a multiple of the
//! wait before it asks again: the queue stays short however many processes there are and however narrow the link is.

use std::time::Duration;

/// An answer of at least so many bytes takes notable time on a narrow link.
const BULK_BYTES: usize = 32 * 1024;
/// How many times as long as its answer waited a process rests.
const RESTS_PER_DELAY: u32 = 8;
/// How much of a rest the next one is at least, in eighths.
const KEPT_OF_EIGHT: u32 = 7;
/// How long the least delay is remembered at least: clocks drift, and paths change.
const WINDOW: Duration = Duration::from_secs(60);

/// How long answers wait on their way, beyond the quickest of late.
///
/// The two clocks have different starts, so only differences of their difference say anything.
#[derive(Debug, Default)]
struct QueueDelay {
    /// When the current window began, by the clock of this process.
    window_began: Duration,
    /// The least difference of the clocks in the window before, in milliseconds.
    before: Option<i64>,
    /// The least one in the current window.
    current: Option<i64>,
}

impl QueueDelay {
    /// Takes in that an answer came at `now`, which the store gave when its clock showed `clock_ms`.
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

/// How long a process rests between two large answers.
#[derive(Debug)]
pub struct Yielding {
    /// The longest rest. Zero where the table yields to nothing.
    longest: Duration,
    delay: QueueDelay,
    rest: Duration,
}

impl Yielding {
    /// Rests for `longest` at most.
    pub fn new(longest: Duration) -> Self {
        Self { longest, delay: QueueDelay::default(), rest: Duration::ZERO }
    }

    /// Takes in an answer of so many bytes that came at `now`, by the clock of this process. `clock_ms` is what the
    /// store's clock showed when it gave it; without that nothing is known of its way.
    pub fn take(&mut self, now: Duration, clock_ms: Option<u64>, bytes: usize) {
        let delay = clock_ms.map_or(Duration::ZERO, |it| self.delay.take(now, it));
        if bytes < BULK_BYTES {
            self.rest = Duration::ZERO;
            return;
        }
        // A rest that ended at once would let all come back together.
        let kept = self.rest * KEPT_OF_EIGHT / 8;
        self.rest = kept.max(delay * RESTS_PER_DELAY).min(self.longest);
    }

    /// The store came back from an older copy: its clock may be another one.
    pub fn forget(&mut self) {
        self.delay = QueueDelay::default();
    }

    /// How long to rest before the next question.
    pub fn rest(&self) -> Duration {
        self.rest
    }
}

#[cfg(test)]
mod tests;
