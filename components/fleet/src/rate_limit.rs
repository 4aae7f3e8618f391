//! The rate of requests that an upstream takes from all processes together, as it says in its answers.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// How long after the end of a limit, or after somebody was heard who does not know of it, others are told of that, in
/// milliseconds.
const END_TOLD_FOR: u64 = 10_000;
/// The lowest rate at which an upstream is still asked, in requests a second: only answers tell that its limit has ended.
const LEAST_ASKED_PER_S: f64 = 0.2;
/// The thousandths in a whole.
const THOUSAND: f64 = 1000.0;

/// A rate of requests, exact to a thousandth of a request a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate {
    thousandths: u64,
}

impl Rate {
    /// What a limit is taken for that can't be read.
    pub const UNREADABLE: Self = Self { thousandths: 1000 };

    /// Takes requests a second. `None` for what is no rate: a negative number, or none at all.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        let is_rate = per_s.is_finite() && per_s >= 0.0;
        is_rate.then_some(Self { thousandths: (per_s * THOUSAND).round() as u64 })
    }

    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.thousandths as f64 / THOUSAND
    }

    /// Requests a second that are sent where only answers to them tell that the limit has ended.
    pub fn asked_per_s(self) -> f64 {
        self.per_s().max(LEAST_ASKED_PER_S)
    }
}

/// What one answer of an upstream says of its rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateWord {
    /// It names none.
    Unlimited,
    /// It names this one.
    Limited(Rate),
    /// It names one that can't be read.
    Unreadable,
}

impl RateWord {
    /// Reads a limit as requests a second: a decimal number.
    pub fn read(text: &str) -> Self {
        let rate = text.trim().parse().ok().and_then(Rate::from_per_s);
        rate.map_or(Self::Unreadable, Self::Limited)
    }
}

/// What one process tells another of an upstream's rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldLimit {
    /// When the life of the upstream began that it is of, in milliseconds of Unix time, where that is known.
    pub born: Option<u64>,
    /// The limit. `None` where there is none any more.
    pub rate: Option<Rate>,
    /// How long ago that was heard, in milliseconds.
    pub age_ms: u32,
}

/// The rate limit of one life of an upstream, by the newest word on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateLimit {
    rate: Option<Rate>,
    /// When that was so. `None` where no limit was ever named.
    known_at: Option<Millis>,
    /// When somebody last told of a limit that has passed.
    contradicted_at: Option<Millis>,
}

impl RateLimit {
    /// Takes in what an answer says to a request that was sent at `sent_at`. Gives whether it changes the limit.
    ///
    /// Answers may overtake each other, so the limit ends only with an answer to a request that was sent after the
    /// limit was last heard of.
    pub fn hear(&mut self, now: Millis, sent_at: Millis, word: RateWord) -> bool {
        match word {
            RateWord::Limited(rate) => self.set(now, Some(rate)),
            // Somebody who names a limit is in need of one, whatever it reads.
            RateWord::Unreadable => self.set(now, Some(self.rate.unwrap_or(Rate::UNREADABLE))),
            RateWord::Unlimited if self.known_at.is_some_and(|at| sent_at > at) => {
                self.set(sent_at, None)
            }
            RateWord::Unlimited => false,
        }
    }

    /// Takes in what another process tells of the life that began at `born`. Gives whether it changes the limit.
    pub fn learn(&mut self, now: Millis, born: Option<u64>, told: ToldLimit) -> bool {
        let is_other_life = born.zip(told.born).is_some_and(|(known, told)| known != told);
        if is_other_life {
            return false;
        }
        let at = now.minus(u64::from(told.age_ms));
        if told.rate == self.rate {
            // What is known already gets no younger by being told to and fro.
            self.known_at = self.known_at.or(Some(at));
            return false;
        }
        if self.known_at.is_some_and(|known| known >= at) {
            self.contradicted_at = Some(now);
            return false;
        }
        self.set(at, told.rate)
    }

    /// What others are told of it. `None` where they need not be.
    pub fn told(&self, now: Millis, born: Option<u64>) -> Option<ToldLimit> {
        let age = now.since(self.known_at?).0;
        let is_contradicted =
            self.contradicted_at.is_some_and(|at| now.since(at).0 <= END_TOLD_FOR);
        let is_wanted = self.rate.is_some() || age <= END_TOLD_FOR || is_contradicted;
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        is_wanted.then_some(ToldLimit { born, rate: self.rate, age_ms })
    }

    /// The limit, where there is one.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    fn set(&mut self, at: Millis, rate: Option<Rate>) -> bool {
        self.known_at = Some(at);
        std::mem::replace(&mut self.rate, rate) != rate
    }
}
