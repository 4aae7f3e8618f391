//! Halls that have fallen silent: several of their instances did not answer, and nobody there said anything since.
//!
//! The list of instances drops those of a hall without power only after a few heartbeats. Until then their chunks
//! seem to be held, and their turns at the origin theirs.

use std::collections::{BTreeMap, BTreeSet};

use errors::Code;
use fleet::{Hall, InstanceId, Millis};

use super::{Draw, DrawSource, Spread, SpreadEffect};

/// Instances of a hall that have to be silent for the whole hall to be taken for silent. A single one has crashed.
const SILENT_INSTANCES: usize = 2;
/// How long a hall is taken for silent at most, in milliseconds: by then the list has dropped those that
/// are gone.
const SILENT_FOR: u64 = 5000;

/// How long nothing may come before other halls are asked whether they are there, in milliseconds.
const STANDSTILL: u64 = 400;
/// The same, in times that the origin's link takes for a chunk.
const STANDSTILL_CHUNKS: f64 = 10.0;
/// How long an instance that is there takes to answer, in milliseconds.
const ANSWER_PATIENCE: u64 = 600;
/// The same, in times that chunks took lately.
const PATIENT_CHUNKS: f64 = 3.0;
/// The pause between two rounds of such questions, in milliseconds. While the origin is out everyone asks.
const ASK_EVERY: u64 = 300;

/// Which halls are silent.
#[derive(Debug, Default)]
pub(super) struct SilentHalls {
    /// Where everybody stands, as far as known.
    halls: BTreeMap<InstanceId, Hall>,
    /// Who did not answer, in each hall, since anybody there said something.
    unanswered: BTreeMap<Hall, BTreeSet<InstanceId>>,
    /// Until when halls are taken for silent.
    until: BTreeMap<Hall, Millis>,
    /// Nobody is asked before this moment.
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

    /// Whether an instance of some hall did not answer, and nobody there said anything since.
    fn is_in_doubt(&self) -> bool {
        self.unanswered.keys().any(|hall| !self.until.contains_key(hall))
    }

    /// Whether an instance did not answer since its hall was last heard.
    fn is_unanswered(&self, hall: &Hall, id: &InstanceId) -> bool {
        self.unanswered.get(hall).is_some_and(|it| it.contains(id))
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
        if !self.is_in_my_hall(id) && self.silent.note_unanswered(now, id) {
            self.leave_silent_halls(now);
        }
    }

    /// Finds out whether a hall is gone, where nothing comes or an instance there did not answer: draws from other
    /// halls that take too long are given up, and two instances of the hall in which most of what is missing lies,
    /// or is waited for, are asked for it. Nobody else says that a hall is gone: its instances seem to hold chunks,
    /// and their turns at the origin pass. Only where chunks enter halls once: there one instance waits for all.
    pub(super) fn probe_halls(&mut self, now: Millis) -> Vec<SpreadEffect> {
        if self.hall_gate.is_none() {
            return Vec::new();
        }
        let stands_still = self.is_at_a_standstill(now);
        if stands_still {
            self.give_up_late_draws(now);
        }
        if now < self.silent.ask_at || !(stands_still || self.silent.is_in_doubt()) {
            return Vec::new();
        }
        self.silent.ask_at = now.plus(ASK_EVERY);
        let until = now.plus(self.answer_patience());
        let asked = self.whom_to_ask(now);
        let ask = |(index, source)| {
            let draw = Draw { deadline: until, ..self.launch(now, index, source, false) };
            SpreadEffect::Draw(draw)
        };
        asked.into_iter().map(ask).collect()
    }

    /// Whether nothing has come for a while, here or anywhere.
    fn is_at_a_standstill(&self, now: Millis) -> bool {
        let origin = (self.gate_options.chunk_ms * STANDSTILL_CHUNKS) as u64;
        let since = self.news_at.max(self.last_chunk_at);
        now.since(since).0 > STANDSTILL.max(origin).max(self.answer_patience() / 2)
    }

    /// How long an instance that is there takes to answer, in milliseconds.
    fn answer_patience(&self) -> u64 {
        ANSWER_PATIENCE.max((self.chunk_ms * PATIENT_CHUNKS) as u64)
    }

    fn give_up_late_draws(&mut self, now: Millis) {
        let patience = self.answer_patience();
        let late = self.in_flight.iter().filter(|(_, it)| {
            let is_far = matches!(&it.source, DrawSource::Peer(id, _) if !self.is_in_my_hall(id));
            is_far && now.since(it.sent).0 > patience
        });
        let late: Vec<(u32, DrawSource)> =
            late.map(|(index, it)| (*index, it.source.clone())).collect();
        for (index, source) in late {
            self.fail_chunk(now, index, &source, Code::PeerStalled, 0);
        }
    }

    fn is_in_my_hall(&self, id: &InstanceId) -> bool {
        self.silent.halls.get(id) == Some(&self.place.hall)
    }

    /// Whom to ask for what is missing: of the hall in which most of those stand who hold it or, where nobody is known
    /// to, should draw it, two instances that have not failed to answer, those first that are expected to have it.
    fn whom_to_ask(&self, now: Millis) -> Vec<(u32, DrawSource)> {
        let missing = || self.have.missing().filter(|it| !self.in_flight.contains_key(it));
        let mut by_hall: BTreeMap<&Hall, BTreeSet<&InstanceId>> = BTreeMap::new();
        for id in missing().flat_map(|it| self.expected_from(now, it)) {
            if let Some(hall) = self.silent.halls.get(id) {
                by_hall.entry(hall).or_default().insert(id);
            }
        }
        by_hall.remove(&self.place.hall);
        let doubted = |hall: &Hall| self.silent.unanswered.contains_key(hall);
        let most = by_hall.into_iter().max_by_key(|(hall, ids)| (doubted(hall), ids.len()));
        let Some((hall, expected)) = most else {
            return Vec::new();
        };
        let others = self.silent.halls.iter().filter(|(_, it)| *it == hall).map(|(id, _)| id);
        let others = others.filter(|id| !expected.contains(id));
        let all = expected.iter().copied().chain(others);
        let unheard = all.filter(|id| !self.silent.is_unanswered(hall, id));
        let known = unheard.filter_map(|id| {
            let address = self.addresses.get(id)?;
            Some(DrawSource::Peer(id.clone(), *address))
        });
        missing().zip(known).take(SILENT_INSTANCES).collect()
    }

    /// Who holds a chunk or, where nobody does, its owner.
    fn expected_from(&self, now: Millis, index: u32) -> Vec<&InstanceId> {
        let holders = self.neighbours.iter().filter(|(_, it)| it.have.contains(index));
        let asked_again = holders.filter(|(_, it)| now >= it.not_before);
        let holders: Vec<&InstanceId> = asked_again.map(|(id, _)| id).collect();
        if holders.is_empty() {
            return self.gate.owner(index).into_iter().collect();
        }
        holders
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
