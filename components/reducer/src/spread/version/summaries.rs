//! Summaries that inform neighbours of the chunks held here. A neighbour that exchanges a chunk is informed
//! with that message; summaries are for the others, and those with the least information get them first.

use fleet::{InstanceId, Millis};

use super::{FetchSource, Spread, SpreadEffect};
use crate::spread::gate::first_ranked_in_halls;
use crate::spread::neighbour::Neighbour;

/// Size of a summary without its bitmap.
const SUMMARY_OVERHEAD_BYTES: f64 = 120.0;
/// Share of the control bandwidth that summaries may use.
const SUMMARY_SHARE: f64 = 0.4;
/// Number of receivers in each hall that are informed at once of a chunk from the origin.
const ANNOUNCED_PER_HALL: usize = 2;
/// Shortest interval between two summaries to the same neighbour.
const MIN_SUMMARY_INTERVAL_MS: u64 = 100;
/// Largest budget that can accumulate. A spread starts with it: before the first exchanges no receiver knows
/// who holds what, and a late summary delays its receiver.
pub(super) const MAX_SUMMARY_BUDGET_BYTES: f64 = 32_000.0;

impl Spread {
    /// Selects the daemons that are informed at once of a chunk that has just arrived, because nobody else
    /// can inform them. For a chunk from the origin, these are the first two receivers of each hall: they
    /// fetch it into their hall next, or would fetch it from the origin again. For a chunk from the
    /// origin or another hall, these are also the neighbours in this hall.
    pub(super) fn announce(&mut self, index: u32, source: &FetchSource) {
        let is_new_here = match source {
            FetchSource::Origin => {
                let first =
                    first_ranked_in_halls(self.version, index, &self.receivers, ANNOUNCED_PER_HALL);
                let known = first.iter().filter(|id| **id != self.me);
                self.announce_to.extend(known.filter_map(|id| self.addresses.get(id)));
                true
            }
            FetchSource::Peer(id, _) => self.neighbours.get(id).is_some_and(|it| it.distance > 0),
        };
        if is_new_here {
            let near = self.neighbours.values().filter(|it| it.distance == 0 && !it.have.is_full());
            self.announce_to.extend(near.map(|it| it.address));
        }
    }

    /// Returns the summaries that are due, within the budget.
    pub fn summarize(&mut self, now: Millis) -> Vec<SpreadEffect> {
        self.refill_summaries(now);
        let cost = SUMMARY_OVERHEAD_BYTES + f64::from(self.manifest.chunks()) / 8.0;
        let held = self.have.count();
        let mut effects = self.announcements(now, cost);
        let is_due = |it: &Neighbour| {
            now.since(it.summarized_at()) >= Millis(MIN_SUMMARY_INTERVAL_MS)
                && it.needs_summary(held)
        };
        let mut due: Vec<&mut Neighbour> =
            self.neighbours.values_mut().filter(|it| is_due(it)).collect();
        due.sort_by_key(|it| it.summarized_count());
        for neighbour in due {
            if self.summary_budget_bytes < cost.min(MAX_SUMMARY_BUDGET_BYTES) {
                break;
            }
            self.summary_budget_bytes -= cost;
            neighbour.record_summary(now, held);
            let have = self.have.clone();
            effects.push(SpreadEffect::Summarize { to: neighbour.address, have });
        }
        effects
    }

    /// Returns the summaries that are sent at once. They reduce the budget but do not wait for it, because an
    /// instance fetches few chunks from other halls or the origin.
    fn announcements(&mut self, now: Millis, cost: f64) -> Vec<SpreadEffect> {
        let targets = std::mem::take(&mut self.announce_to);
        self.summary_budget_bytes =
            (self.summary_budget_bytes - cost * targets.len() as f64).max(0.0);
        let held = self.have.count();
        let known = self.neighbours.values_mut().filter(|it| targets.contains(&it.address));
        known.for_each(|it| it.record_summary(now, held));
        let summary = |to| SpreadEffect::Summarize { to, have: self.have.clone() };
        targets.into_iter().map(summary).collect()
    }

    /// Records that a neighbour was informed along with a chunk.
    pub fn record_summary(&mut self, now: Millis, id: &InstanceId) {
        let held = self.have.count();
        if let Some(neighbour) = self.neighbours.get_mut(id) {
            neighbour.record_summary(now, held);
        }
    }

    fn refill_summaries(&mut self, now: Millis) {
        let rate = SUMMARY_SHARE * self.options.control_bytes_per_s as f64;
        let gained = now.since(self.summary_budget_at).0 as f64 / 1000.0 * rate;
        self.summary_budget_bytes =
            (self.summary_budget_bytes + gained).min(MAX_SUMMARY_BUDGET_BYTES);
        self.summary_budget_at = now;
    }
}

impl Neighbour {
    /// Whether the neighbour is due for a summary: it needs chunks, and more are held here than it was
    /// informed of. The first summary may be empty. It introduces this receiver, which the neighbour may not
    /// have selected itself. A neighbour that serves the version gets no further ones, which in a large fleet
    /// would use up the budget for those that need chunks.
    fn needs_summary(&self, held: u32) -> bool {
        let is_first = self.summarized_at() == Millis(0);
        let needs_more = !self.serves && held > self.summarized_count();
        !self.have.is_full() && (is_first || needs_more)
    }
}
