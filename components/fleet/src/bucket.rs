//! A bucket of what may be used at a rate.

use crate::Millis;

/// Fills at a rate up to a bound, and starts empty.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bucket {
    per_s: f64,
    most: f64,
    held: f64,
    at: Millis,
}

impl Bucket {
    /// Empties it: what was saved up does not count any more.
    pub fn empty(&mut self, now: Millis) {
        (self.held, self.at) = (0.0, now);
    }

    /// Sets how fast it fills, in units a second, and the most that it holds.
    pub fn set(&mut self, now: Millis, per_s: f64, most: f64) {
        (self.held, self.at) = (self.held(now).min(most), now);
        (self.per_s, self.most) = (per_s.max(0.0), most);
    }

    /// Whether it holds a unit.
    pub fn has_one(&self, now: Millis) -> bool {
        self.held(now) >= 1.0
    }

    /// Takes a unit, if it holds one.
    pub fn take(&mut self, now: Millis) -> bool {
        let held = self.held(now);
        if held < 1.0 {
            return false;
        }
        (self.held, self.at) = (held - 1.0, now);
        true
    }

    /// In how many milliseconds it holds a unit. `None` if it never does.
    pub fn ready_in_ms(&self, now: Millis) -> Option<u64> {
        let missing = 1.0 - self.held(now);
        if missing <= 0.0 {
            return Some(0);
        }
        (self.per_s > 0.0).then(|| (missing * 1000.0 / self.per_s).ceil() as u64)
    }

    /// How many milliseconds so many units take. `None` if they never come.
    pub fn refill_ms(&self, units: usize) -> Option<u64> {
        if units == 0 {
            return Some(0);
        }
        (self.per_s > 0.0).then(|| (units as f64 * 1000.0 / self.per_s).ceil() as u64)
    }

    fn held(&self, now: Millis) -> f64 {
        let gained = now.since(self.at).0 as f64 * self.per_s / 1000.0;
        (self.held + gained).min(self.most)
    }
}
