//! Limits how many requests a gateway may retry.

use std::collections::VecDeque;

use fleet::Millis;

/// Number of time buckets that the sliding window is divided into.
const WINDOW_BUCKETS: u64 = 10;

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
    buckets: VecDeque<(Millis, u32, u32)>,
}

impl RetryBudget {
    /// Creates a budget with nothing counted.
    pub fn new(limits: BudgetLimits) -> Self {
        Self { limits, buckets: VecDeque::new() }
    }

    /// Replaces the limits. Requests and retries already counted in the window still count.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Counts a request received from a caller.
    pub fn count_request(&mut self, now: Millis) {
        self.current_bucket(now).1 += 1;
    }

    /// Consumes one retry if the budget allows it.
    pub fn take_retry(&mut self, now: Millis) -> bool {
        let is_allowed = self.has_retries(now, 1);
        if is_allowed {
            self.current_bucket(now).2 += 1;
        }
        is_allowed
    }

    /// Returns whether the budget allows this number of retries.
    pub fn has_retries(&mut self, now: Millis, count: u32) -> bool {
        self.drop_expired(now);
        let within_window =
            self.buckets.iter().filter(|bucket| now.since(bucket.0).0 <= self.limits.window_ms);
        let requests: u32 = within_window.map(|bucket| bucket.1).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.2).sum();
        let BudgetLimits { ratio, allowance, .. } = self.limits;
        f64::from(repeats + count) <= ratio * f64::from(requests) + allowance
    }

    fn current_bucket(&mut self, now: Millis) -> &mut (Millis, u32, u32) {
        let bucket_ms = self.limits.window_ms / WINDOW_BUCKETS;
        let is_due = self.buckets.back().is_none_or(|bucket| now.since(bucket.0).0 >= bucket_ms);
        if is_due {
            self.buckets.push_back((now, 0, 0));
        }
        self.drop_expired(now);
        let last_index = self.buckets.len() - 1;
        &mut self.buckets[last_index]
    }

    /// Drops time buckets that are wholly outside the window. A bucket is kept until its end has
    /// left the window, because all its retries may have happened at its end.
    fn drop_expired(&mut self, now: Millis) {
        let kept = self.limits.window_ms + self.limits.window_ms / WINDOW_BUCKETS;
        while self.buckets.front().is_some_and(|bucket| now.since(bucket.0).0 > kept) {
            self.buckets.pop_front();
        }
    }
}
