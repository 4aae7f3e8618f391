//! Timeouts of calls to the platform's store.
//!
//! After an outage the store may never answer calls that it has accepted, and a connection may stop working
//! without a reset while new ones work. Only a timeout of the caller detects that: until a lost call times
//! out, its process receives no change and cannot distinguish this from a table that does not change. The
//! platform allows a contact time after an outage, after which everything that the store acknowledged is
//! binding. So every call, whenever it started, must have timed out, paused and been repeated within the
//! contact time.

use std::ops::Range;
use std::time::Duration;

/// How much longer than the requested wait the answer to a feed call may take to start: longer than a new
/// connection takes, or a slow store.
const ANSWER_SLACK: Duration = Duration::from_millis(800);
/// How long a feed call waits while the store does not answer: it only checks whether the store is back.
const PROBE_WAIT: Duration = Duration::from_millis(50);
/// The longest wait of a feed call. A longer one would save few calls.
const MAX_WAIT: Duration = Duration::from_millis(5000);
/// The shortest wait, if the contact time leaves less.
const MIN_WAIT: Duration = Duration::from_millis(250);
/// The pause after the first failed call, in milliseconds: just enough to spread the calls of processes that
/// lost the store together.
const FIRST_PAUSE_MS: Range<u64> = 0..100;
/// The pause after the second failed call, in milliseconds; it doubles with each further one. Rejected calls
/// load the store too.
const LATER_PAUSE_MS: Range<u64> = 300..700;
/// The longest pause, if the contact time leaves that much.
const MAX_PAUSE: Duration = Duration::from_millis(1200);
/// The lower limit of the longest pause if the contact time leaves less, so that the store is not overloaded
/// even then.
const MIN_MAX_PAUSE: Duration = Duration::from_millis(300);
/// The time allowed for the answer that the history is gone. It is followed by a listing at once.
const HISTORY_GONE_TIME: Duration = Duration::from_millis(150);
/// The time reserved for a new connection, the call on it and a busy processor.
const RESERVED_TIME: Duration = Duration::from_millis(200);

/// The timeouts and pauses of calls to the store, derived from the contact time.
#[derive(Clone, Copy, Debug)]
pub struct StoreTimeouts {
    contact: Duration,
}

impl StoreTimeouts {
    /// How long the answer to a listing may take to start. Processes that start together share the links to
    /// the store.
    pub const LIST_START_TIMEOUT: Duration = Duration::from_millis(1500);

    /// Creates the timeouts for the contact time that the platform allows after an outage.
    pub fn new(contact: Duration) -> Self {
        Self { contact }
    }

    /// How long a feed call waits for a change.
    pub fn feed_wait(&self, connected: bool) -> Duration {
        if !connected {
            return PROBE_WAIT;
        }
        let reserved = ANSWER_SLACK
            + Duration::from_millis(FIRST_PAUSE_MS.end)
            + HISTORY_GONE_TIME
            + RESERVED_TIME;
        self.contact.saturating_sub(reserved).clamp(MIN_WAIT, MAX_WAIT)
    }

    /// The longest time between two answers to feed calls while the store works, if feed calls are `spacing`
    /// apart. A process that has waited longer for an answer may have missed a change.
    pub fn max_answer_gap(&self, spacing: Duration) -> Duration {
        self.feed_wait(true) + spacing + RESERVED_TIME
    }

    /// How long the answer to a feed call with this wait may take to start.
    pub fn feed_start_timeout(&self, wait: Duration) -> Duration {
        wait + ANSWER_SLACK
    }

    /// The range of the pause after this many failed calls in a row.
    pub fn pause(&self, failures: u32) -> Range<Duration> {
        let millis = Duration::from_millis;
        if failures <= 1 {
            return millis(FIRST_PAUSE_MS.start)..millis(FIRST_PAUSE_MS.end);
        }
        let doubled = 1 << (failures - 2).min(u32::BITS - 1);
        let max_pause = self.max_pause();
        let pause = |first: u64| millis(first).saturating_mul(doubled);
        let least = pause(LATER_PAUSE_MS.start).min(max_pause / 2);
        least..pause(LATER_PAUSE_MS.end).min(max_pause)
    }

    /// The range of the pause before a table is listed whose history is gone, after this many failed calls in
    /// a row. The store answers, so there is no need to wait for it: the pause only spreads processes that
    /// detected it together, and processes that had lost the store are already spread.
    pub fn pause_before_listing(&self, failures: u32) -> Range<Duration> {
        if failures == 0 {
            return self.pause(1);
        }
        Duration::ZERO..Duration::from_millis(1)
    }

    /// The longest pause. The failed call before it may have been a listing.
    fn max_pause(&self) -> Duration {
        let left = self.contact.saturating_sub(Self::LIST_START_TIMEOUT + RESERVED_TIME);
        left.clamp(MIN_MAX_PAUSE, MAX_PAUSE)
    }
}
