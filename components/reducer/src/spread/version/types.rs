//! What a spread is told and what it wants done.

use std::net::SocketAddr;

use fleet::{Bitmap, InstanceId, Millis, Place, VersionId};

/// How chunks and sources are chosen. Only the first is meant for use; the others are the naive
/// versions that it is measured against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Choice {
    /// The least busy source, then the rarest of its chunks; the origin by its timetable.
    #[default]
    Rarest,
    /// Everyone draws everything from the origin.
    OriginOnly,
    /// A chunk and a source picked without looking at load or rarity; the origin by its timetable.
    Random,
}

/// With whom chunks are exchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reach {
    /// Neighbours that a receiver chooses by itself.
    pub chosen: usize,
    /// Of the chosen ones, how many stand in the same hall where there are as many.
    pub near: usize,
    /// Neighbours at most, with those that chose this receiver.
    pub most: usize,
    /// How long a receiver waits for the one before it in rank in its hall before it draws a chunk from
    /// another one, in milliseconds. A chunk then enters a hall about once, which is meant for links between
    /// halls that are narrow or dear. `None`: everyone draws from everywhere.
    pub hall_patience_ms: Option<u64>,
}

impl Default for Reach {
    fn default() -> Self {
        Self { chosen: 6, near: 4, most: 12, hall_patience_ms: None }
    }
}

/// Numbers that a spread works with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpreadOptions {
    /// Copies that may be drawn from the origin; each group of halls draws one.
    pub copies: u32,
    /// The origin's link, in bytes a second.
    pub origin_bytes_per_s: u64,
    /// This instance's link down, in bytes a second.
    pub download_bytes_per_s: u64,
    /// What control messages may cost, in bytes a second.
    pub control_bytes_per_s: u64,
    /// How long a receiver waits for the one before it in rank at the origin, in milliseconds.
    /// `None` derives it from the time that the whole version takes.
    pub patience_ms: Option<u64>,
    /// With whom chunks are exchanged.
    pub reach: Reach,
    /// How chunks and sources are chosen.
    pub choice: Choice,
}

/// How much of the origin the spread of a version may use while it spreads another one too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginShare {
    /// All of it.
    Whole,
    /// A few chunks, to find out whether it works.
    Probes,
    /// Nothing: its link carries the other version.
    Nothing,
}

/// Where a chunk is drawn from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrawSource {
    /// From the origin.
    Origin,
    /// From another daemon.
    Peer(InstanceId, SocketAddr),
}

/// A chunk to draw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draw {
    /// The version.
    pub version: VersionId,
    /// The chunk.
    pub index: u32,
    /// From where.
    pub source: DrawSource,
    /// When to give up, in the reducer's time.
    pub deadline: Millis,
    /// Whether the origin is asked although peers say that they hold the chunk.
    pub last_resort: bool,
}

/// What a spread wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpreadEffect {
    /// Draw a chunk.
    Draw(Draw),
    /// Tell a neighbour which chunks are held.
    Summarize {
        /// Whom.
        to: SocketAddr,
        /// The chunks.
        have: Bitmap,
    },
}

/// How far a spread has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadPhase {
    /// Chunks are missing.
    Drawing,
    /// Every chunk is here and verified.
    Whole,
}

/// A daemon that receives or holds the version.
#[derive(Clone, Debug)]
pub struct Participant {
    /// Its name.
    pub id: InstanceId,
    /// Where it stands.
    pub place: Place,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is up.
    pub up: bool,
    /// Whether its engine serves the version already.
    pub holds: bool,
}
