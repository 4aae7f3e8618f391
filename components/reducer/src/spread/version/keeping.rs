//! What a receiver keeps for others that needs no chunks itself: its share of one copy, and the second copy of
//! chunks whose owners stand in other halls. The loss of a hall leaves each chunk with somebody, also where the
//! origin is out.

use std::collections::BTreeMap;

use fleet::{InstanceId, Millis};

use super::{DrawSource, Spread, SpreadEffect};
use crate::spread::gate::second_of;

/// The pause after the first draw of a second copy that failed, in milliseconds; it doubles with each. The owner may
/// not have its chunk yet, and nothing is in a hurry.
const FIRST_PAUSE: u64 = 100;
/// How often the pause is doubled at most.
const MOST_DOUBLINGS: u32 = 5;

/// The second copies that a receiver keeps.
#[derive(Debug, Default)]
pub(super) struct SecondCopies {
    /// The chunks, each with its owner. `None` until it is asked for, and again when those who are up are others.
    owners: Option<BTreeMap<u32, InstanceId>>,
    /// Draws that failed since the last one that did not.
    failures: u32,
    /// No draw before this moment.
    not_before: Millis,
}

impl SecondCopies {
    /// Others are up now.
    pub(super) fn forget(&mut self) {
        self.owners = None;
    }

    /// A chunk arrived.
    pub(super) fn note_arrival(&mut self, index: u32) {
        if self.is_second(index) {
            self.failures = 0;
        }
    }

    /// A chunk did not arrive.
    pub(super) fn note_failure(&mut self, now: Millis, index: u32) {
        if self.is_second(index) {
            let pause = FIRST_PAUSE << self.failures.min(MOST_DOUBLINGS);
            self.failures += 1;
            self.not_before = now.plus(pause);
        }
    }

    fn is_second(&self, index: u32) -> bool {
        self.owners.as_ref().is_some_and(|it| it.contains_key(&index))
    }
}

impl Spread {
    /// The draws of what this receiver keeps: its share from the origin and, one at a time, second copies from their
    /// owners. The origin is not asked for these: it sends one copy.
    pub fn draw_kept(&mut self, now: Millis) -> Vec<SpreadEffect> {
        let mut effects = self.draw_own(now);
        if self.in_flight() > 0 || now < self.second.not_before {
            return effects;
        }
        if let Some((index, source)) = self.missing_second() {
            effects.push(SpreadEffect::Draw(self.launch(now, index, source, false)));
        }
        effects
    }

    /// A second copy that is missing here, and its owner. Owners drew theirs at different times, and one that has
    /// not got it yet says so: after each failure another one has its turn.
    fn missing_second(&mut self) -> Option<(u32, DrawSource)> {
        self.find_second();
        let owners = self.second.owners.as_ref()?;
        let missing = owners.iter().filter(|(index, _)| {
            !self.have.contains(**index) && !self.in_flight.contains_key(*index)
        });
        let known = missing.filter_map(|(index, owner)| {
            let address = self.addresses.get(owner)?;
            Some((*index, DrawSource::Peer(owner.clone(), *address)))
        });
        let known: Vec<(u32, DrawSource)> = known.collect();
        let turn = self.second.failures as usize % known.len().max(1);
        known.into_iter().nth(turn)
    }

    /// Works out which second copies are this receiver's.
    fn find_second(&mut self) {
        if self.second.owners.is_some() {
            return;
        }
        let up = self.receivers.iter().filter(|(id, _)| !self.down.contains(id));
        let up: Vec<(InstanceId, _)> = up.cloned().collect();
        let me = (self.me.clone(), self.place.hall.clone());
        self.second.owners = Some(second_of(&me, self.version, self.manifest.chunks(), &up));
    }
}
