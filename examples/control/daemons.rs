//! Starts daemons as processes.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use client::OperatorClient;
use fleet::{Hall, Instance, InstanceId, ListedState, Location, Process, Region};
use rustix::process::{kill_process, Pid, Signal};
use standins::PlatformStandIn;

/// Operator token that all daemons accept.
const OPERATOR_TOKEN: &str = "token-of-the-control-example";
/// Cluster key that all daemons share.
const CLUSTER_KEY: &str = "key-of-the-control-example";
/// First port to try. It lies below the range that the system assigns automatically.
const FIRST_PORT: u16 = 20_000;
/// Number of data halls; the daemons are assigned to them in turn.
const HALL_COUNT: usize = 4;

/// A daemon process.
pub struct Daemon {
    /// The process.
    pub child: Child,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Whether the daemon is an entry.
    pub is_entry: bool,
    settings: PathBuf,
    /// Log files, one for each start of the process.
    pub logs: Vec<PathBuf>,
}

/// The daemons and the directory that holds their files.
pub struct Daemons {
    /// Every daemon.
    pub all: Vec<Daemon>,
    directory: PathBuf,
}

impl Daemons {
    /// Starts `count` daemons, two in five of them entries.
    pub fn start(platform: &PlatformStandIn, count: usize) -> eyre::Result<Self> {
        let directory =
            std::env::temp_dir().join(format!("silverdock-control-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        std::fs::write(directory.join("key"), CLUSTER_KEY)?;
        std::fs::write(directory.join("token"), OPERATOR_TOKEN)?;
        let mut daemons = Self { all: Vec::new(), directory };
        let mut port = FIRST_PORT;
        for number in 0..count {
            let settings = daemons.prepare(platform, number, &mut port)?;
            daemons.all.push(settings);
        }
        for daemon in &mut daemons.all {
            daemon.child = spawn(daemon)?;
        }
        Ok(daemons)
    }

    /// Writes the settings of a daemon and adds it to the platform's list of instances.
    fn prepare(
        &self,
        platform: &PlatformStandIn,
        number: usize,
        port: &mut u16,
    ) -> eyre::Result<Daemon> {
        let is_entry = number % 5 < 2;
        let name = if is_entry { format!("entry-{number}") } else { format!("agent-{number}") };
        let hall = format!("hall-{}", number % HALL_COUNT);
        let [listen, operators, third, fourth] = [(); 4].map(|()| free_port(port));
        let [table, objects, weights, instances] = platform.addresses();
        let role = if is_entry { "entry" } else { "agent" };
        let section = if is_entry {
            format!("[entry]\ncallers = {third}\n")
        } else {
            format!("[agent]\nupstream = {third}\nweights_listen = {fourth}\n")
        };
        let directory = self.directory.display();
        let text = format!(
            "[node]\nname = {name}\nrole = {role}\nregion = region\nhall = {hall}\n\
             listen = {listen}\noperators = {operators}\ncluster_key_file = {directory}/key\n\
             token_file = {directory}/token\n[platform]\ntable = {table}\nobjects = {objects}\n\
             weights = {weights}\ninstances = {instances}\n{section}"
        );
        let settings = self.directory.join(format!("{name}.ini"));
        std::fs::write(&settings, text)?;
        platform.instances.add(Instance {
            id: InstanceId(name),
            place: Location { region: Region("region".into()), hall: Hall(hall) },
            process: if is_entry { Process::Entry } else { Process::Engine },
            address: listen,
            memory_bytes: 1 << 30,
            state: ListedState::Live,
        });
        // Placeholder process until the daemon is spawned.
        let child = Command::new("true").spawn()?;
        Ok(Daemon { child, operators, is_entry, settings, logs: Vec::new() })
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        for daemon in &mut self.all {
            let _ = daemon.child.kill();
            let _ = daemon.child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Daemon {
    /// A client for the operator address.
    pub fn operator(&self) -> OperatorClient {
        OperatorClient::new(self.operators, OPERATOR_TOKEN)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }

    /// Kills the daemon and starts a new process with empty memory.
    pub fn restart(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        self.child = spawn(self)?;
        Ok(())
    }
}

fn spawn(daemon: &mut Daemon) -> eyre::Result<Child> {
    let log = daemon.settings.with_extension(format!("{}.log", daemon.logs.len()));
    let child = Command::new(std::env::current_exe()?)
        .arg("--daemon")
        .arg(&daemon.settings)
        .stdout(Stdio::null())
        .stderr(File::create(&log)?)
        .spawn()?;
    daemon.logs.push(log);
    Ok(child)
}

fn free_port(next: &mut u16) -> SocketAddr {
    loop {
        let address = SocketAddr::from(([127, 0, 0, 1], *next));
        *next += 1;
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
