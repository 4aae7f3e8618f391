//! Events and effects of an agent.

use std::net::SocketAddr;
use std::sync::Arc;

use errors::Code;
use fleet::{
    Bitmap, InstanceId, Manifest, Millis, ModelName, RequestId, Revision, Role, VersionId,
};
use wire::{Call, Load};

use crate::control::{ControlEffect, ControlEvent};
use crate::spread::{Fetch, FetchSource, SpreadOptions};

/// Settings of an agent.
#[derive(Clone, Copy, Debug)]
pub struct AgentOptions {
    /// Most requests that the upstream runs at once.
    pub concurrency: u32,
    /// Memory for weights, in bytes.
    pub memory_bytes: u64,
    /// Rate of this instance's uplink, in bytes per second.
    pub upload_bytes_per_s: u64,
    /// Settings of the distribution of versions.
    pub spread: SpreadOptions,
}

/// An event concerning an agent.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// An event concerning the shared state of the daemon.
    Control(ControlEvent),
    /// A manifest was read.
    ManifestRead(Arc<Manifest>),
    /// A manifest could not be read.
    ManifestFailed(VersionId),
    /// A chunk was received; if verified, it is staged.
    ChunkArrived {
        /// The version.
        version: VersionId,
        /// The chunk.
        index: u32,
        /// The source of the chunk.
        source: FetchSource,
        /// Whether the digest of the chunk matches the manifest.
        verified: bool,
        /// The chunks that the sender holds, and the length of its upload queue.
        sender: Option<(Bitmap, u32)>,
    },
    /// The fetch of a chunk failed.
    ChunkFailed {
        /// The version.
        version: VersionId,
        /// The chunk.
        index: u32,
        /// The source that was asked.
        source: FetchSource,
        /// The reason.
        code: Code,
        /// When the source may be asked again, in milliseconds.
        retry_after_ms: u64,
    },
    /// A peer requests a chunk.
    ChunkAsked {
        /// Identifies the upload.
        upload: u64,
        /// The peer.
        from: InstanceId,
        /// The version.
        version: VersionId,
        /// The chunk.
        index: u32,
        /// The chunks that the peer holds.
        have: Bitmap,
    },
    /// An upload has ended, successfully or not.
    UploadEnded,
    /// An order to the engine has ended.
    OrderEnded {
        /// The model of the order.
        model: ModelName,
        /// The result.
        result: Result<(), Code>,
    },
    /// An entry forwarded a request.
    CallArrived {
        /// Identifies the call on its connection.
        call: u64,
        /// When it arrived.
        arrived: Millis,
        /// The call.
        request: Box<Call>,
    },
    /// The upstream began to answer an admitted request, or rejected it.
    UpstreamAnswered {
        /// The request.
        request: RequestId,
        /// The backoff that the upstream requests, in milliseconds; zero if it accepted the request.
        backoff_ms: u64,
    },
    /// An admitted request has ended.
    CallEnded(RequestId),
    /// The process is asked to stop.
    Stop,
    /// The periodic timer fired.
    Tick,
}

/// An action for the driver of an agent.
#[derive(Clone, Debug)]
pub enum AgentEffect {
    /// An action for the shared state of the daemon.
    Control(ControlEffect),
    /// Read a manifest from the object store or, failing that, from one of these peers.
    ReadManifest {
        /// The version.
        version: VersionId,
        /// Peers that may hold the manifest.
        peers: Vec<SocketAddr>,
    },
    /// Fetch a chunk.
    FetchChunk {
        /// The chunk and its source.
        fetch: Fetch,
        /// The chunks that this agent holds.
        have: Bitmap,
    },
    /// Drop the staged chunks of a version and stop its fetches.
    Drop(VersionId),
    /// Send a chunk to the peer that requested it.
    Upload {
        /// The upload.
        upload: u64,
        /// The version.
        version: VersionId,
        /// The chunk.
        index: u32,
        /// The chunks that this agent holds.
        have: Bitmap,
        /// The number of chunks in the upload queue.
        uploads: u32,
    },
    /// Refuse to send a chunk.
    RefuseUpload {
        /// The upload.
        upload: u64,
        /// The reason.
        code: Code,
        /// When the peer may ask again, in milliseconds.
        retry_after_ms: u64,
        /// The current load.
        load: Load,
    },
    /// Send an order to the engine.
    Order(Order),
    /// Forward a request to the upstream.
    Admit {
        /// The call.
        call: u64,
        /// The version that will answer; `None` for a plain service and while the model is being switched.
        version: Option<VersionId>,
    },
    /// Reject a request, which has not run.
    Refuse {
        /// The call.
        call: u64,
        /// The reason.
        code: Code,
        /// When the entry may ask again, in milliseconds; zero if unknown.
        retry_after_ms: u64,
        /// The current load.
        load: Load,
    },
    /// Count something that the agent does not do although no caller asked for it.
    CountRefusal(Code),
    /// Count a retry.
    CountRetry(Code),
    /// No request is running and the process may exit.
    Exit,
}

/// An order to the engine. The driver adds the location of the weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The fencing epoch: the engine rejects orders with a lower one.
    pub epoch: Revision,
    /// The model.
    pub model: ModelName,
    /// The version to load, or `None` to unload.
    pub version: Option<VersionId>,
    /// The base model of an adapter.
    pub adapter_of: Option<ModelName>,
    /// The role in which the engine serves the model.
    pub role: Role,
    /// The size of the version in bytes.
    pub bytes: u64,
}
