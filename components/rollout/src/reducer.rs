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
    Effect, Event, ManifestSource, OrderOutcome, Peer, RolloutOptions, RunnerStatus, WeightsPlan,
};
use crate::first_tries::FirstTries;
use crate::manifests::Manifests;
use crate::places::Places;
use crate::questions::Questions;
use crate::rate::RateGate;
use crate::target::{Step, Target};
use fleet::{
    Bitmap, Evacuations, InstanceId, LifeWord, Mechanism, Millis, NamedVersion, VersionName,
    VersionNames,
};
use reducer::DrawSource;

/// The version that runners hold before any was named.
const FIRST_VERSION: u64 = 1;
/// How long the runner may take to show that it took an order, in milliseconds.
const ORDER_PATIENCE: u64 = 1500;
/// How long to wait after an order was refused, in milliseconds.
const ORDER_PAUSE: u64 = 250;
/// How long before its bound the last runner is ordered to take a version, in milliseconds. A runner
/// that was ordered begins nothing new.
const TAKE_MARGIN: u64 = 1500;

/// Requests that an order may cut off. Gateways go on with them at other runners, which costs less
/// than a runner that waits for its last few.
const MAX_CUT: u32 = 2;
/// How long a runner has to come down to so few, in milliseconds.
const DRAIN_PATIENCE: u64 = 1500;
/// How long the chunks of a version take to be put at the runner, in milliseconds.
const STAGING: u64 = 20;

/// How long after its start a sidecar expects others that started with it to appear, in milliseconds.
const SETTLING: u64 = 15_000;
/// How close two orders may be so that nobody can tell which was the last, in milliseconds.
const ORDER_ORDER: u64 = 40;

/// How long after a standstill datagrams may still be read that came during it, in milliseconds.
const OLD_DATAGRAMS: u64 = 150;

/// The state of a sidecar.
pub struct Rollout {
    options: RolloutOptions,
    plan: Option<WeightsPlan>,
    /// Whether the versions that were named are known.
    versions_known: bool,
    /// When the process went on after it stood still, until it is told again.
    woke_at: Option<Millis>,
    /// The versions that were named.
    names: VersionNames,
    /// Since when requests have waited at the runner, if some do.
    waiting_since: Option<Millis>,
    status: Option<RunnerStatus>,
    /// The last word of the runner on its life. It stays while the runner is silent.
    life: Option<LifeWord>,
    /// When the runner last said that, and when it was last ordered: words from before an order do not
    /// tell what it does now.
    status_at: Millis,
    own_order_at: Millis,
    /// When the runner was last ordered to give up a version.
    retired_at: Option<Millis>,
    /// Whether the runner says that it is leaving.
    runner_leaves: bool,
    places: Places,
    cold: ColdStart,
    rate: RateGate,
    questions: Questions,
    first_tries: FirstTries,
    manifests: Manifests,
    /// When this sidecar gave an order, if no other one is known to have given one since. Trouble
    /// strikes that machine first.
    ordered_at: Option<Millis>,
    /// `None` until the list of runners has been read.
    peers: Option<Vec<Peer>>,
    /// When the list of runners was first read, and when it last grew while the fleet started.
    peers_first: Millis,
    peers_since: Millis,
    /// The data halls that are evacuated.
    evacuations: Evacuations,
    /// The version that the runner is moved to, or serves.
    current: Option<Target>,
    /// A newer version whose chunks still come while the runner is moved to the current one.
    next: Option<Target>,
}

impl Rollout {
    /// Starts with nothing known.
    pub fn new(options: RolloutOptions) -> Self {
        let mut places = Places::default();
        if !options.ablation.keeps(Mechanism::ReadingCredit) {
            places.stop_pacing();
        }
        Self {
            evacuations: Evacuations::new(options.evacuate_ms, &options.ablation),
            cold: ColdStart::new(options.cold),
            options,
            plan: None,
            versions_known: false,
            woke_at: None,
            names: VersionNames::default(),
            waiting_since: None,
            status: None,
            life: None,
            status_at: Millis(0),
            own_order_at: Millis(0),
            retired_at: None,
            runner_leaves: false,
            places,
            rate: RateGate::default(),
            questions: Questions::default(),
            first_tries: FirstTries::default(),
            manifests: Manifests::default(),
            ordered_at: None,
            peers: None,
            peers_first: Millis(0),
            peers_since: Millis(0),
            current: None,
            next: None,
        }
    }

    /// The plan in force.
    pub fn plan(&self) -> Option<&WeightsPlan> {
        self.plan.as_ref()
    }

    /// What the runner last said of itself.
    pub fn status(&self) -> Option<&RunnerStatus> {
        self.status.as_ref()
    }

    /// The other sidecars.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let others = self.peers.iter().flatten().filter(|it| it.id != self.options.me);
        others.map(|it| it.address).collect()
    }

    /// The version that the runner is moved to, or serves.
    pub fn wanted(&self) -> Option<u64> {
        self.current.as_ref().map(|it| it.version)
    }

    /// The chunks of a version that are here.
    pub fn have(&self, version: u64) -> Option<&Bitmap> {
        let mut targets = self.current.iter().chain(&self.next);
        targets.find(|it| it.version == version)?.have()
    }

    /// The versions whose chunks come, oldest first, and those that are here.
    pub fn drawn(&self) -> impl Iterator<Item = (u64, &Bitmap)> {
        let targets = self.current.iter().chain(&self.next);
        targets.filter_map(|it| Some((it.version, it.have()?)))
    }

    /// Takes in an event.
    pub fn reduce(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        match event {
            Event::Bounded { version_ms, evacuate_ms } => {
                self.options.evacuate_ms = evacuate_ms;
                self.evacuations.set_bound(evacuate_ms, &self.options.ablation);
                self.change_bound(now, version_ms);
            }
            Event::ColdBounded(limit) => self.cold.set_limit(now, limit),
            Event::Planned(plan) => {
                self.places.set_profile(plan.slots, plan.prompt_tokens_per_ms);
                self.cold.set_plan(now, plan.cold);
                self.plan = Some(plan);
            }
            Event::Named { version, named_at, after_ms } => {
                let (at, known) = (named_at.unwrap_or(now), named_at.is_some());
                self.name(now, VersionName { version, at, known, after_ms });
            }
            Event::VersionsKnown => {
                if self.woke_at.is_none_or(|at| now.since(at).0 >= OLD_DATAGRAMS) {
                    self.woke_at = None;
                    self.versions_known = true;
                }
            }
            // What was named or evacuated meanwhile is not known: a gateway tells within a second.
            Event::Woke => {
                self.versions_known = false;
                self.woke_at = Some(now);
                return self.settle_questions(now);
            }
            Event::Status(status) => {
                let mut effects = self.take_status(now, status);
                effects.extend(self.settle_questions(now));
                return effects;
            }
            Event::RunnerLeaves(leaves) => {
                self.runner_leaves = leaves;
                return self.settle_questions(now);
            }
            Event::LimitReported(asked_at, word) => {
                let is_news = self.rate.take_report(now, asked_at, word);
                return self.note_limit(now, is_news);
            }
            Event::LimitTold(told) => {
                let is_news = self.rate.learn(now, self.born(), told);
                return self.note_limit(now, is_news);
            }
            Event::ColdFor(left_ms) => self.cold.take_word(now, left_ms),
            Event::Silent => {
                self.status = None;
                return self.settle_questions(now);
            }
            Event::Evacuations(list) => {
                let changes = self.evacuations.take(now, &list).into_iter();
                let mut effects: Vec<Effect> = changes.map(Effect::Evacuation).collect();
                if !effects.is_empty() {
                    effects.extend(self.settle_questions(now));
                }
                return effects;
            }
            Event::Asked(question) => return vec![self.take_question(now, question)],
            Event::Peers(peers) => self.take_peers(now, peers),
            Event::Described(version, manifest) => {
                let (Some(plan), Some(all)) = (self.plan.clone(), self.peers.clone()) else {
                    return Vec::new();
                };
                let options = self.options.clone();
                let serves = self.serves();
                let Some(target) = self.target(version).filter(|it| it.awaits_manifest()) else {
                    return Vec::new();
                };
                target.start_spread(now, &options, &plan, &all, manifest, serves);
                if target.step == Step::Finding {
                    return vec![Effect::Find(version)];
                }
            }
            Event::Undescribed(version) => {
                let me = self.options.me.clone();
                if let Some(target) = self.target(version) {
                    target.wait_for_manifest(now, &me);
                }
            }
            Event::Found(version, found) => self.take_found(version, &found),
            Event::Arrived { version, index, source, verified } => {
                let mut effects = self.take_chunk(now, version, index, &source, verified);
                effects.extend(self.advance(now));
                return effects;
            }
            Event::Missed { version, index, source, code } => {
                if let Some(spread) = self.target(version).and_then(Target::spread_mut) {
                    spread.fail_chunk(now, index, &source, code, 0);
                }
                return self.advance(now);
            }
            Event::Summary { from, address, place, version, have } => {
                self.manifests.note_holder(now, version, address);
                if let Some(spread) = self.target(version).and_then(Target::spread_mut) {
                    spread.take_summary(now, &from, address, &place, have);
                }
            }
            Event::Holdings { of, version, have } => {
                if let Some(spread) = self.target(version).and_then(Target::spread_mut) {
                    spread.take_holdings(now, &of, have);
                }
            }
            Event::Staged(version, sound) => return self.take_staged(now, version, sound),
            Event::Ordered(version, outcome) => self.take_order_outcome(now, version, outcome),
            Event::PeerOrdered => {
                let clear = self.ordered_at.is_some_and(|at| now.since(at).0 > ORDER_ORDER);
                if clear {
                    self.ordered_at = None;
                }
            }
            Event::GaveLastOrder => {
                self.ordered_at.get_or_insert(now);
            }
            Event::Tick => {
                let mut effects = self.advance(now);
                let changes = self.evacuations.settle(now).into_iter();
                effects.extend(changes.map(Effect::Evacuation));
                effects.extend(self.settle_questions(now));
                return effects;
            }
        }
        Vec::new()
    }

    /// Takes in a chunk that arrived. Where one never has the right digest, it may be the manifest that is
    /// wrong.
    fn take_chunk(
        &mut self,
        now: Millis,
        version: u64,
        index: u32,
        source: &DrawSource,
        verified: bool,
    ) -> Vec<Effect> {
        let Some(target) = self.target(version) else {
            return Vec::new();
        };
        if let Some(spread) = target.spread_mut() {
            spread.take_chunk(now, index, source, verified);
        }
        if !verified && target.doubts_manifest(index) {
            return vec![Effect::Describe(version, ManifestSource::Origin)];
        }
        Vec::new()
    }

    /// Whether the runner serves some version.
    fn serves(&self) -> bool {
        self.status.as_ref().is_some_and(|it| it.version.is_some())
    }

    fn target(&mut self, version: u64) -> Option<&mut Target> {
        let mut targets = self.current.iter_mut().chain(&mut self.next);
        targets.find(|it| it.version == version)
    }

    /// Takes in a version that was named. Where nobody knows when that was, it counts from now until
    /// somebody does.
    fn name(&mut self, now: Millis, heard: VersionName) {
        self.names.take(heard);
        let named = self.names.get(heard.version);
        if let Some((target, named)) = self.target(heard.version).zip(named) {
            target.named = named;
        }
        self.names.forget_before(now, self.options.version_ms);
    }

    /// The newest version that was named, or the one before any was.
    pub fn newest_named(&self) -> u64 {
        self.newest_name().version
    }

    /// The version that was named last.
    fn newest_name(&self) -> VersionName {
        let first =
            VersionName { version: FIRST_VERSION, at: Millis(0), known: false, after_ms: None };
        self.names.newest().unwrap_or(first)
    }

    /// The versions that were named, as gateways are told of them, each until its bound is over. Oldest first.
    pub fn named_versions(&self, now: Millis) -> Vec<NamedVersion> {
        let Some(plan) = &self.plan else {
            return Vec::new();
        };
        let version_ms = self.options.version_ms;
        let binds = |it: &VersionName| it.known && now.since(it.at).0 <= version_ms;
        let told = self.names.told(now, version_ms).filter(binds).map(|it| NamedVersion {
            model: plan.model.clone(),
            version: it.version,
            age_ms: self.keeps(Mechanism::VersionAges).then(|| now.since(it.at).0),
            after_ms: it.after_ms.filter(|_| self.keeps(Mechanism::VersionAges)),
        });
        told.collect()
    }

    /// Whether a mechanism is at work.
    fn keeps(&self, mechanism: Mechanism) -> bool {
        self.options.ablation.keeps(mechanism)
    }

    /// Turns to the version that was named last, or finishes the one before it first.
    fn follow_name(&mut self, now: Millis) {
        let named = self.newest_name();
        let newest = self.next.as_ref().or(self.current.as_ref()).map_or(0, |it| it.version);
        if named.version <= newest {
            return;
        }
        let target = Target::new(named);
        if self.is_finished_before(now, &target) {
            self.next = Some(target);
        } else {
            self.current = Some(target);
            self.next = None;
        }
    }

    fn take_peers(&mut self, now: Millis, peers: Vec<Peer>) {
        let known: BTreeSet<&InstanceId> = peers.iter().map(|it| &it.id).collect();
        let before = self.peers.take().unwrap_or_default();
        let gone: Vec<Peer> = before.iter().filter(|it| !known.contains(&it.id)).cloned().collect();
        for target in self.current.iter_mut().chain(&mut self.next) {
            target.take_peers(now, &peers, &gone);
        }
        let known: BTreeSet<&InstanceId> = before.iter().map(|it| &it.id).collect();
        let grown = peers.iter().any(|it| !known.contains(&it.id));
        let settling = now.since(self.peers_first).0 < SETTLING;
        if self.peers_first == Millis(0) {
            (self.peers_first, self.peers_since) = (now, now);
        } else if grown && settling {
            self.peers_since = now;
        }
        self.peers = Some(peers);
    }

    fn take_found(&mut self, version: u64, found: &Bitmap) {
        let Some(target) = self.target(version) else {
            return;
        };
        if let Some(spread) = target.spread_mut() {
            spread.adopt(found);
        }
        if target.step == Step::Finding {
            target.step = Step::Drawing;
        }
    }

    fn take_staged(&mut self, now: Millis, version: u64, sound: bool) -> Vec<Effect> {
        let (free, knows) = (self.is_runner_free(), self.versions_known);
        let status = self.status.clone();
        let Some(target) = self.target(version).filter(|it| it.step == Step::Staging) else {
            return Vec::new();
        };
        let Some(status) = status.filter(|_| sound && free && knows) else {
            target.step = Step::Waiting(now.plus(ORDER_PAUSE));
            return Vec::new();
        };
        target.step = Step::Ordered(now, status.sequence);
        self.ordered_at = Some(now);
        self.own_order_at = now;
        let cut = status.running > 0 && status.running <= MAX_CUT;
        vec![Effect::Order { version, sequence: status.sequence, cut }]
    }

    fn take_order_outcome(&mut self, now: Millis, version: u64, outcome: OrderOutcome) {
        let Some(target) = self.target(version) else {
            return;
        };
        // What was taken, or may have been, shows in the runner's next words of itself.
        if matches!(target.step, Step::Ordered(..)) && outcome == OrderOutcome::Refused {
            target.step = Step::Waiting(now.plus(ORDER_PAUSE));
        }
    }
}
