//! Fault injection and rate limits for the stand-ins.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use async_io::Timer;
use http_types::{Response, StatusCode};
use net::Reply;

/// The injected faults of one service. They can be changed while it runs.
#[derive(Default)]
pub struct Faults {
    down: AtomicBool,
    delay_ms: AtomicU64,
    response_loss: PercentSampler,
}

impl Faults {
    /// Makes the service unavailable or available again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// Delays every call.
    pub fn set_delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Drops the responses to this percentage of calls, after the calls took effect.
    pub fn set_response_loss_percent(&self, percent: u64) {
        self.response_loss.set_percent(percent);
    }

    /// Returns the number of dropped responses.
    pub fn dropped_responses(&self) -> u64 {
        self.response_loss.picked()
    }

    /// Returns whether the service is unavailable.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    /// Waits for the injected delay.
    pub async fn apply_delay(&self) {
        let delay_ms = self.delay_ms.load(Ordering::Relaxed);
        if delay_ms > 0 {
            Timer::after(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Returns a response, or closes the connection if the response is to be dropped.
    pub fn respond(&self, response: Response) -> Reply {
        if self.response_loss.pick() {
            return Reply::CloseConnection;
        }
        Reply::Answer(response)
    }
}

/// Picks a percentage of events at even intervals, such as every second event at 50 percent. It is deterministic and
/// does not depend on a seed.
#[derive(Default)]
pub struct PercentSampler {
    percent: AtomicU64,
    /// The sum of the percentages of all events so far. An event is picked when the sum passes a multiple of 100.
    accumulated: AtomicU64,
    picked: AtomicU64,
}

impl PercentSampler {
    /// Sets the percentage.
    pub fn set_percent(&self, percent: u64) {
        self.percent.store(percent, Ordering::Relaxed);
    }

    /// Counts an event and returns whether it is picked.
    pub fn pick(&self) -> bool {
        let percent = self.percent.load(Ordering::Relaxed);
        let before = self.accumulated.fetch_add(percent, Ordering::Relaxed);
        let is_picked = before / 100 != (before + percent) / 100;
        self.picked.fetch_add(u64::from(is_picked), Ordering::Relaxed);
        is_picked
    }

    /// Returns the number of picked events.
    pub fn picked(&self) -> u64 {
        self.picked.load(Ordering::Relaxed)
    }
}

/// A token bucket that limits the number of calls per second.
pub struct RateLimiter {
    per_second: f64,
    /// The available tokens and the time of the last refill.
    state: Mutex<(f64, Instant)>,
}

impl RateLimiter {
    /// Creates a full bucket that allows this many calls per second and the same number in a burst.
    pub fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self { per_second, state: Mutex::new((per_second, Instant::now())) }
    }

    /// Takes a token for one call. Returns `false` if the call exceeds the limit.
    pub fn try_take(&self) -> bool {
        self.try_take_at(Instant::now())
    }

    fn try_take_at(&self, now: Instant) -> bool {
        let mut state = self.state.lock().expect("the lock is never poisoned");
        let refill = now.duration_since(state.1).as_secs_f64() * self.per_second;
        let tokens = (state.0 + refill).min(self.per_second);
        *state = (if tokens >= 1.0 { tokens - 1.0 } else { tokens }, now);
        tokens >= 1.0
    }
}

/// Returns a response without a body.
pub(crate) fn empty_response(status: StatusCode) -> Response {
    Response::new(status)
}

#[cfg(test)]
mod tests;
