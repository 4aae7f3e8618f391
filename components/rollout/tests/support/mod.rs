//! A simulated fleet of sidecars that exchange chunks, without I/O: every effect is executed after a delay,
//! or lost.

// Each test file uses only a part of this module.
#![allow(dead_code)]

mod effects;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use errors::Code;
use fleet::{Ablation, InstanceId, Location, Manifest, Millis, VersionId};
use reducer::FetchSource;
use rollout::*;

pub const CHUNKS: u32 = 64;
pub const STEP_MS: u64 = 10;
pub const VERSION_MS: u64 = 8000;
/// How long a runner takes to load a version, in milliseconds.
pub const LOAD_MS: u64 = 500;

/// The runner of a sidecar.
#[derive(Clone, Debug, Default)]
pub struct Runner {
    pub version: Option<u64>,
    pub sequence: u64,
    pub running: u32,
    /// When the pending order completes, and its version.
    pub taking: Option<(u64, u64)>,
}

/// An event that is delivered to a sidecar later.
#[derive(Debug)]
pub struct PendingEvent {
    pub at: u64,
    pub to: usize,
    pub event: Event,
}

pub struct Fleet {
    pub now: u64,
    pub sidecars: Vec<Rollout>,
    pub runners: Vec<Runner>,
    pub pending: Vec<PendingEvent>,
    pub origin_chunks: u32,
    pub orders: Vec<(usize, u64, u64)>,
    /// Number of running requests that orders aborted.
    pub aborted: u32,
    /// Whether writing chunks to runners always fails.
    pub staging_fails: bool,
    /// Runners that dropped a version, the version, and the time.
    pub retired: Vec<(usize, u64, u64)>,
    /// One of this many fetches is lost. Zero: none.
    pub lose_every: u64,
    /// The origin is unavailable until this time.
    pub origin_unavailable_until: u64,
    pub fetches: u64,
    /// How long a chunk takes, in milliseconds.
    pub chunk_ms: u64,
    /// Time the origin's link needs per chunk, in milliseconds. Zero: unlimited bandwidth.
    pub origin_chunk_ms: u64,
    /// Until when the origin's link is busy.
    pub origin_busy_until: u64,
    /// The chunks of each version that have left the origin.
    pub sent_by_origin: BTreeMap<u64, BTreeSet<u32>>,
    /// Chunks of this version no longer arrive.
    pub stalled_version: Option<u64>,
    pub summaries: u64,
    /// Number of manifest requests to the origin.
    pub origin_manifests: u32,
    /// Number of chunks fetched from a sidecar in another hall.
    pub fetches_between_halls: u32,
    /// Sidecars that are lost but still in the list that the others know.
    pub stopped_sidecars: BTreeSet<usize>,
    /// Sidecars that can only reach each other, and not the origin.
    pub disconnected: BTreeSet<usize>,
    /// A suspended sidecar. Its events are delivered later.
    pub suspended: Option<usize>,
    /// Time until the loss of a sidecar is noticed, in milliseconds. A machine without power does not refuse
    /// connections.
    pub failure_detection_ms: u64,
}

pub fn id(index: usize) -> InstanceId {
    InstanceId(format!("10.0.0.{index}"))
}

pub fn options(index: usize) -> RolloutOptions {
    RolloutOptions {
        ablation: Ablation::default(),
        me: id(index),
        place: place(index),
        link_bytes_per_s: 950_000,
        control_bytes_per_s: 6000,
        version_ms: VERSION_MS,
        evacuate_ms: Some(5000),
        cold: None,
    }
}

pub fn plan() -> WeightsPlan {
    WeightsPlan {
        model: "m".into(),
        warm_ms: 300,
        origin_bytes_per_s: 1_240_000,
        slots: 16,
        prompt_tokens_per_ms: 19.0,
        cold: None,
    }
}

pub fn address(index: usize) -> SocketAddr {
    ([10, 0, 0, index as u8], 7700).into()
}

pub fn place(index: usize) -> Location {
    let hall = format!("h{}", index % 3);
    Location { region: hall.as_str().into(), hall: hall.as_str().into() }
}

pub fn manifest(version: u64) -> Arc<Manifest> {
    let digest = |index: u32| {
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&version.to_le_bytes());
        bytes[8..12].copy_from_slice(&index.to_le_bytes());
        VersionId(bytes)
    };
    let digests = (0..CHUNKS).map(digest).collect();
    Arc::new(Manifest {
        label: format!("m@{version}"),
        bytes: u64::from(CHUNKS) * 32_768,
        chunk_bytes: 32_768,
        digests,
    })
}

impl Fleet {
    pub fn new(count: usize, version: Option<u64>, lose_every: u64) -> Self {
        let mut fleet = Self {
            now: 1_000_000,
            sidecars: (0..count).map(|index| Rollout::new(options(index))).collect(),
            runners: vec![Runner { version, ..Runner::default() }; count],
            pending: Vec::new(),
            origin_chunks: 0,
            orders: Vec::new(),
            aborted: 0,
            retired: Vec::new(),
            staging_fails: false,
            lose_every,
            origin_unavailable_until: 0,
            fetches: 0,
            chunk_ms: 45,
            origin_chunk_ms: 0,
            origin_busy_until: 0,
            sent_by_origin: BTreeMap::new(),
            stalled_version: None,
            summaries: 0,
            origin_manifests: 0,
            fetches_between_halls: 0,
            stopped_sidecars: BTreeSet::new(),
            disconnected: BTreeSet::new(),
            suspended: None,
            failure_detection_ms: 5,
        };
        (0..count).for_each(|index| fleet.configure(index));
        fleet.update_peers();
        fleet
    }

    pub fn configure(&mut self, index: usize) {
        self.deliver(index, Event::Configured(plan()));
        self.deliver(index, Event::VersionsKnown);
    }

    /// A fleet whose origin has a link that carries one chunk at a time.
    pub fn with_narrow_origin(count: usize, origin_bytes_per_s: u64) -> Self {
        let mut fleet = Self::new(count, Some(1), 0);
        let options = |index| RolloutOptions { control_bytes_per_s: 40_000, ..options(index) };
        fleet.sidecars = (0..count).map(|index| Rollout::new(options(index))).collect();
        (0..count).for_each(|index| fleet.configure(index));
        fleet.update_peers();
        fleet.origin_chunk_ms = 32_768 * 1000 / origin_bytes_per_s;
        for index in 0..count {
            fleet.deliver(index, Event::Configured(WeightsPlan { origin_bytes_per_s, ..plan() }));
        }
        fleet
    }

    /// Number of runners that hold this version or a newer one.
    pub fn runners_with(&self, version: u64) -> usize {
        self.runners.iter().filter(|it| it.version >= Some(version)).count()
    }

    /// Number of chunks of a version that have left the origin.
    pub fn chunks_sent_by_origin(&self, version: u64) -> usize {
        self.sent_by_origin.get(&version).map_or(0, BTreeSet::len)
    }

    /// Adds a sidecar and its runner. The other sidecars read the new list before the runner responds.
    pub fn add(&mut self, version: Option<u64>) {
        let index = self.sidecars.len();
        self.sidecars.push(Rollout::new(options(index)));
        self.runners.push(Runner { version, ..Runner::default() });
        self.configure(index);
        self.update_peers();
        self.run(100);
    }

    /// A sidecar as listed for the others.
    fn peer(&self, index: usize) -> Peer {
        let version = self.runners[index].version;
        Peer { id: id(index), place: place(index), address: address(index), version }
    }

    /// The index of the sidecar with this ID.
    fn index_of(&self, wanted: &InstanceId) -> Option<usize> {
        (0..self.sidecars.len()).find(|it| &id(*it) == wanted)
    }

    /// The index of the sidecar that listens on an address.
    fn index_at(&self, peer: SocketAddr) -> Option<usize> {
        (0..self.sidecars.len()).find(|it| address(*it) == peer)
    }

    /// Returns whether two sidecars can reach each other.
    fn can_reach(&self, one: usize, other: usize) -> bool {
        self.disconnected.contains(&one) == self.disconnected.contains(&other)
    }

    pub fn update_peers(&mut self) {
        let peers: Vec<Peer> = (0..self.runners.len()).map(|it| self.peer(it)).collect();
        for index in 0..self.sidecars.len() {
            self.deliver(index, Event::Peers(peers.clone()));
        }
    }

    pub fn announce(&mut self, version: u64) {
        for index in 0..self.sidecars.len() {
            self.deliver(
                index,
                Event::Announced { version, announced_at: Some(Millis(self.now)), after_ms: None },
            );
        }
    }

    pub fn deliver(&mut self, index: usize, event: Event) {
        if self.stopped_sidecars.contains(&index) {
            return;
        }
        if self.suspended == Some(index) {
            if !matches!(event, Event::Tick | Event::Status(_)) {
                self.schedule(0, index, event);
            }
            return;
        }
        let effects = self.sidecars[index].reduce(Millis(self.now), event);
        for effect in effects {
            self.execute(index, effect);
        }
    }

    /// Stops a sidecar. Chunks that it is sending do not arrive.
    pub fn stop(&mut self, index: usize) {
        self.stopped_sidecars.insert(index);
        for pending in &mut self.pending {
            let Event::Arrived { version, index: chunk, source, .. } = &pending.event else {
                continue;
            };
            if matches!(source, FetchSource::Peer(peer, _) if peer == &id(index)) {
                let (version, index, source) = (*version, *chunk, source.clone());
                pending.event =
                    Event::FetchFailed { version, index, source, code: Code::Unreachable };
            }
        }
    }

    /// Stops sidecars and removes them from the list.
    pub fn remove(&mut self, removed: &[usize]) {
        removed.iter().for_each(|it| self.stop(*it));
        let remaining = |it: &usize| !self.stopped_sidecars.contains(it);
        let remaining: Vec<usize> = (0..self.sidecars.len()).filter(remaining).collect();
        let peers: Vec<Peer> = remaining.iter().map(|it| self.peer(*it)).collect();
        remaining.iter().for_each(|it| self.deliver(*it, Event::Peers(peers.clone())));
    }

    pub fn schedule(&mut self, delay: u64, to: usize, event: Event) {
        self.pending.push(PendingEvent { at: self.now + delay, to, event });
    }

    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP_MS;
            let now = self.now;
            let (due, pending) =
                std::mem::take(&mut self.pending).into_iter().partition(|it| it.at <= now);
            self.pending = pending;
            let due: Vec<PendingEvent> = due;
            for pending in due {
                let event = self.record_origin_departure(pending.event);
                self.deliver(pending.to, event);
            }
            if self.now.is_multiple_of(100) {
                self.report();
            }
            if self.now.is_multiple_of(40) {
                (0..self.sidecars.len()).for_each(|index| self.deliver(index, Event::Tick));
            }
        }
    }

    pub fn report(&mut self) {
        for index in 0..self.runners.len() {
            let runner = &mut self.runners[index];
            // A runner loads a version after the last request has ended.
            if let Some((completes_at, _)) = runner.taking.as_mut().filter(|_| runner.running > 0) {
                *completes_at = self.now + LOAD_MS;
            }
            if let Some((_, version)) = runner.taking.filter(|it| it.0 <= self.now) {
                runner.taking = None;
                runner.version = Some(version);
            }
            let status = RunnerStatus {
                started_at_ms: None,
                sequence: runner.sequence,
                is_executing_order: runner.taking.is_some(),
                waiting: 0,
                running: runner.running,
                version: runner.version,
            };
            self.deliver(index, Event::Status(status));
        }
    }

    pub fn versions(&self) -> BTreeMap<Option<u64>, usize> {
        let mut counts = BTreeMap::new();
        for runner in &self.runners {
            *counts.entry(runner.version).or_default() += 1;
        }
        counts
    }
}
