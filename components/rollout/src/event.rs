//! The events and effects of a sidecar.

use std::net::SocketAddr;
use std::sync::Arc;

use errors::Code;
use fleet::{
    Ablation, AdvertisedLimit, Bitmap, EvacuationChange, EvacuationList, IncarnationChange,
    IncarnationReport, InstanceId, Location, Manifest, Millis, ModelName, Rate, ReportedLimit,
};
use reducer::{Fetch, FetchSource};
use serde::{Deserialize, Serialize};

use crate::cold::{ColdLimit, ColdPlan};
use crate::reservation_requests::{ReservationReply, ReservationRequest};

/// The settings of a sidecar.
#[derive(Clone, Debug)]
pub struct RolloutOptions {
    /// The ID of this sidecar.
    pub me: InstanceId,
    /// The location of this sidecar.
    pub place: Location,
    /// The bandwidth of its link, in bytes per second.
    pub link_bytes_per_s: u64,
    /// The bandwidth for control messages, in bytes per second.
    pub control_bytes_per_s: u64,
    /// Time from the announcement of a version until it must be served, in milliseconds.
    pub version_ms: u64,
    /// Time from the acknowledgement of an evacuation until no more requests are sent to the hall, in
    /// milliseconds. `None` if halls are not evacuated.
    pub evacuate_ms: Option<u64>,
    /// The request limit of a cold runner. `None` if runners do not start cold.
    pub cold: Option<ColdLimit>,
    /// Mechanisms disabled for a measurement.
    pub ablation: Ablation,
}

/// The configuration for the weights of this runner's service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightsPlan {
    /// The model.
    pub model: ModelName,
    /// Time the runner takes to load a complete version, in milliseconds.
    pub warm_ms: u64,
    /// The bandwidth of the origin's link, in bytes per second.
    pub origin_bytes_per_s: u64,
    /// Number of requests that the runner processes concurrently.
    pub slots: u32,
    /// Prompt tokens that the runner processes per millisecond.
    pub prompt_tokens_per_ms: f64,
    /// The cold start of the runner, if it has one.
    pub cold: Option<ColdPlan>,
}

/// A sidecar of another runner of the same service.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// The ID of the sidecar.
    pub id: InstanceId,
    /// The location.
    pub place: Location,
    /// The address it listens on.
    pub address: SocketAddr,
    /// The version that its runner serves, according to the list of runners.
    pub version: Option<u64>,
}

/// A status report of the runner.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerStatus {
    /// Start time of the runner, in milliseconds of Unix time, if it reports one.
    pub started_at_ms: Option<u64>,
    /// Number of orders accepted since the start.
    pub sequence: u64,
    /// Whether the runner is executing an order.
    pub is_executing_order: bool,
    /// Number of requests at the runner, running or waiting.
    pub running: u32,
    /// Number of requests waiting at the runner.
    pub waiting: u32,
    /// The version of which the runner holds every layer. `None` if it holds none or a mixture.
    pub version: Option<u64>,
}

/// Why the runner is ordered to load a version at this moment and not later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReason {
    /// No request runs at the runner.
    Idle,
    /// Few requests run at the runner. The order aborts them.
    FewRunning,
    /// The runner has not drained in time.
    DrainTimeout,
    /// The deadline of the version that the runner holds is about to pass.
    Deadline,
}

impl OrderReason {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::FewRunning => "few_running",
            Self::DrainTimeout => "drain_timeout",
            Self::Deadline => "deadline",
        }
    }
}

/// The result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The runner accepted the order, or already holds the version.
    Taken,
    /// The runner rejected the order because its state differs from the expected one.
    Refused,
    /// No response arrived. The order may have been accepted.
    Unanswered,
}

/// An event at a sidecar.
#[derive(Clone, Debug)]
pub enum Event {
    /// The deadlines have changed.
    DeadlinesChanged {
        /// Time from the announcement of a version until it must be served, in milliseconds.
        version_ms: u64,
        /// Time from the acknowledgement of an evacuation until no more requests are sent to the hall, in
        /// milliseconds.
        evacuate_ms: Option<u64>,
    },
    /// The request limit of a cold runner has changed.
    ColdLimitChanged(Option<ColdLimit>),
    /// The configuration of the weights was received.
    Configured(WeightsPlan),
    /// A version was announced that runners should serve.
    Announced {
        /// The version.
        version: u64,
        /// The earliest known time of the announcement. `None` if unknown.
        announced_at: Option<Millis>,
        /// The store's clock, in milliseconds, when the version had not been announced yet, if `announced_at`
        /// is derived from it.
        after_ms: Option<u64>,
    },
    /// All versions announced before now have been reported.
    VersionsKnown,
    /// The runner sent a status report.
    Status(RunnerStatus),
    /// The process resumes after a suspension during which it received nothing.
    Resumed,
    /// The runner has started or stopped reporting that it is leaving.
    RunnerLeaves(bool),
    /// The rate limit in the runner's report, and the time at which the report was requested.
    LimitAdvertised(Millis, AdvertisedLimit),
    /// A gateway reported the runner's rate limit.
    LimitReported(ReportedLimit),
    /// According to the list of runners, the runner stays cold for this many milliseconds.
    ColdFor(u64),
    /// The runner does not respond.
    Unresponsive,
    /// The manifest of a version was received.
    ManifestReceived(u64, Arc<Manifest>),
    /// The manifest of a version could not be fetched.
    ManifestFailed(u64),
    /// These chunks of a version are stored at the runner and were verified.
    StoredChunksRead(u64, Bitmap),
    /// A chunk was received.
    Arrived {
        /// The version.
        version: u64,
        /// The index of the chunk.
        index: u32,
        /// The source of the chunk.
        source: FetchSource,
        /// Whether its digest matches the manifest.
        verified: bool,
    },
    /// A chunk could not be fetched.
    FetchFailed {
        /// The version.
        version: u64,
        /// The index of the chunk.
        index: u32,
        /// The source of the chunk.
        source: FetchSource,
        /// The error.
        code: Code,
    },
    /// Whether all chunks of a version were just written to the runner.
    Staged(u64, bool),
    /// The result of an order for a version.
    Ordered(u64, OrderOutcome),
    /// The sidecars of all runners that receive or hold weights of the same model.
    Peers(Vec<Peer>),
    /// The chunks held by a sidecar that a chunk was fetched from.
    SourceChunks {
        /// The sidecar.
        of: InstanceId,
        /// The version.
        version: u64,
        /// The chunks.
        have: Bitmap,
    },
    /// A summary of the chunks of a version that another sidecar holds.
    Summary {
        /// The sidecar.
        from: InstanceId,
        /// The address it listens on.
        address: SocketAddr,
        /// The location.
        place: Location,
        /// The version.
        version: u64,
        /// The chunks.
        have: Bitmap,
    },
    /// Another sidecar sent an order to its runner.
    PeerOrdered,
    /// Another sidecar reports that this one sent the latest order before it restarted.
    SentLatestOrder,
    /// A gateway reported the evacuated data halls.
    Evacuations(EvacuationList),
    /// A gateway requests a reservation at the runner.
    ReservationRequested(ReservationRequest),
    /// A pinned request has ended at the runner.
    PinEnded {
        /// The address of its gateway.
        asker: SocketAddr,
        /// The gateway's number for its reservation request.
        number: u64,
    },
    /// Time has passed.
    Tick,
}

/// The source of a manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ManifestSource {
    /// The origin of the weights, which accepts few connections.
    Origin,
    /// The sidecar that listens on this address.
    Peer(SocketAddr),
}

/// An order to the runner to load a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    /// The version.
    pub version: u64,
    /// The expected number of orders accepted by the runner.
    pub sequence: u64,
    /// Number of requests at the runner, running or waiting.
    pub running: u32,
    /// Whether to abort running requests. Otherwise the runner completes them first.
    pub abort_running: bool,
    /// Why the order is sent at this moment.
    pub reason: OrderReason,
}

/// An action requested by the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Fetch the manifest of a version.
    FetchManifest(u64, ManifestSource),
    /// Read and verify the chunks stored at the runner.
    ReadStoredChunks(u64),
    /// Fetch a chunk of a version.
    FetchChunk(u64, Fetch),
    /// Send a summary of the held chunks of a version to another sidecar.
    Summarize {
        /// The address of the sidecar.
        to: SocketAddr,
        /// The version.
        version: u64,
        /// The chunks.
        have: Bitmap,
    },
    /// Log that the runner has restarted, or that its report is not about the known incarnation.
    LogIncarnationChange(IncarnationChange, IncarnationReport),
    /// Log a change of the runner's rate limit. `None` if it has ended.
    LogLimitChange(Option<Rate>),
    /// Answer a gateway's reservation request.
    Answer(ReservationRequest, ReservationReply),
    /// Log that the evacuation of a data hall has started or ended, and report the runner's state to
    /// gateways.
    Evacuation(EvacuationChange),
    /// Write all chunks of a version to the runner.
    Stage(u64),
    /// Order the runner to drop a part of a version, so that no request can start on it.
    Retire {
        /// The version that the runner holds.
        version: u64,
        /// The expected number of orders accepted by the runner.
        sequence: u64,
    },
    /// Order the runner to load a version.
    Order(LoadOrder),
}
