//! Connections of callers: the bytes buffered for each, what they are doing and why they end.

mod stream;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::task::Waker;
use std::time::Duration;

use telemetry::Metrics;
use uptime::Instant;

pub use self::stream::{AccountedBody, CallerStream};
use crate::caller_buffers::{BufferLimits, CallerBuffers, ConnectionId, NoMemory, SlowConnection};
use crate::clock::Clock;
use crate::connection_state::{CloseCause, ConnectionState};
use crate::stop_state::StopState;

/// Why the connection of a caller that does not read is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// The caller read nothing during the timeout of its route.
    Stalled,
    /// The time of a stream is over and the caller has not read the earlier bytes.
    Late,
    /// Memory is short, and this caller reads slowest.
    Memory,
}

impl CloseReason {
    fn name(self) -> &'static str {
        match self {
            Self::Stalled => "stalled",
            Self::Late => "late",
            Self::Memory => "memory",
        }
    }
}

/// All callers of a process.
#[derive(Clone)]
pub struct Callers(Rc<Shared>);

struct Shared {
    buffers: RefCell<CallerBuffers>,
    connections: RefCell<BTreeMap<ConnectionId, Weak<Caller>>>,
    stop: Rc<StopState>,
    clock: Clock,
    metrics: Rc<Metrics>,
}

impl Callers {
    /// Creates the state without connections.
    pub fn new(
        limits: BufferLimits,
        clock: Clock,
        metrics: Rc<Metrics>,
        stop: Rc<StopState>,
    ) -> Self {
        Self(Rc::new(Shared {
            buffers: RefCell::new(CallerBuffers::new(limits)),
            connections: RefCell::default(),
            stop,
            clock,
            metrics,
        }))
    }

    /// The limits of the buffered bytes.
    pub fn limits(&self) -> BufferLimits {
        self.0.buffers.borrow().limits()
    }

    /// The bytes that are buffered for all callers.
    pub fn buffered_bytes(&self) -> usize {
        self.0.buffers.borrow().total()
    }

    /// Adds a connection to a server. `read_timeout` is how long the caller may read nothing until a request sets another
    /// value.
    pub fn connect(&self, server: ServerName, read_timeout: Duration) -> Rc<Caller> {
        let id = self.0.buffers.borrow_mut().open();
        let caller = Rc::new(Caller {
            callers: self.clone(),
            id,
            server,
            opened: Instant::now(),
            state: Cell::default(),
            has_read_ahead: Cell::default(),
            is_unread: Cell::default(),
            is_last_request: Cell::default(),
            requests: Cell::default(),
            end: Cell::default(),
            is_end_logged: Cell::default(),
            read_timeout: Cell::new(read_timeout),
            stream_deadline: Cell::new(None),
            is_closed: Cell::new(false),
            idle: Cell::default(),
            ends_when_idle: Cell::default(),
            waker: RefCell::default(),
        });
        self.0.connections.borrow_mut().insert(id, Rc::downgrade(&caller));
        caller
    }

    fn close_slow(&self, slow: SlowConnection) {
        self.log_closed(CloseReason::Memory, slow);
        let caller = self.0.connections.borrow().get(&slow.id).and_then(Weak::upgrade);
        let Some(caller) = caller else {
            return;
        };
        caller.is_closed.set(true);
        // The bytes that are not sent are no longer accounted for.
        caller.note_end_in(CloseCause::SlowReader, ConnectionState::Answer);
        caller.wake();
    }

    /// Wakes all connections, so that their requests see what has changed.
    pub fn wake(&self) {
        self.open().iter().for_each(|it| it.wake());
    }

    /// Ends all connections whose callers do not read.
    pub fn close_blocked(&self) {
        for caller in self.open() {
            caller.note_end(CloseCause::ProcessEnd);
            caller.is_closed.set(true);
            caller.wake();
        }
    }

    /// Notes which connections are idle at a time.
    pub fn note_idle(&self, now: Instant) {
        for caller in self.open() {
            caller.note_idle(now);
        }
    }

    /// Ends the connections that have been idle for some time, and notes which others are idle.
    pub fn end_idle(&self, min_idle: Duration) {
        let now = Instant::now();
        for caller in self.open() {
            let idle_since = caller.note_idle(now);
            if idle_since.is_some_and(|it| now.saturating_duration_since(it) >= min_idle) {
                caller.end_when_idle();
            }
        }
    }

    fn open(&self) -> Vec<Rc<Caller>> {
        self.0.connections.borrow().values().filter_map(Weak::upgrade).collect()
    }

    /// The number of connections to a server, by what they are doing.
    pub fn count_open(&self, server: ServerName) -> BTreeMap<ConnectionState, usize> {
        let mut open = BTreeMap::new();
        let callers = self.open_to(server);
        callers.iter().for_each(|it| *open.entry(it.state()).or_default() += 1);
        open
    }

    /// Counts and logs the connections to a server that end with the process.
    pub fn log_process_end(&self, server: ServerName) {
        for caller in self.open_to(server) {
            caller.log_end(CloseCause::ProcessEnd);
        }
    }

    fn open_to(&self, server: ServerName) -> Vec<Rc<Caller>> {
        let mut open = self.open();
        open.retain(|it| it.server == server && !it.is_end_logged.get());
        open
    }

    fn log_closed(&self, reason: CloseReason, slow: SlowConnection) {
        let SlowConnection { bytes, age_ms, .. } = slow;
        log::warn!(reason = reason.name(), bytes = bytes, age_ms = age_ms; "connection of a slow reader closed");
        self.0.metrics.count_slow_reader(reason.name());
    }
}

/// A server of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerName {
    /// Answers the requests of callers.
    Callers,
    /// Tells the platform whether the process is ready.
    Readiness,
    /// Serves the store's tables to other processes.
    Tables,
    /// Serves the metrics.
    Metrics,
}

impl ServerName {
    fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Readiness => "readiness",
            Self::Tables => "tables",
            Self::Metrics => "metrics",
        }
    }
}

/// The connection of one caller.
pub struct Caller {
    callers: Callers,
    id: ConnectionId,
    server: ServerName,
    opened: Instant,
    state: Cell<ConnectionState>,
    /// Whether bytes after the current request have arrived.
    has_read_ahead: Cell<bool>,
    /// Whether a part of the last request's body was not read.
    is_unread: Cell<bool>,
    is_last_request: Cell<bool>,
    /// The number of requests that arrived on it.
    requests: Cell<u64>,
    /// The first cause of its end, and what was under way then.
    end: Cell<Option<(CloseCause, ConnectionState)>>,
    is_end_logged: Cell<bool>,
    read_timeout: Cell<Duration>,
    /// Until when a runner may work on the current stream.
    stream_deadline: Cell<Option<Instant>>,
    is_closed: Cell<bool>,
    /// Since when it is idle, and how many requests had arrived on it then.
    idle: Cell<Option<(Instant, u64)>>,
    /// Why it is closed as soon as it is idle and nothing has arrived on it.
    ends_when_idle: Cell<Option<CloseCause>>,
    /// Wakes the task of the connection.
    waker: RefCell<Option<Waker>>,
}

impl Caller {
    /// The limits of the buffered bytes.
    pub fn limits(&self) -> BufferLimits {
        self.callers.limits()
    }

    /// Accounts for bytes of a request's body.
    pub fn reserve_body(&self, bytes: usize) -> Result<(), NoMemory> {
        self.callers.0.buffers.borrow_mut().reserve_body(self.id, bytes)
    }

    /// Accounts for the bytes of an event that is not complete.
    pub fn reserve_event(&self, bytes: usize) -> Result<(), NoMemory> {
        self.callers.0.buffers.borrow_mut().reserve_event(self.id, bytes)
    }

    /// Releases the body of the request.
    pub fn release_body(&self) {
        self.callers.0.buffers.borrow_mut().release_body(self.id);
    }

    /// Sets how long the caller may read nothing.
    pub fn set_read_timeout(&self, read_timeout: Duration) {
        self.read_timeout.set(read_timeout);
    }

    /// Sets until when a runner may work on the current stream. `None` if there is no stream.
    pub fn set_stream_deadline(&self, until: Option<Instant>) {
        self.stream_deadline.set(until);
    }

    /// Records that the head of a request was read, and whether a body follows and another request may.
    pub fn begin_request(&self, has_body: bool, is_last: bool) {
        self.requests.set(self.requests.get() + 1);
        self.has_read_ahead.set(false);
        self.is_unread.set(has_body);
        self.is_last_request.set(is_last);
        self.ends_when_idle.set(None);
        self.state.set(ConnectionState::Body);
    }

    /// Records that the body of the request was read.
    pub fn finish_reading(&self) {
        self.is_unread.set(false);
        self.state.set(ConnectionState::Waiting);
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.callers.0.stop.has_begun()
    }

    /// Whether all requests end, since the process does.
    pub fn is_over(&self) -> bool {
        self.callers.0.stop.is_over()
    }

    /// Since when the connection is known to be idle.
    fn note_idle(&self, now: Instant) -> Option<Instant> {
        if self.state().has_request() {
            self.idle.set(None);
            return None;
        }
        let requests = self.requests.get();
        let earlier = self.idle.get().filter(|it| it.1 == requests);
        let (since, _) = earlier.unwrap_or((now, requests));
        self.idle.set(Some((since, requests)));
        Some(since)
    }

    fn end_when_idle(&self) {
        if self.ends_when_idle.replace(Some(CloseCause::Stop)).is_none() {
            self.wake();
        }
    }

    /// Ends the connection, because it has waited for its caller for too long, unless something has arrived.
    pub fn expire(&self) {
        self.ends_when_idle.set(Some(CloseCause::IdleTimeout));
    }

    /// Sets what wakes the task of the connection.
    pub fn set_waker(&self, waker: &Waker) {
        let mut current = self.waker.borrow_mut();
        if !current.as_ref().is_some_and(|it| it.will_wake(waker)) {
            *current = Some(waker.clone());
        }
    }

    fn wake(&self) {
        self.waker.borrow().iter().for_each(Waker::wake_by_ref);
    }

    /// The number of requests that arrived on the connection.
    pub fn requests(&self) -> u64 {
        self.requests.get()
    }

    /// Whether a part of the request's body was not read.
    pub fn is_unread(&self) -> bool {
        self.is_unread.get()
    }

    /// Whether the caller sends no request after this one.
    pub fn is_last_request(&self) -> bool {
        self.is_last_request.get()
    }

    /// Records that the request has an answer.
    pub fn begin_answer(&self) {
        self.state.set(ConnectionState::Answer);
    }

    fn end_answer(&self) {
        let has_next = self.has_read_ahead.get();
        self.state.set(if has_next { ConnectionState::Head } else { ConnectionState::Idle });
    }

    /// What the connection is doing.
    pub fn state(&self) -> ConnectionState {
        match self.state.get() {
            ConnectionState::Idle if self.has_unsent_bytes() => ConnectionState::Answer,
            state => state,
        }
    }

    fn has_unsent_bytes(&self) -> bool {
        self.callers.0.buffers.borrow().bytes_of(self.id) > 0
    }

    /// Notes why the connection ends. Only the first call counts.
    pub fn note_end(&self, cause: CloseCause) {
        self.note_end_in(cause, self.state());
    }

    fn note_end_in(&self, cause: CloseCause, state: ConnectionState) {
        if self.end.get().is_none() {
            self.end.set(Some((cause, state)));
        }
    }

    /// Why the connection ends if nothing was noted: by what the last answer or request said, or because the
    /// last request was not read.
    pub fn unnoted_cause(&self) -> CloseCause {
        if self.is_unread.get() {
            CloseCause::Unread
        } else {
            CloseCause::LastAnswer
        }
    }

    /// Counts the end of the connection, and logs it if a request was under way that its caller did not give
    /// up. Returns the cause, which is `cause` if none was noted. Only the first call counts.
    pub fn log_end(&self, cause: CloseCause) -> CloseCause {
        let (cause, state) = self.end.get().unwrap_or((cause, self.state()));
        if !self.is_end_logged.replace(true) {
            self.log_end_in(cause, state);
        }
        cause
    }

    /// Counts and logs a request that arrived after the end of its idle connection. It was not read, and its caller
    /// may send it again.
    pub fn log_crossing(&self, cause: CloseCause) {
        let (server, reason) = (self.server.name(), cause.name());
        self.callers.0.metrics.count_crossing(server, reason);
        let age_ms = self.opened.elapsed().as_millis() as u64;
        log::warn!(server = server, reason = reason, age_ms = age_ms; "a request crossed the end of its connection");
    }

    fn log_end_in(&self, cause: CloseCause, state: ConnectionState) {
        let (server, reason, state_name) = (self.server.name(), cause.name(), state.name());
        self.callers.0.metrics.count_connection_end(server, reason, state_name);
        if !state.has_request() || cause == CloseCause::Caller {
            return;
        }
        let age_ms = self.opened.elapsed().as_millis() as u64;
        let requests = self.requests.get();
        log::warn!(server = server, reason = reason, state = state_name, requests = requests, age_ms = age_ms; "connection closed with a request under way");
    }

    fn record_arrival(&self, bytes: usize) {
        if bytes == 0 {
            self.note_end(CloseCause::Caller);
            return;
        }
        match self.state.get() {
            ConnectionState::Idle => {
                self.state.set(ConnectionState::Head);
                self.ends_when_idle.set(None);
            }
            ConnectionState::Waiting | ConnectionState::Answer => self.has_read_ahead.set(true),
            ConnectionState::Head | ConnectionState::Body => {}
        }
    }

    fn reserve_answer(&self, bytes: usize) {
        let now = self.callers.0.clock.now();
        let slow = self.callers.0.buffers.borrow_mut().reserve_answer(now, self.id, bytes);
        slow.into_iter().for_each(|it| self.callers.close_slow(it));
    }

    fn record_read(&self, bytes: usize) {
        self.callers.0.buffers.borrow_mut().record_read(self.id, bytes);
    }

    /// When and why a caller that has read nothing since `since` is disconnected.
    fn read_deadline(&self, since: Instant) -> (Instant, CloseReason) {
        let stalled = since + self.read_timeout.get();
        match self.stream_deadline.get() {
            Some(until) if until < stalled => (until, CloseReason::Late),
            _ => (stalled, CloseReason::Stalled),
        }
    }

    fn log_timeout(&self, reason: CloseReason, since: Instant) {
        let bytes = self.callers.0.buffers.borrow().bytes_of(self.id);
        let age_ms = since.elapsed().as_millis() as u64;
        self.callers.log_closed(reason, SlowConnection { id: self.id, bytes, age_ms });
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.callers.0.buffers.borrow_mut().close(self.id);
        self.callers.0.connections.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
