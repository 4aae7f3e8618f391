//! A token bucket that limits how many lines a process logs.

use std::time::Instant;

/// Capacity of the bucket, in seconds of its rate.
const CAPACITY_S: f64 = 2.0;
/// Share of the capacity that lines about successful requests may not use.
const RESERVED_FROM_REQUESTS: f64 = 0.5;
/// Share of the capacity that lines about failed requests may not use either. It is reserved for lines about the state
/// of the process, which are rare and explain what happened to the requests.
const RESERVED_FROM_FAILED_REQUESTS: f64 = 0.2;

/// The subject of a log line. Each kind may use a larger share of the capacity than the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineKind {
    /// A request that did not fail.
    Request,
    /// A request that failed.
    FailedRequest,
    /// The state and actions of the process.
    Process,
}

impl LineKind {
    /// Returns the share of the capacity that lines of this kind may not use.
    fn reserved_share(self) -> f64 {
        match self {
            Self::Request => RESERVED_FROM_REQUESTS,
            Self::FailedRequest => RESERVED_FROM_FAILED_REQUESTS,
            Self::Process => 0.0,
        }
    }
}

/// A token bucket; one token allows one line.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket with a rate of `per_s` lines per second.
    pub(crate) fn new(now: Instant, per_s: u32) -> Self {
        let per_s = f64::from(per_s);
        Self { per_s, tokens: per_s * CAPACITY_S, refilled_at: now }
    }

    /// Changes the rate, in lines per second.
    pub(crate) fn set_rate(&mut self, per_s: u32) {
        self.per_s = f64::from(per_s);
    }

    /// Takes one token for a line of this kind. Returns `false` if none is available to it.
    pub(crate) fn try_take(&mut self, now: Instant, kind: LineKind) -> bool {
        let capacity = self.per_s * CAPACITY_S;
        let refill = now.saturating_duration_since(self.refilled_at).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + refill).min(capacity);
        self.refilled_at = now;
        if self.tokens < capacity * kind.reserved_share() + 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests;
