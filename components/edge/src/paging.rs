//! How many rows a listing asks for at once, and how it spreads its pages.
//!
//! When a fleet starts, all of its processes list at the same time, over links that they share. A page that stands in a
//! queue for too long is given up, and all that was sent of it was for nothing. So pages are small until one came quickly.

use std::time::Duration;

use platform::store::PAGE_ROWS;

/// The rows of the first page.
const FIRST_ROWS: u32 = 100;
/// The least rows of a page: with fewer of them, what a call costs beside its rows counts.
const LEAST_ROWS: u32 = 50;
/// A page that came within this time met no queue.
const QUICK: Duration = Duration::from_millis(60);
/// How many times as long as a page took a listing rests that others may go before.
const RESTS_PER_PAGE: u32 = 8;
/// The longest such rest.
const LONGEST_REST: Duration = Duration::from_millis(2000);

/// How soon a listing is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Haste {
    /// Requests wait for it.
    Urgent,
    /// Nothing waits for it: others on the link go before.
    Spread,
}

/// The pages of one listing.
#[derive(Debug)]
pub struct Paging {
    haste: Haste,
    rows: u32,
    rest: Duration,
}

impl Paging {
    /// A listing that begins.
    pub fn new(haste: Haste) -> Self {
        Self { haste, rows: FIRST_ROWS, rest: Duration::ZERO }
    }

    /// The most rows of the next page.
    pub fn rows(&self) -> u32 {
        self.rows
    }

    /// How long to rest before the next page.
    pub fn rest(&self) -> Duration {
        self.rest
    }

    /// Takes in how long a page took.
    pub fn take(&mut self, took: Duration) {
        let rows = if took <= QUICK { self.rows * 2 } else { self.rows / 2 };
        self.rows = rows.clamp(LEAST_ROWS, PAGE_ROWS);
        self.rest = match self.haste {
            Haste::Urgent => Duration::ZERO,
            Haste::Spread => (took * RESTS_PER_PAGE).min(LONGEST_REST),
        };
    }
}

#[cfg(test)]
mod tests;
