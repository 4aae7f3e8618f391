//! What happens to an agent and what it does.

use std::net::SocketAddr;
use std::sync::Arc;

use errors::Code;
use fleet::{
    Bitmap, InstanceId, Manifest, Millis, ModelName, RequestId, Revision, Role, VersionId,
};
use wire::{Call, Load};

use crate::control::{ControlEffect, ControlEvent};
use crate::spread::{Draw, DrawSource, SpreadOptions};

/// Numbers an agent works with.
#[derive(Clone, Copy, Debug)]
pub struct AgentOptions {
    /// Requests the upstream takes at once.
    pub concurrency: u32,
    /// Memory for weights, in bytes.
    pub memory_bytes: u64,
    /// This instance's link up, in bytes a second.
    pub upload_bytes_per_s: u64,
    /// Numbers for spreads.
    pub spread: SpreadOptions,
}

/// What happens to an agent.
#[derive(Clone, Debug)]
pub enum AgentEvent {
    /// Something of the shared state.
    Control(ControlEvent),
    /// A manifest was read.
    ManifestRead(Arc<Manifest>),
    /// A manifest could not be read.
    ManifestFailed(VersionId),
    /// A chunk arrived and is staged if it is verified.
    ChunkArrived {
        /// The version.
        version: VersionId,
        /// The chunk.
        index: u32,
        /// From where.
        source: DrawSource,
        /// Whether its digest is right.
        verified: bool,
        /// What the sender holds, and its upload queue.
        sender: Option<(Bitmap, u32)>,
    },
    /// A chunk did not arrive.
    ChunkFailed {
        /// The version.
        version: VersionId,
        /// The chunk.
        index: u32,
        /// From where it was asked.
        source: DrawSource,
        /// Why.
        code: Code,
        /// Milliseconds after which the source may be asked again.
        retry_after_ms: u64,
    },
    /// A peer asks for a chunk.
    ChunkAsked {
        /// Names the upload.
        upload: u64,
        /// Who asks.
        from: InstanceId,
        /// The version.
        version: VersionId,
        /// The chunk.
        index: u32,
        /// What the asker holds.
        have: Bitmap,
    },
    /// An upload is over, whole or not.
    UploadEnded,
    /// The engine has obeyed an order, or not.
    OrderEnded {
        /// The model it was about.
        model: ModelName,
        /// What became of it.
        result: Result<(), Code>,
    },
    /// An entry passes on a request.
    CallArrived {
        /// Names the call on its connection.
        call: u64,
        /// When it arrived.
        arrived: Millis,
        /// The call.
        request: Box<Call>,
    },
    /// The upstream began to answer a request that was admitted.
    UpstreamAnswered {
        /// The request.
        request: RequestId,
        /// How long it wants to be left alone, in milliseconds: zero where it took the request.
        rest_ms: u64,
    },
    /// A request that was admitted has ended.
    CallEnded(RequestId),
    /// A planned stop.
    Stop,
    /// Time passed.
    Tick,
}

/// What an agent does.
#[derive(Clone, Debug)]
pub enum AgentEffect {
    /// Something about the shared state.
    Control(ControlEffect),
    /// Read a manifest, from the object store or else from one of these peers.
    ReadManifest {
        /// The version.
        version: VersionId,
        /// Peers that may have it.
        peers: Vec<SocketAddr>,
    },
    /// Draw a chunk.
    Draw {
        /// What.
        draw: Draw,
        /// What this agent holds.
        have: Bitmap,
    },
    /// Drop the staged chunks of a version and stop drawing it.
    Drop(VersionId),
    /// Send a chunk to the peer that asked.
    Upload {
        /// The upload.
        upload: u64,
        /// The version.
        version: VersionId,
        /// The chunk.
        index: u32,
        /// What this agent holds.
        have: Bitmap,
        /// Chunks in the upload queue.
        uploads: u32,
    },
    /// Refuse a chunk.
    RefuseUpload {
        /// The upload.
        upload: u64,
        /// Why.
        code: Code,
        /// When to ask again, in milliseconds.
        retry_after_ms: u64,
        /// The load now.
        load: Load,
    },
    /// Give the engine an order.
    Order(Order),
    /// Let a request through to the upstream.
    Admit {
        /// The call.
        call: u64,
        /// The version that will answer; none beside a plain service or while a switch runs.
        version: Option<VersionId>,
    },
    /// Refuse a request; it has not run.
    Refuse {
        /// The call.
        call: u64,
        /// Why.
        code: Code,
        /// When to ask again, in milliseconds; zero if unknown.
        retry_after_ms: u64,
        /// The load now.
        load: Load,
    },
    /// Count something that is refused without anyone asking.
    CountRefusal(Code),
    /// Count a chunk that is drawn again.
    CountRetry(Code),
    /// Nothing runs any more and the process may exit.
    Exit,
}

/// An order to the engine, before the driver adds where the weights are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The fence.
    pub epoch: Revision,
    /// The model.
    pub model: ModelName,
    /// The version to load, or none to unload.
    pub version: Option<VersionId>,
    /// The model an adapter belongs to.
    pub adapter_of: Option<ModelName>,
    /// What the engine shall do with it.
    pub role: Role,
    /// The bytes to read.
    pub bytes: u64,
}
