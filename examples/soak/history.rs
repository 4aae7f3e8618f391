//! What happened in a run: what callers saw, what runners ran, and what was done to whom.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A moment of the run, from its start.
pub type Moment = Duration;

/// What a request was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A stream that may be resumed.
    Stream,
    /// A stream under which each runner crashes that begins it, by its number.
    Crash(u64),
    /// A plain request that may be repeated.
    Safe,
    /// A plain request that may not.
    Unsafe,
    /// A plain request that may be repeated, on the route that is bound to one region throughout.
    Bound,
    /// A request on the route that one version of the configuration added and the next one drops.
    Probe(u64),
}

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// No connection came up, so nothing was sent.
    NoConnection,
    /// The connection ended, or nothing came any more, before the head of an answer.
    Lost,
    /// An answer.
    Answer {
        /// Its status.
        status: u16,
        /// Whether its body came whole.
        whole: bool,
        /// Its body.
        body: String,
    },
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// What it was for.
    pub kind: Kind,
    /// The gateway, and which of its processes, counted from zero.
    pub gateway: (usize, u32),
    /// When it was sent and when it had ended.
    pub sent: Moment,
    /// When it had ended.
    pub ended: Moment,
    /// What the caller got.
    pub seen: Seen,
    /// What the answer said of its runner, if it said that the runner leaves.
    pub told: Option<Told>,
    /// The rate limit that the runner named in the answer, if it named one.
    pub limit: Option<NamedLimit>,
}

/// An answer that a gateway handed on said that its runner leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// The runner.
    pub runner: String,
    /// Which of its lives.
    pub life: u64,
    /// When the head of the answer came.
    pub at: Moment,
}

/// A runner named a rate limit: in an answer that a gateway handed on, or while a request reached it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedLimit {
    /// The runner.
    pub runner: String,
    /// Which of its lives.
    pub life: u64,
    /// The limit, as the runner names it.
    pub limit: String,
    /// When that was.
    pub at: Moment,
}

/// A runner turned a request away and asked for rest.
#[derive(Clone, Debug)]
pub struct TurnedAway {
    /// The runner.
    pub runner: String,
    /// Which of its lives.
    pub life: u64,
    /// The request.
    pub request: String,
    /// When that was.
    pub at: Moment,
    /// How long it wants nothing from the gateway that sent the request.
    pub rest: Duration,
}

/// One run of a request at a runner.
#[derive(Clone, Debug)]
pub struct Run {
    /// The runner.
    pub runner: String,
    /// Which of its lives.
    pub life: u64,
    /// Its service.
    pub service: String,
    /// Whose request it was told to be.
    pub tenant: Option<String>,
    /// The version of the runner's weights. Zero where it has none.
    pub version: u64,
    /// Whether it was given the caller's key.
    pub saw_key: bool,
    /// The data hall of the runner.
    pub hall: String,
    /// When it began.
    pub at: Moment,
}

/// Whom something was done to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A gateway's process, or its way to the store.
    Gateway(usize),
    /// A runner, its sidecar or the way to them.
    Runner(usize),
    /// The store.
    Store,
    /// The store, which only takes longer than usual for each call.
    SlowStore,
}

/// Something that was done.
#[derive(Clone, Debug)]
pub struct Harmed {
    /// Whom.
    pub target: Target,
    /// From when.
    pub from: Moment,
    /// Until when.
    pub until: Moment,
}

/// A planned stop of a gateway's process, or one that stood still.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// The gateway.
    pub gateway: usize,
    /// When that was.
    pub at: Moment,
}

/// A runner said that it leaves.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// The runner, by its incarnation.
    pub runner: String,
    /// When the store took that in.
    pub at: Moment,
    /// When it said that it stays, if it did.
    pub until: Option<Moment>,
}

/// A version of the configuration, whose number its own route bears.
#[derive(Clone, Copy, Debug)]
pub struct Configured {
    /// The version.
    pub version: u64,
    /// When it was sent to the store.
    pub sent: Moment,
    /// When the store had taken it.
    pub taken: Moment,
}

/// A version of the weights that was named.
#[derive(Clone, Copy, Debug)]
pub struct Named {
    /// The version.
    pub version: u64,
    /// When the store had taken it.
    pub taken: Moment,
}

/// The homes of the streams, as a configuration has them.
#[derive(Clone, Debug)]
pub struct Homes {
    /// The only data hall in the home regions. `None` where the streams are not bound.
    pub hall: Option<String>,
    /// When the configuration was sent to the store.
    pub sent: Moment,
    /// When the store had taken it.
    pub taken: Moment,
}

/// A data hall that was evacuated.
#[derive(Clone, Debug)]
pub struct Evacuated {
    /// The hall.
    pub hall: String,
    /// When the store had taken that.
    pub at: Moment,
    /// When it was about to be taken back, if it was.
    pub until: Option<Moment>,
}

/// A runner that started cold.
#[derive(Clone, Debug)]
pub struct Cold {
    /// The runner, by its incarnation.
    pub runner: String,
    /// When it started.
    pub from: Moment,
    /// Until when it is cold.
    pub until: Moment,
}

/// Everything.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests, in the order in which they ended.
    pub requests: Vec<Request>,
    /// Runs by request.
    pub runs: BTreeMap<String, Vec<Run>>,
    /// What was done to whom.
    pub harmed: Vec<Harmed>,
    /// Planned stops.
    pub stops: Vec<Stop>,
    /// Gateways that stood still, and when that began.
    pub pauses: Vec<Stop>,
    /// Processes of gateways that ran an earlier build, as requests name them.
    pub old: BTreeSet<(usize, u32)>,
    /// Requests that runners turned away for a time.
    pub turned_away: Vec<TurnedAway>,
    /// Requests that reached runners while they named a rate limit, each with the request's id.
    pub limited: Vec<(String, NamedLimit)>,
    /// Runners that left.
    pub leaving: Vec<Leaving>,
    /// Versions of the configuration, oldest first.
    pub configured: Vec<Configured>,
    /// Versions of the weights, oldest first.
    pub named: Vec<Named>,
    /// The homes of the streams, oldest first.
    pub homes: Vec<Homes>,
    /// Data halls that were evacuated.
    pub evacuated: Vec<Evacuated>,
    /// Runners that started cold.
    pub cold: Vec<Cold>,
    /// Runners that took weights which were not whole or of one version.
    pub mixtures: Vec<String>,
    /// When the last fault had ended.
    pub calm_from: Moment,
}
