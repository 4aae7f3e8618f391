//! Suspensions of the machine, found by two clocks that part.

use std::time::Duration;

use crate::instant::{steady, Instant};
use crate::sleep;

/// The least time that counts as a suspension: two clocks are read one after the other, and a process may lose the
/// processor between.
const SHORTEST: Duration = Duration::from_millis(200);

/// Finds suspensions. Whoever looks several times a second finds them as the machine goes on.
#[derive(Debug)]
pub struct Suspensions {
    /// How far the boot clock was ahead of the steady one.
    ahead: Duration,
}

impl Default for Suspensions {
    fn default() -> Self {
        Self { ahead: ahead() }
    }
}

impl Suspensions {
    /// How long the machine was suspended since the last look, if it was. All that sleep look at the time again.
    pub fn look(&mut self) -> Option<Duration> {
        let span = ahead().checked_sub(self.ahead).filter(|it| *it >= SHORTEST)?;
        self.ahead += span;
        sleep::wake_all();
        Some(span)
    }
}

fn ahead() -> Duration {
    // The steady clock first: what passes between the two readings does not look like less than nothing.
    let steady = steady();
    Instant::now().saturating_duration_since(Instant::start() + steady)
}
