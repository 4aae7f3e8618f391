//! A connection that records how it ends.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;

use async_io::{Async, Timer};
use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};

use crate::history::Ending;

/// Size of the buffer that takes what arrived before a failed write.
const REST_BYTES: usize = 1024;

/// What a caller observes on its connection.
#[derive(Default)]
pub(super) struct Observations {
    received: Cell<bool>,
    ending: Cell<Option<Ending>>,
    /// Whether the caller reads nothing yet, because it is still writing its request.
    is_reading_deferred: Cell<bool>,
    reader: RefCell<Option<Waker>>,
}

impl Observations {
    /// Begins a request.
    pub(super) fn begin(&self) {
        self.received.set(false);
    }

    /// Whether any byte has arrived since the request began.
    pub(super) fn has_received(&self) -> bool {
        self.received.get()
    }

    /// How the connection ended, if it did.
    pub(super) fn ending(&self) -> Option<Ending> {
        self.ending.get()
    }

    /// Has the caller read nothing until `resume_reading`.
    pub(super) fn defer_reading(&self) {
        self.is_reading_deferred.set(true);
    }

    /// Has the caller read again.
    pub(super) fn resume_reading(&self) {
        self.is_reading_deferred.set(false);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    fn record_error(&self, error: &io::Error) {
        let reset = [io::ErrorKind::ConnectionReset, io::ErrorKind::BrokenPipe];
        let ending = if reset.contains(&error.kind()) { Ending::Reset } else { Ending::Closed };
        self.ending.set(Some(self.ending.get().unwrap_or(ending)));
    }
}

/// A TCP stream whose end and received bytes are recorded. What arrives on it, and its end, is seen after a delay.
pub(super) struct ObservedStream {
    stream: TcpStream,
    /// The same stream, to wait for what arrives.
    readiness: Arc<Async<std::net::TcpStream>>,
    observations: Rc<Observations>,
    latency: Duration,
    /// Runs while something has arrived that is not seen yet.
    delay: Option<Timer>,
}

impl ObservedStream {
    /// Wraps a stream.
    pub(super) fn new(
        stream: TcpStream,
        observations: Rc<Observations>,
        latency: Duration,
    ) -> Self {
        let readiness = stream.clone().into();
        Self { stream, readiness, observations, latency, delay: None }
    }

    /// Waits until something has arrived, and then for the delay.
    fn poll_arrival(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.latency.is_zero() {
            return Poll::Ready(());
        }
        if self.delay.is_none() {
            // An error shows up in the read that follows.
            let _ = ready!(self.readiness.poll_readable(context));
        }
        let delay = self.delay.get_or_insert_with(|| Timer::after(self.latency));
        ready!(Pin::new(delay).poll(context));
        self.delay = None;
        Poll::Ready(())
    }

    /// Records whether bytes have arrived that were not read yet.
    fn check_unread_bytes(&mut self, context: &mut Context<'_>) {
        let mut rest = [0; REST_BYTES];
        let read = Pin::new(&mut self.stream).poll_read(context, &mut rest);
        if matches!(read, Poll::Ready(Ok(length)) if length > 0) {
            self.observations.received.set(true);
        }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.observations.is_reading_deferred.get() {
            self.observations.reader.replace(Some(context.waker().clone()));
            return Poll::Pending;
        }
        ready!(self.poll_arrival(context));
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, buffer));
        match &read {
            Ok(0) => self.observations.ending.set(Some(Ending::Closed)),
            Ok(_) => self.observations.received.set(true),
            Err(error) => self.observations.record_error(error),
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, buffer));
        if let Err(error) = &written {
            self.observations.record_error(error);
            self.check_unread_bytes(context);
        }
        Poll::Ready(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
