//! Decides when a sidecar requests the list of other sidecars from gateways, and when it reads the store
//! instead.
//!
//! Gateways follow the store's list of runners anyway. Each call puts load on the store, and the list crosses
//! the links between regions, so a sidecar reads the store only when no gateway has answered for a while.

use fleet::Millis;

/// Interval at which a sidecar without a known gateway checks for one, in milliseconds.
const GATEWAY_CHECK_INTERVAL_MS: u64 = 40;
/// How long no gateway may have answered before the store is read, in milliseconds. Gateways request reports
/// every second, so four rounds were missed by then.
pub const GATEWAY_TIMEOUT_MS: u64 = 4000;
/// Pause between the first two requests, and after one that returned no list, in milliseconds. It doubles
/// with each list, so that a starting fleet is known soon.
const FIRST_INTERVAL_MS: u64 = 400;
/// Maximum pause between two requests, in milliseconds. The list is also requested when a version is
/// announced.
const MAX_INTERVAL_MS: u64 = 20_000;

/// The result of a request for the other sidecars.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryAnswer {
    /// A gateway returned a list.
    List,
    /// Gateways answered, but they do not receive data from the store, and this sidecar has an
    /// older list. The two lists may differ, and it is unknown which one is newer.
    Stale,
    /// Gateways answered, but they do not have the list yet.
    Pending,
    /// No gateway answered.
    Silent,
    /// No gateway is known.
    NoGateway,
}

/// The next step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectoryStep {
    /// Whether to read the store's list now.
    pub read_store: bool,
    /// Time until the next request, in milliseconds.
    pub pause_ms: u64,
}

/// The schedule of a sidecar's requests.
#[derive(Clone, Copy, Debug)]
pub struct Directory {
    interval_ms: u64,
    /// When a gateway last answered or the store was last read.
    answered_at: Millis,
}

impl Directory {
    /// Creates the schedule of a sidecar that starts now.
    pub fn new(now: Millis) -> Self {
        Self { interval_ms: FIRST_INTERVAL_MS, answered_at: now }
    }

    /// Applies the result of a request and returns the next step.
    pub fn take_answer(&mut self, now: Millis, answer: DirectoryAnswer) -> DirectoryStep {
        let pause_ms = match answer {
            DirectoryAnswer::List => self.next_interval_ms(),
            DirectoryAnswer::Stale | DirectoryAnswer::Pending | DirectoryAnswer::Silent => {
                FIRST_INTERVAL_MS
            }
            DirectoryAnswer::NoGateway => GATEWAY_CHECK_INTERVAL_MS,
        };
        if matches!(answer, DirectoryAnswer::List | DirectoryAnswer::Stale) {
            self.answered_at = now;
        }
        let read_store = now.since(self.answered_at).0 >= GATEWAY_TIMEOUT_MS;
        if read_store {
            self.answered_at = now;
        }
        DirectoryStep { read_store, pause_ms }
    }

    fn next_interval_ms(&mut self) -> u64 {
        let interval_ms = self.interval_ms;
        self.interval_ms = (interval_ms * 2).min(MAX_INTERVAL_MS);
        interval_ms
    }
}
