//! Downloads manifests and chunks from the platform and from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use errors::{Code, Error, Result};
use fleet::{Bitmap, Manifest, VersionId};
use net::Deadline;
use reducer::{AgentEvent, Draw, DrawSource};
use wire::{Frame, Message};

use super::staging::PutResult;
use super::Shared;

/// The time limit for fetching a manifest from a peer.
const MANIFEST_TIMEOUT: Duration = Duration::from_secs(3);

/// The key of a manifest in the object store.
pub(crate) fn manifest_key(version: VersionId) -> String {
    format!("manifests/{version}")
}

/// Reads a manifest from the object store, or from a peer if that fails.
pub(super) async fn read_manifest(shared: Arc<Shared>, version: VersionId, peers: Vec<SocketAddr>) {
    let objects = &shared.context.host.platform.objects;
    let mut bytes = objects.get(&manifest_key(version)).await;
    for peer in peers {
        if bytes.is_ok() {
            break;
        }
        let deadline = Deadline::after(MANIFEST_TIMEOUT);
        let request = Message::GetManifest { version };
        let answer = shared.context.peers.request(peer, &request, deadline).await;
        bytes = answer.map(|frame| frame.payload);
    }
    let manifest = bytes.and_then(|bytes| Manifest::decode(version, &bytes));
    let event = match manifest {
        Ok(manifest) => {
            let manifest = Arc::new(manifest);
            shared.staging.add_version(&manifest);
            AgentEvent::ManifestRead(manifest)
        }
        Err(error) => {
            log::warn!(version = version.short().as_str(); "cannot read the manifest: {error}");
            AgentEvent::ManifestFailed(version)
        }
    };
    shared.inbox.send(event).await;
}

/// Downloads a chunk and reports the result to the reducer.
pub(super) async fn download_chunk(shared: Arc<Shared>, draw: Draw, have: Bitmap) {
    let deadline = Deadline::after(shared.context.clock.time_until(draw.deadline));
    let result = match &draw.source {
        DrawSource::Origin => {
            let read = read_from_origin(&shared, &draw);
            deadline.limit(Code::PeerStalled, read).await
        }
        DrawSource::Peer(_, address) => {
            read_from_peer(&shared, &draw, *address, have, deadline).await
        }
    };
    let event = match result {
        Ok(SourceReply::Chunk { bytes, sender }) => {
            shared.downlink.pass(bytes.len()).await;
            stage_chunk(&shared, draw, bytes, sender)
        }
        Ok(SourceReply::Refused { code, retry_after_ms }) => {
            chunk_failed(draw, code, retry_after_ms)
        }
        Err(error) => chunk_failed(draw, error.code, 0),
    };
    shared.inbox.send(event).await;
}

/// The response of a source.
enum SourceReply {
    Chunk { bytes: Vec<u8>, sender: Option<(Bitmap, u32)> },
    Refused { code: Code, retry_after_ms: u64 },
}

async fn read_from_origin(shared: &Shared, draw: &Draw) -> Result<SourceReply> {
    let manifest = shared.staging.manifest(draw.version);
    let manifest =
        manifest.ok_or_else(|| Error::new(Code::Replaced, "the version is no longer wanted"))?;
    let (offset, len) = manifest.range(draw.index);
    let weights = &shared.context.host.platform.weights;
    let bytes = weights.read(draw.version, offset, len).await?;
    Ok(SourceReply::Chunk { bytes, sender: None })
}

async fn read_from_peer(
    shared: &Shared,
    draw: &Draw,
    address: SocketAddr,
    have: Bitmap,
    deadline: Deadline,
) -> Result<SourceReply> {
    let request = Message::GetChunk { version: draw.version, index: draw.index, have };
    let Frame { message, payload } =
        shared.context.peers.request(address, &request, deadline).await?;
    match message {
        Message::Chunk { index, have, uploads } if index == draw.index => {
            Ok(SourceReply::Chunk { bytes: payload, sender: Some((have, uploads)) })
        }
        Message::Refused { code, retry_after_ms, .. } => {
            Ok(SourceReply::Refused { code, retry_after_ms })
        }
        _ => Err(Error::new(Code::BadFrame, "the peer did not send the requested chunk")),
    }
}

fn stage_chunk(
    shared: &Shared,
    draw: Draw,
    bytes: Vec<u8>,
    sender: Option<(Bitmap, u32)>,
) -> AgentEvent {
    let result = shared.staging.put(draw.version, draw.index, bytes);
    if result == PutResult::UnknownVersion {
        return chunk_failed(draw, Code::Replaced, 0);
    }
    let outcome = match (&draw.source, result, draw.last_resort) {
        (_, PutResult::Corrupt | PutResult::UnknownVersion, _) => Code::ChunkCorrupt.name(),
        (DrawSource::Origin, PutResult::Staged, true) => "origin_last_resort",
        (DrawSource::Origin, PutResult::Staged, false) => "origin",
        (DrawSource::Peer(..), PutResult::Staged, _) => "peer",
    };
    shared.context.host.metrics.count_chunk(outcome);
    let Draw { version, index, source, .. } = draw;
    AgentEvent::ChunkArrived {
        version,
        index,
        source,
        verified: result == PutResult::Staged,
        sender,
    }
}

fn chunk_failed(draw: Draw, code: Code, retry_after_ms: u64) -> AgentEvent {
    let Draw { version, index, source, .. } = draw;
    AgentEvent::ChunkFailed { version, index, source, code, retry_after_ms }
}
