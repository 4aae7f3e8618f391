//! When the origin may be asked for a chunk, and what is known of it: whether it is out, whether it is back, and
//! whether its link carries another version.

use fleet::{Bitmap, Millis};

use super::{Choice, Draw, DrawSource, OriginShare, Spread, SpreadEffect};

/// Chunks in flight from the origin.
const ORIGIN_WINDOW: usize = 2;
/// Chunks by which it is found out whether the origin works. Each that is drawn while the link is wanted for
/// another one delays that by a chunk's time.
const PROBED_CHUNKS: u32 = 4;
/// How long the origin has to be silent for the first heir of a chunk to ask it whether it is back, in
/// milliseconds; for the second one four times as long, and so on.
const PROBE_PATIENCE: u64 = 700;
/// How long to leave the origin alone after it failed, in milliseconds: its link stands idle for up to so
/// long once it is back.
const ORIGIN_PAUSE: u64 = 300;
/// How often that time is doubled at most: an origin that takes few connections refuses the rest.
const MOST_ORIGIN_DOUBLINGS: u32 = 1;
/// Draws from the origin that fail in a row before it is taken for out.
const ORIGIN_OUT: u32 = 4;
/// How long after the last chunk that nobody held before the origin must have been out, at the least, in
/// milliseconds, also for those who did not ask it: behind so long a silence the turns of all heirs have come.
const ORIGIN_SILENT: u64 = 700;
/// The same, in times that its link takes for a chunk.
const SILENT_CHUNKS: f64 = 10.0;
/// Neighbours that must hold a chunk for it not to be drawn from the origin again by the next in rank.
const SAFE_HOLDERS: usize = 2;

impl Spread {
    /// Sets how much of the origin may be used. The turns start when all of it may.
    pub fn use_origin(&mut self, now: Millis, share: OriginShare) {
        let is_freed = share == OriginShare::Whole && self.origin_share != share;
        self.origin_share = share;
        if is_freed {
            self.news_at = now;
            self.restart_turns(now);
        }
    }

    /// Starts the turns at the origin anew, with the chunks that nobody is known to hold.
    pub(super) fn restart_turns(&mut self, at: Millis) {
        self.started = at;
        let nowhere = self.held_nowhere();
        self.gate.deal_turns(&nowhere);
    }

    /// The chunks that are neither here nor at a neighbour.
    pub fn held_nowhere(&self) -> Vec<u32> {
        (0..self.manifest.chunks()).filter(|it| !self.is_held(*it)).collect()
    }

    /// How long the origin takes to send a chunk, in milliseconds.
    pub fn origin_chunk_ms(&self) -> f64 {
        self.gate_options.chunk_ms
    }

    /// Whether the origin must be out: nothing new has come from it anywhere for a while.
    fn is_origin_silent(&self, now: Millis) -> bool {
        let chunks = (self.gate_options.chunk_ms * SILENT_CHUNKS) as u64;
        now.since(self.news_at).0 > ORIGIN_SILENT.max(chunks)
    }

    /// When a chunk was last heard of that nobody had held before, or the start where none was.
    pub fn news_at(&self) -> Millis {
        self.news_at
    }

    /// Takes in the chunks that a neighbour holds. One that nobody held before came from the origin, which is
    /// back if it was out. The turns start anew with the chunks that nobody holds yet: its link is used at once
    /// and nothing is drawn twice.
    pub(super) fn note_offers(&mut self, now: Millis, have: &Bitmap) {
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
        let was_out = self.origin_failures > 0 || self.is_origin_silent(now);
        self.news_at = now;
        if was_out {
            self.origin_failures = 0;
            self.origin_not_before = now;
            self.restart_turns(now);
        }
    }

    /// Notes that a draw from the origin failed.
    pub(super) fn note_origin_failure(&mut self, now: Millis) {
        let pause = ORIGIN_PAUSE << self.origin_failures.min(MOST_ORIGIN_DOUBLINGS);
        self.origin_not_before = now.plus(pause);
        // While the origin is out everyone's turn comes and goes. When it is back the turns start anew, or all
        // would draw everything.
        self.origin_failures += 1;
        if self.origin_failures >= ORIGIN_OUT {
            self.restart_turns(self.origin_not_before);
        }
    }

    /// The draws from the origin of the chunks that this receiver owns. Those who need no chunks keep
    /// their share this way, so that later receivers need not ask the origin.
    pub fn draw_own(&mut self, now: Millis) -> Vec<SpreadEffect> {
        let mut effects = Vec::new();
        while self.may_use_origin(now) {
            let Some(index) = self.own_missing(now) else {
                break;
            };
            effects.push(SpreadEffect::Draw(self.launch(now, index, DrawSource::Origin, false)));
        }
        effects
    }

    /// A missing chunk that this receiver owns and that is due.
    fn own_missing(&self, now: Millis) -> Option<u32> {
        let mut missing = self
            .have
            .missing()
            .filter(|index| !self.in_flight.contains_key(index) && self.is_in_share(*index));
        missing
            .find(|index| self.gate.rank(*index) == 0 && now >= self.gate.due(self.started, *index))
    }

    /// The next draw from the origin, if one is due.
    pub(super) fn draw_from_origin(&mut self, now: Millis) -> Option<Draw> {
        if !self.may_use_origin(now) {
            return None;
        }
        let missing = self
            .have
            .missing()
            .filter(|index| !self.in_flight.contains_key(index) && self.is_in_share(*index));
        // The chunk whose turn is least far from this receiver: receivers that all took the first one
        // that is missing would all draw the same.
        let due = missing.filter_map(|index| self.may_ask_origin(now, index));
        let (index, last_resort) = due.min_by_key(|(index, _)| self.gate.rank(*index))?;
        Some(self.launch(now, index, DrawSource::Origin, last_resort))
    }

    /// Whether another chunk may be asked of the origin now.
    fn may_use_origin(&self, now: Millis) -> bool {
        now >= self.origin_not_before && self.count_from_origin() < ORIGIN_WINDOW
    }

    /// Whether the share of the origin that may be used has a chunk in it.
    fn is_in_share(&self, index: u32) -> bool {
        match self.origin_share {
            OriginShare::Whole => true,
            OriginShare::Probes => index < PROBED_CHUNKS,
            OriginShare::Nothing => false,
        }
    }

    /// Whether the origin may be asked for a chunk, and whether only as the last resort.
    fn may_ask_origin(&self, now: Millis, index: u32) -> Option<(u32, bool)> {
        if self.options.choice == Choice::OriginOnly {
            return Some((index, false));
        }
        if now >= self.gate.last_resort(self.started, index) {
            return Some((index, true));
        }
        if now < self.gate.due(self.started, index) {
            return None;
        }
        let holders = self.neighbours.values().filter(|it| it.in_group && it.offers(index));
        let may = match holders.take(SAFE_HOLDERS).count() {
            0 => !self.is_origin_silent(now) || self.may_probe(now, index),
            // A chunk that only one neighbour holds by now may be lost: it had its turn a while ago, and
            // whoever lives passes it on sooner.
            1 => self.gate.rank(index) > 0 && now >= self.gate.overdue(self.started, index),
            _ => false,
        };
        may.then_some((index, false))
    }

    /// Whether a chunk may be asked for of an origin that seems to be out: by its owner and few heirs, more
    /// of them the longer the silence lasts, and only if it is one of the first chunks that are missing.
    /// Whoever asks in the moment in which the origin is back draws a chunk, before the others hear of it.
    /// If every heir asked, chunks would be drawn more than once and the last ones would come later.
    fn may_probe(&self, now: Millis, index: u32) -> bool {
        let silence = now.since(self.news_at).0;
        let rank = self.gate.rank(index);
        let nowhere = self.have.missing().filter(|it| !self.is_held(*it));
        let mut probed = nowhere.take(PROBED_CHUNKS as usize);
        rank * rank * PROBE_PATIENCE <= silence && probed.any(|it| it == index)
    }
}
