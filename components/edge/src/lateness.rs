//! Whether the changes that the store sends may have happened long ago.
//!
//! After a time without answers the store's feed returns the missed changes in several answers, and only the
//! first of these follows the gap. All of them are old until an answer shows that nothing older is left.

/// Whether a feed is still catching up.
#[derive(Debug)]
pub struct Lateness {
    /// Whether changes from before a gap may still arrive.
    behind: bool,
}

impl Default for Lateness {
    fn default() -> Self {
        // A process that starts does not know what happened before.
        Self { behind: true }
    }
}

impl Lateness {
    /// Marks the following changes as possibly old: the store was restored from an older copy.
    pub fn note_gap(&mut self) {
        self.behind = true;
    }

    /// Records a listing. `was_silent` says whether the store had not answered for longer than usual.
    pub fn take_listing(&mut self, was_silent: bool) {
        self.behind |= was_silent;
    }

    /// Records the answer to a feed call and returns whether its changes are old. Only an empty answer shows
    /// that nothing older is left: one that arrived late may have been produced late.
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
