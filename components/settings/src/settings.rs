//! Settings of a fleet daemon: an entry or an agent.

use std::net::SocketAddr;
use std::path::PathBuf;

use fleet::{Hall, InstanceId, Location, Region, ServiceName};

use crate::file::IniFile;
use crate::Faults;

/// All settings of a daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name, location and addresses of the daemon.
    pub node: NodeSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Weights of rollout time against bytes read from the origin.
    pub profile: ProfileSettings,
    /// Whether the daemon is an entry or an agent, with the settings of that role.
    pub role: RoleSettings,
}

/// `[node]`: name, location and addresses of the daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The unique name of the instance.
    pub name: InstanceId,
    /// The region and data hall of the instance.
    pub place: Location,
    /// Listening address for other daemons, over TCP and UDP.
    pub listen: SocketAddr,
    /// Listening address for operators, metrics scrapers and health checks.
    pub operators: SocketAddr,
    /// The file with one or two cluster keys, one per line.
    pub cluster_key_file: PathBuf,
    /// The file with one or two operator tokens, one per line.
    pub token_file: PathBuf,
    /// The least severe log level that is written.
    pub log_level: String,
    /// Seconds that a graceful shutdown waits for requests in progress.
    pub stop_grace_s: u64,
    /// Bandwidth limit for messages between daemons, in bytes per second.
    pub control_bytes_per_s: u64,
}

/// `[platform]`: addresses of the platform's services.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// The transactional table.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The origin of weights.
    pub weights: SocketAddr,
    /// The instance list.
    pub instances: SocketAddr,
}

/// `[profile]`: weights of the time until a version is live against the bytes read from the origin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProfileSettings {
    /// The weight of the time until a version is live.
    pub time_weight: f64,
    /// The weight of the bytes read from the origin.
    pub origin_weight: f64,
    /// Bandwidth of the origin's link, in bytes per second.
    pub origin_bytes_per_s: u64,
    /// Bandwidth of an instance's link in bytes per second, for estimates in plans.
    pub link_bytes_per_s: u64,
}

impl ProfileSettings {
    /// Maximum number of copies that are read from the origin when a version is distributed.
    pub const MAX_COPIES: u32 = 4;

    /// Returns how many data halls may each read a copy from the origin: 1 if only origin bytes have weight, up to
    /// `MAX_COPIES` if only time has weight.
    pub fn origin_copies(&self) -> u32 {
        let time_share = self.time_weight / (self.time_weight + self.origin_weight);
        let copies = (time_share * f64::from(Self::MAX_COPIES)).round() as u32;
        copies.clamp(1, Self::MAX_COPIES)
    }
}

/// The role of the daemon, with its settings.
#[derive(Clone, Debug, PartialEq)]
pub enum RoleSettings {
    /// Accepts requests from callers and intents from operators.
    Entry(EntrySettings),
    /// Runs next to an upstream.
    Agent(AgentSettings),
}

/// `[entry]`: settings of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Maximum number of requests that wait for an upstream.
    pub queue_limit: u32,
    /// Deadline in seconds of a request whose caller specifies none.
    pub deadline_s: u64,
    /// Maximum size of a request body, in bytes.
    pub body_limit_bytes: u64,
    /// Maximum ratio of retries to first attempts, from 0 to 1.
    pub retry_share: f64,
    /// Kinds of requests and how they are handled; `[kind.NAME]`.
    pub kinds: Vec<RequestKind>,
}

/// `[kind.NAME]`: how requests whose path starts with a prefix are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestKind {
    /// The name of the kind in logs and metrics.
    pub name: String,
    /// The path prefix.
    pub path: String,
    /// The plain service that handles the requests; `None` for models.
    pub service: Option<ServiceName>,
    /// Whether a request may be executed more than once.
    pub repeatable: bool,
    /// Requests with a higher priority are sent first.
    pub priority: u8,
    /// Maximum time that a request waits for an upstream, in milliseconds.
    pub max_wait_ms: u64,
}

impl RequestKind {
    /// Default of `max_wait_ms`, in milliseconds. With the time to process the prompt, the first token still arrives
    /// within 0.36 s.
    pub const DEFAULT_MAX_WAIT_MS: u64 = 250;
}

/// `[agent]`: settings of an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// The address on which the upstream listens.
    pub upstream: SocketAddr,
    /// The plain service next to the agent; `None` for a model engine.
    pub service: Option<ServiceName>,
    /// Whether the engine itself rejects orders with an old epoch.
    pub upstream_checks_fence: bool,
    /// Listening address from which the engine reads staged weights. Only the engine next to the agent connects to it.
    pub weights_listen: SocketAddr,
    /// Maximum number of requests that the upstream handles concurrently.
    pub concurrency: u32,
    /// Memory available for weights, in bytes.
    pub memory_bytes: u64,
    /// Bandwidth of the instance's link.
    pub link: LinkSettings,
}

/// `[link]`: bandwidth of the instance's link and the part reserved for serving.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkSettings {
    /// Upload bandwidth, in bytes per second.
    pub upload_bytes_per_s: u64,
    /// Download bandwidth, in bytes per second.
    pub download_bytes_per_s: u64,
    /// Percentage of the bandwidth that is reserved for serving.
    pub serving_percent: u64,
}

impl LinkSettings {
    /// Returns the part of a bandwidth that is available for weights, without the part reserved for serving.
    pub fn weights_bandwidth(&self, bytes_per_s: u64) -> u64 {
        (bytes_per_s * (100 - self.serving_percent) / 100).max(1)
    }
}

/// What a fault in an address is reported to expect.
const EXPECTED_ADDRESS: &str = "an address such as 127.0.0.1:7400";
/// Lower and upper bound of memory sizes, in bytes, and of bandwidths, in bytes per second.
const BYTES_BOUNDS: (u64, u64) = (1024, 1 << 50);
/// Default memory for weights, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 16 << 30;
/// Default bandwidth of a link, in bytes per second.
const DEFAULT_LINK_BYTES_PER_S: u64 = 1 << 30;

impl Settings {
    /// Parses and validates a whole file. All faults are reported together.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut file = IniFile::parse(text)?;
        let node = read_node(&mut file);
        let platform = read_platform(&mut file);
        let profile = read_profile(&mut file);
        let role = read_role(&mut file);
        file.finish()?;
        Ok(Self { node, platform, profile, role })
    }
}

fn read_address(file: &mut IniFile, section: &str, key: &str) -> SocketAddr {
    let address: RequiredAddress = file.require(section, key, EXPECTED_ADDRESS);
    address.0
}

/// A required socket address. Its default is a placeholder, so that the rest of the file is checked after a fault.
struct RequiredAddress(SocketAddr);

impl Default for RequiredAddress {
    fn default() -> Self {
        Self(SocketAddr::from(([127, 0, 0, 1], 0)))
    }
}

impl std::str::FromStr for RequiredAddress {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

fn read_node(file: &mut IniFile) -> NodeSettings {
    let section = "node";
    let place = Location {
        region: Region(file.require(section, "region", "the name of a region")),
        hall: Hall(file.require(section, "hall", "the name of a hall")),
    };
    let level: String = file.value_or_default(section, "log_level", "info".into(), "a log level");
    if !["error", "warn", "info", "debug", "trace"].contains(&level.as_str()) {
        file.report_fault(section, "log_level", &level, "error, warn, info, debug or trace");
    }
    NodeSettings {
        name: InstanceId(file.require(section, "name", "the instance's unique name")),
        place,
        listen: read_address(file, section, "listen"),
        operators: read_address(file, section, "operators"),
        cluster_key_file: file.require(section, "cluster_key_file", "the path of a key file"),
        token_file: file.require(section, "token_file", "the path of a token file"),
        log_level: level,
        stop_grace_s: file.bounded_or_default(section, "stop_grace_s", 60, (0, 3600)),
        control_bytes_per_s: file.bounded_or_default(
            section,
            "control_bytes_per_s",
            3000,
            (200, 1 << 30),
        ),
    }
}

fn read_platform(file: &mut IniFile) -> PlatformSettings {
    PlatformSettings {
        table: read_address(file, "platform", "table"),
        objects: read_address(file, "platform", "objects"),
        weights: read_address(file, "platform", "weights"),
        instances: read_address(file, "platform", "instances"),
    }
}

fn read_profile(file: &mut IniFile) -> ProfileSettings {
    let section = "profile";
    let profile = ProfileSettings {
        time_weight: file.bounded_or_default(section, "time_weight", 1.0, (0.0, 1000.0)),
        origin_weight: file.bounded_or_default(section, "origin_weight", 1.0, (0.0, 1000.0)),
        origin_bytes_per_s: file.bounded_or_default(
            section,
            "origin_bytes_per_s",
            DEFAULT_LINK_BYTES_PER_S,
            BYTES_BOUNDS,
        ),
        link_bytes_per_s: file.bounded_or_default(
            section,
            "link_bytes_per_s",
            DEFAULT_LINK_BYTES_PER_S,
            BYTES_BOUNDS,
        ),
    };
    if profile.time_weight + profile.origin_weight <= 0.0 {
        let value = profile.origin_weight.to_string();
        file.report_fault(section, "origin_weight", &value, "at least one weight above 0");
    }
    profile
}

fn read_role(file: &mut IniFile) -> RoleSettings {
    let expected = "entry or agent";
    let role: String = file.require("node", "role", expected);
    match role.as_str() {
        "agent" => RoleSettings::Agent(read_agent(file)),
        "entry" => RoleSettings::Entry(read_entry(file)),
        other => {
            if !other.is_empty() {
                file.report_fault("node", "role", other, expected);
            }
            RoleSettings::Entry(read_entry(file))
        }
    }
}

fn read_entry(file: &mut IniFile) -> EntrySettings {
    let section = "entry";
    EntrySettings {
        callers: read_address(file, section, "callers"),
        queue_limit: file.bounded_or_default(section, "queue_limit", 256, (0, 1 << 20)),
        deadline_s: file.bounded_or_default(section, "deadline_s", 60, (1, 3600)),
        body_limit_bytes: file.bounded_or_default(
            section,
            "body_limit_bytes",
            4 << 20,
            (1, 1 << 30),
        ),
        retry_share: file.bounded_or_default(section, "retry_share", 0.1, (0.0, 1.0)),
        kinds: file.sections_under("kind.").iter().map(|name| read_kind(file, name)).collect(),
    }
}

fn read_kind(file: &mut IniFile, name: &str) -> RequestKind {
    let section = format!("kind.{name}");
    let service: String = file.value_or_default(&section, "service", String::new(), "a service");
    let path: String = file.require(&section, "path", "a path prefix, such as /till/");
    if !path.is_empty() && !path.starts_with('/') {
        file.report_fault(&section, "path", &path, "a path that starts with /");
    }
    RequestKind {
        name: name.to_owned(),
        path,
        service: (!service.is_empty()).then_some(ServiceName(service)),
        repeatable: file.value_or_default(&section, "repeatable", false, "true or false"),
        priority: file.bounded_or_default(&section, "priority", 1, (0, 9)),
        max_wait_ms: file.bounded_or_default(
            &section,
            "max_wait_ms",
            RequestKind::DEFAULT_MAX_WAIT_MS,
            (0, 600_000),
        ),
    }
}

fn read_agent(file: &mut IniFile) -> AgentSettings {
    let section = "agent";
    let service: String = file.value_or_default(section, "service", String::new(), "a service");
    let service = (!service.is_empty()).then_some(ServiceName(service));
    let expected = "true or false";
    AgentSettings {
        upstream: read_address(file, section, "upstream"),
        upstream_checks_fence: file.value_or_default(
            section,
            "upstream_checks_fence",
            true,
            expected,
        ),
        weights_listen: match service {
            Some(_) => SocketAddr::from(([127, 0, 0, 1], 0)),
            None => read_address(file, section, "weights_listen"),
        },
        service,
        concurrency: file.bounded_or_default(section, "concurrency", 16, (1, 1 << 16)),
        memory_bytes: file.bounded_or_default(
            section,
            "memory_bytes",
            DEFAULT_MEMORY_BYTES,
            BYTES_BOUNDS,
        ),
        link: read_link(file),
    }
}

fn read_link(file: &mut IniFile) -> LinkSettings {
    LinkSettings {
        upload_bytes_per_s: file.bounded_or_default(
            "link",
            "upload_bytes_per_s",
            DEFAULT_LINK_BYTES_PER_S,
            BYTES_BOUNDS,
        ),
        download_bytes_per_s: file.bounded_or_default(
            "link",
            "download_bytes_per_s",
            DEFAULT_LINK_BYTES_PER_S,
            BYTES_BOUNDS,
        ),
        serving_percent: file.bounded_or_default("link", "serving_percent", 10, (0, 90)),
    }
}

#[cfg(test)]
mod tests;
