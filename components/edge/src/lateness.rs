//! Whether what the store tells may have happened long ago.
//!
//! After the store was silent its feed gives what happened meanwhile in several answers, and only the first one of
//! them comes behind a silence. All of them are old news until an answer shows that nothing older is left.

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

    /// Takes in a listing. `was_silent` tells whether the store had not answered for longer than usual.
    pub fn take_listing(&mut self, was_silent: bool) {
        self.behind |= was_silent;
    }

    /// Takes in the answer to a feed, and tells whether what it holds is old. Only an empty one shows that nothing older is
    /// left: one that came late may have been made late.
    pub fn take_feed(&mut self, was_silent: bool, is_empty: bool) -> bool {
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
