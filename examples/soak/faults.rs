//! Plans the faults of a run and their times. The plan depends only on the seed and the sizes of the fleet.

mod garbage;
mod kinds;

use std::time::Duration;

use platform_standin::{Garbage, RunnerFault, StoreFault};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use self::garbage::{random_flood, random_garbage, random_page_garbage};
pub use self::kinds::{FAULT_KINDS, PLANNED_KINDS};
use crate::proxy::LinkFault;

/// Number of data halls, each in a region of its own.
pub const HALLS: usize = 2;

/// Interval between the beginnings of two faults, in milliseconds.
const INTERVAL_MS: std::ops::Range<u64> = 150..1400;
/// Duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 300..4000;
/// Time of the first fault, in milliseconds after the start of the run.
const FIRST_FAULT_MS: u64 = 3000;

/// Path prefix of requests that crash model runners. The number of the fault follows it.
pub const CRASH_PATH: &str = "/s/crash";

/// Beginning of the ids of prompt parts that crash model runners. The number of the fault follows it.
pub const CRASH_PART: &str = "bad";
/// Number of parts that crash model runners.
pub const CRASH_PARTS: u64 = 40;

/// Path prefix of streams that may not be resumed.
pub const ONCE_STREAM_PATH: &str = "/once/";

/// Path prefixes of requests for which runners take long. The time in milliseconds follows them.
pub const LONG_STREAM_PATH: &str = "/long/";
/// As `LONG_STREAM_PATH`, for plain requests that may not be repeated.
pub const LONG_UNSAFE_PATH: &str = "/slow/";

/// A fault. A `usize` is the number of the affected process, runner or data hall.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A process is killed and restarted later.
    Kill(usize),
    /// A process is paused for a while.
    Pause(usize),
    /// A process is stopped by SIGTERM and restarted once it has ended.
    Stop(usize),
    /// A process receives SIGHUP, which reloads its settings.
    Reload(usize),
    /// The store has a fault for a while.
    Store(StoreFault),
    /// The store discards its history of changes.
    ForgetHistory,
    /// The link between a process and the store has a fault for a while.
    StoreLink(usize, LinkFault),
    /// The link to a runner has a fault for a while.
    RunnerLink(usize, LinkFault),
    /// The open connections between a process and the store become silent permanently, while new ones work.
    SilentStoreConnections(usize),
    /// The open connections to a runner become silent permanently, while new ones work.
    SilentRunnerConnections(usize),
    /// A runner has a fault for a while.
    Runner(usize, RunnerFault),
    /// A runner falls silent in the middle of its work and goes on. This excuses no violation.
    Silence(usize, Silence),
    /// Processes are stopped by SIGTERM one after the other, whether those before have ended or not, and restarted.
    Rolling(Rolling),
    /// Processes receive SIGHUP many times.
    ReloadStorm(Series),
    /// The configuration changes many times.
    ConfigurationStorm(Series),
    /// A rolling upgrade, many configurations, many SIGHUPs and a new target version of the weights at the same time.
    Release(Rolling, Series),
    /// A runner restarts without weights and under a new id.
    RestartWithNewId(usize),
    /// A runner reports that it leaves and is replaced later.
    Drain(usize),
    /// A new version of the configuration.
    Configure,
    /// A new target version of the weights is set.
    TargetVersion,
    /// A new target version of the weights is set, and a gateway is killed and restarted at the same time.
    VersionAndGatewayRestart(usize),
    /// The origin is slow for a while: a new version takes most of the time within which it must arrive.
    SlowOrigin,
    /// The store delays each call for a while.
    SlowStore {
        /// Minimum delay in milliseconds.
        least_ms: u64,
        /// Maximum delay in milliseconds.
        most_ms: u64,
    },
    /// The link between a process and the store has jitter or loses packets for a while. This excuses no
    /// violation.
    UnreliableStoreLink(usize, LinkFault),
    /// A new version of the configuration, and this many milliseconds later a new target version of the
    /// weights. All gateways have just received an answer of the store and pause before the next call.
    ConfigurationThenVersion(u64),
    /// A model runner reads each request for this many milliseconds before it starts to run it, for a while.
    SlowReading(usize, u64),
    /// The chunk of this index is corrupted on the machine of a runner.
    CorruptChunk(usize, u64),
    /// A data hall is evacuated for a while.
    Evacuate(usize),
    /// The streams are bound to the region of a data hall, or to none.
    BindStreams(Option<usize>),
    /// A plain runner restarts and is cold for a while.
    ColdStart(usize),
    /// Callers repeatedly send a request that crashes each runner that starts it, for a while.
    CrashRequests,
    /// Callers send requests with a part of their prompts that crashes each runner that begins to answer it, for a
    /// while. No two of the requests are alike.
    CrashParts,
    /// A model runner restarts without weights and under the same id.
    RestartWithSameId(usize),
    /// A foreign writer writes rows to the list of runners, one of them in place of a runner's entry, for a
    /// while.
    ForeignRows(usize),
    /// A runner rejects all requests for a while and asks for this many milliseconds of backoff each time.
    Shed(usize, u64),
    /// A runner states a rate limit for a while, in its answers to requests and, if the flag is set, also in
    /// its reports to the sidecar.
    RateLimit(usize, StatedLimit, bool),
    /// The store is rolled back to its state this many milliseconds ago. Operators and runners write their lost
    /// rows again later.
    RollBackStore(u64),
    /// A process is stopped and restarted with the other build, if there are two.
    Upgrade(usize),
    /// The answers of a runner are large for a while.
    LargeAnswers(usize),
    /// A runner sends garbage in its answers to requests for a while.
    Garbage(usize, Garbage),
    /// A model runner sends garbage in its answers to its sidecar for a while.
    GarbageForSidecar(usize, Garbage),
    /// The store sends garbage in its answers for a while.
    GarbageOfStore(Garbage),
    /// The origin of weights sends garbage in its answers for a while.
    GarbageOfOrigin(Garbage),
    /// A foreign writer writes a row that is odd itself, for a while or, if the flag is set, for the rest of the run.
    OddRow(OddRow, bool),
    /// The settings file of a process changes; if the flag is set, the process receives SIGHUP.
    Settings(usize, bool),
}

impl Fault {
    /// Whether this is work that operators do on purpose, or a silence, which is no trouble.
    pub fn is_planned_work(&self) -> bool {
        matches!(
            self,
            Fault::Stop(_)
                | Fault::Upgrade(_)
                | Fault::Reload(_)
                | Fault::Settings(..)
                | Fault::Configure
                | Fault::TargetVersion
                | Fault::ConfigurationThenVersion(_)
                | Fault::Evacuate(_)
                | Fault::BindStreams(_)
                | Fault::Drain(_)
                | Fault::Rolling(_)
                | Fault::ReloadStorm(_)
                | Fault::ConfigurationStorm(_)
                | Fault::Release(..)
                | Fault::Silence(..)
        )
    }
}

/// Stops of several processes, one after the other.
#[derive(Clone, Copy, Debug)]
pub struct Rolling {
    /// The processes that are stopped.
    pub processes: RollingProcesses,
    /// Interval between two stops, in milliseconds.
    pub interval_ms: u64,
}

/// The processes that a rolling stop includes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RollingProcesses {
    /// All gateways.
    Gateways,
    /// All sidecars.
    Sidecars,
    /// All gateways, then all sidecars.
    All,
}

/// The same action several times.
#[derive(Clone, Copy, Debug)]
pub struct Series {
    /// Number of times.
    pub count: u64,
    /// Interval between two times, in milliseconds.
    pub interval_ms: u64,
}

/// Interval between two stops of a rolling stop, in milliseconds.
const ROLLING_INTERVAL_MS: std::ops::Range<u64> = 200..4000;
/// Number of actions in a series, and the interval between two of them, in milliseconds.
const SERIES_COUNT: std::ops::Range<u64> = 4..25;
const SERIES_INTERVAL_MS: std::ops::Range<u64> = 10..250;

/// A row of a foreign writer.
#[derive(Clone, Copy, Debug)]
pub enum OddRow {
    /// A row in the list of runners, or beside the configuration if the flag is set, that is nested deeply.
    Deep(bool),
    /// As `Deep`, with a number that is too large.
    LargeNumber(bool),
    /// An entry in the list of runners under a key that is no plain text, with the address of a runner.
    StrangeKey(usize),
    /// An entry in the list of runners with the address of a runner and the largest number of slots.
    BorrowedAddress(usize),
}

/// The silence of a runner.
#[derive(Clone, Copy, Debug)]
pub enum Silence {
    /// Each of its answers pauses once, for a while: after this number of events, for this many milliseconds.
    InEachAnswer(u64, u64),
    /// The runner sends nothing at all for this many milliseconds.
    Complete(u64),
}

/// Length of the silence of a runner, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 800..1600;

/// The rate limit that a runner states.
#[derive(Clone, Copy, Debug)]
pub enum StatedLimit {
    /// Thousandths of a request per second.
    Thousandths(u32),
    /// Text that is no number.
    Unreadable,
}

/// Rates that runners state, in thousandths of a request per second. A counter is added to each, so that no two
/// are the same.
const STATED_RATES: [u32; 6] = [0, 400, 1000, 1600, 3000, 8000];

/// A fault with its time and duration.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    /// Beginning of the fault, from the start of the run.
    pub at: Duration,
    /// Duration of the fault, where that applies.
    pub span: Duration,
    /// The fault.
    pub fault: Fault,
}

/// The sizes of the fleet that a plan is made for.
#[derive(Clone, Copy, Debug)]
pub struct FleetSizes {
    /// Number of gateways and sidecars.
    pub processes: usize,
    /// Number of model runners.
    pub models: usize,
    /// Number of all runners.
    pub runners: usize,
}

impl FleetSizes {
    /// Number of gateways: the processes that are not the sidecar of a model runner.
    fn gateways(self) -> usize {
        self.processes - self.models
    }
}

/// Plans the faults of a run.
pub fn plan(seed: u64, span: Duration, sizes: FleetSizes, kinds: &[&str]) -> Vec<PlannedFault> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(FIRST_FAULT_MS);
    while at < span {
        let kind = kinds[random.random_range(0..kinds.len())];
        let fault = random_fault(&mut random, kind, sizes);
        let span = Duration::from_millis(random.random_range(DURATION_MS));
        planned.push(PlannedFault { at, span, fault });
        at += Duration::from_millis(random.random_range(INTERVAL_MS));
    }
    planned
}

fn random_fault(random: &mut SmallRng, kind: &str, sizes: FleetSizes) -> Fault {
    let process = random.random_range(0..sizes.processes);
    let runner = random.random_range(0..sizes.runners);
    let model = random.random_range(0..sizes.models);
    match kind {
        "kill" => Fault::Kill(process),
        "pause" => Fault::Pause(process),
        "stop" => Fault::Stop(process),
        "hup" => Fault::Reload(process),
        "store" => match random.random_range(0..4) {
            0 => Fault::Store(StoreFault::Busy),
            1 => Fault::Store(StoreFault::NoResponse),
            2 => Fault::Store(StoreFault::SlowTransfer),
            _ => Fault::ForgetHistory,
        },
        "store_link" => Fault::StoreLink(process, random_link_fault(random)),
        "runner_link" => Fault::RunnerLink(runner, random_link_fault(random)),
        "store_silence" => Fault::SilentStoreConnections(process),
        "runner_silence" => Fault::SilentRunnerConnections(runner),
        "runner" => Fault::Runner(runner, random_runner_fault(random)),
        "restart" => Fault::RestartWithNewId(model),
        "drain" => Fault::Drain(runner),
        "configuration" => Fault::Configure,
        "version" => Fault::TargetVersion,
        "evacuate" => Fault::Evacuate(random.random_range(0..HALLS)),
        "homes" => {
            Fault::BindStreams(random.random_bool(0.7).then(|| random.random_range(0..HALLS)))
        }
        "cold" => Fault::ColdStart(random.random_range(sizes.models..sizes.runners)),
        "crash" => Fault::CrashRequests,
        "crash_part" => Fault::CrashParts,
        "reborn" => Fault::RestartWithSameId(model),
        "foreign" => Fault::ForeignRows(runner),
        "shed" => Fault::Shed(runner, random.random_range(600..3000)),
        "limit" => Fault::RateLimit(runner, random_limit(random), random.random_bool(0.3)),
        "store_copy" => Fault::RollBackStore(random.random_range(500..6000)),
        "upgrade" => Fault::Upgrade(process),
        "bulk" => Fault::LargeAnswers(runner),
        "slow_origin" => Fault::SlowOrigin,
        "slow_store" => {
            let least_ms = random.random_range(0..800);
            Fault::SlowStore { least_ms, most_ms: least_ms + random.random_range(0..200) }
        }
        "uneven_link" => {
            let max_jitter_ms = random.random_range(20..250);
            let link_faults = [LinkFault::Jitter(max_jitter_ms), LinkFault::Lossy];
            Fault::UnreliableStoreLink(
                process,
                link_faults[random.random_range(0..link_faults.len())],
            )
        }
        "busy_version" => Fault::ConfigurationThenVersion(random.random_range(20..900)),
        "reading" => Fault::SlowReading(model, random.random_range(200..1000)),
        "new_gateway" => Fault::VersionAndGatewayRestart(random.random_range(0..sizes.gateways())),
        "silence" => Fault::Silence(runner, random_silence(random)),
        "rolling" => Fault::Rolling(random_rolling(random)),
        "hup_storm" => Fault::ReloadStorm(random_series(random)),
        "config_storm" => Fault::ConfigurationStorm(random_series(random)),
        "release" => Fault::Release(random_rolling(random), random_series(random)),
        "garbage" => Fault::Garbage(runner, random_garbage(random, runner < sizes.models)),
        "flood" => Fault::Garbage(runner, random_flood(random, runner < sizes.models)),
        "garbage_reports" => Fault::GarbageForSidecar(model, random_page_garbage(random)),
        "garbage_store" if random.random_bool(0.7) => {
            Fault::GarbageOfStore(random_page_garbage(random))
        }
        "garbage_store" => Fault::GarbageOfOrigin(random_page_garbage(random)),
        "foreign_page" => Fault::OddRow(random_odd_row(random, runner), random.random_bool(0.5)),
        "settings" => Fault::Settings(process, random.random_bool(0.5)),
        _ => Fault::CorruptChunk(model, random.random_range(0..64)),
    }
}

fn random_rolling(random: &mut SmallRng) -> Rolling {
    let processes = match random.random_range(0..4) {
        0 | 1 => RollingProcesses::Gateways,
        2 => RollingProcesses::Sidecars,
        _ => RollingProcesses::All,
    };
    Rolling { processes, interval_ms: random.random_range(ROLLING_INTERVAL_MS) }
}

fn random_series(random: &mut SmallRng) -> Series {
    let count = random.random_range(SERIES_COUNT);
    Series { count, interval_ms: random.random_range(SERIES_INTERVAL_MS) }
}

fn random_silence(random: &mut SmallRng) -> Silence {
    let (events, millis) = (random.random_range(0..12), random.random_range(SILENCE_MS));
    if random.random_bool(0.5) {
        Silence::InEachAnswer(events, millis)
    } else {
        Silence::Complete(millis)
    }
}

fn random_limit(random: &mut SmallRng) -> StatedLimit {
    if random.random_bool(0.1) {
        StatedLimit::Unreadable
    } else {
        StatedLimit::Thousandths(STATED_RATES[random.random_range(0..STATED_RATES.len())])
    }
}

fn random_odd_row(random: &mut SmallRng, runner: usize) -> OddRow {
    match random.random_range(0..4) {
        0 => OddRow::Deep(random.random_bool(0.3)),
        1 => OddRow::LargeNumber(random.random_bool(0.3)),
        2 => OddRow::StrangeKey(runner),
        _ => OddRow::BorrowedAddress(runner),
    }
}

fn random_link_fault(random: &mut SmallRng) -> LinkFault {
    match random.random_range(0..4) {
        0 => LinkFault::Delay(random.random_range(20..400)),
        1 => LinkFault::Silence,
        2 => LinkFault::OneWay,
        _ => LinkFault::Reset,
    }
}

fn random_runner_fault(random: &mut SmallRng) -> RunnerFault {
    match random.random_range(0..6) {
        0 => RunnerFault::CutAfter(random.random_range(1..10)),
        1 => RunnerFault::RejectAll,
        2 => RunnerFault::AnswerLost,
        3 => RunnerFault::Hang,
        4 => RunnerFault::NoFraming,
        _ => RunnerFault::Fail,
    }
}
