//! The configuration that a gateway uses: routes, services, workspaces and limits.

use std::collections::HashMap;
use std::net::SocketAddr;

use fleet::{HomeRegions, ModelName, ServiceName, WorkspaceId};

/// How the requests of a route may be executed and retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// The response is an event stream.
    Stream {
        /// Whether another execution may continue the stream after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be retried after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A route, which maps a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// The host that the route matches, in lower case.
    pub host: String,
    /// The path prefix that the route matches.
    pub path_prefix: String,
    /// How its requests may be executed and retried.
    pub kind: RouteKind,
    /// Maximum time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency: the time within which a response counts as on time, in milliseconds.
    pub target_latency_ms: u64,
    /// The longest pause between events that counts as on time, in milliseconds.
    pub max_event_gap_ms: u64,
    /// Maximum number of runners that one request may be sent to.
    pub attempts: u32,
    /// Priority of its requests; zero is the highest.
    pub priority: u8,
    /// Whether requests need no API key.
    pub open: bool,
    /// The services that handle its requests, with their weights.
    pub services: Vec<(ServiceName, u32)>,
    /// Regions where its requests may be served.
    pub homes: HomeRegions,
}

impl Route {
    /// Selects the service for a request by weight; `draw` is a random number.
    pub fn service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = draw % total.max(1);
        for (service, weight) in &self.services {
            if left < u64::from(*weight) {
                return Some(service);
            }
            left -= u64::from(*weight);
        }
        self.services.first().map(|(service, _)| service)
    }
}

/// Properties of the engines of a model service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// The model that the engines run.
    pub model: ModelName,
    /// Requests that one engine processes concurrently.
    pub slots: u32,
    /// Number of layers of the model.
    pub layers: u32,
    /// How long an engine takes to start on a complete version, in milliseconds.
    pub warm_ms: u64,
    /// Prompt tokens that an engine processes per millisecond.
    pub prompt_tokens_per_ms: f64,
    /// Mean number of tokens in a prompt.
    pub usual_prompt_tokens: u32,
}

/// The origin server from which weights are first fetched.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Bandwidth of its link, in bytes per second.
    pub bytes_per_s: u64,
}

/// Cold-start behaviour of a service's runners. A runner has reduced capacity for a while after its
/// start, and whenever it reports that it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdProfile {
    /// Maximum duration of a cold start, in milliseconds.
    pub start_ms: u64,
    /// Requests per second that a cold runner can handle.
    pub requests_per_s: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// The profile of its engines, if it runs a model.
    pub engine: Option<EngineProfile>,
    /// The origin of weights, if the service is one.
    pub origin: Option<Origin>,
    /// Cold-start behaviour of its runners, if they start cold.
    pub cold: Option<ColdProfile>,
}

/// A customer's workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Priority of its requests, which is compared before the priority of the route.
    pub priority: u8,
    /// Regions where its requests may be served.
    pub homes: HomeRegions,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for the request head to arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// Maximum idle time of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 << 20,
            head_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// The parts that a catalog is built from.
#[derive(Clone, Debug, Default)]
pub struct CatalogParts {
    /// The version of the configuration.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The workspaces by API key. `None` when no key is needed.
    pub workspaces: Option<HashMap<String, Workspace>>,
    /// The limits for callers.
    pub limits: Limits,
}

/// One version of the configuration, indexed for look-ups.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The version of the configuration.
    pub version: u64,
    /// The limits for callers.
    pub limits: Limits,
    routes: Vec<Route>,
    /// Indexes into `routes` by host and path prefix.
    by_host: HashMap<String, HashMap<String, usize>>,
    services: HashMap<ServiceName, Service>,
    workspaces: Option<HashMap<String, Workspace>>,
    /// The home regions of each route, by route name.
    route_homes: HashMap<String, HomeRegions>,
    /// The home regions of each workspace.
    workspace_homes: HashMap<WorkspaceId, HomeRegions>,
}

impl Catalog {
    /// Builds the indexes for a configuration.
    pub fn new(parts: CatalogParts) -> Self {
        let mut by_host: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (index, route) in parts.routes.iter().enumerate() {
            let prefixes = by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.path_prefix.clone(), index);
        }
        let workspaces = parts.workspaces.iter().flat_map(HashMap::values);
        Self {
            version: parts.version,
            limits: parts.limits,
            route_homes: parts
                .routes
                .iter()
                .map(|it| (it.name.clone(), it.homes.clone()))
                .collect(),
            workspace_homes: workspaces.map(|it| (it.name.clone(), it.homes.clone())).collect(),
            routes: parts.routes,
            by_host,
            services: parts.services.into_iter().map(|it| (it.name.clone(), it)).collect(),
            workspaces: parts.workspaces,
        }
    }

    /// Finds the route with the longest prefix that matches the request's path. Prefixes begin and
    /// end with a slash, so only the parts of the path that end with a slash are looked up.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = match self.by_host.get(host) {
            Some(prefixes) => prefixes,
            None => self.by_host.get(&normal_host(host))?,
        };
        let path = path.split('?').next().unwrap_or(path);
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        let index =
            slashes.map(|(end, _)| &path[..=end]).find_map(|prefix| prefixes.get(prefix))?;
        self.routes.get(*index)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Iterates over all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Whether requests need an API key.
    pub fn needs_keys(&self) -> bool {
        self.workspaces.is_some()
    }

    /// Returns the workspace that an API key belongs to.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        self.workspaces.as_ref()?.get(key)
    }

    /// The home regions of a request that was routed by an older configuration. If its route or
    /// workspace is no longer configured, the earlier home regions in `before` still apply.
    pub fn homes(
        &self,
        route: &str,
        workspace: Option<&WorkspaceId>,
        before: &HomeRegions,
    ) -> HomeRegions {
        let by_route = self.route_homes.get(route);
        let by_workspace = workspace.map(|it| self.workspace_homes.get(it));
        let is_gone = by_route.is_none() || by_workspace == Some(None);
        let known = by_route.into_iter().chain(by_workspace.flatten());
        let start = if is_gone { before.clone() } else { HomeRegions::anywhere() };
        known.fold(start, |homes, it| homes.and(it))
    }

    /// The home regions of all routes, each with the route's name.
    pub fn route_homes(&self) -> impl Iterator<Item = (&str, &HomeRegions)> {
        self.route_homes.iter().map(|(name, homes)| (name.as_str(), homes))
    }

    /// The home regions of all workspaces, each with the workspace's name.
    pub fn workspace_homes(&self) -> impl Iterator<Item = (&str, &HomeRegions)> {
        self.workspace_homes.iter().map(|(name, homes)| (name.0.as_str(), homes))
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}

/// Returns a host name in lower case and without its port.
fn normal_host(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}
