//! The reducer of an entry, which handles requests from callers and configuration changes by operators.

mod attempts;
mod crashes;
mod event;
mod plans;
mod queue;
mod requests;
mod shares;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use fleet::{Millis, RequestId};
use wire::{DatagramBody, MemberRecord};

use self::crashes::KnownCrashes;
pub use self::event::{Arrival, AttemptId, EntryEffect, EntryEvent, EntryOptions, Failure, Target};
use self::queue::QueuePosition;
use self::requests::Progress;
use self::shares::Shares;
use crate::changes::Changes;
use crate::control::{Control, ControlEvent};
use crate::retry::RetryBudget;
use crate::routing::Router;
use crate::Seed;

/// The state of an entry.
pub struct Entry {
    /// The state that every daemon keeps.
    pub control: Control,
    options: EntryOptions,
    changes: Changes,
    router: Router,
    retries: RetryBudget,
    requests: BTreeMap<RequestId, Progress>,
    queue: BTreeSet<QueuePosition>,
    shares: Shares,
    known_crashes: KnownCrashes,
    stopping: bool,
}

impl Entry {
    /// Creates an entry without members, configuration or requests.
    pub fn new(me: MemberRecord, options: EntryOptions) -> Self {
        Self {
            control: Control::new(me, options.control_bytes_per_s),
            options,
            changes: Changes::default(),
            router: Router::new(options.choice),
            retries: RetryBudget::new(options.retry_share),
            requests: BTreeMap::new(),
            queue: BTreeSet::new(),
            shares: Shares::default(),
            known_crashes: KnownCrashes::default(),
            stopping: false,
        }
    }

    /// The number of requests in progress and, among these, of requests waiting for an upstream.
    pub fn load(&self) -> (usize, usize) {
        (self.requests.len(), self.queue.len())
    }

    /// Handles an event.
    pub fn reduce(&mut self, now: Millis, seed: u64, event: EntryEvent) -> Vec<EntryEffect> {
        let mut seed = Seed::new(seed);
        match event {
            EntryEvent::Control(event) => self.handle_control(now, &mut seed, event),
            EntryEvent::Change(event) => self.handle_change(now, &mut seed, event),
            EntryEvent::Arrived(arrival) => self.handle_arrival(now, *arrival),
            EntryEvent::ClaimSettled { request, state } => self.handle_claim(now, request, state),
            EntryEvent::Started(attempt) => {
                self.record_answer_start(attempt);
                Vec::new()
            }
            EntryEvent::AttemptCompleted { attempt, load } => {
                self.complete_attempt(now, attempt, load)
            }
            EntryEvent::Failed { attempt, failure } => self.fail_attempt(now, attempt, failure),
            EntryEvent::CallerDisconnected(request) => self.handle_disconnect(now, request),
            EntryEvent::Stop => self.stop(&mut seed),
            EntryEvent::Tick => {
                let mut effects = self.handle_control(now, &mut seed, ControlEvent::Tick);
                self.router.retain(&self.control);
                effects.extend(self.report_to_entries(now, &mut seed));
                effects.extend(self.dispatch(now));
                effects
            }
        }
    }

    fn handle_control(
        &mut self,
        now: Millis,
        seed: &mut Seed,
        event: ControlEvent,
    ) -> Vec<EntryEffect> {
        let mut crash_effects = Vec::new();
        if let ControlEvent::Datagram { datagram, .. } = &event {
            if let DatagramBody::Crashes(list) = &datagram.body {
                crash_effects = self.merge_crashes(now, list);
            }
        }
        let effects = self.control.reduce(now, seed, event);
        let mut effects: Vec<EntryEffect> = effects.into_iter().map(EntryEffect::Control).collect();
        effects.extend(crash_effects);
        if !self.queue.is_empty() {
            effects.extend(self.dispatch(now));
        }
        effects
    }

    fn stop(&mut self, seed: &mut Seed) -> Vec<EntryEffect> {
        self.stopping = true;
        let outgoing = self.control.announce_leave(seed);
        let mut effects: Vec<EntryEffect> =
            outgoing.into_iter().map(EntryEffect::Control).collect();
        effects.extend(self.drained_effects());
        effects
    }

    fn drained_effects(&self) -> Vec<EntryEffect> {
        if self.stopping && self.requests.is_empty() {
            vec![EntryEffect::Drained]
        } else {
            Vec::new()
        }
    }
}
