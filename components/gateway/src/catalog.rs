//! The configuration that a gateway serves by: routes, services, workspaces and limits.

use std::collections::HashMap;
use std::net::SocketAddr;

use fleet::{HomeRegions, ModelName, ServiceName, WorkspaceId};

/// What may be done with the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// A stream of events.
    Stream {
        /// Whether another run may continue it after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that it belongs to, in lower case.
    pub host: String,
    /// The start of the paths that it takes.
    pub path_prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// How long a request may be held, in milliseconds.
    pub timeout_ms: u64,
    /// Within how many milliseconds an answer is on time.
    pub aim_ms: u64,
    /// The longest pause between events that is on time, in milliseconds.
    pub gap_aim_ms: u64,
    /// How many runners one request may be sent to.
    pub attempts: u32,
    /// Its rank; zero goes first.
    pub priority: u8,
    /// Whether it needs no key.
    pub open: bool,
    /// The services that take its requests, with their weights.
    pub services: Vec<(ServiceName, u32)>,
    /// Where its requests may be served.
    pub homes: HomeRegions,
}

impl Route {
    /// The service for a request, by a number drawn for it.
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

/// What is known of the engines of a model service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// The model that they run.
    pub model: ModelName,
    /// Requests that one engine works on at once.
    pub slots: u32,
    /// Layers of the model.
    pub layers: u32,
    /// How long an engine takes to start a whole version, in milliseconds.
    pub warm_ms: u64,
    /// Prompt tokens that an engine reads in a millisecond.
    pub prompt_tokens_per_ms: f64,
    /// Mean tokens of a prompt.
    pub usual_prompt_tokens: u32,
}

/// Where weights come from first.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its link, in bytes a second.
    pub bytes_per_s: u64,
}

/// What is known of the cold starts of a service's runners: for a while after its start, and whenever it says
/// so, a runner bears little.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdProfile {
    /// How long a start can be, in milliseconds.
    pub start_ms: u64,
    /// Requests a second that a cold runner bears.
    pub requests_per_s: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The profile of its engines, if it runs a model.
    pub engine: Option<EngineProfile>,
    /// The origin of weights, if the service is one.
    pub origin: Option<Origin>,
    /// How its runners start, where they start cold.
    pub cold: Option<ColdProfile>,
}

/// A customer's workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceId,
    /// Its rank, which goes before that of the route.
    pub priority: u8,
    /// Where its requests may be served.
    pub homes: HomeRegions,
}

/// What a caller may send, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a head may take to arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// How long a connection may rest, in milliseconds.
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

/// What a catalog is made from.
#[derive(Clone, Debug, Default)]
pub struct CatalogParts {
    /// The version of the configuration.
    pub version: u64,
    /// Its routes.
    pub routes: Vec<Route>,
    /// Its services.
    pub services: Vec<Service>,
    /// Its workspaces by key. `None` when no key is needed.
    pub workspaces: Option<HashMap<String, Workspace>>,
    /// Its limits.
    pub limits: Limits,
}

/// One version of the configuration, ready for look-ups.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The version.
    pub version: u64,
    /// The limits for callers.
    pub limits: Limits,
    routes: Vec<Route>,
    /// For each host its routes by path prefix.
    by_host: HashMap<String, HashMap<String, usize>>,
    services: HashMap<ServiceName, Service>,
    workspaces: Option<HashMap<String, Workspace>>,
    /// The homes of each route, by its name.
    route_homes: HashMap<String, HomeRegions>,
    /// The homes of each workspace.
    workspace_homes: HashMap<WorkspaceId, HomeRegions>,
}

impl Catalog {
    /// Prepares a configuration for look-ups.
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

    /// The route of a request: the longest prefix that starts its path. Prefixes begin and end with
    /// a slash, so only the parts of the path that end there are looked up.
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

    /// A service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Every service.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Whether requests need a key.
    pub fn needs_keys(&self) -> bool {
        self.workspaces.is_some()
    }

    /// Who holds a key.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        self.workspaces.as_ref()?.get(key)
    }

    /// Where a request may be served that was routed by an older configuration. What this one does not have any more
    /// binds as it did then.
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

    /// Homes of routes, each with the route's name.
    pub fn route_homes(&self) -> impl Iterator<Item = (&str, &HomeRegions)> {
        self.route_homes.iter().map(|(name, homes)| (name.as_str(), homes))
    }

    /// Homes of workspaces, each with the workspace's name.
    pub fn workspace_homes(&self) -> impl Iterator<Item = (&str, &HomeRegions)> {
        self.workspace_homes.iter().map(|(name, homes)| (name.0.as_str(), homes))
    }

    /// How many routes there are.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}

/// A host in lower case and without a port.
fn normal_host(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}
