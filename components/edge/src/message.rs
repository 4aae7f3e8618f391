//! Messages between gateways and sidecars.

use std::net::{IpAddr, SocketAddr};

use errors::{Code, Error, Result};
use fleet::{
    Bitmap, EvacuationList, Hall, InstanceId, Manifest, NamedVersion, Place, ServiceName, ToldLimit,
};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use gateway::{Catalog, GatewayList, LifeLimit, RunnerLoad, Service};
use quarantine::CrashList;
use rollout::{ColdPlan, WeightsPlan};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The largest frame over TCP, in bytes.
const MAX_FRAME_BYTES: u32 = 4 << 20;

/// A datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A gateway wants to hear of the load of the runner beside the receiver.
    Subscribe {
        /// Where the gateway stands: those in the receiver's data hall hear of the load more often.
        hall: Hall,
        /// The versions that the gateway knows to be named: a sidecar that does not reach the store
        /// hears of them here.
        named: Vec<NamedVersion>,
        /// What its configuration says of the weights of each model service. Empty until the gateway
        /// has read it.
        services: Vec<WeightsService>,
        /// The data halls that are evacuated.
        evacuations: EvacuationList,
        /// How much longer the runner beside the receiver is cold by the list, in milliseconds. Zero only from
        /// a gateway that hears the store; `None` where nobody can tell, or runners do not start cold.
        cold_ms: Option<u32>,
        /// Requests that runners crashed under: what changed lately, and one more.
        crashes: CrashList,
        /// Whether the gateway wants to know the gateways that the receiver hears.
        wants_gateways: bool,
        /// Rate limits of runners that the gateway knows of. They ride behind the message.
        #[serde(skip)]
        limits: Vec<LifeLimit>,
        /// What the store's clock shows as this is sent, in milliseconds, as far as the sender knows. It rides behind the
        /// message.
        #[serde(skip)]
        clock_ms: Option<u64>,
    },
    /// The gateways that the sender hears.
    Gateways(GatewayList),
    /// The requests that two runners or more crashed under, for whoever wants to know the gateways: both are what one
    /// that has just started lacks, and they fill a datagram each.
    Crashes {
        /// The requests.
        crashes: CrashList,
        /// Rate limits of runners that gateways heard of. They ride behind the message.
        #[serde(skip)]
        limits: Vec<LifeLimit>,
    },
    /// The load of the runner beside the sender.
    Load {
        /// Where the runner listens.
        runner: SocketAddr,
        /// Its load.
        load: RunnerLoad,
        /// The data halls that are evacuated: a gateway that the store refuses hears of them here.
        evacuations: EvacuationList,
        /// Requests that two runners or more crashed under, where that changed lately.
        crashes: CrashList,
        /// What the store's clock shows as this is sent, in milliseconds, where a version that is named is dated by it. It
        /// rides behind the message.
        #[serde(skip)]
        clock_ms: Option<u64>,
    },
    /// A gateway wants to send a request to the runner beside the receiver.
    Reserve {
        /// Names the question.
        question: u64,
        /// The request, by the id that its caller gave it, for the log.
        request: String,
        /// Tokens of the request's prompt.
        prompt_tokens: u32,
        /// The rank of the request; zero goes first.
        rank: u8,
        /// What is left of the request's aim, in milliseconds. Zero for a later try of a caller that was refused.
        left_ms: u32,
        /// How long the question may wait for a place, in milliseconds.
        wait_ms: u64,
        /// What the gateway heard of the runner's rate limit, lately. It rides behind the message.
        #[serde(skip)]
        limit: Option<ToldLimit>,
    },
    /// The answer to a question for a place.
    Reserved {
        /// The question.
        question: u64,
        /// The answer.
        reply: Reply,
        /// The load of the runner, with the place that was given. `None` before its first report.
        load: Option<RunnerLoad>,
        /// The data halls that are evacuated.
        evacuations: EvacuationList,
        /// The rate limit that the sidecar keeps the runner's places to. It rides behind the message: `None` also from
        /// a sidecar that keeps to none.
        #[serde(skip)]
        limit: Option<ToldLimit>,
    },
    /// A sidecar wants to know the other sidecars of its service.
    WantSidecars {
        /// Names the question.
        question: u64,
        /// The service.
        service: ServiceName,
    },
    /// A part of the answer to that.
    Sidecars(SidecarsPart),
    /// The sender has just given its runner an order.
    Ordered,
    /// A sidecar that has just started asks who gave the last order.
    WhoOrdered,
    /// The receiver gave the last order that the sender knows of.
    YouOrderedLast,
    /// The sender holds these chunks of a version.
    Summary {
        /// Who.
        from: InstanceId,
        /// Where it stands.
        place: Place,
        /// The version.
        version: u64,
        /// The chunks.
        have: Bitmap,
    },
}

impl Datagram {
    /// The list of evacuations in it.
    pub fn evacuations(&self) -> Option<&EvacuationList> {
        match self {
            Self::Subscribe { evacuations, .. }
            | Self::Load { evacuations, .. }
            | Self::Reserved { evacuations, .. } => Some(evacuations),
            _ => None,
        }
    }

    /// The list of evacuations in it, to change it.
    pub fn evacuations_mut(&mut self) -> Option<&mut EvacuationList> {
        match self {
            Self::Subscribe { evacuations, .. }
            | Self::Load { evacuations, .. }
            | Self::Reserved { evacuations, .. } => Some(evacuations),
            _ => None,
        }
    }
}

impl Datagram {
    /// How long places have been short at a runner that has none, in milliseconds, as its sidecar tells.
    pub fn short_ms(&self) -> Option<u32> {
        match self {
            Self::Reserved { reply: Reply::Denied { short_ms, .. }, .. } => *short_ms,
            _ => None,
        }
    }

    /// Takes that in.
    pub fn set_short_ms(&mut self, told: Option<u32>) {
        if let Self::Reserved { reply: Reply::Denied { short_ms, .. }, .. } = self {
            *short_ms = told;
        }
    }
}

impl Datagram {
    /// What it tells of the rate limit of the runner beside the sidecar.
    pub fn limit(&self) -> Option<ToldLimit> {
        match self {
            Self::Reserve { limit, .. } | Self::Reserved { limit, .. } => *limit,
            _ => None,
        }
    }

    /// Takes that in.
    pub fn set_limit(&mut self, told: Option<ToldLimit>) {
        if let Self::Reserve { limit, .. } | Self::Reserved { limit, .. } = self {
            *limit = told;
        }
    }
}

impl Datagram {
    /// What it tells of the rate limits of runners.
    pub fn limits(&self) -> &[LifeLimit] {
        match self {
            Self::Subscribe { limits, .. } | Self::Crashes { limits, .. } => limits,
            _ => &[],
        }
    }

    /// Takes that in.
    pub fn set_limits(&mut self, told: Vec<LifeLimit>) {
        if let Self::Subscribe { limits, .. } | Self::Crashes { limits, .. } = self {
            *limits = told;
        }
    }
}

/// When the versions in a datagram were named, by the store's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionDates {
    /// What the clock shows as the datagram is sent, in milliseconds.
    pub clock_ms: u64,
    /// What it showed when each version had not been named yet, in milliseconds, in the datagram's order. `None` where the
    /// store did not tell.
    pub after_ms: Vec<Option<u64>>,
}

impl Datagram {
    /// When the versions in it were named.
    pub fn version_dates(&self) -> Option<VersionDates> {
        match self {
            Self::Subscribe { clock_ms, named, .. } => {
                let after_ms = named.iter().map(|it| it.after_ms).collect();
                Some(VersionDates { clock_ms: (*clock_ms)?, after_ms })
            }
            Self::Load { clock_ms, load, .. } => {
                let after_ms = load.named.iter().map(|it| it.after_ms).collect();
                Some(VersionDates { clock_ms: (*clock_ms)?, after_ms })
            }
            _ => None,
        }
    }

    /// Takes that in.
    pub fn set_version_dates(&mut self, told: Option<VersionDates>) {
        let (VersionDates { clock_ms: told_ms, after_ms }, clock_ms, named) = match (told, self) {
            (Some(told), Self::Subscribe { clock_ms, named, .. }) => {
                (told, clock_ms, named.as_mut_slice())
            }
            (Some(told), Self::Load { clock_ms, load, .. }) => {
                (told, clock_ms, load.named.as_mut_slice())
            }
            _ => return,
        };
        *clock_ms = Some(told_ms);
        named.iter_mut().zip(after_ms).for_each(|(version, after_ms)| version.after_ms = after_ms);
    }
}

/// A part of a gateway's answer to a sidecar that wants to know the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SidecarsPart {
    /// The question.
    pub question: u64,
    /// Which part this is, from zero.
    pub part: u32,
    /// How many parts the answer has.
    pub parts: u32,
    /// Whether the gateway hears the store, so that the list is the present one.
    pub fresh: bool,
    /// The data hall of the sidecars in this part.
    pub hall: Hall,
    /// The sidecars.
    pub sidecars: Vec<ListedSidecar>,
}

/// The number of parts of an answer that has yet to be known. An older receiver waits for the rest and asks again.
const UNKNOWN_PARTS: u32 = u32::MAX;

impl SidecarsPart {
    /// The answer of a gateway that starts and does not know the sidecars yet.
    pub fn pending(question: u64, hall: Hall) -> Self {
        Self { question, part: 0, parts: UNKNOWN_PARTS, fresh: false, hall, sidecars: Vec::new() }
    }

    /// Whether the gateway does not know the sidecars yet.
    pub fn is_pending(&self) -> bool {
        self.parts == UNKNOWN_PARTS
    }
}

/// A sidecar, as the list of runners has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedSidecar {
    /// Its machine.
    pub machine: IpAddr,
    /// The version of which its runner holds every layer.
    pub version: Option<u64>,
}

/// What a gateway hears to its question for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request may be sent now.
    Granted,
    /// The question waits. Another answer follows.
    Queued,
    /// The request is not to be sent there.
    Denied {
        /// After how many milliseconds it is worth asking again.
        again_ms: u64,
        /// How long places have been short there, in milliseconds. It rides behind the message: `None` from a sidecar
        /// that does not tell.
        #[serde(skip)]
        short_ms: Option<u32>,
    },
}

/// What the configuration says of the weights of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightsService {
    /// The service.
    pub service: ServiceName,
    /// Where the origin of its weights listens.
    pub origin: SocketAddr,
    /// The number of layers of its model.
    pub layers: u32,
    /// What its sidecars go by.
    pub plan: WeightsPlan,
}

/// The model services of a configuration.
pub fn weights_services(catalog: &Catalog) -> Vec<WeightsService> {
    let Some(origin) = catalog.services().find_map(|it| it.origin.as_ref()) else {
        return Vec::new();
    };
    let of_service = |service: &Service| {
        let engine = service.engine.as_ref()?;
        let plan = WeightsPlan {
            model: engine.model.clone(),
            warm_ms: engine.warm_ms,
            origin_bytes_per_s: origin.bytes_per_s,
            slots: engine.slots,
            prompt_tokens_per_ms: engine.prompt_tokens_per_ms,
            cold: service
                .cold
                .map(|it| ColdPlan { start_ms: it.start_ms, requests_per_s: it.requests_per_s }),
        };
        Some(WeightsService {
            service: service.name.clone(),
            origin: origin.address,
            layers: engine.layers,
            plan,
        })
    };
    catalog.services().filter_map(of_service).collect()
}

/// What a sidecar asks another one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A chunk.
    Chunk(ChunkRequest),
    /// The manifest of a version.
    Manifest {
        /// The version.
        version: u64,
    },
}

/// Asks for a chunk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// The version.
    pub version: u64,
    /// The chunk.
    pub index: u32,
    /// Who asks.
    pub from: InstanceId,
    /// Where it stands.
    pub place: Place,
    /// The chunks that it holds: whoever is asked need not be told apart from this.
    pub have: Bitmap,
}

/// The answer of another sidecar.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The manifest.
    Manifest(Manifest),
    /// The chunk.
    Chunk {
        /// Its bytes.
        bytes: Vec<u8>,
        /// The chunks that the sender holds.
        have: Bitmap,
    },
    /// It is not here.
    Missing,
    /// Too many are being sent already.
    Busy,
}

/// Encodes a message.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(message).expect("a message has no type that cannot be encoded")
}

/// Decodes a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|_| Error::new(Code::BadFrame, "an unreadable message"))
}

/// Writes a message with its length before it.
pub async fn write_frame(
    stream: &mut (impl AsyncWriteExt + Unpin),
    message: &impl Serialize,
) -> Result<()> {
    stream.write_all(&frame(message)).await.map_err(lost)
}

/// A message with its length before it.
pub fn frame(message: &impl Serialize) -> Vec<u8> {
    let body = encode(message);
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    frame.extend_from_slice(&body);
    frame
}

/// Reads a message with its length before it. One that cannot be read is `BadFrame`: it is of a build that says more, and
/// the stream stands behind it.
pub async fn read_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncReadExt + Unpin),
) -> Result<T> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.map_err(lost)?;
    let length = u32::from_le_bytes(length);
    if length > MAX_FRAME_BYTES {
        return Err(Error::new(Code::FrameTooLarge, "a message that is too large"));
    }
    let mut body = vec![0; length as usize];
    stream.read_exact(&mut body).await.map_err(lost)?;
    decode(&body)
}

/// The error of a connection that was lost.
pub fn lost(error: std::io::Error) -> Error {
    Error::new(Code::ConnectionLost, error.to_string())
}

#[cfg(test)]
mod samples;
#[cfg(test)]
mod tests;
