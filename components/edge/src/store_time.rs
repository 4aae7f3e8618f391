//! When rows of the platform's store were written, by the store's own history.
//!
//! Answers of the store tell its newest revision and what its clock shows. A row with a higher revision was written after
//! that moment, however long any answer took. How long an answer took tells nothing: a store that looks at a question late,
//! a connection that comes up slowly and a process without processor look like a store that waited for a change.

use std::collections::VecDeque;
use std::time::Duration;

use fleet::StorePlace;
use uptime::Instant;

/// How long readings are kept: longer than any version binds.
const KEPT_FOR: Duration = Duration::from_secs(30);
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
}

impl StoreTime {
    /// Takes in the store's newest revision and its clock at an answer, which was not made before `made`.
    pub fn note(&mut self, newest: StorePlace, clock_ms: u64, made: Instant) {
        let now = Instant::now();
        self.readings.retain(|it| now.saturating_duration_since(it.made) < KEPT_FOR);
        let behind = self.readings.iter().rposition(|it| it.clock_ms <= clock_ms);
        let index = behind.map_or(0, |it| it + 1);
        self.readings.insert(index, Reading { newest, clock_ms, made });
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
}

#[cfg(test)]
mod tests;
