//! Decides which requests may be sent to the runner. A gateway requests a reservation right before it sends a
//! request.
//!
//! The sidecar knows the reservations of all gateways, so each slot is granted once. An answer also shows
//! that the machine is responsive: a request sent to a suspended machine would stay there and start much later.

use std::collections::VecDeque;

use fleet::Millis;

/// Time until a request arrives at the runner, in milliseconds. A report that is not older than this relative
/// to a reservation may not include the request.
const TRANSIT_MS: u64 = 12;
/// Fraction of time in which the runner may process prompts.
const PROMPT_TIME_FRACTION: f64 = 0.9;
/// Maximum number of saved prompt tokens. An idle runner gets one prompt and then the next one after it; two
/// at once would delay each other.
const MAX_CREDIT_TOKENS: f64 = 400.0;
/// Minimum prompt processing rate for calculations, in tokens per millisecond.
const MIN_TOKENS_PER_MS: f64 = 0.1;
/// Minimum retry delay, in milliseconds.
pub(crate) const MIN_RETRY_MS: u64 = 5;
/// Retry delay if all slots are in use, in milliseconds. It is within the interval of two reports, in which
/// usually some request ends.
const FULL_RETRY_MS: u64 = 60;
/// Retry delay if the runner is switching versions or its hall is evacuated, in milliseconds.
const SWITCH_RETRY_MS: u64 = 250;
/// How long a report is valid, in milliseconds.
const REPORT_VALID_MS: u64 = 600;

/// The reason why a reservation is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The runner's data hall is evacuated.
    Evacuated,
    /// The runner reports that it is leaving.
    RunnerLeaves,
    /// An order to the runner is due.
    OrderDue,
    /// The version at the runner is close to or past its deadline.
    TooOld,
    /// This machine sent the latest order of all sidecars, and its runner does not hold the newest version. A
    /// request that waits at the runner must not start much later.
    LastOrder,
    /// The runner is cold and has reached its request limit.
    Cold,
    /// The runner advertises a rate limit and has reached it.
    Limited,
    /// All slots are in use.
    Full,
    /// The runner is still processing earlier prompts.
    ProcessingPrompts,
    /// First attempts of other callers take precedence over this repeated attempt.
    RepeatedAttempt,
    /// There is no recent report from the runner.
    NoRecentReport,
    /// The runner holds no complete version, or is loading one.
    NotServing,
}

impl Denial {
    /// Returns whether a slot may become free within a fraction of a second.
    pub(crate) fn is_short(self) -> bool {
        matches!(self, Self::Cold | Self::Limited | Self::Full | Self::ProcessingPrompts)
    }

    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Evacuated => "evacuated",
            Self::RunnerLeaves => "runner_leaves",
            Self::OrderDue => "leaving",
            Self::TooOld => "too_old",
            Self::LastOrder => "last_order",
            Self::Cold => "cold",
            Self::Limited => "limited",
            Self::Full => "full",
            Self::ProcessingPrompts => "reading",
            Self::RepeatedAttempt => "later",
            Self::NoRecentReport => "unheard",
            Self::NotServing => "not_serving",
        }
    }
}

/// The slots of a runner.
#[derive(Clone, Debug, Default)]
pub struct RunnerSlots {
    slots: u32,
    tokens_per_ms: f64,
    /// Number of requests at the runner by its latest report, and the time of the report.
    reported: Option<(u32, Millis)>,
    /// Grant times of slots that the latest report may not include.
    granted: VecDeque<Millis>,
    /// Prompt tokens that may still be sent, and the time of this value.
    credit: (f64, Millis),
    /// Whether prompts may be sent faster than the runner processes them.
    pacing_disabled: bool,
}

impl RunnerSlots {
    /// Allows prompts to be sent faster than the runner processes them.
    pub fn disable_pacing(&mut self) {
        self.pacing_disabled = true;
    }

    /// Sets the number of requests that the runner processes concurrently, and its prompt processing rate.
    pub fn set_profile(&mut self, slots: u32, tokens_per_ms: f64) {
        self.slots = slots;
        self.tokens_per_ms = tokens_per_ms;
    }

    /// Discards the requests at the runner and in transit, because the runner has restarted.
    pub fn reset(&mut self) {
        self.reported = None;
        self.granted.clear();
    }

    /// Applies the number of requests at the runner.
    pub fn apply_report(&mut self, now: Millis, requests: u32) {
        self.reported = Some((requests, now));
        while self.granted.front().is_some_and(|at| now.since(*at).0 > TRANSIT_MS) {
            self.granted.pop_front();
        }
    }

    /// Delay after which a retry may succeed, in milliseconds.
    pub fn retry_delay_ms(&self, now: Millis, denial: Denial) -> u64 {
        match denial {
            Denial::ProcessingPrompts => self.prompt_backlog_ms(now) + MIN_RETRY_MS,
            Denial::Full | Denial::Cold | Denial::Limited => FULL_RETRY_MS,
            Denial::RepeatedAttempt => MIN_RETRY_MS,
            Denial::OrderDue | Denial::TooOld | Denial::LastOrder => SWITCH_RETRY_MS,
            Denial::Evacuated | Denial::RunnerLeaves => SWITCH_RETRY_MS,
            Denial::NoRecentReport | Denial::NotServing => SWITCH_RETRY_MS,
        }
    }

    /// Time the runner needs for the prompts that it has received, in milliseconds.
    pub fn prompt_backlog_ms(&self, now: Millis) -> u64 {
        let missing_tokens = -self.credit(now);
        let prompt_rate = (self.tokens_per_ms * PROMPT_TIME_FRACTION).max(MIN_TOKENS_PER_MS);
        (missing_tokens / prompt_rate).max(0.0) as u64
    }

    /// Number of requests that the runner processes concurrently.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Number of requests at the runner or in transit to it.
    pub fn used(&self) -> u32 {
        self.reported.map_or(0, |(requests, _)| requests) + self.granted.len() as u32
    }

    /// Returns whether the runner has been idle and keeps a free slot if another one is granted.
    pub fn has_spare_slot(&self, now: Millis) -> bool {
        self.used() + 1 < self.slots && self.credit(now) >= MAX_CREDIT_TOKENS
    }

    /// Returns whether a request may still be in transit.
    pub fn has_request_in_transit(&self, now: Millis) -> bool {
        self.granted.back().is_some_and(|at| now.since(*at).0 <= 2 * TRANSIT_MS)
    }

    /// Grants a slot to a request with a prompt of `prompt_tokens` tokens, if one is free. Prompts that are
    /// sent faster than the runner processes them would only wait for each other.
    pub fn grant(&mut self, now: Millis, prompt_tokens: u32) -> Result<(), Denial> {
        let is_recent = self.reported.is_some_and(|(_, at)| now.since(at).0 <= REPORT_VALID_MS);
        if !is_recent {
            return Err(Denial::NoRecentReport);
        }
        if self.used() >= self.slots {
            return Err(Denial::Full);
        }
        let credit = self.credit(now);
        if credit <= 0.0 && !self.pacing_disabled {
            return Err(Denial::ProcessingPrompts);
        }
        self.credit = (credit - f64::from(prompt_tokens), now);
        self.granted.push_back(now);
        Ok(())
    }

    fn credit(&self, now: Millis) -> f64 {
        let (credit, at) = self.credit;
        let gained_tokens = now.since(at).0 as f64 * self.tokens_per_ms * PROMPT_TIME_FRACTION;
        (credit + gained_tokens).min(MAX_CREDIT_TOKENS)
    }
}
