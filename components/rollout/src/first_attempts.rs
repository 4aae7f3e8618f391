//! Decides whether a caller's repeated attempt yields to the first attempts of other callers.
//!
//! While slots are scarce, each slot that goes to a repeated attempt forces a first attempt to be repeated
//! later. Then both requests are late, although one could have been on time.

use std::collections::BTreeMap;

use fleet::Millis;

/// How long slots count as scarce after a first attempt was rejected, in milliseconds. A runner at capacity
/// completes two or three requests in this time.
const DENIAL_VALID_MS: u64 = 250;
/// How long after the latest rejected first attempt a shortage ends, in milliseconds. Rejected callers retry
/// within this time.
const SHORTAGE_END_MS: u64 = 2000;
/// Number of consecutive slots for first attempts after which a repeated attempt may take one, even while
/// slots are scarce. This serves callers whose deadlines are unusual.
const MAX_CONSECUTIVE_FIRST_ATTEMPTS: u32 = 24;

/// The first attempts that were rejected, and the slots granted.
#[derive(Clone, Debug, Default)]
pub(crate) struct FirstAttempts {
    /// When a first attempt of each rank was last rejected.
    denied: BTreeMap<u8, Millis>,
    /// When a first attempt was last rejected because slots are scarce, and since when they have been scarce.
    shortage_denied_at: Option<Millis>,
    shortage_since: Millis,
    /// Number of slots granted to first attempts since the last repeated attempt that got one, or since the
    /// start of the shortage.
    consecutive_first: u32,
}

impl FirstAttempts {
    /// Records that a first attempt of this rank was rejected because slots are scarce.
    pub(crate) fn note_denied_in_shortage(&mut self, now: Millis, rank: u8) {
        if self.shortage_ms(now) == 0 {
            self.shortage_since = now;
            self.consecutive_first = 0;
        }
        self.shortage_denied_at = Some(now);
        self.note_denied(now, rank);
    }

    /// Records that a first attempt of this rank was rejected, without counting that as a shortage of slots.
    pub(crate) fn note_denied(&mut self, now: Millis, rank: u8) {
        self.denied.insert(rank, now);
    }

    /// Duration of the current shortage of slots, in milliseconds. Zero if there is none.
    pub(crate) fn shortage_ms(&self, now: Millis) -> u64 {
        let is_short = self.shortage_denied_at.is_some_and(|at| now.since(at).0 <= SHORTAGE_END_MS);
        if is_short {
            now.since(self.shortage_since).0
        } else {
            0
        }
    }

    /// Records that a slot was granted.
    pub(crate) fn note_granted(&mut self, is_repeated: bool) {
        self.consecutive_first =
            if is_repeated { 0 } else { self.consecutive_first.saturating_add(1) };
    }

    /// Returns whether first attempts of the same or a more urgent rank take precedence over a repeated
    /// attempt of this rank.
    pub(crate) fn take_precedence(&self, now: Millis, rank: u8) -> bool {
        let mut denied = self.denied.range(..=rank).map(|(_, at)| now.since(*at).0);
        self.consecutive_first < MAX_CONSECUTIVE_FIRST_ATTEMPTS
            && denied.any(|age| age <= DENIAL_VALID_MS)
    }
}
