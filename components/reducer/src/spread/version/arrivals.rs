//! Completion and failure of chunk fetches.

use errors::Code;
use fleet::Millis;

use super::{FetchSource, PendingFetch, Spread};

/// Weight of a new measurement in the moving average of chunk times.
const CHUNK_SMOOTHING_FACTOR: f64 = 0.25;

impl Spread {
    /// Handles a chunk that was received; `verified` tells whether its digest matches. Returns `false` if it
    /// had not been requested from this source.
    pub fn handle_chunk(
        &mut self,
        now: Millis,
        index: u32,
        source: &FetchSource,
        verified: bool,
    ) -> bool {
        let Some(fetch) = self.remove_fetch(index, source) else {
            return false;
        };
        let took = now.since(fetch.sent).0 as f64;
        self.chunk_ms += CHUNK_SMOOTHING_FACTOR * (took - self.chunk_ms);
        if source == &FetchSource::Origin {
            self.origin_failures = 0;
            self.last_new_chunk_at = now;
        }
        if verified {
            self.announce(index, source);
        }
        if let FetchSource::Peer(id, _) = source {
            self.record_message(id);
            match self.neighbours.get_mut(id) {
                Some(neighbour) if verified => neighbour.record_good_chunk(now.since(fetch.sent)),
                Some(neighbour) => neighbour.record_bad_chunk(now),
                None => {}
            }
        }
        if verified {
            self.second_copies.handle_arrival(index);
            self.have.insert(index);
            self.last_chunk_at = now;
        }
        true
    }

    /// Handles the failure of a fetch.
    pub fn fail_chunk(
        &mut self,
        now: Millis,
        index: u32,
        source: &FetchSource,
        code: Code,
        retry_after: u64,
    ) {
        if self.remove_fetch(index, source).is_none() {
            return;
        }
        self.second_copies.handle_failure(now, index);
        let FetchSource::Peer(id, _) = source else {
            self.record_origin_failure(now);
            return;
        };
        self.record_failure_of(now, id, code);
        let Some(neighbour) = self.neighbours.get_mut(id) else {
            return;
        };
        match code {
            Code::PeerBusy => neighbour.record_refusal(now, retry_after),
            // The neighbour never reported to hold the chunk.
            Code::ChunkMissing if !neighbour.have.contains(index) => {}
            Code::ChunkMissing => {
                neighbour.have.remove(index);
                neighbour.record_bad_chunk(now);
            }
            _ => neighbour.record_bad_chunk(now),
        }
    }

    /// Removes a fetch that is no longer in flight. Returns `None` if the chunk had not been requested
    /// from this source.
    fn remove_fetch(&mut self, index: u32, source: &FetchSource) -> Option<PendingFetch> {
        if self.in_flight.get(&index).is_none_or(|it| &it.source != source) {
            return None;
        }
        if let FetchSource::Peer(id, _) = source {
            if let Some(neighbour) = self.neighbours.get_mut(id) {
                neighbour.outstanding = neighbour.outstanding.saturating_sub(1);
            }
        }
        self.in_flight.remove(&index)
    }
}
