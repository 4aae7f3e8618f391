//! The decisions on one request, written to the log when it ends.
//!
//! Only a sample of ordinary successes is written; everything else is.

use std::cell::{Cell, RefCell};
use std::hash::{DefaultHasher, Hash, Hasher};

use account::{Decision, RequestLine, TimedDecision};
use errors::Code;
use fleet::{HomeRegions, Millis};
use gateway::{AttemptOutcome, RunnerTarget, ServiceState};

use super::core::Core;

/// One of 64 ordinary successes is written, with every step.
const SAMPLE_INTERVAL: u64 = 64;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The caller got the whole answer.
    Complete,
    /// The request did not run and will not run.
    Refused,
    /// An error answer of the runner was forwarded.
    Failed,
    /// The request was sent, and it is unknown whether it ran.
    Unknown,
    /// The answer was truncated.
    Cut,
    /// The caller disconnected.
    Disconnected,
}

impl RequestEnd {
    fn name(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
            Self::Cut => "cut",
            Self::Disconnected => "left",
        }
    }
}

/// Whether a decision may be part of an ordinary success. A denied reservation is, since the request asks
/// another runner.
fn is_ordinary(entry: &TimedDecision) -> bool {
    !matches!(
        entry.decision,
        Decision::Failed { .. }
            | Decision::BrokeOff { .. }
            | Decision::Resumed { .. }
            | Decision::Silent { .. }
            | Decision::Continued { .. }
            | Decision::Told { .. }
    )
}

/// Home regions as they are logged.
fn region_names(homes: &HomeRegions) -> Vec<String> {
    homes.regions().map(|it| it.0.clone()).collect()
}

/// The decisions on one request.
pub struct Trace {
    core: Core,
    id: String,
    arrived: Millis,
    kind: Cell<&'static str>,
    entries: RefCell<Vec<TimedDecision>>,
    ended: Cell<bool>,
}

impl Trace {
    /// Starts the trace of a request that arrives now.
    pub fn new(core: &Core, id: Option<&str>) -> Self {
        Self {
            core: core.clone(),
            id: id.unwrap_or("").to_owned(),
            arrived: core.clock.now(),
            kind: Cell::new("unrouted"),
            entries: RefCell::default(),
            ended: Cell::new(false),
        }
    }

    /// How long ago the request arrived, in milliseconds.
    pub fn age_ms(&self) -> u64 {
        self.core.clock.now().since(self.arrived).0
    }

    /// Adds a decision.
    pub fn add(&self, decision: Decision) {
        self.entries.borrow_mut().push(TimedDecision { ts_ms: telemetry::unix_millis(), decision });
    }

    /// Sets the kind of its route, for the metrics.
    pub fn set_kind(&self, kind: &'static str) {
        self.kind.set(kind);
    }

    /// Adds the choice of a runner.
    pub fn add_choice(&self, target: &RunnerTarget, attempt: u32) {
        self.add(Decision::Chosen {
            runner: target.id.0.clone(),
            attempt,
            occupancy: target.selection.occupancy,
            report_age_ms: target.selection.report_age_ms,
            candidates: target.selection.candidates,
            homes: region_names(&target.selection.homes),
            left_ms: Some(target.left_ms),
        });
    }

    /// Adds that a runner has been silent for longer than expected while its connection is open.
    pub fn add_silence(&self, target: &RunnerTarget, silent_ms: u64, begun: bool) {
        self.core.metrics.count_silence("began");
        self.add(Decision::Silent { runner: target.id.0.clone(), silent_ms, begun });
    }

    /// Adds that a runner that was silent goes on.
    pub fn add_continuation(&self, target: &RunnerTarget) {
        self.core.metrics.count_silence("continued");
        let (runner, after_ms) = (target.id.0.clone(), self.age_ms());
        self.add(Decision::Continued { runner, after_ms });
    }

    /// Adds an attempt that failed.
    pub fn add_failure(&self, target: &RunnerTarget, outcome: AttemptOutcome, took_ms: u64) {
        let runner = target.id.0.clone();
        let slot_outcome = match outcome {
            AttemptOutcome::Denied { .. } => Some("denied"),
            AttemptOutcome::Silent => Some("silent"),
            AttemptOutcome::Expired => Some("expired"),
            _ => None,
        };
        if let Some(slot_outcome) = slot_outcome {
            self.add(Decision::NoPlace { runner, outcome: slot_outcome.into() });
            return;
        }
        let code = outcome.code();
        self.core.metrics.count_failed_attempt(code);
        self.add(Decision::Failed {
            runner,
            code: code.number(),
            name: code.name().into(),
            not_run: outcome.is_not_run(),
            took_ms,
            answering_ms: self.answering_ms(target),
        });
    }

    /// Counts and logs that a runner sent bytes that are no answer.
    pub fn add_malformed_answer(
        &self,
        target: &RunnerTarget,
        source: &'static str,
        fault: &'static str,
    ) {
        self.core.metrics.count_malformed_answer(source, fault);
        let (request, runner) = (self.id.as_str(), target.id.0.as_str());
        log::warn!(request = request, runner = runner, source = source, fault = fault; "a runner sent bytes that are no answer");
    }

    /// How long a runner has been responding, if its response has begun.
    fn answering_ms(&self, target: &RunnerTarget) -> Option<u64> {
        let entries = self.entries.borrow();
        let begun_ms = entries.iter().rev().find_map(|it| match &it.decision {
            Decision::Answered { runner, after_ms, .. } if *runner == target.id.0 => {
                Some(*after_ms)
            }
            _ => None,
        })?;
        Some(self.age_ms().saturating_sub(begun_ms))
    }

    /// Ends the trace. Only the first call counts.
    pub fn end(&self, ending: RequestEnd, status: u16, code: Option<Code>) {
        self.end_with(ending, status, code, None, ServiceState::default());
    }

    /// Ends the trace of a refused request.
    pub fn refuse(
        &self,
        status: u16,
        code: Code,
        retry_after_ms: Option<u64>,
        service_state: ServiceState,
    ) {
        self.end_with(RequestEnd::Refused, status, Some(code), retry_after_ms, service_state);
    }

    fn end_with(
        &self,
        ending: RequestEnd,
        status: u16,
        code: Option<Code>,
        retry_after_ms: Option<u64>,
        service_state: ServiceState,
    ) {
        if self.ended.replace(true) {
            return;
        }
        let is_cut = matches!(ending, RequestEnd::Cut | RequestEnd::Disconnected);
        let (ending, code) = match code {
            _ if is_cut && self.core.stop.is_over() => (RequestEnd::Cut, Some(Code::Stopping)),
            code => (ending, code),
        };
        self.core.metrics.count_request(self.kind.get(), ending.name());
        if let Some(code) = code {
            self.core.metrics.count_refusal(code);
        }
        let ordinary =
            ending == RequestEnd::Complete && self.entries.borrow().iter().all(is_ordinary);
        if ordinary && !self.is_sampled() {
            return;
        }
        let ended = Decision::Ended {
            outcome: ending.name().into(),
            code: code.map_or(0, Code::number),
            name: code.map_or("", Code::name).into(),
            status,
            retry_after_ms,
            runners: service_state.runners,
            usable: service_state.usable,
            homes: region_names(&service_state.homes),
            evacuated: service_state.evacuated,
        };
        self.add(ended);
        self.log(ending == RequestEnd::Complete || ending == RequestEnd::Disconnected);
    }

    fn is_sampled(&self) -> bool {
        let mut hasher = DefaultHasher::new();
        self.id.hash(&mut hasher);
        hasher.finish().is_multiple_of(SAMPLE_INTERVAL)
    }

    fn log(&self, is_ordinary_end: bool) {
        let level = if is_ordinary_end { log::Level::Info } else { log::Level::Warn };
        for TimedDecision { ts_ms, decision } in self.entries.borrow_mut().drain(..) {
            let instance = self.core.name.to_string();
            let line = RequestLine { ts_ms, instance, request: self.id.clone(), decision };
            if let Ok(text) = serde_json::to_string(&line) {
                log::log!(target: telemetry::REQUEST_TARGET, level, "{text}");
            }
        }
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        self.end(RequestEnd::Disconnected, 0, None);
    }
}
