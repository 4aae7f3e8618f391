//! What happens to a sidecar and what it does.

use std::net::SocketAddr;
use std::sync::Arc;

use errors::Code;
use fleet::{
    Ablation, Bitmap, EvacuationChange, EvacuationList, InstanceId, LifeChange, LifeWord, Manifest,
    Millis, ModelName, Place, Rate, RateWord, ToldLimit,
};
use reducer::{Draw, DrawSource};
use serde::{Deserialize, Serialize};

use crate::cold::{ColdLimit, ColdPlan};
use crate::questions::{Question, Verdict};

/// Numbers that a sidecar works with.
#[derive(Clone, Debug)]
pub struct RolloutOptions {
    /// The name of this sidecar among the others.
    pub me: InstanceId,
    /// Where it stands.
    pub place: Place,
    /// Its link, in bytes a second.
    pub link_bytes_per_s: u64,
    /// What control messages may cost, in bytes a second.
    pub control_bytes_per_s: u64,
    /// Within how many milliseconds a named version must be served.
    pub version_ms: u64,
    /// Within how many milliseconds nothing is sent to a hall that is evacuated. `None` where halls are not
    /// evacuated.
    pub evacuate_ms: Option<u64>,
    /// How much a cold runner gets at most. `None` where runners do not start cold.
    pub cold: Option<ColdLimit>,
    /// Mechanisms that are switched off for a measurement.
    pub ablation: Ablation,
}

/// What the configuration says of the weights of this runner's service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightsPlan {
    /// The model.
    pub model: ModelName,
    /// How long the runner takes to start a whole version, in milliseconds.
    pub warm_ms: u64,
    /// The origin's link, in bytes a second.
    pub origin_bytes_per_s: u64,
    /// Requests that the runner works on at once.
    pub slots: u32,
    /// Prompt tokens that the runner reads in a millisecond.
    pub prompt_tokens_per_ms: f64,
    /// How the runner starts cold, if it does.
    pub cold: Option<ColdPlan>,
}

/// A sidecar beside a runner of the same service.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Its name.
    pub id: InstanceId,
    /// Where it stands.
    pub place: Place,
    /// Where it listens.
    pub address: SocketAddr,
    /// The version that its runner serves, by the list of runners.
    pub version: Option<u64>,
}

/// What the runner says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerStatus {
    /// When it started, in milliseconds of Unix time, where it tells that.
    pub born: Option<u64>,
    /// Orders that it has taken since it started.
    pub sequence: u64,
    /// Whether it is taking an order now.
    pub busy: bool,
    /// Requests that it works on, and those that wait there.
    pub running: u32,
    /// Those of them that wait.
    pub waiting: u32,
    /// The version of which it holds every layer. `None` if it holds none or a mixture.
    pub version: Option<u64>,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The runner took it, or holds the version already.
    Taken,
    /// The runner refused it, for its state is another one than thought.
    Refused,
    /// No answer came: it may have been taken.
    Unanswered,
}

/// What happens to a sidecar.
#[derive(Clone, Debug)]
pub enum Event {
    /// Bounds have changed.
    Bounded {
        /// Within how many milliseconds a named version must be served.
        version_ms: u64,
        /// Within how many nothing is sent to a hall that is evacuated.
        evacuate_ms: Option<u64>,
    },
    /// How much a cold runner gets at most has changed.
    ColdBounded(Option<ColdLimit>),
    /// The configuration says this of the weights.
    Planned(WeightsPlan),
    /// This version should be served.
    Named {
        /// The version.
        version: u64,
        /// The earliest moment that somebody knows it to have been named at. `None` where nobody told.
        named_at: Option<Millis>,
        /// What the store's clock showed, in milliseconds, when it had not been named yet, where that moment is by it.
        after_ms: Option<u64>,
    },
    /// Every version that was named before now has been told of.
    VersionsKnown,
    /// The runner said this of itself.
    Status(RunnerStatus),
    /// The process goes on after it stood still, for a while in which it heard nothing.
    Woke,
    /// Whether the runner says that it is leaving, where that has changed.
    RunnerLeaves(bool),
    /// What the runner's report says of a rate limit, and when the report was asked for.
    LimitReported(Millis, RateWord),
    /// What a gateway heard of the runner's rate limit.
    LimitTold(ToldLimit),
    /// By the list of runners the runner is cold for so many milliseconds more.
    ColdFor(u64),
    /// The runner does not answer.
    Silent,
    /// The manifest of a version arrived.
    Described(u64, Arc<Manifest>),
    /// The manifest of a version did not arrive.
    Undescribed(u64),
    /// These chunks of a version lie at the runner, verified.
    Found(u64, Bitmap),
    /// A chunk arrived; `verified` tells whether its digest is right.
    Arrived {
        /// The version.
        version: u64,
        /// The chunk.
        index: u32,
        /// From where.
        source: DrawSource,
        /// Whether its digest is right.
        verified: bool,
    },
    /// A chunk did not arrive.
    Missed {
        /// The version.
        version: u64,
        /// The chunk.
        index: u32,
        /// From where.
        source: DrawSource,
        /// Why.
        code: Code,
    },
    /// Every chunk of a version was put at the runner just now; or not.
    Staged(u64, bool),
    /// What became of an order for a version.
    Ordered(u64, OrderOutcome),
    /// Who receives or holds weights of the same model.
    Peers(Vec<Peer>),
    /// A sidecar that a chunk came from holds these chunks.
    Holdings {
        /// Who.
        of: InstanceId,
        /// The version.
        version: u64,
        /// The chunks.
        have: Bitmap,
    },
    /// Another sidecar holds these chunks of a version.
    Summary {
        /// Who.
        from: InstanceId,
        /// Where it listens.
        address: SocketAddr,
        /// Where it stands.
        place: Place,
        /// The version.
        version: u64,
        /// The chunks.
        have: Bitmap,
    },
    /// Another sidecar gave its runner an order.
    PeerOrdered,
    /// Another sidecar remembers that this one gave the last order, in an earlier life.
    GaveLastOrder,
    /// These data halls are evacuated, as a gateway says.
    Evacuations(EvacuationList),
    /// A gateway asks for a place at the runner.
    Asked(Question),
    /// Time passed.
    Tick,
}

/// Where a manifest is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ManifestSource {
    /// At the origin of weights, which takes few connections.
    Origin,
    /// At the sidecar that listens here.
    Peer(SocketAddr),
}

/// What a sidecar does.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Ask for the manifest of a version.
    Describe(u64, ManifestSource),
    /// Read and verify what lies at the runner.
    Find(u64),
    /// Draw a chunk of a version.
    Draw(u64, Draw),
    /// Tell another sidecar which chunks of a version are held.
    Summarize {
        /// Whom.
        to: SocketAddr,
        /// The version.
        version: u64,
        /// The chunks.
        have: Bitmap,
    },
    /// Log that the runner has started anew, or that its word is not of the life that is known.
    Life(LifeChange, LifeWord),
    /// Log that the runner's rate limit has changed. `None`: it has ended.
    Limit(Option<Rate>),
    /// Answer a gateway's question for a place.
    Answer(Question, Verdict),
    /// Log that a data hall is evacuated or taken back, and tell gateways how the runner stands.
    Evacuation(EvacuationChange),
    /// Put every chunk of a version at the runner.
    Stage(u64),
    /// Order the runner to give up all but a part of a version, so that no request can begin on it.
    Retire {
        /// The version that it holds.
        version: u64,
        /// The number of orders that the runner is expected to have taken.
        sequence: u64,
    },
    /// Order the runner to take a version.
    Order {
        /// The version.
        version: u64,
        /// The number of orders that the runner is expected to have taken.
        sequence: u64,
        /// Whether what runs is cut off. Otherwise it ends first.
        cut: bool,
    },
}
