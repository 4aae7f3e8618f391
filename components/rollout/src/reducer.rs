//! The reducer of a sidecar.

mod admission;
mod estimate;
mod moves;
mod retirement;
mod status;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::cold::ColdStart;
use crate::event::{
    Effect, Event, LoadOrder, ManifestSource, OrderOutcome, Peer, RolloutOptions, RunnerStatus,
    WeightsPlan,
};
use crate::first_attempts::FirstAttempts;
use crate::manifest_searches::ManifestSearches;
use crate::pinned_requests::PinnedRequests;
use crate::rate::RateLimiter;
use crate::reservation_requests::ReservationQueue;
use crate::runner_slots::RunnerSlots;
use crate::target::{Step, Target};
use fleet::{
    AnnouncedVersion, Announcement, Announcements, Bitmap, Evacuations, IncarnationReport,
    InstanceId, Mechanism, Millis,
};
use reducer::FetchSource;

/// The version that runners hold before any version is announced.
const FIRST_VERSION: u64 = 1;
/// How long the runner may take to report that it accepted an order, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 1500;
/// Pause after a rejected order, in milliseconds.
const ORDER_RETRY_MS: u64 = 250;
/// How long before the deadline the last runner is ordered to load a version, in milliseconds. A runner with
/// a pending order starts no new requests.
const LAST_ORDER_MARGIN_MS: u64 = 1500;

/// Maximum number of running requests that an order may abort, unless one of them is pinned. Gateways resume
/// them at other runners, which costs less than a runner that waits for its last few requests.
const MAX_ABORTED_REQUESTS: u32 = 2;
/// How long a runner may take to drain to `MAX_ABORTED_REQUESTS`, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 1500;
/// Time for writing the chunks of a version to the runner, in milliseconds.
const STAGING_MS: u64 = 20;

/// How long after its start a sidecar expects other sidecars that started with it to appear, in milliseconds.
const STARTUP_MS: u64 = 15_000;
/// Orders that are closer than this cannot be put in sequence, in milliseconds.
const SIMULTANEOUS_ORDERS_MS: u64 = 40;

/// How long after a suspension datagrams may still be read that arrived during it, in milliseconds.
const OLD_DATAGRAMS_MS: u64 = 150;

/// The state of a sidecar.
pub struct Rollout {
    options: RolloutOptions,
    plan: Option<WeightsPlan>,
    /// Whether all announced versions are known.
    versions_known: bool,
    /// When the process resumed after a suspension, until it has received the current state again.
    resumed_at: Option<Millis>,
    /// The announced versions.
    announced: Announcements,
    /// Since when requests have been waiting at the runner, if any are.
    waiting_since: Option<Millis>,
    status: Option<RunnerStatus>,
    /// The incarnation of the runner by its latest report. Kept while the runner does not respond.
    incarnation: Option<IncarnationReport>,
    /// When the runner last reported its status, and when this sidecar last sent it an order. A status from
    /// before an order does not describe what the runner does now.
    status_at: Millis,
    own_order_at: Millis,
    /// When the runner was last ordered to drop a version.
    retired_at: Option<Millis>,
    /// Whether the runner reports that it is leaving.
    runner_leaves: bool,
    slots: RunnerSlots,
    pinned: PinnedRequests,
    cold: ColdStart,
    rate: RateLimiter,
    reservation_queue: ReservationQueue,
    first_attempts: FirstAttempts,
    manifest_searches: ManifestSearches,
    /// When this sidecar sent an order, unless another sidecar is known to have sent one since. Faults affect
    /// the machine with the latest order first.
    ordered_at: Option<Millis>,
    /// `None` until the list of runners has been read.
    peers: Option<Vec<Peer>>,
    /// When the list of runners was first read, and when it last grew while the fleet started.
    peers_first_at: Millis,
    peers_grown_at: Millis,
    /// The evacuated data halls.
    evacuations: Evacuations,
    /// The version that the runner serves or is switched to.
    current: Option<Target>,
    /// A newer version whose chunks are still being fetched while the runner is switched to the current one.
    next: Option<Target>,
}

impl Rollout {
    /// Creates the state of a sidecar that knows nothing yet.
    pub fn new(options: RolloutOptions) -> Self {
        let mut slots = RunnerSlots::default();
        if !options.ablation.is_enabled(Mechanism::ReadingCredit) {
            slots.disable_pacing();
        }
        Self {
            evacuations: Evacuations::new(options.evacuate_ms, &options.ablation),
            cold: ColdStart::new(options.cold),
            options,
            plan: None,
            versions_known: false,
            resumed_at: None,
            announced: Announcements::default(),
            waiting_since: None,
            status: None,
            incarnation: None,
            status_at: Millis(0),
            own_order_at: Millis(0),
            retired_at: None,
            runner_leaves: false,
            slots,
            pinned: PinnedRequests::default(),
            rate: RateLimiter::default(),
            reservation_queue: ReservationQueue::default(),
            first_attempts: FirstAttempts::default(),
            manifest_searches: ManifestSearches::default(),
            ordered_at: None,
            peers: None,
            peers_first_at: Millis(0),
            peers_grown_at: Millis(0),
            current: None,
            next: None,
        }
    }

    /// The plan in effect.
    pub fn plan(&self) -> Option<&WeightsPlan> {
        self.plan.as_ref()
    }

    /// The latest status of the runner.
    pub fn status(&self) -> Option<&RunnerStatus> {
        self.status.as_ref()
    }

    /// The addresses of the other sidecars.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let others = self.peers.iter().flatten().filter(|it| it.id != self.options.me);
        others.map(|it| it.address).collect()
    }

    /// The version that the runner serves or is switched to.
    pub fn target_version(&self) -> Option<u64> {
        self.current.as_ref().map(|it| it.version)
    }

    /// The chunks of a version that this sidecar holds.
    pub fn held_chunks(&self, version: u64) -> Option<&Bitmap> {
        let mut targets = self.current.iter().chain(&self.next);
        targets.find(|it| it.version == version)?.have()
    }

    /// The versions that are being fetched, oldest first, with the chunks that this sidecar holds.
    pub fn fetching(&self) -> impl Iterator<Item = (u64, &Bitmap)> {
        let targets = self.current.iter().chain(&self.next);
        targets.filter_map(|it| Some((it.version, it.have()?)))
    }

    /// Applies an event and returns the resulting effects.
    pub fn reduce(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        match event {
            Event::DeadlinesChanged { version_ms, evacuate_ms } => {
                self.options.evacuate_ms = evacuate_ms;
                self.evacuations.set_deadline(evacuate_ms, &self.options.ablation);
                self.change_deadline(now, version_ms);
            }
            Event::ColdLimitChanged(limit) => self.cold.set_limit(now, limit),
            Event::Configured(plan) => {
                self.slots.set_profile(plan.slots, plan.prompt_tokens_per_ms);
                self.cold.set_plan(now, plan.cold);
                self.plan = Some(plan);
            }
            Event::Announced { version, announced_at, after_ms } => {
                let (at, known) = (announced_at.unwrap_or(now), announced_at.is_some());
                self.record_announcement(now, Announcement { version, at, known, after_ms });
            }
            Event::VersionsKnown => {
                if self.resumed_at.is_none_or(|at| now.since(at).0 >= OLD_DATAGRAMS_MS) {
                    self.resumed_at = None;
                    self.versions_known = true;
                }
            }
            // Announcements and evacuations during the suspension are unknown. A gateway reports them within
            // a second.
            Event::Resumed => {
                self.versions_known = false;
                self.resumed_at = Some(now);
                return self.answer_queued(now);
            }
            Event::Status(status) => {
                let mut effects = self.apply_status(now, status);
                effects.extend(self.answer_queued(now));
                return effects;
            }
            Event::RunnerLeaves(leaves) => {
                self.runner_leaves = leaves;
                return self.answer_queued(now);
            }
            Event::LimitAdvertised(requested_at, reported) => {
                let is_changed = self.rate.apply_response(now, requested_at, reported);
                return self.apply_limit_change(now, is_changed);
            }
            Event::LimitReported(report) => {
                let is_changed = self.rate.apply_report(now, self.incarnation_start(), report);
                return self.apply_limit_change(now, is_changed);
            }
            Event::ColdFor(left_ms) => self.cold.apply_report(now, left_ms),
            Event::Unresponsive => {
                self.status = None;
                return self.answer_queued(now);
            }
            Event::Evacuations(list) => {
                let changes = self.evacuations.take(now, &list).into_iter();
                let mut effects: Vec<Effect> = changes.map(Effect::Evacuation).collect();
                if !effects.is_empty() {
                    effects.extend(self.answer_queued(now));
                }
                return effects;
            }
            Event::ReservationRequested(reservation) => {
                return vec![self.handle_reservation_request(now, reservation)]
            }
            Event::PinEnded { asker, number } => {
                self.pinned.remove(asker, number);
                self.reservation_queue.remove(asker, number);
            }
            Event::Peers(peers) => self.update_peers(now, peers),
            Event::ManifestReceived(version, manifest) => {
                let (Some(plan), Some(all)) = (self.plan.clone(), self.peers.clone()) else {
                    return Vec::new();
                };
                let options = self.options.clone();
                let serves = self.serves();
                let Some(target) = self.target(version).filter(|it| it.needs(&manifest)) else {
                    return Vec::new();
                };
                target.start_spread(now, &options, &plan, &all, manifest, serves);
                if target.step == Step::ReadingRunner {
                    return vec![Effect::ReadStoredChunks(version)];
                }
            }
            Event::ManifestFailed(version) => {
                let me = self.options.me.clone();
                if let Some(target) = self.target(version) {
                    target.schedule_manifest_retry(now, &me);
                }
            }
            Event::StoredChunksRead(version, found) => self.apply_found(version, &found),
            Event::Arrived { version, index, source, verified } => {
                let mut effects = self.handle_chunk(now, version, index, &source, verified);
                effects.extend(self.advance(now));
                return effects;
            }
            Event::FetchFailed { version, index, source, code } => {
                if let Some(spread) = self.target(version).and_then(Target::spread_mut) {
                    spread.fail_chunk(now, index, &source, code, 0);
                }
                return self.advance(now);
            }
            Event::Summary { from, address, place, version, have } => {
                self.manifest_searches.note_holder(now, version, address);
                if let Some(spread) = self.target(version).and_then(Target::spread_mut) {
                    spread.handle_summary(now, &from, address, &place, have);
                }
            }
            Event::SourceChunks { of, version, have } => {
                if let Some(spread) = self.target(version).and_then(Target::spread_mut) {
                    spread.set_holdings(now, &of, have);
                }
            }
            Event::Staged(version, is_complete) => {
                return self.apply_staged(now, version, is_complete)
            }
            Event::Ordered(version, outcome) => self.apply_order_outcome(now, version, outcome),
            Event::PeerOrdered => {
                let is_distinct =
                    self.ordered_at.is_some_and(|at| now.since(at).0 > SIMULTANEOUS_ORDERS_MS);
                if is_distinct {
                    self.ordered_at = None;
                }
            }
            Event::SentLatestOrder => {
                self.ordered_at.get_or_insert(now);
            }
            Event::Tick => {
                let mut effects = self.advance(now);
                let changes = self.evacuations.expire_unconfirmed(now).into_iter();
                effects.extend(changes.map(Effect::Evacuation));
                effects.extend(self.answer_queued(now));
                return effects;
            }
        }
        Vec::new()
    }

    /// Applies a received chunk. If a chunk never has the right digest, the manifest itself may be wrong.
    fn handle_chunk(
        &mut self,
        now: Millis,
        version: u64,
        index: u32,
        source: &FetchSource,
        verified: bool,
    ) -> Vec<Effect> {
        let Some(target) = self.target(version) else {
            return Vec::new();
        };
        if let Some(spread) = target.spread_mut() {
            spread.handle_chunk(now, index, source, verified);
        }
        if !verified && target.note_digest_mismatch(index) {
            return vec![Effect::FetchManifest(version, ManifestSource::Origin)];
        }
        Vec::new()
    }

    /// Returns whether the runner serves any version.
    fn serves(&self) -> bool {
        self.status.as_ref().is_some_and(|it| it.version.is_some())
    }

    fn target(&mut self, version: u64) -> Option<&mut Target> {
        let mut targets = self.current.iter_mut().chain(&mut self.next);
        targets.find(|it| it.version == version)
    }

    /// Records an announced version. If the time of the announcement is unknown, the current time is used
    /// until another process reports it.
    fn record_announcement(&mut self, now: Millis, report: Announcement) {
        self.announced.add(report);
        let announcement = self.announced.get(report.version);
        if let Some((target, announcement)) = self.target(report.version).zip(announcement) {
            target.announcement = announcement;
        }
        self.announced.remove_superseded(now, self.options.version_ms);
    }

    /// The newest announced version, or the initial version if none was announced.
    pub fn newest_announced(&self) -> u64 {
        self.newest_announcement().version
    }

    /// The newest announced version.
    fn newest_announcement(&self) -> Announcement {
        let first =
            Announcement { version: FIRST_VERSION, at: Millis(0), known: false, after_ms: None };
        self.announced.newest().unwrap_or(first)
    }

    /// The announced versions to report to gateways, each until its deadline, oldest first.
    pub fn announced_versions(&self, now: Millis) -> Vec<AnnouncedVersion> {
        let Some(plan) = &self.plan else {
            return Vec::new();
        };
        let version_ms = self.options.version_ms;
        let is_reportable = |it: &Announcement| it.known && now.since(it.at).0 <= version_ms;
        let reports = self.announced.to_report(now, version_ms).filter(is_reportable).map(|it| {
            AnnouncedVersion {
                model: plan.model.clone(),
                version: it.version,
                age_ms: self.is_enabled(Mechanism::VersionAges).then(|| now.since(it.at).0),
                after_ms: it.after_ms.filter(|_| self.is_enabled(Mechanism::VersionAges)),
            }
        });
        reports.collect()
    }

    /// Returns whether a mechanism is enabled.
    fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.options.ablation.is_enabled(mechanism)
    }

    /// Starts to fetch the newest announced version, or completes the previous one first.
    fn follow_announcement(&mut self, now: Millis) {
        let announcement = self.newest_announcement();
        let newest = self.next.as_ref().or(self.current.as_ref()).map_or(0, |it| it.version);
        if announcement.version <= newest {
            return;
        }
        let target = Target::new(announcement);
        if self.is_completed_before(now, &target) {
            self.next = Some(target);
        } else {
            self.current = Some(target);
            self.next = None;
        }
    }

    fn update_peers(&mut self, now: Millis, peers: Vec<Peer>) {
        let known: BTreeSet<&InstanceId> = peers.iter().map(|it| &it.id).collect();
        let before = self.peers.take().unwrap_or_default();
        let removed: Vec<Peer> =
            before.iter().filter(|it| !known.contains(&it.id)).cloned().collect();
        for target in self.current.iter_mut().chain(&mut self.next) {
            target.update_peers(now, &peers, &removed);
        }
        let known: BTreeSet<&InstanceId> = before.iter().map(|it| &it.id).collect();
        let has_grown = peers.iter().any(|it| !known.contains(&it.id));
        let is_starting = now.since(self.peers_first_at).0 < STARTUP_MS;
        if self.peers_first_at == Millis(0) {
            (self.peers_first_at, self.peers_grown_at) = (now, now);
        } else if has_grown && is_starting {
            self.peers_grown_at = now;
        }
        self.peers = Some(peers);
    }

    fn apply_found(&mut self, version: u64, found: &Bitmap) {
        let Some(target) = self.target(version) else {
            return;
        };
        if let Some(spread) = target.spread_mut() {
            spread.adopt(found);
        }
        if target.step == Step::ReadingRunner {
            target.step = Step::Fetching;
        }
    }

    fn apply_staged(&mut self, now: Millis, version: u64, is_complete: bool) -> Vec<Effect> {
        let (is_ready, knows_versions) = (self.is_runner_ready_for_order(), self.versions_known);
        let status = self.status.clone();
        let Some(target) = self.target(version) else {
            return Vec::new();
        };
        let Step::Staging(reason) = target.step else {
            return Vec::new();
        };
        let Some(status) = status.filter(|_| is_complete && is_ready && knows_versions) else {
            target.step = Step::Waiting(now.plus(ORDER_RETRY_MS));
            return Vec::new();
        };
        target.step = Step::Ordered(now, status.sequence);
        self.ordered_at = Some(now);
        self.own_order_at = now;
        let abort_running = status.running > 0 && self.may_abort(now, status.running);
        vec![Effect::Order(LoadOrder {
            version,
            sequence: status.sequence,
            running: status.running,
            abort_running,
            reason,
        })]
    }

    fn apply_order_outcome(&mut self, now: Millis, version: u64, outcome: OrderOutcome) {
        let Some(target) = self.target(version) else {
            return;
        };
        // An order that was accepted, or may have been, is visible in the runner's next status.
        if matches!(target.step, Step::Ordered(..)) && outcome == OrderOutcome::Refused {
            target.step = Step::Waiting(now.plus(ORDER_RETRY_MS));
        }
    }
}
