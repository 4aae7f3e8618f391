//! Brings the engine beside an agent to the state that the configuration requires.

use errors::Code;
use fleet::{Deployment, InstanceId, Millis, ModelName, Release, Role, VersionId};
use wire::{Serving, ServingTag};

use super::{Agent, AgentEffect, Order};
use crate::spread::{Spread, SpreadPhase};

/// Delay before an order is sent again after one has failed.
const ORDER_RETRY_MS: u64 = 1000;
/// Delay before a manifest is requested again after a failure.
const MANIFEST_RETRY_MS: u64 = 500;
/// Delay before a version that did not fit into memory is checked again.
const MEMORY_RECHECK_MS: u64 = 5000;

/// What the configuration requires of this instance for one model.
struct RequiredModel {
    model: ModelName,
    release: Release,
    role: Role,
    adapter_of: Option<ModelName>,
}

impl RequiredModel {
    fn from_deployment(deployment: &Deployment, me: &InstanceId) -> Self {
        Self {
            model: deployment.model.clone(),
            release: deployment.release.clone(),
            role: deployment.placements.get(me).map(|it| it.role).unwrap_or_default(),
            adapter_of: deployment.adapter_of.clone(),
        }
    }
}

impl Agent {
    /// Compares the state that the configuration requires of this instance with the actual state, and starts
    /// what is missing. The required state is part of the revision, so the daemon that created the plan need
    /// not be running.
    pub(super) fn reconcile(&mut self, now: Millis) -> Vec<AgentEffect> {
        if !self.is_engine || !self.control.is_current() {
            return Vec::new();
        }
        let me = self.control.members.me().id.clone();
        let configuration = self.control.configuration();
        let required: Vec<RequiredModel> = configuration
            .wanted_on(&me)
            .map(|it| RequiredModel::from_deployment(it, &me))
            .collect();
        let mut effects = self.drop_unrequired(&required);
        for required in &required {
            effects.extend(self.next_action(now, required));
        }
        effects.extend(self.unload_unrequired(now, &required));
        effects
    }

    /// The next action for one deployment: reading the manifest or sending the order to load. Chunks are
    /// fetched by the spread.
    fn next_action(&mut self, now: Millis, required: &RequiredModel) -> Vec<AgentEffect> {
        let version = required.release.version;
        let role = required.role;
        let target = Serving { model: required.model.clone(), version, role };
        if self.serving.contains(&target) {
            return Vec::new();
        }
        match self.spreads.get(&version).map(Spread::phase) {
            None => self.request_manifest(now, required),
            Some(SpreadPhase::Fetching) => Vec::new(),
            Some(SpreadPhase::Complete) => {
                let order = Order {
                    epoch: self.control.configuration().revision,
                    model: required.model.clone(),
                    version: Some(version),
                    adapter_of: required.adapter_of.clone(),
                    role,
                    bytes: required.release.bytes,
                };
                self.send_order(now, order)
            }
        }
    }

    fn request_manifest(&mut self, now: Millis, required: &RequiredModel) -> Vec<AgentEffect> {
        let version = required.release.version;
        if self.manifest_retry_at.get(&version).is_some_and(|retry_at| now < *retry_at) {
            return Vec::new();
        }
        let staged: u64 = self.spreads.values().map(|it| it.manifest.bytes).sum();
        if staged + required.release.bytes > self.options.memory_bytes {
            self.manifest_retry_at.insert(version, now.plus(MEMORY_RECHECK_MS));
            return vec![AgentEffect::CountRefusal(Code::TooLarge)];
        }
        // The result of the read removes or replaces this entry; the distant time prevents a second read until
        // then.
        self.manifest_retry_at.insert(version, Millis(u64::MAX));
        let holders =
            self.control.members.others().filter(|it| {
                it.is_up() && it.record.serving.iter().any(|tag| tag.is_version(version))
            });
        let peers = holders.map(|it| it.record.address).take(2).collect();
        vec![AgentEffect::ReadManifest { version, peers }]
    }

    /// Schedules another read of a manifest.
    pub(super) fn schedule_manifest_retry(&mut self, now: Millis, version: VersionId) {
        self.manifest_retry_at.insert(version, now.plus(MANIFEST_RETRY_MS));
    }

    fn send_order(&mut self, now: Millis, order: Order) -> Vec<AgentEffect> {
        if self.orders.contains_key(&order.model) || now < self.order_not_before {
            return Vec::new();
        }
        self.orders.insert(order.model.clone(), order.clone());
        vec![AgentEffect::Order(order)]
    }

    pub(super) fn handle_order_result(
        &mut self,
        now: Millis,
        model: &ModelName,
        result: Result<(), Code>,
    ) -> Vec<AgentEffect> {
        let Some(order) = self.orders.remove(model) else {
            return Vec::new();
        };
        if let Err(code) = result {
            self.order_not_before = now.plus(ORDER_RETRY_MS);
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

    /// Stops the fetch of versions that are no longer required and drops their chunks. A version that the
    /// engine still serves is kept, because peers may fetch it; a separate order unloads it.
    fn drop_unrequired(&mut self, required: &[RequiredModel]) -> Vec<AgentEffect> {
        let is_required =
            |version: &VersionId| required.iter().any(|it| &it.release.version == version);
        let is_served = |version: &VersionId| self.serving.iter().any(|it| &it.version == version);
        let is_ordered = |version: &VersionId| {
            self.orders.values().any(|it| it.version.as_ref() == Some(version))
        };
        let unrequired: Vec<VersionId> = self
            .spreads
            .keys()
            .filter(|it| !is_required(it) && !is_served(it) && !is_ordered(it))
            .copied()
            .collect();
        unrequired.iter().for_each(|version| {
            self.spreads.remove(version);
        });
        self.manifest_retry_at
            .retain(|version, _| required.iter().any(|it| &it.release.version == version));
        unrequired.into_iter().map(AgentEffect::Drop).collect()
    }

    fn unload_unrequired(&mut self, now: Millis, required: &[RequiredModel]) -> Vec<AgentEffect> {
        let is_required = |model: &ModelName| required.iter().any(|it| &it.model == model);
        let unrequired: Vec<Serving> =
            self.serving.iter().filter(|it| !is_required(&it.model)).cloned().collect();
        let epoch = self.control.configuration().revision;
        let orders = unrequired.into_iter().map(|it| Order {
            epoch,
            model: it.model,
            version: None,
            adapter_of: None,
            role: it.role,
            bytes: 0,
        });
        let orders: Vec<Order> = orders.collect();
        orders.into_iter().flat_map(|order| self.send_order(now, order)).collect()
    }
}
