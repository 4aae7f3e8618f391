//! A fleet of sidecars that exchange chunks, without I/O: every effect is carried out after a delay,
//! or lost.

// Each test file uses a part of it.
#![allow(dead_code)]

mod effects;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use errors::Code;
use fleet::{Ablation, InstanceId, Manifest, Millis, Place, VersionId};
use reducer::DrawSource;
use rollout::*;

pub const CHUNKS: u32 = 64;
pub const STEP_MS: u64 = 10;
pub const VERSION_MS: u64 = 8000;

/// A runner beside a sidecar.
#[derive(Clone, Debug, Default)]
pub struct Runner {
    pub version: Option<u64>,
    pub sequence: u64,
    pub running: u32,
    /// When an order under way is done, and its version.
    pub taking: Option<(u64, u64)>,
}

/// Something that happens later at one sidecar.
#[derive(Debug)]
pub struct Later {
    pub at: u64,
    pub to: usize,
    pub event: Event,
}

pub struct Fleet {
    pub now: u64,
    pub sidecars: Vec<Rollout>,
    pub runners: Vec<Runner>,
    pub later: Vec<Later>,
    pub origin_chunks: u32,
    pub orders: Vec<(usize, u64, u64)>,
    /// Whether what is put at runners never arrives whole.
    pub spoils_staging: bool,
    /// Runners that gave up a version, the version, and when.
    pub retired: Vec<(usize, u64, u64)>,
    /// One in so many draws is lost.
    pub loses: u64,
    /// The origin is out until then.
    pub origin_out_until: u64,
    pub draws: u64,
    /// How long a chunk takes.
    pub chunk_ms: u64,
    /// How long the origin's link takes for a chunk. Zero: it carries any number at once.
    pub origin_chunk_ms: u64,
    /// Until when the origin's link is busy.
    pub origin_busy_until: u64,
    /// Chunks that have left the origin, of each version.
    pub left_origin: BTreeMap<u64, BTreeSet<u32>>,
    /// No chunk of this version arrives any more.
    pub stalls: Option<u64>,
    pub summaries: u64,
    /// Manifests asked of the origin.
    pub origin_manifests: u32,
    /// Chunks that one sidecar drew from another one in another hall.
    pub between_halls: u32,
    /// Sidecars that are gone, although the list that the others know still has them.
    pub dead: BTreeSet<usize>,
    /// Sidecars that reach each other only, and not the origin.
    pub cut_off: BTreeSet<usize>,
    /// A sidecar that stands still: what it is told waits.
    pub frozen: Option<usize>,
    /// How long it takes to find that a sidecar is gone: a machine without power does not refuse connections.
    pub dead_ms: u64,
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

pub fn place(index: usize) -> Place {
    let hall = format!("h{}", index % 3);
    Place { region: hall.as_str().into(), hall: hall.as_str().into() }
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
    pub fn new(count: usize, version: Option<u64>, loses: u64) -> Self {
        let mut fleet = Self {
            now: 1_000_000,
            sidecars: (0..count).map(|index| Rollout::new(options(index))).collect(),
            runners: vec![Runner { version, ..Runner::default() }; count],
            later: Vec::new(),
            origin_chunks: 0,
            orders: Vec::new(),
            retired: Vec::new(),
            spoils_staging: false,
            loses,
            origin_out_until: 0,
            draws: 0,
            chunk_ms: 45,
            origin_chunk_ms: 0,
            origin_busy_until: 0,
            left_origin: BTreeMap::new(),
            stalls: None,
            summaries: 0,
            origin_manifests: 0,
            between_halls: 0,
            dead: BTreeSet::new(),
            cut_off: BTreeSet::new(),
            frozen: None,
            dead_ms: 5,
        };
        (0..count).for_each(|index| fleet.introduce(index));
        fleet.tell_peers();
        fleet
    }

    pub fn introduce(&mut self, index: usize) {
        self.feed(index, Event::Planned(plan()));
        self.feed(index, Event::VersionsKnown);
    }

    /// A fleet whose origin has a link that carries one chunk after the other.
    pub fn with_narrow_origin(count: usize, origin_bytes_per_s: u64) -> Self {
        let mut fleet = Self::new(count, Some(1), 0);
        let options = |index| RolloutOptions { control_bytes_per_s: 40_000, ..options(index) };
        fleet.sidecars = (0..count).map(|index| Rollout::new(options(index))).collect();
        (0..count).for_each(|index| fleet.introduce(index));
        fleet.tell_peers();
        fleet.origin_chunk_ms = 32_768 * 1000 / origin_bytes_per_s;
        for index in 0..count {
            fleet.feed(index, Event::Planned(WeightsPlan { origin_bytes_per_s, ..plan() }));
        }
        fleet
    }

    /// How many runners hold at least a version.
    pub fn holders(&self, version: u64) -> usize {
        self.runners.iter().filter(|it| it.version >= Some(version)).count()
    }

    /// Chunks of a version that have left the origin.
    pub fn chunks_left_origin(&self, version: u64) -> usize {
        self.left_origin.get(&version).map_or(0, BTreeSet::len)
    }

    /// Adds a sidecar and its runner. The others read the new list before its runner answers.
    pub fn join(&mut self, version: Option<u64>) {
        let index = self.sidecars.len();
        self.sidecars.push(Rollout::new(options(index)));
        self.runners.push(Runner { version, ..Runner::default() });
        self.introduce(index);
        self.tell_peers();
        self.run(100);
    }

    /// A sidecar as the others know it.
    fn peer(&self, index: usize) -> Peer {
        let version = self.runners[index].version;
        Peer { id: id(index), place: place(index), address: address(index), version }
    }

    /// The sidecar that goes by a name.
    fn named(&self, name: &InstanceId) -> Option<usize> {
        (0..self.sidecars.len()).find(|it| &id(*it) == name)
    }

    /// The sidecar that listens at an address.
    fn listening_at(&self, peer: SocketAddr) -> Option<usize> {
        (0..self.sidecars.len()).find(|it| address(*it) == peer)
    }

    /// Whether two sidecars stand on the same side of a cut.
    fn are_joined(&self, one: usize, other: usize) -> bool {
        self.cut_off.contains(&one) == self.cut_off.contains(&other)
    }

    pub fn tell_peers(&mut self) {
        let peers: Vec<Peer> = (0..self.runners.len()).map(|it| self.peer(it)).collect();
        for index in 0..self.sidecars.len() {
            self.feed(index, Event::Peers(peers.clone()));
        }
    }

    pub fn name(&mut self, version: u64) {
        for index in 0..self.sidecars.len() {
            self.feed(
                index,
                Event::Named { version, named_at: Some(Millis(self.now)), after_ms: None },
            );
        }
    }

    pub fn feed(&mut self, index: usize, event: Event) {
        if self.dead.contains(&index) {
            return;
        }
        if self.frozen == Some(index) {
            if !matches!(event, Event::Tick | Event::Status(_)) {
                self.after(0, index, event);
            }
            return;
        }
        let effects = self.sidecars[index].reduce(Millis(self.now), event);
        for effect in effects {
            self.perform(index, effect);
        }
    }

    /// Ends a sidecar. What it was sending does not arrive.
    pub fn kill(&mut self, index: usize) {
        self.dead.insert(index);
        for later in &mut self.later {
            let Event::Arrived { version, index: chunk, source, .. } = &later.event else {
                continue;
            };
            if matches!(source, DrawSource::Peer(peer, _) if peer == &id(index)) {
                let (version, index, source) = (*version, *chunk, source.clone());
                later.event = Event::Missed { version, index, source, code: Code::Unreachable };
            }
        }
    }

    /// Takes sidecars away, from the list too.
    pub fn lose(&mut self, lost: &[usize]) {
        lost.iter().for_each(|it| self.kill(*it));
        let alive = |it: &usize| !self.dead.contains(it);
        let alive: Vec<usize> = (0..self.sidecars.len()).filter(alive).collect();
        let peers: Vec<Peer> = alive.iter().map(|it| self.peer(*it)).collect();
        alive.iter().for_each(|it| self.feed(*it, Event::Peers(peers.clone())));
    }

    pub fn after(&mut self, delay: u64, to: usize, event: Event) {
        self.later.push(Later { at: self.now + delay, to, event });
    }

    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP_MS;
            let now = self.now;
            let (due, later) =
                std::mem::take(&mut self.later).into_iter().partition(|it| it.at <= now);
            self.later = later;
            let due: Vec<Later> = due;
            for later in due {
                let event = self.leave_origin(later.event);
                self.feed(later.to, event);
            }
            if self.now.is_multiple_of(100) {
                self.report();
            }
            if self.now.is_multiple_of(40) {
                (0..self.sidecars.len()).for_each(|index| self.feed(index, Event::Tick));
            }
        }
    }

    pub fn report(&mut self) {
        for index in 0..self.runners.len() {
            let runner = &mut self.runners[index];
            if let Some((_, version)) = runner.taking.filter(|it| it.0 <= self.now) {
                runner.taking = None;
                runner.version = Some(version);
            }
            let status = RunnerStatus {
                born: None,
                sequence: runner.sequence,
                busy: runner.taking.is_some(),
                waiting: 0,
                running: runner.running,
                version: runner.version,
            };
            self.feed(index, Event::Status(status));
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
