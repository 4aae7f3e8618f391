//! Builds a running daemon from its settings.

use std::sync::Arc;
use std::time::Duration;

use errors::Result;
use externals::{HttpInstances, HttpObjects, HttpTable, HttpUpstream, HttpWeights, Platform};
use net::Tasks;
use node::{AgentConfig, AgentNode, DaemonServices, EntryConfig, EntryNode, Identity, Upstream};
use reducer::{
    AgentOptions, EntryOptions, Estimate, FetchStrategy, RoutingStrategy, SpreadOptions,
};
use settings::{AgentSettings, EntrySettings, RoleSettings, Settings};
use telemetry::Metrics;

use crate::secrets::Secrets;

/// A running daemon of either role.
pub enum Daemon {
    /// An entry.
    Entry(EntryNode),
    /// An agent.
    Agent(AgentNode),
}

impl Daemon {
    /// Starts the daemon that the settings describe.
    pub async fn start(tasks: &Tasks, settings: &Settings, secrets: &Secrets) -> Result<Self> {
        let services = DaemonServices {
            tasks: tasks.group(),
            platform: connect_platform(settings),
            keys: secrets.keys.clone(),
            tokens: secrets.tokens.clone(),
            metrics: Arc::new(Metrics::start()?),
        };
        let identity = Identity {
            id: settings.node.name.clone(),
            place: settings.node.place.clone(),
            listen: settings.node.listen,
            operators: settings.node.operators,
        };
        match &settings.role {
            RoleSettings::Entry(entry) => {
                let config = entry_config(services, identity, settings, entry);
                EntryNode::start(config).await.map(Self::Entry)
            }
            RoleSettings::Agent(agent) => {
                let config = agent_config(services, identity, settings, agent);
                AgentNode::start(config).await.map(Self::Agent)
            }
        }
    }

    /// Starts a planned stop.
    pub async fn stop(&self) {
        match self {
            Self::Entry(node) => node.stop().await,
            Self::Agent(node) => node.stop().await,
        }
    }

    /// Waits until the planned stop has finished or `grace` has passed. Returns `true` if no request was cut
    /// off.
    pub async fn wait_stopped(&self, grace: Duration) -> bool {
        match self {
            Self::Entry(node) => node.wait_stopped(grace).await,
            Self::Agent(node) => node.wait_stopped(grace).await,
        }
    }
}

fn connect_platform(settings: &Settings) -> Platform {
    let platform = &settings.platform;
    Platform {
        table: Arc::new(HttpTable(platform.table)),
        objects: Arc::new(HttpObjects(platform.objects)),
        weights: Arc::new(HttpWeights(platform.weights)),
        instances: Arc::new(HttpInstances(platform.instances)),
    }
}

fn entry_config(
    services: DaemonServices,
    identity: Identity,
    settings: &Settings,
    entry: &EntrySettings,
) -> EntryConfig {
    let origin_rate = settings.profile.origin_bytes_per_s as f64;
    EntryConfig {
        services,
        identity,
        callers: entry.callers,
        kinds: entry.kinds.clone(),
        request_timeout: Duration::from_secs(entry.deadline_s),
        body_bytes: entry.body_limit_bytes,
        options: EntryOptions {
            queue_limit: entry.queue_limit,
            retry_share: entry.retry_share,
            control_bytes_per_s: settings.node.control_bytes_per_s,
            estimate: Estimate {
                origin_bytes_per_s: origin_rate,
                link_bytes_per_s: settings.profile.link_bytes_per_s as f64,
                copies: settings.profile.origin_copies(),
            },
            choice: RoutingStrategy::default(),
        },
    }
}

fn agent_config(
    services: DaemonServices,
    identity: Identity,
    settings: &Settings,
    agent: &AgentSettings,
) -> AgentConfig {
    let upstream = Arc::new(HttpUpstream(agent.upstream));
    let upstream = match &agent.service {
        Some(name) => Upstream::Service(name.clone(), upstream),
        None => Upstream::Engine(upstream),
    };
    AgentConfig {
        services,
        identity,
        upstream,
        weights_listen: agent.weights_listen,
        upstream_checks_fence: agent.upstream_checks_fence,
        options: AgentOptions {
            concurrency: agent.concurrency,
            memory_bytes: agent.memory_bytes,
            upload_bytes_per_s: agent.link.weights_bandwidth(agent.link.upload_bytes_per_s),
            spread: SpreadOptions {
                timeout_ms: None,
                reach: reducer::NeighbourLimits::default(),
                copies: settings.profile.origin_copies(),
                origin_bytes_per_s: settings.profile.origin_bytes_per_s,
                download_bytes_per_s: agent.link.weights_bandwidth(agent.link.download_bytes_per_s),
                control_bytes_per_s: settings.node.control_bytes_per_s,
                choice: FetchStrategy::default(),
            },
        },
        fault_injection: None,
    }
}
