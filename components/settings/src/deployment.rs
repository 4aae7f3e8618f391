//! The settings of a gateway or a sidecar on the users' platform.

use std::collections::BTreeMap;
use std::net::{AddrParseError, IpAddr, Ipv4Addr, SocketAddr};
use std::str::FromStr;

use fleet::{Ablation, Evacuations, Hall, InstanceId, Place, Region, ServiceName};

use crate::file::File;
use crate::Faults;

/// Bytes a second of a link of one Mbit/s.
const BYTES_PER_MBIT: f64 = 1_000_000.0 / 8.0;
/// How much the log may say, from nothing to everything.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Everything that a gateway or a sidecar is told at start.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentSettings {
    /// Who and where it is.
    pub node: DeploymentNode,
    /// The platform's store.
    pub store: StoreSettings,
    /// What the platform holds it to.
    pub bounds: BoundSettings,
    /// `[ablation]`: what is switched off for a measurement.
    pub ablation: Ablation,
    /// What it does.
    pub role: DeploymentRole,
}

/// `[node]`: who and where the process is.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentNode {
    /// Its unique name.
    pub name: InstanceId,
    /// Where it stands.
    pub place: Place,
    /// Every data hall with its region.
    pub halls: BTreeMap<Hall, Region>,
    /// The address of its machine.
    pub address: IpAddr,
    /// The first port that is free for messages between processes.
    pub first_port: u16,
    /// The last such port.
    pub last_port: u16,
    /// Memory that it may use, in megabytes.
    pub memory_mb: u64,
    /// Its link, in bytes a second.
    pub link_bytes_per_s: u64,
    /// The lowest level of logs that is written.
    pub log_level: String,
    /// The most lines of logs in a second.
    pub log_lines_per_s: u32,
}

/// `[store]`: the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Writing calls a second that all processes together may make.
    pub writes_per_s: u64,
    /// Reading calls a second that all processes together may make.
    pub reads_per_s: u64,
}

/// `[bounds]`: what the platform holds a process to.
#[derive(Clone, Debug, PartialEq)]
pub struct BoundSettings {
    /// Seconds between the signal to stop and the kill.
    pub grace_s: u64,
    /// Milliseconds after an outage of the store, or a failure of the process or its links, after which the
    /// bounds below hold again.
    pub contact_ms: u64,
    /// Milliseconds within which a leaving runner gets nothing new.
    pub drain_ms: u64,
    /// Milliseconds within which a configuration is in force.
    pub configuration_ms: u64,
    /// Milliseconds within which a named version is served.
    pub version_ms: u64,
    /// Repeats for each request.
    pub repeat_ratio: f64,
    /// Seconds over which repeats are counted.
    pub repeat_window_s: u64,
    /// Repeats on top in each window, of all gateways together.
    pub repeat_allowance: f64,
    /// Milliseconds within which nothing is sent to a data hall that is evacuated. `None` where the platform
    /// evacuates none.
    pub evacuate_ms: Option<u64>,
    /// How much a cold runner gets at most. `None` where the platform's runners do not start cold.
    pub cold: Option<ColdSettings>,
}

impl BoundSettings {
    /// Within how many milliseconds a data hall that is evacuated is left. A process that stood still takes what it
    /// reads when it wakes for new, and is bound again a contact time later: by then it must have left the hall. The
    /// bound may be longer by what is kept free of it.
    pub fn leave_ms(&self) -> Option<u64> {
        self.evacuate_ms.map(|it| it.min(self.contact_ms + Evacuations::NEWS_MARGIN))
    }
}

/// How many requests a cold runner gets at most in any second, from all gateways together: `overrun` times what
/// it bears, and `slack` on top.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSettings {
    /// The factor.
    pub overrun: f64,
    /// Requests on top.
    pub slack: f64,
}

/// What the process does.
#[derive(Clone, Debug, PartialEq)]
pub enum DeploymentRole {
    /// It takes requests from callers.
    Gateway(GatewaySettings),
    /// It stands beside a runner.
    Sidecar(SidecarSettings),
}

/// `[gateway]`: where a gateway listens.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For questions whether it is ready.
    pub readiness: SocketAddr,
}

/// `[sidecar]`: the runner that a sidecar stands beside.
#[derive(Clone, Debug, PartialEq)]
pub struct SidecarSettings {
    /// Where the runner listens.
    pub runner: SocketAddr,
    /// The service that it belongs to.
    pub service: ServiceName,
}

impl DeploymentSettings {
    /// Whether a text is meant to hold such settings.
    pub fn is_meant(text: &str) -> bool {
        text.lines().map(str::trim).any(|line| line == "[gateway]" || line == "[sidecar]")
    }

    /// Reads and checks a whole file. Every fault is reported.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut file = File::parse(text)?;
        let role = if text.lines().any(|line| line.trim() == "[gateway]") {
            DeploymentRole::Gateway(gateway(&mut file))
        } else {
            DeploymentRole::Sidecar(sidecar(&mut file))
        };
        let settings = Self {
            node: node(&mut file),
            store: store(&mut file),
            bounds: bounds(&mut file),
            ablation: ablation(&mut file),
            role,
        };
        file.finish()?;
        Ok(settings)
    }

    /// What a gateway is told, if this is one.
    pub fn gateway(&self) -> Option<&GatewaySettings> {
        match &self.role {
            DeploymentRole::Gateway(gateway) => Some(gateway),
            DeploymentRole::Sidecar(_) => None,
        }
    }

    /// What a sidecar is told, if this is one.
    pub fn sidecar(&self) -> Option<&SidecarSettings> {
        match &self.role {
            DeploymentRole::Gateway(_) => None,
            DeploymentRole::Sidecar(sidecar) => Some(sidecar),
        }
    }
}

fn node(file: &mut File) -> DeploymentNode {
    let section = "node";
    let hall: String = file.need(section, "hall", "the name of the data hall");
    let region: String = file.need(section, "region", "the name of the region");
    let name: String = file.need(section, "name", "a unique name");
    let places: String =
        file.with_default(section, "halls", String::new(), "HALL=REGION, split by commas");
    let address = file.with_default(
        section,
        "address",
        IpAddr::V4(Ipv4Addr::LOCALHOST),
        "the IP address of the machine",
    );
    let first_port = file.bounded(section, "first_port", 7700, (1, u16::MAX));
    let last_port = file.bounded(section, "last_port", first_port, (first_port, u16::MAX));
    let memory_mb = file.bounded(section, "memory_mb", 256, (16, 1 << 20));
    let link: f64 = file.bounded(section, "link_mbps", 1000.0, (0.1, 1e6));
    let log_level = log_level(file, section);
    DeploymentNode {
        name: InstanceId(name),
        place: Place { region: Region(region), hall: Hall(hall) },
        halls: halls(&places),
        address,
        first_port,
        last_port,
        memory_mb,
        link_bytes_per_s: (link * BYTES_PER_MBIT) as u64,
        log_level,
        log_lines_per_s: file.bounded(section, "log_lines_per_s", 100, (1, 100_000)),
    }
}

fn log_level(file: &mut File, section: &str) -> String {
    let expected = LOG_LEVELS.join(", ");
    let level = file.with_default(section, "log_level", "info".to_owned(), &expected);
    if !LOG_LEVELS.iter().any(|it| it.eq_ignore_ascii_case(&level)) {
        file.complain(section, "log_level", &level, &expected);
    }
    level
}

fn halls(text: &str) -> BTreeMap<Hall, Region> {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    pairs.map(|(hall, region)| (Hall(hall.trim().into()), Region(region.trim().into()))).collect()
}

fn store(file: &mut File) -> StoreSettings {
    let section = "store";
    StoreSettings {
        address: address(file, section, "address"),
        writes_per_s: file.need_bounded(section, "writes_per_s", (0.0, 1e9)) as u64,
        reads_per_s: file.need_bounded(section, "reads_per_s", (0.0, 1e9)) as u64,
    }
}

/// Every bound decides something, so none has a default.
fn bounds(file: &mut File) -> BoundSettings {
    let section = "bounds";
    let whole = |it: f64| it as u64;
    BoundSettings {
        grace_s: whole(file.need_bounded(section, "grace_s", (0.0, 3600.0))),
        contact_ms: whole(file.need_bounded(section, "contact_ms", (0.0, 1e7))),
        drain_ms: whole(file.need_bounded(section, "drain_ms", (0.0, 1e7))),
        configuration_ms: whole(file.need_bounded(section, "configuration_ms", (0.0, 1e7))),
        version_ms: whole(file.need_bounded(section, "version_ms", (0.0, 1e7))),
        repeat_ratio: file.need_bounded(section, "repeat_ratio", (0.0, 100.0)),
        repeat_window_s: whole(file.need_bounded(section, "repeat_window_s", (1.0, 3600.0))),
        repeat_allowance: file.need_bounded(section, "repeat_allowance", (0.0, 1e9)),
        evacuate_ms: file.optional_bounded(section, "evacuate_ms", (0.0, 1e7)).map(whole),
        cold: cold(file, section),
    }
}

/// Both or none: one without the other would leave a bound to a guess.
fn cold(file: &mut File, section: &str) -> Option<ColdSettings> {
    let overrun = file.optional_bounded(section, "cold_overrun", (0.0, 100.0));
    let slack = file.optional_bounded(section, "cold_slack", (0.0, 1e6));
    match (overrun, slack) {
        (Some(overrun), Some(slack)) => Some(ColdSettings { overrun, slack }),
        (None, None) => None,
        _ => {
            file.complain(section, "cold_slack", "", "cold_overrun and cold_slack, or neither");
            None
        }
    }
}

fn ablation(file: &mut File) -> Ablation {
    let expected = "names of mechanisms, split by commas; see docs/POLICY.md";
    file.with_default("ablation", "without", Ablation::default(), expected)
}

fn gateway(file: &mut File) -> GatewaySettings {
    GatewaySettings {
        callers: address(file, "gateway", "callers"),
        readiness: address(file, "gateway", "readiness"),
    }
}

fn sidecar(file: &mut File) -> SidecarSettings {
    let service: String = file.need("sidecar", "service", "the name of the runner's service");
    SidecarSettings { runner: address(file, "sidecar", "runner"), service: ServiceName(service) }
}

/// An address with a port that must be given.
struct Address(SocketAddr);

impl Default for Address {
    fn default() -> Self {
        Self(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
    }
}

impl FromStr for Address {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

fn address(file: &mut File, section: &str, key: &str) -> SocketAddr {
    file.need::<Address>(section, key, "an address with a port").0
}
