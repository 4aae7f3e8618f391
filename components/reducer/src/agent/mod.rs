//! The reducer of an agent: distribution of weights, control of the engine, and admission of requests.

mod engine;
mod event;
#[cfg(test)]
mod tests;
mod weights;

use std::collections::BTreeMap;

use fleet::{Millis, ModelName, VersionId};
use wire::{Call, DatagramBody, Load, MemberRecord, Serving};

pub use self::event::{AgentEffect, AgentEvent, AgentOptions, Order};
use crate::admission::{Admission, InstanceState};
use crate::control::{Control, ControlEffect, ControlEvent};
use crate::spread::Spread;
use crate::Seed;

/// Interval at which participants and required versions are checked again, besides the checks that events
/// trigger. The cost of a check grows with the size of the fleet.
const REVIEW_INTERVAL_MS: u64 = 500;

/// The state of an agent.
pub struct Agent {
    /// The state that every daemon keeps.
    pub control: Control,
    is_engine: bool,
    options: AgentOptions,
    admission: Admission,
    spreads: BTreeMap<VersionId, Spread>,
    /// Versions whose manifest has been requested, and when it may be requested again.
    manifest_retry_at: BTreeMap<VersionId, Millis>,
    orders: BTreeMap<ModelName, Order>,
    order_not_before: Millis,
    serving: Vec<Serving>,
    uploads: u32,
    next_review: Millis,
}

impl Agent {
    /// Creates an agent without staged chunks. `is_engine` distinguishes a model engine from a plain service.
    pub fn new(me: MemberRecord, is_engine: bool, options: AgentOptions) -> Self {
        Self {
            control: Control::new(me, options.spread.control_bytes_per_s / 2),
            is_engine,
            admission: Admission::new(options.concurrency),
            options,
            spreads: BTreeMap::new(),
            manifest_retry_at: BTreeMap::new(),
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

    /// The versions that are being distributed or are staged here.
    pub fn spreads(&self) -> impl Iterator<Item = &Spread> {
        self.spreads.values()
    }

    /// The load to report.
    pub fn load(&self) -> Load {
        Load { uploads: self.uploads, ..self.admission.load() }
    }

    /// Handles an event.
    pub fn reduce(&mut self, now: Millis, seed: u64, event: AgentEvent) -> Vec<AgentEffect> {
        let mut seed = Seed::new(seed);
        match event {
            AgentEvent::Control(event) => self.handle_control(now, &mut seed, event),
            AgentEvent::ManifestRead(manifest) => self.handle_manifest(now, manifest),
            AgentEvent::ManifestFailed(version) => {
                self.schedule_manifest_retry(now, version);
                Vec::new()
            }
            AgentEvent::ChunkArrived { version, index, source, verified, sender } => {
                self.handle_chunk(now, version, index, source, verified, sender)
            }
            AgentEvent::ChunkFailed { version, index, source, code, retry_after_ms } => {
                if let Some(spread) = self.spreads.get_mut(&version) {
                    spread.fail_chunk(now, index, &source, code, retry_after_ms);
                }
                let mut effects = vec![AgentEffect::CountRetry(code)];
                effects.extend(self.fetch(now));
                effects
            }
            AgentEvent::ChunkAsked { upload, from, version, index, have } => {
                self.handle_chunk_request(now, upload, &from, version, index, have)
            }
            AgentEvent::UploadEnded => {
                self.uploads = self.uploads.saturating_sub(1);
                Vec::new()
            }
            AgentEvent::OrderEnded { model, result } => {
                self.handle_order_result(now, &model, result)
            }
            AgentEvent::CallArrived { call, arrived, request } => {
                vec![self.admit(now, call, arrived, &request)]
            }
            AgentEvent::UpstreamAnswered { request, backoff_ms } => {
                self.admission.handle_answer(now, request, backoff_ms);
                Vec::new()
            }
            AgentEvent::CallEnded(request) => {
                self.admission.end(request);
                self.exit_if_drained()
            }
            AgentEvent::Stop => self.stop(&mut seed),
            AgentEvent::Tick => self.tick(now, &mut seed),
        }
    }

    fn handle_control(
        &mut self,
        now: Millis,
        seed: &mut Seed,
        event: ControlEvent,
    ) -> Vec<AgentEffect> {
        let mut summary_effects = Vec::new();
        if let ControlEvent::Datagram { from, datagram } = &event {
            if let DatagramBody::Summary { version, have } = &datagram.body {
                summary_effects = self.handle_summary(now, *from, &datagram.from, *version, have);
            }
        }
        let effects = self.control.reduce(now, seed, event);
        let applied = effects.iter().any(|it| matches!(it, ControlEffect::Applied(_)));
        let mut effects: Vec<AgentEffect> = effects.into_iter().map(AgentEffect::Control).collect();
        if applied {
            effects.extend(self.reconcile(now));
        }
        effects.extend(summary_effects);
        effects
    }

    fn tick(&mut self, now: Millis, seed: &mut Seed) -> Vec<AgentEffect> {
        let mut effects = self.handle_control(now, seed, ControlEvent::Tick);
        if now >= self.next_review {
            self.next_review = now.plus(REVIEW_INTERVAL_MS);
            self.refresh_participants(now);
            effects.extend(self.reconcile(now));
        }
        effects.extend(self.fetch(now));
        effects.extend(self.summarize(now));
        effects
    }

    fn admit(&mut self, now: Millis, call: u64, arrived: Millis, request: &Call) -> AgentEffect {
        let me = &self.control.members.me().id;
        let state = InstanceState {
            leaving: self.control.is_leaving(me),
            serving: self.is_engine.then_some(self.serving.as_slice()),
            current: self.control.is_current(),
        };
        match self.admission.admit(now, arrived, request, &state) {
            Ok(version) => {
                let switching =
                    request.model.as_ref().is_some_and(|model| self.orders.contains_key(model));
                AgentEffect::Admit { call, version: version.filter(|_| !switching) }
            }
            Err(code) => {
                let retry_after_ms = self.admission.backoff_left_ms(now);
                AgentEffect::Refuse { call, code, retry_after_ms, load: self.load() }
            }
        }
    }

    fn stop(&mut self, seed: &mut Seed) -> Vec<AgentEffect> {
        self.admission.stop();
        let outgoing = self.control.announce_leave(seed);
        let mut effects: Vec<AgentEffect> =
            outgoing.into_iter().map(AgentEffect::Control).collect();
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
