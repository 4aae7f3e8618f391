//! Events and effects of an entry.

use std::net::SocketAddr;

use errors::{Code, Error};
use fleet::{InstanceId, Millis, ModelName, RequestId, ServiceName, WorkspaceId};
use quarantine::{CrashEvent, Subjects};
use wire::Load;

use crate::changes::{ChangeEffect, ChangeEvent};
use crate::claims::{ClaimState, SavedAnswer};
use crate::control::{ControlEffect, ControlEvent};
use crate::planner::Estimate;
use crate::routing::RoutingStrategy;

/// Settings of an entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryOptions {
    /// Most requests that may wait for an upstream.
    pub queue_limit: u32,
    /// Retries allowed, as a share of first attempts.
    pub retry_share: f64,
    /// Bandwidth for messages between daemons, in bytes per second.
    pub control_bytes_per_s: u64,
    /// Link rates for the estimates of plans.
    pub estimate: Estimate,
    /// How upstreams are selected.
    pub choice: RoutingStrategy,
}

/// The model or service that a request addresses.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A model or adapter.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
}

/// A request as the reducer sees it; the driver keeps the body.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// What it holds that may crash its upstream: the same when the caller sends the request again.
    pub subjects: Subjects,
    /// The model or service that it addresses.
    pub target: Target,
    /// The workspace that it is accounted to.
    pub workspace: WorkspaceId,
    /// A hash of the start of the prompt.
    pub prefix: u64,
    /// When the answer must be complete.
    pub deadline: Millis,
    /// How long the request may wait for an upstream, in milliseconds. After that its first token would be
    /// late, and its slot goes to a request that can still be on time.
    pub max_wait_ms: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Requests with a higher priority are sent first.
    pub priority: u8,
    /// The idempotency key, under which the request may run only once.
    pub key: Option<String>,
}

/// One attempt of a request. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, starting at one.
    pub number: u32,
}

/// The failure of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The reason; `Code::ran` tells whether the upstream may have run the request.
    pub code: Code,
    /// The load that the agent reported with the failure.
    pub load: Option<Load>,
    /// When the upstream may be asked again, in milliseconds; zero if unknown.
    pub retry_after_ms: u64,
}

/// An event concerning an entry.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// An event concerning the shared state of the daemon.
    Control(ControlEvent),
    /// An event concerning a configuration change.
    Change(ChangeEvent),
    /// A request arrived.
    Arrived(Box<Arrival>),
    /// An attempt to claim an idempotency key has ended.
    ClaimSettled {
        /// The request.
        request: RequestId,
        /// The outcome.
        state: ClaimState,
    },
    /// The upstream began to answer and the answer is being sent to the caller.
    Started(AttemptId),
    /// The answer is complete.
    AttemptCompleted {
        /// The attempt.
        attempt: AttemptId,
        /// The load that the agent reported with the answer.
        load: Load,
    },
    /// An attempt failed.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// The failure.
        failure: Failure,
    },
    /// The caller disconnected.
    CallerDisconnected(RequestId),
    /// The process is asked to stop.
    Stop,
    /// The periodic timer fired.
    Tick,
}

/// An action for the driver of an entry.
#[derive(Clone, Debug)]
pub enum EntryEffect {
    /// An action for the shared state of the daemon.
    Control(ControlEffect),
    /// An action for a configuration change.
    Change(ChangeEffect),
    /// Claim the idempotency key of a request.
    Claim {
        /// The request.
        request: RequestId,
        /// The workspace that the key belongs to.
        workspace: WorkspaceId,
        /// The key.
        key: String,
    },
    /// Release the claim, because the request has certainly not run.
    Release {
        /// The request that holds the claim.
        request: RequestId,
        /// The workspace that the key belongs to.
        workspace: WorkspaceId,
        /// The key.
        key: String,
    },
    /// Answer a request with the stored answer of an earlier request with the same key.
    Replay {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Box<SavedAnswer>,
    },
    /// Send an attempt to an agent.
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// The agent.
        agent: InstanceId,
        /// The address of the agent.
        address: SocketAddr,
        /// The time left until the deadline, in milliseconds.
        budget_ms: u64,
    },
    /// Reject a request with an error.
    Refuse {
        /// The request.
        request: RequestId,
        /// The error.
        error: Error,
    },
    /// Cancel an attempt whose caller disconnected.
    Cancel(AttemptId),
    /// Count a retry.
    CountRetry(Code),
    /// Log a change in what is known of requests that crash upstreams.
    Crash(CrashEvent),
    /// The entry is stopping and no request is in progress.
    Drained,
}
