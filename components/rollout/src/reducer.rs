//! The reducer of a sidecar.

use std::collections::BTreeSet;
use std::sync::Arc;

use fleet::{Bitmap, Hall, InstanceId, Manifest, Millis};
use reducer::{Choice, Participant, Spread, SpreadEffect, SpreadOptions, SpreadPhase};

use crate::event::{Effect, Event, OrderOutcome, RolloutOptions, RunnerStatus, WeightsPlan};

/// The version that runners hold before any was named.
const FIRST_VERSION: u64 = 1;
/// Copies that are drawn from the origin.
const ORIGIN_COPIES: u32 = 1;
/// Chunks in flight from other sidecars.
const DRAW_WINDOW: usize = 4;
/// How long a receiver waits for the one before it in rank at the origin, in milliseconds.
const ORIGIN_PATIENCE: u64 = 900;
/// How long to wait after a manifest did not arrive, in milliseconds.
const DESCRIBE_PAUSE: u64 = 300;
/// How long the runner may take to show that it took an order, in milliseconds.
const ORDER_PATIENCE: u64 = 1500;
/// How long to wait after an order was refused, in milliseconds.
const ORDER_PAUSE: u64 = 250;
/// How long before its bound a version should be served everywhere, in milliseconds: the requests
/// under way end first, and the runner takes the weights.
const TAKE_MARGIN: u64 = 3500;
/// The part of the link that chunks may take.
const LINK_SHARE: f64 = 0.85;

/// How far the wanted version has come at this runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
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
    /// What lies at the runner is verified.
    Checking,
    /// The runner was ordered at the given moment, when it had taken so many orders.
    Ordered(Millis, u64),
    /// The runner holds the version.
    Served,
}

/// The state of a sidecar.
pub struct Rollout {
    options: RolloutOptions,
    plan: Option<WeightsPlan>,
    named: u64,
    named_at: Millis,
    status: Option<RunnerStatus>,
    participants: Vec<Participant>,
    step: Step,
    spread: Option<Spread>,
}

impl Rollout {
    /// Starts with nothing known.
    pub fn new(options: RolloutOptions) -> Self {
        Self {
            options,
            plan: None,
            named: FIRST_VERSION,
            named_at: Millis(0),
            status: None,
            participants: Vec::new(),
            step: Step::Describing { not_before: Millis(0), asked: false },
            spread: None,
        }
    }

    /// The version that the runner should hold.
    pub fn wanted(&self) -> u64 {
        self.named
    }

    /// What the runner last said of itself.
    pub fn status(&self) -> Option<&RunnerStatus> {
        self.status.as_ref()
    }

    /// The plan in force.
    pub fn plan(&self) -> Option<&WeightsPlan> {
        self.plan.as_ref()
    }

    /// The chunks of the wanted version that are here.
    pub fn have(&self) -> Option<&Bitmap> {
        self.spread.as_ref().map(Spread::have)
    }

    /// Takes in an event.
    pub fn reduce(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        match event {
            Event::Planned(plan) => self.plan = Some(plan),
            Event::Named(version) => self.name(now, version),
            Event::Status(status) => self.take_status(now, status),
            Event::Silent => self.status = None,
            Event::Described(version, manifest) if version == self.named => {
                return self.start_spread(now, manifest);
            }
            Event::Undescribed(version) if version == self.named => {
                let not_before = now.plus(DESCRIBE_PAUSE);
                self.step = Step::Describing { not_before, asked: false };
            }
            Event::Found(version, found) if version == self.named => self.take_found(now, &found),
            Event::Arrived { version, index, source, verified } if version == self.named => {
                if let Some(spread) = &mut self.spread {
                    spread.take_chunk(now, index, &source, verified);
                }
            }
            Event::Missed { version, index, source, code } if version == self.named => {
                if let Some(spread) = &mut self.spread {
                    spread.fail_chunk(now, index, &source, code, 0);
                }
            }
            Event::Checked(version, sound) if version == self.named => {
                return self.take_check(now, sound);
            }
            Event::Ordered(version, outcome) if version == self.named => {
                self.take_order_outcome(now, outcome);
            }
            Event::Participants(participants) => self.take_participants(now, participants),
            Event::Summary { from, address, place, version, have } if version == self.named => {
                if let Some(spread) = &mut self.spread {
                    spread.take_summary(&from, address, &place, have);
                }
            }
            Event::Tick => return self.advance(now),
            // What speaks of another version is too late.
            _ => {}
        }
        Vec::new()
    }

    fn name(&mut self, now: Millis, version: u64) {
        if version <= self.named {
            return;
        }
        self.named = version;
        self.named_at = now;
        self.spread = None;
        self.step = Step::Describing { not_before: now, asked: false };
    }

    fn take_status(&mut self, now: Millis, status: RunnerStatus) {
        let holds = status.version == Some(self.named);
        let restarted = self.status.as_ref().is_some_and(|it| status.sequence < it.sequence);
        match self.step {
            Step::Waiting(_) | Step::Ordered(..) if holds => self.step = Step::Served,
            Step::Served if !holds && !status.busy => self.step = Step::Waiting(now),
            Step::Ordered(at, sequence) => {
                let late = now.since(at).0 > ORDER_PATIENCE && !status.busy;
                let settled = status.sequence > sequence && !status.busy;
                if late || settled || restarted {
                    self.step = Step::Waiting(now);
                }
            }
            _ => {}
        }
        self.status = Some(status);
    }

    fn start_spread(&mut self, now: Millis, manifest: Arc<Manifest>) -> Vec<Effect> {
        let Some(plan) = &self.plan else {
            return Vec::new();
        };
        let receivers: Vec<(InstanceId, Hall)> =
            self.participants.iter().map(|it| (it.id.clone(), it.place.hall.clone())).collect();
        let options = SpreadOptions {
            copies: ORIGIN_COPIES,
            origin_bytes_per_s: plan.origin_bytes_per_s,
            download_bytes_per_s: (self.options.link_bytes_per_s as f64 * LINK_SHARE) as u64,
            control_bytes_per_s: self.options.control_bytes_per_s,
            patience_ms: Some(ORIGIN_PATIENCE),
            choice: Choice::Rarest,
        };
        let (me, place) = (&self.options.me, &self.options.place);
        let mut spread = Spread::new(now, me, place, manifest, &receivers, options);
        spread.set_participants(now, &self.participants);
        self.spread = Some(spread);
        self.step = Step::Finding;
        vec![Effect::Find(self.named)]
    }

    fn take_found(&mut self, now: Millis, found: &Bitmap) {
        let Some(spread) = &mut self.spread else {
            return;
        };
        spread.adopt(found);
        self.step = Step::Drawing;
        self.finish_drawing(now);
    }

    /// Goes on once every chunk is here.
    fn finish_drawing(&mut self, now: Millis) {
        let whole = self.spread.as_ref().is_some_and(|it| it.phase() == SpreadPhase::Whole);
        if self.step != Step::Drawing || !whole {
            return;
        }
        let holds = self.status.as_ref().is_some_and(|it| it.version == Some(self.named));
        self.step = if holds { Step::Served } else { Step::Waiting(self.order_at(now)) };
    }

    /// When the runner is ordered. One that serves an older version goes on with it for a time that
    /// differs between sidecars, so that not all of them stop at once.
    fn order_at(&self, now: Millis) -> Millis {
        let serves = self.status.as_ref().is_some_and(|it| it.version.is_some());
        let end = self.named_at.plus(self.options.version_ms.saturating_sub(TAKE_MARGIN));
        if !serves || now >= end {
            return now;
        }
        let mut ids: BTreeSet<&InstanceId> = self.participants.iter().map(|it| &it.id).collect();
        ids.insert(&self.options.me);
        let place = ids.iter().position(|id| **id == self.options.me).unwrap_or(0) as u64;
        // Each version starts at another sidecar, so that none is always the last.
        let turn = (place + self.named) % ids.len() as u64;
        now.plus(end.since(now).0 * turn / ids.len() as u64)
    }

    fn take_check(&mut self, now: Millis, sound: bool) -> Vec<Effect> {
        if self.step != Step::Checking {
            return Vec::new();
        }
        let Some(status) = self.status.as_ref().filter(|it| sound && !it.busy) else {
            self.step = Step::Waiting(now.plus(ORDER_PAUSE));
            return Vec::new();
        };
        let sequence = status.sequence;
        self.step = Step::Ordered(now, sequence);
        vec![Effect::Order { version: self.named, sequence }]
    }

    fn take_order_outcome(&mut self, now: Millis, outcome: OrderOutcome) {
        if !matches!(self.step, Step::Ordered(..)) {
            return;
        }
        // What was taken, or may have been, shows in the runner's next words of itself.
        if outcome == OrderOutcome::Refused {
            self.step = Step::Waiting(now.plus(ORDER_PAUSE));
        }
    }

    fn take_participants(&mut self, now: Millis, participants: Vec<Participant>) {
        if let Some(spread) = &mut self.spread {
            spread.set_participants(now, &participants);
        }
        self.participants = participants;
    }

    /// Does what is due.
    fn advance(&mut self, now: Millis) -> Vec<Effect> {
        if self.plan.is_none() {
            return Vec::new();
        }
        let mut effects = Vec::new();
        if let Some(spread) = &mut self.spread {
            if self.step == Step::Drawing {
                effects.extend(spread.draw(now, DRAW_WINDOW));
            }
            effects.extend(spread.summarize(now));
        }
        let mut effects: Vec<Effect> = effects.into_iter().map(|it| self.translate(it)).collect();
        self.finish_drawing(now);
        match self.step {
            Step::Describing { not_before, asked: false } if now >= not_before => {
                self.step = Step::Describing { not_before, asked: true };
                effects.push(Effect::Describe(self.named));
            }
            Step::Waiting(at) if now >= at && self.is_runner_free() => {
                self.step = Step::Checking;
                effects.push(Effect::Check(self.named));
            }
            _ => {}
        }
        effects
    }

    fn is_runner_free(&self) -> bool {
        self.status.as_ref().is_some_and(|it| !it.busy)
    }

    fn translate(&self, effect: SpreadEffect) -> Effect {
        match effect {
            SpreadEffect::Draw(draw) => Effect::Draw(self.named, draw),
            SpreadEffect::Summarize { to, have } => {
                Effect::Summarize { to, version: self.named, have }
            }
        }
    }
}
