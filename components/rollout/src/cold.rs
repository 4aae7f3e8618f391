//! How cold the runner is, and the places that it gets while it is.
//!
//! A runner that has just started, or has turned cold again, bears little and falls over at well above that. Every
//! request to it has a place given here, so the sum over all gateways is bounded here.

use fleet::{Bucket, Millis};
use serde::{Deserialize, Serialize};

/// How long a change at the runner takes to be told by a gateway at the most, in milliseconds: the time
/// between two writes of its entry, the one between two readings of the list, and the one between two words
/// of a gateway.
const ENTRY_LAG: u64 = 3000;
/// The most places that are saved up: with fewer, places are lost between two reports.
const BURST: f64 = 3.0;
/// How much longer than a second the places of one second of sending were given over: an answer is waited
/// for, and a place may be used for a while after it, for a connection may have to be opened first.
const GRANT_STRETCH: f64 = 1.4;

/// How a service's runners start cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdPlan {
    /// How long a start can be, in milliseconds.
    pub start_ms: u64,
    /// Requests a second that a cold runner bears.
    pub requests_per_s: f64,
}

/// How many requests a cold runner gets at most: in any second `overrun` times what it bears, and `slack` on top.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// The factor.
    pub overrun: f64,
    /// Requests on top.
    pub slack: f64,
}

/// The cold start of a runner. Does nothing without a plan and a limit.
#[derive(Clone, Debug, Default)]
pub struct ColdStart {
    limit: Option<ColdLimit>,
    plan: Option<ColdPlan>,
    /// Until when it is cold, by what gateways told.
    told_until: Millis,
    /// Since when it may have started, where nobody has told otherwise.
    assumed_at: Option<Millis>,
    bucket: Bucket,
    was_cold: bool,
}

impl ColdStart {
    /// Starts with nothing known.
    pub fn new(limit: Option<ColdLimit>) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Takes in how runners of the service start.
    pub fn set_plan(&mut self, now: Millis, plan: Option<ColdPlan>) {
        self.plan = plan;
        self.set_rate(now);
    }

    /// Goes on with another limit.
    pub fn set_limit(&mut self, now: Millis, limit: Option<ColdLimit>) {
        self.limit = limit;
        self.set_rate(now);
    }

    fn set_rate(&mut self, now: Millis) {
        if let (Some(plan), Some(limit)) = (self.plan, self.limit) {
            let burst = BURST.min(limit.slack).max(1.0);
            let bound = plan.requests_per_s * limit.overrun + limit.slack;
            let rate = ((bound - burst) / GRANT_STRETCH).min(plan.requests_per_s);
            self.bucket.set(now, rate, burst);
        }
    }

    /// Takes in that the runner may just have started.
    pub fn assume(&mut self, now: Millis) {
        self.assumed_at = Some(now);
    }

    /// Takes in how much longer it is cold, by a gateway that knows its entry in the list.
    pub fn take_word(&mut self, now: Millis, left_ms: u64) {
        self.told_until = self.told_until.max(now.plus(left_ms));
        // An earlier word may be of an earlier life.
        let settled = self.assumed_at.is_some_and(|at| now.since(at).0 >= ENTRY_LAG);
        if left_ms == 0 && settled {
            self.assumed_at = None;
        }
    }

    /// How much longer the runner is cold, as far as known, in milliseconds.
    pub fn left_ms(&self, now: Millis) -> u64 {
        let (Some(plan), Some(_)) = (self.plan, self.limit) else {
            return 0;
        };
        let assumed = self.assumed_at.map_or(0, |at| at.plus(plan.start_ms).since(now).0);
        assumed.max(self.told_until.since(now).0)
    }

    /// Whether only its assumption holds the runner for cold.
    pub fn is_assumed(&self, now: Millis) -> bool {
        self.left_ms(now) > 0 && self.told_until <= now
    }

    /// Whether there is a place as far as the cold start goes.
    pub fn has_place(&mut self, now: Millis) -> bool {
        self.turn(now);
        !self.was_cold || self.bucket.has_one(now)
    }

    /// Takes that place.
    pub fn take_place(&mut self, now: Millis) {
        if self.was_cold {
            self.bucket.take(now);
        }
    }

    /// After how many milliseconds there is a place, as far as the cold start goes.
    pub fn place_in_ms(&self, now: Millis) -> u64 {
        let left = self.left_ms(now);
        if left == 0 {
            return 0;
        }
        self.bucket.ready_in_ms(now).map_or(left, |it| it.min(left))
    }

    /// What was saved up while it was warm does not count.
    fn turn(&mut self, now: Millis) {
        let is_cold = self.left_ms(now) > 0;
        if is_cold && !self.was_cold {
            self.bucket.empty(now);
        }
        self.was_cold = is_cold;
    }
}
