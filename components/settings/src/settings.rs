//! The settings of a daemon.

use std::net::SocketAddr;
use std::path::PathBuf;

use fleet::{Hall, InstanceId, Place, Region, ServiceName};

use crate::file::File;
use crate::Faults;

/// Everything a daemon is told at start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Who and where the daemon is.
    pub node: NodeSettings,
    /// Where the platform's services listen.
    pub platform: PlatformSettings,
    /// How time and origin bytes are weighed.
    pub profile: ProfileSettings,
    /// What the daemon does.
    pub role: RoleSettings,
}

/// `[node]`: who and where the daemon is.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The instance's unique name.
    pub name: InstanceId,
    /// Where it stands.
    pub place: Place,
    /// Where it listens for other daemons, over TCP and UDP.
    pub listen: SocketAddr,
    /// Where operators, scrapers and health checks connect.
    pub operators: SocketAddr,
    /// The file with the cluster keys, one or two lines.
    pub cluster_key_file: PathBuf,
    /// The file with the operators' tokens, one or two lines.
    pub token_file: PathBuf,
    /// The lowest level of logs that is written.
    pub log_level: String,
    /// Seconds a planned stop waits for requests in progress.
    pub stop_grace_s: u64,
    /// Bytes a second that messages between daemons may cost.
    pub control_bytes_per_s: u64,
}

/// `[platform]`: where the platform's services listen.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// The transactional table.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The origin of weights.
    pub weights: SocketAddr,
    /// The list of instances.
    pub instances: SocketAddr,
}

/// `[profile]`: how the time until live and the bytes from the origin are weighed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProfileSettings {
    /// The weight of the time until live.
    pub time_weight: f64,
    /// The weight of bytes drawn from the origin.
    pub origin_weight: f64,
    /// The origin's link in bytes a second.
    pub origin_bytes_per_s: u64,
    /// An instance's link in bytes a second, for estimates in plans.
    pub link_bytes_per_s: u64,
}

impl ProfileSettings {
    /// The most copies the origin's link carries in a spread.
    pub const MOST_COPIES: u32 = 4;

    /// How many halls may draw a copy of their own: one when origin bytes weigh everything, up to
    /// four when time does.
    pub fn origin_copies(&self) -> u32 {
        let share = self.time_weight / (self.time_weight + self.origin_weight);
        let copies = (share * f64::from(Self::MOST_COPIES)).round() as u32;
        copies.clamp(1, Self::MOST_COPIES)
    }
}

/// What the daemon does.
#[derive(Clone, Debug, PartialEq)]
pub enum RoleSettings {
    /// It takes requests and intents.
    Entry(EntrySettings),
    /// It stands beside an upstream.
    Agent(AgentSettings),
}

/// `[entry]`: settings of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// The most requests that wait for an upstream.
    pub queue_limit: u32,
    /// Seconds a request may take when the caller names no deadline.
    pub deadline_s: u64,
    /// The largest body of a request, in bytes.
    pub body_limit_bytes: u64,
    /// The share of first tries that may be tried again, from 0 to 1.
    pub retry_share: f64,
    /// How requests of a kind are treated; `[kind.NAME]`.
    pub kinds: Vec<Kind>,
}

/// `[kind.NAME]`: requests whose path starts with a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kind {
    /// The name, which stands in logs and metrics.
    pub name: String,
    /// The start of the path.
    pub path: String,
    /// The plain service that answers; empty for models.
    pub service: Option<ServiceName>,
    /// Whether a request may be run more than once.
    pub repeatable: bool,
    /// Higher goes first.
    pub priority: u8,
    /// How long a request may wait for an upstream, in milliseconds.
    pub max_wait_ms: u64,
}

impl Kind {
    /// How long a request may wait when no kind says otherwise, in milliseconds: with the time for
    /// the prompt, the first token still comes within 0.36 s.
    pub const USUAL_WAIT_MS: u64 = 250;
}

/// `[agent]`: settings of an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// Where the upstream listens.
    pub upstream: SocketAddr,
    /// The plain service beside it; empty for a model engine.
    pub service: Option<ServiceName>,
    /// Whether the engine refuses orders of an old epoch itself.
    pub upstream_checks_fence: bool,
    /// Where the engine reads staged weights; only the engine beside it connects.
    pub weights_listen: SocketAddr,
    /// The most requests the upstream takes at once.
    pub concurrency: u32,
    /// Memory for weights, in bytes.
    pub memory_bytes: u64,
    /// The instance's link.
    pub link: LinkSettings,
}

/// `[link]`: the instance's link and how it is shared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkSettings {
    /// The link up, in bytes a second.
    pub upload_bytes_per_s: u64,
    /// The link down, in bytes a second.
    pub download_bytes_per_s: u64,
    /// The share kept for serving, in percent.
    pub serving_percent: u64,
}

impl LinkSettings {
    /// What is left of a rate for weights once the share for serving is kept back.
    pub fn for_weights(&self, bytes_per_s: u64) -> u64 {
        (bytes_per_s * (100 - self.serving_percent) / 100).max(1)
    }
}

const ADDRESS: &str = "an address such as 127.0.0.1:7400";
const BYTES: (u64, u64) = (1024, 1 << 50);
const DEFAULT_MEMORY: u64 = 16 << 30;
const DEFAULT_LINK: u64 = 1 << 30;

impl Settings {
    /// Reads settings and reports every fault at once.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let mut file = File::parse(text)?;
        let node = read_node(&mut file);
        let platform = read_platform(&mut file);
        let profile = read_profile(&mut file);
        let role = read_role(&mut file);
        file.finish()?;
        Ok(Self { node, platform, profile, role })
    }
}

fn read_address(file: &mut File, section: &str, key: &str) -> SocketAddr {
    let address: Address = file.need(section, key, ADDRESS);
    address.0
}

/// An address with a default, so that a faulty one does not end the check.
struct Address(SocketAddr);

impl Default for Address {
    fn default() -> Self {
        Self(SocketAddr::from(([127, 0, 0, 1], 0)))
    }
}

impl std::str::FromStr for Address {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

fn read_node(file: &mut File) -> NodeSettings {
    let section = "node";
    let place = Place {
        region: Region(file.need(section, "region", "the name of a region")),
        hall: Hall(file.need(section, "hall", "the name of a hall")),
    };
    let level: String = file.with_default(section, "log_level", "info".into(), "a level");
    if !["error", "warn", "info", "debug", "trace"].contains(&level.as_str()) {
        file.complain(section, "log_level", &level, "error, warn, info, debug or trace");
    }
    NodeSettings {
        name: InstanceId(file.need(section, "name", "the instance's unique name")),
        place,
        listen: read_address(file, section, "listen"),
        operators: read_address(file, section, "operators"),
        cluster_key_file: file.need(section, "cluster_key_file", "the path of a key file"),
        token_file: file.need(section, "token_file", "the path of a token file"),
        log_level: level,
        stop_grace_s: file.bounded(section, "stop_grace_s", 60, (0, 3600)),
        control_bytes_per_s: file.bounded(section, "control_bytes_per_s", 3000, (200, 1 << 30)),
    }
}

fn read_platform(file: &mut File) -> PlatformSettings {
    PlatformSettings {
        table: read_address(file, "platform", "table"),
        objects: read_address(file, "platform", "objects"),
        weights: read_address(file, "platform", "weights"),
        instances: read_address(file, "platform", "instances"),
    }
}

fn read_profile(file: &mut File) -> ProfileSettings {
    let section = "profile";
    let profile = ProfileSettings {
        time_weight: file.bounded(section, "time_weight", 1.0, (0.0, 1000.0)),
        origin_weight: file.bounded(section, "origin_weight", 1.0, (0.0, 1000.0)),
        origin_bytes_per_s: file.bounded(section, "origin_bytes_per_s", DEFAULT_LINK, BYTES),
        link_bytes_per_s: file.bounded(section, "link_bytes_per_s", DEFAULT_LINK, BYTES),
    };
    if profile.time_weight + profile.origin_weight <= 0.0 {
        let value = profile.origin_weight.to_string();
        file.complain(section, "origin_weight", &value, "at least one weight above 0");
    }
    profile
}

fn read_role(file: &mut File) -> RoleSettings {
    let expected = "entry or agent";
    let role: String = file.need("node", "role", expected);
    match role.as_str() {
        "agent" => RoleSettings::Agent(read_agent(file)),
        "entry" => RoleSettings::Entry(read_entry(file)),
        other => {
            if !other.is_empty() {
                file.complain("node", "role", other, expected);
            }
            RoleSettings::Entry(read_entry(file))
        }
    }
}

fn read_entry(file: &mut File) -> EntrySettings {
    let section = "entry";
    EntrySettings {
        callers: read_address(file, section, "callers"),
        queue_limit: file.bounded(section, "queue_limit", 256, (0, 1 << 20)),
        deadline_s: file.bounded(section, "deadline_s", 60, (1, 3600)),
        body_limit_bytes: file.bounded(section, "body_limit_bytes", 4 << 20, (1, 1 << 30)),
        retry_share: file.bounded(section, "retry_share", 0.1, (0.0, 1.0)),
        kinds: file.sections_under("kind.").iter().map(|name| read_kind(file, name)).collect(),
    }
}

fn read_kind(file: &mut File, name: &str) -> Kind {
    let section = format!("kind.{name}");
    let service: String = file.with_default(&section, "service", String::new(), "a service");
    let path: String = file.need(&section, "path", "the start of a path, such as /till/");
    if !path.is_empty() && !path.starts_with('/') {
        file.complain(&section, "path", &path, "a path that starts with /");
    }
    Kind {
        name: name.to_owned(),
        path,
        service: (!service.is_empty()).then_some(ServiceName(service)),
        repeatable: file.with_default(&section, "repeatable", false, "true or false"),
        priority: file.bounded(&section, "priority", 1, (0, 9)),
        max_wait_ms: file.bounded(&section, "max_wait_ms", Kind::USUAL_WAIT_MS, (0, 600_000)),
    }
}

fn read_agent(file: &mut File) -> AgentSettings {
    let section = "agent";
    let service: String = file.with_default(section, "service", String::new(), "a service");
    let service = (!service.is_empty()).then_some(ServiceName(service));
    let checks = "true or false";
    AgentSettings {
        upstream: read_address(file, section, "upstream"),
        upstream_checks_fence: file.with_default(section, "upstream_checks_fence", true, checks),
        weights_listen: match service {
            Some(_) => SocketAddr::from(([127, 0, 0, 1], 0)),
            None => read_address(file, section, "weights_listen"),
        },
        service,
        concurrency: file.bounded(section, "concurrency", 16, (1, 1 << 16)),
        memory_bytes: file.bounded(section, "memory_bytes", DEFAULT_MEMORY, BYTES),
        link: read_link(file),
    }
}

fn read_link(file: &mut File) -> LinkSettings {
    LinkSettings {
        upload_bytes_per_s: file.bounded("link", "upload_bytes_per_s", DEFAULT_LINK, BYTES),
        download_bytes_per_s: file.bounded("link", "download_bytes_per_s", DEFAULT_LINK, BYTES),
        serving_percent: file.bounded("link", "serving_percent", 10, (0, 90)),
    }
}

#[cfg(test)]
mod tests;
