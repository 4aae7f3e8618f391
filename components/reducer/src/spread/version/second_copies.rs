//! The chunks that a receiver holds for others although it needs none itself: its share of one copy, and the
//! second copy of chunks whose owners are in other halls. Every chunk survives the loss of a hall, even if
//! the origin is unavailable.

use std::collections::BTreeMap;

use fleet::{InstanceId, Millis};

use super::{FetchSource, Spread, SpreadEffect};
use crate::spread::gate::second_copies_of;

/// Delay after the first failed fetch of a second copy; it doubles with each further failure. The owner
/// may not have the chunk yet, and second copies are not urgent.
const FIRST_RETRY_DELAY_MS: u64 = 100;
/// Most doublings of the delay.
const MAX_DOUBLINGS: u32 = 5;

/// The second copies that a receiver holds.
#[derive(Debug, Default)]
pub(super) struct SecondCopies {
    /// The chunks with their owners. `None` if they have to be computed, initially and after the set of
    /// available receivers has changed.
    owners: Option<BTreeMap<u32, InstanceId>>,
    /// Consecutive failed fetches.
    failures: u32,
    /// No fetch starts before this time.
    not_before: Millis,
}

impl SecondCopies {
    /// Discards the owners because the set of available receivers has changed.
    pub(super) fn reset_owners(&mut self) {
        self.owners = None;
    }

    /// Handles the arrival of a chunk.
    pub(super) fn handle_arrival(&mut self, index: u32) {
        if self.is_second_copy(index) {
            self.failures = 0;
        }
    }

    /// Handles the failure of a fetch.
    pub(super) fn handle_failure(&mut self, now: Millis, index: u32) {
        if self.is_second_copy(index) {
            let delay = FIRST_RETRY_DELAY_MS << self.failures.min(MAX_DOUBLINGS);
            self.failures += 1;
            self.not_before = now.plus(delay);
        }
    }

    fn is_second_copy(&self, index: u32) -> bool {
        self.owners.as_ref().is_some_and(|it| it.contains_key(&index))
    }
}

impl Spread {
    /// Returns the fetches of the chunks to hold for others: this receiver's share from the origin and, one
    /// at a time, second copies from their owners. Second copies are not fetched from the origin, which
    /// sends one copy.
    pub fn fetch_for_others(&mut self, now: Millis) -> Vec<SpreadEffect> {
        let mut effects = self.fetch_own_share(now);
        if self.in_flight() > 0 || now < self.second_copies.not_before {
            return effects;
        }
        if let Some((index, source)) = self.missing_second_copy() {
            effects.push(SpreadEffect::Fetch(self.start_fetch(now, index, source, false)));
        }
        effects
    }

    /// A second copy that is missing here, and its owner. Owners fetch their chunks at different times and
    /// refuse a request for one that they do not have yet, so each failure moves on to the next missing copy.
    fn missing_second_copy(&mut self) -> Option<(u32, FetchSource)> {
        self.compute_second_copies();
        let owners = self.second_copies.owners.as_ref()?;
        let missing = owners.iter().filter(|(index, _)| {
            !self.have.contains(**index) && !self.in_flight.contains_key(*index)
        });
        let known = missing.filter_map(|(index, owner)| {
            let address = self.addresses.get(owner)?;
            Some((*index, FetchSource::Peer(owner.clone(), *address)))
        });
        let known: Vec<(u32, FetchSource)> = known.collect();
        let position = self.second_copies.failures as usize % known.len().max(1);
        known.into_iter().nth(position)
    }

    /// Computes which second copies this receiver holds.
    fn compute_second_copies(&mut self) {
        if self.second_copies.owners.is_some() {
            return;
        }
        let up = self.receivers.iter().filter(|(id, _)| !self.down.contains(id));
        let up: Vec<(InstanceId, _)> = up.cloned().collect();
        let me = (self.me.clone(), self.place.hall.clone());
        self.second_copies.owners =
            Some(second_copies_of(&me, self.version, self.manifest.chunks(), &up));
    }
}
