//! The monotonic clock of a process.

use std::time::Duration;

use fleet::Millis;
use uptime::Instant;

/// A clock that counts from the start of the process and never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

/// The clock's value at the start. It is not zero, so that times before the start can be told from zero.
const START_MS: u64 = 1_000_000;

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The current time in milliseconds.
    pub fn now(&self) -> Millis {
        Millis(START_MS + self.start.elapsed().as_millis() as u64)
    }

    /// Converts a time of this clock to an instant.
    pub fn instant(&self, at: Millis) -> Instant {
        self.start + Duration::from_millis(at.0.saturating_sub(START_MS))
    }
}
