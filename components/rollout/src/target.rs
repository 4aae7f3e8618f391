//! The transfer of one version to the runner.

use std::collections::BTreeMap;
use std::sync::Arc;

use fleet::{Announcement, Bitmap, Hall, InstanceId, Manifest, Mechanism, Millis};
use reducer::{
    FetchStrategy, NeighbourLimits, OriginShare, Participant, Spread, SpreadEffect, SpreadOptions,
    SpreadPhase,
};

use crate::event::{Effect, OrderReason, Peer, RolloutOptions, WeightsPlan};

/// Number of neighbours that a sidecar selects itself, and how many of them in its own hall.
const SELECTED_NEIGHBOURS: usize = 16;
const SELECTED_NEAR_NEIGHBOURS: usize = 10;
/// Maximum number of neighbours. A sidecar that selects one which has reached this limit would never learn of
/// its chunks.
const MAX_NEIGHBOURS: usize = 96;
/// Number of copies fetched from the origin.
const ORIGIN_COPIES: u32 = 1;
/// The pace for a runner that serves an older version. Its responses use the same link, and links between
/// halls are expensive, so few chunks are fetched at a time and each enters a hall once.
const PACE_WHILE_SERVING: Pace = Pace { window: 5, rank_delay_ms: 700, hall_rank_delay_ms: 700 };
/// The pace for a runner that serves nothing. Its time is lost, so the sidecar waits only briefly for the
/// others in its hall.
const PACE_WHILE_IDLE: Pace = Pace { window: 6, rank_delay_ms: 900, hall_rank_delay_ms: 200 };

/// Chunks that take longer than this are fetched one at a time, in milliseconds. The link is slow then, and
/// requests queue behind the chunks.
const SLOW_CHUNK_MS: f64 = 300.0;

/// The pace at which chunks are fetched.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Maximum number of concurrent fetches from other sidecars.
    window: usize,
    /// How long a receiver waits for the one before it in rank, in milliseconds.
    rank_delay_ms: u64,
    /// How long a receiver waits for the one before it in rank in its own hall, in milliseconds.
    hall_rank_delay_ms: u64,
}
/// Number of digest mismatches of the same chunk after which the manifest itself is fetched again.
const MAX_DIGEST_MISMATCHES: u32 = 3;
/// Number of chunks without a known holder at which the next version may already use the origin, whose link
/// would otherwise be idle. About as many chunks have arrived by then without all sidecars knowing of them.
const MAX_LAST_CHUNKS: usize = 8;
/// Minimum pause after a failed fetch of the manifest, in milliseconds.
const MANIFEST_RETRY_MS: u64 = 80;
/// Range of the additional pause, which differs between sidecars, in milliseconds.
const MANIFEST_RETRY_JITTER_MS: u64 = 300;
/// How long the other sidecars must be known before this one keeps a share of the chunks, in milliseconds.
/// Sidecars that start together discover each other first.
const SHARE_DELAY_MS: u64 = 4000;
/// Time without a new chunk after which a transfer counts as stalled, in milliseconds: many times the usual
/// interval between two chunks.
const STALL_MS: u64 = 800;
/// Time from the announcement of a version until its first chunk leaves the origin, in milliseconds: until
/// the announcement and the manifest have been received and the chunks at the runners have been reported.
const START_DELAY_MS: u64 = 300;
/// Fraction of the link's bandwidth for chunks.
const LINK_FRACTION: f64 = 0.9;

/// The progress of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// The manifest is being fetched, or will be at the given time.
    FetchingManifest {
        /// The earliest time to fetch it.
        not_before: Millis,
        /// Whether it is being fetched.
        is_requested: bool,
    },
    /// The chunks stored at the runner are being read.
    ReadingRunner,
    /// Chunks are being fetched.
    Fetching,
    /// All chunks are here. The runner is ordered at the given time.
    Waiting(Millis),
    /// The chunks are being written to the runner. The reason is that of the order that follows.
    Staging(OrderReason),
    /// The runner was ordered when it had accepted the given number of orders, and has been loading the version
    /// since the given time at the earliest.
    Ordered(Millis, u64),
    /// The runner holds the version.
    Served,
}

/// A version that is transferred to the runner.
pub(crate) struct Target {
    /// The version.
    pub(crate) version: u64,
    /// Its announcement.
    pub(crate) announcement: Announcement,
    /// The progress.
    pub(crate) step: Step,
    spread: Option<Spread>,
    /// Whether the manifest was requested in order to keep a share of the chunks of a version that is served.
    requested_for_share: bool,
    /// The earliest time to request the manifest.
    manifest_retry_at: Millis,
    /// Number of digest mismatches per chunk.
    digest_mismatches: BTreeMap<u32, u32>,
    pace: Pace,
    /// Since when chunks of this version have been arriving while the previous version was stalled.
    progress_alone_since: Option<Millis>,
}

impl Target {
    /// Creates the target for a version that was just announced.
    pub(crate) fn new(announcement: Announcement) -> Self {
        let step = Step::FetchingManifest { not_before: announcement.at, is_requested: false };
        Self {
            version: announcement.version,
            announcement,
            step,
            spread: None,
            requested_for_share: false,
            manifest_retry_at: Millis(0),
            digest_mismatches: BTreeMap::new(),
            pace: PACE_WHILE_IDLE,
            progress_alone_since: None,
        }
    }

    /// Returns whether all chunks are here.
    pub(crate) fn is_complete(&self) -> bool {
        self.spread.as_ref().is_some_and(|it| it.phase() == SpreadPhase::Complete)
    }

    /// Returns whether all chunks are here and the runner has not loaded them yet.
    pub(crate) fn is_awaiting_load(&self) -> bool {
        matches!(self.step, Step::Waiting(_) | Step::Staging(_) | Step::Ordered(..))
    }

    /// Returns whether chunks are being fetched.
    pub(crate) fn is_fetching(&self) -> bool {
        self.step == Step::Fetching
    }

    /// Time the origin's link needs for the chunks without a known holder, in milliseconds. `None` without a
    /// manifest.
    pub(crate) fn origin_ms(&self) -> Option<u64> {
        let spread = self.spread.as_ref()?;
        Some((spread.unheld_chunks().len() as f64 * spread.origin_chunk_ms()) as u64)
    }

    /// Like `origin_ms`, but assumes that the origin has not failed: then its link needs at most the rest of
    /// the time that a whole copy takes. Sidecars learn late which chunks others hold, but all of them derive
    /// the same schedule.
    pub(crate) fn scheduled_origin_ms(&self, now: Millis) -> Option<u64> {
        let end = self.announcement.at.plus(START_DELAY_MS + self.copy_ms()?);
        Some(self.origin_ms()?.min(end.since(now).0))
    }

    /// Time the origin's link needs for all chunks, in milliseconds. `None` without a manifest.
    pub(crate) fn copy_ms(&self) -> Option<u64> {
        let spread = self.spread.as_ref()?;
        Some((f64::from(spread.have().capacity()) * spread.origin_chunk_ms()) as u64)
    }

    /// Returns whether more than the last few chunks have to come from the origin.
    pub(crate) fn needs_origin(&self) -> bool {
        let spread = self.spread.as_ref();
        spread.is_some_and(|it| it.unheld_chunks().len() > MAX_LAST_CHUNKS)
    }

    /// Returns whether no chunk has arrived for a while, at this or any other sidecar.
    pub(crate) fn is_stalled(&self, now: Millis) -> bool {
        let progress =
            self.spread.as_ref().map(|it| it.last_new_chunk_at().max(it.last_chunk_at()));
        progress.is_some_and(|it| now.since(it).0 > STALL_MS)
    }

    /// Sets the share of the origin that this version may use.
    pub(crate) fn set_origin_share(&mut self, now: Millis, share: OriginShare) {
        if let Some(spread) = &mut self.spread {
            spread.set_origin_share(now, share);
        }
    }

    /// Returns whether chunks of this version have been arriving for a while since the previous version
    /// stalled. The previous version is then unavailable, because the origin works.
    pub(crate) fn progresses_alone(&mut self, now: Millis, older: &Self) -> bool {
        if !older.is_stalled(now) || !self.progressed_after_stall_of(older) {
            self.progress_alone_since = None;
            return false;
        }
        let since = *self.progress_alone_since.get_or_insert(now);
        now.since(since).0 > STALL_MS
    }

    /// Returns whether this sidecar learned of a chunk after the previous version had been stalled for a
    /// while.
    fn progressed_after_stall_of(&self, older: &Self) -> bool {
        let (Some(newer), Some(older)) = (&self.spread, &older.spread) else {
            return false;
        };
        let stalled_at = older.last_chunk_at().max(older.last_new_chunk_at()).plus(STALL_MS);
        newer.unheld_chunks().len() < newer.have().capacity() as usize
            && newer.last_new_chunk_at() > stalled_at
    }

    /// The chunks that this sidecar holds.
    pub(crate) fn have(&self) -> Option<&Bitmap> {
        self.spread.as_ref().map(Spread::have)
    }

    /// The distribution of the chunks, once the manifest is known.
    pub(crate) fn spread_mut(&mut self) -> Option<&mut Spread> {
        self.spread.as_mut()
    }

    /// Returns whether to fetch the manifest now: to fetch the version, or to keep a share of its chunks for
    /// others if the version is served. `held_version` is the version that the runner holds.
    pub(crate) fn should_fetch_manifest(
        &mut self,
        now: Millis,
        peers_known_ms: u64,
        held_version: Option<u64>,
    ) -> bool {
        if let Step::FetchingManifest { is_requested: false, .. } = self.step {
            if held_version.is_some_and(|it| it >= self.version) {
                // A runner that serves the version needs no chunks.
                self.step = Step::Served;
            }
        }
        let is_due = now >= self.manifest_retry_at;
        match self.step {
            Step::FetchingManifest { not_before, is_requested } => {
                !is_requested && is_due && now >= not_before
            }
            Step::Served => {
                let is_known_or_requested = self.has_manifest() || self.requested_for_share;
                !is_known_or_requested && is_due && peers_known_ms >= SHARE_DELAY_MS
            }
            _ => false,
        }
    }

    /// Records that the manifest is being fetched.
    pub(crate) fn note_manifest_requested(&mut self) {
        match &mut self.step {
            Step::FetchingManifest { is_requested, .. } => *is_requested = true,
            _ => self.requested_for_share = true,
        }
    }

    /// Returns whether a received manifest starts the distribution. Otherwise it only replaces one that may
    /// be wrong.
    pub(crate) fn awaits_manifest(&self) -> bool {
        !self.has_manifest() || matches!(self.step, Step::FetchingManifest { .. })
    }

    /// Returns whether the distribution has to start with this manifest: none is known, or one with another number of
    /// chunks, which was no manifest of this version.
    pub(crate) fn needs(&self, manifest: &Manifest) -> bool {
        let known = self.spread.as_ref().map(|it| it.manifest.chunks());
        self.awaits_manifest() || known.is_some_and(|it| it != manifest.chunks())
    }

    /// Returns whether the manifest is known.
    fn has_manifest(&self) -> bool {
        self.spread.is_some()
    }

    /// Counts a digest mismatch of a chunk, and returns whether to fetch the manifest again from the origin.
    pub(crate) fn note_digest_mismatch(&mut self, index: u32) -> bool {
        let count = self.digest_mismatches.entry(index).or_default();
        *count += 1;
        if *count < MAX_DIGEST_MISMATCHES {
            return false;
        }
        self.digest_mismatches.clear();
        true
    }

    /// Schedules the next fetch of the manifest after a failed one.
    pub(crate) fn schedule_manifest_retry(&mut self, now: Millis, me: &InstanceId) {
        // Sidecars that failed at the same time retry at different times.
        let id_hash = me.0.bytes().fold(0, |sum: u64, byte| sum * 31 % 1009 + u64::from(byte));
        let pause = MANIFEST_RETRY_MS + (id_hash + now.0) % MANIFEST_RETRY_JITTER_MS;
        self.manifest_retry_at = now.plus(pause);
        self.requested_for_share = false;
        if let Step::FetchingManifest { is_requested, .. } = &mut self.step {
            *is_requested = false;
        }
    }

    /// Time to fetch the missing chunks over a link of `link_bytes_per_s`, in milliseconds. `None` while no
    /// chunk arrives.
    pub(crate) fn until_complete_ms(&self, now: Millis, link_bytes_per_s: u64) -> Option<u64> {
        let spread = self.spread.as_ref()?;
        if now.since(spread.last_chunk_at()).0 > STALL_MS {
            return None;
        }
        let missing = u64::from(spread.have().capacity() - spread.have().count());
        let bytes = missing * u64::from(spread.manifest.chunk_bytes);
        let bytes_per_ms = link_bytes_per_s as f64 * LINK_FRACTION / 1000.0;
        Some((bytes as f64 / bytes_per_ms.max(1.0)) as u64)
    }

    /// Starts the distribution of the chunks.
    pub(crate) fn start_spread(
        &mut self,
        now: Millis,
        options: &RolloutOptions,
        plan: &WeightsPlan,
        peers: &[Peer],
        manifest: Arc<Manifest>,
        is_serving: bool,
    ) {
        self.pace = if is_serving { PACE_WHILE_SERVING } else { PACE_WHILE_IDLE };
        let has_hall_limit = options.ablation.is_enabled(Mechanism::HallGates);
        let reach = NeighbourLimits {
            chosen: SELECTED_NEIGHBOURS,
            near: SELECTED_NEAR_NEIGHBOURS,
            max: MAX_NEIGHBOURS,
            hall_patience_ms: has_hall_limit.then_some(self.pace.hall_rank_delay_ms),
        };
        let keeps_share = self.step == Step::Served;
        let receivers = self.receivers(peers);
        let spread_options = SpreadOptions {
            copies: ORIGIN_COPIES,
            origin_bytes_per_s: plan.origin_bytes_per_s,
            download_bytes_per_s: (options.link_bytes_per_s as f64 * LINK_FRACTION) as u64,
            control_bytes_per_s: options.control_bytes_per_s,
            timeout_ms: Some(self.pace.rank_delay_ms),
            reach,
            choice: FetchStrategy::Rarest,
        };
        let mut spread =
            Spread::new(now, &options.me, &options.place, manifest, &receivers, spread_options);
        spread.set_participants(now, &participants(self.version, peers));
        self.spread = Some(spread);
        if !keeps_share {
            self.step = Step::ReadingRunner;
        }
    }

    /// Updates the list of other sidecars, and marks those in `removed` as down.
    pub(crate) fn update_peers(&mut self, now: Millis, peers: &[Peer], removed: &[Peer]) {
        let receivers = self.receivers(peers);
        let (version, keeps_share) = (self.version, self.step == Step::Served);
        let Some(spread) = &mut self.spread else {
            return;
        };
        // Shares that are kept are not changed, because each new sidecar would cause all of them to be
        // reassigned.
        if !keeps_share {
            spread.add_receivers(&receivers);
        }
        let mut all = participants(version, peers);
        let down = participants(version, removed);
        all.extend(down.into_iter().map(|it| Participant { up: false, ..it }));
        spread.set_participants(now, &all);
    }

    /// The sidecars that fetch chunks. Those that already serve the version need none, but each keeps its
    /// share.
    fn receivers(&self, peers: &[Peer]) -> Vec<(InstanceId, Hall)> {
        let keeps_share = self.step == Step::Served;
        let fetching = peers.iter().filter(|it| keeps_share || it.version != Some(self.version));
        fetching.map(|it| (it.id.clone(), it.place.hall.clone())).collect()
    }

    /// Returns the fetches and summaries that are due. While another version is being fetched, this one only
    /// fetches the chunks that this sidecar provides to the others, because the origin may become
    /// unavailable.
    pub(crate) fn exchange(&mut self, now: Millis, other_is_fetched: bool) -> Vec<Effect> {
        let version = self.version;
        let Some(spread) = &mut self.spread else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        match self.step {
            Step::Fetching if other_is_fetched => effects.extend(spread.fetch_own_share(now)),
            Step::Fetching => {
                let is_slow = spread.usual_chunk_ms() > SLOW_CHUNK_MS;
                let window = if is_slow { 1 } else { self.pace.window };
                effects.extend(spread.fetch(now, window));
            }
            Step::Served => effects.extend(spread.fetch_for_others(now)),
            _ => {}
        }
        effects.extend(spread.summarize(now));
        effects.into_iter().map(|it| to_effect(version, it)).collect()
    }
}

/// The other sidecars as participants of the distribution.
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

fn to_effect(version: u64, effect: SpreadEffect) -> Effect {
    match effect {
        SpreadEffect::Fetch(fetch) => Effect::FetchChunk(version, fetch),
        SpreadEffect::Summarize { to, have } => Effect::Summarize { to, version, have },
    }
}
