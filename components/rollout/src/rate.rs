//! The rate limit of the runner, and the slots that it allows.
//!
//! Every request to the runner needs a slot granted here, so the total over all gateways is limited here.

use fleet::{AdvertisedLimit, Bucket, Millis, Rate, RateLimit, ReportedLimit};

/// Maximum amount of saved tokens, as the seconds in which they accumulate.
const SAVED_TOKENS_S: f64 = 0.5;
/// Maximum number of saved tokens.
const MAX_SAVED_TOKENS: f64 = 3.0;

/// Limits the rate of slots if the runner advertises a rate limit.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    limit: RateLimit,
    /// Whether the runner's reports have contained this limit, so that a report without it ends the limit.
    is_reported: bool,
    bucket: Bucket,
}

impl RateLimiter {
    /// Applies a report that was requested at `requested_at`, and returns whether it changes the limit.
    pub(crate) fn apply_response(
        &mut self,
        now: Millis,
        requested_at: Millis,
        reported: AdvertisedLimit,
    ) -> bool {
        self.is_reported |= reported != AdvertisedLimit::Unlimited;
        if !self.is_reported {
            return false;
        }
        let previous = self.limit.rate();
        let is_changed = self.limit.apply_response(now, requested_at, reported);
        self.is_reported = self.limit.rate().is_some();
        self.set_rate(now, previous);
        is_changed
    }

    /// Applies what a gateway received from the incarnation of the runner that started at `born`, and returns
    /// whether it changes the limit.
    pub(crate) fn apply_report(
        &mut self,
        now: Millis,
        born: Option<u64>,
        report: ReportedLimit,
    ) -> bool {
        let previous = self.limit.rate();
        let is_changed = self.limit.apply_report(now, born, report);
        self.is_reported &= !is_changed;
        self.set_rate(now, previous);
        is_changed
    }

    /// The limit to report to gateways. `None` if the runner has not advertised one recently.
    pub(crate) fn to_report(&self, now: Millis, born: Option<u64>) -> Option<ReportedLimit> {
        self.limit.to_report(now, born)
    }

    /// The limit, if there is one.
    pub fn rate(&self) -> Option<Rate> {
        self.limit.rate()
    }

    /// Returns whether the rate limit allows another slot.
    pub(crate) fn has_slot(&self, now: Millis) -> bool {
        self.limit.rate().is_none() || self.bucket.has_one(now)
    }

    /// Takes the slot.
    pub(crate) fn take_slot(&mut self, now: Millis) {
        if self.limit.rate().is_some() {
            self.bucket.take(now);
        }
    }

    /// Time until the rate limit allows a slot for a request with `ahead` others before it, in milliseconds.
    /// `None` if it never does.
    pub fn slot_in_ms(&self, now: Millis, ahead: usize) -> Option<u64> {
        if self.limit.rate().is_none() {
            return Some(0);
        }
        let first = self.bucket.ready_in_ms(now)?;
        Some(first + self.bucket.refill_ms(ahead)?)
    }

    fn set_rate(&mut self, now: Millis, previous: Option<Rate>) {
        let Some(rate) = self.limit.rate() else {
            return;
        };
        if previous.is_none() {
            // Tokens saved before there was a limit are discarded.
            self.bucket.empty(now);
        }
        let per_s = if self.is_reported { rate.per_s() } else { rate.asked_per_s() };
        self.bucket.set(now, per_s, (per_s * SAVED_TOKENS_S).clamp(1.0, MAX_SAVED_TOKENS));
    }
}
