//! Settings of a gateway or sidecar that runs on the users' platform.

use std::collections::BTreeMap;
use std::net::{AddrParseError, IpAddr, Ipv4Addr, SocketAddr};
use std::str::FromStr;

use fleet::{Ablation, Evacuations, Hall, InstanceId, Location, Region, ServiceName};

use crate::file::IniFile;
use crate::Faults;

/// Bytes per second of a 1 Mbit/s link.
const BYTES_PER_MBIT: f64 = 1_000_000.0 / 8.0;
/// The accepted log levels, from no output to the most verbose.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// All settings of a gateway or sidecar.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentSettings {
    /// Name, location and resources of the process.
    pub node: DeploymentNode,
    /// Address and rate limits of the platform's store.
    pub store: StoreSettings,
    /// Limits that the platform imposes on the process.
    pub bounds: BoundSettings,
    /// `[ablation]`: mechanisms that are disabled for a measurement.
    pub ablation: Ablation,
    /// Whether the process is a gateway or a sidecar, with the settings of that role.
    pub role: DeploymentRole,
}

/// `[node]`: name, location and resources of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentNode {
    /// The unique name of the process.
    pub name: InstanceId,
    /// The region and data hall of the process.
    pub place: Location,
    /// Every data hall with its region.
    pub halls: BTreeMap<Hall, Region>,
    /// The IP address of the machine.
    pub address: IpAddr,
    /// The first port of the range for messages between processes.
    pub first_port: u16,
    /// The last port of that range, inclusive.
    pub last_port: u16,
    /// Memory limit of the process, in megabytes.
    pub memory_mb: u64,
    /// Bandwidth of the machine's link, in bytes per second.
    pub link_bytes_per_s: u64,
    /// The least severe log level that is written.
    pub log_level: String,
    /// Maximum number of log lines per second.
    pub log_lines_per_s: u32,
}

/// `[store]`: address and rate limits of the platform's store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// The address on which the store listens.
    pub address: SocketAddr,
    /// Maximum number of write calls per second from all processes together.
    pub writes_per_s: u64,
    /// Maximum number of read calls per second from all processes together.
    pub reads_per_s: u64,
}

/// `[bounds]`: limits that the platform imposes on a process.
#[derive(Clone, Debug, PartialEq)]
pub struct BoundSettings {
    /// Seconds between the stop signal and the kill.
    pub grace_s: u64,
    /// Milliseconds after the end of a store outage, or of a failure of the process or its links, until the bounds
    /// below apply again.
    pub contact_ms: u64,
    /// Milliseconds within which a leaving runner stops receiving new requests.
    pub drain_ms: u64,
    /// Milliseconds within which a new configuration takes effect.
    pub configuration_ms: u64,
    /// Milliseconds within which a newly announced version is served.
    pub version_ms: u64,
    /// Maximum number of retries per request in each window.
    pub retry_ratio: f64,
    /// Length of the window over which retries are counted, in seconds.
    pub retry_window_s: u64,
    /// Additional retries that all gateways together may send in each window.
    pub retry_allowance: f64,
    /// Milliseconds after which no more requests are sent to a data hall that is being evacuated. `None` if the
    /// platform evacuates no data halls.
    pub evacuate_ms: Option<u64>,
    /// Limit on the request rate of a cold runner. `None` if the platform's runners do not start cold.
    pub cold: Option<ColdSettings>,
}

impl BoundSettings {
    /// Returns the milliseconds within which a process stops sending requests to an evacuated data hall.
    ///
    /// A process that was suspended treats an evacuation that it reads after it resumes as new, and the bounds apply to
    /// it again `contact_ms` later. It must have left the hall by then, so the result is at most `contact_ms` plus
    /// `Evacuations::PROPAGATION_MARGIN_MS`, the margin that is subtracted from the result before it is used.
    pub fn evacuation_limit_ms(&self) -> Option<u64> {
        self.evacuate_ms.map(|it| it.min(self.contact_ms + Evacuations::PROPAGATION_MARGIN_MS))
    }
}

/// Limit on the requests that a cold runner receives in any second from all gateways together: `overrun` times the
/// rate that it can handle, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSettings {
    /// Factor on the rate that the runner can handle.
    pub overrun: f64,
    /// Additional requests per second.
    pub slack: f64,
}

/// The role of the process, with its settings.
#[derive(Clone, Debug, PartialEq)]
pub enum DeploymentRole {
    /// Accepts requests from callers.
    Gateway(GatewaySettings),
    /// Runs next to a runner.
    Sidecar(SidecarSettings),
}

/// `[gateway]`: listening addresses of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for readiness checks.
    pub readiness: SocketAddr,
}

/// `[sidecar]`: the runner that a sidecar runs next to.
#[derive(Clone, Debug, PartialEq)]
pub struct SidecarSettings {
    /// The address on which the runner listens.
    pub runner: SocketAddr,
    /// The service that the runner belongs to.
    pub service: ServiceName,
}

impl DeploymentSettings {
    /// Returns whether a text has a `[gateway]` or `[sidecar]` section.
    pub fn has_deployment_section(text: &str) -> bool {
        text.lines().map(str::trim).any(|line| line == "[gateway]" || line == "[sidecar]")
    }

    /// Parses and validates a whole file. All faults are reported together.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut file = IniFile::parse(text)?;
        let role = if text.lines().any(|line| line.trim() == "[gateway]") {
            DeploymentRole::Gateway(read_gateway(&mut file))
        } else {
            DeploymentRole::Sidecar(read_sidecar(&mut file))
        };
        let settings = Self {
            node: read_node(&mut file),
            store: read_store(&mut file),
            bounds: read_bounds(&mut file),
            ablation: read_ablation(&mut file),
            role,
        };
        file.finish()?;
        Ok(settings)
    }

    /// Returns the gateway settings if the process is a gateway.
    pub fn gateway(&self) -> Option<&GatewaySettings> {
        match &self.role {
            DeploymentRole::Gateway(gateway) => Some(gateway),
            DeploymentRole::Sidecar(_) => None,
        }
    }

    /// Returns the sidecar settings if the process is a sidecar.
    pub fn sidecar(&self) -> Option<&SidecarSettings> {
        match &self.role {
            DeploymentRole::Gateway(_) => None,
            DeploymentRole::Sidecar(sidecar) => Some(sidecar),
        }
    }
}

fn read_node(file: &mut IniFile) -> DeploymentNode {
    let section = "node";
    let hall: String = file.require(section, "hall", "the name of the data hall");
    let region: String = file.require(section, "region", "the name of the region");
    let name: String = file.require(section, "name", "a unique name");
    let halls: String = file.value_or_default(
        section,
        "halls",
        String::new(),
        "HALL=REGION pairs, separated by commas",
    );
    let address = file.value_or_default(
        section,
        "address",
        IpAddr::V4(Ipv4Addr::LOCALHOST),
        "the IP address of the machine",
    );
    let first_port = file.bounded_or_default(section, "first_port", 7700, (1, u16::MAX));
    let last_port =
        file.bounded_or_default(section, "last_port", first_port, (first_port, u16::MAX));
    let memory_mb = file.bounded_or_default(section, "memory_mb", 256, (16, 1 << 20));
    let link_mbps: f64 = file.bounded_or_default(section, "link_mbps", 1000.0, (0.1, 1e6));
    let log_level = read_log_level(file, section);
    DeploymentNode {
        name: InstanceId(name),
        place: Location { region: Region(region), hall: Hall(hall) },
        halls: parse_halls(&halls),
        address,
        first_port,
        last_port,
        memory_mb,
        link_bytes_per_s: (link_mbps * BYTES_PER_MBIT) as u64,
        log_level,
        log_lines_per_s: file.bounded_or_default(section, "log_lines_per_s", 100, (1, 100_000)),
    }
}

fn read_log_level(file: &mut IniFile, section: &str) -> String {
    let expected = LOG_LEVELS.join(", ");
    let level = file.value_or_default(section, "log_level", "info".to_owned(), &expected);
    if !LOG_LEVELS.iter().any(|it| it.eq_ignore_ascii_case(&level)) {
        file.report_fault(section, "log_level", &level, &expected);
    }
    level
}

fn parse_halls(text: &str) -> BTreeMap<Hall, Region> {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    pairs.map(|(hall, region)| (Hall(hall.trim().into()), Region(region.trim().into()))).collect()
}

fn read_store(file: &mut IniFile) -> StoreSettings {
    let section = "store";
    StoreSettings {
        address: read_address(file, section, "address"),
        writes_per_s: file.require_bounded(section, "writes_per_s", (0.0, 1e9)) as u64,
        reads_per_s: file.require_bounded(section, "reads_per_s", (0.0, 1e9)) as u64,
    }
}

/// Reads `[bounds]`. The required bounds have no defaults, because each of them affects a decision.
fn read_bounds(file: &mut IniFile) -> BoundSettings {
    let section = "bounds";
    let to_integer = |it: f64| it as u64;
    BoundSettings {
        grace_s: to_integer(file.require_bounded(section, "grace_s", (0.0, 3600.0))),
        contact_ms: to_integer(file.require_bounded(section, "contact_ms", (0.0, 1e7))),
        drain_ms: to_integer(file.require_bounded(section, "drain_ms", (0.0, 1e7))),
        configuration_ms: to_integer(file.require_bounded(section, "configuration_ms", (0.0, 1e7))),
        version_ms: to_integer(file.require_bounded(section, "version_ms", (0.0, 1e7))),
        retry_ratio: file.require_bounded(section, "repeat_ratio", (0.0, 100.0)),
        retry_window_s: to_integer(file.require_bounded(section, "repeat_window_s", (1.0, 3600.0))),
        retry_allowance: file.require_bounded(section, "repeat_allowance", (0.0, 1e9)),
        evacuate_ms: file.optional_bounded(section, "evacuate_ms", (0.0, 1e7)).map(to_integer),
        cold: read_cold(file, section),
    }
}

/// Reads `cold_overrun` and `cold_slack`. One without the other is a fault: the missing one would have to be guessed.
fn read_cold(file: &mut IniFile, section: &str) -> Option<ColdSettings> {
    let overrun = file.optional_bounded(section, "cold_overrun", (0.0, 100.0));
    let slack = file.optional_bounded(section, "cold_slack", (0.0, 1e6));
    match (overrun, slack) {
        (Some(overrun), Some(slack)) => Some(ColdSettings { overrun, slack }),
        (None, None) => None,
        _ => {
            file.report_fault(
                section,
                "cold_slack",
                "",
                "both cold_overrun and cold_slack, or neither",
            );
            None
        }
    }
}

fn read_ablation(file: &mut IniFile) -> Ablation {
    let expected = "names of mechanisms, separated by commas; see docs/POLICY.md";
    file.value_or_default("ablation", "without", Ablation::default(), expected)
}

fn read_gateway(file: &mut IniFile) -> GatewaySettings {
    GatewaySettings {
        callers: read_address(file, "gateway", "callers"),
        readiness: read_address(file, "gateway", "readiness"),
    }
}

fn read_sidecar(file: &mut IniFile) -> SidecarSettings {
    let service: String = file.require("sidecar", "service", "the name of the runner's service");
    SidecarSettings {
        runner: read_address(file, "sidecar", "runner"),
        service: ServiceName(service),
    }
}

/// A required socket address. Its default is a placeholder, so that the rest of the file is checked after a fault.
struct RequiredAddress(SocketAddr);

impl Default for RequiredAddress {
    fn default() -> Self {
        Self(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
    }
}

impl FromStr for RequiredAddress {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

fn read_address(file: &mut IniFile, section: &str, key: &str) -> SocketAddr {
    file.require::<RequiredAddress>(section, key, "an address with a port").0
}
