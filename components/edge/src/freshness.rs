//! Up to which time the content of a table of the platform's store is known.
//!
//! An answer may arrive long after it was produced because of a slow store, a full link or a busy processor.
//! It says nothing about the time in between, so its content is only known to be current at the time at which
//! it was produced.

use std::time::Duration;

use uptime::Instant;

/// Bounds on the time at which the last answer was produced.
#[derive(Debug, Default)]
pub struct Freshness {
    /// The answer was not produced before this time.
    made: Option<Instant>,
    /// The store's clock in that answer, in milliseconds, if it was sent.
    clock_ms: Option<u64>,
}

/// Timing of an answer of the store.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When the call was sent.
    pub asked: Instant,
    /// When the answer arrived.
    pub arrived: Instant,
    /// How long the store was to wait for changes, if it returned none.
    pub waited: Option<Duration>,
    /// The store's clock in the answer, in milliseconds, if it was sent.
    pub clock_ms: Option<u64>,
    /// For an answer of a reader, which passes on what it has read: how long it held the call, and how long
    /// before its answer its content was complete.
    pub told: Option<(Duration, Duration)>,
}

impl Freshness {
    /// Records an answer and returns the time up to which the table is completely known.
    pub fn take(&mut self, answer: &Arrival) -> Instant {
        if let Some((held, known)) = answer.told {
            // The clock value in it belongs to an earlier answer of the store.
            *self = Self::default();
            return (answer.asked + held).min(answer.arrived) - known;
        }
        let made = match answer.waited {
            // The store reports that there are no changes only after it has waited.
            Some(waited) if answer.asked + waited <= answer.arrived => answer.asked + waited,
            _ => self.made_by_clock(answer).map_or(answer.asked, |at| at.max(answer.asked)),
        };
        let made = made.min(answer.arrived);
        *self = Self { made: Some(made), clock_ms: answer.clock_ms };
        made
    }

    /// When an answer was produced, by the advance of the store's clock since the previous answer.
    fn made_by_clock(&self, answer: &Arrival) -> Option<Instant> {
        let passed_ms = answer.clock_ms?.checked_sub(self.clock_ms?)?;
        Some(self.made? + Duration::from_millis(passed_ms))
    }
}

#[cfg(test)]
mod tests;
