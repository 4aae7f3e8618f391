//! One version on its way to the runner.

use std::collections::BTreeMap;
use std::sync::Arc;

use fleet::{Bitmap, Hall, InstanceId, Manifest, Mechanism, Millis, VersionName};
use reducer::{
    Choice, OriginShare, Participant, Reach, Spread, SpreadEffect, SpreadOptions, SpreadPhase,
};

use crate::event::{Effect, Peer, RolloutOptions, WeightsPlan};

/// Neighbours that a sidecar chooses by itself, and how many of them in its own hall.
const CHOSEN_NEIGHBOURS: usize = 16;
const NEAR_NEIGHBOURS: usize = 10;
/// Neighbours at most. Those that chose a sidecar with full hands would never hear of its chunks.
const MOST_NEIGHBOURS: usize = 96;
/// Copies that are drawn from the origin.
const ORIGIN_COPIES: u32 = 1;
/// How chunks come to a runner that serves an older version. Its answers leave by the same link, and
/// links between halls are dear, so chunks come few at a time and enter a hall once.
const GENTLE: Pace = Pace { window: 5, patience_ms: 700, hall_patience_ms: 700 };
/// How chunks come to a runner that serves nothing: every second of it is lost, so it does not wait long for
/// the others in its hall.
const URGENT: Pace = Pace { window: 6, patience_ms: 900, hall_patience_ms: 200 };

/// Chunks that take longer than this come one at a time: the link is narrow, and requests wait behind
/// them. In milliseconds.
const NARROW_CHUNK_MS: f64 = 300.0;

/// How chunks come to a runner.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Chunks in flight from other sidecars.
    window: usize,
    /// How long a receiver waits for the one before it in rank, in milliseconds.
    patience_ms: u64,
    /// How long a receiver waits for the one before it in rank in its hall, in milliseconds.
    hall_patience_ms: u64,
}
/// Chunks of one index with a wrong digest after which the manifest itself is doubted.
const DOUBTS: u32 = 3;
/// Chunks that nobody is known to hold while the next version may already use the origin, whose link would
/// stand idle otherwise: about as many arrive there before everyone knows of them.
const LAST_CHUNKS: usize = 8;
/// How long to wait at least after a manifest did not arrive, in milliseconds.
const DESCRIBE_PAUSE: u64 = 80;
/// How much longer some sidecars wait than others, in milliseconds.
const DESCRIBE_SPREAD: u64 = 300;
/// How long the others must be known before a share of the chunks is taken, in milliseconds. Those
/// that start together get to know each other first.
const SHARE_DELAY: u64 = 4000;
/// How long after the last chunk nobody can tell when the next one comes, in milliseconds: many times the
/// usual time between two.
const STANDSTILL: u64 = 800;
/// How long after its naming the first chunk of a version leaves the origin, in milliseconds: until its
/// name and its manifest are known and what lies at the runners is told.
const START_DELAY: u64 = 300;
/// The part of the link that chunks may take.
const LINK_SHARE: f64 = 0.9;

/// How far a version has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// The manifest is asked for, or will be at the given moment.
    Describing {
        /// Not before this moment.
        not_before: Millis,
        /// Whether it is asked for now.
        asked: bool,
    },
    /// What lies at the runner is read.
    Finding,
    /// Chunks are missing.
    Drawing,
    /// Every chunk is here. The order goes out at the given moment.
    Waiting(Millis),
    /// The chunks are put at the runner.
    Staging,
    /// The runner was ordered at the given moment, when it had taken so many orders.
    Ordered(Millis, u64),
    /// The runner holds the version.
    Served,
}

/// A version on its way.
pub(crate) struct Target {
    /// The version.
    pub(crate) version: u64,
    /// Its name.
    pub(crate) named: VersionName,
    /// How far it has come.
    pub(crate) step: Step,
    spread: Option<Spread>,
    /// Whether the manifest was asked for to keep a share of the chunks of a version that is served.
    asked_for_share: bool,
    /// Not to ask for the manifest before this moment.
    describe_at: Millis,
    /// How often each chunk arrived with a digest that is not the manifest's.
    corrupt: BTreeMap<u32, u32>,
    pace: Pace,
    /// Since when chunks of this version have come while those of the one before it did not.
    alone_since: Option<Millis>,
}

impl Target {
    /// A version that was just named.
    pub(crate) fn new(named: VersionName) -> Self {
        let step = Step::Describing { not_before: named.at, asked: false };
        Self {
            version: named.version,
            named,
            step,
            spread: None,
            asked_for_share: false,
            describe_at: Millis(0),
            corrupt: BTreeMap::new(),
            pace: URGENT,
            alone_since: None,
        }
    }

    /// Whether every chunk is here.
    pub(crate) fn is_whole(&self) -> bool {
        self.spread.as_ref().is_some_and(|it| it.phase() == SpreadPhase::Whole)
    }

    /// Whether every chunk is here and the runner has yet to take them.
    pub(crate) fn is_being_taken(&self) -> bool {
        matches!(self.step, Step::Waiting(_) | Step::Staging | Step::Ordered(..))
    }

    /// Whether chunks are drawn.
    pub(crate) fn is_drawn(&self) -> bool {
        self.step == Step::Drawing
    }

    /// How long the origin's link still takes for the chunks that nobody is known to hold, in milliseconds. `None`
    /// without a manifest.
    pub(crate) fn origin_ms(&self) -> Option<u64> {
        let spread = self.spread.as_ref()?;
        Some((spread.held_nowhere().len() as f64 * spread.origin_chunk_ms()) as u64)
    }

    /// The same for an origin that has not failed: its link needs no longer than it has had too little time for.
    /// What others hold is known late, and by the time all sidecars reckon alike.
    pub(crate) fn scheduled_origin_ms(&self, now: Millis) -> Option<u64> {
        let end = self.named.at.plus(START_DELAY + self.copy_ms()?);
        Some(self.origin_ms()?.min(end.since(now).0))
    }

    /// How long the origin's link takes for every chunk, in milliseconds. `None` without a manifest.
    pub(crate) fn copy_ms(&self) -> Option<u64> {
        let spread = self.spread.as_ref()?;
        Some((f64::from(spread.have().capacity()) * spread.origin_chunk_ms()) as u64)
    }

    /// Whether the origin is needed for more than the last few chunks.
    pub(crate) fn needs_origin(&self) -> bool {
        let spread = self.spread.as_ref();
        spread.is_some_and(|it| it.held_nowhere().len() > LAST_CHUNKS)
    }

    /// Whether no chunk has come for a while, here or anywhere.
    pub(crate) fn stands_still(&self, now: Millis) -> bool {
        let progress = self.spread.as_ref().map(|it| it.news_at().max(it.last_chunk_at()));
        progress.is_some_and(|it| now.since(it).0 > STANDSTILL)
    }

    /// Sets how much of the origin this version may use.
    pub(crate) fn use_origin(&mut self, now: Millis, share: OriginShare) {
        if let Some(spread) = &mut self.spread {
            spread.use_origin(now, share);
        }
    }

    /// Whether chunks of this version have come for a while since the one before it stands still: that one is
    /// not to be had, for the origin works.
    pub(crate) fn comes_alone(&mut self, now: Millis, older: &Self) -> bool {
        if !older.stands_still(now) || !self.came_after_standstill_of(older) {
            self.alone_since = None;
            return false;
        }
        let since = *self.alone_since.get_or_insert(now);
        now.since(since).0 > STANDSTILL
    }

    /// Whether a chunk was heard of when the version before had stood still for a while.
    fn came_after_standstill_of(&self, older: &Self) -> bool {
        let (Some(newer), Some(older)) = (&self.spread, &older.spread) else {
            return false;
        };
        let standstill = older.last_chunk_at().max(older.news_at()).plus(STANDSTILL);
        newer.held_nowhere().len() < newer.have().capacity() as usize
            && newer.news_at() > standstill
    }

    /// The chunks that are here.
    pub(crate) fn have(&self) -> Option<&Bitmap> {
        self.spread.as_ref().map(Spread::have)
    }

    /// The exchange of chunks, once the manifest is here.
    pub(crate) fn spread_mut(&mut self) -> Option<&mut Spread> {
        self.spread.as_mut()
    }

    /// Whether the manifest should be asked for now: to draw the version, or to keep a share of the
    /// chunks of the version that is served for others. `held` is the version that the runner holds.
    pub(crate) fn wants_manifest(
        &mut self,
        now: Millis,
        known_for: u64,
        held: Option<u64>,
    ) -> bool {
        if let Step::Describing { asked: false, .. } = self.step {
            if held.is_some_and(|it| it >= self.version) {
                // A runner that serves the version needs no chunks.
                self.step = Step::Served;
            }
        }
        let due = now >= self.describe_at;
        match self.step {
            Step::Describing { not_before, asked } => !asked && due && now >= not_before,
            Step::Served => {
                let known = self.has_manifest() || self.asked_for_share;
                !known && due && known_for >= SHARE_DELAY
            }
            _ => false,
        }
    }

    /// The manifest is asked for now.
    pub(crate) fn note_asked(&mut self) {
        match &mut self.step {
            Step::Describing { asked, .. } => *asked = true,
            _ => self.asked_for_share = true,
        }
    }

    /// Whether a manifest that arrives starts the exchange of chunks. Otherwise it only takes the place of
    /// one that was doubted.
    pub(crate) fn awaits_manifest(&self) -> bool {
        !self.has_manifest() || matches!(self.step, Step::Describing { .. })
    }

    /// Whether the manifest is here.
    fn has_manifest(&self) -> bool {
        self.spread.is_some()
    }

    /// Counts a chunk whose digest is not the manifest's, and tells whether the manifest should be read
    /// again from its origin.
    pub(crate) fn doubts_manifest(&mut self, index: u32) -> bool {
        let count = self.corrupt.entry(index).or_default();
        *count += 1;
        if *count < DOUBTS {
            return false;
        }
        self.corrupt.clear();
        true
    }

    /// The manifest did not arrive.
    pub(crate) fn wait_for_manifest(&mut self, now: Millis, me: &InstanceId) {
        // Sidecars that failed together come back at different times.
        let spread = me.0.bytes().fold(0, |sum: u64, byte| sum * 31 % 1009 + u64::from(byte));
        let pause = DESCRIBE_PAUSE + (spread + now.0) % DESCRIBE_SPREAD;
        self.describe_at = now.plus(pause);
        self.asked_for_share = false;
        if let Step::Describing { asked, .. } = &mut self.step {
            *asked = false;
        }
    }

    /// How long the missing chunks take over a link of `link_bytes_per_s`, in milliseconds. `None` while none
    /// comes.
    pub(crate) fn until_whole_ms(&self, now: Millis, link_bytes_per_s: u64) -> Option<u64> {
        let spread = self.spread.as_ref()?;
        if now.since(spread.last_chunk_at()).0 > STANDSTILL {
            return None;
        }
        let missing = u64::from(spread.have().capacity() - spread.have().count());
        let bytes = missing * u64::from(spread.manifest.chunk_bytes);
        let bytes_per_ms = link_bytes_per_s as f64 * LINK_SHARE / 1000.0;
        Some((bytes as f64 / bytes_per_ms.max(1.0)) as u64)
    }

    /// Starts the exchange of chunks.
    pub(crate) fn start_spread(
        &mut self,
        now: Millis,
        options: &RolloutOptions,
        plan: &WeightsPlan,
        peers: &[Peer],
        manifest: Arc<Manifest>,
        serves: bool,
    ) {
        self.pace = if serves { GENTLE } else { URGENT };
        let gated = options.ablation.keeps(Mechanism::HallGates);
        let reach = Reach {
            chosen: CHOSEN_NEIGHBOURS,
            near: NEAR_NEIGHBOURS,
            most: MOST_NEIGHBOURS,
            hall_patience_ms: gated.then_some(self.pace.hall_patience_ms),
        };
        let keeps = self.step == Step::Served;
        let receivers = self.receivers(peers);
        let spread_options = SpreadOptions {
            copies: ORIGIN_COPIES,
            origin_bytes_per_s: plan.origin_bytes_per_s,
            download_bytes_per_s: (options.link_bytes_per_s as f64 * LINK_SHARE) as u64,
            control_bytes_per_s: options.control_bytes_per_s,
            patience_ms: Some(self.pace.patience_ms),
            reach,
            choice: Choice::Rarest,
        };
        let mut spread =
            Spread::new(now, &options.me, &options.place, manifest, &receivers, spread_options);
        spread.set_participants(now, &participants(self.version, peers));
        self.spread = Some(spread);
        if !keeps {
            self.step = Step::Finding;
        }
    }

    /// Takes in who else there is, and who is no more.
    pub(crate) fn take_peers(&mut self, now: Millis, peers: &[Peer], gone: &[Peer]) {
        let receivers = self.receivers(peers);
        let (version, keeps) = (self.version, self.step == Step::Served);
        let Some(spread) = &mut self.spread else {
            return;
        };
        // Shares that are kept stay as they are: with each newcomer they would all be dealt anew.
        if !keeps {
            spread.add_receivers(&receivers);
        }
        let mut all = participants(version, peers);
        let down = participants(version, gone);
        all.extend(down.into_iter().map(|it| Participant { up: false, ..it }));
        spread.set_participants(now, &all);
    }

    /// Who draws chunks. Those that serve the version already need none, but each keeps its share of
    /// them.
    fn receivers(&self, peers: &[Peer]) -> Vec<(InstanceId, Hall)> {
        let keeps = self.step == Step::Served;
        let wanting = peers.iter().filter(|it| keeps || it.version != Some(self.version));
        wanting.map(|it| (it.id.clone(), it.place.hall.clone())).collect()
    }

    /// Draws and summaries that are due. While another version comes, this one draws only the chunks that
    /// it owes the others, for the origin may go out.
    pub(crate) fn exchange(&mut self, now: Millis, other_comes: bool) -> Vec<Effect> {
        let version = self.version;
        let Some(spread) = &mut self.spread else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        match self.step {
            Step::Drawing if other_comes => effects.extend(spread.draw_own(now)),
            Step::Drawing => {
                let narrow = spread.usual_chunk_ms() > NARROW_CHUNK_MS;
                let window = if narrow { 1 } else { self.pace.window };
                effects.extend(spread.draw(now, window));
            }
            Step::Served => effects.extend(spread.draw_kept(now)),
            _ => {}
        }
        effects.extend(spread.summarize(now));
        effects.into_iter().map(|it| translate(version, it)).collect()
    }
}

/// The other sidecars as the spread sees them.
fn participants(version: u64, peers: &[Peer]) -> Vec<Participant> {
    let as_participant = |peer: &Peer| Participant {
        id: peer.id.clone(),
        place: peer.place.clone(),
        address: peer.address,
        up: true,
        holds: peer.version == Some(version),
    };
    peers.iter().map(as_participant).collect()
}

fn translate(version: u64, effect: SpreadEffect) -> Effect {
    match effect {
        SpreadEffect::Draw(draw) => Effect::Draw(version, draw),
        SpreadEffect::Summarize { to, have } => Effect::Summarize { to, version, have },
    }
}
