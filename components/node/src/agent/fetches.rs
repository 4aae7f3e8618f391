//! Fetches manifests and chunks from the platform and from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use errors::{Code, Error, Result};
use fleet::{Bitmap, Manifest, VersionId};
use net::Deadline;
use reducer::{AgentEvent, Fetch, FetchSource};
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
    let objects = &shared.context.services.platform.objects;
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

/// Fetches a chunk and reports the result to the reducer.
pub(super) async fn fetch_chunk(shared: Arc<Shared>, fetch: Fetch, have: Bitmap) {
    let deadline = Deadline::after(shared.context.clock.time_until(fetch.deadline));
    let result = match &fetch.source {
        FetchSource::Origin => {
            let read = read_from_origin(&shared, &fetch);
            deadline.run(Code::PeerStalled, read).await
        }
        FetchSource::Peer(_, address) => {
            read_from_peer(&shared, &fetch, *address, have, deadline).await
        }
    };
    let event = match result {
        Ok(SourceReply::Chunk { bytes, sender }) => {
            shared.downlink.wait_for_bandwidth(bytes.len()).await;
            stage_chunk(&shared, fetch, bytes, sender)
        }
        Ok(SourceReply::Refused { code, retry_after_ms }) => {
            chunk_failed(fetch, code, retry_after_ms)
        }
        Err(error) => chunk_failed(fetch, error.code, 0),
    };
    shared.inbox.send(event).await;
}

/// The response of a source.
enum SourceReply {
    Chunk { bytes: Vec<u8>, sender: Option<(Bitmap, u32)> },
    Refused { code: Code, retry_after_ms: u64 },
}

async fn read_from_origin(shared: &Shared, fetch: &Fetch) -> Result<SourceReply> {
    let manifest = shared.staging.manifest(fetch.version);
    let manifest =
        manifest.ok_or_else(|| Error::new(Code::Replaced, "the version is no longer wanted"))?;
    let (offset, len) = manifest.range(fetch.index);
    let weights = &shared.context.services.platform.weights;
    let bytes = weights.read(fetch.version, offset, len).await?;
    Ok(SourceReply::Chunk { bytes, sender: None })
}

async fn read_from_peer(
    shared: &Shared,
    fetch: &Fetch,
    address: SocketAddr,
    have: Bitmap,
    deadline: Deadline,
) -> Result<SourceReply> {
    let request = Message::GetChunk { version: fetch.version, index: fetch.index, have };
    let Frame { message, payload } =
        shared.context.peers.request(address, &request, deadline).await?;
    match message {
        Message::Chunk { index, have, uploads } if index == fetch.index => {
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
    fetch: Fetch,
    bytes: Vec<u8>,
    sender: Option<(Bitmap, u32)>,
) -> AgentEvent {
    let result = shared.staging.put(fetch.version, fetch.index, bytes);
    if result == PutResult::UnknownVersion {
        return chunk_failed(fetch, Code::Replaced, 0);
    }
    let outcome = match (&fetch.source, result, fetch.last_resort) {
        (_, PutResult::Corrupt | PutResult::UnknownVersion, _) => Code::ChunkCorrupt.name(),
        (FetchSource::Origin, PutResult::Staged, true) => "origin_last_resort",
        (FetchSource::Origin, PutResult::Staged, false) => "origin",
        (FetchSource::Peer(..), PutResult::Staged, _) => "peer",
    };
    shared.context.services.metrics.count_chunk(outcome);
    let Fetch { version, index, source, .. } = fetch;
    AgentEvent::ChunkArrived {
        version,
        index,
        source,
        verified: result == PutResult::Staged,
        sender,
    }
}

fn chunk_failed(fetch: Fetch, code: Code, retry_after_ms: u64) -> AgentEvent {
    let Fetch { version, index, source, .. } = fetch;
    AgentEvent::ChunkFailed { version, index, source, code, retry_after_ms }
}
