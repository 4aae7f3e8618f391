//! The driver of an entry: executes the effects of the entry reducer.

mod attempts;
mod callers;
mod changes;
mod claims;
mod intents;
mod requests;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_trait::async_trait;
use errors::Result;
use fleet::{Millis, Process, RequestId};
use net::{Server, ServerLimits, Tasks};
use reducer::{Entry, EntryEffect, EntryEvent, EntryOptions};
use settings::RequestKind;
use wire::{Frame, Message};

use crate::control::{bind, ControlDriver};
use crate::inbound::{accept_sessions, configuration_payload, InboundSession, MessageHandler};
use crate::inbox::Inbox;
use crate::services::{DaemonContext, DaemonServices, Identity};
use changes::OperatorCalls;
use requests::{Command, RequestTasks};

/// Requests that are left at the end of a grace period end this long before it, so that their answers are sent.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// The parameters of an entry.
pub struct EntryConfig {
    /// The services that the entry uses.
    pub services: DaemonServices,
    /// The name, the location and the addresses of the entry.
    pub identity: Identity,
    /// The address for callers; port 0 selects a free port.
    pub callers: SocketAddr,
    /// The settings for each kind of request.
    pub kinds: Vec<RequestKind>,
    /// The time limit of a request, unless its caller sets a shorter one.
    pub request_timeout: Duration,
    /// The largest request body, in bytes.
    pub body_bytes: u64,
    /// The options of the reducer.
    pub options: EntryOptions,
}

/// A running entry.
pub struct EntryNode {
    shared: Arc<Shared>,
    tasks: Tasks,
    callers: Server,
    operators: Server,
    address: SocketAddr,
    drained: Receiver<()>,
    /// Closed to end all requests.
    end_requests: Sender<()>,
}

/// The state that the tasks of an entry share.
pub(crate) struct Shared {
    pub(crate) context: Arc<DaemonContext>,
    pub(crate) inbox: Inbox<EntryEvent>,
    pub(crate) kinds: Vec<RequestKind>,
    pub(crate) request_timeout: Duration,
    pub(crate) requests: RequestTasks,
    pub(crate) calls: OperatorCalls,
    /// Closed when all requests end, since the process does.
    pub(crate) requests_end: Receiver<()>,
    entry: Mutex<Entry>,
    next_serial: AtomicU64,
}

impl EntryNode {
    /// Starts an entry.
    pub async fn start(config: EntryConfig) -> Result<Self> {
        let tasks = config.services.tasks.clone();
        let sockets = bind(config.identity.listen).await?;
        let context = Arc::new(DaemonContext::new(config.services, config.identity));
        let record = context.initial_record(Process::Entry, sockets.address);
        let (inbox, events) = Inbox::new();
        let (end_requests, requests_end) = async_channel::bounded(1);
        let shared = Arc::new(Shared {
            inbox: inbox.clone(),
            kinds: config.kinds,
            request_timeout: config.request_timeout,
            requests: RequestTasks::default(),
            calls: OperatorCalls::default(),
            requests_end,
            entry: Mutex::new(Entry::new(record, config.options)),
            next_serial: AtomicU64::new(1),
            context: context.clone(),
        });
        let to_event = EntryEvent::Control;
        let control = ControlDriver::new(context.clone(), sockets.udp, inbox, to_event);
        control.start(|| EntryEvent::Tick);
        let message_handler = Arc::new(EntryMessageHandler(shared.clone()));
        tasks.spawn(accept_sessions(context.services.clone(), sockets.tcp, message_handler));
        let operator_handler = Arc::new(intents::OperatorHandler(shared.clone()));
        let operators = context.identity.operators;
        let operators =
            Server::start(&tasks, operators, ServerLimits::default(), operator_handler).await?;
        let limits = ServerLimits { body_bytes: config.body_bytes, ..ServerLimits::default() };
        let caller_handler = Arc::new(callers::CallerHandler(shared.clone()));
        let callers = Server::start(&tasks, config.callers, limits, caller_handler).await?;
        let (drain, drained) = async_channel::bounded(1);
        tasks.spawn(run(shared.clone(), control, events, drain));
        Ok(Self {
            shared,
            tasks,
            callers,
            operators,
            address: sockets.address,
            drained,
            end_requests,
        })
    }

    /// The address for other daemons.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// The address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Starts a planned stop: the entry accepts no new connections and no new requests.
    pub async fn stop(&self) {
        self.shared.inbox.send(EntryEvent::Stop).await;
        self.callers.stop();
    }

    /// Waits until a planned stop is complete, at most for `grace`. Shortly before, the requests that are left are
    /// answered with an error. `true` if the stop is complete and no request ended so.
    pub async fn wait_stopped(&self, grace: Duration) -> bool {
        let done = async {
            let drained = self.drained.recv().await.is_ok();
            // The last bytes of the last responses may still have to be sent to the callers.
            self.callers.drain().await;
            drained
        };
        let answer_time = ANSWER_TIME.min(grace);
        let timeout = async {
            async_io::Timer::after(grace - answer_time).await;
            self.end_requests.close();
            async_io::Timer::after(answer_time).await;
            false
        };
        let is_drained = futures_lite::future::or(done, timeout).await;
        is_drained && !self.end_requests.is_closed()
    }

    /// Stops the entry abruptly, as if its process had been killed.
    pub fn kill(&self) {
        self.callers.kill();
        self.operators.kill();
        self.tasks.cancel();
    }

    /// Calls a function with the state of the reducer.
    pub fn with_state<T>(&self, read: impl FnOnce(&Entry) -> T) -> T {
        self.shared.with_entry(read)
    }
}

impl Shared {
    pub(crate) fn now(&self) -> Millis {
        self.context.clock.now()
    }

    /// Calls a function with the state of the reducer.
    pub(crate) fn with_entry<T>(&self, read: impl FnOnce(&Entry) -> T) -> T {
        read(&self.entry.lock().expect("the lock is never poisoned"))
    }

    /// Allocates a unique request id.
    pub(crate) fn next_request(&self) -> RequestId {
        let serial = self.next_serial.fetch_add(1, Ordering::Relaxed);
        RequestId { entry: self.context.clock.incarnation(), serial }
    }

    fn reduce(&self, event: EntryEvent) -> Vec<EntryEffect> {
        let now = self.now();
        let mut entry = self.entry.lock().expect("the lock is never poisoned");
        entry.reduce(now, rand::random(), event)
    }
}

/// Passes events to the reducer one at a time and executes their effects.
async fn run(
    shared: Arc<Shared>,
    control: ControlDriver<EntryEvent>,
    events: Receiver<EntryEvent>,
    drain: Sender<()>,
) {
    while let Ok(event) = events.recv().await {
        for effect in shared.reduce(event) {
            execute(&shared, &control, &drain, effect);
        }
    }
}

fn execute(
    shared: &Arc<Shared>,
    control: &ControlDriver<EntryEvent>,
    drain: &Sender<()>,
    effect: EntryEffect,
) {
    let services = &shared.context.services;
    match effect {
        EntryEffect::Control(effect) => control.execute(effect),
        EntryEffect::Change(effect) => changes::execute(shared, effect),
        EntryEffect::Claim { request, workspace, key } => {
            services.tasks.spawn(claims::acquire(shared.clone(), request, workspace, key));
        }
        EntryEffect::Release { request, workspace, key } => {
            services.tasks.spawn(claims::release(shared.clone(), request, workspace, key));
        }
        EntryEffect::Replay { request, answer } => {
            shared.requests.send_command(request, Command::Replay(answer));
        }
        EntryEffect::Send { attempt, address, budget_ms, .. } => {
            let command = Command::Send { attempt, address, budget_ms };
            shared.requests.send_command(attempt.request, command);
        }
        EntryEffect::Refuse { request, error } => {
            services.metrics.count_refusal(error.code);
            shared.requests.send_command(request, Command::Refuse(error));
        }
        // The task of the request and its connection ended when the caller disconnected; only the queue may remain.
        EntryEffect::Cancel(attempt) => shared.requests.remove(attempt.request),
        EntryEffect::CountRetry(code) => services.metrics.count_retry(code),
        EntryEffect::Crash(event) => telemetry::record_crash(&services.metrics, &event),
        EntryEffect::Drained => {
            let _ = drain.try_send(());
        }
    }
}

/// The message handler of an entry for other daemons.
struct EntryMessageHandler(Arc<Shared>);

#[async_trait]
impl MessageHandler for EntryMessageHandler {
    async fn handle(&self, session: &mut InboundSession, frame: Frame) -> Result<()> {
        match frame.message {
            Message::GetConfiguration => {
                let (revision, bytes) =
                    self.0.with_entry(|entry| configuration_payload(&entry.control));
                session.send_configuration(revision, &bytes).await
            }
            _ => session.reject(errors::Code::BadFrame).await,
        }
    }
}
