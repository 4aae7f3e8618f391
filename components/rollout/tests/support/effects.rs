//! Execution of the effects of the simulated sidecars.

use std::net::SocketAddr;

use errors::Code;
use fleet::{Bitmap, Millis};
use reducer::{Fetch, FetchSource};
use rollout::*;

use super::{address, id, manifest, place, Fleet, CHUNKS, LOAD_MS};

impl Fleet {
    /// Executes an effect of a sidecar after a delay.
    pub fn execute(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::LogIncarnationChange(..) => {}
            Effect::FetchManifest(version, source) => self.deliver_manifest(index, version, source),
            Effect::ReadStoredChunks(version) => {
                let none = Bitmap::new(CHUNKS);
                self.schedule(10, index, Event::StoredChunksRead(version, none));
            }
            Effect::FetchChunk(version, fetch) => self.deliver_chunk(index, version, fetch),
            Effect::Summarize { to, version, have } => {
                self.deliver_summary(index, to, version, have)
            }
            Effect::Answer(..) | Effect::Evacuation(_) | Effect::LogLimitChange(_) => {}
            Effect::Stage(version) => {
                let is_complete =
                    self.sidecars[index].held_chunks(version).is_some_and(|it| it.is_full());
                assert!(is_complete, "staged before all chunks were here");
                self.schedule(20, index, Event::Staged(version, !self.staging_fails));
            }
            Effect::Retire { version, sequence } => {
                let runner = &mut self.runners[index];
                assert_eq!(
                    runner.sequence, sequence,
                    "the order is based on an outdated state of the runner"
                );
                assert_eq!(
                    runner.version,
                    Some(version),
                    "drops a version that the runner does not hold"
                );
                runner.sequence += 1;
                runner.version = None;
                self.retired.push((index, version, self.now));
            }
            Effect::Order(order) => self.order(index, order),
        }
    }

    /// Delivers a summary of the held chunks to another sidecar.
    fn deliver_summary(&mut self, index: usize, to: SocketAddr, version: u64, have: Bitmap) {
        let Some(other) = self.index_at(to) else {
            return;
        };
        if !self.can_reach(index, other) {
            return;
        }
        self.summaries += 1;
        let (from, address, place) = (id(index), address(index), place(index));
        self.schedule(3, other, Event::Summary { from, address, place, version, have });
    }

    /// Orders a runner to load a version.
    fn order(&mut self, index: usize, order: LoadOrder) {
        let LoadOrder { version, sequence, abort_running, .. } = order;
        let runner = &mut self.runners[index];
        assert_eq!(
            runner.sequence, sequence,
            "the order is based on an outdated state of the runner"
        );
        assert!(runner.taking.is_none(), "ordered while another order is pending");
        runner.sequence += 1;
        if abort_running {
            self.aborted += runner.running;
        }
        runner.taking = Some((self.now + LOAD_MS, version));
        self.orders.push((index, version, self.now));
        self.schedule(5, index, Event::Ordered(version, OrderOutcome::Taken));
        for other in (0..self.sidecars.len()).filter(|it| *it != index) {
            self.schedule(3, other, Event::PeerOrdered);
        }
    }

    /// Delivers the manifest of a version to a sidecar, or an error.
    pub fn deliver_manifest(&mut self, index: usize, version: u64, source: ManifestSource) {
        let known = match source {
            ManifestSource::Origin => {
                self.origin_manifests += 1;
                self.now >= self.origin_unavailable_until
            }
            ManifestSource::Peer(peer) => {
                let other = self.index_at(peer);
                other.is_some_and(|it| self.sidecars[it].held_chunks(version).is_some())
            }
        };
        let event = if known {
            Event::ManifestReceived(version, manifest(version))
        } else {
            Event::ManifestFailed(version)
        };
        self.schedule(if known { 60 } else { 20 }, index, event);
    }

    /// Delivers a chunk to a sidecar, or an error.
    pub fn deliver_chunk(&mut self, index: usize, version: u64, fetch: Fetch) {
        let Fetch { index: chunk, source, deadline, .. } = fetch;
        self.fetches += 1;
        let is_lost = self.lose_every > 0 && self.fetches.is_multiple_of(self.lose_every);
        if !self.can_fetch_from(index, &source) {
            let code = Code::Unreachable;
            let delay = self.failure_detection_ms.min(deadline.since(Millis(self.now)).0);
            self.schedule(delay, index, Event::FetchFailed { version, index: chunk, source, code });
            return;
        }
        let holds = self.holds(&source, version, chunk);
        self.count_hall_crossing(index, &source);
        let is_unavailable =
            source == FetchSource::Origin && self.now < self.origin_unavailable_until;
        let mut delay = self.chunk_ms;
        if source == FetchSource::Origin && !is_unavailable {
            self.origin_chunks += 1;
            self.origin_busy_until = self.origin_busy_until.max(self.now) + self.origin_chunk_ms;
            delay += self.origin_busy_until - self.now;
        }
        let is_lost = is_lost || is_unavailable || self.stalled_version == Some(version);
        let event = if is_lost || !holds {
            let code = if is_lost { Code::PeerStalled } else { Code::ChunkMissing };
            Event::FetchFailed { version, index: chunk, source, code }
        } else {
            Event::Arrived { version, index: chunk, source, verified: true }
        };
        self.schedule(delay, index, event);
    }

    /// Returns whether a sidecar can reach a source.
    fn can_fetch_from(&self, index: usize, source: &FetchSource) -> bool {
        match source {
            FetchSource::Origin => !self.disconnected.contains(&index),
            FetchSource::Peer(peer, _) => {
                let is_reachable =
                    |it: usize| !self.stopped_sidecars.contains(&it) && self.can_reach(it, index);
                self.index_of(peer).is_some_and(is_reachable)
            }
        }
    }

    /// Returns whether a source holds a chunk of a version.
    fn holds(&self, source: &FetchSource, version: u64, chunk: u32) -> bool {
        let FetchSource::Peer(peer, _) = source else {
            return true;
        };
        let have = self.index_of(peer).and_then(|it| self.sidecars[it].held_chunks(version));
        have.is_some_and(|it| it.contains(chunk))
    }

    /// Counts a fetch from another hall.
    fn count_hall_crossing(&mut self, index: usize, source: &FetchSource) {
        if let FetchSource::Peer(peer, _) = source {
            let is_in_other_hall = |it: usize| place(it).hall != place(index).hall;
            self.fetches_between_halls +=
                u32::from(self.index_of(peer).is_some_and(is_in_other_hall));
        }
    }

    /// Records that a chunk has left the origin, or replaces its arrival by an error if the origin has become
    /// unavailable.
    pub(super) fn record_origin_departure(&mut self, event: Event) -> Event {
        let Event::Arrived { version, index, source: FetchSource::Origin, .. } = event else {
            return event;
        };
        if self.now < self.origin_unavailable_until {
            let (source, code) = (FetchSource::Origin, Code::Unreachable);
            self.origin_busy_until = 0;
            return Event::FetchFailed { version, index, source, code };
        }
        self.sent_by_origin.entry(version).or_default().insert(index);
        event
    }
}
