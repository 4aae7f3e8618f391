//! The numbered result codes. `docs/CODES.md` documents the same table.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request that ended with a result code may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ran {
    /// The request was certainly not executed.
    NotRun,
    /// The request may have been executed, completely or in part.
    Unknown,
}

/// A result code. Numbers are stable: a number is never reused for another meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Code {
    /// The request is malformed: its path, headers or body are invalid.
    BadRequest,
    /// No deployment or plain service with this name exists.
    UnknownTarget,
    /// No upstream currently serves the target.
    NoUpstream,
    /// Every upstream is at its concurrency limit and the request queue is full.
    Overloaded,
    /// The request can no longer be completed before its deadline.
    TooLate,
    /// The upstream is leaving and accepts no new requests.
    Leaving,
    /// The upstream does not serve the requested version.
    NotServing,
    /// The process is shutting down and accepts no new requests.
    Stopping,
    /// The workspace has used up its share of the request queue.
    WorkspaceLimit,
    /// No connection to the upstream could be opened; nothing was sent.
    Unreachable,
    /// The table service could not record the claim that this kind of request requires before it is executed.
    ClaimUnavailable,
    /// The headers or the body exceed the size limit.
    TooLarge,
    /// The process does not know yet whether its configuration is up to date.
    NotReady,
    /// A request with this idempotency key was executed before; this one was not executed.
    AlreadyRun,
    /// The first attempt was not executed and the retry budget is exhausted.
    RetryBudget,
    /// No upstream in the request's home regions can execute it.
    NoHome,
    /// The upstream is no longer eligible for the request: it is leaving, its data hall is being evacuated, or the
    /// request's home regions have changed. Nothing was sent.
    Withdrawn,
    /// Every sidecar that was asked denied a reservation to this retry. When capacity is short, first attempts of other
    /// callers take precedence.
    LaterTry,
    /// Several upstreams in a row crashed while they executed this request, whichever process sent it. It is rejected
    /// so that no further upstream crashes.
    Quarantined,
    /// The upstream's response ended before it was complete.
    CutShort,
    /// The upstream did not respond in time.
    TimedOut,
    /// The upstream responded with an error of its own.
    UpstreamFailed,
    /// The connection to the upstream was lost after the request was sent.
    ConnectionLost,
    /// A request with this idempotency key may still be running; the caller may retry later.
    InProgress,
    /// The operator token is missing or invalid.
    Unauthorized,
    /// The intent is malformed or contradicts itself.
    BadIntent,
    /// No plan with this id exists.
    PlanNotFound,
    /// The plan was not confirmed in time.
    PlanExpired,
    /// Another change was committed between the plan and its confirmation.
    RevisionConflict,
    /// The table service is unavailable; nothing was written.
    TableUnavailable,
    /// The table's response was lost, so the outcome of the write is unknown; confirm the same plan again.
    OutcomeUnknown,
    /// Fewer live instances match the intent than it requests.
    NotEnoughInstances,
    /// The change would remove the last live replica of a deployment.
    LastReplica,
    /// No manifest is published for this version.
    UnknownVersion,
    /// No instance with this name is in the instance list.
    UnknownInstance,
    /// A message between daemons could not be decoded.
    BadFrame,
    /// A message between daemons has an invalid authentication code.
    BadAuthentication,
    /// A message between daemons exceeds the size limit.
    FrameTooLarge,
    /// The peer does not have the requested chunk.
    ChunkMissing,
    /// A chunk's digest differs from the manifest.
    ChunkCorrupt,
    /// All upload slots of the peer are in use.
    PeerBusy,
    /// A chunk did not arrive before its deadline.
    PeerStalled,
    /// The epoch of the order is lower than one that was seen before.
    OldEpoch,
    /// The version was replaced by another one while it was being transferred.
    Replaced,
    /// The settings file is invalid.
    BadSettings,
    /// A listening address could not be bound.
    AddressInUse,
    /// An internal error of silverdock.
    Internal,
    /// A platform service did not respond.
    PlatformUnavailable,
    /// A platform service rejected the call because of its rate limit.
    PlatformBusy,
    /// A platform service rejected the call.
    PlatformRefused,
    /// The table row has changed since the state that the write was based on.
    RowChanged,
    /// The platform has no object with this name.
    NotFound,
    /// Every eligible upstream advertises a request rate limit, and that limit is reached.
    RateLimited,
    /// The server sent bytes that are no answer.
    MalformedAnswer,
}

/// The properties of one code.
struct Row {
    code: Code,
    number: u16,
    name: &'static str,
    ran: Ran,
    retry: bool,
    status: u16,
    meaning: &'static str,
}

impl Code {
    /// Returns every code, ordered by number.
    pub fn all() -> impl Iterator<Item = Code> {
        ROWS.iter().map(|row| row.code)
    }

    /// Returns the stable number.
    pub fn number(self) -> u16 {
        self.row().number
    }

    /// Returns the name as it is written to logs and responses.
    pub fn name(self) -> &'static str {
        self.row().name
    }

    /// Returns whether the request may have been executed.
    pub fn ran(self) -> Ran {
        self.row().ran
    }

    /// Returns whether the caller may send the same request again.
    pub fn may_retry(self) -> bool {
        self.row().retry
    }

    /// Returns the HTTP status for the code.
    pub fn status(self) -> u16 {
        self.row().status
    }

    /// Returns a one-sentence description.
    pub fn meaning(self) -> &'static str {
        self.row().meaning
    }

    /// Looks up a code by its number.
    pub fn from_number(number: u16) -> Option<Code> {
        ROWS.iter().find(|row| row.number == number).map(|row| row.code)
    }

    fn row(self) -> &'static Row {
        &ROWS[self as usize]
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}

#[rustfmt::skip]
const ROWS: &[Row] = &[
    Row { code: Code::BadRequest, number: 100, name: "BadRequest", ran: Ran::NotRun, retry: false, status: 400, meaning: "The request could not be read: its path, headers or body are wrong." },
    Row { code: Code::UnknownTarget, number: 101, name: "UnknownTarget", ran: Ran::NotRun, retry: false, status: 404, meaning: "No deployment or plain service of this name exists." },
    Row { code: Code::NoUpstream, number: 102, name: "NoUpstream", ran: Ran::NotRun, retry: true, status: 503, meaning: "No upstream serves the target at the moment." },
    Row { code: Code::Overloaded, number: 103, name: "Overloaded", ran: Ran::NotRun, retry: true, status: 503, meaning: "Every upstream is at its limit and the queue is full." },
    Row { code: Code::TooLate, number: 104, name: "TooLate", ran: Ran::NotRun, retry: true, status: 503, meaning: "The request could no longer be answered before its deadline." },
    Row { code: Code::Leaving, number: 105, name: "Leaving", ran: Ran::NotRun, retry: true, status: 503, meaning: "The upstream is leaving and takes no new work." },
    Row { code: Code::NotServing, number: 106, name: "NotServing", ran: Ran::NotRun, retry: true, status: 503, meaning: "The upstream does not serve the version asked for." },
    Row { code: Code::Stopping, number: 107, name: "Stopping", ran: Ran::NotRun, retry: true, status: 503, meaning: "The process is stopping and takes no new work." },
    Row { code: Code::WorkspaceLimit, number: 108, name: "WorkspaceLimit", ran: Ran::NotRun, retry: true, status: 429, meaning: "The workspace has used up its share." },
    Row { code: Code::Unreachable, number: 109, name: "Unreachable", ran: Ran::NotRun, retry: true, status: 503, meaning: "No connection to the upstream could be made; nothing was sent." },
    Row { code: Code::ClaimUnavailable, number: 110, name: "ClaimUnavailable", ran: Ran::NotRun, retry: true, status: 503, meaning: "The table service could not record the claim that a request of this kind needs." },
    Row { code: Code::TooLarge, number: 111, name: "TooLarge", ran: Ran::NotRun, retry: false, status: 413, meaning: "The head or body is larger than the stated bound." },
    Row { code: Code::NotReady, number: 112, name: "NotReady", ran: Ran::NotRun, retry: true, status: 503, meaning: "The process does not yet know whether its configuration is current." },
    Row { code: Code::AlreadyRun, number: 113, name: "AlreadyRun", ran: Ran::NotRun, retry: false, status: 409, meaning: "A request with this idempotency key was run before; this one was not." },
    Row { code: Code::RetryBudget, number: 114, name: "RetryBudget", ran: Ran::NotRun, retry: true, status: 503, meaning: "The first try did not run and the share of retries is used up." },
    Row { code: Code::NoHome, number: 115, name: "NoHome", ran: Ran::NotRun, retry: true, status: 503, meaning: "No upstream in the request's home regions can run it." },
    Row { code: Code::Withdrawn, number: 116, name: "Withdrawn", ran: Ran::NotRun, retry: true, status: 503, meaning: "The upstream may not take the request any more: it leaves, its data hall is evacuated, or the request's homes have changed." },
    Row { code: Code::LaterTry, number: 117, name: "LaterTry", ran: Ran::NotRun, retry: true, status: 503, meaning: "The sidecars that were asked gave this later try no place. Where places are short, first tries of other callers go before." },
    Row { code: Code::Quarantined, number: 118, name: "Quarantined", ran: Ran::NotRun, retry: false, status: 503, meaning: "Several upstreams in a row crashed under this request or a part of its prompt, whoever tried it. It is refused, so that no further one does." },
    Row { code: Code::CutShort, number: 200, name: "CutShort", ran: Ran::Unknown, retry: false, status: 502, meaning: "The upstream's reply ended before it was whole." },
    Row { code: Code::TimedOut, number: 201, name: "TimedOut", ran: Ran::Unknown, retry: false, status: 504, meaning: "The upstream did not answer in time." },
    Row { code: Code::UpstreamFailed, number: 202, name: "UpstreamFailed", ran: Ran::Unknown, retry: false, status: 502, meaning: "The upstream answered with an error of its own." },
    Row { code: Code::ConnectionLost, number: 203, name: "ConnectionLost", ran: Ran::Unknown, retry: false, status: 502, meaning: "The connection to the upstream was lost after the request was sent." },
    Row { code: Code::InProgress, number: 204, name: "InProgress", ran: Ran::Unknown, retry: true, status: 409, meaning: "A request with this idempotency key may be running; ask again later." },
    Row { code: Code::Unauthorized, number: 300, name: "Unauthorized", ran: Ran::NotRun, retry: false, status: 401, meaning: "The operator token is absent or wrong." },
    Row { code: Code::BadIntent, number: 301, name: "BadIntent", ran: Ran::NotRun, retry: false, status: 400, meaning: "The intent could not be read or contradicts itself." },
    Row { code: Code::PlanNotFound, number: 302, name: "PlanNotFound", ran: Ran::NotRun, retry: false, status: 404, meaning: "No plan of this id exists." },
    Row { code: Code::PlanExpired, number: 303, name: "PlanExpired", ran: Ran::NotRun, retry: false, status: 410, meaning: "The plan was not confirmed in time." },
    Row { code: Code::RevisionConflict, number: 304, name: "RevisionConflict", ran: Ran::NotRun, retry: false, status: 409, meaning: "Another change got in between the plan and its confirmation." },
    Row { code: Code::TableUnavailable, number: 305, name: "TableUnavailable", ran: Ran::NotRun, retry: true, status: 503, meaning: "The table service cannot be asked; nothing was written." },
    Row { code: Code::OutcomeUnknown, number: 306, name: "OutcomeUnknown", ran: Ran::Unknown, retry: true, status: 503, meaning: "The table's answer was lost and could not be settled; confirm the same plan again." },
    Row { code: Code::NotEnoughInstances, number: 307, name: "NotEnoughInstances", ran: Ran::NotRun, retry: false, status: 409, meaning: "Fewer live instances fit the intent than it asks for." },
    Row { code: Code::LastReplica, number: 308, name: "LastReplica", ran: Ran::NotRun, retry: false, status: 409, meaning: "The change would take away the last live replica of a deployment." },
    Row { code: Code::UnknownVersion, number: 309, name: "UnknownVersion", ran: Ran::NotRun, retry: false, status: 404, meaning: "No manifest of this version is published." },
    Row { code: Code::UnknownInstance, number: 310, name: "UnknownInstance", ran: Ran::NotRun, retry: false, status: 404, meaning: "No instance of this name is listed." },
    Row { code: Code::BadFrame, number: 400, name: "BadFrame", ran: Ran::NotRun, retry: false, status: 400, meaning: "A message between daemons could not be read." },
    Row { code: Code::BadAuthentication, number: 401, name: "BadAuthentication", ran: Ran::NotRun, retry: false, status: 401, meaning: "A message between daemons carried a wrong authentication code." },
    Row { code: Code::FrameTooLarge, number: 402, name: "FrameTooLarge", ran: Ran::NotRun, retry: false, status: 413, meaning: "A message between daemons is larger than the stated bound." },
    Row { code: Code::ChunkMissing, number: 403, name: "ChunkMissing", ran: Ran::NotRun, retry: true, status: 404, meaning: "The peer does not hold the chunk it was asked for." },
    Row { code: Code::ChunkCorrupt, number: 404, name: "ChunkCorrupt", ran: Ran::NotRun, retry: true, status: 502, meaning: "A chunk's digest differs from the manifest." },
    Row { code: Code::PeerBusy, number: 405, name: "PeerBusy", ran: Ran::NotRun, retry: true, status: 503, meaning: "The peer's upload slots are all taken." },
    Row { code: Code::PeerStalled, number: 406, name: "PeerStalled", ran: Ran::NotRun, retry: true, status: 504, meaning: "A chunk did not arrive before its deadline." },
    Row { code: Code::OldEpoch, number: 407, name: "OldEpoch", ran: Ran::NotRun, retry: false, status: 409, meaning: "The order's epoch is lower than one already seen." },
    Row { code: Code::Replaced, number: 408, name: "Replaced", ran: Ran::NotRun, retry: false, status: 409, meaning: "The version was replaced while it was in flight." },
    Row { code: Code::BadSettings, number: 500, name: "BadSettings", ran: Ran::NotRun, retry: false, status: 500, meaning: "The settings file has faults." },
    Row { code: Code::AddressInUse, number: 501, name: "AddressInUse", ran: Ran::NotRun, retry: false, status: 500, meaning: "A listening address could not be taken." },
    Row { code: Code::Internal, number: 502, name: "Internal", ran: Ran::Unknown, retry: false, status: 500, meaning: "A fault of silverdock itself." },
    Row { code: Code::PlatformUnavailable, number: 503, name: "PlatformUnavailable", ran: Ran::Unknown, retry: true, status: 503, meaning: "A service of the platform did not answer." },
    Row { code: Code::PlatformBusy, number: 504, name: "PlatformBusy", ran: Ran::NotRun, retry: true, status: 503, meaning: "A service of the platform refused the call by its rate limit." },
    Row { code: Code::PlatformRefused, number: 505, name: "PlatformRefused", ran: Ran::NotRun, retry: false, status: 502, meaning: "A service of the platform refused the call." },
    Row { code: Code::RowChanged, number: 506, name: "RowChanged", ran: Ran::NotRun, retry: false, status: 409, meaning: "The row in the table is not the one the write was based on." },
    Row { code: Code::NotFound, number: 507, name: "NotFound", ran: Ran::NotRun, retry: false, status: 404, meaning: "The platform holds no object of this name." },
    Row { code: Code::RateLimited, number: 600, name: "RateLimited", ran: Ran::NotRun, retry: true, status: 503, meaning: "Every upstream that may run it names a rate of requests that it takes, and has had as many." },
    Row { code: Code::MalformedAnswer, number: 601, name: "MalformedAnswer", ran: Ran::Unknown, retry: false, status: 502, meaning: "The upstream sent bytes that are no answer." },
];

#[cfg(test)]
mod tests;
