//! Detects suspensions of the machine by comparing the boot clock with the monotonic clock.

use std::time::Duration;

use crate::instant::{monotonic_elapsed, Instant};
use crate::sleep;

/// Minimum difference that counts as a suspension. The two clocks are read one after the other, and the process may be
/// preempted in between.
const MIN_SUSPENSION: Duration = Duration::from_millis(200);

/// Detects suspensions. A caller that polls several times per second detects a suspension as soon as the machine
/// resumes.
#[derive(Debug)]
pub struct SuspensionDetector {
    /// How far the boot clock was ahead of the monotonic clock at the last poll.
    boot_clock_lead: Duration,
}

impl Default for SuspensionDetector {
    fn default() -> Self {
        Self { boot_clock_lead: boot_clock_lead() }
    }
}

impl SuspensionDetector {
    /// Returns how long the machine was suspended since the last call, if it was. In this case, all pending sleeps
    /// check the time again.
    pub fn poll(&mut self) -> Option<Duration> {
        let suspended = boot_clock_lead()
            .checked_sub(self.boot_clock_lead)
            .filter(|it| *it >= MIN_SUSPENSION)?;
        self.boot_clock_lead += suspended;
        sleep::wake_all();
        Some(suspended)
    }
}

fn boot_clock_lead() -> Duration {
    // The monotonic clock is read first, so that time passing between the two readings cannot make the difference
    // negative.
    let monotonic = monotonic_elapsed();
    Instant::now().saturating_duration_since(Instant::start() + monotonic)
}
