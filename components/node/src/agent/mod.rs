//! The driver of an agent.

mod calls;
mod doors;
mod draws;
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
use net::{Bounds, Caller, Handler, Pacer, Reply, Server, Tasks};
use reducer::{Agent, AgentEffect, AgentEvent, AgentOptions, Order};

use crate::control::{bind, ControlDriver};
use crate::doors::accept;
use crate::host::{Host, Identity, Surroundings};
use crate::inbox::Inbox;
use crate::operators::{open_page, status_page};
use staging::Staging;

/// An order that waited this long is not sent to an engine that checks no fence: the process was
/// paused meanwhile, and another one may have given a later order.
const STALE_ORDER: Duration = Duration::from_millis(500);

/// The upstream beside an agent.
#[derive(Clone)]
pub enum Upstream {
    /// A model engine.
    Engine(Arc<dyn ModelEngine>),
    /// A plain service of this name.
    Service(ServiceName, Arc<dyn PlainService>),
}

/// Lets tests stall or damage the chunks that an agent sends.
pub trait Interference: Send + Sync {
    /// Called with each chunk; the chunk is sent after the time given back.
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

/// What the tasks of an agent share.
pub(crate) struct Shared {
    pub(crate) surroundings: Arc<Surroundings>,
    pub(crate) inbox: Inbox<AgentEvent>,
    pub(crate) staging: Staging,
    pub(crate) upstream: Upstream,
    pub(crate) uplink: Pacer,
    pub(crate) downlink: Pacer,
    pub(crate) interference: Option<Arc<dyn Interference>>,
    pub(crate) weights: SocketAddr,
    upstream_checks_fence: bool,
    agent: Mutex<Agent>,
    waiting: Mutex<HashMap<u64, Sender<AgentEffect>>>,
    next_ticket: AtomicU64,
}

/// What an agent is started with.
pub struct AgentSetup {
    /// Its surroundings.
    pub host: Host,
    /// Who it is.
    pub identity: Identity,
    /// The upstream beside it.
    pub upstream: Upstream,
    /// Where the engine reads staged weights; port 0 takes any free one.
    pub weights_listen: SocketAddr,
    /// Whether the engine itself refuses orders of an old epoch. If not, this agent is its only door
    /// and sends no order that waited while the process was paused.
    pub upstream_checks_fence: bool,
    /// Numbers for the reducer.
    pub options: AgentOptions,
    /// Faults of the link, for tests.
    pub interference: Option<Arc<dyn Interference>>,
}

impl AgentNode {
    /// Starts an agent.
    pub async fn start(setup: AgentSetup) -> Result<Self> {
        let tasks = setup.host.tasks.clone();
        let doors = bind(setup.identity.listen).await?;
        let surroundings = Arc::new(Surroundings::new(setup.host, setup.identity));
        let staging = Staging::default();
        let weights = weights::serve(&tasks, setup.weights_listen, staging.clone()).await?;
        let process = match &setup.upstream {
            Upstream::Engine(_) => Process::Engine,
            Upstream::Service(name, _) => Process::Service(name.clone()),
        };
        let is_engine = process == Process::Engine;
        let record = surroundings.record(process, doors.address);
        let (inbox, events) = Inbox::new();
        let shared = Arc::new(Shared {
            inbox: inbox.clone(),
            staging,
            upstream: setup.upstream,
            uplink: Pacer::new(setup.options.upload_bytes_per_s),
            downlink: Pacer::new(setup.options.spread.download_bytes_per_s),
            interference: setup.interference,
            weights: weights.address(),
            upstream_checks_fence: setup.upstream_checks_fence,
            agent: Mutex::new(Agent::new(record, is_engine, setup.options)),
            waiting: Mutex::default(),
            next_ticket: AtomicU64::new(0),
            surroundings: surroundings.clone(),
        });
        let wrap = AgentEvent::Control;
        let control = ControlDriver::new(surroundings.clone(), doors.udp, inbox, wrap);
        control.start(|| AgentEvent::Tick);
        let answer = Arc::new(doors::AgentDoors(shared.clone()));
        tasks.spawn(accept(surroundings.host.clone(), doors.tcp, answer));
        let page = Arc::new(OperatorPage(shared.clone()));
        let operators = surroundings.identity.operators;
        let operators = Server::start(&tasks, operators, Bounds::default(), page).await?;
        let (exit, done) = async_channel::bounded(1);
        tasks.spawn(run(shared.clone(), control, events, weights, exit));
        Ok(Self { shared, tasks, address: doors.address, operators, done })
    }

    /// Where other daemons reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where operators reach it.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Asks for a planned stop.
    pub async fn stop(&self) {
        self.shared.inbox.send(AgentEvent::Stop).await;
    }

    /// Waits until a planned stop is done, or `grace` is over. `true` if nothing was cut off.
    pub async fn stopped(&self, grace: Duration) -> bool {
        let done = async { self.done.recv().await.is_ok() };
        let late = async {
            async_io::Timer::after(grace).await;
            false
        };
        futures_lite::future::or(done, late).await
    }

    /// Ends the agent where it stands, as a killed process would.
    pub fn kill(&self) {
        self.operators.stop();
        self.tasks.cancel();
    }

    /// Looks at the reducer's state.
    pub fn inspect<T>(&self, look: impl FnOnce(&Agent) -> T) -> T {
        self.shared.look(look)
    }
}

impl Shared {
    pub(crate) fn now(&self) -> Millis {
        self.surroundings.clock.now()
    }

    /// Looks at the reducer's state.
    pub(crate) fn look<T>(&self, look: impl FnOnce(&Agent) -> T) -> T {
        look(&self.agent.lock().expect("the lock is never poisoned"))
    }

    /// A number for something that waits for the reducer's verdict, and where it will come.
    pub(crate) fn wait_for_verdict(&self) -> (u64, Receiver<AgentEffect>) {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = async_channel::bounded(1);
        self.waiting.lock().expect("the lock is never poisoned").insert(ticket, sender);
        (ticket, receiver)
    }

    fn deliver(&self, ticket: u64, effect: AgentEffect) {
        let waiting = self.waiting.lock().expect("the lock is never poisoned").remove(&ticket);
        if let Some(sender) = waiting {
            let _ = sender.try_send(effect);
        }
    }

    fn reduce(&self, event: AgentEvent) -> Vec<AgentEffect> {
        let now = self.now();
        let mut agent = self.agent.lock().expect("the lock is never poisoned");
        agent.reduce(now, rand::random(), event)
    }
}

/// Takes events in one after the other and carries out their effects.
async fn run(
    shared: Arc<Shared>,
    control: ControlDriver<AgentEvent>,
    events: Receiver<AgentEvent>,
    // Held so that the engine can read weights as long as the agent runs.
    _weights: Server,
    exit: Sender<()>,
) {
    while let Ok(event) = events.recv().await {
        for effect in shared.reduce(event) {
            carry_out(&shared, &control, &exit, effect);
        }
    }
}

fn carry_out(
    shared: &Arc<Shared>,
    control: &ControlDriver<AgentEvent>,
    exit: &Sender<()>,
    effect: AgentEffect,
) {
    let host = &shared.surroundings.host;
    match effect {
        AgentEffect::Control(effect) => control.carry_out(effect),
        AgentEffect::ReadManifest { version, peers } => {
            host.tasks.spawn(draws::read_manifest(shared.clone(), version, peers));
        }
        AgentEffect::Draw { draw, have } => {
            host.tasks.spawn(draws::draw(shared.clone(), draw, have));
        }
        AgentEffect::Drop(version) => shared.staging.drop_version(version),
        AgentEffect::Upload { upload, .. } => shared.deliver(upload, effect),
        AgentEffect::RefuseUpload { upload, code, .. } => {
            host.metrics.count_refusal(code);
            shared.deliver(upload, effect);
        }
        AgentEffect::Order(order) => {
            host.tasks.spawn(obey(shared.clone(), order, Instant::now()));
        }
        AgentEffect::Admit { call, .. } => shared.deliver(call, effect),
        AgentEffect::Refuse { call, code, .. } => {
            host.metrics.count_refusal(code);
            shared.deliver(call, effect);
        }
        AgentEffect::CountRefusal(code) => {
            log::warn!(code = code.number(); "refused: {}", code.meaning());
            host.metrics.count_refusal(code);
        }
        AgentEffect::CountRetry(code) => host.metrics.count_retry(code),
        AgentEffect::Exit => {
            let _ = exit.try_send(());
        }
    }
}

/// Gives the engine an order and reports what became of it.
async fn obey(shared: Arc<Shared>, order: Order, decided: Instant) {
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
    let stale = !shared.upstream_checks_fence && decided.elapsed() >= STALE_ORDER;
    let result = if stale {
        Err(Error::new(Code::OldEpoch, "the process was paused before the order was sent"))
    } else {
        engine.order(&order).await
    };
    let version = order.version.map(|it| it.short()).unwrap_or_default();
    match &result {
        Ok(()) => {
            log::info!(model = model.0.as_str(), version = version.as_str(); "order obeyed");
        }
        Err(error) => {
            log::warn!(model = model.0.as_str(), version = version.as_str(); "order: {error}");
        }
    }
    let result = result.map_err(|error| error.code);
    shared.inbox.send(AgentEvent::OrderEnded { model, result }).await;
}

/// The operators' port of an agent.
struct OperatorPage(Arc<Shared>);

#[async_trait]
impl Handler for OperatorPage {
    async fn handle(&self, request: Request, _caller: Caller) -> Reply {
        let host = &self.0.surroundings.host;
        let path = request.url().path().to_owned();
        let ready = self.0.look(|agent| agent.control.is_current());
        host.metrics.set("events_dropped", self.0.inbox.dropped());
        host.metrics.set("staged_bytes", self.0.staging.bytes());
        if let Some(page) = open_page(&path, ready, &host.metrics) {
            return Reply::Answer(page);
        }
        if let Err(error) = host.tokens.check(&request) {
            host.metrics.count_refusal(Code::Unauthorized);
            return Reply::Answer(net::refuse(&error));
        }
        if path == "/v1/status" {
            return Reply::Answer(self.0.look(|agent| status_page(&agent.control)));
        }
        Reply::Answer(Response::new(StatusCode::NotFound))
    }
}
