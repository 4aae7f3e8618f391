//! The engine beside an agent: what the configuration wants of it, step by step.

use errors::Code;
use fleet::{Deployment, InstanceId, Millis, ModelName, Release, Role, VersionId};
use wire::{Serving, ServingTag};

use super::{Agent, AgentEffect, Order};
use crate::spread::{Spread, SpreadPhase};

/// How long to wait before an order that failed is given again, in milliseconds.
const ORDER_PAUSE: u64 = 1000;
/// How long to wait before a manifest is asked for again, in milliseconds.
const MANIFEST_PAUSE: u64 = 500;
/// How long to wait before a version that did not fit into memory is looked at again, in
/// milliseconds.
const MEMORY_PAUSE: u64 = 5000;

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

impl Agent {
    /// Compares what the configuration wants here with what is here, and does what is missing.
    /// Whoever made the plan may be gone; the state wanted is in the revision.
    pub(super) fn reconcile(&mut self, now: Millis) -> Vec<AgentEffect> {
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
            self.awaited.insert(version, now.plus(MEMORY_PAUSE));
            return vec![AgentEffect::CountRefusal(Code::TooLarge)];
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

    /// Asks for a manifest again after a while.
    pub(super) fn fail_manifest(&mut self, now: Millis, version: VersionId) {
        self.awaited.insert(version, now.plus(MANIFEST_PAUSE));
    }

    fn give_order(&mut self, now: Millis, order: Order) -> Vec<AgentEffect> {
        if self.orders.contains_key(&order.model) || now < self.order_not_before {
            return Vec::new();
        }
        self.orders.insert(order.model.clone(), order.clone());
        vec![AgentEffect::Order(order)]
    }

    pub(super) fn take_obeyed(
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
}
