//! Selection of the next chunk and its source.

use fleet::{InstanceId, Millis};

use super::{millis_for, Fetch, FetchSource, FetchStrategy, PendingFetch, Spread, SpreadEffect};
use crate::seed::shared_hash;
use crate::spread::neighbour::Neighbour;

/// Most chunks in flight from one neighbour.
const MAX_IN_FLIGHT_PER_SOURCE: u32 = 2;
/// Deadline of a chunk as a multiple of its usual time.
const DEADLINE_FACTOR: f64 = 6.0;
/// Shortest deadline of a chunk.
const MIN_DEADLINE_MS: f64 = 1000.0;
/// Longest deadline of a chunk.
const MAX_DEADLINE_MS: f64 = 60_000.0;
/// Assumed number of chunks queued before ours at a source without measurements.
const ASSUMED_QUEUE_CHUNKS: f64 = 16.0;

impl Spread {
    /// Returns the fetches to start now, up to `window` chunks in flight from peers. Fetches from the
    /// origin are not limited by it, because all receivers wait for a chunk whose owner is late.
    pub fn fetch(&mut self, now: Millis, window: usize) -> Vec<SpreadEffect> {
        let mut effects = Vec::new();
        while let Some(fetch) = self.fetch_from_origin(now) {
            effects.push(SpreadEffect::Fetch(fetch));
        }
        let mut counts = None;
        while self.in_flight() < window {
            let counts = counts.get_or_insert_with(|| self.count_holders());
            let next = match self.options.choice {
                FetchStrategy::Rarest => self.fetch_from_peer(now, counts),
                FetchStrategy::Random => self.fetch_random_chunk(now),
                FetchStrategy::OriginOnly => None,
            };
            match next {
                Some(fetch) => effects.push(SpreadEffect::Fetch(fetch)),
                None => break,
            }
        }
        effects.extend(self.probe_halls(now));
        effects
    }

    /// For each chunk, the number of neighbours that hold it.
    fn count_holders(&self) -> Vec<u32> {
        let mut counts = vec![0; self.manifest.chunks() as usize];
        for neighbour in self.neighbours.values() {
            for (index, count) in counts.iter_mut().enumerate() {
                *count += u32::from(neighbour.have.contains(index as u32));
            }
        }
        counts
    }

    /// Selects the least busy source, then the rarest of its chunks. Using an idle link is worth more than a
    /// rare chunk behind a queue.
    fn fetch_from_peer(&mut self, now: Millis, counts: &[u32]) -> Option<Fetch> {
        let chunk_ms =
            millis_for(u64::from(self.manifest.chunk_bytes), self.options.download_bytes_per_s);
        let mut sources: Vec<(&InstanceId, &Neighbour)> = self.neighbours.iter().collect();
        sources.retain(|(_, it)| it.outstanding < MAX_IN_FLIGHT_PER_SOURCE && now >= it.not_before);
        sources.sort_by_key(|(id, it)| {
            let queue = it.outstanding * 2 + it.uploads(now, chunk_ms);
            (queue + it.distance, shared_hash(&[self.me.0.as_bytes(), id.0.as_bytes()]))
        });
        let (index, source) = sources.into_iter().find_map(|(id, neighbour)| {
            let index = self.rarest(now, neighbour, counts)?;
            Some((index, FetchSource::Peer(id.clone(), neighbour.address)))
        })?;
        Some(self.start_fetch(now, index, source, false))
    }

    /// The baseline `FetchStrategy::Random`: any missing chunk from any neighbour that holds it.
    fn fetch_random_chunk(&mut self, now: Millis) -> Option<Fetch> {
        let pseudorandom = |salt: u32| {
            shared_hash(&[self.me.0.as_bytes(), &now.0.to_le_bytes(), &salt.to_le_bytes()])
        };
        let wanted: Vec<u32> =
            self.have.missing().filter(|index| !self.in_flight.contains_key(index)).collect();
        let mut offers: Vec<(u32, FetchSource)> = Vec::new();
        for (id, neighbour) in &self.neighbours {
            if neighbour.outstanding >= MAX_IN_FLIGHT_PER_SOURCE || now < neighbour.not_before {
                continue;
            }
            let held = wanted.iter().filter(|index| neighbour.have.contains(**index));
            let source = FetchSource::Peer(id.clone(), neighbour.address);
            offers.extend(held.map(|index| (*index, source.clone())));
        }
        let pick = pseudorandom(self.in_flight.len() as u32) as usize % offers.len().max(1);
        let (index, source) = offers.get(pick)?.clone();
        Some(self.start_fetch(now, index, source, false))
    }

    /// The rarest chunk that a neighbour holds and that is neither held here nor in flight. Among equally
    /// rare chunks, each receiver starts at a different one, so that receivers hold different chunks.
    fn rarest(&self, now: Millis, neighbour: &Neighbour, counts: &[u32]) -> Option<u32> {
        let chunks = self.manifest.chunks();
        let start = shared_hash(&[self.me.0.as_bytes()]) as u32 % chunks;
        let wanted = self.have.missing().filter(|index| {
            neighbour.have.contains(*index)
                && !self.in_flight.contains_key(index)
                && (neighbour.distance == 0 || self.may_fetch_from_other_hall(now, *index))
        });
        wanted.min_by_key(|index| (counts[*index as usize], (index + chunks - start) % chunks))
    }

    /// Whether a chunk may be fetched from another hall: by its owner in this hall, or by the next in rank
    /// once the owner has had time to fetch it since a neighbour first offered it.
    fn may_fetch_from_other_hall(&self, now: Millis, index: u32) -> bool {
        let Some(gate) = &self.hall_gate else {
            return true;
        };
        let held_near = self.neighbours.values().any(|it| it.distance == 0 && it.offers(index));
        let offered_at = self.offered_at[index as usize].unwrap_or(now);
        !held_near && now >= gate.due(offered_at, index)
    }

    pub(super) fn start_fetch(
        &mut self,
        now: Millis,
        index: u32,
        source: FetchSource,
        last_resort: bool,
    ) -> Fetch {
        let held = self.have.count();
        let mut expected_ms = ASSUMED_QUEUE_CHUNKS
            * millis_for(u64::from(self.manifest.chunk_bytes), self.options.download_bytes_per_s);
        if let FetchSource::Peer(id, _) = &source {
            if let Some(neighbour) = self.neighbours.get_mut(id) {
                neighbour.outstanding += 1;
                neighbour.record_summary(now, held);
                expected_ms = neighbour.average_ms_or(expected_ms);
            }
        }
        let span = (expected_ms * DEADLINE_FACTOR).clamp(MIN_DEADLINE_MS, MAX_DEADLINE_MS) as u64;
        self.in_flight.insert(index, PendingFetch { source: source.clone(), sent: now });
        let deadline = now.plus(span);
        Fetch { version: self.version, index, source, deadline, last_resort }
    }
}
