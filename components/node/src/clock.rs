//! The clock that the reducers use.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fleet::{Incarnation, Millis};
use uptime::Instant;

/// A clock that starts at the Unix time and never runs backwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    unix_at_start: Duration,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        let unix_now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started_at: Instant::now(), unix_at_start: unix_now }
    }

    /// The current time, in milliseconds since the Unix epoch.
    pub fn now(&self) -> Millis {
        Millis((self.unix_at_start + self.started_at.elapsed()).as_millis() as u64)
    }

    /// The start time, which distinguishes this incarnation of the daemon from others with the same name.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.unix_at_start.as_micros() as u64)
    }

    /// The duration from now until `deadline`.
    pub fn time_until(&self, deadline: Millis) -> Duration {
        Duration::from_millis(deadline.since(self.now()).0)
    }
}
