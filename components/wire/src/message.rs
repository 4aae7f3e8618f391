//! The messages of the protocol. Bulk data is sent as the payload of a frame and not as part of a message.

use std::net::SocketAddr;

use errors::Code;
use fleet::{
    Bitmap, Incarnation, InstanceId, Location, ModelName, Process, RequestId, Revision, Role,
    VersionId, WorkspaceId,
};
use quarantine::CrashList;
use serde::{Deserialize, Serialize};

/// The load of an agent, which it reports with each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of requests in progress.
    pub running: u32,
    /// The number of requests that the upstream handles at the same time.
    pub limit: u32,
    /// The number of chunks in the upload queue.
    pub uploads: u32,
}

/// A request that an entry forwards to an agent. Its body is the payload of the frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The id of the request.
    pub request: RequestId,
    /// The requested model; absent for a plain service.
    pub model: Option<ModelName>,
    /// The version that the entry selected; an agent that serves another one rejects the call.
    pub version: Option<VersionId>,
    /// The workspace that is charged for the request.
    pub workspace: WorkspaceId,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The content type of the body.
    pub content_type: String,
    /// The time between the sending of the call and its deadline, in milliseconds.
    pub budget_ms: u64,
    /// The priority in the engine; higher values are scheduled first.
    pub priority: u8,
    /// The idempotency key; of all requests with the same key only one may run.
    pub idempotency_key: Option<String>,
    /// Whether the caller asked for a streamed answer.
    pub stream: bool,
}

/// A message over TCP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The first message of the side that opened the connection. Larger messages are rejected before it.
    Hello {
        /// The id of the sender.
        from: InstanceId,
    },
    /// Requests the configuration.
    GetConfiguration,
    /// The configuration, in the payload.
    Configuration {
        /// The revision of the configuration.
        revision: Revision,
    },
    /// Requests a manifest.
    GetManifest {
        /// The version that the manifest describes.
        version: VersionId,
    },
    /// A manifest, in the payload.
    Manifest,
    /// Requests the fetch progress of a version.
    GetProgress {
        /// The version.
        version: VersionId,
    },
    /// The fetch progress of a version.
    Progress {
        /// The number of chunks that the sender holds.
        held: u32,
        /// The number of chunks of the version; zero if the sender does not know the version.
        chunks: u32,
    },
    /// Requests a chunk.
    GetChunk {
        /// The version.
        version: VersionId,
        /// The index of the chunk.
        index: u32,
        /// The chunks that the requesting side holds, so that both sides know each other's chunks.
        have: Bitmap,
    },
    /// A chunk, in the payload.
    Chunk {
        /// The index of the chunk.
        index: u32,
        /// The chunks that the sender holds.
        have: Bitmap,
        /// The number of chunks in the upload queue of the sender.
        uploads: u32,
    },
    /// Rejects any request.
    Refused {
        /// The reason.
        code: Code,
        /// The time after which to retry, in milliseconds; zero if unknown.
        retry_after_ms: u64,
        /// The load of the sender when it rejected the request.
        load: Load,
    },
    /// A request to the upstream, with its body in the payload.
    Call(Call),
    /// The head of the answer of the upstream.
    AnswerHead {
        /// The id of the request.
        request: RequestId,
        /// The HTTP status.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The version that produced the answer.
        version: Option<VersionId>,
    },
    /// A part of the body of the answer, in the payload.
    AnswerPart {
        /// The id of the request.
        request: RequestId,
    },
    /// Marks the end of a complete answer.
    AnswerEnd {
        /// The id of the request.
        request: RequestId,
        /// The total length of all parts, in bytes.
        bytes: u64,
        /// The current load of the upstream.
        load: Load,
    },
    /// No answer will follow, or the rest of the answer will not follow.
    AnswerFailed {
        /// The id of the request.
        request: RequestId,
        /// The reason; [`Code::ran`] tells whether the upstream may have run the request.
        code: Code,
        /// The current load of the upstream.
        load: Load,
    },
    /// Stands for a received message that this build cannot decode, such as one from a newer build. Never sent.
    #[serde(skip)]
    Unreadable,
}

/// The state of a daemon in the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The daemon responds to probes.
    Alive,
    /// The daemon did not respond to a probe of some other daemon, and no message from it has arrived since.
    Suspect,
    /// The daemon accepts no new work and will exit.
    Leaving,
    /// The daemon is considered to have exited.
    Dead,
}

/// A version that is loaded in the engine of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Serving {
    /// The name of the model.
    pub model: ModelName,
    /// The loaded version.
    pub version: VersionId,
    /// The role in which the engine serves it.
    pub role: Role,
}

/// The short form of a [`Serving`], as exchanged between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingTag {
    /// The first bytes of the digest of the name of the model.
    model: [u8; 4],
    /// The first bytes of the version id.
    version: [u8; 8],
    /// The role in which the engine serves it.
    pub role: Role,
}

impl ServingTag {
    /// Computes the short form.
    pub fn of(serving: &Serving) -> Self {
        Self {
            model: model_tag(&serving.model),
            version: version_tag(serving.version),
            role: serving.role,
        }
    }

    /// Whether the served version belongs to the model.
    pub fn is_model(&self, model: &ModelName) -> bool {
        self.model == model_tag(model)
    }

    /// Whether the served version is the given one.
    pub fn is_version(&self, version: VersionId) -> bool {
        self.version == version_tag(version)
    }

    /// The first bytes of the version id in hexadecimal, for display.
    pub fn short_version(&self) -> String {
        self.version[..4].iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

fn model_tag(model: &ModelName) -> [u8; 4] {
    first_bytes_of(blake3::hash(model.0.as_bytes()).as_bytes())
}

fn version_tag(version: VersionId) -> [u8; 8] {
    first_bytes_of(&version.0)
}

fn first_bytes_of<const N: usize>(digest: &[u8; 32]) -> [u8; N] {
    let mut first_bytes = [0; N];
    first_bytes.copy_from_slice(&digest[..N]);
    first_bytes
}

/// The state of one daemon as others know it. Of two records of a daemon, the one with the higher incarnation replaces
/// the other; if these are equal, the one with the higher serial number; if these are equal too, the one with the later
/// state in the order of [`MemberState`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The id of the instance.
    pub id: InstanceId,
    /// Identifies the incarnation of the daemon; it changes with each start.
    pub incarnation: Incarnation,
    /// Increases with every change that the daemon makes to its own record.
    pub serial: u64,
    /// The state of the daemon.
    pub state: MemberState,
    /// The region and data hall of the instance.
    pub place: Location,
    /// The kind of process that runs on the instance.
    pub process: Process,
    /// The address on which it accepts messages from other daemons.
    pub address: SocketAddr,
    /// The versions that its engine serves.
    pub serving: Vec<ServingTag>,
}

/// A membership record as it is sent to other daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberNews {
    /// The record of a daemon that is in the instance list of the platform. Only the fields that change are sent.
    Listed {
        /// The first bytes of the digest of the name of the instance.
        tag: [u8; 8],
        /// Identifies the incarnation of the daemon.
        incarnation: Incarnation,
        /// Increases with every change of the record.
        serial: u64,
        /// The state of the daemon.
        state: MemberState,
        /// The versions that its engine serves.
        serving: Vec<ServingTag>,
    },
    /// The complete record of a daemon that may not be in the instance list yet.
    Whole(Box<MemberRecord>),
}

impl MemberNews {
    /// Builds the short form of a record.
    pub fn listed(record: &MemberRecord) -> Self {
        Self::Listed {
            tag: Self::tag_of(&record.id),
            incarnation: record.incarnation,
            serial: record.serial,
            state: record.state,
            serving: record.serving.clone(),
        }
    }

    /// The tag that replaces the name of an instance in the short form.
    pub fn tag_of(id: &InstanceId) -> [u8; 8] {
        first_bytes_of(blake3::hash(id.0.as_bytes()).as_bytes())
    }
}

/// The purpose of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DatagramBody {
    /// Probes a daemon, which responds with an [`Ack`](Self::Ack).
    Ping {
        /// A value that the acknowledgement repeats.
        nonce: u64,
    },
    /// Acknowledges a ping.
    Ack {
        /// The nonce of the ping.
        nonce: u64,
    },
    /// Asks the receiver to ping a daemon that did not respond to the sender.
    PingFor {
        /// The daemon to ping.
        target: InstanceId,
    },
    /// Carries only membership records and expects no response.
    News,
    /// Advertises the chunks of a version that the sender holds.
    Summary {
        /// The version.
        version: VersionId,
        /// The chunks that the sender holds.
        have: Bitmap,
    },
    /// Reports to another entry the requests during which upstreams crashed.
    Crashes(CrashList),
}

/// A datagram between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The id of the sender.
    pub from: InstanceId,
    /// Identifies the incarnation of the sender.
    pub incarnation: Incarnation,
    /// The revision of the configuration that the sender has applied.
    pub revision: Revision,
    /// The purpose.
    pub body: DatagramBody,
    /// Membership records of any daemons.
    pub news: Vec<MemberNews>,
}
