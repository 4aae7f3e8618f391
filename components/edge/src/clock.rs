//! The time of a process.

use std::time::Duration;

use fleet::Millis;
use uptime::Instant;

/// A clock that counts from the start of the process and never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

/// What the clock shows at the start: moments before it can then be told from zero.
const START_MS: u64 = 1_000_000;

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// The time in milliseconds.
    pub fn now(&self) -> Millis {
        Millis(START_MS + self.start.elapsed().as_millis() as u64)
    }

    /// When a time of this clock comes.
    pub fn instant(&self, at: Millis) -> Instant {
        self.start + Duration::from_millis(at.0.saturating_sub(START_MS))
    }
}
