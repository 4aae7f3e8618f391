//! How many lines a process may log: an allowance that refills with time.

use std::time::Instant;

/// Seconds of allowance that may be saved up.
const BURST_S: f64 = 2.0;
/// The part of the allowance that ordinary lines on requests leave alone.
const BEHIND_REQUESTS: f64 = 0.5;
/// The part that lines on failed requests leave alone too. What a process knows is logged rarely, and explains the
/// requests.
const BEHIND_FAILED_REQUESTS: f64 = 0.2;

/// What a line tells of. Each kind may use more of the allowance than the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineKind {
    /// A request.
    Request,
    /// A request that failed.
    FailedRequest,
    /// What the process knows and does.
    Process,
}

impl LineKind {
    /// The part of the allowance that lines of this kind leave alone.
    fn reserve(self) -> f64 {
        match self {
            Self::Request => BEHIND_REQUESTS,
            Self::FailedRequest => BEHIND_FAILED_REQUESTS,
            Self::Process => 0.0,
        }
    }
}

/// An allowance of lines.
#[derive(Debug)]
pub(crate) struct Allowance {
    per_s: f64,
    left: f64,
    at: Instant,
}

impl Allowance {
    /// A full allowance of so many lines a second.
    pub(crate) fn new(now: Instant, per_s: u32) -> Self {
        let per_s = f64::from(per_s);
        Self { per_s, left: per_s * BURST_S, at: now }
    }

    /// Allows so many lines a second from now on.
    pub(crate) fn set(&mut self, per_s: u32) {
        self.per_s = f64::from(per_s);
    }

    /// Takes a line if its kind may have it.
    pub(crate) fn take(&mut self, now: Instant, kind: LineKind) -> bool {
        let most = self.per_s * BURST_S;
        let gained = now.saturating_duration_since(self.at).as_secs_f64() * self.per_s;
        self.left = (self.left + gained).min(most);
        self.at = now;
        if self.left < most * kind.reserve() + 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests;
