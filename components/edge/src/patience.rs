//! How long a process waits for the platform's store.
//!
//! After an outage the store may never answer calls that it has accepted, and a connection may stop working
//! without a reset while new ones work. Only a time-out of our own detects that: until a lost call is given
//! up, its process hears of no change and cannot tell this from a table that does not change. The platform
//! allows a contact time after an outage, after which everything that the store acknowledged is binding. So
//! whatever a process waits for, and whenever that began, it must have given up, paused and asked again
//! within the contact time.

use std::ops::Range;
use std::time::Duration;

/// How much longer than asked for the answer to a feed may take to begin: longer than a new connection
/// takes, or a slow store.
const SLACK: Duration = Duration::from_millis(800);
/// How long a feed waits while the store does not answer: it only asks whether the store is back.
const PROBE_WAIT: Duration = Duration::from_millis(50);
/// The longest wait of a feed. A longer one would save few calls.
const LONGEST_WAIT: Duration = Duration::from_millis(5000);
/// The shortest one, where the contact time leaves less.
const SHORTEST_WAIT: Duration = Duration::from_millis(250);
/// The pause after the first call that failed, in milliseconds: little more than enough to keep processes
/// apart that lost the store together.
const FIRST_PAUSE: Range<u64> = 0..100;
/// The pause after the second one; it doubles with each. Refused calls load the store too.
const LATER_PAUSE: Range<u64> = 300..700;
/// The longest pause, where the contact time leaves that much.
const LONGEST_PAUSE: Duration = Duration::from_millis(1200);
/// The longest pause where it leaves less: the store is not pressed even then.
const SHORTEST_LONGEST_PAUSE: Duration = Duration::from_millis(300);
/// What the answer that a history is gone may take. It is followed by a listing at once.
const HISTORY_GONE: Duration = Duration::from_millis(150);
/// What is kept free for a new connection, the call behind it and a processor that is busy.
const MARGIN: Duration = Duration::from_millis(200);

/// The time-outs and pauses of calls to the store, by the contact time.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    contact: Duration,
}

impl Patience {
    /// How long the answer to a listing may take to begin. Processes that start together share the links to
    /// the store.
    pub const LIST_BEGIN: Duration = Duration::from_millis(1500);

    /// For a platform that allows processes this contact time after an outage.
    pub fn new(contact: Duration) -> Self {
        Self { contact }
    }

    /// How long a feed waits for a change.
    pub fn feed_wait(&self, connected: bool) -> Duration {
        if !connected {
            return PROBE_WAIT;
        }
        let kept = SLACK + Duration::from_millis(FIRST_PAUSE.end) + HISTORY_GONE + MARGIN;
        self.contact.saturating_sub(kept).clamp(SHORTEST_WAIT, LONGEST_WAIT)
    }

    /// The longest time between two answers to feeds while the store works, where feeds are `spacing` apart. A
    /// process that has waited longer for an answer may have missed a change.
    pub fn longest_gap(&self, spacing: Duration) -> Duration {
        self.feed_wait(true) + spacing + MARGIN
    }

    /// How long the answer to a feed that waits so long may take to begin.
    pub fn feed_begin(&self, wait: Duration) -> Duration {
        wait + SLACK
    }

    /// The range of the pause after so many calls in a row that failed.
    pub fn pause(&self, failures: u32) -> Range<Duration> {
        let millis = Duration::from_millis;
        if failures <= 1 {
            return millis(FIRST_PAUSE.start)..millis(FIRST_PAUSE.end);
        }
        let doubled = 1 << (failures - 2).min(u32::BITS - 1);
        let longest = self.longest_pause();
        let pause = |first: u64| millis(first).saturating_mul(doubled);
        let least = pause(LATER_PAUSE.start).min(longest / 2);
        least..pause(LATER_PAUSE.end).min(longest)
    }

    /// The range of the pause before a table is listed whose history is gone, after so many calls in a row that
    /// failed. The store answers, so nothing is waited for: processes that heard of it together are kept apart, and
    /// those that had lost the store are so already.
    pub fn pause_before_listing(&self, failures: u32) -> Range<Duration> {
        if failures == 0 {
            return self.pause(1);
        }
        Duration::ZERO..Duration::from_millis(1)
    }

    /// The longest pause. A call that failed before it may have been a listing.
    fn longest_pause(&self) -> Duration {
        let left = self.contact.saturating_sub(Self::LIST_BEGIN + MARGIN);
        left.clamp(SHORTEST_LONGEST_PAUSE, LONGEST_PAUSE)
    }
}
