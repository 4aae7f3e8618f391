//! Fetches from the origin: when a chunk may be requested, and the detection of whether the origin is
//! unavailable, available again, or busy with another version.

use fleet::{Bitmap, Millis};

use super::{Fetch, FetchSource, FetchStrategy, OriginShare, Spread, SpreadEffect};

/// Most chunks in flight from the origin.
const MAX_IN_FLIGHT_FROM_ORIGIN: usize = 2;
/// Number of chunks that are used to test whether the origin responds. Each one that is fetched while the
/// link is needed for another version delays that version by the time of a chunk.
const PROBED_CHUNKS: u32 = 4;
/// How long the origin must be silent before the first receiver after a chunk's owner may test whether it is
/// available again; it grows with the square of the rank, to four times this for the second.
const PROBE_DELAY_MS: u64 = 700;
/// Delay after a failed fetch before the origin is asked again. Its link is idle for up to this time once
/// it is available again.
const ORIGIN_RETRY_DELAY_MS: u64 = 300;
/// Most doublings of that delay. Only few, because an origin that accepts few connections rejects the rest.
const MAX_ORIGIN_DOUBLINGS: u32 = 1;
/// Number of consecutive failed fetches after which the origin counts as unavailable.
const MAX_ORIGIN_FAILURES: u32 = 4;
/// Shortest time without a new chunk after which the origin counts as unavailable, also for receivers that
/// did not ask it. After that time the scheduled times of all lower-ranked receivers have passed.
const ORIGIN_SILENCE_MS: u64 = 700;
/// The same time as a multiple of the time that the origin's link takes for a chunk.
const ORIGIN_SILENCE_CHUNKS: f64 = 10.0;
/// Number of neighbours that must hold a chunk so that the next in rank does not fetch it from the origin
/// again.
const MIN_HOLDERS: usize = 2;

impl Spread {
    /// Sets the part of the origin that may be used. The schedule starts when the whole origin may be used.
    pub fn set_origin_share(&mut self, now: Millis, share: OriginShare) {
        let is_released = share == OriginShare::Full && self.origin_share != share;
        self.origin_share = share;
        if is_released {
            self.last_new_chunk_at = now;
            self.restart_schedule(now);
        }
    }

    /// Restarts the origin's schedule with the chunks that nobody is known to hold.
    pub(super) fn restart_schedule(&mut self, at: Millis) {
        self.started = at;
        let unheld = self.unheld_chunks();
        self.gate.reschedule(&unheld);
    }

    /// The chunks that are held neither here nor by a neighbour.
    pub fn unheld_chunks(&self) -> Vec<u32> {
        (0..self.manifest.chunks()).filter(|it| !self.is_held(*it)).collect()
    }

    /// The time that the origin takes to send a chunk, in milliseconds.
    pub fn origin_chunk_ms(&self) -> f64 {
        self.gate_options.chunk_ms
    }

    /// Whether the origin is assumed to be unavailable, because no new chunk has been received or reported
    /// for a while.
    fn is_origin_silent(&self, now: Millis) -> bool {
        let chunks = (self.gate_options.chunk_ms * ORIGIN_SILENCE_CHUNKS) as u64;
        now.since(self.last_new_chunk_at).0 > ORIGIN_SILENCE_MS.max(chunks)
    }

    /// When a chunk that nobody had held before was last received or reported, or the start if there was
    /// none.
    pub fn last_new_chunk_at(&self) -> Millis {
        self.last_new_chunk_at
    }

    /// Handles the chunks that a neighbour reports to hold. A chunk that nobody held before came from the
    /// origin, which is therefore available. If it was unavailable before, the schedule restarts with the
    /// chunks that nobody holds yet, so that the link is used at once and no chunk is fetched twice.
    pub(super) fn handle_offers(&mut self, now: Millis, have: &Bitmap) {
        let mut is_new = false;
        for (index, offered_at) in (0..).zip(&mut self.offered_at) {
            if offered_at.is_none() && have.contains(index) {
                *offered_at = Some(now);
                is_new |= !self.have.contains(index);
            }
        }
        if !is_new {
            return;
        }
        let was_unavailable = self.origin_failures > 0 || self.is_origin_silent(now);
        self.last_new_chunk_at = now;
        if was_unavailable {
            self.origin_failures = 0;
            self.origin_not_before = now;
            self.restart_schedule(now);
        }
    }

    /// Handles a failed fetch from the origin.
    pub(super) fn record_origin_failure(&mut self, now: Millis) {
        let delay = ORIGIN_RETRY_DELAY_MS << self.origin_failures.min(MAX_ORIGIN_DOUBLINGS);
        self.origin_not_before = now.plus(delay);
        // While the origin is unavailable, the scheduled times of all receivers pass. The schedule restarts
        // when it is available again, as otherwise every receiver would fetch every chunk.
        self.origin_failures += 1;
        if self.origin_failures >= MAX_ORIGIN_FAILURES {
            self.restart_schedule(self.origin_not_before);
        }
    }

    /// Returns the fetches from the origin of the chunks that this receiver owns. Receivers that need no
    /// chunks hold their share this way, so that later receivers need not ask the origin.
    pub fn fetch_own_share(&mut self, now: Millis) -> Vec<SpreadEffect> {
        let mut effects = Vec::new();
        while self.may_use_origin(now) {
            let Some(index) = self.next_own_chunk(now) else {
                break;
            };
            effects.push(SpreadEffect::Fetch(self.start_fetch(
                now,
                index,
                FetchSource::Origin,
                false,
            )));
        }
        effects
    }

    /// A missing chunk that this receiver owns and whose scheduled time has come.
    fn next_own_chunk(&self, now: Millis) -> Option<u32> {
        let mut missing = self
            .have
            .missing()
            .filter(|index| !self.in_flight.contains_key(index) && self.is_in_share(*index));
        missing
            .find(|index| self.gate.rank(*index) == 0 && now >= self.gate.due(self.started, *index))
    }

    /// Starts the next fetch from the origin, if one is due.
    pub(super) fn fetch_from_origin(&mut self, now: Millis) -> Option<Fetch> {
        if !self.may_use_origin(now) {
            return None;
        }
        let missing = self
            .have
            .missing()
            .filter(|index| !self.in_flight.contains_key(index) && self.is_in_share(*index));
        // Selects the chunk for which this receiver has the best rank. If all receivers took the first
        // missing chunk, they would all fetch the same one.
        let due = missing.filter_map(|index| self.may_ask_origin(now, index));
        let (index, last_resort) = due.min_by_key(|(index, _)| self.gate.rank(*index))?;
        Some(self.start_fetch(now, index, FetchSource::Origin, last_resort))
    }

    /// Whether another chunk may be requested from the origin now.
    fn may_use_origin(&self, now: Millis) -> bool {
        now >= self.origin_not_before && self.count_from_origin() < MAX_IN_FLIGHT_FROM_ORIGIN
    }

    /// Whether a chunk belongs to the part of the origin that may be used.
    fn is_in_share(&self, index: u32) -> bool {
        match self.origin_share {
            OriginShare::Full => true,
            OriginShare::ProbesOnly => index < PROBED_CHUNKS,
            OriginShare::None => false,
        }
    }

    /// Whether a chunk may be requested from the origin. Returns its index and whether it is a last resort.
    fn may_ask_origin(&self, now: Millis, index: u32) -> Option<(u32, bool)> {
        if self.options.choice == FetchStrategy::OriginOnly {
            return Some((index, false));
        }
        if now >= self.gate.last_resort(self.started, index) {
            return Some((index, true));
        }
        if now < self.gate.due(self.started, index) {
            return None;
        }
        let holders = self.neighbours.values().filter(|it| it.in_group && it.offers(index));
        let is_allowed = match holders.take(MIN_HOLDERS).count() {
            0 => !self.is_origin_silent(now) || self.may_probe(now, index),
            // A chunk that only one neighbour holds by now may be lost. Its scheduled time passed a while
            // ago, and a live holder would have sent it to others by now.
            1 => self.gate.rank(index) > 0 && now >= self.gate.overdue(self.started, index),
            _ => false,
        };
        is_allowed.then_some((index, false))
    }

    /// Whether a chunk may be requested from an origin that seems to be unavailable. Allowed for its owner
    /// and a few lower-ranked receivers, more of them the longer the silence lasts, and only for the first
    /// chunks that nobody holds. Whichever receiver asks when the origin becomes available again gets a chunk
    /// before the others learn of it. If every lower-ranked receiver asked, chunks would be fetched more
    /// than once and the last ones would be late.
    fn may_probe(&self, now: Millis, index: u32) -> bool {
        let silence = now.since(self.last_new_chunk_at).0;
        let rank = self.gate.rank(index);
        let unheld = self.have.missing().filter(|it| !self.is_held(*it));
        let mut probed = unheld.take(PROBED_CHUNKS as usize);
        rank * rank * PROBE_DELAY_MS <= silence && probed.any(|it| it == index)
    }
}
