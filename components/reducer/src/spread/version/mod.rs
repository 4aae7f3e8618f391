//! The spread of one version at one receiver.

mod arrivals;
mod neighbours;
mod origin;
mod second_copies;
mod silence;
mod strategy;
mod summaries;
mod types;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use fleet::{Bitmap, Hall, InstanceId, Location, Manifest, Millis, VersionId};

use self::second_copies::SecondCopies;
use self::silence::SilentHalls;
use self::summaries::MAX_SUMMARY_BUDGET_BYTES;
pub use self::types::{
    Fetch, FetchSource, FetchStrategy, NeighbourLimits, OriginShare, Participant, SpreadEffect,
    SpreadOptions, SpreadPhase,
};
use super::gate::{Gate, GateOptions};
use super::neighbour::Neighbour;

/// A chunk that is being fetched.
#[derive(Clone, Debug)]
struct PendingFetch {
    source: FetchSource,
    sent: Millis,
}

/// The distribution of one version, as seen by one receiver.
pub struct Spread {
    /// The version.
    pub version: VersionId,
    /// Its manifest.
    pub manifest: Arc<Manifest>,
    me: InstanceId,
    place: Location,
    options: SpreadOptions,
    /// The receivers of the version, as far as known.
    receivers: Vec<(InstanceId, Hall)>,
    gate_options: GateOptions,
    gate: Gate,
    /// Decides which receiver fetches a chunk into this hall, if each chunk is to enter a hall only once.
    hall_gate: Option<Gate>,
    have: Bitmap,
    /// When each chunk was first reported by a neighbour.
    offered_at: Vec<Option<Millis>>,
    started: Millis,
    neighbours: BTreeMap<InstanceId, Neighbour>,
    in_flight: BTreeMap<u32, PendingFetch>,
    origin_not_before: Millis,
    /// The part of the origin that may be used.
    origin_share: OriginShare,
    /// When a chunk that nobody had held before was last received or reported.
    last_new_chunk_at: Millis,
    /// Consecutive failed fetches from the origin.
    origin_failures: u32,
    /// Moving average of the time of a chunk, in milliseconds.
    chunk_ms: f64,
    last_chunk_at: Millis,
    /// The second copies that this receiver holds for others.
    second_copies: SecondCopies,
    /// The receivers that are known to be down.
    down: BTreeSet<InstanceId>,
    /// The halls that do not respond.
    silent_halls: SilentHalls,
    /// The addresses of all other participants that are up.
    addresses: BTreeMap<InstanceId, SocketAddr>,
    /// The addresses that are informed at once of a chunk that has just arrived.
    announce_to: BTreeSet<SocketAddr>,
    summary_budget_bytes: f64,
    summary_budget_at: Millis,
}

impl Spread {
    /// Creates a spread at a receiver that holds no chunk.
    pub fn new(
        now: Millis,
        me: &InstanceId,
        place: &Location,
        manifest: Arc<Manifest>,
        receivers: &[(InstanceId, Hall)],
        options: SpreadOptions,
    ) -> Self {
        let version = manifest.version();
        let chunks = manifest.chunks();
        let gate_options = GateOptions {
            copies: options.copies,
            chunk_ms: millis_for(u64::from(manifest.chunk_bytes), options.origin_bytes_per_s),
            version_ms: millis_for(manifest.bytes, options.download_bytes_per_s),
            patience_ms: options.timeout_ms,
        };
        let hall_gate = hall_gate_options(&options, &gate_options).map(|it| {
            let near = in_hall(receivers, &place.hall);
            Gate::new(me, version, chunks, &near, &it)
        });
        Self {
            receivers: receivers.to_vec(),
            gate_options,
            version,
            me: me.clone(),
            place: place.clone(),
            options,
            hall_gate,
            gate: Gate::new(me, version, chunks, receivers, &gate_options),
            have: Bitmap::new(chunks),
            offered_at: vec![None; chunks as usize],
            started: now,
            neighbours: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            origin_not_before: Millis(0),
            origin_share: OriginShare::Full,
            last_new_chunk_at: now,
            origin_failures: 0,
            chunk_ms: 0.0,
            last_chunk_at: now,
            second_copies: SecondCopies::default(),
            down: BTreeSet::new(),
            silent_halls: SilentHalls::default(),
            addresses: BTreeMap::new(),
            announce_to: BTreeSet::new(),
            summary_budget_bytes: MAX_SUMMARY_BUDGET_BYTES,
            summary_budget_at: now,
            manifest,
        }
    }

    /// Adds receivers that were not known yet, and ranks all receivers again.
    pub fn add_receivers(&mut self, receivers: &[(InstanceId, Hall)]) {
        let known: BTreeSet<&InstanceId> = self.receivers.iter().map(|(id, _)| id).collect();
        let added = receivers.iter().filter(|(id, _)| !known.contains(id));
        let added: Vec<(InstanceId, Hall)> = added.cloned().collect();
        if added.is_empty() {
            return;
        }
        self.receivers.extend(added);
        self.second_copies.reset_owners();
        let (version, chunks) = (self.version, self.manifest.chunks());
        let gate = |receivers: &[(InstanceId, Hall)], options: &GateOptions| {
            Gate::new(&self.me, version, chunks, receivers, options)
        };
        let near = in_hall(&self.receivers, &self.place.hall);
        let hall_options = hall_gate_options(&self.options, &self.gate_options);
        let hall_gate = hall_options.map(|it| gate(&near, &it));
        let ranked = gate(&self.receivers, &self.gate_options);
        self.gate = ranked.with_schedule_of(&self.gate);
        self.hall_gate = hall_gate;
        for (id, neighbour) in &mut self.neighbours {
            neighbour.in_group = self.gate.is_in_group(id);
        }
    }

    /// Whether chunks are missing.
    pub fn phase(&self) -> SpreadPhase {
        if self.have.is_full() {
            SpreadPhase::Complete
        } else {
            SpreadPhase::Fetching
        }
    }

    /// The chunks held.
    pub fn have(&self) -> &Bitmap {
        &self.have
    }

    /// Adds chunks that are already present on this instance and verified.
    pub fn adopt(&mut self, found: &Bitmap) {
        if !found.is_well_formed(self.manifest.chunks()) {
            return;
        }
        let known: Vec<u32> = self.have.missing().filter(|it| found.contains(*it)).collect();
        known.into_iter().for_each(|index| self.have.insert(index));
    }

    /// The moving average of the time of a chunk, in milliseconds.
    pub fn usual_chunk_ms(&self) -> f64 {
        self.chunk_ms
    }

    /// When the last chunk arrived, or the start if none has.
    pub fn last_chunk_at(&self) -> Millis {
        self.last_chunk_at
    }

    /// The number of chunks in flight from peers.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len() - self.count_from_origin()
    }

    /// The number of chunks in flight from the origin.
    fn count_from_origin(&self) -> usize {
        self.in_flight.values().filter(|it| it.source == FetchSource::Origin).count()
    }

    /// Whether a chunk is held here or by a neighbour.
    fn is_held(&self, index: u32) -> bool {
        self.have.contains(index) || self.neighbours.values().any(|it| it.have.contains(index))
    }
}

/// The settings of the hall gate, if each chunk is to enter a hall only once. The receivers of a hall wait
/// for each other, but not for the schedule of the origin's link.
fn hall_gate_options(options: &SpreadOptions, gate: &GateOptions) -> Option<GateOptions> {
    let patience_ms = options.reach.hall_patience_ms?;
    Some(GateOptions { chunk_ms: 0.0, patience_ms: Some(patience_ms), ..*gate })
}

/// The receivers in a hall.
fn in_hall(receivers: &[(InstanceId, Hall)], hall: &Hall) -> Vec<(InstanceId, Hall)> {
    receivers.iter().filter(|(_, it)| it == hall).cloned().collect()
}

fn millis_for(bytes: u64, bytes_per_s: u64) -> f64 {
    bytes as f64 * 1000.0 / bytes_per_s.max(1) as f64
}
