//! The reducer of an agent: weights, the engine beside it, and the gate before the upstream.

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

/// Time between two looks at who is up and what is missing, besides those that events cause, in
/// milliseconds. Both cost time in proportion to the fleet.
const REVIEW_EVERY: u64 = 500;

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
                self.fail_manifest(now, version);
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
            AgentEvent::UpstreamAnswered { request, rest_ms } => {
                self.admission.handle_answer(now, request, rest_ms);
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
                let retry_after_ms = self.admission.rest_left_ms(now);
                AgentEffect::Refuse { call, code, retry_after_ms, load: self.load() }
            }
        }
    }

    fn stop(&mut self, seed: &mut Seed) -> Vec<AgentEffect> {
        self.admission.stop();
        let news = self.control.announce_leave(seed);
        let mut effects: Vec<AgentEffect> = news.into_iter().map(AgentEffect::Control).collect();
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
