//! What a gateway knows of one runner.

use std::net::SocketAddr;

use fleet::{Hall, InstanceId, Millis, ModelName, ServiceName};
use serde::{Deserialize, Serialize};

/// The most prompt tokens that a gateway saves up for a runner.
const MAX_PROMPT_CREDIT: f64 = 1500.0;
/// The part of a runner's time that it may read prompts.
const READING_SHARE: f64 = 0.9;
/// The part of a new measurement in a smoothed one.
const SMOOTHING: f64 = 0.3;
/// The time after which what was seen of a runner counts for a third, in milliseconds.
const FIRST_MEMORY: f64 = 4000.0;
/// How long a load report counts, in milliseconds.
const REPORT_LIFE: u64 = 1000;
/// The shortest time that a runner is left alone after a failure, in milliseconds.
const MIN_SUSPICION: u64 = 300;
/// The longest such time, in milliseconds.
const MAX_SUSPICION: u64 = 4000;
/// How often the time is doubled at most.
const MOST_DOUBLINGS: u32 = 4;

/// Whether a runner takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerState {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// The weights that a runner holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsHeld {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
    /// Whether every layer is there, all of this version.
    pub whole: bool,
}

/// What the list of runners says of one.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerRecord {
    /// Its incarnation. A restarted runner has another one.
    pub id: InstanceId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub hall: Hall,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: RunnerState,
    /// The weights that it holds, by the list. `None` for a plain service.
    pub weights: Option<WeightsHeld>,
}

/// What the sidecar beside a runner says of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunnerLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Tokens of context in its memory.
    pub kv_used: u64,
    /// Tokens of context that fit.
    pub kv_total: u64,
    /// Whether it is taking other weights and begins nothing new.
    pub busy: bool,
    /// How many times slower than usual it is.
    pub pace: f64,
    /// The weights that it holds.
    pub weights: Option<WeightsHeld>,
    /// Gateways that get this report, and share the free places.
    pub gateways: u32,
}

/// A report with the moment it arrived.
#[derive(Clone, Debug)]
struct Reported {
    load: RunnerLoad,
    at: Millis,
    /// Own requests there at that moment.
    own: u32,
    /// Requests that may still be sent before the next report.
    allowance: u32,
}

/// A runner.
#[derive(Clone, Debug)]
pub struct Runner {
    /// What the list says.
    pub record: RunnerRecord,
    /// Own requests there.
    pub in_flight: u32,
    reported: Option<Reported>,
    /// Prompt tokens that may be sent, and when they were counted.
    prompt_credit: (f64, Millis),
    /// How long answers took to begin, smoothed, in milliseconds, and when that was last seen.
    first_ms: (f64, Millis),
    suspect_until: Millis,
    failures: u32,
    /// The incarnation was refused there; nothing is sent until the list changes.
    pub misdirected: bool,
}

impl Runner {
    /// A runner that was just listed.
    pub fn new(record: RunnerRecord) -> Self {
        Self {
            record,
            in_flight: 0,
            reported: None,
            prompt_credit: (MAX_PROMPT_CREDIT, Millis(0)),
            first_ms: (0.0, Millis(0)),
            suspect_until: Millis(0),
            failures: 0,
            misdirected: false,
        }
    }

    /// Takes in a report. `toss` is a number from zero to one that decides who gets a place that
    /// cannot be shared.
    pub fn take_load(&mut self, now: Millis, toss: f64, load: RunnerLoad) {
        let taken = load.running + load.waiting;
        let free = f64::from(self.record.slots.saturating_sub(taken));
        let share = free / f64::from(load.gateways.max(1));
        let allowance = (share + toss) as u32;
        self.reported = Some(Reported { load, at: now, own: self.in_flight, allowance });
    }

    /// Whether another request may be sent there. Other gateways see the same free places, so each
    /// takes its share of them until the next report.
    pub fn has_room(&self, now: Millis) -> bool {
        let room = self.occupancy(now) < self.record.slots;
        let fresh = self.reported.as_ref().filter(|it| now.since(it.at).0 <= REPORT_LIFE);
        room && fresh.is_none_or(|it| it.allowance > 0)
    }

    /// Prompt tokens that may be sent now, where the runner reads `tokens_per_ms` and all gateways
    /// share that. Prompts that come faster only wait for each other.
    pub fn prompt_credit(&self, now: Millis, tokens_per_ms: f64) -> f64 {
        let gateways = self.load(now).map_or(1, |load| load.gateways.max(1));
        let (credit, at) = self.prompt_credit;
        let gained = now.since(at).0 as f64 * tokens_per_ms * READING_SHARE / f64::from(gateways);
        (credit + gained).min(MAX_PROMPT_CREDIT)
    }

    /// A request with a prompt of so many tokens is sent there.
    pub fn send(&mut self, now: Millis, tokens_per_ms: f64, prompt_tokens: u32) {
        self.in_flight += 1;
        let credit = self.prompt_credit(now, tokens_per_ms);
        self.prompt_credit = (credit - f64::from(prompt_tokens), now);
        if let Some(reported) = &mut self.reported {
            reported.allowance = reported.allowance.saturating_sub(1);
        }
    }

    /// The last report, if it still counts.
    pub fn load(&self, now: Millis) -> Option<&RunnerLoad> {
        let reported = self.reported.as_ref()?;
        (now.since(reported.at).0 <= REPORT_LIFE).then_some(&reported.load)
    }

    /// The weights that it holds, by the newest word on that.
    pub fn weights(&self, now: Millis) -> Option<&WeightsHeld> {
        match self.load(now) {
            Some(load) => load.weights.as_ref(),
            None => self.record.weights.as_ref(),
        }
    }

    /// Requests there: its own and, by the last report, those of other gateways.
    pub fn occupancy(&self, now: Millis) -> u32 {
        let Some(reported) = self.reported.as_ref() else {
            return self.in_flight;
        };
        if now.since(reported.at).0 > REPORT_LIFE {
            return self.in_flight;
        }
        let total = reported.load.running + reported.load.waiting;
        self.in_flight + total.saturating_sub(reported.own)
    }

    /// How long an answer is expected to take to begin, in milliseconds. What was seen counts for less
    /// as it gets older, so that a runner that was slow is tried again.
    pub fn usual_first_ms(&self, now: Millis) -> f64 {
        let (seen, at) = self.first_ms;
        let age = now.since(at).0 as f64;
        seen * (-age / FIRST_MEMORY).exp()
    }

    /// An answer took so long to begin, or did not begin by then.
    pub fn note_first(&mut self, now: Millis, took: Millis) {
        let before = self.usual_first_ms(now);
        let took = took.0 as f64;
        let smoothed = if before == 0.0 { took } else { before + SMOOTHING * (took - before) };
        self.first_ms = (smoothed, now);
    }

    /// Whether it failed a short while ago.
    pub fn is_suspect(&self, now: Millis) -> bool {
        now < self.suspect_until
    }

    /// A request was answered.
    pub fn reward(&mut self) {
        self.failures = 0;
        self.suspect_until = Millis(0);
    }

    /// A request failed: the runner is left alone for a while that doubles with each failure.
    pub fn punish(&mut self, now: Millis) {
        let span = MIN_SUSPICION << self.failures.min(MOST_DOUBLINGS);
        self.failures += 1;
        self.suspect_until = now.plus(span.min(MAX_SUSPICION));
    }

    /// It turned a request away because it is full.
    pub fn note_full(&mut self, now: Millis, pause_ms: u64) {
        self.suspect_until = self.suspect_until.max(now.plus(pause_ms));
    }
}
