//! Whether a later try of a caller stands behind the first tries of others.
//!
//! Where places are short, each one that a later try takes makes a first try come back later itself: both
//! are late then, where one could have been on time.

use std::collections::BTreeMap;

use fleet::Millis;

/// How long after a first try found no place they count as short, in milliseconds: a full runner ends two
/// or three requests in it.
const PRESSED: u64 = 250;
/// How long after that a shortage is over, in milliseconds: callers that were refused come back within it.
const SHORTAGE_GAP: u64 = 2000;
/// One in so many places goes to a later try even where they are short, so that a caller whose deadline is
/// unusual is served.
const TURN: u32 = 24;

/// First tries that found no place, and what was given to whom.
#[derive(Clone, Debug, Default)]
pub(crate) struct FirstTries {
    /// When a first try of each rank last found no place.
    pressed: BTreeMap<u8, Millis>,
    /// When a first try last found no place because they are short, and since when they have been.
    denied_at: Option<Millis>,
    since: Millis,
    /// Places that went to first tries since the last one that went to a later try, or since places are short.
    given: u32,
}

impl FirstTries {
    /// A first try of this rank found no place.
    pub(crate) fn note_denied(&mut self, now: Millis, rank: u8) {
        if self.short_ms(now) == 0 {
            self.since = now;
            self.given = 0;
        }
        self.denied_at = Some(now);
        self.note_pressed(now, rank);
    }

    /// A first try of this rank found no place, though places are not short.
    pub(crate) fn note_pressed(&mut self, now: Millis, rank: u8) {
        self.pressed.insert(rank, now);
    }

    /// How long places have been short, in milliseconds. Zero where they are not.
    pub(crate) fn short_ms(&self, now: Millis) -> u64 {
        let is_short = self.denied_at.is_some_and(|at| now.since(at).0 <= SHORTAGE_GAP);
        if is_short {
            now.since(self.since).0
        } else {
            0
        }
    }

    /// A place was given.
    pub(crate) fn note_given(&mut self, is_later: bool) {
        self.given = if is_later { 0 } else { self.given.saturating_add(1) };
    }

    /// Whether a later try of this rank leaves a place to first tries that are as urgent.
    pub(crate) fn go_before(&self, now: Millis, rank: u8) -> bool {
        let mut pressed = self.pressed.range(..=rank).map(|(_, at)| now.since(*at).0);
        self.given < TURN && pressed.any(|age| age <= PRESSED)
    }
}
