//! Fetches chunks from the origin and from other sidecars.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use errors::{Code, Error, Result};
use fleet::{InstanceId, Manifest};
use platform::weights;
use reducer::{Fetch, FetchSource};
use rollout::{Event, ManifestSource};
use uptime::Instant;

use super::core::Core;
use super::peers::skip_unreadable;
use crate::http_client::HttpClient;
use crate::http_connection::{connect, with_deadline};
use crate::message::{read_frame, write_frame, ChunkRequest, PeerAnswer, PeerRequest};

/// How long a manifest may take to arrive.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// The longest pause of the origin during a fetch: longer than a chunk takes while the origin serves all the
/// connections that it accepts.
const ORIGIN_MAX_PAUSE: Duration = Duration::from_millis(1400);
/// How long another sidecar may take to send a manifest.
const PEER_MANIFEST_TIMEOUT: Duration = Duration::from_millis(600);
/// How long opening a connection to another sidecar may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Fetches a manifest.
pub async fn fetch_manifest(core: Core, version: u64, source: ManifestSource) {
    let manifest = match source {
        ManifestSource::Origin => manifest_from_origin(&core, version).await,
        ManifestSource::Peer(address) => manifest_from_peer(&core, address, version).await,
    };
    match manifest {
        Ok(manifest) => {
            core.chunks.borrow_mut().begin_version(version, manifest.clone());
            core.dispatch(Event::ManifestReceived(version, manifest));
        }
        Err(error) => {
            let reason = error.to_string();
            let source = format!("{source:?}");
            log::warn!(version = version, source = source.as_str(), reason = reason.as_str(); "no manifest");
            core.dispatch(Event::ManifestFailed(version));
        }
    }
}

async fn manifest_from_origin(core: &Core, version: u64) -> Result<Arc<Manifest>> {
    let (origin, model) = origin(core)?;
    let call = weights::manifest(&model, version);
    let body = HttpClient::new(origin).call(call, MANIFEST_TIMEOUT).await?.success()?;
    let manifest = weights::read_manifest(&model.0, version, &body);
    if manifest.is_err() {
        core.metrics.count_malformed_answer("origin", "manifest");
    }
    manifest
}

async fn manifest_from_peer(
    core: &Core,
    address: SocketAddr,
    version: u64,
) -> Result<Arc<Manifest>> {
    let until = Instant::now() + PEER_MANIFEST_TIMEOUT;
    match call_peer(core, address, until, &PeerRequest::Manifest { version }).await? {
        PeerAnswer::Manifest(manifest) => manifest.check().map(|()| Arc::new(manifest)),
        PeerAnswer::Busy => Err(Error::new(Code::PeerBusy, "too many uploads")),
        _ => Err(Error::new(Code::NotFound, "the peer does not hold the manifest")),
    }
}

fn origin(core: &Core) -> Result<(SocketAddr, fleet::ModelName)> {
    let unknown = || Error::new(Code::NotReady, "the origin is not known");
    let origin = (*core.origin.borrow()).ok_or_else(unknown)?;
    let rollout = core.rollout.borrow();
    Ok((origin, rollout.plan().ok_or_else(unknown)?.model.clone()))
}

/// Fetches a chunk.
pub async fn fetch_chunk(core: Core, version: u64, fetch: Fetch) {
    let until = core.clock.instant(fetch.deadline);
    let fetched = match &fetch.source {
        FetchSource::Origin => chunk_from_origin(&core, version, fetch.index, until).await,
        FetchSource::Peer(id, address) => {
            chunk_from_peer(&core, id, *address, version, fetch.index, until).await
        }
    };
    let Fetch { index, source, .. } = fetch;
    match fetched {
        Ok(bytes) => {
            let verified = core.chunks.borrow_mut().insert(version, index, bytes);
            let is_from_origin = source == FetchSource::Origin;
            core.count_fetch(match (verified, is_from_origin) {
                (false, _) => Code::ChunkCorrupt.name(),
                (true, true) => "origin",
                (true, false) => "peer",
            });
            core.dispatch(Event::Arrived { version, index, source, verified });
        }
        Err(error) => {
            core.count_fetch(error.code.name());
            core.dispatch(Event::FetchFailed { version, index, source, code: error.code });
        }
    }
}

async fn chunk_from_origin(core: &Core, version: u64, index: u32, until: Instant) -> Result<Bytes> {
    let (origin, model) = origin(core)?;
    let timeout = until.saturating_duration_since(Instant::now());
    let call = weights::chunk(&model, version, index);
    let idle = core.origin_clients.borrow_mut().pop().filter(|it| it.address() == origin);
    let mut client = idle.unwrap_or_else(|| HttpClient::new(origin));
    let max_pause = timeout.min(ORIGIN_MAX_PAUSE);
    let answer = client.call_with_pause_limit(call, max_pause, max_pause).await?;
    core.origin_clients.borrow_mut().push(client);
    answer.success().map(Bytes::from)
}

async fn chunk_from_peer(
    core: &Core,
    id: &InstanceId,
    address: SocketAddr,
    version: u64,
    index: u32,
    until: Instant,
) -> Result<Bytes> {
    let request = ChunkRequest {
        version,
        index,
        from: core.me.clone(),
        place: core.place.clone(),
        have: core.stored_chunks(version),
    };
    match call_peer(core, address, until, &PeerRequest::Chunk(request)).await? {
        PeerAnswer::Chunk { bytes, have } => {
            core.dispatch(Event::SourceChunks { of: id.clone(), version, have });
            Ok(Bytes::from(bytes))
        }
        PeerAnswer::Busy => Err(Error::new(Code::PeerBusy, "too many uploads")),
        _ => Err(Error::new(Code::ChunkMissing, "the peer does not hold the chunk")),
    }
}

/// Sends a request to another sidecar, over an idle connection if there is one.
async fn call_peer(
    core: &Core,
    address: SocketAddr,
    until: Instant,
    request: &PeerRequest,
) -> Result<PeerAnswer> {
    let idle = core.idle_connections.borrow_mut().take(address);
    let exchange = async {
        let mut stream = match idle {
            Some(stream) => stream,
            None => connect(address, CONNECT_TIMEOUT).await?,
        };
        write_frame(&mut stream, request).await?;
        let answer = skip_unreadable(core, "answer", read_frame::<PeerAnswer>(&mut stream).await)?;
        Ok::<_, Error>((stream, answer.unwrap_or(PeerAnswer::Missing)))
    };
    let late = || Error::new(Code::PeerStalled, "no answer in time");
    let (stream, answer) = with_deadline(until, exchange).await.ok_or_else(late)??;
    core.idle_connections.borrow_mut().put(address, stream);
    Ok(answer)
}
