//! Gateways and sidecars as processes before a stand-in of the platform, each behind proxies.

use std::fs::{self, File, OpenOptions};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use eyre::{ensure, WrapErr};
use platform_standin::{Engine, Standin};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

use crate::faults::{CRASH_PATH, HALLS};
use crate::proxy::Proxy;

/// Where proxies listen in front of runners.
const RUNNER_PORT: u16 = 8001;
/// Where runners listen.
const ENGINE_PORT: u16 = 8101;
/// Where gateways and sidecars take datagrams.
const DATAGRAM_PORT: u16 = 7700;
/// Where gateways listen for callers.
const CALLERS_PORT: u16 = 8005;
/// Where gateways say whether they are ready.
const READINESS_PORT: u16 = 8002;
/// The networks that soaks run on, so that several can run at the same time.
const FIRST_NETWORK: u8 = 20;
const NETWORKS: u8 = 120;
/// Plain runners, in turn in the halls.
const PLAIN_RUNNERS: usize = 4;
/// The data halls and their regions.
const HALL_NAMES: [(&str, &str); HALLS] = [("a", "north"), ("b", "south")];
/// How long a runner is cold after a start.
pub const COLD_START: Duration = Duration::from_millis(3000);
/// When model runners first started, in milliseconds of Unix time.
const FIRST_BIRTH: u64 = 1_764_720_000_000;
/// Requests a second that a cold runner bears.
const COLD_PER_S: f64 = 6.0;

/// A process of silverdock with the way that it has to the store.
pub struct Process {
    machine: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    /// Which of the fleet's programs it runs, from its next start on.
    build: usize,
    /// Which of its lives this is, counted from zero.
    pub life: u32,
    /// In front of the store.
    pub store: Proxy,
}

/// A runner behind a proxy.
pub struct Runner {
    /// Where the stand-in serves it.
    pub engine: SocketAddr,
    /// In front of it.
    pub proxy: Proxy,
    /// How often it was restarted.
    pub restarts: u32,
    name: String,
}

impl Runner {
    /// Its identity in its present life.
    pub fn id(&self) -> String {
        format!("{}-{}", self.name, self.restarts)
    }
}

/// Everything that runs.
pub struct Fleet {
    /// The platform.
    pub standin: Standin,
    /// The gateways.
    pub gateways: Vec<Process>,
    /// The sidecars, each beside the model runner of the same index.
    pub sidecars: Vec<Process>,
    /// The model runners, then the plain ones.
    pub runners: Vec<Runner>,
    /// The folder of settings and logs.
    pub folder: PathBuf,
    programs: Vec<PathBuf>,
    network: u8,
    machines: u8,
}

impl Fleet {
    /// Starts so many processes of a program, one in three of them a gateway. Where there is an earlier build, all run
    /// that at first.
    pub fn start(
        processes: usize,
        seed: u64,
        program: Option<PathBuf>,
        old: Option<PathBuf>,
    ) -> eyre::Result<Self> {
        let program = program.map_or_else(built_beside, Ok)?;
        let programs = [program].into_iter().chain(old).collect();
        let folder =
            std::env::temp_dir().join(format!("silverdock-soak-{}-{seed}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let standin = Standin::start();
        standin.configure();
        standin.reconfigure(add_terms);
        let network = free_network(seed)?;
        let mut fleet = Self {
            standin,
            gateways: Vec::new(),
            sidecars: Vec::new(),
            runners: Vec::new(),
            folder,
            programs,
            network,
            machines: 0,
        };
        let gateways = (processes / 3).max(2);
        for number in 0..processes.saturating_sub(gateways).max(2) {
            // Some runners start without weights.
            let version = (number % 3 != 2).then_some(1);
            let name = format!("e{number}");
            let machine = fleet.add_runner(&name, |id| {
                Engine::model(id, "assistant", hall_name(number), version)
            })?;
            let runner = SocketAddr::new(machine, RUNNER_PORT);
            let role = format!("[sidecar]\nrunner = {runner}\nservice = assistant\n");
            let sidecar = fleet.spawn(machine, number, &role)?;
            fleet.sidecars.push(sidecar);
        }
        for number in 0..PLAIN_RUNNERS {
            fleet.add_runner(&format!("l{number}"), |id| {
                Engine::plain(id, "ledger", hall_name(number))
            })?;
        }
        for number in 0..gateways {
            let machine = fleet.machine();
            let role = format!(
                "[gateway]\ncallers = {machine}:{CALLERS_PORT}\n\
                 readiness = {machine}:{READINESS_PORT}\n"
            );
            let gateway = fleet.spawn(machine, number, &role)?;
            fleet.gateways.push(gateway);
        }
        Ok(fleet)
    }

    /// Where callers reach a gateway.
    pub fn callers_address(&self, gateway: usize) -> SocketAddr {
        SocketAddr::new(self.gateways[gateway].machine, CALLERS_PORT)
    }

    fn machine(&mut self) -> IpAddr {
        self.machines += 1;
        Ipv4Addr::new(127, 78, self.network, self.machines).into()
    }

    fn add_runner(
        &mut self,
        name: &str,
        engine: impl FnOnce(&str) -> Engine,
    ) -> eyre::Result<IpAddr> {
        let machine = self.machine();
        let listed = SocketAddr::new(machine, RUNNER_PORT);
        let mut engine = engine(&format!("{name}-0"));
        engine.listed_at = Some(listed);
        if engine.model {
            engine.born = Some(FIRST_BIRTH);
            engine.crashes_on = Some(CRASH_PATH.into());
        }
        let address = SocketAddr::new(machine, ENGINE_PORT);
        let proxy = Proxy::start(listed, address).wrap_err("a proxy cannot listen")?;
        let engine = self.standin.add_runner(address, engine);
        self.runners.push(Runner { engine, proxy, restarts: 0, name: name.into() });
        Ok(machine)
    }

    fn spawn(&self, machine: IpAddr, number: usize, role: &str) -> eyre::Result<Process> {
        let loopback = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
        let store = Proxy::start(loopback, self.standin.store)?;
        let address = store.address;
        let (hall, region) = HALL_NAMES[number % HALLS];
        let settings = self.folder.join(format!("{machine}.ini"));
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
        let log = self.folder.join(format!("{machine}.log"));
        let build = self.programs.len() - 1;
        let child = start(&self.programs[build], &settings, &log)?;
        Ok(Process { machine, settings, log, child, build, life: 0, store })
    }

    /// Ends every process that runs.
    pub fn stop(&mut self) {
        for process in self.gateways.iter_mut().chain(&mut self.sidecars) {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }

    /// The programs that processes run: the one that is tested, then an earlier one if there is one.
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
    /// Sends a signal to it, by its id.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(id, signal);
        }
    }

    /// Changes a bound in its settings file, to another value each time.
    pub fn rewrite_settings(&self) -> eyre::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        let old = text.contains("version_ms = 8000");
        let (from, to) = if old { ("8000", "7900") } else { ("7900", "8000") };
        let text = text.replace(&format!("version_ms = {from}"), &format!("version_ms = {to}"));
        Ok(fs::write(&self.settings, text)?)
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Turns to the other build from its next start on, where there are two.
    pub fn change_build(&mut self) {
        self.build = 1 - self.build;
    }

    /// Whether it runs an earlier build.
    pub fn is_old(&self) -> bool {
        self.build > 0
    }

    /// Starts it anew after it has ended.
    pub fn restart(&mut self, programs: &[PathBuf]) -> eyre::Result<()> {
        let _ = self.child.wait();
        self.build = self.build.min(programs.len() - 1);
        self.child = start(&programs[self.build], &self.settings, &self.log)?;
        self.life += 1;
        Ok(())
    }
}

/// The data hall of the process or runner of a number.
pub fn hall_name(number: usize) -> &'static str {
    HALL_NAMES[number % HALLS].0
}

/// The region of a data hall.
pub fn region_name(hall: usize) -> &'static str {
    HALL_NAMES[hall % HALLS].1
}

/// Gives routes and workspaces homes, a route that is always bound, and runners that start cold.
fn add_terms(configuration: &mut Value) {
    let mut bound = configuration["routes"][1].clone();
    bound["name"] = json!("bound");
    bound["pathPrefix"] = json!("/bound/");
    let routes = configuration["routes"].as_array_mut();
    routes.into_iter().for_each(|it| it.push(bound.clone()));
    for list in ["routes", "tenants"] {
        let entries = configuration[list].as_array_mut().into_iter().flatten();
        entries.for_each(|it| it["homeRegions"] = json!([]));
    }
    configuration["routes"][3]["homeRegions"] = json!([HALL_NAMES[0].1]);
    configuration["services"][1]["coldStartS"] = json!(COLD_START.as_secs_f64());
    configuration["services"][1]["coldPerS"] = json!(COLD_PER_S);
}

/// A network of loopback on which no other soak runs, and no process is left of one that was ended.
fn free_network(seed: u64) -> eyre::Result<u8> {
    let first = (seed % u64::from(NETWORKS)) as u8;
    let networks = (0..NETWORKS).map(|it| FIRST_NETWORK + (first + it) % NETWORKS);
    let is_free = |network: &u8| {
        let address = Ipv4Addr::new(127, 78, *network, 1);
        let is_unheard = UdpSocket::bind((address, DATAGRAM_PORT)).is_ok();
        is_unheard && TcpListener::bind((address, RUNNER_PORT)).is_ok()
    };
    let free = networks.into_iter().find(is_free);
    free.ok_or_else(|| eyre::eyre!("every network of loopback is taken"))
}

fn start(program: &Path, settings: &Path, log: &Path) -> eyre::Result<Child> {
    let log: File = OpenOptions::new().create(true).append(true).open(log)?;
    let child = Command::new(program).arg(settings).stdin(Stdio::null()).stdout(log).spawn();
    child.wrap_err_with(|| format!("{} cannot be started", program.display()))
}

/// The daemon, built beside this example.
fn built_beside() -> eyre::Result<PathBuf> {
    let example = std::env::current_exe()?;
    let build = example.parent().and_then(Path::parent).unwrap_or(Path::new("."));
    let program = build.join("silverdockd");
    ensure!(program.exists(), "build the daemon first: cargo build --release -p silverdockd");
    Ok(program)
}
