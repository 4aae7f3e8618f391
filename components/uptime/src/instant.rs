//! A moment of the boot clock.

use std::ops::{Add, Sub};
use std::sync::LazyLock;
use std::time::Duration;

use nix::time::{clock_gettime, ClockId};

/// Where a process counts from.
struct Basis {
    steady: std::time::Instant,
    /// What the boot clock showed then. `None` where the system has none.
    boot: Option<Duration>,
}

static BASIS: LazyLock<Basis> = LazyLock::new(|| {
    let boot = read_boot_clock();
    if boot.is_none() {
        log::warn!("the system has no boot clock: time stands while the machine is suspended");
    }
    Basis { steady: std::time::Instant::now(), boot }
});

fn read_boot_clock() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).ok().map(Duration::from)
}

/// A moment, from the first look at the clock on. Where the system has no boot clock, of the steady one: then
/// suspensions are not seen, and the log has said so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(Duration);

impl Instant {
    /// Now.
    pub fn now() -> Self {
        let boot = BASIS.boot.and_then(|start| read_boot_clock()?.checked_sub(start));
        Self(boot.unwrap_or_else(steady) + pretended())
    }

    /// The first look at the clock.
    pub(crate) fn start() -> Self {
        Self(Duration::ZERO)
    }

    /// How long ago the moment was, zero if it is still to come.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// How long the moment is after an earlier one, zero if it is not.
    pub fn saturating_duration_since(&self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}

/// What the steady clock shows, from the same moment on.
pub(crate) fn steady() -> Duration {
    BASIS.steady.elapsed()
}

#[cfg(feature = "simulated")]
thread_local! {
    static PRETENDED: std::cell::Cell<Duration> = const { std::cell::Cell::new(Duration::ZERO) };
}

/// Lets this thread's time go on as if the machine had been suspended for so long. For tests.
#[cfg(feature = "simulated")]
pub fn pretend_suspended(span: Duration) {
    PRETENDED.set(PRETENDED.get() + span);
}

#[cfg(feature = "simulated")]
fn pretended() -> Duration {
    PRETENDED.get()
}

#[cfg(not(feature = "simulated"))]
fn pretended() -> Duration {
    Duration::ZERO
}
