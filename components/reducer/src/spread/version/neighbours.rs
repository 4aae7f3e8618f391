//! Who a receiver exchanges chunks with, and what they say of themselves.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use fleet::{Bitmap, InstanceId, Millis, Place};

use super::{Participant, Spread};
use crate::seed::shared_hash;
use crate::spread::neighbour::Neighbour;

/// How long holders have to say what they hold before the origin is asked, in milliseconds.
const HOLDER_GRACE: u64 = 500;

impl Spread {
    /// Takes in who receives or holds the version, and chooses neighbours among them.
    pub fn set_participants(&mut self, now: Millis, participants: &[Participant]) {
        self.part_from_those_down(now, participants);
        let up = participants.iter().filter(|it| it.up);
        self.addresses = up.map(|it| (it.id.clone(), it.address)).collect();
        let holders = participants.iter().any(|it| it.up && it.holds);
        if holders && self.have.count() == 0 && self.neighbours.is_empty() {
            self.origin_not_before = now.plus(HOLDER_GRACE);
        }
        for participant in self.choose(participants) {
            if self.silent.holds(&participant.id) {
                continue;
            }
            self.meet(&participant.id, participant.address, &participant.place);
        }
        for participant in participants {
            if let Some(neighbour) = self.neighbours.get_mut(&participant.id) {
                neighbour.serves = participant.holds;
            }
        }
    }

    /// Drops neighbours that are down or in silent halls, and ranks the others anew where that changed.
    fn part_from_those_down(&mut self, now: Millis, participants: &[Participant]) {
        let down = participants.iter().filter(|it| !it.up).map(|it| it.id.clone());
        let down: BTreeSet<InstanceId> = down.collect();
        participants.iter().for_each(|it| self.silent.learn(&it.id, &it.place.hall));
        let is_over = self.silent.end_late(now);
        if is_over || down != self.down {
            self.down = down;
            self.rank_those_up();
        }
        let (down, silent) = (&self.down, &self.silent);
        self.neighbours.retain(|id, _| !down.contains(id) && !silent.holds(id));
    }

    /// Takes in which chunks a daemon holds.
    pub fn take_summary(
        &mut self,
        now: Millis,
        id: &InstanceId,
        address: SocketAddr,
        place: &Place,
        have: Bitmap,
    ) {
        if !have.is_well_formed(self.manifest.chunks()) {
            return;
        }
        self.silent.learn(id, &place.hall);
        self.note_heard(id);
        self.meet(id, address, place);
        if let Some(neighbour) = self.neighbours.get_mut(id) {
            if have.count() == 0 && self.have.count() > 0 {
                // It has just begun, and what it was told before that is lost.
                neighbour.forget_told();
            }
            neighbour.set_have(have.clone());
        }
        self.note_offers(now, &have);
    }

    /// Takes in which chunks a known neighbour holds.
    pub fn take_holdings(&mut self, now: Millis, id: &InstanceId, have: Bitmap) {
        if !have.is_well_formed(self.manifest.chunks()) {
            return;
        }
        self.note_heard(id);
        if let Some(neighbour) = self.neighbours.get_mut(id) {
            neighbour.set_have(have.clone());
        }
        self.note_offers(now, &have);
    }

    /// Takes in how long a neighbour's upload queue is.
    pub fn take_uploads(&mut self, now: Millis, id: &InstanceId, uploads: u32) {
        if let Some(neighbour) = self.neighbours.get_mut(id) {
            neighbour.set_uploads(now, uploads);
        }
    }

    /// Makes a participant a neighbour, or takes in where it listens now.
    fn meet(&mut self, id: &InstanceId, address: SocketAddr, place: &Place) {
        if id == &self.me {
            return;
        }
        if let Some(known) = self.neighbours.get_mut(id) {
            known.address = address;
            return;
        }
        if self.neighbours.len() < self.options.reach.most {
            let distance = distance(&self.place, place);
            let in_group = self.gate.is_in_group(id);
            let neighbour = Neighbour::new(address, distance, in_group, self.manifest.chunks());
            self.neighbours.insert(id.clone(), neighbour);
        }
    }

    /// A few participants near and a few anywhere. The choice depends on both names, so receivers
    /// choose differently and the whole stays connected.
    fn choose<'a>(&self, participants: &'a [Participant]) -> Vec<&'a Participant> {
        let reach = self.options.reach;
        let mut others: Vec<&Participant> =
            participants.iter().filter(|it| it.up && it.id != self.me).collect();
        others.sort_by_cached_key(|it| shared_hash(&[self.me.0.as_bytes(), it.id.0.as_bytes()]));
        let (near, far): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|it| distance(&self.place, &it.place) == 0);
        let near_count = near.len().min(reach.near.max(reach.chosen.saturating_sub(far.len())));
        let far_count = reach.chosen - near_count.min(reach.chosen);
        near.into_iter().take(near_count).chain(far.into_iter().take(far_count)).collect()
    }
}

/// Zero in the same hall, one in the same region, two beyond.
fn distance(a: &Place, b: &Place) -> u32 {
    if a == b {
        0
    } else if a.region == b.region {
        1
    } else {
        2
    }
}
