//! Computes the retry delay for refused callers.
//!
//! A caller repeats a request once or twice, so a delay that is too short costs it its last
//! attempt. If no runner serves, sidecars report how long that will last. If capacity is short, the
//! duration is unknown: a shortage is expected to last about as long again as it has lasted so far.
//! If runners have a rate limit, the delay is at least the time until the first of them accepts
//! another request.

use fleet::Millis;
use rand::Rng;

use crate::choice::Availability;

/// The shortest retry delay, in milliseconds: a full runner finishes a few requests in it.
const MIN_RETRY_DELAY_MS: u64 = 250;
/// The longest retry delay, in milliseconds: a third of a usual deadline. Callers wait no longer.
const MAX_RETRY_DELAY_MS: u64 = 2000;
/// Time without a refusal after which a shortage is over, in milliseconds.
const SHORTAGE_END_MS: u64 = 500;
/// Relative random spread of the retry delay between callers.
const DELAY_SPREAD: f64 = 0.5;
/// Time over which callers return once runners serve again, in milliseconds. Runners take about as
/// long to process the prompts of all of them.
const RETURN_SPREAD_MS: u64 = 900;

/// A shortage of capacity at the runners of one service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Shortage {
    since: Millis,
    /// When a request was last refused.
    refused_at: Millis,
}

impl Shortage {
    /// Whether all refused callers have had time to come back.
    pub(crate) fn is_over(&self, now: Millis) -> bool {
        now.since(self.refused_at).0 > MAX_RETRY_DELAY_MS + RETURN_SPREAD_MS
    }

    /// Records a refusal and returns the retry delay for its caller, in milliseconds. `short_ms` is
    /// how long sidecars report that reservations have been short; a gateway of a large fleet has
    /// too few callers of its own to tell.
    pub(crate) fn note_refusal(
        &mut self,
        now: Millis,
        random: &mut impl Rng,
        availability: Availability,
        short_ms: u64,
    ) -> u64 {
        if now.since(self.refused_at).0 > SHORTAGE_END_MS {
            self.since = now;
        }
        self.refused_at = now;
        if let Availability::ServesIn(left) = availability {
            return left.max(MIN_RETRY_DELAY_MS) + random.random_range(0..RETURN_SPREAD_MS);
        }
        let rate_allows_in_ms =
            if let Availability::Limited(left) = availability { left } else { 0 };
        let duration = now.since(self.since).0.max(short_ms);
        let duration = duration.clamp(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS) as f64;
        let delay = duration * (1.0 + DELAY_SPREAD * random.random::<f64>());
        (delay.min(MAX_RETRY_DELAY_MS as f64) as u64).max(rate_allows_in_ms)
    }
}
