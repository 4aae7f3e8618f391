//! The cold start of a runner, and the slots that it gets during that time.
//!
//! A runner that has just started, or has become cold again, has a low capacity and fails well above it.
//! Every request to it needs a slot granted here, so the total over all gateways is limited here.

use fleet::{Bucket, Millis};
use serde::{Deserialize, Serialize};

/// Maximum time until a gateway reports a change at the runner, in milliseconds: the interval between two
/// writes of the runner's entry, plus the interval between two reads of the list, plus the interval between
/// two messages of a gateway.
const REPORT_LAG_MS: u64 = 3000;
/// Maximum number of saved tokens. With fewer, slots are lost between two reports.
const MAX_SAVED_TOKENS: f64 = 3.0;
/// Ratio of the time in which slots are granted to the time in which the requests are sent. Requests that are
/// sent within one second may have been granted over a longer time: the gateway waits for the reply, and it
/// may use a slot a while later because a connection may have to be opened first.
const GRANT_TIME_RATIO: f64 = 1.4;

/// The cold start of a service's runners.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdPlan {
    /// Maximum duration of a cold start, in milliseconds.
    pub start_ms: u64,
    /// The capacity of a cold runner, in requests per second.
    pub requests_per_s: f64,
}

/// The request limit of a cold runner: in any second at most `overrun` times its capacity plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// The factor for the capacity.
    pub overrun: f64,
    /// The additional number of requests.
    pub slack: f64,
}

/// The cold start of a runner. Has no effect without a plan and a limit.
#[derive(Clone, Debug, Default)]
pub struct ColdStart {
    limit: Option<ColdLimit>,
    plan: Option<ColdPlan>,
    /// End of the cold start as reported by gateways.
    reported_until: Millis,
    /// The time at which the runner may have started, unless a gateway has reported otherwise since.
    assumed_start: Option<Millis>,
    bucket: Bucket,
    was_cold: bool,
}

impl ColdStart {
    /// Creates the state of a runner about which nothing is known.
    pub fn new(limit: Option<ColdLimit>) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Sets how the service's runners start.
    pub fn set_plan(&mut self, now: Millis, plan: Option<ColdPlan>) {
        self.plan = plan;
        self.set_rate(now);
    }

    /// Changes the limit.
    pub fn set_limit(&mut self, now: Millis, limit: Option<ColdLimit>) {
        self.limit = limit;
        self.set_rate(now);
    }

    fn set_rate(&mut self, now: Millis) {
        if let (Some(plan), Some(limit)) = (self.plan, self.limit) {
            let burst = MAX_SAVED_TOKENS.min(limit.slack).max(1.0);
            let max_per_s = plan.requests_per_s * limit.overrun + limit.slack;
            let rate = ((max_per_s - burst) / GRANT_TIME_RATIO).min(plan.requests_per_s);
            self.bucket.set(now, rate, burst);
        }
    }

    /// Records that the runner may just have started.
    pub fn assume_started(&mut self, now: Millis) {
        self.assumed_start = Some(now);
    }

    /// Applies the remaining duration of the cold start, as reported by a gateway that knows the runner's
    /// entry in the list.
    pub fn apply_report(&mut self, now: Millis, left_ms: u64) {
        self.reported_until = self.reported_until.max(now.plus(left_ms));
        // An earlier report may be about an earlier incarnation of the runner.
        let is_report_current =
            self.assumed_start.is_some_and(|at| now.since(at).0 >= REPORT_LAG_MS);
        if left_ms == 0 && is_report_current {
            self.assumed_start = None;
        }
    }

    /// Remaining duration of the cold start as far as known, in milliseconds.
    pub fn left_ms(&self, now: Millis) -> u64 {
        let (Some(plan), Some(_)) = (self.plan, self.limit) else {
            return 0;
        };
        let assumed_left_ms =
            self.assumed_start.map_or(0, |at| at.plus(plan.start_ms).since(now).0);
        assumed_left_ms.max(self.reported_until.since(now).0)
    }

    /// Returns whether the runner counts as cold only because it may just have started.
    pub fn is_only_assumed_cold(&self, now: Millis) -> bool {
        self.left_ms(now) > 0 && self.reported_until <= now
    }

    /// Returns whether the cold start allows another slot.
    pub fn has_slot(&mut self, now: Millis) -> bool {
        self.update_is_cold(now);
        !self.was_cold || self.bucket.has_one(now)
    }

    /// Takes the slot.
    pub fn take_slot(&mut self, now: Millis) {
        if self.was_cold {
            self.bucket.take(now);
        }
    }

    /// Time until the cold start allows another slot, in milliseconds.
    pub fn slot_in_ms(&self, now: Millis) -> u64 {
        let left_ms = self.left_ms(now);
        if left_ms == 0 {
            return 0;
        }
        self.bucket.ready_in_ms(now).map_or(left_ms, |it| it.min(left_ms))
    }

    /// Updates whether the runner is cold. Tokens saved while it was warm are discarded.
    fn update_is_cold(&mut self, now: Millis) {
        let is_cold = self.left_ms(now) > 0;
        if is_cold && !self.was_cold {
            self.bucket.empty(now);
        }
        self.was_cold = is_cold;
    }
}
