//! Whether what the store tells may have happened long ago.
//!
//! After the store was silent its feed gives what happened meanwhile in several answers, and only the first one of
//! them comes behind a silence. All of them are old news until an answer shows that nothing older is left.

use std::time::Duration;

/// A feed that waited so long had nothing older to tell when it was asked. A store that is ninety times slower
/// than usual answers within 400 ms.
const NOTHING_OLDER: Duration = Duration::from_millis(600);

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

#[cfg(test)]
mod tests;
