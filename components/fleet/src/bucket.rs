//! A token bucket.

use crate::Millis;

/// A token bucket that refills at a constant rate up to a capacity. It starts empty.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bucket {
    per_s: f64,
    capacity: f64,
    tokens: f64,
    updated_at: Millis,
}

impl Bucket {
    /// Discards all tokens.
    pub fn empty(&mut self, now: Millis) {
        (self.tokens, self.updated_at) = (0.0, now);
    }

    /// Sets the refill rate in tokens per second, and the capacity.
    pub fn set(&mut self, now: Millis, per_s: f64, capacity: f64) {
        (self.tokens, self.updated_at) = (self.tokens(now).min(capacity), now);
        (self.per_s, self.capacity) = (per_s.max(0.0), capacity);
    }

    /// Returns whether a token is available.
    pub fn has_one(&self, now: Millis) -> bool {
        self.tokens(now) >= 1.0
    }

    /// Takes a token if one is available, and returns whether it did.
    pub fn take(&mut self, now: Millis) -> bool {
        let tokens = self.tokens(now);
        if tokens < 1.0 {
            return false;
        }
        (self.tokens, self.updated_at) = (tokens - 1.0, now);
        true
    }

    /// Time until a token is available, in milliseconds. `None` if the rate is zero.
    pub fn ready_in_ms(&self, now: Millis) -> Option<u64> {
        let missing = 1.0 - self.tokens(now);
        if missing <= 0.0 {
            return Some(0);
        }
        (self.per_s > 0.0).then(|| (missing * 1000.0 / self.per_s).ceil() as u64)
    }

    /// Time to refill `units` tokens, in milliseconds. `None` if the rate is zero.
    pub fn refill_ms(&self, units: usize) -> Option<u64> {
        if units == 0 {
            return Some(0);
        }
        (self.per_s > 0.0).then(|| (units as f64 * 1000.0 / self.per_s).ceil() as u64)
    }

    fn tokens(&self, now: Millis) -> f64 {
        let gained = now.since(self.updated_at).0 as f64 * self.per_s / 1000.0;
        (self.tokens + gained).min(self.capacity)
    }
}
