//! Answers other daemons: chunks, manifests, the configuration, and calls from entries.

use std::sync::Arc;

use async_io::Timer;
use async_trait::async_trait;
use errors::{Code, Result};
use fleet::{Bitmap, VersionId};
use reducer::{AgentEffect, AgentEvent};
use wire::{Frame, Message};

use super::{calls, Shared};
use crate::doors::{pack_configuration, Answer, Door};

/// The doors of an agent.
pub(super) struct AgentDoors(pub(super) Arc<Shared>);

#[async_trait]
impl Answer for AgentDoors {
    async fn answer(&self, door: &mut Door, frame: Frame) -> Result<()> {
        answer(&self.0, door, frame).await
    }
}

async fn answer(shared: &Arc<Shared>, door: &mut Door, frame: Frame) -> Result<()> {
    match frame.message {
        Message::GetConfiguration => send_configuration(shared, door).await,
        Message::GetManifest { version } => send_manifest(shared, door, version).await,
        Message::GetProgress { version } => send_progress(shared, door, version).await,
        Message::GetChunk { version, index, have } => {
            send_chunk(shared, door, version, index, have).await
        }
        Message::Call(call) => calls::answer(shared, door, call, frame.payload).await,
        _ => door.refuse(Code::BadFrame).await,
    }
}

async fn send_configuration(shared: &Shared, door: &mut Door) -> Result<()> {
    let (revision, bytes) = shared.look(|agent| pack_configuration(&agent.control));
    door.send_configuration(revision, &bytes).await
}

async fn send_manifest(shared: &Shared, door: &mut Door, version: VersionId) -> Result<()> {
    match shared.staging.manifest(version) {
        Some(manifest) => door.writer.send_with(&Message::Manifest, &manifest.encode()).await,
        None => door.refuse(Code::NotFound).await,
    }
}

async fn send_progress(shared: &Shared, door: &mut Door, version: VersionId) -> Result<()> {
    let (held, chunks) = shared.look(|agent| {
        let spread = agent.spreads().find(|it| it.version == version);
        spread.map_or((0, 0), |it| (it.have().count(), it.have().capacity()))
    });
    door.writer.send(&Message::Progress { held, chunks }).await
}

async fn send_chunk(
    shared: &Arc<Shared>,
    door: &mut Door,
    version: VersionId,
    index: u32,
    have: Bitmap,
) -> Result<()> {
    let (upload, verdict) = shared.wait_for_verdict();
    let from = door.from.clone();
    shared.inbox.send(AgentEvent::ChunkAsked { upload, from, version, index, have }).await;
    let Ok(effect) = verdict.recv().await else {
        return door.refuse(Code::Stopping).await;
    };
    match effect {
        AgentEffect::Upload { have, uploads, .. } => {
            let message = Message::Chunk { index, have, uploads };
            let sent = upload_chunk(shared, door, version, index, message).await;
            shared.inbox.send(AgentEvent::UploadEnded).await;
            sent
        }
        AgentEffect::RefuseUpload { code, retry_after_ms, load, .. } => {
            door.writer.send(&Message::Refused { code, retry_after_ms, load }).await
        }
        _ => door.refuse(Code::Internal).await,
    }
}

async fn upload_chunk(
    shared: &Shared,
    door: &mut Door,
    version: VersionId,
    index: u32,
    message: Message,
) -> Result<()> {
    let Some(chunk) = shared.staging.get(version, index) else {
        return door.refuse(Code::ChunkMissing).await;
    };
    shared.uplink.pass(chunk.len()).await;
    shared.surroundings.host.metrics.count_chunk("sent");
    let Some(interference) = &shared.interference else {
        return door.writer.send_with(&message, &chunk).await;
    };
    let mut chunk = chunk.to_vec();
    let stall = interference.on_upload(&mut chunk);
    Timer::after(stall).await;
    door.writer.send_with(&message, &chunk).await
}
