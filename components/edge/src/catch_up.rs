//! Whether the changes that the store sends may have happened long ago.
//!
//! After a time without answers the store's feed returns the missed changes in several answers, and only the
//! first of these follows the gap. All of them are old until an answer shows that nothing older is left.

/// Whether a feed is still catching up.
#[derive(Debug)]
pub struct CatchUp {
    /// Whether changes from before a gap may still arrive.
    is_behind: bool,
}

impl Default for CatchUp {
    fn default() -> Self {
        // A process that starts does not know what happened before.
        Self { is_behind: true }
    }
}

impl CatchUp {
    /// Marks the following changes as possibly old: the store was restored from an older copy.
    pub fn record_gap(&mut self) {
        self.is_behind = true;
    }

    /// Records a listing. `was_silent` says whether the store had not answered for longer than usual.
    pub fn record_listing(&mut self, was_silent: bool) {
        self.is_behind |= was_silent;
    }

    /// Records the answer to a feed call and returns whether its changes are old. Only an empty answer shows
    /// that nothing older is left: one that arrived late may have been produced late.
    pub fn record_feed(&mut self, was_silent: bool, is_empty: bool) -> bool {
        self.is_behind |= was_silent;
        let is_old = self.is_behind;
        if is_empty {
            self.is_behind = false;
        }
        is_old
    }
}

#[cfg(test)]
mod tests;
