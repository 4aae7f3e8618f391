//! The messages themselves. The large bodies travel as the payload of a frame, beside these.

use std::net::SocketAddr;

use errors::Code;
use fleet::{
    Bitmap, Incarnation, InstanceId, ModelName, Place, Process, RequestId, Revision, Role,
    VersionId, WorkspaceId,
};
use quarantine::CrashList;
use serde::{Deserialize, Serialize};

/// What an agent says of its own load; it rides back on each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in progress.
    pub running: u32,
    /// Requests the upstream takes at once.
    pub limit: u32,
    /// Chunks waiting in the upload queue.
    pub uploads: u32,
}

/// A call that an entry passes to an agent. The body is the payload of the frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The request's identity.
    pub request: RequestId,
    /// The model asked for; absent for a plain service.
    pub model: Option<ModelName>,
    /// The version the entry chose; the agent refuses any other.
    pub version: Option<VersionId>,
    /// The workspace that pays.
    pub workspace: WorkspaceId,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The type of the body.
    pub content_type: String,
    /// Milliseconds left until the deadline when the entry sent the call.
    pub budget_ms: u64,
    /// Higher goes first in the engine.
    pub priority: u8,
    /// The key under which the request may run once only.
    pub idempotency_key: Option<String>,
    /// Whether the caller asked for a stream.
    pub stream: bool,
}

/// One message over TCP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The dialler's first message; nothing larger is read before it.
    Hello {
        /// Who dials.
        from: InstanceId,
    },
    /// Asks for the whole configuration.
    GetConfiguration,
    /// The whole configuration, in the payload.
    Configuration {
        /// Its revision.
        revision: Revision,
    },
    /// Asks for a manifest.
    GetManifest {
        /// The version it names.
        version: VersionId,
    },
    /// A manifest, in the payload.
    Manifest,
    /// Asks how far the spread of a version has come.
    GetProgress {
        /// The version.
        version: VersionId,
    },
    /// How far a spread has come.
    Progress {
        /// Chunks held.
        held: u32,
        /// Chunks there are; zero if nothing is known of the version.
        chunks: u32,
    },
    /// Asks for a chunk.
    GetChunk {
        /// The version.
        version: VersionId,
        /// The number of the chunk.
        index: u32,
        /// What the asker holds, so that both sides know each other's chunks.
        have: Bitmap,
    },
    /// A chunk, in the payload.
    Chunk {
        /// The number of the chunk.
        index: u32,
        /// What the sender holds.
        have: Bitmap,
        /// Chunks that wait in the sender's upload queue.
        uploads: u32,
    },
    /// A refusal of any request.
    Refused {
        /// Why.
        code: Code,
        /// Milliseconds after which to ask again; zero if unknown.
        retry_after_ms: u64,
        /// The load that led to it.
        load: Load,
    },
    /// A request for the upstream; its body is the payload.
    Call(Call),
    /// The upstream began to answer.
    AnswerHead {
        /// The request answered.
        request: RequestId,
        /// The HTTP status.
        status: u16,
        /// The type of the body.
        content_type: String,
        /// The version that answers.
        version: Option<VersionId>,
    },
    /// A part of the answer's body, in the payload.
    AnswerPart {
        /// The request answered.
        request: RequestId,
    },
    /// The answer is whole.
    AnswerEnd {
        /// The request answered.
        request: RequestId,
        /// The length of all parts together, in bytes.
        bytes: u64,
        /// The load of the upstream now.
        load: Load,
    },
    /// The answer will not become whole.
    AnswerFailed {
        /// The request.
        request: RequestId,
        /// Why; its `ran` says whether the upstream may have run it.
        code: Code,
        /// The load of the upstream now.
        load: Load,
    },
    /// A message of a build that says more than this one. Never sent.
    #[serde(skip)]
    Unreadable,
}

/// What a daemon is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer someone and has not yet been heard again.
    Suspect,
    /// It takes no new work and will exit.
    Leaving,
    /// It is gone.
    Dead,
}

/// A version that an agent's engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Serving {
    /// The model's name.
    pub model: ModelName,
    /// The version that is whole and loaded.
    pub version: VersionId,
    /// What the engine does with it.
    pub role: Role,
}

/// The short form of what an engine serves, as it spreads between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingTag {
    /// The start of the digest of the model's name.
    model: [u8; 4],
    /// The start of the version.
    version: [u8; 8],
    /// What the engine does with it.
    pub role: Role,
}

impl ServingTag {
    /// The short form.
    pub fn of(serving: &Serving) -> Self {
        Self {
            model: model_tag(&serving.model),
            version: version_tag(serving.version),
            role: serving.role,
        }
    }

    /// Whether this is a version of the model.
    pub fn is_model(&self, model: &ModelName) -> bool {
        self.model == model_tag(model)
    }

    /// Whether this is the version.
    pub fn is_version(&self, version: VersionId) -> bool {
        self.version == version_tag(version)
    }

    /// The start of the version, for people.
    pub fn short_version(&self) -> String {
        self.version[..4].iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

fn model_tag(model: &ModelName) -> [u8; 4] {
    start_of(blake3::hash(model.0.as_bytes()).as_bytes())
}

fn version_tag(version: VersionId) -> [u8; 8] {
    start_of(&version.0)
}

fn start_of<const N: usize>(digest: &[u8; 32]) -> [u8; N] {
    let mut start = [0; N];
    start.copy_from_slice(&digest[..N]);
    start
}

/// What is known of one daemon. A higher incarnation wins, then a higher serial number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The instance.
    pub id: InstanceId,
    /// Which run of the daemon.
    pub incarnation: Incarnation,
    /// Rises with every change the daemon makes to its own record.
    pub serial: u64,
    /// What the daemon is doing.
    pub state: MemberState,
    /// Where it stands.
    pub place: Place,
    /// What runs there.
    pub process: Process,
    /// Where it listens for daemons.
    pub address: SocketAddr,
    /// What its engine serves.
    pub serving: Vec<ServingTag>,
}

/// A record on its way between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberNews {
    /// Of a daemon that stands in the platform's list, so that only what changes is sent.
    Listed {
        /// The start of the digest of its name.
        tag: [u8; 8],
        /// Which run of the daemon.
        incarnation: Incarnation,
        /// Rises with every change.
        serial: u64,
        /// What the daemon is doing.
        state: MemberState,
        /// What its engine serves.
        serving: Vec<ServingTag>,
    },
    /// Of a daemon that the list may not name yet.
    Whole(Box<MemberRecord>),
}

impl MemberNews {
    /// The short form of a record.
    pub fn listed(record: &MemberRecord) -> Self {
        Self::Listed {
            tag: Self::tag_of(&record.id),
            incarnation: record.incarnation,
            serial: record.serial,
            state: record.state,
            serving: record.serving.clone(),
        }
    }

    /// What stands for a name in the short form.
    pub fn tag_of(id: &InstanceId) -> [u8; 8] {
        start_of(blake3::hash(id.0.as_bytes()).as_bytes())
    }
}

/// The purpose of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DatagramBody {
    /// Asks for an acknowledgement.
    Ping {
        /// Comes back in the acknowledgement.
        nonce: u64,
    },
    /// Answers a ping.
    Ack {
        /// The ping's nonce.
        nonce: u64,
    },
    /// Asks a third daemon to ping one that did not answer.
    PingFor {
        /// Whom to ping.
        target: InstanceId,
    },
    /// Passes records on without asking for anything.
    News,
    /// Says which chunks of a version the sender holds.
    Summary {
        /// The version.
        version: VersionId,
        /// The chunks held.
        have: Bitmap,
    },
    /// Tells another entry of requests that upstreams crashed under.
    Crashes(CrashList),
}

/// One datagram between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: InstanceId,
    /// Which run of the sender.
    pub incarnation: Incarnation,
    /// The revision the sender applied.
    pub revision: Revision,
    /// The purpose.
    pub body: DatagramBody,
    /// Records passed on.
    pub news: Vec<MemberNews>,
}
