//! Gateways and sidecars as processes, and a stand-in of the platform. Proxies in between can disturb the
//! connections to runners and to the store.

use std::fs::{self, File, OpenOptions};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use eyre::{ensure, WrapErr};
use platform_standin::{RunnerStandin, Standin};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

use crate::faults::{
    CRASH_PART, CRASH_PARTS, CRASH_PATH, HALLS, LONG_STREAM_PATH, LONG_UNSAFE_PATH,
    ONCE_STREAM_PATH,
};
use crate::proxy::Proxy;

/// Port of the proxies in front of runners.
const RUNNER_PORT: u16 = 8001;
/// Port of the runners.
const ENGINE_PORT: u16 = 8101;
/// Port on which gateways and sidecars receive datagrams.
const DATAGRAM_PORT: u16 = 7700;
/// Port of the gateways for callers.
const CALLERS_PORT: u16 = 8005;
/// Port of the gateways for readiness checks.
const READINESS_PORT: u16 = 8002;
/// First loopback network and number of networks for soak runs, so that several can run at the same time.
const FIRST_NETWORK: u8 = 20;
const NETWORK_COUNT: u8 = 120;
/// Number of plain runners, assigned to the halls in turn.
const PLAIN_RUNNER_COUNT: usize = 4;
/// The data halls and their regions.
const HALL_NAMES: [(&str, &str); HALLS] = [("a", "north"), ("b", "south")];
/// How long a plain runner is cold after a cold start.
pub const COLD_START: Duration = Duration::from_millis(3000);
/// Timeout and targets of the routes for requests that take long.
const LONG_ROUTE_TIMEOUT: Duration = Duration::from_millis(9000);
const LONG_ROUTE_TARGET: Duration = Duration::from_millis(7000);
const LONG_GAP_TARGET: Duration = Duration::from_millis(900);
/// First start time that model runners report, in milliseconds of Unix time.
const FIRST_START_MS: u64 = 1_764_720_000_000;
/// How long a process may take from its start until it handles signals, and how often that is checked.
const START_TIMEOUT: Duration = Duration::from_millis(1000);
const START_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// SIGHUP in the signal masks of `/proc`.
const SIGHUP_MASK: u64 = 1;
/// Clock ticks per second, the unit of processor times in `/proc`, and the positions of the times of a process behind its
/// name there.
const CLOCK_TICKS_PER_S: f64 = 100.0;
const PROCESSOR_TIMES: std::ops::Range<usize> = 11..13;
/// Rate limit of a cold runner, in requests per second.
const COLD_REQUESTS_PER_S: f64 = 6.0;

/// A silverdock process and the proxy between it and the store.
pub struct Process {
    machine: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    /// Index of the fleet's program that it runs from its next start on.
    build: usize,
    /// Number of restarts.
    pub restarts: u32,
    /// The proxy in front of the store.
    pub store_proxy: Proxy,
}

/// A runner behind a proxy.
pub struct Runner {
    /// Address at which the stand-in serves the runner.
    pub engine: SocketAddr,
    /// The proxy in front of the runner.
    pub proxy: Proxy,
    /// Number of restarts under a new id.
    pub restarts: u32,
    name: String,
}

impl Runner {
    /// The current id of the runner.
    pub fn id(&self) -> String {
        format!("{}-{}", self.name, self.restarts)
    }
}

/// All processes, runners and the platform of a run.
pub struct Fleet {
    /// The platform.
    pub standin: Standin,
    /// The gateways.
    pub gateways: Vec<Process>,
    /// The sidecars, each beside the model runner of the same index.
    pub sidecars: Vec<Process>,
    /// The model runners, then the plain ones.
    pub runners: Vec<Runner>,
    /// Directory of settings and logs.
    pub directory: PathBuf,
    programs: Vec<PathBuf>,
    network: u8,
    machine_count: u8,
}

impl Fleet {
    /// Starts `processes` processes, one in three of them a gateway. If there is an earlier build, all run that
    /// one at first.
    pub fn start(
        processes: usize,
        seed: u64,
        program: Option<PathBuf>,
        old_program: Option<PathBuf>,
    ) -> eyre::Result<Self> {
        let program = program.map_or_else(default_program, Ok)?;
        let programs = [program].into_iter().chain(old_program).collect();
        let directory =
            std::env::temp_dir().join(format!("silverdock-soak-{}-{seed}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let standin = Standin::start();
        standin.configure();
        standin.reconfigure(extend_configuration);
        let network = free_network(seed)?;
        let mut fleet = Self {
            standin,
            gateways: Vec::new(),
            sidecars: Vec::new(),
            runners: Vec::new(),
            directory,
            programs,
            network,
            machine_count: 0,
        };
        let gateways = (processes / 3).max(2);
        for number in 0..processes.saturating_sub(gateways).max(2) {
            // Some runners start without weights.
            let version = (number % 3 != 2).then_some(1);
            let name = format!("e{number}");
            let machine = fleet.add_runner(&name, |id| {
                RunnerStandin::model(id, "assistant", hall_name(number), version)
            })?;
            let runner = SocketAddr::new(machine, RUNNER_PORT);
            let role = format!("[sidecar]\nrunner = {runner}\nservice = assistant\n");
            let sidecar = fleet.spawn(machine, number, &role)?;
            fleet.sidecars.push(sidecar);
        }
        for number in 0..PLAIN_RUNNER_COUNT {
            fleet.add_runner(&format!("l{number}"), |id| {
                RunnerStandin::plain(id, "ledger", hall_name(number))
            })?;
        }
        for number in 0..gateways {
            let machine = fleet.new_machine();
            let role = format!(
                "[gateway]\ncallers = {machine}:{CALLERS_PORT}\n\
                 readiness = {machine}:{READINESS_PORT}\n"
            );
            let gateway = fleet.spawn(machine, number, &role)?;
            fleet.gateways.push(gateway);
        }
        Ok(fleet)
    }

    /// Address of a gateway for callers.
    pub fn callers_address(&self, gateway: usize) -> SocketAddr {
        SocketAddr::new(self.gateways[gateway].machine, CALLERS_PORT)
    }

    fn new_machine(&mut self) -> IpAddr {
        self.machine_count += 1;
        Ipv4Addr::new(127, 78, self.network, self.machine_count).into()
    }

    fn add_runner(
        &mut self,
        name: &str,
        engine: impl FnOnce(&str) -> RunnerStandin,
    ) -> eyre::Result<IpAddr> {
        let machine = self.new_machine();
        let listed = SocketAddr::new(machine, RUNNER_PORT);
        let mut engine = engine(&format!("{name}-0"));
        engine.advertised_address = Some(listed);
        let long_path = if engine.model { LONG_STREAM_PATH } else { LONG_UNSAFE_PATH };
        engine.takes_long_on = Some(long_path.into());
        if engine.model {
            engine.started_at_ms = Some(FIRST_START_MS);
            engine.crashes_on = Some(CRASH_PATH.into());
            engine.crashes_on_parts =
                (1..=CRASH_PARTS).map(|it| format!("{CRASH_PART}{it}")).collect();
        }
        let address = SocketAddr::new(machine, ENGINE_PORT);
        let proxy = Proxy::start(listed, address).wrap_err("failed to start a proxy")?;
        let engine = self.standin.add_runner(address, engine);
        self.runners.push(Runner { engine, proxy, restarts: 0, name: name.into() });
        Ok(machine)
    }

    fn spawn(&self, machine: IpAddr, number: usize, role: &str) -> eyre::Result<Process> {
        let loopback = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
        let store_proxy = Proxy::start(loopback, self.standin.store)?;
        let address = store_proxy.address;
        let (hall, region) = HALL_NAMES[number % HALLS];
        let settings = self.directory.join(format!("{machine}.ini"));
        let text = format!(
            "[node]\nname = m-{machine}\nregion = {region}\nhall = {hall}\n\
             halls = a=north,b=south\naddress = {machine}\n\
             first_port = 7700\nlast_port = 7715\nmemory_mb = 128\nlink_mbps = 100\n\
             log_lines_per_s = 1000\n\n{role}\n\
             [store]\naddress = {address}\nwrites_per_s = 100\nreads_per_s = 1000\n\n\
             [bounds]\ngrace_s = 8\ncontact_ms = 3000\ndrain_ms = 2000\nconfiguration_ms = 2000\nversion_ms = 8000\nrepeat_ratio = 0.2\nrepeat_window_s = 10\n\
             repeat_allowance = 200\nevacuate_ms = 2500\ncold_overrun = 1.5\ncold_slack = 5\n"
        );
        fs::write(&settings, text)?;
        let log = self.directory.join(format!("{machine}.log"));
        let build = self.programs.len() - 1;
        let child = start_process(&self.programs[build], &settings, &log)?;
        Ok(Process { machine, settings, log, child, build, restarts: 0, store_proxy })
    }

    /// Returns the processes that have ended, with their exit status.
    pub fn ended_processes(&mut self) -> Vec<String> {
        let processes = self.gateways.iter_mut().chain(&mut self.sidecars);
        processes.filter_map(Process::end).collect()
    }

    /// Kills all processes.
    pub fn stop(&mut self) {
        for process in self.gateways.iter_mut().chain(&mut self.sidecars) {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }

    /// The programs that processes run: the tested one, then the earlier one if there is one.
    pub fn programs(&self) -> &[PathBuf] {
        &self.programs
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Process {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(id, signal);
        }
    }

    /// Sends SIGHUP to the process once it handles the signal, which would end it before.
    pub fn reload(&mut self) {
        let latest = Instant::now() + START_TIMEOUT;
        while !self.has_ended() && !self.handles_hangup() && Instant::now() < latest {
            thread::sleep(START_CHECK_INTERVAL);
        }
        if !self.has_ended() {
            self.signal(Signal::HUP);
        }
    }

    /// Whether the process has a handler for SIGHUP, as far as the system tells.
    fn handles_hangup(&self) -> bool {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let handled = status.lines().find_map(|it| it.strip_prefix("SigCgt:"));
        let mask = handled.and_then(|it| u64::from_str_radix(it.trim(), 16).ok());
        mask.is_some_and(|it| it & SIGHUP_MASK != 0)
    }

    /// Changes a bound in the settings file of the process, to a different value each time.
    pub fn rewrite_settings(&self) -> eyre::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        let is_original = text.contains("version_ms = 8000");
        let (from, to) = if is_original { ("8000", "7900") } else { ("7900", "8000") };
        let text = text.replace(&format!("version_ms = {from}"), &format!("version_ms = {to}"));
        Ok(fs::write(&self.settings, text)?)
    }

    /// The processor time that the process has used since its start, or zero if the system doesn't tell.
    pub fn processor_time(&self) -> Duration {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        // The name of the program may contain spaces.
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        let times = fields.skip(PROCESSOR_TIMES.start).take(PROCESSOR_TIMES.len());
        let ticks: f64 = times.filter_map(|it| it.parse::<f64>().ok()).sum();
        Duration::from_secs_f64(ticks / CLOCK_TICKS_PER_S)
    }

    /// Describes how the process ended, if it has.
    fn end(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(format!("{}: {status}", self.machine))
    }

    /// Describes how the process ended, if it has ended by itself and reports a failure.
    pub fn failure(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        let is_failure = status.code().is_some_and(|it| it != 0);
        is_failure.then(|| format!("{}: {status} after SIGTERM", self.machine))
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Selects the other build for the next start. Without a second build `restart` runs the only one again.
    pub fn switch_build(&mut self) {
        self.build = 1 - self.build;
    }

    /// Whether the process runs the earlier build.
    pub fn runs_old_build(&self) -> bool {
        self.build > 0
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self, programs: &[PathBuf]) -> eyre::Result<()> {
        let _ = self.child.wait();
        self.build = self.build.min(programs.len() - 1);
        self.child = start_process(&programs[self.build], &self.settings, &self.log)?;
        self.restarts += 1;
        Ok(())
    }
}

/// Name of the data hall of the process or runner with this number.
pub fn hall_name(number: usize) -> &'static str {
    HALL_NAMES[number % HALLS].0
}

/// The region of a data hall.
pub fn region_name(hall: usize) -> &'static str {
    HALL_NAMES[hall % HALLS].1
}

/// Returns a route for requests that take long, like another route.
fn long_route(like: &Value, name: &str, path: &str) -> Value {
    let mut route = like.clone();
    route["name"] = json!(name);
    route["pathPrefix"] = json!(path);
    route["timeoutMs"] = json!(LONG_ROUTE_TIMEOUT.as_millis() as u64);
    route["targetLatencyMs"] = json!(LONG_ROUTE_TARGET.as_millis() as u64);
    route["gapTargetMs"] = json!(LONG_GAP_TARGET.as_millis() as u64);
    route
}

/// Extends the configuration by home regions of routes and workspaces, a route that is always bound to a
/// region, routes for requests that take long, a route for streams that may not be resumed, and a plain service whose runners start cold.
fn extend_configuration(configuration: &mut Value) {
    let mut bound = configuration["routes"][1].clone();
    bound["name"] = json!("bound");
    bound["pathPrefix"] = json!("/bound/");
    let long = [
        long_route(&configuration["routes"][0], "long", LONG_STREAM_PATH),
        long_route(&configuration["routes"][2], "slow", LONG_UNSAFE_PATH),
    ];
    let mut once = configuration["routes"][0].clone();
    once["name"] = json!("once");
    once["pathPrefix"] = json!(ONCE_STREAM_PATH);
    once["resumable"] = json!(false);
    let routes = configuration["routes"].as_array_mut();
    routes.into_iter().for_each(|it| {
        it.push(bound.clone());
        it.extend(long.clone());
        it.push(once.clone());
    });
    for list in ["routes", "tenants"] {
        let entries = configuration[list].as_array_mut().into_iter().flatten();
        entries.for_each(|it| it["homeRegions"] = json!([]));
    }
    configuration["routes"][3]["homeRegions"] = json!([HALL_NAMES[0].1]);
    configuration["services"][1]["coldStartS"] = json!(COLD_START.as_secs_f64());
    configuration["services"][1]["coldPerS"] = json!(COLD_REQUESTS_PER_S);
}

/// Finds a loopback network that no other soak run uses and that no process left over from a killed run uses.
fn free_network(seed: u64) -> eyre::Result<u8> {
    let first = (seed % u64::from(NETWORK_COUNT)) as u8;
    let networks = (0..NETWORK_COUNT).map(|it| FIRST_NETWORK + (first + it) % NETWORK_COUNT);
    let is_free = |network: &u8| {
        let address = Ipv4Addr::new(127, 78, *network, 1);
        let is_datagram_port_free = UdpSocket::bind((address, DATAGRAM_PORT)).is_ok();
        is_datagram_port_free && TcpListener::bind((address, RUNNER_PORT)).is_ok()
    };
    let free = networks.into_iter().find(is_free);
    free.ok_or_else(|| eyre::eyre!("all loopback networks are in use"))
}

fn start_process(program: &Path, settings: &Path, log: &Path) -> eyre::Result<Child> {
    let log: File = OpenOptions::new().create(true).append(true).open(log)?;
    let child = Command::new(program).arg(settings).stdin(Stdio::null()).stdout(log).spawn();
    child.wrap_err_with(|| format!("failed to start {}", program.display()))
}

/// Path of the daemon built next to this example.
fn default_program() -> eyre::Result<PathBuf> {
    let example = std::env::current_exe()?;
    let build = example.parent().and_then(Path::parent).unwrap_or(Path::new("."));
    let program = build.join("silverdockd");
    ensure!(program.exists(), "build the daemon first: cargo build --release -p silverdockd");
    Ok(program)
}
