//! When rows of the platform's store were written, by the store's own history.
//!
//! Answers of the store tell its newest revision and what its clock shows. A row with a higher revision was written after
//! that moment, however long any answer took. How long an answer took tells nothing: a store that looks at a question late,
//! a connection that comes up slowly and a process without processor look like a store that waited for a change.

use std::collections::VecDeque;
use std::time::Duration;

use fleet::{NamedVersion, StorePlace};
use uptime::Instant;

/// How long readings are kept: longer than any version binds.
const KEPT_FOR: Duration = Duration::from_secs(30);
/// How long an answer may have been under way that shows the store's clock closely.
const CLOSE: Duration = Duration::from_millis(50);
/// The most readings that are kept. Those between may go: a row is then taken for older than it is.
const MOST_READINGS: usize = 256;

/// What an answer of the store told.
#[derive(Clone, Copy, Debug)]
struct Reading {
    /// The newest revision.
    newest: StorePlace,
    /// What the store's clock showed, in milliseconds.
    clock_ms: u64,
    /// The answer was not made before this.
    made: Instant,
    /// When it had arrived.
    arrived: Instant,
}

/// A moment at which a row had not been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unwritten {
    /// What the store's clock showed, in milliseconds.
    pub clock_ms: u64,
    /// It was not before this, by the clock of this process.
    pub at: Instant,
}

/// What answers of the store told of its history.
#[derive(Debug, Default)]
pub struct StoreTime {
    /// Oldest first by the store's clock.
    readings: VecDeque<Reading>,
    told: ToldClock,
}

impl StoreTime {
    /// Takes in the store's newest revision and its clock at an answer, which was not made before `made`.
    pub fn note(&mut self, newest: StorePlace, clock_ms: u64, made: Instant) {
        let now = Instant::now();
        self.readings.retain(|it| now.saturating_duration_since(it.made) < KEPT_FOR);
        let behind = self.readings.iter().rposition(|it| it.clock_ms <= clock_ms);
        let index = behind.map_or(0, |it| it + 1);
        self.readings.insert(index, Reading { newest, clock_ms, made, arrived: now });
        if self.readings.len() > MOST_READINGS {
            self.readings.pop_front();
        }
    }

    /// The last known moment at which the row at a place of the history had not been written. `None` where nothing is
    /// known from before, or not of the same era.
    pub fn unwritten(&self, row: StorePlace) -> Option<Unwritten> {
        let is_before =
            |it: &&Reading| it.newest.era == row.era && it.newest.revision < row.revision;
        let reading = self.readings.iter().rev().find(is_before)?;
        Some(Unwritten { clock_ms: reading.clock_ms, at: reading.made })
    }

    /// Takes in what another process says that the clock shows now, in milliseconds. What it says of a moment may be long
    /// on its way, so the word counts that puts the clock ahead furthest.
    pub fn note_told(&mut self, clock_ms: u64) {
        self.told.note(Instant::now(), clock_ms);
    }

    /// What the store's clock shows at a moment, in milliseconds, at most as far as answers tell. `None` where nothing was
    /// heard of it lately.
    pub fn clock_ms(&self, now: Instant) -> Option<u64> {
        let shown = |it: &Reading| it.clock_ms + millis(now, it.made) + 1;
        self.readings.iter().map(shown).min().or_else(|| self.told.clock_ms(now))
    }

    /// What others are told of the clock now, in milliseconds. `None` until an answer has shown it closely: who is told goes by
    /// the word that puts it ahead furthest.
    pub fn told_clock_ms(&self, now: Instant) -> Option<u64> {
        let is_close = |it: &Reading| it.arrived.saturating_duration_since(it.made) <= CLOSE;
        let is_known = self.readings.is_empty() || self.readings.iter().any(is_close);
        self.clock_ms(now).filter(|_| is_known)
    }

    /// Sets the ages of versions that others tell of by the store's clock, for those words were on their way.
    pub fn set_ages<'a>(&self, named: impl IntoIterator<Item = &'a mut NamedVersion>) {
        let Some(clock_ms) = self.clock_ms(Instant::now()) else {
            return;
        };
        for version in named {
            let age_ms = version.after_ms.map(|it| clock_ms.saturating_sub(it));
            version.age_ms = age_ms.or(version.age_ms);
        }
    }
}

fn millis(now: Instant, earlier: Instant) -> u64 {
    now.saturating_duration_since(earlier).as_millis() as u64
}

/// What others say of the store's clock: of the words of a while the one that was on its way for the shortest time.
#[derive(Debug, Default)]
struct ToldClock {
    /// Of the words of this span of `KEPT_FOR`, and of the one before.
    best: Option<Word>,
    before: Option<Word>,
    /// When this span began.
    since: Option<Instant>,
}

/// What the store's clock showed at a moment, in milliseconds, by somebody's word.
#[derive(Clone, Copy, Debug)]
struct Word {
    clock_ms: u64,
    heard: Instant,
}

impl Word {
    fn clock_ms(&self, now: Instant) -> u64 {
        self.clock_ms + millis(now, self.heard)
    }
}

impl ToldClock {
    fn note(&mut self, now: Instant, clock_ms: u64) {
        if self.since.is_none_or(|it| now.saturating_duration_since(it) >= KEPT_FOR) {
            self.before = self.best.take();
            self.since = Some(now);
        }
        if self.best.is_none_or(|it| it.clock_ms(now) < clock_ms) {
            self.best = Some(Word { clock_ms, heard: now });
        }
    }

    fn clock_ms(&self, now: Instant) -> Option<u64> {
        self.best.iter().chain(&self.before).map(|it| it.clock_ms(now)).max()
    }
}

#[cfg(test)]
mod tests;
