//! An HTTP/1 connection to a server, polled by the task that waits for it.
//!
//! The connection has no task of its own: a frame then costs a single wake-up, and dropping the connection
//! closes the socket, which frees the runner at once.

use std::error::Error as _;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_net::TcpStream;
use bytes::Bytes;
use errors::{Code, Error, Result};
use futures_lite::future;
use http::{Request, Response};
use http_body::Body;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use rustix::net::sockopt;
use smol_hyper::rt::FuturesIo;
use uptime::Instant;

use crate::bounded_stream::{BoundedStream, Pace, ReadBounds};

/// How long a peer may leave sent bytes unacknowledged, in milliseconds.
const USER_TIMEOUT_MS: u32 = 4000;
/// Idle time before the peer is probed with TCP keep-alive, and interval between probes: the shortest that
/// the system accepts. A peer that is cut off sends nothing, and a feed call waits for the store without
/// traffic.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is considered lost.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// The most bytes until the head of an answer is complete, with interim answers before it and the beginning of the body
/// behind it.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The most bytes of framing in a body, beside those that `FRAMING_FACTOR` allows.
const MAX_FRAMING_BYTES: u64 = 64 * 1024;
/// The bytes on the wire that each byte of a body allows.
const FRAMING_FACTOR: u64 = 4;

type Driver = Connection<FuturesIo<BoundedStream<TcpStream>>, Full<Bytes>>;

/// A connection to a server.
pub struct HttpConnection {
    /// `None` once the connection was closed.
    driver: Option<Pin<Box<Driver>>>,
    /// Whether the connection has ended.
    ended: bool,
    sender: SendRequest<Full<Bytes>>,
    bounds: Rc<ReadBounds>,
}

impl HttpConnection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self> {
        let bounds = Rc::new(ReadBounds::new());
        let stream = BoundedStream::new(connect(address, timeout).await?, bounds.clone());
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .max_header_size(MAX_HEAD_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|error| Error::new(Code::Unreachable, error.to_string()))?;
        Ok(Self { driver: Some(Box::pin(connection)), ended: false, sender, bounds })
    }

    /// Limits the rate at which answers are read.
    pub fn set_pace(&self, pace: Pace) {
        self.bounds.set_pace(pace);
    }

    /// Closes the connection.
    pub fn close(&mut self) {
        self.driver = None;
    }

    /// Whether another request can be sent: the connection is open, and nothing has arrived behind the last answer.
    pub async fn is_quiet(&mut self) -> bool {
        let Self { driver, ended, sender, bounds } = self;
        bounds.begin_turn();
        poll_fn(|cx| {
            poll_driver(driver, ended, cx);
            Poll::Ready(())
        })
        .await;
        !*ended && driver.is_some() && !sender.is_closed()
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        let Self { driver, ended, sender, bounds } = self;
        bounds.begin(MAX_HEAD_BYTES as u64);
        let mut answer = std::pin::pin!(sender.send_request(request));
        let answer = poll_fn(|cx| {
            if let Poll::Ready(answer) = answer.as_mut().poll(cx) {
                return Poll::Ready(answer);
            }
            poll_driver(driver, ended, cx);
            answer.as_mut().poll(cx)
        });
        let answer = answer.await.map_err(|error| {
            // The library does not send a request if an answer is already there.
            let has_early_bytes = error.is_canceled() && bounds.bytes_read() > 0;
            let code = if has_early_bytes { Code::MalformedAnswer } else { Code::ConnectionLost };
            failure(code, &error)
        });
        bounds.begin(MAX_FRAMING_BYTES);
        answer
    }

    /// Waits for the next bytes of a body. `None` at its end.
    pub async fn next_bytes(&mut self, body: &mut Incoming) -> Option<Result<Bytes>> {
        let Self { driver, ended, bounds, .. } = self;
        let frame = poll_fn(|cx| {
            if let Poll::Ready(frame) = Pin::new(&mut *body).poll_frame(cx) {
                return Poll::Ready(frame);
            }
            poll_driver(driver, ended, cx);
            Pin::new(&mut *body).poll_frame(cx)
        });
        let frame = frame.await?;
        let bytes = frame.map(|it| it.into_data().unwrap_or_default());
        if let Ok(bytes) = &bytes {
            bounds.extend(FRAMING_FACTOR * bytes.len() as u64);
        }
        Some(bytes.map_err(|error| failure(Code::CutShort, &error)))
    }

    /// Reads a whole body of at most `limit` bytes.
    pub async fn collect(&mut self, body: &mut Incoming, limit: usize) -> Result<Vec<u8>> {
        let mut body_bytes = Vec::new();
        while let Some(bytes) = self.next_bytes(body).await {
            body_bytes.extend_from_slice(&bytes?);
            if body_bytes.len() > limit {
                return Err(Error::new(Code::TooLarge, "the answer is too large"));
            }
        }
        Ok(body_bytes)
    }
}

/// The error of a connection that failed: `MalformedAnswer` if the peer sent bytes that are no answer or more than is
/// allowed, `TimedOut` if the network no longer reached the peer, otherwise `code`.
fn failure(code: Code, error: &hyper::Error) -> Error {
    let cause = error.source().and_then(|it| it.downcast_ref::<io::Error>());
    let code = match cause.map(io::Error::kind) {
        _ if error.is_parse() => Code::MalformedAnswer,
        Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) => Code::MalformedAnswer,
        Some(
            io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable,
        ) => Code::TimedOut,
        _ => code,
    };
    Error::new(code, error.to_string())
}

/// Polls the connection, so that it reads and writes what it can.
fn poll_driver(driver: &mut Option<Pin<Box<Driver>>>, ended: &mut bool, cx: &mut Context<'_>) {
    let Some(driver) = driver.as_mut().filter(|_| !*ended) else {
        return;
    };
    if driver.as_mut().poll(cx).is_ready() {
        *ended = true;
    }
}

/// Opens a TCP connection with a timeout.
pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<TcpStream> {
    let stream = with_deadline(Instant::now() + timeout, TcpStream::connect(address)).await;
    let stream = stream
        .ok_or_else(|| Error::new(Code::Unreachable, "no connection in time"))?
        .map_err(|error| Error::new(Code::Unreachable, error.to_string()))?;
    set_socket_options(&stream);
    Ok(stream)
}

/// Sets the socket options of every connection. Errors are ignored: a connection without these options only
/// works less well.
pub fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = sockopt::set_tcp_user_timeout(stream, USER_TIMEOUT_MS);
    let _ = sockopt::set_socket_keepalive(stream, true);
    let _ = sockopt::set_tcp_keepidle(stream, PROBE_INTERVAL);
    let _ = sockopt::set_tcp_keepintvl(stream, PROBE_INTERVAL);
    let _ = sockopt::set_tcp_keepcnt(stream, MAX_UNANSWERED_PROBES);
}

/// Waits for a future until a deadline. `None` if the deadline passes first.
pub async fn with_deadline<T>(until: Instant, future: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(future.await) }, async {
        uptime::sleep_until(until).await;
        None
    })
    .await
}

#[cfg(test)]
mod tests;
