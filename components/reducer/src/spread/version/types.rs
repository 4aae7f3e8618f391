//! Settings, inputs and effects of a spread.

use std::net::SocketAddr;

use fleet::{Bitmap, InstanceId, Location, Millis, VersionId};

/// How chunks and sources are selected. Only `Rarest` is meant for production; the others are baselines for
/// comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FetchStrategy {
    /// The least busy source, then the rarest of its chunks; the origin according to its schedule.
    #[default]
    Rarest,
    /// Every receiver fetches every chunk from the origin.
    OriginOnly,
    /// A random chunk from a random source, regardless of load and rarity; the origin according to its
    /// schedule.
    Random,
}

/// Limits on the neighbours that chunks are exchanged with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NeighbourLimits {
    /// Number of neighbours that a receiver selects itself.
    pub chosen: usize,
    /// Number of the selected ones that are in the same hall, if there are as many.
    pub near: usize,
    /// Most neighbours, including those that selected this receiver.
    pub max: usize,
    /// How long a receiver waits for the one ranked before it in its hall before it fetches a chunk from
    /// another hall, in milliseconds. A chunk then enters a hall about once, which suits links between halls
    /// that are narrow or expensive. `None` allows all fetches from other halls.
    pub hall_patience_ms: Option<u64>,
}

impl Default for NeighbourLimits {
    fn default() -> Self {
        Self { chosen: 6, near: 4, max: 12, hall_patience_ms: None }
    }
}

/// Settings of a spread.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpreadOptions {
    /// Number of copies that may be fetched from the origin; each group of halls fetches one.
    pub copies: u32,
    /// Rate of the origin's link, in bytes per second.
    pub origin_bytes_per_s: u64,
    /// Rate of this instance's downlink, in bytes per second.
    pub download_bytes_per_s: u64,
    /// Bandwidth for control messages, in bytes per second.
    pub control_bytes_per_s: u64,
    /// How long a receiver waits for the one ranked before it to fetch from the origin, in milliseconds.
    /// `None` derives it from the time that the whole version takes.
    pub timeout_ms: Option<u64>,
    /// Limits on the neighbours.
    pub reach: NeighbourLimits,
    /// How chunks and sources are selected.
    pub choice: FetchStrategy,
}

/// The part of the origin that the spread of a version may use while another version is being distributed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginShare {
    /// The whole origin.
    Full,
    /// A few chunks, to test whether the origin responds.
    ProbesOnly,
    /// Nothing, because its link carries the other version.
    None,
}

/// The source of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FetchSource {
    /// The origin.
    Origin,
    /// Another daemon.
    Peer(InstanceId, SocketAddr),
}

/// A fetch of a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The version.
    pub version: VersionId,
    /// The chunk.
    pub index: u32,
    /// The source.
    pub source: FetchSource,
    /// When the fetch fails, in the time of the reducer.
    pub deadline: Millis,
    /// Whether the origin is asked although peers report to hold the chunk.
    pub last_resort: bool,
}

/// An action for the driver of a spread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpreadEffect {
    /// Fetch a chunk.
    Fetch(Fetch),
    /// Send a neighbour a summary of the chunks held.
    Summarize {
        /// The address of the neighbour.
        to: SocketAddr,
        /// The chunks that are held.
        have: Bitmap,
    },
}

/// The state of a spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadPhase {
    /// Chunks are missing.
    Fetching,
    /// Every chunk is here and verified.
    Complete,
}

/// A daemon that receives or holds the version.
#[derive(Clone, Debug)]
pub struct Participant {
    /// Its id.
    pub id: InstanceId,
    /// The region and hall.
    pub place: Location,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Whether it is up.
    pub up: bool,
    /// Whether its engine serves the version already.
    pub holds: bool,
}
