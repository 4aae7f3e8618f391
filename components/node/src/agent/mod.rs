//! The driver of an agent: executes the effects of the agent reducer.

mod calls;
mod fetches;
mod messages;
mod staging;
mod weights;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_trait::async_trait;
use errors::{Code, Error, Result};
use externals::{EngineOrder, ModelEngine, PlainService};
use fleet::{Millis, Process, ServiceName};
use http_types::{Request, Response, StatusCode};
use net::{Caller, Handler, Pacer, Reply, Server, ServerLimits, Tasks};
use reducer::{Agent, AgentEffect, AgentEvent, AgentOptions, Order};

use crate::control::{bind, ControlDriver};
use crate::inbound::accept_sessions;
use crate::inbox::Inbox;
use crate::operators::{public_page, status_page};
use crate::services::{DaemonContext, DaemonServices, Identity};
use staging::Staging;

/// An order that is delayed by this much or more is not sent to an engine that does not check epochs: the process was
/// paused in the meantime, and another process may have sent a later order.
const MAX_ORDER_DELAY: Duration = Duration::from_millis(500);

/// The upstream that an agent serves.
#[derive(Clone)]
pub enum Upstream {
    /// A model engine.
    Engine(Arc<dyn ModelEngine>),
    /// A plain service with its name.
    Service(ServiceName, Arc<dyn PlainService>),
}

/// Fault injection for tests: delays or corrupts the chunks that an agent sends.
pub trait FaultInjection: Send + Sync {
    /// Called with each chunk before it is sent. The chunk is sent after the returned delay.
    fn on_upload(&self, chunk: &mut Vec<u8>) -> Duration;
}

/// A running agent.
pub struct AgentNode {
    shared: Arc<Shared>,
    tasks: Tasks,
    address: SocketAddr,
    operators: Server,
    done: Receiver<()>,
}

/// The state that the tasks of an agent share.
pub(crate) struct Shared {
    pub(crate) context: Arc<DaemonContext>,
    pub(crate) inbox: Inbox<AgentEvent>,
    pub(crate) staging: Staging,
    pub(crate) upstream: Upstream,
    pub(crate) uplink: Pacer,
    pub(crate) downlink: Pacer,
    pub(crate) fault_injection: Option<Arc<dyn FaultInjection>>,
    pub(crate) weights: SocketAddr,
    upstream_checks_fence: bool,
    agent: Mutex<Agent>,
    waiters: Mutex<HashMap<u64, Sender<AgentEffect>>>,
    next_ticket: AtomicU64,
}

/// The parameters of an agent.
pub struct AgentConfig {
    /// The services that the agent uses.
    pub services: DaemonServices,
    /// The name, the location and the addresses of the agent.
    pub identity: Identity,
    /// The upstream that the agent serves.
    pub upstream: Upstream,
    /// The address from which the engine reads staged weights; port 0 selects a free port.
    pub weights_listen: SocketAddr,
    /// Whether the engine itself rejects orders of an old epoch. If not, this agent must be the only sender of orders,
    /// and it does not send an order that was delayed while the process was paused.
    pub upstream_checks_fence: bool,
    /// The options of the reducer.
    pub options: AgentOptions,
    /// Fault injection for tests.
    pub fault_injection: Option<Arc<dyn FaultInjection>>,
}

impl AgentNode {
    /// Starts an agent.
    pub async fn start(config: AgentConfig) -> Result<Self> {
        let tasks = config.services.tasks.clone();
        let sockets = bind(config.identity.listen).await?;
        let context = Arc::new(DaemonContext::new(config.services, config.identity));
        let staging = Staging::default();
        let weights = weights::serve(&tasks, config.weights_listen, staging.clone()).await?;
        let process = match &config.upstream {
            Upstream::Engine(_) => Process::Engine,
            Upstream::Service(name, _) => Process::Service(name.clone()),
        };
        let is_engine = process == Process::Engine;
        let record = context.initial_record(process, sockets.address);
        let (inbox, events) = Inbox::new();
        let shared = Arc::new(Shared {
            inbox: inbox.clone(),
            staging,
            upstream: config.upstream,
            uplink: Pacer::new(config.options.upload_bytes_per_s),
            downlink: Pacer::new(config.options.spread.download_bytes_per_s),
            fault_injection: config.fault_injection,
            weights: weights.address(),
            upstream_checks_fence: config.upstream_checks_fence,
            agent: Mutex::new(Agent::new(record, is_engine, config.options)),
            waiters: Mutex::default(),
            next_ticket: AtomicU64::new(0),
            context: context.clone(),
        });
        let to_event = AgentEvent::Control;
        let control = ControlDriver::new(context.clone(), sockets.udp, inbox, to_event);
        control.start(|| AgentEvent::Tick);
        let message_handler = Arc::new(messages::AgentMessageHandler(shared.clone()));
        tasks.spawn(accept_sessions(context.services.clone(), sockets.tcp, message_handler));
        let operator_handler = Arc::new(OperatorHandler(shared.clone()));
        let operators = context.identity.operators;
        let operators =
            Server::start(&tasks, operators, ServerLimits::default(), operator_handler).await?;
        let (completed, done) = async_channel::bounded(1);
        tasks.spawn(run(shared.clone(), control, events, weights, completed));
        Ok(Self { shared, tasks, address: sockets.address, operators, done })
    }

    /// The address for other daemons.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Starts a planned stop.
    pub async fn stop(&self) {
        self.shared.inbox.send(AgentEvent::Stop).await;
    }

    /// Waits until a planned stop is complete, at most for `grace`. `true` if it is complete, so that no request was
    /// aborted.
    pub async fn wait_stopped(&self, grace: Duration) -> bool {
        let done = async { self.done.recv().await.is_ok() };
        let timeout = async {
            async_io::Timer::after(grace).await;
            false
        };
        futures_lite::future::or(done, timeout).await
    }

    /// Stops the agent abruptly, as if its process had been killed.
    pub fn kill(&self) {
        self.operators.kill();
        self.tasks.cancel();
    }

    /// Calls a function with the state of the reducer.
    pub fn with_state<T>(&self, read: impl FnOnce(&Agent) -> T) -> T {
        self.shared.with_agent(read)
    }
}

impl Shared {
    pub(crate) fn now(&self) -> Millis {
        self.context.clock.now()
    }

    /// Calls a function with the state of the reducer.
    pub(crate) fn with_agent<T>(&self, read: impl FnOnce(&Agent) -> T) -> T {
        read(&self.agent.lock().expect("the lock is never poisoned"))
    }

    /// Allocates a number for a call or an upload, and the channel on which the decision of the reducer will arrive.
    pub(crate) fn register_waiter(&self) -> (u64, Receiver<AgentEffect>) {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = async_channel::bounded(1);
        self.waiters.lock().expect("the lock is never poisoned").insert(ticket, sender);
        (ticket, receiver)
    }

    fn deliver(&self, ticket: u64, effect: AgentEffect) {
        let waiter = self.waiters.lock().expect("the lock is never poisoned").remove(&ticket);
        if let Some(sender) = waiter {
            let _ = sender.try_send(effect);
        }
    }

    fn reduce(&self, event: AgentEvent) -> Vec<AgentEffect> {
        let now = self.now();
        let mut agent = self.agent.lock().expect("the lock is never poisoned");
        agent.reduce(now, rand::random(), event)
    }
}

/// Passes events to the reducer one at a time and executes their effects.
async fn run(
    shared: Arc<Shared>,
    control: ControlDriver<AgentEvent>,
    events: Receiver<AgentEvent>,
    // Keeps the server alive, so that the engine can read weights while the agent runs.
    _weights: Server,
    completed: Sender<()>,
) {
    while let Ok(event) = events.recv().await {
        for effect in shared.reduce(event) {
            execute(&shared, &control, &completed, effect);
        }
    }
}

fn execute(
    shared: &Arc<Shared>,
    control: &ControlDriver<AgentEvent>,
    completed: &Sender<()>,
    effect: AgentEffect,
) {
    let services = &shared.context.services;
    match effect {
        AgentEffect::Control(effect) => control.execute(effect),
        AgentEffect::ReadManifest { version, peers } => {
            services.tasks.spawn(fetches::read_manifest(shared.clone(), version, peers));
        }
        AgentEffect::FetchChunk { fetch, have } => {
            services.tasks.spawn(fetches::fetch_chunk(shared.clone(), fetch, have));
        }
        AgentEffect::Drop(version) => shared.staging.drop_version(version),
        AgentEffect::Upload { upload, .. } => shared.deliver(upload, effect),
        AgentEffect::RefuseUpload { upload, code, .. } => {
            services.metrics.count_refusal(code);
            shared.deliver(upload, effect);
        }
        AgentEffect::Order(order) => {
            services.tasks.spawn(send_order(shared.clone(), order, Instant::now()));
        }
        AgentEffect::Admit { call, .. } => shared.deliver(call, effect),
        AgentEffect::Refuse { call, code, .. } => {
            services.metrics.count_refusal(code);
            shared.deliver(call, effect);
        }
        AgentEffect::CountRefusal(code) => {
            log::warn!(code = code.number(); "refused: {}", code.meaning());
            services.metrics.count_refusal(code);
        }
        AgentEffect::CountRetry(code) => services.metrics.count_retry(code),
        AgentEffect::Exit => {
            let _ = completed.try_send(());
        }
    }
}

/// Sends an order to the engine and reports the result to the reducer.
async fn send_order(shared: Arc<Shared>, order: Order, created_at: Instant) {
    let model = order.model.clone();
    let Upstream::Engine(engine) = &shared.upstream else {
        return;
    };
    let order = EngineOrder {
        epoch: order.epoch,
        model: order.model,
        version: order.version,
        adapter_of: order.adapter_of,
        role: order.role,
        weights: shared.weights,
        bytes: order.bytes,
    };
    let is_stale = !shared.upstream_checks_fence && created_at.elapsed() >= MAX_ORDER_DELAY;
    let result = if is_stale {
        Err(Error::new(Code::OldEpoch, "the process was paused before the order was sent"))
    } else {
        engine.order(&order).await
    };
    let version = order.version.map(|it| it.short()).unwrap_or_default();
    match &result {
        Ok(()) => {
            log::info!(model = model.0.as_str(), version = version.as_str(); "engine order completed");
        }
        Err(error) => {
            log::warn!(model = model.0.as_str(), version = version.as_str(); "engine order failed: {error}");
        }
    }
    let result = result.map_err(|error| error.code);
    shared.inbox.send(AgentEvent::OrderEnded { model, result }).await;
}

/// The HTTP handler for operators of an agent.
struct OperatorHandler(Arc<Shared>);

#[async_trait]
impl Handler for OperatorHandler {
    async fn handle(&self, request: Request, _caller: Caller) -> Reply {
        let services = &self.0.context.services;
        let path = request.url().path().to_owned();
        let ready = self.0.with_agent(|agent| agent.control.is_current());
        services.metrics.set_gauge("events_dropped", self.0.inbox.dropped());
        services.metrics.set_gauge("staged_bytes", self.0.staging.bytes());
        if let Some(page) = public_page(&path, ready, &services.metrics) {
            return Reply::Answer(page);
        }
        if let Err(error) = services.tokens.check(&request) {
            services.metrics.count_refusal(Code::Unauthorized);
            return Reply::Answer(net::error_response(&error));
        }
        if path == "/v1/status" {
            return Reply::Answer(self.0.with_agent(|agent| status_page(&agent.control)));
        }
        Reply::Answer(Response::new(StatusCode::NotFound))
    }
}
