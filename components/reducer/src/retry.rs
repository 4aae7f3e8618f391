//! Limits retries to a share of first attempts, so that retries do not amplify an overload.

/// Most retries that can accumulate.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// A budget that grows with first attempts and shrinks with retries.
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

impl RetryBudget {
    /// Creates a budget that allows retries for a share of first attempts, from 0 to 1.
    pub fn new(share: f64) -> Self {
        Self { share, saved: MAX_SAVED_RETRIES }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget. Returns whether there was one.
    pub fn take_retry(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}

#[cfg(test)]
mod tests;
