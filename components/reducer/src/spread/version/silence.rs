//! Detection of silent halls: several instances of the hall did not answer, and nothing was received from the
//! hall since.
//!
//! The list of instances removes those of a hall that has lost power only after they have missed several
//! heartbeats. Until then they seem to hold their chunks and to own their scheduled times at the origin.

use std::collections::{BTreeMap, BTreeSet};

use errors::Code;
use fleet::{Hall, InstanceId, Millis};

use super::{Fetch, FetchSource, Spread, SpreadEffect};

/// Number of instances that must not answer for their hall to count as silent. A single one may have crashed.
const MIN_SILENT_INSTANCES: usize = 2;
/// Longest time for which a hall counts as silent. By then the list no longer contains the instances that are
/// gone.
const MAX_SILENCE_MS: u64 = 5000;

/// Shortest time without any arriving chunk after which instances of other halls are probed.
const STALL_MS: u64 = 400;
/// The same time as a multiple of the time that the origin's link takes for a chunk.
const STALL_CHUNKS: f64 = 10.0;
/// Shortest time that an instance gets to answer.
const ANSWER_TIMEOUT_MS: u64 = 600;
/// The same time as a multiple of the average time of a chunk.
const ANSWER_TIMEOUT_CHUNKS: f64 = 3.0;
/// Interval between two rounds of probes. While the origin is unavailable, every receiver probes.
const PROBE_INTERVAL_MS: u64 = 300;

/// The halls that do not respond.
#[derive(Debug, Default)]
pub(super) struct SilentHalls {
    /// The hall of each instance, as far as known.
    halls: BTreeMap<InstanceId, Hall>,
    /// For each hall, the instances that did not answer since anything was last received from the hall.
    unanswered: BTreeMap<Hall, BTreeSet<InstanceId>>,
    /// The silent halls, and until when they count as silent.
    silent_until: BTreeMap<Hall, Millis>,
    /// No probe is sent before this time.
    next_probe_at: Millis,
}

impl SilentHalls {
    /// Records the hall of an instance.
    pub(super) fn set_hall(&mut self, id: &InstanceId, hall: &Hall) {
        if !self.halls.contains_key(id) {
            self.halls.insert(id.clone(), hall.clone());
        }
    }

    /// Whether an instance is in a silent hall.
    pub(super) fn contains(&self, id: &InstanceId) -> bool {
        self.halls.get(id).is_some_and(|it| self.silent_until.contains_key(it))
    }

    /// Whether an instance did not answer and nothing was received from its hall since, for a hall that is
    /// not silent yet.
    fn has_unanswered(&self) -> bool {
        self.unanswered.keys().any(|hall| !self.silent_until.contains_key(hall))
    }

    /// Whether an instance did not answer since anything was last received from its hall.
    fn is_unanswered(&self, hall: &Hall, id: &InstanceId) -> bool {
        self.unanswered.get(hall).is_some_and(|it| it.contains(id))
    }

    /// Records that something was received from an instance. Returns whether its hall was silent.
    pub(super) fn record_message(&mut self, id: &InstanceId) -> bool {
        let Some(hall) = self.halls.get(id) else {
            return false;
        };
        self.unanswered.remove(hall);
        self.silent_until.remove(hall).is_some()
    }

    /// Records that an instance did not answer. Returns whether this makes its hall silent.
    pub(super) fn record_unanswered(&mut self, now: Millis, id: &InstanceId) -> bool {
        let Some(hall) = self.halls.get(id) else {
            return false;
        };
        let unanswered = self.unanswered.entry(hall.clone()).or_default();
        unanswered.insert(id.clone());
        if unanswered.len() < MIN_SILENT_INSTANCES || self.silent_until.contains_key(hall) {
            return false;
        }
        self.silent_until.insert(hall.clone(), now.plus(MAX_SILENCE_MS));
        true
    }

    /// Ends the silence of halls for which `MAX_SILENCE_MS` has passed. Returns whether there were any.
    pub(super) fn expire(&mut self, now: Millis) -> bool {
        let before = self.silent_until.len();
        self.silent_until.retain(|_, silent_until| *silent_until > now);
        self.silent_until.len() < before
    }
}

impl Spread {
    /// Records that something was received from an instance.
    pub(super) fn record_message(&mut self, id: &InstanceId) {
        if self.silent_halls.record_message(id) {
            self.update_ranks();
        }
    }

    /// Records that an instance did not send a requested chunk. One that answers with a reason is alive.
    pub(super) fn record_failure_of(&mut self, now: Millis, id: &InstanceId, code: Code) {
        if !matches!(code, Code::Unreachable | Code::PeerStalled) {
            self.record_message(id);
            return;
        }
        if !self.is_in_my_hall(id) && self.silent_halls.record_unanswered(now, id) {
            self.exclude_silent_halls(now);
        }
    }

    /// Probes whether another hall is still reachable, if no chunk arrives or an instance of the hall did not
    /// answer. Fetches from other halls that take too long fail. Two instances of the hall that holds, or
    /// is to fetch, most of the missing chunks are asked for some. Nothing else reports the loss of a
    /// hall: its instances seem to hold chunks, and their scheduled times at the origin pass. Needed only if
    /// each chunk enters a hall once, because all receivers of the hall then wait for one instance.
    pub(super) fn probe_halls(&mut self, now: Millis) -> Vec<SpreadEffect> {
        if self.hall_gate.is_none() {
            return Vec::new();
        }
        let is_stalled = self.is_stalled(now);
        if is_stalled {
            self.fail_late_fetches(now);
        }
        if now < self.silent_halls.next_probe_at
            || !(is_stalled || self.silent_halls.has_unanswered())
        {
            return Vec::new();
        }
        self.silent_halls.next_probe_at = now.plus(PROBE_INTERVAL_MS);
        let answer_by = now.plus(self.answer_timeout_ms());
        let probes = self.select_probes(now);
        let start_probe = |(index, source)| {
            let fetch =
                Fetch { deadline: answer_by, ..self.start_fetch(now, index, source, false) };
            SpreadEffect::Fetch(fetch)
        };
        probes.into_iter().map(start_probe).collect()
    }

    /// Whether no new chunk has been received or reported for a while.
    fn is_stalled(&self, now: Millis) -> bool {
        let origin = (self.gate_options.chunk_ms * STALL_CHUNKS) as u64;
        let since = self.last_new_chunk_at.max(self.last_chunk_at);
        now.since(since).0 > STALL_MS.max(origin).max(self.answer_timeout_ms() / 2)
    }

    /// How long an instance gets to answer, in milliseconds.
    fn answer_timeout_ms(&self) -> u64 {
        ANSWER_TIMEOUT_MS.max((self.chunk_ms * ANSWER_TIMEOUT_CHUNKS) as u64)
    }

    fn fail_late_fetches(&mut self, now: Millis) {
        let timeout_ms = self.answer_timeout_ms();
        let late = self.in_flight.iter().filter(|(_, it)| {
            let is_far = matches!(&it.source, FetchSource::Peer(id, _) if !self.is_in_my_hall(id));
            is_far && now.since(it.sent).0 > timeout_ms
        });
        let late: Vec<(u32, FetchSource)> =
            late.map(|(index, it)| (*index, it.source.clone())).collect();
        for (index, source) in late {
            self.fail_chunk(now, index, &source, Code::PeerStalled, 0);
        }
    }

    fn is_in_my_hall(&self, id: &InstanceId) -> bool {
        self.silent_halls.halls.get(id) == Some(&self.place.hall)
    }

    /// The instances to probe, and the chunks to request from them. Of the hall with the most instances that
    /// hold a missing chunk or own one that nobody holds, two that have not failed to answer, those first
    /// that are expected to hold a chunk. Halls with instances that did not answer come first.
    fn select_probes(&self, now: Millis) -> Vec<(u32, FetchSource)> {
        let missing = || self.have.missing().filter(|it| !self.in_flight.contains_key(it));
        let mut by_hall: BTreeMap<&Hall, BTreeSet<&InstanceId>> = BTreeMap::new();
        for id in missing().flat_map(|it| self.likely_holders(now, it)) {
            if let Some(hall) = self.silent_halls.halls.get(id) {
                by_hall.entry(hall).or_default().insert(id);
            }
        }
        by_hall.remove(&self.place.hall);
        let has_unanswered_instances =
            |hall: &Hall| self.silent_halls.unanswered.contains_key(hall);
        let largest = by_hall
            .into_iter()
            .max_by_key(|(hall, ids)| (has_unanswered_instances(hall), ids.len()));
        let Some((hall, expected)) = largest else {
            return Vec::new();
        };
        let others = self.silent_halls.halls.iter().filter(|(_, it)| *it == hall).map(|(id, _)| id);
        let others = others.filter(|id| !expected.contains(id));
        let all = expected.iter().copied().chain(others);
        let responsive = all.filter(|id| !self.silent_halls.is_unanswered(hall, id));
        let known = responsive.filter_map(|id| {
            let address = self.addresses.get(id)?;
            Some(FetchSource::Peer(id.clone(), *address))
        });
        missing().zip(known).take(MIN_SILENT_INSTANCES).collect()
    }

    /// The neighbours that hold a chunk or, if there are none, its owner.
    fn likely_holders(&self, now: Millis, index: u32) -> Vec<&InstanceId> {
        let holders = self.neighbours.iter().filter(|(_, it)| it.have.contains(index));
        let available = holders.filter(|(_, it)| now >= it.not_before);
        let holders: Vec<&InstanceId> = available.map(|(id, _)| id).collect();
        if holders.is_empty() {
            return self.gate.owner(index).into_iter().collect();
        }
        holders
    }

    /// Removes the instances of silent halls from the neighbours and the ranking. The chunks that only they
    /// held are scheduled at the origin again.
    fn exclude_silent_halls(&mut self, now: Millis) {
        let silent_halls = &self.silent_halls;
        self.neighbours.retain(|id, _| !silent_halls.contains(id));
        self.in_flight.retain(|_, it| match &it.source {
            FetchSource::Peer(id, _) => !silent_halls.contains(id),
            FetchSource::Origin => true,
        });
        self.update_ranks();
        // That no new chunk arrived does not show that the origin is unavailable, because nobody asked it.
        self.last_new_chunk_at = now;
        self.restart_schedule(now);
    }

    /// Ranks this receiver again among those that are up and not in a silent hall.
    pub(super) fn update_ranks(&mut self) {
        let (down, silent_halls) = (&self.down, &self.silent_halls);
        let is_down = |id: &InstanceId| down.contains(id) || silent_halls.contains(id);
        self.gate.set_down(is_down);
        if let Some(gate) = &mut self.hall_gate {
            gate.set_down(is_down);
        }
        self.second_copies.reset_owners();
    }
}
