//! Faults of a service that can be switched while it runs, and its rate limits.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use async_io::Timer;
use http_types::{Response, StatusCode};
use net::Reply;

/// The switches of one service.
#[derive(Default)]
pub struct Faults {
    down: AtomicBool,
    slow_ms: AtomicU64,
    losses: Share,
}

impl Faults {
    /// Takes the service down or up again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// Delays every call.
    pub fn set_slow(&self, delay: Duration) {
        self.slow_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Loses the answers of this share of calls after they took effect.
    pub fn set_lost_percent(&self, percent: u64) {
        self.losses.set_percent(percent);
    }

    /// How many answers were lost.
    pub fn lost(&self) -> u64 {
        self.losses.hits()
    }

    /// Whether the service is down.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    /// Waits as long as a slow spell says.
    pub async fn wait(&self) {
        let delay = self.slow_ms.load(Ordering::Relaxed);
        if delay > 0 {
            Timer::after(Duration::from_millis(delay)).await;
        }
    }

    /// Passes an answer on, or loses it.
    pub fn deliver(&self, response: Response) -> Reply {
        if self.losses.hit() {
            return Reply::HangUp;
        }
        Reply::Answer(response)
    }
}

/// Picks a share of events evenly: at 50 every second one, whatever the seed.
#[derive(Default)]
pub struct Share {
    percent: AtomicU64,
    /// Hundredths of a hit gathered so far.
    gathered: AtomicU64,
    hits: AtomicU64,
}

impl Share {
    /// Sets the share.
    pub fn set_percent(&self, percent: u64) {
        self.percent.store(percent, Ordering::Relaxed);
    }

    /// Whether the next event is picked.
    pub fn hit(&self) -> bool {
        let percent = self.percent.load(Ordering::Relaxed);
        let before = self.gathered.fetch_add(percent, Ordering::Relaxed);
        let hit = before / 100 != (before + percent) / 100;
        self.hits.fetch_add(u64::from(hit), Ordering::Relaxed);
        hit
    }

    /// How many events were picked.
    pub fn hits(&self) -> u64 {
        self.hits.load(Ordering::Relaxed)
    }
}

/// A limit on calls a second.
pub struct Allowance {
    per_second: f64,
    state: Mutex<(f64, Instant)>,
}

impl Allowance {
    /// Allows this many calls a second, and as many at once.
    pub fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self { per_second, state: Mutex::new((per_second, Instant::now())) }
    }

    /// Takes one call, if it is allowed.
    pub fn take(&self) -> bool {
        self.take_at(Instant::now())
    }

    fn take_at(&self, now: Instant) -> bool {
        let mut state = self.state.lock().expect("the lock is never poisoned");
        let refill = now.duration_since(state.1).as_secs_f64() * self.per_second;
        let level = (state.0 + refill).min(self.per_second);
        *state = (if level >= 1.0 { level - 1.0 } else { level }, now);
        level >= 1.0
    }
}

/// An answer without a body.
pub(crate) fn empty(status: StatusCode) -> Response {
    Response::new(status)
}

#[cfg(test)]
mod tests;
