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
    produced_at: Option<Instant>,
    /// The store's clock in that answer, in milliseconds, if it was sent.
    clock_ms: Option<u64>,
}

/// Timing of an answer of the store.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTiming {
    /// When the call was sent.
    pub sent_at: Instant,
    /// When the answer arrived.
    pub arrived_at: Instant,
    /// How long the store was to wait for changes, if it returned none.
    pub waited: Option<Duration>,
    /// The store's clock in the answer, in milliseconds, if it was sent.
    pub clock_ms: Option<u64>,
    /// For an answer of a reader, which passes on what it has read: how long it held the call, and how long
    /// before its answer its content was complete.
    pub by_reader: Option<(Duration, Duration)>,
}

impl Freshness {
    /// Records an answer and returns the time up to which the table is completely known.
    pub fn record(&mut self, answer: &AnswerTiming) -> Instant {
        if let Some((held, known)) = answer.by_reader {
            // The clock value in it belongs to an earlier answer of the store.
            *self = Self::default();
            return (answer.sent_at + held).min(answer.arrived_at) - known;
        }
        let produced_at = match answer.waited {
            // The store reports that there are no changes only after it has waited.
            Some(waited) if answer.sent_at + waited <= answer.arrived_at => answer.sent_at + waited,
            _ => self
                .produced_at_by_clock(answer)
                .map_or(answer.sent_at, |at| at.max(answer.sent_at)),
        };
        let produced_at = produced_at.min(answer.arrived_at);
        *self = Self { produced_at: Some(produced_at), clock_ms: answer.clock_ms };
        produced_at
    }

    /// When an answer was produced, by the advance of the store's clock since the previous answer.
    fn produced_at_by_clock(&self, answer: &AnswerTiming) -> Option<Instant> {
        let passed_ms = answer.clock_ms?.checked_sub(self.clock_ms?)?;
        Some(self.produced_at? + Duration::from_millis(passed_ms))
    }
}

#[cfg(test)]
mod tests;
