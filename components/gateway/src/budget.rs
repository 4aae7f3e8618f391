//! How many requests may be sent again.

use std::collections::VecDeque;

use fleet::Millis;

/// Steps that a window is counted in.
const STEPS: u64 = 10;

/// What a budget allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// The window, in milliseconds.
    pub window_ms: u64,
    /// Repeats for each request in it.
    pub ratio: f64,
    /// Repeats on top.
    pub allowance: f64,
}

/// Counts first sends and repeats over a sliding window. Each gateway holds its own share of the
/// allowance of all gateways together, so none is asked.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    /// Start of a step, requests and repeats in it; oldest first.
    steps: VecDeque<(Millis, u32, u32)>,
}

impl RetryBudget {
    /// Nothing has been counted yet.
    pub fn new(limits: BudgetLimits) -> Self {
        Self { limits, steps: VecDeque::new() }
    }

    /// Goes on with other limits. What was counted in the window still counts.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Counts a request of a caller.
    pub fn count_request(&mut self, now: Millis) {
        self.current(now).1 += 1;
    }

    /// Takes one repeat if there is one left.
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

    /// A step is kept until its last moment is outside the window: its repeats may all have been there.
    fn forget(&mut self, now: Millis) {
        let kept = self.limits.window_ms + self.limits.window_ms / STEPS;
        while self.steps.front().is_some_and(|step| now.since(step.0).0 > kept) {
            self.steps.pop_front();
        }
    }
}
