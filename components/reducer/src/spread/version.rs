//! The spread of one version at one receiver.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use errors::Code;
use fleet::{Bitmap, Hall, InstanceId, Manifest, Millis, Place, VersionId};

use super::gate::{Gate, GateOptions};
use super::neighbour::Neighbour;
use crate::seed::shared_hash;

/// Neighbours that a receiver chooses by itself.
const CHOSEN_NEIGHBOURS: usize = 6;
/// Neighbours at most, with those that chose this receiver.
const MAX_NEIGHBOURS: usize = 12;
/// Of the chosen ones, how many stand in the same hall where there are as many.
const NEAR_NEIGHBOURS: usize = 4;
/// Chunks in flight from one neighbour.
const WINDOW_PER_SOURCE: u32 = 2;
/// Chunks in flight from the origin.
const ORIGIN_WINDOW: usize = 2;
/// A chunk may take this many times as long as usual.
const DEADLINE_FACTOR: f64 = 6.0;
/// The shortest deadline of a chunk, in milliseconds.
const MIN_DEADLINE: f64 = 1000.0;
/// The longest deadline of a chunk, in milliseconds.
const MAX_DEADLINE: f64 = 60_000.0;
/// Chunks that are expected to wait ahead of ours at a source we know nothing of.
const EXPECTED_QUEUE: f64 = 16.0;
/// How long to leave the origin alone after it failed, in milliseconds.
const ORIGIN_PAUSE: u64 = 500;
/// What a summary costs besides its bitmap, in bytes.
const SUMMARY_BYTES: f64 = 120.0;
/// The part of the control budget that summaries may use.
const SUMMARY_SHARE: f64 = 0.4;
/// The shortest time between two rounds of summaries, in milliseconds.
const MIN_SUMMARY_GAP: u64 = 100;
/// Bytes of summaries that may be saved up. A spread starts with them: before its first exchanges
/// nobody knows who holds what, and each round that is late costs every receiver that time.
const SUMMARY_BURST: f64 = 16_000.0;
/// How long holders have to say what they hold before the origin is asked, in milliseconds.
const HOLDER_GRACE: u64 = 500;
/// How long an asker that found the upload queue full waits at least, in milliseconds.
const MIN_BUSY_WAIT: u64 = 20;

/// How chunks and sources are chosen. Only the first is meant for use; the others are the naive
/// versions that it is measured against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Choice {
    /// The least busy source, then the rarest of its chunks; the origin by its timetable.
    #[default]
    Rarest,
    /// Everyone draws everything from the origin.
    OriginOnly,
    /// A chunk and a source picked without looking at load or rarity; the origin by its timetable.
    Random,
}

/// Numbers that a spread works with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpreadOptions {
    /// Copies that may be drawn from the origin; each group of halls draws one.
    pub copies: u32,
    /// The origin's link, in bytes a second.
    pub origin_bytes_per_s: u64,
    /// This instance's link down, in bytes a second.
    pub download_bytes_per_s: u64,
    /// What control messages may cost, in bytes a second.
    pub control_bytes_per_s: u64,
    /// How chunks and sources are chosen.
    pub choice: Choice,
}

/// Where a chunk is drawn from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrawSource {
    /// From the origin.
    Origin,
    /// From another daemon.
    Peer(InstanceId, SocketAddr),
}

/// A chunk to draw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draw {
    /// The version.
    pub version: VersionId,
    /// The chunk.
    pub index: u32,
    /// From where.
    pub source: DrawSource,
    /// When to give up, in the reducer's time.
    pub deadline: Millis,
    /// Whether the origin is asked although peers say that they hold the chunk.
    pub last_resort: bool,
}

/// What a spread wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpreadEffect {
    /// Draw a chunk.
    Draw(Draw),
    /// Tell a neighbour which chunks are held.
    Summarize {
        /// Whom.
        to: SocketAddr,
        /// The chunks.
        have: Bitmap,
    },
}

/// How far a spread has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadPhase {
    /// Chunks are missing.
    Drawing,
    /// Every chunk is here and verified.
    Whole,
}

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
    gate: Gate,
    have: Bitmap,
    started: Millis,
    neighbours: BTreeMap<InstanceId, Neighbour>,
    in_flight: BTreeMap<u32, Flight>,
    origin_not_before: Millis,
    next_summary: Millis,
    summary_budget: f64,
    summary_budget_at: Millis,
    /// Whether something was gained since the last summary.
    unsaid: bool,
}

/// A daemon that receives or holds the version.
#[derive(Clone, Debug)]
pub struct Participant {
    /// Its name.
    pub id: InstanceId,
    /// Where it stands.
    pub place: Place,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is up.
    pub up: bool,
    /// Whether its engine serves the version already.
    pub holds: bool,
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
        };
        Self {
            version,
            me: me.clone(),
            place: place.clone(),
            options,
            gate: Gate::new(me, version, chunks, receivers, &gate_options),
            have: Bitmap::new(chunks),
            started: now,
            neighbours: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            origin_not_before: Millis(0),
            next_summary: Millis(0),
            summary_budget: SUMMARY_BURST,
            summary_budget_at: now,
            unsaid: true,
            manifest,
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

    /// Chunks on their way from peers.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len() - self.count_from_origin()
    }

    /// Chunks on their way from the origin.
    fn count_from_origin(&self) -> usize {
        self.in_flight.values().filter(|it| it.source == DrawSource::Origin).count()
    }

    /// Takes in who receives or holds the version, and chooses neighbours among them.
    pub fn set_participants(&mut self, now: Millis, participants: &[Participant]) {
        let down: BTreeSet<&InstanceId> =
            participants.iter().filter(|it| !it.up).map(|it| &it.id).collect();
        self.gate.set_down(|id| down.contains(id));
        self.neighbours.retain(|id, _| !down.contains(id));
        let holders = participants.iter().any(|it| it.up && it.holds);
        if holders && self.have.count() == 0 && self.neighbours.is_empty() {
            self.origin_not_before = now.plus(HOLDER_GRACE);
        }
        for participant in self.choose(participants) {
            self.meet(&participant.id, participant.address, &participant.place);
        }
    }

    /// Takes in which chunks a daemon holds.
    pub fn take_summary(
        &mut self,
        id: &InstanceId,
        address: SocketAddr,
        place: &Place,
        have: Bitmap,
    ) {
        if !have.is_well_formed(self.manifest.chunks()) {
            return;
        }
        self.meet(id, address, place);
        if let Some(neighbour) = self.neighbours.get_mut(id) {
            neighbour.have = have;
        }
    }

    /// Takes in how long a neighbour's upload queue is.
    pub fn take_uploads(&mut self, now: Millis, id: &InstanceId, uploads: u32) {
        if let Some(neighbour) = self.neighbours.get_mut(id) {
            neighbour.set_uploads(now, uploads);
        }
    }

    /// A chunk arrived; `verified` tells whether its digest is right. Gives `false` when it had
    /// not been asked for.
    pub fn take_chunk(
        &mut self,
        now: Millis,
        index: u32,
        source: &DrawSource,
        verified: bool,
    ) -> bool {
        let Some(flight) = self.end_flight(index, source) else {
            return false;
        };
        if let DrawSource::Peer(id, _) = source {
            if let Some(neighbour) = self.neighbours.get_mut(id) {
                if verified {
                    neighbour.reward(now.since(flight.sent));
                } else {
                    neighbour.punish(now);
                }
            }
        }
        if verified {
            self.have.insert(index);
            self.unsaid = true;
        }
        true
    }

    /// A chunk did not arrive.
    pub fn fail_chunk(
        &mut self,
        now: Millis,
        index: u32,
        source: &DrawSource,
        code: Code,
        retry_after: u64,
    ) {
        if self.end_flight(index, source).is_none() {
            return;
        }
        let DrawSource::Peer(id, _) = source else {
            self.origin_not_before = now.plus(ORIGIN_PAUSE);
            return;
        };
        let Some(neighbour) = self.neighbours.get_mut(id) else {
            return;
        };
        match code {
            Code::PeerBusy => neighbour.not_before = now.plus(retry_after.max(MIN_BUSY_WAIT)),
            Code::ChunkMissing => {
                neighbour.have.remove(index);
                neighbour.punish(now);
            }
            _ => neighbour.punish(now),
        }
    }

    /// The draws to make now, up to `window` chunks in flight from peers. Draws from the origin come
    /// on top: everyone waits for the chunk that its owner is late with.
    pub fn draw(&mut self, now: Millis, window: usize) -> Vec<SpreadEffect> {
        let mut effects = Vec::new();
        while let Some(draw) = self.draw_from_origin(now) {
            effects.push(SpreadEffect::Draw(draw));
        }
        let mut counts = None;
        while self.in_flight() < window {
            let counts = counts.get_or_insert_with(|| self.count_holders());
            let next = match self.options.choice {
                Choice::Rarest => self.draw_from_peer(now, counts),
                Choice::Random => self.draw_at_random(now),
                Choice::OriginOnly => None,
            };
            match next {
                Some(draw) => effects.push(SpreadEffect::Draw(draw)),
                None => break,
            }
        }
        effects
    }

    /// The summaries that are due.
    pub fn summarize(&mut self, now: Millis) -> Vec<SpreadEffect> {
        if !self.unsaid || now < self.next_summary {
            return Vec::new();
        }
        let cost = self.summary_cost();
        self.refill_summaries(now);
        if self.summary_budget < cost.min(SUMMARY_BURST) {
            return Vec::new();
        }
        self.summary_budget -= cost;
        self.unsaid = false;
        self.next_summary = now.plus(MIN_SUMMARY_GAP);
        let have = &self.have;
        let tell = |it: &Neighbour| SpreadEffect::Summarize { to: it.address, have: have.clone() };
        self.neighbours.values().filter(|it| !it.have.is_full()).map(tell).collect()
    }

    /// What a round of summaries costs, in bytes.
    fn summary_cost(&self) -> f64 {
        let bytes = SUMMARY_BYTES + f64::from(self.manifest.chunks()) / 8.0;
        self.neighbours.len() as f64 * bytes
    }

    fn refill_summaries(&mut self, now: Millis) {
        let rate = SUMMARY_SHARE * self.options.control_bytes_per_s as f64;
        let gained = now.since(self.summary_budget_at).0 as f64 / 1000.0 * rate;
        self.summary_budget = (self.summary_budget + gained).min(SUMMARY_BURST);
        self.summary_budget_at = now;
    }

    fn end_flight(&mut self, index: u32, source: &DrawSource) -> Option<Flight> {
        if self.in_flight.get(&index).is_none_or(|it| &it.source != source) {
            return None;
        }
        if let DrawSource::Peer(id, _) = source {
            if let Some(neighbour) = self.neighbours.get_mut(id) {
                neighbour.outstanding = neighbour.outstanding.saturating_sub(1);
            }
        }
        self.in_flight.remove(&index)
    }

    fn meet(&mut self, id: &InstanceId, address: SocketAddr, place: &Place) {
        if id == &self.me {
            return;
        }
        if let Some(known) = self.neighbours.get_mut(id) {
            known.address = address;
            return;
        }
        if self.neighbours.len() < MAX_NEIGHBOURS {
            let distance = distance(&self.place, place);
            let in_group = self.gate.is_in_group(id);
            let neighbour = Neighbour::new(address, distance, in_group, self.manifest.chunks());
            self.neighbours.insert(id.clone(), neighbour);
            self.unsaid = true;
        }
    }

    /// A few participants near and a few anywhere. The choice depends on both names, so receivers
    /// choose differently and the whole stays connected.
    fn choose<'a>(&self, participants: &'a [Participant]) -> Vec<&'a Participant> {
        let mut others: Vec<&Participant> =
            participants.iter().filter(|it| it.up && it.id != self.me).collect();
        others.sort_by_cached_key(|it| shared_hash(&[self.me.0.as_bytes(), it.id.0.as_bytes()]));
        let (near, far): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|it| distance(&self.place, &it.place) == 0);
        let near_count =
            near.len().min(NEAR_NEIGHBOURS.max(CHOSEN_NEIGHBOURS.saturating_sub(far.len())));
        let far_count = CHOSEN_NEIGHBOURS - near_count.min(CHOSEN_NEIGHBOURS);
        near.into_iter().take(near_count).chain(far.into_iter().take(far_count)).collect()
    }

    /// For each chunk, how many neighbours hold it.
    fn count_holders(&self) -> Vec<u32> {
        let mut counts = vec![0; self.manifest.chunks() as usize];
        for neighbour in self.neighbours.values() {
            for (index, count) in counts.iter_mut().enumerate() {
                *count += u32::from(neighbour.have.contains(index as u32));
            }
        }
        counts
    }

    fn draw_from_origin(&mut self, now: Millis) -> Option<Draw> {
        if now < self.origin_not_before || self.count_from_origin() >= ORIGIN_WINDOW {
            return None;
        }
        let missing = self.have.missing().filter(|index| !self.in_flight.contains_key(index));
        let (index, last_resort) =
            missing.filter_map(|index| self.may_ask_origin(now, index)).next()?;
        Some(self.launch(now, index, DrawSource::Origin, last_resort))
    }

    /// Whether the origin may be asked for a chunk, and whether only as the last resort.
    fn may_ask_origin(&self, now: Millis, index: u32) -> Option<(u32, bool)> {
        if self.options.choice == Choice::OriginOnly {
            return Some((index, false));
        }
        if now >= self.gate.last_resort(self.started, index) {
            return Some((index, true));
        }
        let held = self.neighbours.values().any(|it| it.in_group && it.have.contains(index));
        (!held && now >= self.gate.due(self.started, index)).then_some((index, false))
    }

    /// The least busy source first, then the rarest of its chunks: an idle link is worth more than
    /// a rare chunk behind a queue.
    fn draw_from_peer(&mut self, now: Millis, counts: &[u32]) -> Option<Draw> {
        let chunk_ms =
            millis_for(u64::from(self.manifest.chunk_bytes), self.options.download_bytes_per_s);
        let mut sources: Vec<(&InstanceId, &Neighbour)> = self.neighbours.iter().collect();
        sources.retain(|(_, it)| it.outstanding < WINDOW_PER_SOURCE && now >= it.not_before);
        sources.sort_by_key(|(id, it)| {
            let queue = it.outstanding * 2 + it.uploads(now, chunk_ms);
            (queue + it.distance, shared_hash(&[self.me.0.as_bytes(), id.0.as_bytes()]))
        });
        let (index, source) = sources.into_iter().find_map(|(id, neighbour)| {
            let index = self.rarest(neighbour, counts)?;
            Some((index, DrawSource::Peer(id.clone(), neighbour.address)))
        })?;
        Some(self.launch(now, index, source, false))
    }

    /// The naive choice: any wanted chunk from any neighbour that holds it.
    fn draw_at_random(&mut self, now: Millis) -> Option<Draw> {
        let toss = |part: u32| {
            shared_hash(&[self.me.0.as_bytes(), &now.0.to_le_bytes(), &part.to_le_bytes()])
        };
        let wanted: Vec<u32> =
            self.have.missing().filter(|index| !self.in_flight.contains_key(index)).collect();
        let mut offers: Vec<(u32, DrawSource)> = Vec::new();
        for (id, neighbour) in &self.neighbours {
            if neighbour.outstanding >= WINDOW_PER_SOURCE || now < neighbour.not_before {
                continue;
            }
            let held = wanted.iter().filter(|index| neighbour.have.contains(**index));
            let source = DrawSource::Peer(id.clone(), neighbour.address);
            offers.extend(held.map(|index| (*index, source.clone())));
        }
        let pick = toss(self.in_flight.len() as u32) as usize % offers.len().max(1);
        let (index, source) = offers.get(pick)?.clone();
        Some(self.launch(now, index, source, false))
    }

    /// The rarest chunk that a neighbour holds and this receiver neither holds nor awaits. Among
    /// equals each receiver starts elsewhere, which keeps replicas different from one another.
    fn rarest(&self, neighbour: &Neighbour, counts: &[u32]) -> Option<u32> {
        let chunks = self.manifest.chunks();
        let start = shared_hash(&[self.me.0.as_bytes()]) as u32 % chunks;
        let wanted = self
            .have
            .missing()
            .filter(|index| neighbour.have.contains(*index) && !self.in_flight.contains_key(index));
        wanted.min_by_key(|index| (counts[*index as usize], (index + chunks - start) % chunks))
    }

    fn launch(&mut self, now: Millis, index: u32, source: DrawSource, last_resort: bool) -> Draw {
        let mut usual = EXPECTED_QUEUE
            * millis_for(u64::from(self.manifest.chunk_bytes), self.options.download_bytes_per_s);
        if let DrawSource::Peer(id, _) = &source {
            if let Some(neighbour) = self.neighbours.get_mut(id) {
                neighbour.outstanding += 1;
                usual = neighbour.usual_time(usual);
            }
        }
        let span = (usual * DEADLINE_FACTOR).clamp(MIN_DEADLINE, MAX_DEADLINE) as u64;
        self.in_flight.insert(index, Flight { source: source.clone(), sent: now });
        let deadline = now.plus(span);
        Draw { version: self.version, index, source, deadline, last_resort }
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

fn millis_for(bytes: u64, bytes_per_s: u64) -> f64 {
    bytes as f64 * 1000.0 / bytes_per_s.max(1) as f64
}
