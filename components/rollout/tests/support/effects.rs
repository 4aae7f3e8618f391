//! What the fleet does about the effects of its sidecars.

use std::net::SocketAddr;

use errors::Code;
use fleet::{Bitmap, Millis};
use reducer::{Draw, DrawSource};
use rollout::*;

use super::{address, id, manifest, place, Fleet, CHUNKS};

impl Fleet {
    /// Carries an effect of a sidecar out, after a delay.
    pub fn perform(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Life(..) => {}
            Effect::Describe(version, source) => self.describe(index, version, source),
            Effect::Find(version) => {
                let none = Bitmap::new(CHUNKS);
                self.after(10, index, Event::Found(version, none));
            }
            Effect::Draw(version, draw) => self.draw(index, version, draw),
            Effect::Summarize { to, version, have } => self.summarize(index, to, version, have),
            Effect::Answer(..) | Effect::Evacuation(_) | Effect::Limit(_) => {}
            Effect::Stage(version) => {
                let whole = self.sidecars[index].have(version).is_some_and(|it| it.is_full());
                assert!(whole, "staged before every chunk was here");
                self.after(20, index, Event::Staged(version, !self.spoils_staging));
            }
            Effect::Retire { version, sequence } => {
                let runner = &mut self.runners[index];
                assert_eq!(runner.sequence, sequence, "ordered on an old view of the runner");
                assert_eq!(runner.version, Some(version), "gives up what the runner does not hold");
                runner.sequence += 1;
                runner.version = None;
                self.retired.push((index, version, self.now));
            }
            Effect::Order { version, sequence, .. } => self.order(index, version, sequence),
        }
    }

    /// Has another sidecar hear which chunks one holds.
    fn summarize(&mut self, index: usize, to: SocketAddr, version: u64, have: Bitmap) {
        let Some(other) = self.listening_at(to) else {
            return;
        };
        if !self.are_joined(index, other) {
            return;
        }
        self.summaries += 1;
        let (from, address, place) = (id(index), address(index), place(index));
        self.after(3, other, Event::Summary { from, address, place, version, have });
    }

    /// Orders a runner to take a version.
    fn order(&mut self, index: usize, version: u64, sequence: u64) {
        let runner = &mut self.runners[index];
        assert_eq!(runner.sequence, sequence, "ordered on an old view of the runner");
        assert!(runner.taking.is_none(), "ordered while it takes another order");
        runner.sequence += 1;
        runner.taking = Some((self.now + 500, version));
        self.orders.push((index, version, self.now));
        self.after(5, index, Event::Ordered(version, OrderOutcome::Taken));
        for other in (0..self.sidecars.len()).filter(|it| *it != index) {
            self.after(3, other, Event::PeerOrdered);
        }
    }

    /// Has a sidecar get the manifest of a version, or not.
    pub fn describe(&mut self, index: usize, version: u64, source: ManifestSource) {
        let known = match source {
            ManifestSource::Origin => {
                self.origin_manifests += 1;
                self.now >= self.origin_out_until
            }
            ManifestSource::Peer(peer) => {
                let other = self.listening_at(peer);
                other.is_some_and(|it| self.sidecars[it].have(version).is_some())
            }
        };
        let event = if known {
            Event::Described(version, manifest(version))
        } else {
            Event::Undescribed(version)
        };
        self.after(if known { 60 } else { 20 }, index, event);
    }

    /// Has a chunk arrive that a sidecar draws, or not.
    pub fn draw(&mut self, index: usize, version: u64, draw: Draw) {
        let Draw { index: chunk, source, deadline, .. } = draw;
        self.draws += 1;
        let lost = self.loses > 0 && self.draws.is_multiple_of(self.loses);
        if !self.reaches(index, &source) {
            let code = Code::Unreachable;
            let delay = self.dead_ms.min(deadline.since(Millis(self.now)).0);
            self.after(delay, index, Event::Missed { version, index: chunk, source, code });
            return;
        }
        let holds = self.holds(&source, version, chunk);
        self.note_way(index, &source);
        let out = source == DrawSource::Origin && self.now < self.origin_out_until;
        let mut delay = self.chunk_ms;
        if source == DrawSource::Origin && !out {
            self.origin_chunks += 1;
            self.origin_busy_until = self.origin_busy_until.max(self.now) + self.origin_chunk_ms;
            delay += self.origin_busy_until - self.now;
        }
        let lost = lost || out || self.stalls == Some(version);
        let event = if lost || !holds {
            let code = if lost { Code::PeerStalled } else { Code::ChunkMissing };
            Event::Missed { version, index: chunk, source, code }
        } else {
            Event::Arrived { version, index: chunk, source, verified: true }
        };
        self.after(delay, index, event);
    }

    /// Whether a sidecar reaches a source.
    fn reaches(&self, index: usize, source: &DrawSource) -> bool {
        match source {
            DrawSource::Origin => !self.cut_off.contains(&index),
            DrawSource::Peer(peer, _) => {
                let is_there = |it: usize| !self.dead.contains(&it) && self.are_joined(it, index);
                self.named(peer).is_some_and(is_there)
            }
        }
    }

    /// Whether a source has a chunk of a version.
    fn holds(&self, source: &DrawSource, version: u64, chunk: u32) -> bool {
        let DrawSource::Peer(peer, _) = source else {
            return true;
        };
        let have = self.named(peer).and_then(|it| self.sidecars[it].have(version));
        have.is_some_and(|it| it.contains(chunk))
    }

    /// Counts a draw that goes from one hall to another.
    fn note_way(&mut self, index: usize, source: &DrawSource) {
        if let DrawSource::Peer(peer, _) = source {
            let is_far = |it: usize| place(it).hall != place(index).hall;
            self.between_halls += u32::from(self.named(peer).is_some_and(is_far));
        }
    }

    /// What comes from the origin has left it, or is lost where it went out meanwhile.
    pub(super) fn leave_origin(&mut self, event: Event) -> Event {
        let Event::Arrived { version, index, source: DrawSource::Origin, .. } = event else {
            return event;
        };
        if self.now < self.origin_out_until {
            let (source, code) = (DrawSource::Origin, Code::Unreachable);
            self.origin_busy_until = 0;
            return Event::Missed { version, index, source, code };
        }
        self.left_origin.entry(version).or_default().insert(index);
        event
    }
}
