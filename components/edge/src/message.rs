//! Messages between gateways and sidecars.

use std::net::{IpAddr, SocketAddr};

use errors::{Code, Error, Result};
use fleet::{
    AnnouncedVersion, Bitmap, EvacuationList, Hall, InstanceId, Location, Manifest, ReportedLimit,
    ServiceName,
};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use gateway::{Catalog, GatewayList, IncarnationLimit, RunnerLoad, Service};
use quarantine::CrashList;
use rollout::{ColdPlan, WeightsPlan};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The largest frame over TCP, in bytes.
const MAX_FRAME_BYTES: u32 = 4 << 20;

/// A message sent as a single UDP datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A gateway subscribes to the load of the receiver's runner.
    Subscribe {
        /// The data hall of the gateway: gateways in the receiver's hall receive the load more often.
        hall: Hall,
        /// The announced versions that the gateway knows: a sidecar that does not reach the store learns them
        /// from this.
        named: Vec<AnnouncedVersion>,
        /// What its configuration says about the weights of each model service. Empty until the gateway has
        /// read it.
        services: Vec<WeightsService>,
        /// The data halls that are evacuated.
        evacuations: EvacuationList,
        /// How much longer the receiver's runner is cold by the runner list, in milliseconds. Zero only from
        /// a gateway that is connected to the store; `None` if it is unknown, or runners do not start cold.
        cold_ms: Option<u32>,
        /// Requests that crashed runners: recent changes, and one more request.
        crashes: CrashList,
        /// Whether the gateway asks for the gateways that the receiver knows.
        wants_gateways: bool,
        /// Rate limits of runners that the gateway knows. Sent as an extension.
        #[serde(skip)]
        limits: Vec<IncarnationLimit>,
        /// The store's clock at the time of sending, in milliseconds, as far as the sender knows it. Sent as
        /// an extension.
        #[serde(skip)]
        clock_ms: Option<u64>,
    },
    /// The gateways that the sender knows.
    Gateways(GatewayList),
    /// The requests that crashed two or more runners, for a gateway that asked for the known gateways: a
    /// gateway that has just started lacks both, and each of them fills a datagram.
    Crashes {
        /// The requests.
        crashes: CrashList,
        /// Rate limits of runners that gateways have received. Sent as an extension.
        #[serde(skip)]
        limits: Vec<IncarnationLimit>,
    },
    /// The load of the sender's runner.
    Load {
        /// The address of the runner.
        runner: SocketAddr,
        /// Its load.
        load: RunnerLoad,
        /// The data halls that are evacuated: a gateway that the store rejects learns them from this.
        evacuations: EvacuationList,
        /// Requests that crashed two or more runners, if that changed lately.
        crashes: CrashList,
        /// The store's clock at the time of sending, in milliseconds, if it dates an announced version. Sent as
        /// an extension.
        #[serde(skip)]
        clock_ms: Option<u64>,
    },
    /// A gateway asks for a slot at the receiver's runner, to send a request to it.
    Reserve {
        /// Identifies the request.
        question: u64,
        /// The request, by the id from its caller, for the log.
        request: String,
        /// The number of tokens of the request's prompt.
        prompt_tokens: u32,
        /// The rank of the request; the lowest is served first.
        rank: u8,
        /// What is left of the request's latency target, in milliseconds. Zero for a retry of a caller that
        /// was refused.
        left_ms: u32,
        /// How long the request may be queued, in milliseconds.
        wait_ms: u64,
        /// The runner's rate limit that the gateway received lately. Sent as an extension.
        #[serde(skip)]
        limit: Option<ReportedLimit>,
        /// How much longer the request may take, in milliseconds, if it is pinned to the runner: were it
        /// aborted there, no other runner could complete it. Sent as an extension: `None` also from a
        /// gateway that does not report it.
        #[serde(skip)]
        pinned_ms: Option<u32>,
    },
    /// The answer to `Reserve`.
    Reserved {
        /// Identifies the request.
        question: u64,
        /// The answer.
        reply: Reply,
        /// The load of the runner, including the granted slot. `None` before its first report.
        load: Option<RunnerLoad>,
        /// The data halls that are evacuated.
        evacuations: EvacuationList,
        /// The rate limit that the sidecar applies to the runner's slots. Sent as an extension: `None` also
        /// if the sidecar applies none.
        #[serde(skip)]
        limit: Option<ReportedLimit>,
    },
    /// A sidecar asks for the other sidecars of its service.
    WantSidecars {
        /// Identifies the request.
        question: u64,
        /// The service.
        service: ServiceName,
    },
    /// A part of the answer to `WantSidecars`.
    Sidecars(SidecarsPart),
    /// The sender has just sent its runner an order.
    Ordered,
    /// A sidecar that has just started asks who sent the last order.
    WhoOrdered,
    /// As far as the sender knows, the receiver sent the last order.
    YouOrderedLast,
    /// The chunks of a version that the sender holds.
    Summary {
        /// The sender.
        from: InstanceId,
        /// Its location.
        place: Location,
        /// The version.
        version: u64,
        /// The chunks.
        have: Bitmap,
    },
    /// A pinned request of the sender has ended at the receiver's runner.
    PinEnded {
        /// The `question` of its `Reserve`.
        question: u64,
    },
}

impl Datagram {
    /// Its list of evacuations.
    pub fn evacuations(&self) -> Option<&EvacuationList> {
        match self {
            Self::Subscribe { evacuations, .. }
            | Self::Load { evacuations, .. }
            | Self::Reserved { evacuations, .. } => Some(evacuations),
            _ => None,
        }
    }

    /// Its list of evacuations, mutably.
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
    /// How long slots have been scarce at a runner that has none free, in milliseconds, as its sidecar
    /// reports.
    pub fn short_ms(&self) -> Option<u32> {
        match self {
            Self::Reserved { reply: Reply::Denied { short_ms, .. }, .. } => *short_ms,
            _ => None,
        }
    }

    /// Sets `short_ms` of a denial.
    pub fn set_short_ms(&mut self, value: Option<u32>) {
        if let Self::Reserved { reply: Reply::Denied { short_ms, .. }, .. } = self {
            *short_ms = value;
        }
    }
}

impl Datagram {
    /// The rate limit of the sidecar's runner in it.
    pub fn limit(&self) -> Option<ReportedLimit> {
        match self {
            Self::Reserve { limit, .. } | Self::Reserved { limit, .. } => *limit,
            _ => None,
        }
    }

    /// Sets the rate limit of the sidecar's runner.
    pub fn set_limit(&mut self, value: Option<ReportedLimit>) {
        if let Self::Reserve { limit, .. } | Self::Reserved { limit, .. } = self {
            *limit = value;
        }
    }
}

impl Datagram {
    /// How much longer its request may take if it is pinned to the runner, in milliseconds.
    pub fn pinned_ms(&self) -> Option<u32> {
        match self {
            Self::Reserve { pinned_ms, .. } => *pinned_ms,
            _ => None,
        }
    }

    /// Sets `pinned_ms` of a reservation.
    pub fn set_pinned_ms(&mut self, value: Option<u32>) {
        if let Self::Reserve { pinned_ms, .. } = self {
            *pinned_ms = value;
        }
    }
}

impl Datagram {
    /// The rate limits of runners in it.
    pub fn limits(&self) -> &[IncarnationLimit] {
        match self {
            Self::Subscribe { limits, .. } | Self::Crashes { limits, .. } => limits,
            _ => &[],
        }
    }

    /// Sets the rate limits of runners.
    pub fn set_limits(&mut self, value: Vec<IncarnationLimit>) {
        if let Self::Subscribe { limits, .. } | Self::Crashes { limits, .. } = self {
            *limits = value;
        }
    }
}

/// The times at which the versions in a datagram were announced, by the store's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionDates {
    /// The clock when the datagram is sent, in milliseconds.
    pub clock_ms: u64,
    /// For each version, in the datagram's order, the clock at a time when it was not yet announced, in
    /// milliseconds. `None` if the store did not send it.
    pub after_ms: Vec<Option<u64>>,
}

impl Datagram {
    /// The times at which its versions were announced.
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

    /// Sets the times at which its versions were announced.
    pub fn set_version_dates(&mut self, dates: Option<VersionDates>) {
        let (VersionDates { clock_ms: sent_clock_ms, after_ms }, clock_ms, named) =
            match (dates, self) {
                (Some(dates), Self::Subscribe { clock_ms, named, .. }) => {
                    (dates, clock_ms, named.as_mut_slice())
                }
                (Some(dates), Self::Load { clock_ms, load, .. }) => {
                    (dates, clock_ms, load.named.as_mut_slice())
                }
                _ => return,
            };
        *clock_ms = Some(sent_clock_ms);
        named.iter_mut().zip(after_ms).for_each(|(version, after_ms)| version.after_ms = after_ms);
    }
}

/// A part of a gateway's answer to a sidecar that asks for the other sidecars.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SidecarsPart {
    /// Identifies the request.
    pub question: u64,
    /// The index of this part.
    pub part: u32,
    /// The number of parts of the answer.
    pub parts: u32,
    /// Whether the gateway is connected to the store, so that the list is current.
    pub fresh: bool,
    /// The data hall of the sidecars in this part.
    pub hall: Hall,
    /// The sidecars.
    pub sidecars: Vec<ListedSidecar>,
}

/// The number of parts of an answer that is not known yet. An older receiver waits for the other parts and
/// then asks again.
const UNKNOWN_PARTS: u32 = u32::MAX;

impl SidecarsPart {
    /// The answer of a starting gateway that does not know the sidecars yet.
    pub fn pending(question: u64, hall: Hall) -> Self {
        Self { question, part: 0, parts: UNKNOWN_PARTS, fresh: false, hall, sidecars: Vec::new() }
    }

    /// Whether the gateway does not know the sidecars yet.
    pub fn is_pending(&self) -> bool {
        self.parts == UNKNOWN_PARTS
    }
}

/// A sidecar in the list of runners.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedSidecar {
    /// The address of its machine.
    pub machine: IpAddr,
    /// The version of which its runner holds every layer.
    pub version: Option<u64>,
}

/// The reply to a gateway's reservation of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request may be sent now.
    Granted,
    /// The request is queued. Another reply follows.
    Queued,
    /// The request must not be sent there.
    Denied {
        /// The time after which it is worth asking again, in milliseconds.
        again_ms: u64,
        /// How long slots have been scarce there, in milliseconds. Sent as an extension: `None` from a
        /// sidecar that does not report it.
        #[serde(skip)]
        short_ms: Option<u32>,
    },
}

/// What the configuration says about the weights of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightsService {
    /// The service.
    pub service: ServiceName,
    /// The address of the origin of its weights.
    pub origin: SocketAddr,
    /// The number of layers of its model.
    pub layers: u32,
    /// The parameters of its sidecars.
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

/// A request of a sidecar to another one.
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

/// A request for a chunk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// The version.
    pub version: u64,
    /// The index of the chunk.
    pub index: u32,
    /// The sender.
    pub from: InstanceId,
    /// Its location.
    pub place: Location,
    /// The chunks that it holds, so that the receiver need not be sent a `Summary` as well.
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
    /// The receiver does not hold it.
    Missing,
    /// The receiver sends too many chunks already.
    Busy,
}

/// Encodes a message.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages can be encoded")
}

/// Decodes a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes).map_err(|_| Error::new(Code::BadFrame, "unreadable message"))
}

/// Writes a message with a length prefix.
pub async fn write_frame(
    stream: &mut (impl AsyncWriteExt + Unpin),
    message: &impl Serialize,
) -> Result<()> {
    stream.write_all(&frame(message)).await.map_err(connection_lost)
}

/// Encodes a message with a length prefix.
pub fn frame(message: &impl Serialize) -> Vec<u8> {
    let body = encode(message);
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    frame.extend_from_slice(&body);
    frame
}

/// Reads a message with a length prefix. An unreadable message is the error `BadFrame`: it is from a build
/// with more message types, and the stream continues after it.
pub async fn read_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncReadExt + Unpin),
) -> Result<T> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.map_err(connection_lost)?;
    let length = u32::from_le_bytes(length);
    if length > MAX_FRAME_BYTES {
        return Err(Error::new(Code::FrameTooLarge, "message is too large"));
    }
    let mut body = vec![0; length as usize];
    stream.read_exact(&mut body).await.map_err(connection_lost)?;
    decode(&body)
}

/// Converts the I/O error of a lost connection.
pub fn connection_lost(error: std::io::Error) -> Error {
    Error::new(Code::ConnectionLost, error.to_string())
}

#[cfg(test)]
mod garbage;
#[cfg(test)]
mod samples;
#[cfg(test)]
mod tests;
