//! When neighbours are told which chunks are held.

use fleet::Millis;

use super::{Spread, SpreadEffect};
use crate::spread::neighbour::Neighbour;

/// What a summary costs besides its bitmap, in bytes.
const SUMMARY_BYTES: f64 = 120.0;
/// The part of the control budget that summaries may use.
const SUMMARY_SHARE: f64 = 0.4;
/// The shortest time between two rounds of summaries, in milliseconds.
const MIN_SUMMARY_GAP: u64 = 100;
/// Bytes of summaries that may be saved up. A spread starts with them: before its first exchanges
/// nobody knows who holds what, and each round that is late costs every receiver that time.
pub(super) const SUMMARY_BURST: f64 = 16_000.0;

impl Spread {
    /// The summaries that are due.
    pub fn summarize(&mut self, now: Millis) -> Vec<SpreadEffect> {
        if !self.unsaid || now < self.next_summary {
            return Vec::new();
        }
        let cost = self.summary_cost();
        self.refill_summaries(now);
        if self.summary_budget < cost.min(SUMMARY_BURST) {
            return Vec::new();
        }
        self.summary_budget -= cost;
        self.unsaid = false;
        self.next_summary = now.plus(MIN_SUMMARY_GAP);
        let have = &self.have;
        let tell = |it: &Neighbour| SpreadEffect::Summarize { to: it.address, have: have.clone() };
        self.neighbours.values().filter(|it| !it.have.is_full()).map(tell).collect()
    }

    /// What a round of summaries costs, in bytes.
    fn summary_cost(&self) -> f64 {
        let bytes = SUMMARY_BYTES + f64::from(self.manifest.chunks()) / 8.0;
        self.neighbours.len() as f64 * bytes
    }

    fn refill_summaries(&mut self, now: Millis) {
        let rate = SUMMARY_SHARE * self.options.control_bytes_per_s as f64;
        let gained = now.since(self.summary_budget_at).0 as f64 / 1000.0 * rate;
        self.summary_budget = (self.summary_budget + gained).min(SUMMARY_BURST);
        self.summary_budget_at = now;
    }
}
