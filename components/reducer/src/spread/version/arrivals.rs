//! What becomes of the chunks that were asked for.

use errors::Code;
use fleet::Millis;

use super::{DrawSource, Flight, Spread};

/// The part of a new measurement in the smoothed time of chunks.
const CHUNK_SMOOTHING: f64 = 0.25;

impl Spread {
    /// A chunk arrived; `verified` tells whether its digest is right. Gives `false` when it had
    /// not been asked for.
    pub fn take_chunk(
        &mut self,
        now: Millis,
        index: u32,
        source: &DrawSource,
        verified: bool,
    ) -> bool {
        let Some(flight) = self.end_flight(index, source) else {
            return false;
        };
        let took = now.since(flight.sent).0 as f64;
        self.chunk_ms += CHUNK_SMOOTHING * (took - self.chunk_ms);
        if source == &DrawSource::Origin {
            self.origin_failures = 0;
            self.news_at = now;
        }
        if verified {
            self.announce(index, source);
        }
        if let DrawSource::Peer(id, _) = source {
            self.note_heard(id);
            match self.neighbours.get_mut(id) {
                Some(neighbour) if verified => neighbour.reward(now.since(flight.sent)),
                Some(neighbour) => neighbour.punish(now),
                None => {}
            }
        }
        if verified {
            self.second.note_arrival(index);
            self.have.insert(index);
            self.last_chunk_at = now;
        }
        true
    }

    /// A chunk did not arrive.
    pub fn fail_chunk(
        &mut self,
        now: Millis,
        index: u32,
        source: &DrawSource,
        code: Code,
        retry_after: u64,
    ) {
        if self.end_flight(index, source).is_none() {
            return;
        }
        self.second.note_failure(now, index);
        let DrawSource::Peer(id, _) = source else {
            self.note_origin_failure(now);
            return;
        };
        self.note_failure_of(now, id, code);
        let Some(neighbour) = self.neighbours.get_mut(id) else {
            return;
        };
        match code {
            Code::PeerBusy => neighbour.back_off(now, retry_after),
            // It never said that it has it.
            Code::ChunkMissing if !neighbour.have.contains(index) => {}
            Code::ChunkMissing => {
                neighbour.have.remove(index);
                neighbour.punish(now);
            }
            _ => neighbour.punish(now),
        }
    }

    /// A chunk is not on its way any more. `None` when it had not been asked for.
    fn end_flight(&mut self, index: u32, source: &DrawSource) -> Option<Flight> {
        if self.in_flight.get(&index).is_none_or(|it| &it.source != source) {
            return None;
        }
        if let DrawSource::Peer(id, _) = source {
            if let Some(neighbour) = self.neighbours.get_mut(id) {
                neighbour.outstanding = neighbour.outstanding.saturating_sub(1);
            }
        }
        self.in_flight.remove(&index)
    }
}
