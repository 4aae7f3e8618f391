//! Handles messages from other daemons: requests for chunks, manifests, progress and the configuration, and calls from
//! entries.

use std::sync::Arc;

use async_io::Timer;
use async_trait::async_trait;
use errors::{Code, Result};
use fleet::{Bitmap, VersionId};
use reducer::{AgentEffect, AgentEvent};
use wire::{Frame, Message};

use super::{calls, Shared};
use crate::inbound::{configuration_payload, InboundSession, MessageHandler};

/// The message handler of an agent.
pub(super) struct AgentMessageHandler(pub(super) Arc<Shared>);

#[async_trait]
impl MessageHandler for AgentMessageHandler {
    async fn handle(&self, session: &mut InboundSession, frame: Frame) -> Result<()> {
        handle_message(&self.0, session, frame).await
    }
}

async fn handle_message(
    shared: &Arc<Shared>,
    session: &mut InboundSession,
    frame: Frame,
) -> Result<()> {
    match frame.message {
        Message::GetConfiguration => send_configuration(shared, session).await,
        Message::GetManifest { version } => send_manifest(shared, session, version).await,
        Message::GetProgress { version } => send_progress(shared, session, version).await,
        Message::GetChunk { version, index, have } => {
            send_chunk(shared, session, version, index, have).await
        }
        Message::Call(call) => calls::handle_call(shared, session, call, frame.payload).await,
        _ => session.reject(Code::BadFrame).await,
    }
}

async fn send_configuration(shared: &Shared, session: &mut InboundSession) -> Result<()> {
    let (revision, bytes) = shared.with_agent(|agent| configuration_payload(&agent.control));
    session.send_configuration(revision, &bytes).await
}

async fn send_manifest(
    shared: &Shared,
    session: &mut InboundSession,
    version: VersionId,
) -> Result<()> {
    match shared.staging.manifest(version) {
        Some(manifest) => session.writer.send_with(&Message::Manifest, &manifest.encode()).await,
        None => session.reject(Code::NotFound).await,
    }
}

async fn send_progress(
    shared: &Shared,
    session: &mut InboundSession,
    version: VersionId,
) -> Result<()> {
    let (held, chunks) = shared.with_agent(|agent| {
        let spread = agent.spreads().find(|it| it.version == version);
        spread.map_or((0, 0), |it| (it.have().count(), it.have().capacity()))
    });
    session.writer.send(&Message::Progress { held, chunks }).await
}

async fn send_chunk(
    shared: &Arc<Shared>,
    session: &mut InboundSession,
    version: VersionId,
    index: u32,
    have: Bitmap,
) -> Result<()> {
    let (upload, decision) = shared.register_waiter();
    let from = session.from.clone();
    shared.inbox.send(AgentEvent::ChunkAsked { upload, from, version, index, have }).await;
    let Ok(effect) = decision.recv().await else {
        return session.reject(Code::Stopping).await;
    };
    match effect {
        AgentEffect::Upload { have, uploads, .. } => {
            let message = Message::Chunk { index, have, uploads };
            let result = upload_chunk(shared, session, version, index, message).await;
            shared.inbox.send(AgentEvent::UploadEnded).await;
            result
        }
        AgentEffect::RefuseUpload { code, retry_after_ms, load, .. } => {
            session.writer.send(&Message::Refused { code, retry_after_ms, load }).await
        }
        _ => session.reject(Code::Internal).await,
    }
}

async fn upload_chunk(
    shared: &Shared,
    session: &mut InboundSession,
    version: VersionId,
    index: u32,
    message: Message,
) -> Result<()> {
    let Some(chunk) = shared.staging.get(version, index) else {
        return session.reject(Code::ChunkMissing).await;
    };
    shared.uplink.wait_for_bandwidth(chunk.len()).await;
    shared.context.services.metrics.count_chunk("sent");
    let Some(fault_injection) = &shared.fault_injection else {
        return session.writer.send_with(&message, &chunk).await;
    };
    let mut chunk = chunk.to_vec();
    let delay = fault_injection.on_upload(&mut chunk);
    Timer::after(delay).await;
    session.writer.send_with(&message, &chunk).await
}
