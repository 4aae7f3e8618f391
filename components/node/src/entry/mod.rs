//! The driver of an entry.

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
use net::{Bounds, Server, Tasks};
use reducer::{Entry, EntryEffect, EntryEvent, EntryOptions};
use settings::Kind;
use wire::{Frame, Message};

use crate::control::{bind, ControlDriver};
use crate::doors::{accept, pack_configuration, Answer, Door};
use crate::host::{Host, Identity, Surroundings};
use crate::inbox::Inbox;
use changes::Calls;
use requests::{Command, Requests};

/// What an entry is started with.
pub struct EntrySetup {
    /// Its surroundings.
    pub host: Host,
    /// Who it is.
    pub identity: Identity,
    /// Where callers connect; port 0 takes any free one.
    pub callers: SocketAddr,
    /// How requests of each kind are treated.
    pub kinds: Vec<Kind>,
    /// The time a request has when the caller names none.
    pub deadline: Duration,
    /// The largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Numbers for the reducer.
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
}

/// What the tasks of an entry share.
pub(crate) struct Shared {
    pub(crate) surroundings: Arc<Surroundings>,
    pub(crate) inbox: Inbox<EntryEvent>,
    pub(crate) kinds: Vec<Kind>,
    pub(crate) deadline: Duration,
    pub(crate) requests: Requests,
    pub(crate) calls: Calls,
    entry: Mutex<Entry>,
    next_serial: AtomicU64,
}

impl EntryNode {
    /// Starts an entry.
    pub async fn start(setup: EntrySetup) -> Result<Self> {
        let tasks = setup.host.tasks.clone();
        let doors = bind(setup.identity.listen).await?;
        let surroundings = Arc::new(Surroundings::new(setup.host, setup.identity));
        let record = surroundings.record(Process::Entry, doors.address);
        let (inbox, events) = Inbox::new();
        let shared = Arc::new(Shared {
            inbox: inbox.clone(),
            kinds: setup.kinds,
            deadline: setup.deadline,
            requests: Requests::default(),
            calls: Calls::default(),
            entry: Mutex::new(Entry::new(record, setup.options)),
            next_serial: AtomicU64::new(1),
            surroundings: surroundings.clone(),
        });
        let wrap = EntryEvent::Control;
        let control = ControlDriver::new(surroundings.clone(), doors.udp, inbox, wrap);
        control.start(|| EntryEvent::Tick);
        let answer = Arc::new(EntryDoors(shared.clone()));
        tasks.spawn(accept(surroundings.host.clone(), doors.tcp, answer));
        let page = Arc::new(intents::OperatorPage(shared.clone()));
        let operators = surroundings.identity.operators;
        let operators = Server::start(&tasks, operators, Bounds::default(), page).await?;
        let bounds = Bounds { body_bytes: setup.body_bytes, ..Bounds::default() };
        let handler = Arc::new(callers::CallerDoor(shared.clone()));
        let callers = Server::start(&tasks, setup.callers, bounds, handler).await?;
        let (drain, drained) = async_channel::bounded(1);
        tasks.spawn(run(shared.clone(), control, events, drain));
        Ok(Self { shared, tasks, callers, operators, address: doors.address, drained })
    }

    /// Where other daemons reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where callers reach it.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where operators reach it.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Asks for a planned stop: no new connections and no new requests.
    pub async fn stop(&self) {
        self.shared.inbox.send(EntryEvent::Stop).await;
        self.callers.stop();
    }

    /// Waits until a planned stop is done, or `grace` is over. `true` if nothing was cut off.
    pub async fn stopped(&self, grace: Duration) -> bool {
        let done = async {
            let drained = self.drained.recv().await.is_ok();
            // The last bytes of the last answers are still on their way to the callers.
            self.callers.drain().await;
            drained
        };
        let late = async {
            async_io::Timer::after(grace).await;
            false
        };
        futures_lite::future::or(done, late).await
    }

    /// Ends the entry where it stands, as a killed process would.
    pub fn kill(&self) {
        self.callers.stop();
        self.operators.stop();
        self.tasks.cancel();
    }

    /// Looks at the reducer's state.
    pub fn inspect<T>(&self, look: impl FnOnce(&Entry) -> T) -> T {
        self.shared.look(look)
    }
}

impl Shared {
    pub(crate) fn now(&self) -> Millis {
        self.surroundings.clock.now()
    }

    /// Looks at the reducer's state.
    pub(crate) fn look<T>(&self, look: impl FnOnce(&Entry) -> T) -> T {
        look(&self.entry.lock().expect("the lock is never poisoned"))
    }

    /// An identity that no other request has.
    pub(crate) fn next_request(&self) -> RequestId {
        let serial = self.next_serial.fetch_add(1, Ordering::Relaxed);
        RequestId { entry: self.surroundings.clock.incarnation(), serial }
    }

    fn reduce(&self, event: EntryEvent) -> Vec<EntryEffect> {
        let now = self.now();
        let mut entry = self.entry.lock().expect("the lock is never poisoned");
        entry.reduce(now, rand::random(), event)
    }
}

/// Takes events in one after the other and carries out their effects.
async fn run(
    shared: Arc<Shared>,
    control: ControlDriver<EntryEvent>,
    events: Receiver<EntryEvent>,
    drain: Sender<()>,
) {
    while let Ok(event) = events.recv().await {
        for effect in shared.reduce(event) {
            carry_out(&shared, &control, &drain, effect);
        }
    }
}

fn carry_out(
    shared: &Arc<Shared>,
    control: &ControlDriver<EntryEvent>,
    drain: &Sender<()>,
    effect: EntryEffect,
) {
    let host = &shared.surroundings.host;
    match effect {
        EntryEffect::Control(effect) => control.carry_out(effect),
        EntryEffect::Change(effect) => changes::carry_out(shared, effect),
        EntryEffect::Claim { request, workspace, key } => {
            host.tasks.spawn(claims::take(shared.clone(), request, workspace, key));
        }
        EntryEffect::Release { request, workspace, key } => {
            host.tasks.spawn(claims::release(shared.clone(), request, workspace, key));
        }
        EntryEffect::Replay { request, answer } => {
            shared.requests.command(request, Command::Replay(answer));
        }
        EntryEffect::Send { attempt, address, budget_ms, .. } => {
            let command = Command::Send { attempt, address, budget_ms };
            shared.requests.command(attempt.request, command);
        }
        EntryEffect::Refuse { request, error } => {
            host.metrics.count_refusal(error.code);
            shared.requests.command(request, Command::Refuse(error));
        }
        // The task of the request has ended with its caller, and the connection with it.
        EntryEffect::Cancel(attempt) => shared.requests.end(attempt.request),
        EntryEffect::CountRetry(code) => host.metrics.count_retry(code),
        EntryEffect::Crash(news) => telemetry::note_crash(&host.metrics, &news),
        EntryEffect::Drained => {
            let _ = drain.try_send(());
        }
    }
}

/// The doors of an entry.
struct EntryDoors(Arc<Shared>);

#[async_trait]
impl Answer for EntryDoors {
    async fn answer(&self, door: &mut Door, frame: Frame) -> Result<()> {
        match frame.message {
            Message::GetConfiguration => {
                let (revision, bytes) = self.0.look(|entry| pack_configuration(&entry.control));
                door.send_configuration(revision, &bytes).await
            }
            _ => door.refuse(errors::Code::BadFrame).await,
        }
    }
}
