//! Starts gateways and sidecars as processes, with a stand-in of the platform.

use std::fs::{File, OpenOptions};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use account::Account;
use http::Method;
use platform_standin::{Answer, Caller, RunnerStandin, Standin};
use rustix::fs::{mknodat, FileType, Mode, OFlags, CWD};

use crate::machine_address;

/// Port of the runners.
const RUNNER_PORT: u16 = 8001;
/// Port of the gateways for callers.
const CALLERS_PORT: u16 = 8005;
/// Port of the gateways for readiness checks.
const READINESS_PORT: u16 = 8002;
/// Port of the processes for metrics.
const METRICS_PORT: u16 = 7715;
/// Timeout of any single wait; a test that exceeds it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Loopback networks for deployments, so that several can run at the same time.
const NETWORKS: std::ops::Range<u8> = 50..250;
/// Machine and port of the socket that reserves a network.
const NETWORK_LOCK: (u8, u16) = (254, 7999);

/// A deployment on its own loopback network.
pub struct Deployment {
    pub standin: Standin,
    network: u8,
    machine_count: u8,
    directory: PathBuf,
    processes: Vec<(IpAddr, Child)>,
    /// Whether the logs of processes go to a pipe that nobody reads, without a limit on lines.
    pub unread_logs: bool,
}

impl Deployment {
    /// Starts a configured platform with two runners of the plain service.
    pub fn start() -> Self {
        let network = reserve_network();
        let directory =
            std::env::temp_dir().join(format!("silverdock-{}-{network}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let standin = Standin::start();
        standin.configure();
        let mut deployment = Self {
            standin,
            network,
            machine_count: 0,
            directory,
            processes: Vec::new(),
            unread_logs: false,
        };
        for name in ["l1", "l2"] {
            let address = SocketAddr::new(deployment.new_machine(), RUNNER_PORT);
            deployment.standin.add_runner(address, RunnerStandin::plain(name, "ledger", "a"));
        }
        deployment
    }

    fn new_machine(&mut self) -> IpAddr {
        self.machine_count += 1;
        Ipv4Addr::new(127, 77, self.network, self.machine_count).into()
    }

    /// Starts two plain runners in hall `a`, two in hall `b`, and a gateway in hall `a`, and waits until the
    /// gateway is ready.
    pub fn start_in_two_halls() -> (Self, SocketAddr) {
        let mut deployment = Self::start();
        let gateway = deployment.add_gateway();
        for (id, machine) in [("b1", 31), ("b2", 32)] {
            let address = SocketAddr::new(machine_address(gateway, machine), RUNNER_PORT);
            deployment.standin.add_runner(address, RunnerStandin::plain(id, "ledger", "b"));
        }
        deployment.wait_until_ready(gateway);
        (deployment, gateway)
    }

    /// Starts a model runner and its sidecar.
    pub fn add_model_runner(&mut self, id: &str, version: Option<u64>) -> SocketAddr {
        let machine = self.new_machine();
        let address = SocketAddr::new(machine, RUNNER_PORT);
        self.standin.add_runner(address, RunnerStandin::model(id, "assistant", "a", version));
        self.write_settings_and_start(
            machine,
            &format!("[sidecar]\nrunner = {address}\nservice = assistant\n"),
        );
        address
    }

    /// Starts a model runner and its sidecar. The list and the sidecar know the runner by the address that
    /// `path` returns, on another machine. Returns the real address of the runner.
    pub fn add_model_runner_behind(
        &mut self,
        id: &str,
        version: Option<u64>,
        path: impl FnOnce(IpAddr, SocketAddr) -> SocketAddr,
    ) -> SocketAddr {
        let (machine, proxy_machine) = (self.new_machine(), self.new_machine());
        let address = SocketAddr::new(machine, RUNNER_PORT);
        let listed = path(proxy_machine, address);
        let mut engine = RunnerStandin::model(id, "assistant", "a", version);
        engine.advertised_address = Some(listed);
        self.standin.add_runner(address, engine);
        self.write_settings_and_start(
            machine,
            &format!("[sidecar]\nrunner = {listed}\nservice = assistant\n"),
        );
        address
    }

    /// Starts a gateway and returns its address for callers.
    pub fn add_gateway(&mut self) -> SocketAddr {
        let machine = self.new_machine();
        self.write_settings_and_start(machine, &gateway_section(machine));
        SocketAddr::new(machine, CALLERS_PORT)
    }

    /// Kills processes at the same time and restarts them.
    pub fn kill_and_restart(&mut self, machines: &[IpAddr]) {
        for machine in machines {
            self.signal(*machine, rustix::process::Signal::KILL);
        }
        for machine in machines {
            self.wait_for_exit(*machine);
        }
        for machine in machines {
            self.start_process(*machine);
        }
    }

    /// Starts the gateway of a machine again after it has ended.
    pub fn restart_gateway(&mut self, gateway: SocketAddr) {
        self.write_settings_and_start(gateway.ip(), &gateway_section(gateway.ip()));
    }

    /// Starts a gateway that waits for its settings. Returns its address for callers, the pipe that it reads and the
    /// settings to write to it.
    pub fn add_gateway_that_waits_for_settings(&mut self) -> (SocketAddr, File, String) {
        let machine = self.new_machine();
        let path = self.write_settings(machine, &gateway_section(machine));
        let text = std::fs::read_to_string(&path).unwrap();
        let complete = path.with_extension("complete");
        std::fs::rename(&path, &complete).unwrap();
        let mode = Mode::RUSR | Mode::WUSR;
        mknodat(CWD, &path, FileType::Fifo, mode, 0).unwrap();
        self.start_process(machine);
        let flags = OFlags::WRONLY | OFlags::NONBLOCK;
        let mut pipe = None;
        wait_until("the process reads its settings", || {
            pipe = rustix::fs::open(&path, flags, Mode::empty()).ok();
            pipe.is_some()
        });
        let pipe = File::from(pipe.unwrap());
        // A reload reads the file.
        std::fs::rename(&complete, &path).unwrap();
        (SocketAddr::new(machine, CALLERS_PORT), pipe, text)
    }

    fn write_settings_and_start(&mut self, machine: IpAddr, role: &str) {
        self.write_settings(machine, role);
        self.start_process(machine);
    }

    fn write_settings(&self, machine: IpAddr, role: &str) -> PathBuf {
        let path = self.directory.join(format!("{machine}.ini"));
        let store = self.standin.store;
        let log_lines_per_s = if self.unread_logs { 100_000 } else { 1000 };
        let text = format!(
            "[node]\nname = m-{machine}\nregion = r\nhall = a\nhalls = a=r\naddress = {machine}\n\
             first_port = 7700\nlast_port = 7715\nmemory_mb = 128\nlink_mbps = 100\nlog_lines_per_s = {log_lines_per_s}\n\n{role}\n\
             [store]\naddress = {store}\nwrites_per_s = 100\nreads_per_s = 1000\n\n\
             [bounds]\ngrace_s = 8\ncontact_ms = 3000\ndrain_ms = 2000\nconfiguration_ms = 2000\nversion_ms = 8000\nrepeat_ratio = 0.2\nrepeat_window_s = 10\n\
             repeat_allowance = 200\n"
        );
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Starts the process of a machine with its settings file.
    fn start_process(&mut self, machine: IpAddr) {
        let path = self.directory.join(format!("{machine}.ini"));
        let log = self.directory.join(format!("{machine}.log"));
        let log = OpenOptions::new().create(true).append(true).open(log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_silverdockd"))
            .arg(&path)
            .stdout(if self.unread_logs { Stdio::piped() } else { log.into() })
            .spawn()
            .unwrap();
        self.processes.push((machine, child));
    }

    /// Returns what the logs of all processes contain on a request, once a line shows how it ended.
    pub fn account(&self, request: &str) -> Account {
        let mut account = self.read_account(request);
        wait_until(&format!("the logs contain the end of {request}"), || {
            account = self.read_account(request);
            account.gaps.is_empty()
        });
        account
    }

    fn read_account(&self, request: &str) -> Account {
        let files = std::fs::read_dir(&self.directory).unwrap().map(|it| it.unwrap().path());
        let logs = files.filter(|it| it.extension().is_some_and(|it| it == "log"));
        let texts: Vec<String> = logs.map(|it| std::fs::read_to_string(it).unwrap()).collect();
        Account::of(request, texts.iter().map(String::as_str))
    }

    /// Returns the log of a machine's process.
    pub fn log(&self, machine: IpAddr) -> String {
        std::fs::read_to_string(self.directory.join(format!("{machine}.log"))).unwrap()
    }

    /// Returns the metrics of a machine's process.
    pub fn metrics(&self, machine: IpAddr) -> String {
        let address = SocketAddr::new(machine, METRICS_PORT);
        Caller::new(Method::GET, "/metrics", "scrape").call(address).body
    }

    /// Changes the settings file of a machine's process.
    pub fn rewrite_settings(&self, machine: IpAddr, from: &str, to: &str) {
        let path = self.directory.join(format!("{machine}.ini"));
        let text = std::fs::read_to_string(&path).unwrap();
        assert!(text.contains(from), "{text}");
        std::fs::write(&path, text.replace(from, to)).unwrap();
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, machine: IpAddr, signal: rustix::process::Signal) {
        let process = self.processes.iter().rev().find(|it| it.0 == machine);
        let (_, child) = process.expect("the machine has a process");
        let id = rustix::process::Pid::from_raw(child.id() as i32).unwrap();
        rustix::process::kill_process(id, signal).unwrap();
    }

    /// Waits until the process of a machine has exited and returns whether it was successful.
    pub fn wait_for_exit(&mut self, machine: IpAddr) -> bool {
        let process = self.processes.iter_mut().rev().find(|it| it.0 == machine);
        let (_, child) = process.expect("the machine has a process");
        let end = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = child.try_wait().unwrap() {
                return status.success();
            }
            assert!(Instant::now() < end, "the process did not exit");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// The processor time that the process of a machine has used.
    pub fn processor_time(&self, machine: IpAddr) -> Duration {
        let process = self.processes.iter().rev().find(|it| it.0 == machine);
        let (_, child) = process.expect("the machine has a process");
        let text = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap();
        let (_, fields) = text.rsplit_once(')').unwrap();
        let ticks = fields.split_whitespace().skip(11).take(2).map(|it| it.parse::<u64>().unwrap());
        Duration::from_millis(ticks.sum::<u64>() * 1000 / rustix::param::clock_ticks_per_second())
    }

    /// Whether a gateway reports that it is ready.
    pub fn is_ready(&self, gateway: SocketAddr) -> bool {
        let readiness = SocketAddr::new(gateway.ip(), READINESS_PORT);
        Caller::new(Method::GET, "/-/readiness", "ready").call(readiness).status == 200
    }

    /// Waits until a gateway is ready.
    pub fn wait_until_ready(&self, gateway: SocketAddr) {
        wait_until("the gateway is ready", || self.is_ready(gateway));
    }

    /// Waits until a runner holds a version.
    pub fn wait_for_version(&self, runner: SocketAddr, version: u64) {
        wait_until(&format!("{runner} holds version {version}"), || {
            // A call lets the stand-in complete an order in progress.
            Caller::new(Method::GET, "/-/report", "look").call(runner);
            self.standin.runner(runner).is_some_and(|it| it.version == Some(version))
        });
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (_, child) in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

fn gateway_section(machine: IpAddr) -> String {
    format!(
        "[gateway]\ncallers = {machine}:{CALLERS_PORT}\nreadiness = {machine}:{READINESS_PORT}\n"
    )
}

/// Reserves a loopback network that no other deployment uses, in this process or another one. It is reserved
/// until the process ends, because the stand-in's listeners live as long.
fn reserve_network() -> u8 {
    let (machine, port) = NETWORK_LOCK;
    let lock = |network| TcpListener::bind((Ipv4Addr::new(127, 77, network, machine), port));
    let free = NETWORKS.into_iter().find_map(|it| Some((it, lock(it).ok()?)));
    let (network, listener) = free.expect("a loopback network is free");
    std::mem::forget(listener);
    network
}

/// The Unix time, in milliseconds.
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Sleeps until `moment`.
pub fn sleep_until(moment: Instant) {
    std::thread::sleep(moment.saturating_duration_since(Instant::now()));
}

/// Waits until `check` returns `true`. `what` describes it in the failure message.
pub fn wait_until(what: &str, mut check: impl FnMut() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !check() {
        assert!(Instant::now() < end, "timed out: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Sends a stream request and returns the answer.
pub fn stream(gateway: SocketAddr, id: &str) -> Answer {
    Caller::new(Method::POST, "/s/x", id).call(gateway)
}

/// Whether an answer is the complete stream of this request: every event once and in order.
pub fn is_whole_stream(answer: &Answer, id: &str) -> bool {
    let events: Vec<String> = (1..=12).map(|it| format!("id: {it}\ndata: {id}/{it}\n\n")).collect();
    answer.status == 200 && answer.is_complete && answer.body == events.concat()
}
