//! Connections of callers: the bytes buffered for each, and the timeouts of callers that do not read.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use errors::Error;
use futures_lite::io::{AsyncRead, AsyncWrite};
use futures_lite::FutureExt;
use http_body::{Body, Frame, SizeHint};
use telemetry::Metrics;
use uptime::Instant;

use crate::backlog::{Backlog, BacklogBounds, ConnectionId, Dropped, NoMemory};
use crate::clock::Clock;
use crate::gateway::AnswerBody;

/// Why the connection of a caller that does not read is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    /// The caller read nothing during the timeout of its route.
    Stalled,
    /// The time of a stream is over and the caller has not read the earlier bytes.
    Late,
    /// Memory is short, and this caller reads slowest.
    Memory,
}

impl Reason {
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
    backlog: RefCell<Backlog>,
    connections: RefCell<BTreeMap<ConnectionId, Weak<Caller>>>,
    clock: Clock,
    metrics: Rc<Metrics>,
}

impl Callers {
    /// Creates the state without connections.
    pub fn new(bounds: BacklogBounds, clock: Clock, metrics: Rc<Metrics>) -> Self {
        Self(Rc::new(Shared {
            backlog: RefCell::new(Backlog::new(bounds)),
            connections: RefCell::default(),
            clock,
            metrics,
        }))
    }

    /// The limits of the buffered bytes.
    pub fn bounds(&self) -> BacklogBounds {
        self.0.backlog.borrow().bounds()
    }

    /// The bytes that are buffered for all callers.
    pub fn kept_bytes(&self) -> usize {
        self.0.backlog.borrow().total()
    }

    /// Adds a connection. `read_timeout` is how long the caller may read nothing until a request sets another
    /// value.
    pub fn connect(&self, patience: Duration) -> Rc<Caller> {
        let id = self.0.backlog.borrow_mut().open();
        let caller = Rc::new(Caller {
            callers: self.clone(),
            id,
            patience: Cell::new(patience),
            stream_until: Cell::new(None),
            is_dropped: Cell::new(false),
            waker: RefCell::default(),
        });
        self.0.connections.borrow_mut().insert(id, Rc::downgrade(&caller));
        caller
    }

    fn drop_slow(&self, dropped: Dropped) {
        self.note(Reason::Memory, dropped);
        let caller = self.0.connections.borrow().get(&dropped.id).and_then(Weak::upgrade);
        let Some(caller) = caller else {
            return;
        };
        caller.is_dropped.set(true);
        let waker = caller.waker.take();
        waker.into_iter().for_each(Waker::wake);
    }

    fn note(&self, reason: Reason, dropped: Dropped) {
        let Dropped { bytes, age_ms, .. } = dropped;
        log::warn!(reason = reason.name(), bytes = bytes, age_ms = age_ms; "connection of a slow reader closed");
        self.0.metrics.count_slow_reader(reason.name());
    }
}

/// The connection of one caller.
pub struct Caller {
    callers: Callers,
    id: ConnectionId,
    patience: Cell<Duration>,
    /// Until when a runner may work on the current stream.
    stream_until: Cell<Option<Instant>>,
    is_dropped: Cell<bool>,
    /// Wakes the connection while it waits for its reader.
    waker: RefCell<Option<Waker>>,
}

impl Caller {
    /// The limits of the buffered bytes.
    pub fn bounds(&self) -> BacklogBounds {
        self.callers.bounds()
    }

    /// Accounts for bytes of a request's body.
    pub fn keep_body(&self, bytes: usize) -> Result<(), NoMemory> {
        self.callers.0.backlog.borrow_mut().keep_body(self.id, bytes)
    }

    /// Releases the body of the request.
    pub fn release_body(&self) {
        self.callers.0.backlog.borrow_mut().release_body(self.id);
    }

    /// Sets how long the caller may read nothing.
    pub fn set_patience(&self, patience: Duration) {
        self.patience.set(patience);
    }

    /// Sets until when a runner may work on the current stream. `None` if there is no stream.
    pub fn set_stream_until(&self, until: Option<Instant>) {
        self.stream_until.set(until);
    }

    fn note_answer(&self, bytes: usize) {
        let now = self.callers.0.clock.now();
        let dropped = self.callers.0.backlog.borrow_mut().keep_answer(now, self.id, bytes);
        dropped.into_iter().for_each(|it| self.callers.drop_slow(it));
    }

    fn note_read(&self, bytes: usize) {
        self.callers.0.backlog.borrow_mut().note_read(self.id, bytes);
    }

    /// When and why a caller that has read nothing since `since` is disconnected.
    fn limit(&self, since: Instant) -> (Instant, Reason) {
        let stalled = since + self.patience.get();
        match self.stream_until.get() {
            Some(until) if until < stalled => (until, Reason::Late),
            _ => (stalled, Reason::Stalled),
        }
    }

    fn note_limit(&self, reason: Reason, since: Instant) {
        let bytes = self.callers.0.backlog.borrow().of(self.id);
        let age_ms = since.elapsed().as_millis() as u64;
        self.callers.note(reason, Dropped { id: self.id, bytes, age_ms });
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.callers.0.backlog.borrow_mut().close(self.id);
        self.callers.0.connections.borrow_mut().remove(&self.id);
    }
}

/// A connection whose writes time out if the caller does not read.
pub struct CallerStream<S> {
    stream: S,
    caller: Rc<Caller>,
    /// Since when the caller has accepted no bytes.
    blocked: Option<Instant>,
    /// Wakes the connection when the timeout expires.
    timer: Option<(Instant, Timer)>,
}

impl<S> CallerStream<S> {
    /// Wraps the stream of a caller's connection.
    pub fn new(stream: S, caller: Rc<Caller>) -> Self {
        Self { stream, caller, blocked: None, timer: None }
    }

    fn wait_for_reader(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let since = *self.blocked.get_or_insert_with(Instant::now);
        let (until, reason) = self.caller.limit(since);
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            self.caller.note_limit(reason, since);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        self.caller.waker.replace(Some(cx.waker().clone()));
        if self.timer.as_ref().is_none_or(|(at, _)| *at != until) {
            self.timer = Some((until, Timer::after(left)));
        }
        if let Some((_, timer)) = &mut self.timer {
            if timer.poll(cx).is_ready() {
                // The timer of the machine may be ahead of the process's clock, so the deadline is checked
                // again.
                self.timer = None;
                cx.waker().wake_by_ref();
            }
        }
        Poll::Pending
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CallerStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CallerStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.caller.is_dropped.get() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        match Pin::new(&mut self.stream).poll_write(cx, bytes) {
            Poll::Pending => self.wait_for_reader(cx),
            Poll::Ready(Ok(written)) => {
                (self.blocked, self.timer) = (None, None);
                self.caller.note_read(written);
                Poll::Ready(Ok(written))
            }
            failed => failed,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// The body of an answer whose bytes are accounted for until they are read.
pub struct CountedBody {
    body: AnswerBody,
    caller: Rc<Caller>,
}

impl CountedBody {
    /// Wraps the body of an answer to a caller.
    pub fn new(body: AnswerBody, caller: Rc<Caller>) -> Self {
        Self { body, caller }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let frame = self.body.as_mut().poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &frame {
            self.caller.note_answer(frame.data_ref().map_or(0, Bytes::len));
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

#[cfg(test)]
mod tests;
