//! Whether what the store tells may have happened long ago.
//!
//! After the store was silent its feed gives what happened meanwhile in several answers, and only the first one of
//! them comes behind a silence. All of them are old news until an answer shows that nothing older is left.

use std::time::Duration;

use uptime::Instant;

/// A feed that waited so long had nothing older to tell when it was asked: also a slow store answers
/// sooner.
const NOTHING_OLDER: Duration = Duration::from_millis(600);

/// A store that took longer for an answer than this has waited for the change that it tells of.
const AT_ONCE: Duration = Duration::from_millis(50);

/// How long the store may take for an answer, in milliseconds, while it is slow.
const SLOW_ANSWER_MS: u64 = 400;

/// What is known of the age of the store's news.
#[derive(Debug)]
pub struct Lateness {
    /// Whether news from before a silence may still come.
    behind: bool,
}

impl Default for Lateness {
    fn default() -> Self {
        // A process that starts does not know what happened before.
        Self { behind: true }
    }
}

impl Lateness {
    /// What is told next may have happened at any time: the store came back from an older copy.
    pub fn note_gap(&mut self) {
        self.behind = true;
    }

    /// Takes in a listing, and tells whether what it holds is old. `was_silent` tells whether the store had not
    /// answered for longer than usual.
    pub fn take_listing(&mut self, was_silent: bool) -> bool {
        self.behind |= was_silent;
        self.behind
    }

    /// Takes in the answer to a feed that took `waited`, and tells whether what it holds is old.
    pub fn take_feed(&mut self, was_silent: bool, waited: Duration, is_empty: bool) -> bool {
        if waited >= NOTHING_OLDER {
            self.behind = false;
        }
        self.behind |= was_silent;
        let is_old = self.behind;
        if is_empty {
            self.behind = false;
        }
        is_old
    }
}

/// The store's clock at a moment when a change that a feed told of had not happened yet, in milliseconds: the
/// answer before it did not hold the change. Where the feed `waited`, the change came while it did, and was told
/// at once. `before_ms` is the store's clock at the answer before, `answer_ms` at this one.
pub fn not_before(before_ms: u64, answer_ms: u64, waited: Duration) -> u64 {
    if waited < NOTHING_OLDER {
        return before_ms;
    }
    before_ms.max(answer_ms.saturating_sub(SLOW_ANSWER_MS))
}

/// The moment since which a change happened that an answer tells of. Everything up to `before` was known already; the
/// question was asked at `asked`, and the answer made at `made`, by the store's clock: its way does not count. Where the
/// store waited for the change, it told of it at once; where it answered at once, the change may have lain there since
/// `before`.
pub fn happened_since(before: Instant, asked: Instant, made: Instant) -> Instant {
    if made.saturating_duration_since(asked) < AT_ONCE {
        before
    } else {
        made
    }
}

#[cfg(test)]
mod tests;
