//! When a caller that is refused should come back.
//!
//! A caller repeats a request once or twice, so a time that is too short costs it its last try. Where no
//! runner serves, the sidecars tell how long that will last. Where places are short, nobody knows; a
//! shortage that has lasted for a while is expected to last about as long again, and where runners name the rate that
//! they take, until the first of them takes another request at the least.

use fleet::Millis;
use rand::Rng;

use crate::choice::Outlook;

/// The shortest time that a caller is asked to stay away, in milliseconds: a full runner ends a few
/// requests in it.
const MIN_AWAY: u64 = 250;
/// The longest such time, in milliseconds: a third of a usual deadline, and callers wait no longer.
const MAX_AWAY: u64 = 2000;
/// How long without a refusal a shortage is over, in milliseconds.
const SHORTAGE_GAP: u64 = 500;
/// The part of a time by which it differs between callers.
const SPREAD: f64 = 0.5;
/// Over how many milliseconds callers return once runners serve again: runners take about as long to read
/// the prompts of all of them.
const RETURN_SPAN: u64 = 900;

/// A shortage of places at the runners of one service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Shortage {
    since: Millis,
    /// When a request was last refused.
    refused_at: Millis,
}

impl Shortage {
    /// Whether no caller that was refused has yet to come back.
    pub(crate) fn is_past(&self, now: Millis) -> bool {
        now.since(self.refused_at).0 > MAX_AWAY + RETURN_SPAN
    }

    /// Notes a refusal and gives when its caller should come back, in milliseconds.
    /// `short_ms` is for how long sidecars say that places are short: a gateway of a large fleet has few callers of its own
    /// to tell that by.
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
