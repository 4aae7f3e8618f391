//! The backoff that an upstream requests with `Retry-After` when it rejects requests.

use crate::Millis;

/// The backoff to use if `Retry-After` cannot be parsed, in milliseconds: a third of what overloaded upstreams
/// usually request.
pub const UNREADABLE_BACKOFF_MS: u64 = 1000;
/// The longest backoff, in milliseconds: one hour. Longer values are an error of the upstream.
const MAX_BACKOFF_MS: u64 = 3_600_000;

/// Parses the value of `Retry-After`, a decimal number of seconds, as milliseconds. `None` for any other
/// value.
pub fn backoff_ms(text: &str) -> Option<u64> {
    let seconds = text.trim().parse::<f64>().ok()?;
    let is_duration = seconds.is_finite() && seconds >= 0.0;
    is_duration.then(|| ((seconds * 1000.0).ceil() as u64).min(MAX_BACKOFF_MS))
}

/// The state of the probe request that is sent to an upstream after a backoff.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Probe<K> {
    /// The upstream has run a request since it last requested a backoff.
    #[default]
    Done,
    /// No request has been sent to the upstream since the backoff was requested.
    Due,
    /// This request has been sent as the probe. Other requests wait for its result.
    InFlight(K),
}

/// The backoff requested by an upstream, and the probe request that follows it. `K` identifies requests.
///
/// After a backoff a single request is sent first. An upstream that rejected all requests has the lowest load,
/// so otherwise all requests would be routed to it at once and be rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff<K> {
    /// The end of the backoff. A request that runs before then was sent before the backoff and does not end
    /// it.
    until: Millis,
    probe: Probe<K>,
}

impl<K> Default for Backoff<K> {
    fn default() -> Self {
        Self { until: Millis(0), probe: Probe::Done }
    }
}

impl<K: Copy + PartialEq> Backoff<K> {
    /// Starts a backoff of `duration_ms` milliseconds. Returns whether none was in effect.
    pub fn begin(&mut self, now: Millis, duration_ms: u64) -> bool {
        if duration_ms == 0 {
            return false;
        }
        let was_inactive = self.left_ms(now) == 0;
        self.until = self.until.max(now.plus(duration_ms));
        self.probe = Probe::Due;
        was_inactive
    }

    /// The remaining backoff in milliseconds.
    pub fn left_ms(&self, now: Millis) -> u64 {
        self.until.since(now).0
    }

    /// Returns whether a request may be sent to the upstream.
    pub fn admit(&self, now: Millis, request: K) -> bool {
        let may_send = match self.probe {
            Probe::Done | Probe::Due => true,
            Probe::InFlight(other) => other == request,
        };
        self.left_ms(now) == 0 && may_send
    }

    /// Records that a request was sent to the upstream.
    pub fn note_sent(&mut self, request: K) {
        if matches!(self.probe, Probe::Due) {
            self.probe = Probe::InFlight(request);
        }
    }

    /// Records that the upstream runs a request.
    pub fn note_run(&mut self, request: K) {
        if self.probe == Probe::InFlight(request) {
            self.probe = Probe::Done;
        }
    }

    /// Records that a request has ended at the upstream. If it was the probe and did not run, the next
    /// request becomes the probe.
    pub fn note_end(&mut self, request: K) {
        if self.probe == Probe::InFlight(request) {
            self.probe = Probe::Due;
        }
    }
}
