//! The history of a run: what callers received, what runners ran, and which faults were injected.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A point in time, measured from the start of the run.
pub type Moment = Duration;

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A stream that may be resumed.
    Stream,
    /// A stream that may not be resumed.
    OnceStream,
    /// A stream that crashes each runner that starts it, with its number.
    Crash(u64),
    /// A stream with a part of its prompt that crashes each runner that begins to answer it, with the number of the
    /// part. No two are alike.
    CrashPart(u64),
    /// A plain request that may be repeated.
    Safe,
    /// A plain request that may not be repeated.
    Unsafe,
    /// A plain request that may be repeated, on the route that is bound to one region during the whole run.
    Bound,
    /// A stream that may be resumed, on a route with a long timeout, and how long its runner takes, in milliseconds.
    LongStream(u64),
    /// A plain request that may not be repeated, on a route with a long timeout, and how long its runner takes, in
    /// milliseconds.
    LongUnsafe(u64),
    /// A request on the route that this version of the configuration added and the next one removes.
    Probe(u64),
}

impl Kind {
    /// Whether requests of this kind are streams.
    pub fn is_stream(self) -> bool {
        match self {
            Kind::Stream | Kind::OnceStream | Kind::LongStream(_) => true,
            Kind::Crash(_) | Kind::CrashPart(_) => true,
            Kind::Safe | Kind::Unsafe | Kind::Bound | Kind::LongUnsafe(_) | Kind::Probe(_) => false,
        }
    }

    /// Whether requests of this kind may run only once.
    pub fn is_unsafe(self) -> bool {
        matches!(self, Kind::Unsafe | Kind::LongUnsafe(_) | Kind::OnceStream)
    }
}

/// How a request ended on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a complete answer.
    Complete,
    /// The gateway closed the connection.
    Closed,
    /// The connection was reset.
    Reset,
    /// The gateway sent bytes that are not HTTP.
    Invalid,
    /// The body was longer than any that runners send, and the caller stopped reading.
    TooLong,
    /// The caller waited for longer than its deadline and gave up.
    TimedOut,
}

/// The outcome of a request at its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing was sent: the caller could not connect, or it saw its connection closed before it used it.
    NoConnection,
    /// The connection ended or the wait timed out before the head of an answer.
    Lost,
    /// An answer.
    Answer {
        /// Status code.
        status: u16,
        /// Whether the body was received completely.
        whole: bool,
        /// The body without padding.
        body: String,
    },
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request.
    pub id: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Number of the gateway, and number of restarts of its process.
    pub gateway: (usize, u32),
    /// When the request was sent.
    pub sent: Moment,
    /// When the request ended.
    pub ended: Moment,
    /// The outcome.
    pub outcome: Outcome,
    /// How the request ended on its connection.
    pub ending: Ending,
    /// Whether any byte arrived on the connection after the request was sent.
    pub received: bool,
    /// Whether earlier requests were sent on the same connection.
    pub on_kept_connection: bool,
    /// The deadline that the request stated.
    pub deadline: Duration,
    /// The notice in the answer that its runner leaves, if it had one.
    pub leave_notice: Option<LeaveNotice>,
    /// The rate limit that the runner stated in the answer, if any.
    pub limit: Option<LimitNotice>,
}

/// A notice in an answer forwarded by a gateway that the runner leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaveNotice {
    /// Id of the runner.
    pub runner: String,
    /// Incarnation of the runner.
    pub life: u64,
    /// When the head of the answer was received.
    pub at: Moment,
}

/// A rate limit stated by a runner: in an answer that a gateway forwarded, or at the time that a request
/// reached the runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitNotice {
    /// Id of the runner.
    pub runner: String,
    /// Incarnation of the runner.
    pub life: u64,
    /// The text of the limit.
    pub limit: String,
    /// Time of the event.
    pub at: Moment,
}

/// A request that a runner rejected with a backoff.
#[derive(Clone, Debug)]
pub struct TurnedAway {
    /// Id of the runner.
    pub runner: String,
    /// Incarnation of the runner.
    pub life: u64,
    /// The request.
    pub request: String,
    /// Time of the event.
    pub at: Moment,
    /// Rest period during which the gateway that sent the request must send nothing more.
    pub rest: Duration,
}

/// One run of a request at a runner.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the runner.
    pub runner: String,
    /// Incarnation of the runner.
    pub life: u64,
    /// The service of the runner.
    pub service: String,
    /// The workspace named in the request.
    pub tenant: Option<String>,
    /// Version of the runner's weights, or zero without weights.
    pub version: u64,
    /// Whether the request carried the caller's key.
    pub saw_key: bool,
    /// The data hall of the runner.
    pub hall: String,
    /// When the run began.
    pub at: Moment,
    /// When the run ended, if it did.
    pub ended: Option<Moment>,
    /// Whether the runner ended the run early.
    pub broken_off: bool,
}

/// The target of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A gateway process, or its link to the store.
    Gateway(usize),
    /// A runner, its sidecar, or the links to them.
    Runner(usize),
    /// The store.
    Store,
    /// The store, while it is only slower than usual.
    SlowStore,
}

/// The disruption of a target.
#[derive(Clone, Debug)]
pub struct Disruption {
    /// The target.
    pub target: Target,
    /// Beginning of the disruption.
    pub from: Moment,
    /// End of the disruption.
    pub until: Moment,
    /// Whether it was announced to the processes: a stop by SIGTERM and the start after it. Such a disruption is
    /// no reason to lose a request.
    pub planned: bool,
}

/// A period in which callers send requests with a part that crashes runners.
#[derive(Clone, Copy, Debug)]
pub struct PartPeriod {
    /// The number of the part.
    pub number: u64,
    /// Beginning of the period. The disruptions of runners that it causes begin and end with it.
    pub from: Moment,
    /// End of the period.
    pub until: Moment,
}

/// A period of a trouble beside which other requests are served.
#[derive(Clone, Debug)]
pub struct Beside {
    /// The trouble.
    pub what: String,
    /// The runner in trouble. Requests of its service are not checked.
    pub runner: Option<usize>,
    /// Beginning of the period.
    pub from: Moment,
    /// End of the period.
    pub until: Moment,
}

/// What a flood cost a gateway.
#[derive(Clone, Copy, Debug)]
pub struct FloodCost {
    /// The gateway.
    pub gateway: usize,
    /// Beginning of the flood.
    pub from: Moment,
    /// End of the flood.
    pub until: Moment,
    /// The processor time that the gateway used meanwhile.
    pub used: Duration,
}

/// Work that operators did on purpose, for the descriptions of violations.
#[derive(Clone, Debug)]
pub struct PlannedWork {
    /// What was done.
    pub what: String,
    /// When it was done.
    pub at: Moment,
}

/// A planned stop or a pause of a gateway process.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// The gateway.
    pub gateway: usize,
    /// Time of the event.
    pub at: Moment,
}

/// The leave of a runner.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// Id of the runner.
    pub runner: String,
    /// When the store had recorded the leave.
    pub at: Moment,
    /// When the leave ended, if it did.
    pub until: Option<Moment>,
}

/// A version of the configuration. Its own route has the version in its name.
#[derive(Clone, Copy, Debug)]
pub struct ConfigurationChange {
    /// The version.
    pub version: u64,
    /// When it was sent to the store.
    pub sent: Moment,
    /// When the store had recorded it.
    pub taken: Moment,
}

/// A target version of the weights.
#[derive(Clone, Copy, Debug)]
pub struct TargetVersion {
    /// The version.
    pub version: u64,
    /// When the store had recorded it.
    pub taken: Moment,
}

/// The home regions of the streams in a configuration.
#[derive(Clone, Debug)]
pub struct StreamHomes {
    /// The only data hall in the home regions. `None` where the streams are not bound.
    pub hall: Option<String>,
    /// When the configuration was sent to the store.
    pub sent: Moment,
    /// When the store had recorded it.
    pub taken: Moment,
}

/// The evacuation of a data hall.
#[derive(Clone, Debug)]
pub struct Evacuation {
    /// The hall.
    pub hall: String,
    /// When the store had recorded the evacuation.
    pub at: Moment,
    /// When the evacuation was about to be ended, if it was.
    pub until: Option<Moment>,
}

/// A cold start of a runner.
#[derive(Clone, Debug)]
pub struct Cold {
    /// Id of the runner.
    pub runner: String,
    /// When the runner started.
    pub from: Moment,
    /// When the runner stops being cold.
    pub until: Moment,
}

/// The complete history of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests, in the order in which they ended.
    pub requests: Vec<Request>,
    /// Runs, by the id of the request.
    pub runs: BTreeMap<String, Vec<Run>>,
    /// Disruptions by injected faults.
    pub disruptions: Vec<Disruption>,
    /// Periods in which callers sent requests with a part that crashes runners.
    pub part_periods: Vec<PartPeriod>,
    /// Troubles beside which other requests are served.
    pub beside: Vec<Beside>,
    /// What floods cost gateways.
    pub flood_costs: Vec<FloodCost>,
    /// Planned work.
    pub planned_work: Vec<PlannedWork>,
    /// Number of model runners. Runners with smaller numbers serve streams, all others plain requests.
    pub model_runners: usize,
    /// Planned stops of gateways.
    pub stops: Vec<Stop>,
    /// Pauses of gateways.
    pub pauses: Vec<Stop>,
    /// Gateway processes that ran an earlier build, as in `Request::gateway`.
    pub old_builds: BTreeSet<(usize, u32)>,
    /// Requests that runners rejected with a backoff.
    pub turned_away: Vec<TurnedAway>,
    /// Requests that reached runners while they stated a rate limit, each with the id of the request.
    pub limited_requests: Vec<(String, LimitNotice)>,
    /// Leaves of runners.
    pub leaving: Vec<Leaving>,
    /// Versions of the configuration, oldest first.
    pub configuration_changes: Vec<ConfigurationChange>,
    /// Target versions of the weights, oldest first.
    pub target_versions: Vec<TargetVersion>,
    /// Home regions of the streams, oldest first.
    pub homes: Vec<StreamHomes>,
    /// Evacuations of data halls.
    pub evacuations: Vec<Evacuation>,
    /// Cold starts of runners.
    pub cold: Vec<Cold>,
    /// Runners that loaded weights that were incomplete or mixed from several versions.
    pub mixed_weights: Vec<String>,
    /// Processes that had ended at the end of the run although all should run, or that reported a failure when they were
    /// stopped, with their exit status.
    pub ended_processes: Vec<String>,
    /// When the last fault ended.
    pub faults_ended_at: Moment,
}
