//! Rate shares of this gateway for runners whose rate it shares with other gateways.

use std::collections::BTreeMap;

use fleet::{Bucket, InstanceId, Millis};

/// Requests of one gateway that may be sent at once.
pub(crate) const BURST_REQUESTS: f64 = 1.0;

/// A token bucket for each runner that this gateway may send to. It may send to no other runner.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateShares {
    buckets: BTreeMap<InstanceId, Bucket>,
}

impl RateShares {
    /// Sets how many requests per second this gateway may send to a runner. Unused capacity from
    /// before the first call does not count.
    pub(crate) fn set(&mut self, now: Millis, runner: &InstanceId, per_s: f64) {
        let bucket = self.buckets.entry(runner.clone()).or_insert_with(|| {
            let mut bucket = Bucket::default();
            bucket.empty(now);
            bucket
        });
        bucket.set(now, per_s, BURST_REQUESTS);
    }

    /// Removes the share for a runner.
    pub(crate) fn close(&mut self, runner: &InstanceId) {
        self.buckets.remove(runner);
    }

    /// Whether this gateway has a share for a runner.
    pub(crate) fn is_open(&self, runner: &InstanceId) -> bool {
        self.buckets.contains_key(runner)
    }

    /// Whether a request may be sent to a runner now.
    pub(crate) fn has_token(&self, now: Millis, runner: &InstanceId) -> bool {
        self.buckets.get(runner).is_some_and(|it| it.has_one(now))
    }

    /// In how many milliseconds a request may be sent to a runner. `None` if this gateway has no
    /// share.
    pub(crate) fn rate_allows_in_ms(&self, now: Millis, runner: &InstanceId) -> Option<u64> {
        self.buckets.get(runner)?.ready_in_ms(now)
    }

    /// Counts a request that is sent to a runner, if the share allows one now.
    pub(crate) fn take_token(&mut self, now: Millis, runner: &InstanceId) -> bool {
        self.buckets.get_mut(runner).is_some_and(|it| it.take(now))
    }
}
