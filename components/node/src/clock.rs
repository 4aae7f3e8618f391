//! The time that reducers are told.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fleet::{Incarnation, Millis};
use uptime::Instant;

/// A clock that starts at the Unix time and then never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix_at_start: Duration,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), unix_at_start: unix }
    }

    /// The moment now, in milliseconds of the Unix epoch.
    pub fn now(&self) -> Millis {
        Millis((self.unix_at_start + self.started.elapsed()).as_millis() as u64)
    }

    /// The moment of the start, which tells this run from others of the same name.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.unix_at_start.as_micros() as u64)
    }

    /// The span from now to a moment.
    pub fn until(&self, moment: Millis) -> Duration {
        Duration::from_millis(moment.since(self.now()).0)
    }
}
