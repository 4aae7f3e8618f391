//! The page size of a listing, and the pauses between its pages.
//!
//! When a fleet starts, all of its processes list tables at the same time over shared links. A page that is
//! queued for too long times out, and what was sent of it is wasted. So pages are small until one arrives
//! quickly.

use std::time::Duration;

use platform::store::PAGE_ROWS;

/// The rows of the first page.
const FIRST_ROWS: u32 = 100;
/// The fewest rows of a page: with fewer, the fixed cost of a call becomes significant.
const MIN_ROWS: u32 = 50;
/// A page that arrives within this time was not queued.
const FAST_PAGE: Duration = Duration::from_millis(60);
/// The pause after a page, as a multiple of the time that the page took. It leaves the link to others.
const PAUSE_FACTOR: u32 = 8;
/// The longest such pause.
const MAX_PAUSE: Duration = Duration::from_millis(2000);

/// How soon a listing is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Requests wait for it.
    Urgent,
    /// Nothing waits for it: others on the link take precedence.
    Background,
}

/// The pages of one listing.
#[derive(Debug)]
pub struct Paging {
    urgency: Urgency,
    rows: u32,
    pause: Duration,
}

impl Paging {
    /// Starts a listing.
    pub fn new(urgency: Urgency) -> Self {
        Self { urgency, rows: FIRST_ROWS, pause: Duration::ZERO }
    }

    /// The most rows of the next page.
    pub fn rows(&self) -> u32 {
        self.rows
    }

    /// How long to pause before the next page.
    pub fn pause(&self) -> Duration {
        self.pause
    }

    /// Records how long a page took.
    pub fn record_page(&mut self, took: Duration) {
        let rows = if took <= FAST_PAGE { self.rows * 2 } else { self.rows / 2 };
        self.rows = rows.clamp(MIN_ROWS, PAGE_ROWS);
        self.pause = match self.urgency {
            Urgency::Urgent => Duration::ZERO,
            Urgency::Background => (took * PAUSE_FACTOR).min(MAX_PAUSE),
        };
    }
}

#[cfg(test)]
mod tests;
