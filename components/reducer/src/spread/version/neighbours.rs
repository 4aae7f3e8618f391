//! Selection of the neighbours that a receiver exchanges chunks with, and their reports.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use fleet::{Bitmap, InstanceId, Location, Millis};

use super::{Participant, Spread};
use crate::seed::shared_hash;
use crate::spread::neighbour::Neighbour;

/// How long the holders of a version have to report their chunks before the origin is asked.
const HOLDER_GRACE_MS: u64 = 500;

impl Spread {
    /// Updates which daemons receive or hold the version, and selects neighbours among them.
    pub fn set_participants(&mut self, now: Millis, participants: &[Participant]) {
        self.remove_unavailable(now, participants);
        let up = participants.iter().filter(|it| it.up);
        self.addresses = up.map(|it| (it.id.clone(), it.address)).collect();
        let holders = participants.iter().any(|it| it.up && it.holds);
        if holders && self.have.count() == 0 && self.neighbours.is_empty() {
            self.origin_not_before = now.plus(HOLDER_GRACE_MS);
        }
        for participant in self.select_neighbours(participants) {
            if self.silent_halls.contains(&participant.id) {
                continue;
            }
            self.add_neighbour(&participant.id, participant.address, &participant.place);
        }
        for participant in participants {
            if let Some(neighbour) = self.neighbours.get_mut(&participant.id) {
                neighbour.serves = participant.holds;
            }
        }
    }

    /// Removes neighbours that are down or in silent halls, and ranks the receivers again if their state has
    /// changed.
    fn remove_unavailable(&mut self, now: Millis, participants: &[Participant]) {
        let down = participants.iter().filter(|it| !it.up).map(|it| it.id.clone());
        let down: BTreeSet<InstanceId> = down.collect();
        participants.iter().for_each(|it| self.silent_halls.set_hall(&it.id, &it.place.hall));
        let has_expired = self.silent_halls.expire(now);
        if has_expired || down != self.down {
            self.down = down;
            self.update_ranks();
        }
        let (down, silent_halls) = (&self.down, &self.silent_halls);
        self.neighbours.retain(|id, _| !down.contains(id) && !silent_halls.contains(id));
    }

    /// Handles a report of the chunks that a daemon holds. The daemon becomes a neighbour if there is room.
    pub fn handle_summary(
        &mut self,
        now: Millis,
        id: &InstanceId,
        address: SocketAddr,
        place: &Location,
        have: Bitmap,
    ) {
        if !have.is_well_formed(self.manifest.chunks()) {
            return;
        }
        self.silent_halls.set_hall(id, &place.hall);
        self.record_message(id);
        self.add_neighbour(id, address, place);
        if let Some(neighbour) = self.neighbours.get_mut(id) {
            if have.count() == 0 && self.have.count() > 0 {
                // The neighbour has restarted and lost the summaries that it was sent.
                neighbour.reset_summary();
            }
            neighbour.set_have(have.clone());
        }
        self.handle_offers(now, &have);
    }

    /// Handles a report of the chunks that a known neighbour holds.
    pub fn set_holdings(&mut self, now: Millis, id: &InstanceId, have: Bitmap) {
        if !have.is_well_formed(self.manifest.chunks()) {
            return;
        }
        self.record_message(id);
        if let Some(neighbour) = self.neighbours.get_mut(id) {
            neighbour.set_have(have.clone());
        }
        self.handle_offers(now, &have);
    }

    /// Sets the length of a neighbour's upload queue.
    pub fn set_upload_queue(&mut self, now: Millis, id: &InstanceId, uploads: u32) {
        if let Some(neighbour) = self.neighbours.get_mut(id) {
            neighbour.set_uploads(now, uploads);
        }
    }

    /// Adds a participant as a neighbour, or updates its address.
    fn add_neighbour(&mut self, id: &InstanceId, address: SocketAddr, place: &Location) {
        if id == &self.me {
            return;
        }
        if let Some(known) = self.neighbours.get_mut(id) {
            known.address = address;
            return;
        }
        if self.neighbours.len() < self.options.reach.max {
            let distance = distance(&self.place, place);
            let in_group = self.gate.is_in_group(id);
            let neighbour = Neighbour::new(address, distance, in_group, self.manifest.chunks());
            self.neighbours.insert(id.clone(), neighbour);
        }
    }

    /// Selects some participants in this hall and some elsewhere. The order depends on both ids, so that
    /// receivers select different neighbours and the graph of neighbours stays connected.
    fn select_neighbours<'a>(&self, participants: &'a [Participant]) -> Vec<&'a Participant> {
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

/// 0 in the same hall, 1 in the same region, 2 elsewhere.
fn distance(a: &Location, b: &Location) -> u32 {
    if a == b {
        0
    } else if a.region == b.region {
        1
    } else {
        2
    }
}
