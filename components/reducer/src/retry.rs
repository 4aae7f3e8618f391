//! How often a request may be tried again: a share of first tries, so that retries cannot multiply
//! an overload.

/// The most retries that may be saved up.
const MOST_SAVED: f64 = 20.0;

/// A budget that first tries fill and retries use.
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

impl RetryBudget {
    /// Allows a share of first tries, from 0 to 1, to be tried again.
    pub fn new(share: f64) -> Self {
        Self { share, saved: MOST_SAVED }
    }

    /// Counts a first try.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.share).min(MOST_SAVED);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}

#[cfg(test)]
mod tests;
