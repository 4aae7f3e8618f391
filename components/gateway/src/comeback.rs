//! Computes the retry delay for refused callers.
//!
//! A caller repeats a request once or twice, so a delay that is too short costs it its last
//! attempt. If no runner serves, sidecars report how long that will last. If capacity is short, the
//! duration is unknown: a shortage is expected to last about as long again as it has lasted so far.
//! If runners have a rate limit, the delay is at least the time until the first of them accepts
//! another request.

use fleet::Millis;
use rand::Rng;

use crate::choice::Outlook;

/// The shortest retry delay, in milliseconds: a full runner finishes a few requests in it.
const MIN_AWAY: u64 = 250;
/// The longest retry delay, in milliseconds: a third of a usual deadline. Callers wait no longer.
const MAX_AWAY: u64 = 2000;
/// Time without a refusal after which a shortage is over, in milliseconds.
const SHORTAGE_GAP: u64 = 500;
/// Relative random spread of the retry delay between callers.
const SPREAD: f64 = 0.5;
/// Time over which callers return once runners serve again, in milliseconds. Runners take about as
/// long to process the prompts of all of them.
const RETURN_SPAN: u64 = 900;

/// A shortage of capacity at the runners of one service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Shortage {
    since: Millis,
    /// When a request was last refused.
    refused_at: Millis,
}

impl Shortage {
    /// Whether all refused callers have had time to come back.
    pub(crate) fn is_past(&self, now: Millis) -> bool {
        now.since(self.refused_at).0 > MAX_AWAY + RETURN_SPAN
    }

    /// Records a refusal and returns the retry delay for its caller, in milliseconds. `short_ms` is
    /// how long sidecars report that reservations have been short; a gateway of a large fleet has
    /// too few callers of its own to tell.
    pub(crate) fn refuse(
        &mut self,
        now: Millis,
        random: &mut impl Rng,
        outlook: Outlook,
        short_ms: u64,
    ) -> u64 {
        if now.since(self.refused_at).0 > SHORTAGE_GAP {
            self.since = now;
        }
        self.refused_at = now;
        if let Outlook::ServesIn(left) = outlook {
            return left.max(MIN_AWAY) + random.random_range(0..RETURN_SPAN);
        }
        let turn_in_ms = if let Outlook::Limited(left) = outlook { left } else { 0 };
        let lasted = now.since(self.since).0.max(short_ms);
        let lasted = lasted.clamp(MIN_AWAY, MAX_AWAY) as f64;
        let away = lasted * (1.0 + SPREAD * random.random::<f64>());
        (away.min(MAX_AWAY as f64) as u64).max(turn_in_ms)
    }
}
