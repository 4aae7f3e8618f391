//! Distribution of weights at an agent: the order in which versions are fetched, and the chunks that are
//! sent to peers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use errors::Code;
use fleet::{Bitmap, Hall, InstanceId, Location, Manifest, Millis, VersionId};
use wire::{Datagram, DatagramBody, Load};

use super::{Agent, AgentEffect};
use crate::control::ControlEffect;
use crate::spread::{FetchSource, Participant, Spread, SpreadEffect, SpreadPhase};

/// Most chunks in flight to this instance over all spreads.
pub(super) const FETCH_WINDOW: usize = 8;
/// Chunks in flight that every spread may have, whatever its priority.
const MIN_SPREAD_WINDOW: usize = 2;
/// Most chunks in the upload queue.
pub(super) const UPLOAD_QUEUE_LIMIT: u32 = 8;

impl Agent {
    pub(super) fn handle_summary(
        &mut self,
        now: Millis,
        address: SocketAddr,
        from: &InstanceId,
        version: VersionId,
        have: &Bitmap,
    ) -> Vec<AgentEffect> {
        let place = self.place_of(from);
        let Some(spread) = self.spreads.get_mut(&version) else {
            return Vec::new();
        };
        spread.handle_summary(now, from, address, &place, have.clone());
        self.fetch(now)
    }

    fn place_of(&self, id: &InstanceId) -> Location {
        self.control.members.get(id).map(|it| it.record.place.clone()).unwrap_or_default()
    }

    pub(super) fn handle_manifest(
        &mut self,
        now: Millis,
        manifest: Arc<Manifest>,
    ) -> Vec<AgentEffect> {
        let version = manifest.version();
        self.manifest_retry_at.remove(&version);
        // The manifest of a version that was withdrawn and deployed again may have been requested twice. The
        // second answer must not restart the spread while its chunks are in flight.
        if self.spreads.contains_key(&version) {
            return Vec::new();
        }
        let me = self.control.members.me().clone();
        let configuration = self.control.configuration();
        let required = configuration.wanted_on(&me.id).find(|it| it.release.version == version);
        let Some(deployment) = required else {
            return Vec::new();
        };
        let placements = deployment.placements.iter();
        let receivers: Vec<(InstanceId, Hall)> =
            placements.map(|(id, it)| (id.clone(), it.hall.clone())).collect();
        let options = self.options.spread;
        let spread = Spread::new(now, &me.id, &me.place, manifest, &receivers, options);
        self.spreads.insert(version, spread);
        self.refresh_participants(now);
        self.fetch(now)
    }

    /// Informs each spread which daemons receive or hold its version.
    pub(super) fn refresh_participants(&mut self, now: Millis) {
        let me = &self.control.members.me().id;
        let mut has_unknown_receivers = false;
        for spread in self.spreads.values_mut() {
            let version = spread.version;
            let deployments = self.control.configuration().deployments.values();
            let receivers: BTreeSet<&InstanceId> = deployments
                .filter(|it| it.release.version == version)
                .flat_map(|it| it.placements.keys())
                .collect();
            has_unknown_receivers |=
                receivers.iter().any(|id| *id != me && self.control.members.get(id).is_none());
            let others = self.control.members.others();
            let participants: Vec<Participant> = others
                .filter_map(|it| {
                    let holds = it.record.serving.iter().any(|tag| tag.is_version(version));
                    (holds || receivers.contains(&it.record.id)).then(|| Participant {
                        id: it.record.id.clone(),
                        place: it.record.place.clone(),
                        address: it.record.address,
                        up: it.is_up(),
                        holds,
                    })
                })
                .collect();
            spread.set_participants(now, &participants);
        }
        if has_unknown_receivers {
            self.control.schedule_list_read(now);
        }
    }

    pub(super) fn handle_chunk(
        &mut self,
        now: Millis,
        version: VersionId,
        index: u32,
        source: FetchSource,
        verified: bool,
        sender: Option<(Bitmap, u32)>,
    ) -> Vec<AgentEffect> {
        let place = match &source {
            FetchSource::Peer(id, _) => self.place_of(id),
            FetchSource::Origin => Location::default(),
        };
        let Some(spread) = self.spreads.get_mut(&version) else {
            // The version was replaced while the chunk was in flight; the chunk that was just staged is
            // dropped.
            return vec![AgentEffect::Drop(version)];
        };
        let mut effects = Vec::new();
        if !verified {
            effects.push(AgentEffect::CountRetry(Code::ChunkCorrupt));
        }
        spread.handle_chunk(now, index, &source, verified);
        if let (FetchSource::Peer(id, address), Some((have, uploads))) = (&source, sender) {
            spread.handle_summary(now, id, *address, &place, have);
            spread.set_upload_queue(now, id, uploads);
        }
        if spread.phase() == SpreadPhase::Complete {
            effects.extend(self.summarize(now));
            effects.extend(self.reconcile(now));
        }
        effects.extend(self.fetch(now));
        effects
    }

    /// Starts fetches for every spread in order of priority. Each spread has a minimum window, so that an
    /// adapter does not wait behind a large model.
    pub(super) fn fetch(&mut self, now: Millis) -> Vec<AgentEffect> {
        let ordered = self.spreads_by_priority();
        let active = ordered.len();
        let mut remaining = FETCH_WINDOW.saturating_sub(MIN_SPREAD_WINDOW * active);
        let mut effects = Vec::new();
        for version in ordered {
            let Some(spread) = self.spreads.get_mut(&version) else {
                continue;
            };
            let fetches = spread.fetch(now, MIN_SPREAD_WINDOW + remaining);
            remaining =
                remaining.saturating_sub(spread.in_flight().saturating_sub(MIN_SPREAD_WINDOW));
            let have = spread.have().clone();
            effects.extend(fetches.into_iter().map(|it| self.agent_effect_of(it, &have, version)));
        }
        effects
    }

    fn spreads_by_priority(&self) -> Vec<VersionId> {
        let priority = |version: &VersionId| {
            let deployments = self.control.configuration().deployments.values();
            let matching = deployments.filter(|it| &it.release.version == version);
            matching.map(|it| it.priority).max().unwrap_or(0)
        };
        let fetching = self.spreads.values().filter(|it| it.phase() == SpreadPhase::Fetching);
        let mut order: Vec<(&VersionId, u64)> =
            fetching.map(|it| (&it.version, it.manifest.bytes)).collect();
        order.sort_by_key(|(version, bytes)| (std::cmp::Reverse(priority(version)), *bytes));
        order.into_iter().map(|(version, _)| *version).collect()
    }

    pub(super) fn summarize(&mut self, now: Millis) -> Vec<AgentEffect> {
        let mut effects = Vec::new();
        let versions: Vec<VersionId> = self.spreads.keys().copied().collect();
        for version in versions {
            let Some(spread) = self.spreads.get_mut(&version) else {
                continue;
            };
            let due = spread.summarize(now);
            let have = spread.have().clone();
            effects.extend(due.into_iter().map(|it| self.agent_effect_of(it, &have, version)));
        }
        effects
    }

    fn agent_effect_of(
        &mut self,
        effect: SpreadEffect,
        have: &Bitmap,
        version: VersionId,
    ) -> AgentEffect {
        match effect {
            SpreadEffect::Fetch(fetch) => AgentEffect::FetchChunk { fetch, have: have.clone() },
            SpreadEffect::Summarize { to, have } => {
                let revision = self.control.configuration().revision;
                let body = DatagramBody::Summary { version, have };
                let datagram: Datagram = self.control.members.build(body, revision);
                AgentEffect::Control(ControlEffect::Send { to, datagram: Box::new(datagram) })
            }
        }
    }

    pub(super) fn handle_chunk_request(
        &mut self,
        now: Millis,
        upload: u64,
        from: &InstanceId,
        version: VersionId,
        index: u32,
        have: Bitmap,
    ) -> Vec<AgentEffect> {
        let load = self.load();
        let known = self.control.members.get(from).map(|it| it.record.clone());
        let Some(spread) = self.spreads.get_mut(&version) else {
            return vec![refuse_upload(upload, Code::ChunkMissing, 0, load)];
        };
        if let Some(record) = known {
            spread.handle_summary(now, from, record.address, &record.place, have);
        }
        if !spread.have().contains(index) {
            return vec![refuse_upload(upload, Code::ChunkMissing, 0, load)];
        }
        if self.uploads >= UPLOAD_QUEUE_LIMIT {
            let chunk = u64::from(spread.manifest.chunk_bytes) * 1000;
            let retry_after_ms = chunk / self.options.upload_bytes_per_s.max(1);
            return vec![refuse_upload(upload, Code::PeerBusy, retry_after_ms, load)];
        }
        self.uploads += 1;
        spread.record_summary(now, from);
        let have = spread.have().clone();
        let uploads = self.uploads;
        let mut effects = vec![AgentEffect::Upload { upload, version, index, have, uploads }];
        effects.extend(self.fetch(now));
        effects
    }
}

fn refuse_upload(upload: u64, code: Code, retry_after_ms: u64, load: Load) -> AgentEffect {
    AgentEffect::RefuseUpload { upload, code, retry_after_ms, load }
}
