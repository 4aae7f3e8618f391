//! Draws manifests and chunks from the platform and from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use errors::{Code, Error, Result};
use fleet::{Bitmap, Manifest, VersionId};
use net::Deadline;
use reducer::{AgentEvent, Draw, DrawSource};
use wire::{Frame, Message};

use super::staging::Put;
use super::Shared;

/// How long a peer may take to send a manifest.
const MANIFEST_TIME: Duration = Duration::from_secs(3);

/// Where the object store keeps a manifest.
pub(crate) fn manifest_object(version: VersionId) -> String {
    format!("manifests/{version}")
}

/// Reads a manifest, from the object store or else from a peer.
pub(super) async fn read_manifest(shared: Arc<Shared>, version: VersionId, peers: Vec<SocketAddr>) {
    let objects = &shared.surroundings.host.platform.objects;
    let mut bytes = objects.get(&manifest_object(version)).await;
    for peer in peers {
        if bytes.is_ok() {
            break;
        }
        let deadline = Deadline::after(MANIFEST_TIME);
        let ask = Message::GetManifest { version };
        let answer = shared.surroundings.peers.ask(peer, &ask, deadline).await;
        bytes = answer.map(|frame| frame.payload);
    }
    let manifest = bytes.and_then(|bytes| Manifest::decode(version, &bytes));
    let event = match manifest {
        Ok(manifest) => {
            let manifest = Arc::new(manifest);
            shared.staging.open(&manifest);
            AgentEvent::ManifestRead(manifest)
        }
        Err(error) => {
            log::warn!(version = version.short().as_str(); "manifest: {error}");
            AgentEvent::ManifestFailed(version)
        }
    };
    shared.inbox.send(event).await;
}

/// Draws a chunk and reports what became of it.
pub(super) async fn draw(shared: Arc<Shared>, draw: Draw, have: Bitmap) {
    let deadline = Deadline::after(shared.surroundings.clock.until(draw.deadline));
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
        Ok(Reply::Chunk { bytes, sender }) => {
            shared.downlink.pass(bytes.len()).await;
            take(&shared, draw, bytes, sender)
        }
        Ok(Reply::Refused { code, retry_after_ms }) => failed(draw, code, retry_after_ms),
        Err(error) => failed(draw, error.code, 0),
    };
    shared.inbox.send(event).await;
}

/// What a source answers.
enum Reply {
    Chunk { bytes: Vec<u8>, sender: Option<(Bitmap, u32)> },
    Refused { code: Code, retry_after_ms: u64 },
}

async fn read_from_origin(shared: &Shared, draw: &Draw) -> Result<Reply> {
    let manifest = shared.staging.manifest(draw.version);
    let manifest = manifest.ok_or_else(|| Error::new(Code::Replaced, "no longer wanted"))?;
    let (offset, len) = manifest.range(draw.index);
    let weights = &shared.surroundings.host.platform.weights;
    let bytes = weights.read(draw.version, offset, len).await?;
    Ok(Reply::Chunk { bytes, sender: None })
}

async fn read_from_peer(
    shared: &Shared,
    draw: &Draw,
    address: SocketAddr,
    have: Bitmap,
    deadline: Deadline,
) -> Result<Reply> {
    let ask = Message::GetChunk { version: draw.version, index: draw.index, have };
    let Frame { message, payload } = shared.surroundings.peers.ask(address, &ask, deadline).await?;
    match message {
        Message::Chunk { index, have, uploads } if index == draw.index => {
            Ok(Reply::Chunk { bytes: payload, sender: Some((have, uploads)) })
        }
        Message::Refused { code, retry_after_ms, .. } => {
            Ok(Reply::Refused { code, retry_after_ms })
        }
        _ => Err(Error::new(Code::BadFrame, "not the chunk asked for")),
    }
}

fn take(shared: &Shared, draw: Draw, bytes: Vec<u8>, sender: Option<(Bitmap, u32)>) -> AgentEvent {
    let put = shared.staging.put(draw.version, draw.index, bytes);
    if put == Put::Unwanted {
        return failed(draw, Code::Replaced, 0);
    }
    let outcome = match (&draw.source, put, draw.last_resort) {
        (_, Put::Corrupt | Put::Unwanted, _) => Code::ChunkCorrupt.name(),
        (DrawSource::Origin, Put::Staged, true) => "origin_last_resort",
        (DrawSource::Origin, Put::Staged, false) => "origin",
        (DrawSource::Peer(..), Put::Staged, _) => "peer",
    };
    shared.surroundings.host.metrics.count_chunk(outcome);
    let Draw { version, index, source, .. } = draw;
    AgentEvent::ChunkArrived { version, index, source, verified: put == Put::Staged, sender }
}

fn failed(draw: Draw, code: Code, retry_after_ms: u64) -> AgentEvent {
    let Draw { version, index, source, .. } = draw;
    AgentEvent::ChunkFailed { version, index, source, code, retry_after_ms }
}
