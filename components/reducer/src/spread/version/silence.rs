//! Halls that have fallen silent: several of their instances did not answer, and nobody there said anything since.
//!
//! The list of instances drops those of a hall without power only after a few heartbeats. Until then their chunks
//! seem to be held, and their turns at the origin theirs.

use std::collections::{BTreeMap, BTreeSet};

use errors::Code;
use fleet::{Hall, InstanceId, Millis};

use super::{DrawSource, Spread, SpreadEffect};

/// Instances of a hall that have to be silent for the whole hall to be taken for silent. A single one has crashed.
const SILENT_INSTANCES: usize = 2;
/// How long a hall is taken for silent at most, in milliseconds: by then the list has dropped those that are gone,
/// 3.3 s after they were.
const SILENT_FOR: u64 = 5000;

/// How long nothing new may come anywhere before owners are asked whether they are there, in milliseconds.
const STANDSTILL: u64 = 400;
/// The same, in times that the origin's link takes for a chunk.
const STANDSTILL_CHUNKS: f64 = 10.0;
/// The pause between two rounds of such questions, in milliseconds. While the origin is out everyone asks.
const ASK_EVERY: u64 = 500;

/// Which halls are silent.
#[derive(Debug, Default)]
pub(super) struct SilentHalls {
    /// Where everybody stands, as far as known.
    halls: BTreeMap<InstanceId, Hall>,
    /// Who did not answer, in each hall, since anybody there said something.
    unanswered: BTreeMap<Hall, BTreeSet<InstanceId>>,
    /// Until when halls are taken for silent.
    until: BTreeMap<Hall, Millis>,
    /// Owners are not asked before this moment.
    ask_at: Millis,
}

impl SilentHalls {
    /// Takes in where an instance stands.
    pub(super) fn learn(&mut self, id: &InstanceId, hall: &Hall) {
        if !self.halls.contains_key(id) {
            self.halls.insert(id.clone(), hall.clone());
        }
    }

    /// Whether an instance stands in a silent hall.
    pub(super) fn holds(&self, id: &InstanceId) -> bool {
        self.halls.get(id).is_some_and(|it| self.until.contains_key(it))
    }

    /// An instance said something. Tells whether its hall was silent.
    pub(super) fn note_heard(&mut self, id: &InstanceId) -> bool {
        let Some(hall) = self.halls.get(id) else {
            return false;
        };
        self.unanswered.remove(hall);
        self.until.remove(hall).is_some()
    }

    /// An instance did not answer. Tells whether its hall has fallen silent with that.
    pub(super) fn note_unanswered(&mut self, now: Millis, id: &InstanceId) -> bool {
        let Some(hall) = self.halls.get(id) else {
            return false;
        };
        let unanswered = self.unanswered.entry(hall.clone()).or_default();
        unanswered.insert(id.clone());
        if unanswered.len() < SILENT_INSTANCES || self.until.contains_key(hall) {
            return false;
        }
        self.until.insert(hall.clone(), now.plus(SILENT_FOR));
        true
    }

    /// Ends the silence of halls that it has lasted long enough for. Tells whether there were any.
    pub(super) fn end_late(&mut self, now: Millis) -> bool {
        let before = self.until.len();
        self.until.retain(|_, until| *until > now);
        self.until.len() < before
    }
}

impl Spread {
    /// An instance said something.
    pub(super) fn note_heard(&mut self, id: &InstanceId) {
        if self.silent.note_heard(id) {
            self.rank_those_up();
        }
    }

    /// An instance was asked for a chunk and did not give it. One that says why is there.
    pub(super) fn note_failure_of(&mut self, now: Millis, id: &InstanceId, code: Code) {
        if !matches!(code, Code::Unreachable | Code::PeerStalled) {
            self.note_heard(id);
            return;
        }
        let mine = self.silent.halls.get(id) == Some(&self.place.hall);
        if !mine && self.silent.note_unanswered(now, id) {
            self.leave_silent_halls(now);
        }
    }

    /// Asks the owners of chunks that should have come for them, where nothing comes: two in the hall in which most
    /// of those owners stand. Nobody else says that a hall is gone while the turns of its instances pass. Only where
    /// chunks enter halls once: there owners are waited for.
    pub(super) fn ask_owners(&mut self, now: Millis) -> Vec<SpreadEffect> {
        let chunks = (self.gate_options.chunk_ms * STANDSTILL_CHUNKS) as u64;
        let stands_still = now.since(self.news_at).0 > STANDSTILL.max(chunks);
        if self.hall_gate.is_none() || !stands_still || now < self.silent.ask_at {
            return Vec::new();
        }
        self.silent.ask_at = now.plus(ASK_EVERY);
        let asked = self.owners_to_ask();
        let ask = |(index, source)| SpreadEffect::Draw(self.launch(now, index, source, false));
        asked.into_iter().map(ask).collect()
    }

    /// Chunks that nobody is known to hold with their owners, one for each of two owners in another hall.
    fn owners_to_ask(&self) -> Vec<(u32, DrawSource)> {
        let mut by_hall: BTreeMap<&Hall, BTreeMap<&InstanceId, u32>> = BTreeMap::new();
        for index in self.held_nowhere() {
            let owner = self.gate.owner(index).filter(|_| !self.in_flight.contains_key(&index));
            let hall = owner.and_then(|it| self.silent.halls.get(it));
            if let Some((owner, hall)) = owner.zip(hall.filter(|it| **it != self.place.hall)) {
                by_hall.entry(hall).or_default().entry(owner).or_insert(index);
            }
        }
        let most = by_hall.into_values().max_by_key(BTreeMap::len).unwrap_or_default();
        let known = most.into_iter().filter_map(|(owner, index)| {
            let address = self.addresses.get(owner)?;
            Some((index, DrawSource::Peer(owner.clone(), *address)))
        });
        known.take(SILENT_INSTANCES).collect()
    }

    /// Goes on without the halls that are silent: what only they held has its turn at the origin now.
    fn leave_silent_halls(&mut self, now: Millis) {
        let silent = &self.silent;
        self.neighbours.retain(|id, _| !silent.holds(id));
        self.in_flight.retain(|_, it| match &it.source {
            DrawSource::Peer(id, _) => !silent.holds(id),
            DrawSource::Origin => true,
        });
        self.rank_those_up();
        // That nothing new came says nothing of the origin: nobody asked it.
        self.news_at = now;
        self.restart_turns(now);
    }

    /// Ranks this receiver anew among those that are up and not in a silent hall.
    pub(super) fn rank_those_up(&mut self) {
        let (down, silent) = (&self.down, &self.silent);
        let is_down = |id: &InstanceId| down.contains(id) || silent.holds(id);
        self.gate.set_down(is_down);
        if let Some(gate) = &mut self.hall_gate {
            gate.set_down(is_down);
        }
        self.second.forget();
    }
}
