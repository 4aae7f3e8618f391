//! The request rate limit of an upstream for all processes together, as advertised in its responses.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// How long the end of a limit is reported to other processes, in milliseconds: after the end, or after a
/// report from a process that still has the limit.
const END_REPORT_MS: u64 = 10_000;
/// The minimum rate of requests sent to an upstream, in requests per second. Only responses show that a limit
/// has ended.
const MIN_PROBE_PER_S: f64 = 0.2;
/// Number of thousandths in 1.
const THOUSANDTHS_PER_UNIT: f64 = 1000.0;

/// A request rate with a resolution of 0.001 requests per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate {
    thousandths: u64,
}

impl Rate {
    /// The rate assumed for a limit that cannot be parsed.
    pub const UNREADABLE: Self = Self { thousandths: 1000 };

    /// Converts requests per second. `None` if the number is negative or not finite.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        let is_valid = per_s.is_finite() && per_s >= 0.0;
        is_valid.then_some(Self { thousandths: (per_s * THOUSANDTHS_PER_UNIT).round() as u64 })
    }

    /// The rate in requests per second.
    pub fn per_s(self) -> f64 {
        self.thousandths as f64 / THOUSANDTHS_PER_UNIT
    }

    /// The rate to send at, in requests per second, if only responses show the end of the limit.
    pub fn asked_per_s(self) -> f64 {
        self.per_s().max(MIN_PROBE_PER_S)
    }
}

/// What a response of an upstream says about its rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdvertisedLimit {
    /// The response contains no limit.
    Unlimited,
    /// The response contains this limit.
    Limited(Rate),
    /// The response contains a limit that cannot be parsed.
    Unreadable,
}

impl AdvertisedLimit {
    /// Parses a limit: a decimal number of requests per second.
    pub fn read(text: &str) -> Self {
        let rate = text.trim().parse().ok().and_then(Rate::from_per_s);
        rate.map_or(Self::Unreadable, Self::Limited)
    }
}

/// A report on an upstream's rate limit from one process to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLimit {
    /// Start time of the upstream's incarnation that the limit belongs to, in milliseconds of Unix time, if
    /// known.
    pub born: Option<u64>,
    /// The limit. `None` if it has ended.
    pub rate: Option<Rate>,
    /// Time since this was received, in milliseconds.
    pub age_ms: u32,
}

/// The rate limit of one incarnation of an upstream, by the newest report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateLimit {
    rate: Option<Rate>,
    /// The time that `rate` refers to. `None` if the upstream never had a limit.
    known_at: Option<Millis>,
    /// The time of the latest report by another process of a limit that has ended.
    contradicted_at: Option<Millis>,
}

impl RateLimit {
    /// Applies a response to a request sent at `sent_at`, and returns whether it changes the limit.
    ///
    /// Responses may arrive out of order, so only a response to a request that was sent after the limit was
    /// last seen ends the limit.
    pub fn apply_response(
        &mut self,
        now: Millis,
        sent_at: Millis,
        reported: AdvertisedLimit,
    ) -> bool {
        match reported {
            AdvertisedLimit::Limited(rate) => self.set(now, Some(rate)),
            // An upstream that sends a limit needs one, even if the value cannot be parsed.
            AdvertisedLimit::Unreadable => {
                self.set(now, Some(self.rate.unwrap_or(Rate::UNREADABLE)))
            }
            AdvertisedLimit::Unlimited if self.known_at.is_some_and(|at| sent_at > at) => {
                self.set(sent_at, None)
            }
            AdvertisedLimit::Unlimited => false,
        }
    }

    /// Applies a report from another process about the incarnation that started at `born`, and returns whether
    /// it changes the limit.
    pub fn apply_report(&mut self, now: Millis, born: Option<u64>, report: ReportedLimit) -> bool {
        let is_other_incarnation =
            born.zip(report.born).is_some_and(|(known, reported)| known != reported);
        if is_other_incarnation {
            return false;
        }
        let at = now.minus(u64::from(report.age_ms));
        if report.rate == self.rate {
            // The age of a known limit must not decrease when processes report it back and forth.
            self.known_at = self.known_at.or(Some(at));
            return false;
        }
        if self.known_at.is_some_and(|known| known >= at) {
            self.contradicted_at = Some(now);
            return false;
        }
        self.set(at, report.rate)
    }

    /// The report to send to other processes. `None` if they need none.
    pub fn to_report(&self, now: Millis, born: Option<u64>) -> Option<ReportedLimit> {
        let age = now.since(self.known_at?).0;
        let is_contradicted =
            self.contradicted_at.is_some_and(|at| now.since(at).0 <= END_REPORT_MS);
        let is_reportable = self.rate.is_some() || age <= END_REPORT_MS || is_contradicted;
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        is_reportable.then_some(ReportedLimit { born, rate: self.rate, age_ms })
    }

    /// The limit, if there is one.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    fn set(&mut self, at: Millis, rate: Option<Rate>) -> bool {
        self.known_at = Some(at);
        std::mem::replace(&mut self.rate, rate) != rate
    }
}
