//! A stream of bytes whose reader is bounded: in the bytes that it gets before other tasks have their turn, in the bytes
//! that it gets in all until more are allowed, and in the bytes of a second.
//!
//! The HTTP library reads on for as long as bytes are there. Without these bounds a peer that sends as fast as it can
//! keeps the thread to itself, and timers do not fire.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use futures_lite::io::{AsyncRead, AsyncWrite};
use uptime::Instant;

/// How many bytes are read before other tasks have their turn.
const TURN_BYTES: usize = 16 * 1024;

/// A sustained rate of reading.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The rate, in bytes a second.
    pub bytes_per_s: u32,
    /// The bytes that may exceed the rate for a moment.
    pub burst_bytes: u32,
}

impl Pace {
    /// How long a number of bytes takes at this rate.
    fn duration(self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / f64::from(self.bytes_per_s))
    }
}

/// The bounds of one stream, shared by the stream and its owner.
pub struct ReadBounds {
    /// Bytes left in this turn.
    turn: Cell<usize>,
    /// Bytes read since the last call to `begin`.
    read: Cell<u64>,
    /// The largest number of bytes to read.
    allowed: Cell<u64>,
    pace: Cell<Option<Pace>>,
    /// When all bytes that were read are paid for at the rate.
    paid_at: Cell<Instant>,
}

impl ReadBounds {
    /// Bounds that allow no bytes yet.
    pub fn new() -> Self {
        Self {
            turn: Cell::new(TURN_BYTES),
            read: Cell::new(0),
            allowed: Cell::new(0),
            pace: Cell::new(None),
            paid_at: Cell::new(Instant::now()),
        }
    }

    /// Counts from zero, and allows a number of bytes.
    pub fn begin(&self, bytes: u64) {
        self.read.set(0);
        self.allowed.set(bytes);
    }

    /// Allows more bytes.
    pub fn extend(&self, bytes: u64) {
        self.allowed.set(self.allowed.get().saturating_add(bytes));
    }

    /// Begins a new turn.
    pub fn begin_turn(&self) {
        self.turn.set(TURN_BYTES);
    }

    /// Sets the rate of reading.
    pub fn set_pace(&self, pace: Pace) {
        self.pace.set(Some(pace));
        self.paid_at.set(Instant::now());
    }

    /// The bytes read since the last call to `begin`.
    pub fn bytes_read(&self) -> u64 {
        self.read.get()
    }

    /// The bytes that may be read at once.
    fn left(&self) -> usize {
        let allowed = self.allowed.get().saturating_sub(self.read.get());
        self.turn.get().min(usize::try_from(allowed).unwrap_or(usize::MAX))
    }

    fn record(&self, bytes: usize) {
        self.turn.set(self.turn.get().saturating_sub(bytes));
        self.read.set(self.read.get() + bytes as u64);
        if let Some(pace) = self.pace.get() {
            let now = Instant::now();
            self.paid_at.set(self.paid_at.get().max(now) + pace.duration(bytes));
        }
    }

    /// Until when to wait before the next read.
    fn pause(&self) -> Option<Instant> {
        let burst = self.pace.get().map(|it| it.duration(it.burst_bytes as usize))?;
        let debt = self.paid_at.get().saturating_duration_since(Instant::now());
        (debt > burst).then(|| Instant::now() + (debt - burst))
    }
}

/// A stream whose reader is bounded. Writes pass unchanged.
pub struct BoundedStream<S> {
    stream: S,
    bounds: Rc<ReadBounds>,
    pause: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl<S> BoundedStream<S> {
    /// Bounds a stream.
    pub fn new(stream: S, bounds: Rc<ReadBounds>) -> Self {
        Self { stream, bounds, pause: None }
    }

    /// Waits until the rate allows another read.
    fn poll_pause(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.pause.is_none() {
            let sleep = self.bounds.pause().map(uptime::sleep_until);
            self.pause = sleep.map(|it| Box::pin(it) as _);
        }
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(cx));
            self.pause = None;
        }
        Poll::Ready(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    /// Fails with `InvalidData` once the peer has sent more than is allowed.
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        ready!(this.poll_pause(cx));
        if this.bounds.turn.get() == 0 {
            this.bounds.begin_turn();
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let left = this.bounds.left().min(buffer.len());
        if left == 0 {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "too many bytes")));
        }
        let polled = Pin::new(&mut this.stream).poll_read(cx, &mut buffer[..left]);
        match &polled {
            Poll::Ready(Ok(bytes)) => this.bounds.record(*bytes),
            Poll::Ready(Err(_)) => {}
            // The task waits for the peer, so other tasks have their turn.
            Poll::Pending => this.bounds.begin_turn(),
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

#[cfg(test)]
mod tests;
