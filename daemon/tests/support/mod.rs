//! Runs daemons as processes against stand-ins in the test's own process.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use async_executor::Executor;
use client::Operator;
use fleet::{Hall, Instance, InstanceId, ListedState, Manifest, Place, Process, Region};
use lab::Lab;
use net::{Bounds, Server, Tasks};
use rustix::process::{kill_process, Pid, Signal};
use standins::{Engine, EngineOptions, PlatformOptions, PlatformStandIn};

/// The operators' token of these tests.
pub const TOKEN: &str = "token-of-the-process-tests";
const KEY: &str = "key-of-the-process-tests";
/// Where daemons listen for each other on their machines. All ports lie below the range that the system hands out by
/// itself.
const DAEMONS_PORT: u16 = 7101;
/// Where daemons listen for operators.
const OPERATORS_PORT: u16 = 7102;
/// Where entries listen for callers.
const CALLERS_PORT: u16 = 7103;
/// Where agents listen for weights.
const WEIGHTS_PORT: u16 = 7104;
/// The networks of loopback that stages take, so that several can run at the same time.
const NETWORKS: std::ops::Range<u8> = 1..250;
/// The machine and the port by which a stage holds its network.
const HOLDER: (u8, u16) = (254, 7999);
/// How long anything may take before a test is given up as hung.
pub const HANG: Duration = Duration::from_secs(60);

/// The platform, a folder for settings, and a network of loopback with a machine for each daemon.
pub struct Stage {
    pub platform: PlatformStandIn,
    pub folder: PathBuf,
    tasks: Tasks,
    network: u8,
    holder: TcpListener,
    machines: AtomicU8,
}

/// A daemon as a process. It is ended with the test.
pub struct Daemon {
    pub child: Child,
    pub operators: SocketAddr,
    pub callers: SocketAddr,
    /// The engine beside an agent.
    pub engine: Option<Arc<Engine>>,
    name: String,
    log: PathBuf,
}

impl Stage {
    /// Starts the platform. `name` keeps the tests' folders apart.
    pub fn new(name: &str) -> Self {
        let executor = Arc::new(Executor::new());
        Lab::run_threads(&executor);
        let tasks = Tasks::new(&executor);
        let options = PlatformOptions { origin_bytes_per_s: 64 << 20 };
        let platform = async_io::block_on(PlatformStandIn::start(&tasks, options)).unwrap();
        let folder = std::env::temp_dir().join(format!("silverdock-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("key"), KEY).unwrap();
        std::fs::write(folder.join("token"), TOKEN).unwrap();
        let (network, holder) = take_network();
        Self { platform, folder, tasks, network, holder, machines: AtomicU8::new(0) }
    }

    /// The address of the next machine.
    fn machine(&self) -> IpAddr {
        let machine = self.machines.fetch_add(1, Ordering::Relaxed) + 1;
        assert!(machine < HOLDER.0, "a stage has no more machines");
        network_address(self.network, machine).into()
    }

    /// Starts an entry.
    pub fn entry(&self, name: &str) -> Daemon {
        let machine = self.machine();
        let callers = SocketAddr::new(machine, CALLERS_PORT);
        let role = format!("[entry]\ncallers = {callers}\ndeadline_s = 30\n");
        self.start(name, "entry", Process::Entry, machine, &role)
    }

    /// Starts an engine stand-in and an agent beside it.
    pub fn engine(&self, name: &str, options: EngineOptions) -> Daemon {
        let engine = Arc::new(Engine::new(&self.tasks, options));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let serving = Server::start(&self.tasks, any, Bounds::default(), engine.clone());
        let server = async_io::block_on(serving).unwrap();
        let machine = self.machine();
        let weights = SocketAddr::new(machine, WEIGHTS_PORT);
        let role =
            format!("[agent]\nupstream = {}\nweights_listen = {weights}\n", server.address());
        // The engine lives as long as the test's process.
        std::mem::forget(server);
        let mut daemon = self.start(name, "agent", Process::Engine, machine, &role);
        daemon.engine = Some(engine);
        daemon
    }

    fn start(
        &self,
        name: &str,
        role: &str,
        process: Process,
        machine: IpAddr,
        section: &str,
    ) -> Daemon {
        let at = |port| SocketAddr::new(machine, port);
        let (listen, operators) = (at(DAEMONS_PORT), at(OPERATORS_PORT));
        let [table, objects, weights, instances] = self.platform.addresses();
        let folder = self.folder.display();
        let text = format!(
            "[node]\nname = {name}\nrole = {role}\nregion = r\nhall = h\nlisten = {listen}\n\
             operators = {operators}\ncluster_key_file = {folder}/key\n\
             token_file = {folder}/token\nstop_grace_s = 30\n\
             [platform]\ntable = {table}\nobjects = {objects}\nweights = {weights}\n\
             instances = {instances}\n{section}"
        );
        let path = self.folder.join(format!("{name}.ini"));
        std::fs::write(&path, text).unwrap();
        self.platform.instances.add(Instance {
            id: InstanceId::from(name),
            place: Place { region: Region("r".into()), hall: Hall("h".into()) },
            process,
            address: listen,
            memory_bytes: 1 << 40,
            state: ListedState::Live,
        });
        let log = self.folder.join(format!("{name}.log"));
        // The daemon holds the network too: one that outlives a killed run keeps later ones away.
        let holder = OwnedFd::from(self.holder.try_clone().unwrap());
        let mut command = run_daemon(&path);
        command.stdin(holder).stderr(File::create(&log).unwrap());
        let child = command.spawn().unwrap();
        let (callers, name) = (at(CALLERS_PORT), name.to_owned());
        Daemon { child, operators, callers, engine: None, name, log }
    }

    /// Publishes weights and makes a number of replicas live.
    pub fn deploy(&self, entry: &Daemon, replicas: usize) -> Manifest {
        let content = vec![7; 200_000];
        let manifest = Manifest::describe("weights", &content).unwrap();
        let platform = self.platform.connect();
        let publish = client::publish(&*platform.weights, &*platform.objects, &manifest, content);
        async_io::block_on(publish).unwrap();
        let operator = entry.operator(TOKEN);
        let intent = lab::deploy_intent("tips", manifest.version(), replicas);
        let plan = retry(|| async_io::block_on(operator.plan(&intent)));
        async_io::block_on(operator.confirm(&plan.id)).unwrap();
        wait(|| {
            let rollout = async_io::block_on(operator.rollout(&"tips".into()));
            rollout.is_ok_and(|it| it.live >= replicas)
        });
        manifest
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Daemon {
    /// The operators' door.
    pub fn operator(&self, token: &str) -> Operator {
        Operator::new(self.operators, token)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits for the end of the process.
    pub fn wait_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(start.elapsed() < HANG, "the daemon does not end");
            sleep(Duration::from_millis(10));
        }
    }

    /// Tells how the daemon of a failed test fared, for one that ended at its start looks like one that hangs.
    fn tell(&mut self) {
        let ended = self.child.try_wait();
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        eprintln!("{}: ended: {ended:?}, log:\n{log}", self.name);
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.tell();
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The daemon's program with a settings file.
pub fn run_daemon(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_silverdockd"));
    command.arg(settings).stderr(Stdio::null());
    command
}

/// Waits until something has happened.
pub fn wait(happened: impl Fn() -> bool) {
    let start = Instant::now();
    while !happened() {
        assert!(start.elapsed() < HANG, "what the test waited for did not happen");
        sleep(Duration::from_millis(10));
    }
}

/// Tries until it succeeds: daemons take a moment to start and to hear of each other.
pub fn retry<T>(attempt: impl Fn() -> errors::Result<T>) -> T {
    let start = Instant::now();
    loop {
        match attempt() {
            Ok(value) => return value,
            Err(error) => assert!(start.elapsed() < HANG, "{error}"),
        }
        sleep(Duration::from_millis(20));
    }
}

/// Takes a network of loopback that no other stage has, of this process or another one. It is held as long as the
/// stage or one of its daemons lives. A port that is only seen to be free can be taken by another run before the
/// daemon binds it.
fn take_network() -> (u8, TcpListener) {
    let (machine, port) = HOLDER;
    let hold = |network| TcpListener::bind((network_address(network, machine), port));
    let free = NETWORKS.into_iter().find_map(|it| Some((it, hold(it).ok()?)));
    free.expect("some network of loopback is free")
}

fn network_address(network: u8, machine: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 78, network, machine)
}
