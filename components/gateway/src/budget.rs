//! Limits how many requests a gateway may retry.

use std::collections::VecDeque;

use fleet::Millis;

/// Number of time buckets that the sliding window is divided into.
const STEPS: u64 = 10;

/// The limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
    /// Retries allowed for each request in the window.
    pub ratio: f64,
    /// Retries allowed in the window in addition to the ratio.
    pub allowance: f64,
}

/// Counts requests and retries over a sliding window. Each gateway enforces its own share of the
/// allowance of all gateways, so no coordination is needed for a retry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    /// Start time, request count and retry count of each time bucket; oldest first.
    steps: VecDeque<(Millis, u32, u32)>,
}

impl RetryBudget {
    /// Creates a budget with nothing counted.
    pub fn new(limits: BudgetLimits) -> Self {
        Self { limits, steps: VecDeque::new() }
    }

    /// Replaces the limits. Requests and retries already counted in the window still count.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Counts a request received from a caller.
    pub fn count_request(&mut self, now: Millis) {
        self.current(now).1 += 1;
    }

    /// Consumes one retry if the budget allows it.
    pub fn take_repeat(&mut self, now: Millis) -> bool {
        self.forget(now);
        let whole = self.steps.iter().filter(|step| now.since(step.0).0 <= self.limits.window_ms);
        let requests: u32 = whole.map(|step| step.1).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.2).sum();
        let BudgetLimits { ratio, allowance, .. } = self.limits;
        if f64::from(repeats) + 1.0 > ratio * f64::from(requests) + allowance {
            return false;
        }
        self.current(now).2 += 1;
        true
    }

    fn current(&mut self, now: Millis) -> &mut (Millis, u32, u32) {
        let span = self.limits.window_ms / STEPS;
        let fresh = self.steps.back().is_none_or(|step| now.since(step.0).0 >= span);
        if fresh {
            self.steps.push_back((now, 0, 0));
        }
        self.forget(now);
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }

    /// Drops time buckets that are wholly outside the window. A bucket is kept until its end has
    /// left the window, because all its retries may have happened at its end.
    fn forget(&mut self, now: Millis) {
        let kept = self.limits.window_ms + self.limits.window_ms / STEPS;
        while self.steps.front().is_some_and(|step| now.since(step.0).0 > kept) {
            self.steps.pop_front();
        }
    }
}
