//! A fleet that runs in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use client::OperatorClient;
use errors::{Code, Error, Result};
use externals::{HttpUpstream, Platform};
use fleet::{
    Hall, Instance, InstanceId, Intent, ListedState, Location, Manifest, ModelName, Process,
    Region, Revision, Role, ServiceName, VersionId,
};
use net::{Handler, Server, ServerLimits, Tasks};
use node::{
    AgentConfig, AgentNode, DaemonServices, EntryConfig, EntryNode, Identity, TokenRing, Upstream,
};
use reducer::Control;
use standins::{Engine, PlatformOptions, PlatformStandIn, Service};
use telemetry::Metrics;
use wire::KeyRing;

use crate::{LabOptions, LinkFaults};

/// The cluster key of every lab.
const CLUSTER_KEY: &str = "cluster-key-of-the-lab";
/// The operator token of every lab.
const OPERATOR_TOKEN: &str = "operator-token-of-the-lab";
/// Interval at which a lab checks a condition that it waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Memory of each instance according to the instance list, in bytes.
const MEMORY_BYTES: u64 = 1 << 40;
/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// An agent and its upstream.
pub struct Agent {
    /// The name of the instance.
    pub id: InstanceId,
    /// The agent daemon.
    pub node: AgentNode,
    /// The engine, if the upstream is one.
    pub engine: Option<Arc<Engine>>,
    /// The plain service, if the upstream is one.
    pub service: Option<Arc<Service>>,
    /// Fault injection for the instance's link.
    pub link: Arc<LinkFaults>,
    /// The daemon's metrics.
    pub metrics: Arc<Metrics>,
    upstream: Server,
}

/// A fleet with its platform.
pub struct Lab {
    /// The platform stand-in.
    pub platform: PlatformStandIn,
    /// All agents.
    pub agents: Vec<Agent>,
    /// All entries.
    pub entries: Vec<EntryNode>,
    /// The metrics of the entries, in the order of `entries`.
    pub entry_metrics: Vec<Arc<Metrics>>,
    options: LabOptions,
    tasks: Tasks,
    keys: KeyRing,
}

impl Lab {
    /// Starts a fleet on an executor. The caller must run the executor.
    pub async fn start(executor: &Arc<Executor<'static>>, options: LabOptions) -> Result<Self> {
        let tasks = Tasks::new(executor);
        let rates = PlatformOptions { origin_bytes_per_s: options.origin_bytes_per_s };
        let platform = PlatformStandIn::start(&tasks, rates).await?;
        let keys = KeyRing::parse(CLUSTER_KEY)?;
        let mut lab = Self {
            platform,
            agents: Vec::new(),
            entries: Vec::new(),
            entry_metrics: Vec::new(),
            options,
            tasks,
            keys,
        };
        for number in 0..lab.options.engines {
            lab.add_engine(&format!("engine-{number:03}")).await?;
        }
        for (name, count) in lab.options.services.clone() {
            for number in 0..count {
                lab.add_service(&name, number).await?;
            }
        }
        for number in 0..lab.options.entries {
            lab.add_entry(number).await?;
        }
        Ok(lab)
    }

    /// Runs an executor on one thread per CPU core until the process ends.
    pub fn run_threads(executor: &Arc<Executor<'static>>) {
        let threads = std::thread::available_parallelism().map_or(2, usize::from);
        for _ in 0..threads {
            let executor = executor.clone();
            std::thread::spawn(move || {
                async_io::block_on(executor.run(futures_lite::future::pending::<()>()));
            });
        }
    }

    /// Adds an instance with a model engine, or replaces the instance with the same name.
    pub async fn add_engine(&mut self, name: &str) -> Result<()> {
        let engine = Arc::new(Engine::new(&self.tasks, self.options.engine));
        let upstream = self.serve(engine.clone()).await?;
        let upstream_client = Upstream::Engine(Arc::new(HttpUpstream(upstream.address())));
        let mut agent = self.start_agent(name, Process::Engine, upstream_client, upstream).await?;
        agent.engine = Some(engine);
        self.agents.retain(|it| it.id != agent.id);
        self.agents.push(agent);
        Ok(())
    }

    async fn add_service(&mut self, name: &str, number: usize) -> Result<()> {
        let service = Arc::new(Service::new(self.options.service_work));
        let upstream = self.serve(service.clone()).await?;
        let service_name = ServiceName(name.to_owned());
        let http_client = Arc::new(HttpUpstream(upstream.address()));
        let upstream_client = Upstream::Service(service_name.clone(), http_client);
        let id = format!("{name}-{number}");
        let mut agent = self
            .start_agent(&id, Process::Service(service_name), upstream_client, upstream)
            .await?;
        agent.service = Some(service);
        self.agents.push(agent);
        Ok(())
    }

    async fn start_agent(
        &self,
        name: &str,
        process: Process,
        upstream_client: Upstream,
        upstream: Server,
    ) -> Result<Agent> {
        let id = InstanceId(name.to_owned());
        let link = Arc::new(LinkFaults::default());
        let services = self.services()?;
        let metrics = services.metrics.clone();
        let config = AgentConfig {
            services,
            identity: self.identity(&id, self.agents.len()),
            upstream: upstream_client,
            weights_listen: loopback(),
            upstream_checks_fence: self.options.engine.checks_fence,
            options: self.options.agent(),
            fault_injection: Some(link.clone()),
        };
        let place = config.identity.place.clone();
        let node = AgentNode::start(config).await?;
        self.add_to_instance_list(&id, place, process, node.address());
        Ok(Agent { id, node, engine: None, service: None, link, metrics, upstream })
    }

    async fn add_entry(&mut self, number: usize) -> Result<()> {
        let id = InstanceId(format!("entry-{number}"));
        let services = self.services()?;
        self.entry_metrics.push(services.metrics.clone());
        let config = EntryConfig {
            services,
            identity: self.identity(&id, number),
            callers: loopback(),
            kinds: self.options.kinds.clone(),
            request_timeout: Duration::from_secs(60),
            body_bytes: MAX_BODY_BYTES,
            options: self.options.entry(),
        };
        let place = config.identity.place.clone();
        let node = EntryNode::start(config).await?;
        self.add_to_instance_list(&id, place, Process::Entry, node.address());
        self.entries.push(node);
        Ok(())
    }

    /// Returns a client for the operator API of an entry.
    pub fn operator(&self, entry: usize) -> OperatorClient {
        OperatorClient::new(self.entries[entry].operators(), OPERATOR_TOKEN)
    }

    /// Returns the clients of the platform's services that the daemons use.
    pub fn connect(&self) -> Platform {
        self.platform.connect()
    }

    /// Publishes weights to the platform.
    pub async fn publish(&self, label: &str, content: &[u8]) -> Result<Manifest> {
        let manifest = Manifest::describe(label, content)?;
        let platform = self.connect();
        let (weights, objects) = (&*platform.weights, &*platform.objects);
        client::publish(weights, objects, &manifest, content.to_vec()).await?;
        Ok(manifest)
    }

    /// Plans a deployment of a model on a number of instances, and confirms the plan.
    pub async fn deploy(
        &self,
        model: &str,
        version: VersionId,
        replicas: usize,
    ) -> Result<Revision> {
        let operator = self.operator(0);
        let plan = operator.plan(&deploy_intent(model, version, replicas)).await?;
        operator.confirm(&plan.id).await
    }

    /// Waits until every daemon is ready and every entry and agent considers all other agents up.
    pub async fn wait_ready(&self, timeout: Duration) -> Result<()> {
        let expected = self.agents.len();
        let is_ready = |control: &Control, others: usize| {
            let up = control.members.others().filter(|it| it.is_up());
            control.is_current() && up.count() >= others
        };
        self.wait(timeout, || {
            let mut entries = self.entries.iter();
            let mut agents = self.agents.iter();
            entries.all(|it| it.with_state(|state| is_ready(&state.control, expected)))
                && agents
                    .all(|it| it.node.with_state(|state| is_ready(&state.control, expected - 1)))
        })
        .await
    }

    /// Waits until at least `count` agents serve a version.
    pub async fn wait_live(
        &self,
        version: VersionId,
        count: usize,
        timeout: Duration,
    ) -> Result<()> {
        self.wait(timeout, || self.live(version).len() >= count).await
    }

    /// Waits until every entry knows of at least `count` agents that serve a version.
    pub async fn wait_routed(&self, version: VersionId, count: usize) -> Result<()> {
        self.wait(Duration::from_secs(20), || {
            self.entries.iter().all(|entry| {
                entry.with_state(|state| {
                    let members = state.control.members.others();
                    let serving = members
                        .filter(|it| it.record.serving.iter().any(|tag| tag.is_version(version)));
                    serving.count() >= count
                })
            })
        })
        .await
    }

    /// Returns the agents that serve a version.
    pub fn live(&self, version: VersionId) -> Vec<&Agent> {
        let serves = |it: &&Agent| {
            it.node.with_state(|agent| agent.serving().iter().any(|it| it.version == version))
        };
        self.agents.iter().filter(serves).collect()
    }

    /// Waits until a condition holds. Fails with `TimedOut` after `timeout`.
    pub async fn wait(&self, timeout: Duration, condition: impl Fn() -> bool) -> Result<()> {
        let start = Instant::now();
        while !condition() {
            if start.elapsed() > timeout {
                return Err(Error::new(
                    Code::TimedOut,
                    "the condition that the lab waited for did not become true",
                ));
            }
            Timer::after(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Kills all daemons, so that another lab can run in the same process.
    pub fn stop(&self) {
        self.agents.iter().for_each(|agent| agent.node.kill());
        self.entries.iter().for_each(EntryNode::kill);
    }

    fn services(&self) -> Result<DaemonServices> {
        Ok(DaemonServices {
            tasks: self.tasks.group(),
            platform: self.platform.connect(),
            keys: self.keys.clone(),
            tokens: TokenRing::parse(OPERATOR_TOKEN)?,
            metrics: Arc::new(Metrics::start()?),
        })
    }

    fn identity(&self, id: &InstanceId, number: usize) -> Identity {
        let hall = Hall(format!("hall-{}", number % self.options.halls));
        let place = Location { region: Region("region-0".to_owned()), hall };
        Identity { id: id.clone(), place, listen: loopback(), operators: loopback() }
    }

    fn add_to_instance_list(
        &self,
        id: &InstanceId,
        place: Location,
        process: Process,
        address: SocketAddr,
    ) {
        self.platform.instances.add(Instance {
            id: id.clone(),
            place,
            process,
            address,
            memory_bytes: MEMORY_BYTES,
            state: ListedState::Live,
        });
    }

    async fn serve(&self, handler: Arc<dyn Handler>) -> Result<Server> {
        let limits = ServerLimits { body_bytes: MAX_BODY_BYTES, ..ServerLimits::default() };
        Server::start(&self.tasks.group(), loopback(), limits, handler).await
    }
}

impl Agent {
    /// Returns the address of the upstream, for callers that bypass silverdock.
    pub fn upstream_address(&self) -> SocketAddr {
        self.upstream.address()
    }
}

/// Returns the intent to deploy a model on a number of instances in any data hall.
pub fn deploy_intent(model: &str, version: VersionId, replicas: usize) -> Intent {
    Intent::Deploy {
        model: ModelName::from(model),
        version,
        replicas: replicas as u32,
        role: Role::Serve,
        halls: Vec::new(),
        adapter_of: None,
        priority: 1,
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
