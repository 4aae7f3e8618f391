//! The reducer of an agent: weights, the engine beside it, and the gate before the upstream.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use errors::Code;
use fleet::{
    Bitmap, Deployment, Hall, InstanceId, Manifest, Millis, ModelName, Place, Release, RequestId,
    Revision, Role, VersionId,
};
use wire::{Call, Datagram, DatagramBody, Load, MemberRecord, Serving, ServingTag};

use crate::admission::{Admission, Standing};
use crate::control::{Control, ControlEffect, ControlEvent};
use crate::spread::{
    Draw, DrawSource, Participant, Spread, SpreadEffect, SpreadOptions, SpreadPhase,
};
use crate::Seed;

/// Chunks in flight to this instance over all spreads.
const WINDOW: usize = 8;
/// Chunks in flight that every spread gets, whatever its priority.
const MIN_WINDOW: usize = 2;
/// Chunks that may wait in the upload queue.
const UPLOAD_QUEUE: u32 = 8;
/// How long to wait before an order that failed is given again, in milliseconds.
const ORDER_PAUSE: u64 = 1000;
/// How long to wait before a manifest is asked for again, in milliseconds.
const MANIFEST_PAUSE: u64 = 500;

/// Time between two looks at who is up and what is missing, besides those that events cause, in
/// milliseconds. Both cost time in proportion to the fleet.
const REVIEW_EVERY: u64 = 500;

/// Numbers an agent works with.
#[derive(Clone, Copy, Debug)]
pub struct AgentOptions {
    /// Requests the upstream takes at once.
    pub concurrency: u32,
    /// Memory for weights, in bytes.
    pub memory_bytes: u64,
    /// This instance's link up, in bytes a second.
    pub upload_bytes_per_s: u64,
    /// Numbers for spreads.
    pub spread: SpreadOptions,
}

/// What happens to an agent.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// Something of the shared state.
    Control(ControlEvent),
    /// A manifest was read.
    ManifestRead(Arc<Manifest>),
    /// A manifest could not be read.
    ManifestFailed(VersionId),
    /// A chunk arrived and is staged if it is verified.
    ChunkArrived {
        /// The version.
        version: VersionId,
        /// The chunk.
        index: u32,
        /// From where.
        source: DrawSource,
        /// Whether its digest is right.
        verified: bool,
        /// What the sender holds, and its upload queue.
        sender: Option<(Bitmap, u32)>,
    },
    /// A chunk did not arrive.
    ChunkFailed {
        /// The version.
        version: VersionId,
        /// The chunk.
        index: u32,
        /// From where it was asked.
        source: DrawSource,
        /// Why.
        code: Code,
        /// Milliseconds after which the source may be asked again.
        retry_after_ms: u64,
    },
    /// A peer asks for a chunk.
    ChunkAsked {
        /// Names the upload.
        upload: u64,
        /// Who asks.
        from: InstanceId,
        /// The version.
        version: VersionId,
        /// The chunk.
        index: u32,
        /// What the asker holds.
        have: Bitmap,
    },
    /// An upload is over, whole or not.
    UploadEnded,
    /// The engine has obeyed an order, or not.
    OrderEnded {
        /// The model it was about.
        model: ModelName,
        /// What became of it.
        result: Result<(), Code>,
    },
    /// An entry passes on a request.
    CallArrived {
        /// Names the call on its connection.
        call: u64,
        /// When it arrived.
        arrived: Millis,
        /// The call.
        request: Box<Call>,
    },
    /// A request that was admitted has ended.
    CallEnded(RequestId),
    /// A planned stop.
    Stop,
    /// Time passed.
    Tick,
}

/// What an agent does.
#[derive(Clone, Debug)]
pub enum AgentEffect {
    /// Something about the shared state.
    Control(ControlEffect),
    /// Read a manifest, from the object store or else from one of these peers.
    ReadManifest {
        /// The version.
        version: VersionId,
        /// Peers that may have it.
        peers: Vec<SocketAddr>,
    },
    /// Draw a chunk.
    Draw {
        /// What.
        draw: Draw,
        /// What this agent holds.
        have: Bitmap,
    },
    /// Drop the staged chunks of a version and stop drawing it.
    Drop(VersionId),
    /// Send a chunk to the peer that asked.
    Upload {
        /// The upload.
        upload: u64,
        /// The version.
        version: VersionId,
        /// The chunk.
        index: u32,
        /// What this agent holds.
        have: Bitmap,
        /// Chunks in the upload queue.
        uploads: u32,
    },
    /// Refuse a chunk.
    RefuseUpload {
        /// The upload.
        upload: u64,
        /// Why.
        code: Code,
        /// When to ask again, in milliseconds.
        retry_after_ms: u64,
        /// The load now.
        load: Load,
    },
    /// Give the engine an order.
    Order(Order),
    /// Let a request through to the upstream.
    Admit {
        /// The call.
        call: u64,
        /// The version that will answer; none beside a plain service or while a switch runs.
        version: Option<VersionId>,
    },
    /// Refuse a request; it has not run.
    Refuse {
        /// The call.
        call: u64,
        /// Why.
        code: Code,
        /// The load now.
        load: Load,
    },
    /// Count a chunk that is drawn again.
    CountRetry(Code),
    /// Nothing runs any more and the process may exit.
    Exit,
}

/// An order to the engine, before the driver adds where the weights are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The fence.
    pub epoch: Revision,
    /// The model.
    pub model: ModelName,
    /// The version to load, or none to unload.
    pub version: Option<VersionId>,
    /// The model an adapter belongs to.
    pub adapter_of: Option<ModelName>,
    /// What the engine shall do with it.
    pub role: Role,
    /// The bytes to read.
    pub bytes: u64,
}

/// What the configuration wants on this instance for one model.
struct Wanted {
    model: ModelName,
    release: Release,
    role: Role,
    adapter_of: Option<ModelName>,
}

impl Wanted {
    fn read(deployment: &Deployment, me: &InstanceId) -> Self {
        Self {
            model: deployment.model.clone(),
            release: deployment.release.clone(),
            role: deployment.placements.get(me).map(|it| it.role).unwrap_or_default(),
            adapter_of: deployment.adapter_of.clone(),
        }
    }
}

/// The state of an agent.
pub struct Agent {
    /// The shared state.
    pub control: Control,
    is_engine: bool,
    options: AgentOptions,
    admission: Admission,
    spreads: BTreeMap<VersionId, Spread>,
    /// Versions whose manifest was asked for, and when to ask again.
    awaited: BTreeMap<VersionId, Millis>,
    orders: BTreeMap<ModelName, Order>,
    order_not_before: Millis,
    serving: Vec<Serving>,
    uploads: u32,
    next_review: Millis,
}

impl Agent {
    /// Starts with nothing staged. `is_engine` tells a model engine from a plain service.
    pub fn new(me: MemberRecord, is_engine: bool, options: AgentOptions) -> Self {
        Self {
            control: Control::new(me, options.spread.control_bytes_per_s / 2),
            is_engine,
            admission: Admission::new(options.concurrency),
            options,
            spreads: BTreeMap::new(),
            awaited: BTreeMap::new(),
            orders: BTreeMap::new(),
            order_not_before: Millis(0),
            serving: Vec::new(),
            uploads: 0,
            next_review: Millis(0),
        }
    }

    /// What the engine serves.
    pub fn serving(&self) -> &[Serving] {
        &self.serving
    }

    /// The spreads and how many chunks each holds and awaits.
    pub fn spreads(&self) -> impl Iterator<Item = &Spread> {
        self.spreads.values()
    }

    /// The load to report.
    pub fn load(&self) -> Load {
        Load { uploads: self.uploads, ..self.admission.load() }
    }

    /// Takes in an event.
    pub fn reduce(&mut self, now: Millis, seed: u64, event: AgentEvent) -> Vec<AgentEffect> {
        let mut seed = Seed::new(seed);
        match event {
            AgentEvent::Control(event) => self.take_control(now, &mut seed, event),
            AgentEvent::ManifestRead(manifest) => self.take_manifest(now, manifest),
            AgentEvent::ManifestFailed(version) => {
                self.awaited.insert(version, now.plus(MANIFEST_PAUSE));
                Vec::new()
            }
            AgentEvent::ChunkArrived { version, index, source, verified, sender } => {
                self.take_chunk(now, version, index, source, verified, sender)
            }
            AgentEvent::ChunkFailed { version, index, source, code, retry_after_ms } => {
                if let Some(spread) = self.spreads.get_mut(&version) {
                    spread.fail_chunk(now, index, &source, code, retry_after_ms);
                }
                let mut effects = vec![AgentEffect::CountRetry(code)];
                effects.extend(self.draw(now));
                effects
            }
            AgentEvent::ChunkAsked { upload, from, version, index, have } => {
                self.take_ask(now, upload, &from, version, index, have)
            }
            AgentEvent::UploadEnded => {
                self.uploads = self.uploads.saturating_sub(1);
                Vec::new()
            }
            AgentEvent::OrderEnded { model, result } => self.take_obeyed(now, &model, result),
            AgentEvent::CallArrived { call, arrived, request } => {
                vec![self.admit(now, call, arrived, &request)]
            }
            AgentEvent::CallEnded(request) => {
                self.admission.end(request);
                self.exit_if_drained()
            }
            AgentEvent::Stop => self.stop(&mut seed),
            AgentEvent::Tick => self.tick(now, &mut seed),
        }
    }

    fn take_control(
        &mut self,
        now: Millis,
        seed: &mut Seed,
        event: ControlEvent,
    ) -> Vec<AgentEffect> {
        let mut drawn = Vec::new();
        if let ControlEvent::Datagram { from, datagram } = &event {
            if let DatagramBody::Summary { version, have } = &datagram.body {
                drawn = self.take_summary(now, *from, &datagram.from, *version, have);
            }
        }
        let effects = self.control.reduce(now, seed, event);
        let applied = effects.iter().any(|it| matches!(it, ControlEffect::Applied(_)));
        let mut effects: Vec<AgentEffect> = effects.into_iter().map(AgentEffect::Control).collect();
        if applied {
            effects.extend(self.reconcile(now));
        }
        effects.extend(drawn);
        effects
    }

    fn take_summary(
        &mut self,
        now: Millis,
        address: SocketAddr,
        from: &InstanceId,
        version: VersionId,
        have: &Bitmap,
    ) -> Vec<AgentEffect> {
        let place = self.place_of(from);
        let Some(spread) = self.spreads.get_mut(&version) else {
            return Vec::new();
        };
        spread.take_summary(from, address, &place, have.clone());
        self.draw(now)
    }

    fn place_of(&self, id: &InstanceId) -> Place {
        self.control.members.get(id).map(|it| it.record.place.clone()).unwrap_or_default()
    }

    fn tick(&mut self, now: Millis, seed: &mut Seed) -> Vec<AgentEffect> {
        let mut effects = self.take_control(now, seed, ControlEvent::Tick);
        if now >= self.next_review {
            self.next_review = now.plus(REVIEW_EVERY);
            self.refresh_participants(now);
            effects.extend(self.reconcile(now));
        }
        effects.extend(self.draw(now));
        effects.extend(self.summarize(now));
        effects
    }

    /// Compares what the configuration wants here with what is here, and does what is missing.
    /// Whoever made the plan may be gone; the state wanted is in the revision.
    fn reconcile(&mut self, now: Millis) -> Vec<AgentEffect> {
        if !self.is_engine || !self.control.is_current() {
            return Vec::new();
        }
        let me = self.control.members.me().id.clone();
        let configuration = self.control.configuration();
        let wanted: Vec<Wanted> =
            configuration.wanted_on(&me).map(|it| Wanted::read(it, &me)).collect();
        let mut effects = self.drop_unwanted(&wanted);
        for wanted in &wanted {
            effects.extend(self.advance(now, wanted));
        }
        effects.extend(self.unload_unwanted(now, &wanted));
        effects
    }

    /// The next step for one deployment: the manifest, the chunks or the order.
    fn advance(&mut self, now: Millis, wanted: &Wanted) -> Vec<AgentEffect> {
        let version = wanted.release.version;
        let role = wanted.role;
        let target = Serving { model: wanted.model.clone(), version, role };
        if self.serving.contains(&target) {
            return Vec::new();
        }
        match self.spreads.get(&version).map(Spread::phase) {
            None => self.await_manifest(now, wanted),
            Some(SpreadPhase::Drawing) => Vec::new(),
            Some(SpreadPhase::Whole) => {
                let order = Order {
                    epoch: self.control.configuration().revision,
                    model: wanted.model.clone(),
                    version: Some(version),
                    adapter_of: wanted.adapter_of.clone(),
                    role,
                    bytes: wanted.release.bytes,
                };
                self.give_order(now, order)
            }
        }
    }

    fn await_manifest(&mut self, now: Millis, wanted: &Wanted) -> Vec<AgentEffect> {
        let version = wanted.release.version;
        if self.awaited.get(&version).is_some_and(|again| now < *again) {
            return Vec::new();
        }
        let staged: u64 = self.spreads.values().map(|it| it.manifest.bytes).sum();
        if staged + wanted.release.bytes > self.options.memory_bytes {
            return Vec::new();
        }
        // The answer ends the wait; the far moment only keeps a second question from being asked.
        self.awaited.insert(version, Millis(u64::MAX));
        let holders =
            self.control.members.others().filter(|it| {
                it.is_up() && it.record.serving.iter().any(|tag| tag.is_version(version))
            });
        let peers = holders.map(|it| it.record.address).take(2).collect();
        vec![AgentEffect::ReadManifest { version, peers }]
    }

    fn take_manifest(&mut self, now: Millis, manifest: Arc<Manifest>) -> Vec<AgentEffect> {
        let version = manifest.version();
        self.awaited.remove(&version);
        // A version that was taken back and wanted again may have been asked for twice; the second
        // answer must not start its spread anew under chunks in flight.
        if self.spreads.contains_key(&version) {
            return Vec::new();
        }
        let me = self.control.members.me().clone();
        let configuration = self.control.configuration();
        let wanted = configuration.wanted_on(&me.id).find(|it| it.release.version == version);
        let Some(deployment) = wanted else {
            return Vec::new();
        };
        let placements = deployment.placements.iter();
        let receivers: Vec<(InstanceId, Hall)> =
            placements.map(|(id, it)| (id.clone(), it.hall.clone())).collect();
        let options = self.options.spread;
        let spread = Spread::new(now, &me.id, &me.place, manifest, &receivers, options);
        self.spreads.insert(version, spread);
        self.refresh_participants(now);
        self.draw(now)
    }

    /// Tells each spread who receives or holds its version.
    fn refresh_participants(&mut self, now: Millis) {
        let me = &self.control.members.me().id;
        let mut strangers = false;
        for spread in self.spreads.values_mut() {
            let version = spread.version;
            let deployments = self.control.configuration().deployments.values();
            let receivers: BTreeSet<&InstanceId> = deployments
                .filter(|it| it.release.version == version)
                .flat_map(|it| it.placements.keys())
                .collect();
            strangers |=
                receivers.iter().any(|id| *id != me && self.control.members.get(id).is_none());
            let others = self.control.members.others();
            let participants: Vec<Participant> = others
                .filter_map(|it| {
                    let holds = it.record.serving.iter().any(|tag| tag.is_version(version));
                    (holds || receivers.contains(&it.record.id)).then(|| Participant {
                        id: it.record.id.clone(),
                        place: it.record.place.clone(),
                        address: it.record.address,
                        up: it.is_up(),
                        holds,
                    })
                })
                .collect();
            spread.set_participants(now, &participants);
        }
        if strangers {
            self.control.hasten_list(now);
        }
    }

    fn take_chunk(
        &mut self,
        now: Millis,
        version: VersionId,
        index: u32,
        source: DrawSource,
        verified: bool,
        sender: Option<(Bitmap, u32)>,
    ) -> Vec<AgentEffect> {
        let place = match &source {
            DrawSource::Peer(id, _) => self.place_of(id),
            DrawSource::Origin => Place::default(),
        };
        let Some(spread) = self.spreads.get_mut(&version) else {
            // The version was replaced in flight; the chunk staged a moment ago goes as well.
            return vec![AgentEffect::Drop(version)];
        };
        let mut effects = Vec::new();
        if !verified {
            effects.push(AgentEffect::CountRetry(Code::ChunkCorrupt));
        }
        spread.take_chunk(now, index, &source, verified);
        if let (DrawSource::Peer(id, address), Some((have, uploads))) = (&source, sender) {
            spread.take_summary(id, *address, &place, have);
            spread.take_uploads(now, id, uploads);
        }
        if spread.phase() == SpreadPhase::Whole {
            effects.extend(self.summarize(now));
            effects.extend(self.reconcile(now));
        }
        effects.extend(self.draw(now));
        effects
    }

    /// Draws chunks for every spread, those of higher priority first; each gets a small part of the
    /// window in any case, so that an adapter does not wait behind a large model.
    fn draw(&mut self, now: Millis) -> Vec<AgentEffect> {
        let order = self.spreads_by_priority();
        let active = order.len();
        let mut left = WINDOW.saturating_sub(MIN_WINDOW * active);
        let mut effects = Vec::new();
        for version in order {
            let Some(spread) = self.spreads.get_mut(&version) else {
                continue;
            };
            let drawn = spread.draw(now, MIN_WINDOW + left);
            left = left.saturating_sub(spread.in_flight().saturating_sub(MIN_WINDOW));
            let have = spread.have().clone();
            effects.extend(drawn.into_iter().map(|it| self.carry_out(it, &have, version)));
        }
        effects
    }

    fn spreads_by_priority(&self) -> Vec<VersionId> {
        let priority = |version: &VersionId| {
            let deployments = self.control.configuration().deployments.values();
            let wanting = deployments.filter(|it| &it.release.version == version);
            wanting.map(|it| it.priority).max().unwrap_or(0)
        };
        let drawing = self.spreads.values().filter(|it| it.phase() == SpreadPhase::Drawing);
        let mut order: Vec<(&VersionId, u64)> =
            drawing.map(|it| (&it.version, it.manifest.bytes)).collect();
        order.sort_by_key(|(version, bytes)| (std::cmp::Reverse(priority(version)), *bytes));
        order.into_iter().map(|(version, _)| *version).collect()
    }

    fn summarize(&mut self, now: Millis) -> Vec<AgentEffect> {
        let mut effects = Vec::new();
        let versions: Vec<VersionId> = self.spreads.keys().copied().collect();
        for version in versions {
            let Some(spread) = self.spreads.get_mut(&version) else {
                continue;
            };
            let due = spread.summarize(now);
            let have = spread.have().clone();
            effects.extend(due.into_iter().map(|it| self.carry_out(it, &have, version)));
        }
        effects
    }

    fn carry_out(
        &mut self,
        effect: SpreadEffect,
        have: &Bitmap,
        version: VersionId,
    ) -> AgentEffect {
        match effect {
            SpreadEffect::Draw(draw) => AgentEffect::Draw { draw, have: have.clone() },
            SpreadEffect::Summarize { to, have } => {
                let revision = self.control.configuration().revision;
                let body = DatagramBody::Summary { version, have };
                let datagram: Datagram = self.control.members.build(body, revision);
                AgentEffect::Control(ControlEffect::Send { to, datagram: Box::new(datagram) })
            }
        }
    }

    fn take_ask(
        &mut self,
        now: Millis,
        upload: u64,
        from: &InstanceId,
        version: VersionId,
        index: u32,
        have: Bitmap,
    ) -> Vec<AgentEffect> {
        let load = self.load();
        let known = self.control.members.get(from).map(|it| it.record.clone());
        let Some(spread) = self.spreads.get_mut(&version) else {
            return vec![refuse_upload(upload, Code::ChunkMissing, 0, load)];
        };
        if let Some(record) = known {
            spread.take_summary(from, record.address, &record.place, have);
        }
        if !spread.have().contains(index) {
            return vec![refuse_upload(upload, Code::ChunkMissing, 0, load)];
        }
        if self.uploads >= UPLOAD_QUEUE {
            let chunk = u64::from(spread.manifest.chunk_bytes) * 1000;
            let wait = chunk / self.options.upload_bytes_per_s.max(1);
            return vec![refuse_upload(upload, Code::PeerBusy, wait, load)];
        }
        self.uploads += 1;
        let have = spread.have().clone();
        let uploads = self.uploads;
        let mut effects = vec![AgentEffect::Upload { upload, version, index, have, uploads }];
        effects.extend(self.draw(now));
        effects
    }

    fn give_order(&mut self, now: Millis, order: Order) -> Vec<AgentEffect> {
        if self.orders.contains_key(&order.model) || now < self.order_not_before {
            return Vec::new();
        }
        self.orders.insert(order.model.clone(), order.clone());
        vec![AgentEffect::Order(order)]
    }

    fn take_obeyed(
        &mut self,
        now: Millis,
        model: &ModelName,
        result: Result<(), Code>,
    ) -> Vec<AgentEffect> {
        let Some(order) = self.orders.remove(model) else {
            return Vec::new();
        };
        if let Err(code) = result {
            self.order_not_before = now.plus(ORDER_PAUSE);
            return vec![AgentEffect::CountRetry(code)];
        }
        self.serving.retain(|it| &it.model != model);
        if let Some(version) = order.version {
            self.serving.push(Serving { model: order.model, version, role: order.role });
        }
        let tags = self.serving.iter().map(ServingTag::of).collect();
        self.control.members.set_serving(tags);
        self.reconcile(now)
    }

    /// Stops drawing versions that nobody wants here and lets go of their chunks. A version that
    /// the engine still serves stays: peers may draw it, and its unloading is ordered apart.
    fn drop_unwanted(&mut self, wanted: &[Wanted]) -> Vec<AgentEffect> {
        let is_wanted =
            |version: &VersionId| wanted.iter().any(|it| &it.release.version == version);
        let is_served = |version: &VersionId| self.serving.iter().any(|it| &it.version == version);
        let is_ordered = |version: &VersionId| {
            self.orders.values().any(|it| it.version.as_ref() == Some(version))
        };
        let gone: Vec<VersionId> = self
            .spreads
            .keys()
            .filter(|it| !is_wanted(it) && !is_served(it) && !is_ordered(it))
            .copied()
            .collect();
        gone.iter().for_each(|version| {
            self.spreads.remove(version);
        });
        self.awaited.retain(|version, _| wanted.iter().any(|it| &it.release.version == version));
        gone.into_iter().map(AgentEffect::Drop).collect()
    }

    fn unload_unwanted(&mut self, now: Millis, wanted: &[Wanted]) -> Vec<AgentEffect> {
        let is_wanted = |model: &ModelName| wanted.iter().any(|it| &it.model == model);
        let gone: Vec<Serving> =
            self.serving.iter().filter(|it| !is_wanted(&it.model)).cloned().collect();
        let epoch = self.control.configuration().revision;
        let orders = gone.into_iter().map(|it| Order {
            epoch,
            model: it.model,
            version: None,
            adapter_of: None,
            role: it.role,
            bytes: 0,
        });
        let orders: Vec<Order> = orders.collect();
        orders.into_iter().flat_map(|order| self.give_order(now, order)).collect()
    }

    fn admit(&mut self, now: Millis, call: u64, arrived: Millis, request: &Call) -> AgentEffect {
        let me = &self.control.members.me().id;
        let standing = Standing {
            leaving: self.control.is_leaving(me),
            serving: self.is_engine.then_some(self.serving.as_slice()),
            current: self.control.is_current(),
        };
        match self.admission.admit(now, arrived, request, &standing) {
            Ok(version) => {
                let switching =
                    request.model.as_ref().is_some_and(|model| self.orders.contains_key(model));
                AgentEffect::Admit { call, version: version.filter(|_| !switching) }
            }
            Err(code) => AgentEffect::Refuse { call, code, load: self.load() },
        }
    }

    fn stop(&mut self, seed: &mut Seed) -> Vec<AgentEffect> {
        self.admission.stop();
        self.control.members.set_leaving();
        let revision = self.control.configuration().revision;
        let count = self.control.members.count();
        let news = self.control.members.push(revision, count.min(LEAVE_FANOUT), seed);
        let mut effects: Vec<AgentEffect> = news
            .into_iter()
            .map(|(to, datagram)| ControlEffect::Send { to, datagram: Box::new(datagram) })
            .map(AgentEffect::Control)
            .collect();
        effects.extend(self.exit_if_drained());
        effects
    }

    fn exit_if_drained(&self) -> Vec<AgentEffect> {
        if self.admission.is_drained() {
            vec![AgentEffect::Exit]
        } else {
            Vec::new()
        }
    }
}

/// How many members hear at once that this daemon stops.
const LEAVE_FANOUT: usize = 8;

fn refuse_upload(upload: u64, code: Code, retry_after_ms: u64, load: Load) -> AgentEffect {
    AgentEffect::RefuseUpload { upload, code, retry_after_ms, load }
}

#[cfg(test)]
#[path = "agent_tests.rs"]
mod tests;
