//! When neighbours are told which chunks are held. Whoever exchanges a chunk is told on the way;
//! summaries are for the others, and the budget goes first to those who know least.

use fleet::{InstanceId, Millis};

use super::{DrawSource, Spread, SpreadEffect};
use crate::spread::gate::first_in_halls;
use crate::spread::neighbour::Neighbour;

/// What a summary costs besides its bitmap, in bytes.
const SUMMARY_BYTES: f64 = 120.0;
/// The part of the control budget that summaries may use.
const SUMMARY_SHARE: f64 = 0.4;
/// How many receivers in each hall are told at once of a chunk that comes from the origin.
const HEIRS_IN_HALL: usize = 2;
/// The shortest time between two summaries to the same neighbour, in milliseconds.
const MIN_SUMMARY_GAP: u64 = 100;
/// Bytes of summaries that may be saved up. A spread starts with them: before its first exchanges
/// nobody knows who holds what, and each summary that is late costs its receiver that time.
pub(super) const SUMMARY_BURST: f64 = 32_000.0;

impl Spread {
    /// Has others told at once of a chunk that has just arrived, where nobody else can. Of one from the origin,
    /// those who draw it into their halls next, and the heirs, who would draw it from the origin once more: two
    /// in each hall. Of one from the origin or another hall, the neighbours in this hall.
    pub(super) fn announce(&mut self, index: u32, source: &DrawSource) {
        let is_new_here = match source {
            DrawSource::Origin => {
                let first = first_in_halls(self.version, index, &self.receivers, HEIRS_IN_HALL);
                let known = first.iter().filter(|id| **id != self.me);
                self.announce_to.extend(known.filter_map(|id| self.addresses.get(id)));
                true
            }
            DrawSource::Peer(id, _) => self.neighbours.get(id).is_some_and(|it| it.distance > 0),
        };
        if is_new_here {
            let near = self.neighbours.values().filter(|it| it.distance == 0 && !it.have.is_full());
            self.announce_to.extend(near.map(|it| it.address));
        }
    }

    /// The summaries that are due, as far as the budget goes.
    pub fn summarize(&mut self, now: Millis) -> Vec<SpreadEffect> {
        self.refill_summaries(now);
        let cost = SUMMARY_BYTES + f64::from(self.manifest.chunks()) / 8.0;
        let held = self.have.count();
        let mut effects = self.announcements(now, cost);
        let is_due = |it: &Neighbour| {
            now.since(it.told_at()) >= Millis(MIN_SUMMARY_GAP) && it.is_behind(held)
        };
        let mut due: Vec<&mut Neighbour> =
            self.neighbours.values_mut().filter(|it| is_due(it)).collect();
        due.sort_by_key(|it| it.told_count());
        for neighbour in due {
            if self.summary_budget < cost.min(SUMMARY_BURST) {
                break;
            }
            self.summary_budget -= cost;
            neighbour.tell(now, held);
            let have = self.have.clone();
            effects.push(SpreadEffect::Summarize { to: neighbour.address, have });
        }
        effects
    }

    /// The summaries that do not wait. They leave nothing of the budget to others, but do not wait for it: each instance draws few chunks from afar.
    fn announcements(&mut self, now: Millis, cost: f64) -> Vec<SpreadEffect> {
        let told = std::mem::take(&mut self.announce_to);
        self.summary_budget = (self.summary_budget - cost * told.len() as f64).max(0.0);
        let held = self.have.count();
        let known = self.neighbours.values_mut().filter(|it| told.contains(&it.address));
        known.for_each(|it| it.tell(now, held));
        let summary = |to| SpreadEffect::Summarize { to, have: self.have.clone() };
        told.into_iter().map(summary).collect()
    }

    /// Notes that a neighbour was told on the way of a chunk.
    pub fn note_told(&mut self, now: Millis, id: &InstanceId) {
        let held = self.have.count();
        if let Some(neighbour) = self.neighbours.get_mut(id) {
            neighbour.tell(now, held);
        }
    }

    fn refill_summaries(&mut self, now: Millis) {
        let rate = SUMMARY_SHARE * self.options.control_bytes_per_s as f64;
        let gained = now.since(self.summary_budget_at).0 as f64 / 1000.0 * rate;
        self.summary_budget = (self.summary_budget + gained).min(SUMMARY_BURST);
        self.summary_budget_at = now;
    }
}

impl Neighbour {
    /// Whether it should be told again: it wants chunks, and more are held than it was told of. The
    /// first summary may be empty: it introduces this receiver, who may not be among those that the
    /// other one chose. One that serves the version hears nothing more: in a large fleet that would use
    /// up the budget that those who draw need.
    fn is_behind(&self, held: u32) -> bool {
        let stranger = self.told_at() == Millis(0);
        let wants = !self.serves && held > self.told_count();
        !self.have.is_full() && (stranger || wants)
    }
}
