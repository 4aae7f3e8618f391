//! The spread of one version at one receiver.

mod arrivals;
mod choice;
mod keeping;
mod neighbours;
mod origin;
mod silence;
mod summaries;
mod types;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use fleet::{Bitmap, Hall, InstanceId, Manifest, Millis, Place, VersionId};

use self::keeping::SecondCopies;
use self::silence::SilentHalls;
use self::summaries::SUMMARY_BURST;
pub use self::types::{
    Choice, Draw, DrawSource, OriginShare, Participant, Reach, SpreadEffect, SpreadOptions,
    SpreadPhase,
};
use super::gate::{Gate, GateOptions};
use super::neighbour::Neighbour;

/// A chunk on its way.
#[derive(Clone, Debug)]
struct Flight {
    source: DrawSource,
    sent: Millis,
}

/// The spread.
pub struct Spread {
    /// The version.
    pub version: VersionId,
    /// Its manifest.
    pub manifest: Arc<Manifest>,
    me: InstanceId,
    place: Place,
    options: SpreadOptions,
    /// Who wants the version, as far as known.
    receivers: Vec<(InstanceId, Hall)>,
    gate_options: GateOptions,
    gate: Gate,
    /// Who draws a chunk into this hall, where a chunk enters a hall once.
    hall_gate: Option<Gate>,
    have: Bitmap,
    /// When each chunk was first known to be held by a neighbour.
    offered_at: Vec<Option<Millis>>,
    started: Millis,
    neighbours: BTreeMap<InstanceId, Neighbour>,
    in_flight: BTreeMap<u32, Flight>,
    origin_not_before: Millis,
    /// How much of the origin may be used.
    origin_share: OriginShare,
    /// When a chunk was last heard of that nobody had held before.
    news_at: Millis,
    /// Draws from the origin that failed since the last one that did not.
    origin_failures: u32,
    /// How long chunks took lately, smoothed, in milliseconds.
    chunk_ms: f64,
    last_chunk_at: Millis,
    /// The second copies that this receiver keeps.
    second: SecondCopies,
    /// Who is known to be down.
    down: BTreeSet<InstanceId>,
    /// The halls that are silent.
    silent: SilentHalls,
    /// Where all others listen.
    addresses: BTreeMap<InstanceId, SocketAddr>,
    /// Who is told at once of a chunk that has just arrived.
    announce_to: BTreeSet<SocketAddr>,
    summary_budget: f64,
    summary_budget_at: Millis,
}

impl Spread {
    /// Starts a spread at a receiver that holds nothing.
    pub fn new(
        now: Millis,
        me: &InstanceId,
        place: &Place,
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
            patience_ms: options.patience_ms,
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
            origin_share: OriginShare::Whole,
            news_at: now,
            origin_failures: 0,
            chunk_ms: 0.0,
            last_chunk_at: now,
            second: SecondCopies::default(),
            down: BTreeSet::new(),
            silent: SilentHalls::default(),
            addresses: BTreeMap::new(),
            announce_to: BTreeSet::new(),
            summary_budget: SUMMARY_BURST,
            summary_budget_at: now,
            manifest,
        }
    }

    /// Takes in receivers that were not known yet: everyone's ranks follow from all of them.
    pub fn add_receivers(&mut self, receivers: &[(InstanceId, Hall)]) {
        let known: BTreeSet<&InstanceId> = self.receivers.iter().map(|(id, _)| id).collect();
        let fresh = receivers.iter().filter(|(id, _)| !known.contains(id));
        let fresh: Vec<(InstanceId, Hall)> = fresh.cloned().collect();
        if fresh.is_empty() {
            return;
        }
        self.receivers.extend(fresh);
        self.second.forget();
        let (version, chunks) = (self.version, self.manifest.chunks());
        let gate = |receivers: &[(InstanceId, Hall)], options: &GateOptions| {
            Gate::new(&self.me, version, chunks, receivers, options)
        };
        let near = in_hall(&self.receivers, &self.place.hall);
        let hall_options = hall_gate_options(&self.options, &self.gate_options);
        let hall_gate = hall_options.map(|it| gate(&near, &it));
        let ranked = gate(&self.receivers, &self.gate_options);
        self.gate = ranked.with_turns_of(&self.gate);
        self.hall_gate = hall_gate;
        for (id, neighbour) in &mut self.neighbours {
            neighbour.in_group = self.gate.is_in_group(id);
        }
    }

    /// How far it has come.
    pub fn phase(&self) -> SpreadPhase {
        if self.have.is_full() {
            SpreadPhase::Whole
        } else {
            SpreadPhase::Drawing
        }
    }

    /// The chunks held.
    pub fn have(&self) -> &Bitmap {
        &self.have
    }

    /// Takes in chunks that are here already, verified.
    pub fn adopt(&mut self, found: &Bitmap) {
        if !found.is_well_formed(self.manifest.chunks()) {
            return;
        }
        let known: Vec<u32> = self.have.missing().filter(|it| found.contains(*it)).collect();
        known.into_iter().for_each(|index| self.have.insert(index));
    }

    /// How long chunks took lately, in milliseconds.
    pub fn usual_chunk_ms(&self) -> f64 {
        self.chunk_ms
    }

    /// When the last chunk arrived, or the start where none has.
    pub fn last_chunk_at(&self) -> Millis {
        self.last_chunk_at
    }

    /// Chunks on their way from peers.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len() - self.count_from_origin()
    }

    /// Chunks on their way from the origin.
    fn count_from_origin(&self) -> usize {
        self.in_flight.values().filter(|it| it.source == DrawSource::Origin).count()
    }

    /// Whether a chunk is here or at a neighbour.
    fn is_held(&self, index: u32) -> bool {
        self.have.contains(index) || self.neighbours.values().any(|it| it.have.contains(index))
    }
}

/// How chunks enter a hall, where they should enter it once. They wait for each other, not for the turns
/// that the origin's link needs.
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
