//! A point in time of the boot clock.

use std::ops::{Add, Sub};
use std::sync::LazyLock;
use std::time::Duration;

use nix::time::{clock_gettime, ClockId};

/// The clock readings to which all points in time are relative.
struct ClockBase {
    monotonic: std::time::Instant,
    /// The reading of the boot clock at the same time. `None` if the system has no boot clock.
    boot: Option<Duration>,
}

static CLOCK_BASE: LazyLock<ClockBase> = LazyLock::new(|| {
    let boot = read_boot_clock();
    if boot.is_none() {
        log::warn!("the system has no boot clock: time during which the machine is suspended is not measured");
    }
    ClockBase { monotonic: std::time::Instant::now(), boot }
});

fn read_boot_clock() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).ok().map(Duration::from)
}

/// A point in time, relative to the first reading of the clock.
///
/// On a system without a boot clock it is measured with the monotonic clock. Suspensions are not detected then, which
/// is logged as a warning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(Duration);

impl Instant {
    /// Returns the current time.
    pub fn now() -> Self {
        let boot = CLOCK_BASE.boot.and_then(|start| read_boot_clock()?.checked_sub(start));
        Self(boot.unwrap_or_else(monotonic_elapsed) + simulated_suspension())
    }

    /// Returns the time of the first reading of the clock.
    pub(crate) fn start() -> Self {
        Self(Duration::ZERO)
    }

    /// Returns the time since this point, or zero if it is in the future.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// Returns the time from an earlier point to this one, or zero if the other one is later.
    pub fn saturating_duration_since(&self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }
}

/// Returns the time since the first reading of the clock, measured with the monotonic clock.
pub(crate) fn monotonic_elapsed() -> Duration {
    CLOCK_BASE.monotonic.elapsed()
}

#[cfg(feature = "simulated")]
thread_local! {
    static SIMULATED_SUSPENSION: std::cell::Cell<Duration> = const { std::cell::Cell::new(Duration::ZERO) };
}

/// Advances the time of the current thread as if the machine had been suspended for `duration`. For tests.
#[cfg(feature = "simulated")]
pub fn simulate_suspension(duration: Duration) {
    SIMULATED_SUSPENSION.set(SIMULATED_SUSPENSION.get() + duration);
}

#[cfg(feature = "simulated")]
fn simulated_suspension() -> Duration {
    SIMULATED_SUSPENSION.get()
}

#[cfg(not(feature = "simulated"))]
fn simulated_suspension() -> Duration {
    Duration::ZERO
}
