//! Bounds on when rows of the platform's store were written, from the store's own history.
//!
//! Answers of the store contain its newest revision and its clock. A row with a higher revision was written
//! after that time, however long the answer took. The duration of a call itself says nothing: a store that
//! processes a call late, a connection that is opened slowly and a process without processor time look like a
//! store that waited for a change.

use std::collections::VecDeque;
use std::time::Duration;

use fleet::{AnnouncedVersion, StorePosition};
use uptime::Instant;

/// How long readings are kept: longer than any version is relevant.
const MAX_READING_AGE: Duration = Duration::from_secs(30);
/// How far a reported clock may be ahead of the store's, in milliseconds: receivers use the highest reported
/// value, and by one that is ahead they stop using older versions too early.
const MAX_REPORTED_LEAD_MS: u64 = 50;
/// How far a reported clock may be behind the store's, in milliseconds: less than the time before a deadline
/// at which runners are ordered to give up older versions at the latest.
const MAX_REPORTED_LAG_MS: u64 = 100;
/// The most readings that are kept. If some in between are removed, a row is considered older than it is.
const MAX_READINGS: usize = 256;

/// The store's revision and clock in one answer.
#[derive(Clone, Copy, Debug)]
struct Reading {
    /// The newest revision.
    newest: StorePosition,
    /// The store's clock, in milliseconds.
    clock_ms: u64,
    /// The answer was not produced before this time.
    produced_at: Instant,
    /// When the answer arrived.
    arrived_at: Instant,
}

/// A time at which a row was not yet written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrittenAfter {
    /// The store's clock, in milliseconds.
    pub clock_ms: u64,
    /// The earliest corresponding time of this process's clock.
    pub at: Instant,
}

/// Readings of the store's revision and clock.
#[derive(Debug, Default)]
pub struct StoreTime {
    /// Ordered by the store's clock, oldest first.
    readings: VecDeque<Reading>,
    reported: ReportedClock,
}

impl StoreTime {
    /// Records the newest revision and the clock in an answer of the store that was not produced before
    /// `produced_at`.
    pub fn record(&mut self, newest: StorePosition, clock_ms: u64, produced_at: Instant) {
        let now = Instant::now();
        self.readings.retain(|it| now.saturating_duration_since(it.produced_at) < MAX_READING_AGE);
        let earlier = self.readings.iter().rposition(|it| it.clock_ms <= clock_ms);
        let index = earlier.map_or(0, |it| it + 1);
        self.readings.insert(index, Reading { newest, clock_ms, produced_at, arrived_at: now });
        if self.readings.len() > MAX_READINGS {
            self.readings.pop_front();
        }
    }

    /// The last known time at which the row at a position of the history was not yet written. `None` if no
    /// earlier reading of the same era is known.
    pub fn written_after(&self, row: StorePosition) -> Option<WrittenAfter> {
        let is_before =
            |it: &&Reading| it.newest.era == row.era && it.newest.revision < row.revision;
        let reading = self.readings.iter().rev().find(is_before)?;
        Some(WrittenAfter { clock_ms: reading.clock_ms, at: reading.produced_at })
    }

    /// Records the clock value in another process's report, received at `now`. Reports are delayed in transit,
    /// so the one that implies the highest clock value counts.
    pub fn record_report(&mut self, now: Instant, clock_ms: u64) {
        self.reported.record(now, clock_ms);
    }

    /// The store's clock at a time, in milliseconds: the upper bound by its answers, or the clock that other
    /// processes reported if the answers do not bound it closely. `None` if nothing was received lately.
    fn clock_ms(&self, now: Instant) -> Option<u64> {
        let reported_ms = self.reported.clock_ms(now);
        let Some((lower, upper)) = self.bounds_ms(now) else {
            return reported_ms;
        };
        let estimate_ms = reported_ms.filter(|_| !is_close(lower, upper));
        Some(estimate_ms.map_or(upper, |it| it.max(lower).min(upper)))
    }

    /// The clock value to report to other processes, in milliseconds. `None` while the answers of the store
    /// do not bound it closely enough.
    pub fn clock_ms_to_report(&self, now: Instant) -> Option<u64> {
        let Some((lower, upper)) = self.bounds_ms(now) else {
            return self.reported.clock_ms(now);
        };
        is_close(lower, upper).then_some(upper.min(lower + MAX_REPORTED_LEAD_MS))
    }

    /// The lower and the upper bound of the store's clock by its answers, in milliseconds.
    fn bounds_ms(&self, now: Instant) -> Option<(u64, u64)> {
        let lower_bound = |it: &Reading| it.clock_ms + elapsed_ms(now, it.arrived_at);
        let upper_bound = |it: &Reading| it.clock_ms + elapsed_ms(now, it.produced_at) + 1;
        let lower_ms = self.readings.iter().map(lower_bound).max();
        lower_ms.zip(self.readings.iter().map(upper_bound).min())
    }

    /// Sets the ages that reported versions have at `now` by the store's clock, since the reports were delayed
    /// in transit.
    pub fn set_ages<'a>(
        &self,
        now: Instant,
        announced: impl IntoIterator<Item = &'a mut AnnouncedVersion>,
    ) {
        let Some(clock_ms) = self.clock_ms(now) else {
            return;
        };
        for version in announced {
            let age_ms = version.after_ms.map(|it| clock_ms.saturating_sub(it));
            version.age_ms = age_ms.or(version.age_ms);
        }
    }
}

/// Whether bounds of the store's clock, in milliseconds, determine it well enough to tell others.
fn is_close(lower_ms: u64, upper_ms: u64) -> bool {
    upper_ms.saturating_sub(lower_ms) <= MAX_REPORTED_LEAD_MS + MAX_REPORTED_LAG_MS
}

fn elapsed_ms(now: Instant, earlier: Instant) -> u64 {
    now.saturating_duration_since(earlier).as_millis() as u64
}

/// The store's clock as reported by other processes: of the reports within a time span, the one with the
/// shortest delay.
#[derive(Debug, Default)]
struct ReportedClock {
    /// The best reports of the current span of `MAX_READING_AGE` and of the previous one.
    best: Option<ClockReport>,
    previous_best: Option<ClockReport>,
    /// When the current span started.
    since: Option<Instant>,
}

/// A reported value of the store's clock, in milliseconds, and when it was received.
#[derive(Clone, Copy, Debug)]
struct ClockReport {
    clock_ms: u64,
    received_at: Instant,
}

impl ClockReport {
    fn clock_ms(&self, now: Instant) -> u64 {
        self.clock_ms + elapsed_ms(now, self.received_at)
    }
}

impl ReportedClock {
    fn record(&mut self, now: Instant, clock_ms: u64) {
        if self.since.is_none_or(|it| now.saturating_duration_since(it) >= MAX_READING_AGE) {
            self.previous_best = self.best.take();
            self.since = Some(now);
        }
        if self.best.is_none_or(|it| it.clock_ms(now) < clock_ms) {
            self.best = Some(ClockReport { clock_ms, received_at: now });
        }
    }

    fn clock_ms(&self, now: Instant) -> Option<u64> {
        self.best.iter().chain(&self.previous_best).map(|it| it.clock_ms(now)).max()
    }
}

#[cfg(test)]
mod tests;
