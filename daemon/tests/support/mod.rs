//! Runs daemons as processes, with stand-ins of the platform and the engines in the test process.

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
use client::OperatorClient;
use fleet::{Hall, Instance, InstanceId, ListedState, Location, Manifest, Process, Region};
use lab::Lab;
use net::{Server, ServerLimits, Tasks};
use rustix::process::{kill_process, Pid, Signal};
use standins::{Engine, EngineOptions, PlatformOptions, PlatformStandIn};

/// Operator token of these tests.
pub const OPERATOR_TOKEN: &str = "token-of-the-process-tests";
const CLUSTER_KEY: &str = "key-of-the-process-tests";
/// Port of daemons for messages of other daemons. All ports lie below the range that the system assigns
/// automatically.
const DAEMONS_PORT: u16 = 7101;
/// Port of daemons for operators.
const OPERATORS_PORT: u16 = 7102;
/// Port of entries for callers.
const CALLERS_PORT: u16 = 7103;
/// Port of agents for weights.
const WEIGHTS_PORT: u16 = 7104;
/// Loopback networks for clusters, so that several can run at the same time.
const NETWORKS: std::ops::Range<u8> = 1..250;
/// Machine and port of the socket that reserves a network.
const NETWORK_LOCK: (u8, u16) = (254, 7999);
/// Timeout of any single wait; a test that exceeds it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The platform, a directory for settings, and a loopback network with an address for each daemon.
pub struct TestCluster {
    pub platform: PlatformStandIn,
    pub directory: PathBuf,
    tasks: Tasks,
    network: u8,
    network_lock: TcpListener,
    machine_count: AtomicU8,
    /// The grace period of the daemons that are started from now on, in seconds.
    pub stop_grace_s: u64,
}

/// A daemon process, which is killed at the end of the test.
pub struct Daemon {
    pub child: Child,
    pub operators: SocketAddr,
    pub callers: SocketAddr,
    /// The engine of an agent.
    pub engine: Option<Arc<Engine>>,
    name: String,
    log: PathBuf,
}

impl TestCluster {
    /// Starts the platform. `name` distinguishes the directories of the tests.
    pub fn new(name: &str) -> Self {
        let executor = Arc::new(Executor::new());
        Lab::run_threads(&executor);
        let tasks = Tasks::new(&executor);
        let options = PlatformOptions { origin_bytes_per_s: 64 << 20 };
        let platform = async_io::block_on(PlatformStandIn::start(&tasks, options)).unwrap();
        let directory =
            std::env::temp_dir().join(format!("silverdock-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        std::fs::write(directory.join("key"), CLUSTER_KEY).unwrap();
        std::fs::write(directory.join("token"), OPERATOR_TOKEN).unwrap();
        let (network, network_lock) = reserve_network();
        Self {
            platform,
            directory,
            tasks,
            network,
            network_lock,
            machine_count: AtomicU8::new(0),
            stop_grace_s: 30,
        }
    }

    /// Returns the address of a new machine.
    fn new_machine(&self) -> IpAddr {
        let machine = self.machine_count.fetch_add(1, Ordering::Relaxed) + 1;
        assert!(machine < NETWORK_LOCK.0, "the network has no more addresses");
        network_address(self.network, machine).into()
    }

    /// Starts an entry.
    pub fn entry(&self, name: &str) -> Daemon {
        let machine = self.new_machine();
        let callers = SocketAddr::new(machine, CALLERS_PORT);
        let role = format!("[entry]\ncallers = {callers}\ndeadline_s = 30\n");
        self.start(name, "entry", Process::Entry, machine, &role)
    }

    /// Starts an engine stand-in and its agent.
    pub fn engine(&self, name: &str, options: EngineOptions) -> Daemon {
        let engine = Arc::new(Engine::new(&self.tasks, options));
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let serving = Server::start(&self.tasks, any_port, ServerLimits::default(), engine.clone());
        let server = async_io::block_on(serving).unwrap();
        let mut daemon = self.agent(name, server.address());
        // The engine runs until the test process ends.
        std::mem::forget(server);
        daemon.engine = Some(engine);
        daemon
    }

    /// Starts the agent of an engine at an address.
    pub fn agent(&self, name: &str, engine: SocketAddr) -> Daemon {
        let machine = self.new_machine();
        let weights = SocketAddr::new(machine, WEIGHTS_PORT);
        let role = format!("[agent]\nupstream = {engine}\nweights_listen = {weights}\n");
        self.start(name, "agent", Process::Engine, machine, &role)
    }

    fn start(
        &self,
        name: &str,
        role: &str,
        process: Process,
        machine: IpAddr,
        section: &str,
    ) -> Daemon {
        let address = |port| SocketAddr::new(machine, port);
        let (listen, operators) = (address(DAEMONS_PORT), address(OPERATORS_PORT));
        let [table, objects, weights, instances] = self.platform.addresses();
        let directory = self.directory.display();
        let stop_grace_s = self.stop_grace_s;
        let text = format!(
            "[node]\nname = {name}\nrole = {role}\nregion = r\nhall = h\nlisten = {listen}\n\
             operators = {operators}\ncluster_key_file = {directory}/key\n\
             token_file = {directory}/token\nstop_grace_s = {stop_grace_s}\n\
             [platform]\ntable = {table}\nobjects = {objects}\nweights = {weights}\n\
             instances = {instances}\n{section}"
        );
        let path = self.directory.join(format!("{name}.ini"));
        std::fs::write(&path, text).unwrap();
        self.platform.instances.add(Instance {
            id: InstanceId::from(name),
            place: Location { region: Region("r".into()), hall: Hall("h".into()) },
            process,
            address: listen,
            memory_bytes: 1 << 40,
            state: ListedState::Live,
        });
        let log = self.directory.join(format!("{name}.log"));
        // The daemon also holds the reservation of the network, so that later runs avoid the network of a
        // daemon that outlives a killed run.
        let network_lock = OwnedFd::from(self.network_lock.try_clone().unwrap());
        let mut command = run_daemon(&path);
        command.stdin(network_lock).stderr(File::create(&log).unwrap());
        let child = command.spawn().unwrap();
        let (callers, name) = (address(CALLERS_PORT), name.to_owned());
        Daemon { child, operators, callers, engine: None, name, log }
    }

    /// Publishes weights, deploys a number of replicas and waits until they are live.
    pub fn deploy(&self, entry: &Daemon, replicas: usize) -> Manifest {
        let content = vec![7; 200_000];
        let manifest = Manifest::describe("weights", &content).unwrap();
        let platform = self.platform.connect();
        let publish = client::publish(&*platform.weights, &*platform.objects, &manifest, content);
        async_io::block_on(publish).unwrap();
        let operator = entry.operator(OPERATOR_TOKEN);
        let intent = lab::deploy_intent("tips", manifest.version(), replicas);
        let plan = retry(|| async_io::block_on(operator.plan(&intent)));
        async_io::block_on(operator.confirm(&plan.id)).unwrap();
        wait_until(|| {
            let rollout = async_io::block_on(operator.rollout(&"tips".into()));
            rollout.is_ok_and(|it| it.live >= replicas)
        });
        manifest
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Daemon {
    /// A client for the operator address.
    pub fn operator(&self, token: &str) -> OperatorClient {
        OperatorClient::new(self.operators, token)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits until the process has exited.
    pub fn wait_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "the daemon did not exit");
            sleep(Duration::from_millis(10));
        }
    }

    /// Prints the state and the log of the daemon of a failed test, because a daemon that ended during its
    /// start looks like one that hangs.
    fn print_state(&mut self) {
        let exit_status = self.child.try_wait();
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        eprintln!("{}: ended: {exit_status:?}, log:\n{log}", self.name);
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_state();
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the command of the daemon with a settings file.
pub fn run_daemon(settings: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_silverdockd"));
    command.arg(settings).stderr(Stdio::null());
    command
}

/// Waits until `happened` returns `true`.
pub fn wait_until(happened: impl Fn() -> bool) {
    let start = Instant::now();
    while !happened() {
        assert!(start.elapsed() < TEST_TIMEOUT, "timed out: the expected state was not reached");
        sleep(Duration::from_millis(10));
    }
}

/// Repeats an attempt until it succeeds, because daemons take a moment to start and to learn of each other.
pub fn retry<T>(attempt: impl Fn() -> errors::Result<T>) -> T {
    let start = Instant::now();
    loop {
        match attempt() {
            Ok(value) => return value,
            Err(error) => assert!(start.elapsed() < TEST_TIMEOUT, "{error}"),
        }
        sleep(Duration::from_millis(20));
    }
}

/// Reserves a loopback network that no other cluster uses, in this process or another one, as long as the
/// cluster or one of its daemons lives. Checking that ports are free would not suffice: another run could take
/// them before the daemon binds them.
fn reserve_network() -> (u8, TcpListener) {
    let (machine, port) = NETWORK_LOCK;
    let lock = |network| TcpListener::bind((network_address(network, machine), port));
    let free = NETWORKS.into_iter().find_map(|it| Some((it, lock(it).ok()?)));
    free.expect("a loopback network is free")
}

fn network_address(network: u8, machine: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 78, network, machine)
}
