//! What happens to an entry and what it does.

use std::net::SocketAddr;

use errors::{Code, Error};
use fleet::{InstanceId, Millis, ModelName, RequestId, ServiceName, WorkspaceId};
use quarantine::{CrashNews, RequestDigest};
use wire::Load;

use crate::changes::{ChangeEffect, ChangeEvent};
use crate::claims::{ClaimState, SavedAnswer};
use crate::control::{ControlEffect, ControlEvent};
use crate::planner::Estimate;
use crate::routing::RouteChoice;

/// Numbers an entry works with.
#[derive(Clone, Copy, Debug)]
pub struct EntryOptions {
    /// Requests that may wait for an upstream.
    pub queue_limit: u32,
    /// The share of first tries that may be tried again.
    pub retry_share: f64,
    /// What messages between daemons may cost, in bytes a second.
    pub control_bytes_per_s: u64,
    /// Link rates for plans.
    pub estimate: Estimate,
    /// How upstreams are chosen.
    pub choice: RouteChoice,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A model or adapter.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
}

/// A request as the reducer sees it; the driver keeps its body.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its identity.
    pub request: RequestId,
    /// What it is made of: the same for each try of its caller.
    pub digest: RequestDigest,
    /// What it asks for.
    pub target: Target,
    /// Who pays.
    pub workspace: WorkspaceId,
    /// A digest of the start of the prompt.
    pub prefix: u64,
    /// When it must have been answered.
    pub deadline: Millis,
    /// How long it may wait for an upstream, in milliseconds. Beyond that its first token would
    /// come too late, and its place goes to one that can still be on time.
    pub max_wait: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Higher goes first.
    pub priority: u8,
    /// Under this key it may run once only.
    pub key: Option<String>,
}

/// One try of a request. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The number of the try, from one.
    pub number: u32,
}

/// How a try failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why; its `ran` says whether the upstream may have run it.
    pub code: Code,
    /// The load reported with it.
    pub load: Option<Load>,
    /// When the upstream may be asked again, in milliseconds; zero where nobody said.
    pub retry_after_ms: u64,
}

/// What happens to an entry.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// Something of the shared state.
    Control(ControlEvent),
    /// Something of a change.
    Change(ChangeEvent),
    /// A request arrived.
    Arrived(Box<Arrival>),
    /// A claim was settled.
    ClaimSettled {
        /// The request.
        request: RequestId,
        /// What became of it.
        state: ClaimState,
    },
    /// The upstream began to answer and the answer goes to the caller.
    Started(AttemptId),
    /// The answer is whole.
    Ended {
        /// The try.
        attempt: AttemptId,
        /// The load reported with it.
        load: Load,
    },
    /// A try failed.
    Failed {
        /// The try.
        attempt: AttemptId,
        /// How.
        failure: Failure,
    },
    /// The caller went away.
    CallerGone(RequestId),
    /// A planned stop.
    Stop,
    /// Time passed.
    Tick,
}

/// What an entry does.
#[derive(Clone, Debug)]
pub enum EntryEffect {
    /// Something about the shared state.
    Control(ControlEffect),
    /// Something about a change.
    Change(ChangeEffect),
    /// Take the claim for a request's key.
    Claim {
        /// The request.
        request: RequestId,
        /// Whose key it is.
        workspace: WorkspaceId,
        /// The key.
        key: String,
    },
    /// Give the claim back: the request was certainly not run.
    Release {
        /// The request that holds it.
        request: RequestId,
        /// Whose key it is.
        workspace: WorkspaceId,
        /// The key.
        key: String,
    },
    /// End a request with the answer that an earlier one got under the same key.
    Replay {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Box<SavedAnswer>,
    },
    /// Send a try to an agent.
    Send {
        /// The try.
        attempt: AttemptId,
        /// The agent.
        agent: InstanceId,
        /// Where it listens.
        address: SocketAddr,
        /// Milliseconds left.
        budget_ms: u64,
    },
    /// End a request with a code.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        error: Error,
    },
    /// Stop a try whose caller went away.
    Cancel(AttemptId),
    /// Count a retry.
    CountRetry(Code),
    /// Log what is known of a request that upstreams crashed under.
    Crash(CrashNews),
    /// Nothing is in progress any more.
    Drained,
}
