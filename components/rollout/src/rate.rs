//! The rate of requests that the runner takes, and the places that it gets by that.
//!
//! Every request to the runner has a place given here, so the sum over all gateways is bounded here.

use fleet::{Bucket, Millis, Rate, RateLimit, RateWord, ToldLimit};

/// The seconds for which places are saved up.
const SAVED_S: f64 = 0.5;
/// The most places that are saved up.
const MOST_SAVED: f64 = 3.0;

/// The rate of places at the runner, where it names one.
#[derive(Clone, Debug, Default)]
pub struct RateGate {
    limit: RateLimit,
    /// Whether the runner's reports have named this limit, so that one without tells of its end.
    is_reported: bool,
    bucket: Bucket,
}

impl RateGate {
    /// Takes in what a report says that was asked for at `asked_at`. Gives whether it changes the limit.
    pub(crate) fn take_report(&mut self, now: Millis, asked_at: Millis, word: RateWord) -> bool {
        self.is_reported |= word != RateWord::Unlimited;
        if !self.is_reported {
            return false;
        }
        let before = self.limit.rate();
        let is_news = self.limit.hear(now, asked_at, word);
        self.is_reported = self.limit.rate().is_some();
        self.set_rate(now, before);
        is_news
    }

    /// Takes in what a gateway heard from the life of the runner that began at `born`. Gives whether it changes the limit.
    pub(crate) fn learn(&mut self, now: Millis, born: Option<u64>, told: ToldLimit) -> bool {
        let before = self.limit.rate();
        let is_news = self.limit.learn(now, born, told);
        self.is_reported &= !is_news;
        self.set_rate(now, before);
        is_news
    }

    /// What gateways are told. `None` where the runner named no limit lately.
    pub(crate) fn told(&self, now: Millis, born: Option<u64>) -> Option<ToldLimit> {
        self.limit.told(now, born)
    }

    /// The limit, where there is one.
    pub fn rate(&self) -> Option<Rate> {
        self.limit.rate()
    }

    /// Whether there is a place as far as the rate goes.
    pub(crate) fn has_place(&self, now: Millis) -> bool {
        self.limit.rate().is_none() || self.bucket.has_one(now)
    }

    /// Takes that place.
    pub(crate) fn take_place(&mut self, now: Millis) {
        if self.limit.rate().is_some() {
            self.bucket.take(now);
        }
    }

    /// In how many milliseconds there is a place for one with so many ahead, as far as the rate goes. `None` where there
    /// will be none.
    pub fn place_in_ms(&self, now: Millis, ahead: usize) -> Option<u64> {
        if self.limit.rate().is_none() {
            return Some(0);
        }
        let first = self.bucket.ready_in_ms(now)?;
        Some(first + self.bucket.refill_ms(ahead)?)
    }

    fn set_rate(&mut self, now: Millis, before: Option<Rate>) {
        let Some(rate) = self.limit.rate() else {
            return;
        };
        if before.is_none() {
            // What was saved up before it had a limit does not count.
            self.bucket.empty(now);
        }
        let per_s = if self.is_reported { rate.per_s() } else { rate.asked_per_s() };
        self.bucket.set(now, per_s, (per_s * SAVED_S).clamp(1.0, MOST_SAVED));
    }
}
