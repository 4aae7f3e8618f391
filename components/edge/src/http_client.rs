//! HTTP calls to one server over a kept-alive connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use errors::{Code, Error, Result};
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use platform::Call;
use uptime::Instant;

use crate::http_connection::{with_deadline, HttpConnection};

/// The largest answer to a call, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The rate that an answer has to reach, in bytes a second, from `SLOW_PAUSES` of its longest pauses after its head on.
const MIN_BYTES_PER_S: u32 = 16 * 1024;
/// How many of its longest pauses an answer may take in all, beside the time that its bytes take at the lowest rate.
const SLOW_PAUSES: u32 = 8;

/// The answer to a call.
pub struct CallAnswer {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Vec<u8>,
}

impl CallAnswer {
    /// The body of an answer with status 200, otherwise an error.
    pub fn success(self) -> Result<Vec<u8>> {
        match self.status {
            200 => Ok(self.body),
            429 => Err(Error::new(Code::PlatformBusy, "status 429")),
            status => Err(Error::new(Code::PlatformUnavailable, format!("status {status}"))),
        }
    }
}

/// How long opening a connection may take. A server that is down sends nothing, and a longer timeout would
/// still run when the server is back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// How long an idle connection is kept.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1000);

/// A client that makes one call at a time to a server. A connection on which a call failed is closed.
pub struct HttpClient {
    address: SocketAddr,
    connection: Option<(HttpConnection, Instant)>,
}

impl HttpClient {
    /// Creates a client without a connection.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Closes the connection if it has been idle for `idle`: servers limit how many they keep.
    pub fn close_if_idle(&mut self, idle: Duration) {
        self.connection.take_if(|(_, since)| since.elapsed() >= idle);
    }

    /// Whether an idle connection is kept.
    pub fn is_connected(&self) -> bool {
        self.connection.is_some()
    }

    /// The address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes a call within a timeout.
    pub async fn call(&mut self, call: Call, timeout: Duration) -> Result<CallAnswer> {
        let until = Instant::now() + timeout;
        let timed_out = || Error::new(Code::TimedOut, "no answer in time");
        with_deadline(until, self.call_with_pause_limit(call, timeout, timeout))
            .await
            .ok_or_else(timed_out)?
    }

    /// Makes a call whose answer must start within `start_timeout`. After that it has no time limit as long as no pause
    /// is longer than `max_pause` and it does not fall below the lowest rate. A large answer on a narrow link would
    /// never arrive if it were cut off and requested again.
    pub async fn call_with_pause_limit(
        &mut self,
        call: Call,
        start_timeout: Duration,
        max_pause: Duration,
    ) -> Result<CallAnswer> {
        let idle_connection = self.take_idle_connection().await;
        let timed_out = || Error::new(Code::TimedOut, "no answer in time");
        let started = start_call(self.address, idle_connection, call, start_timeout);
        let (mut connection, answer) = with_deadline(Instant::now() + start_timeout, started)
            .await
            .ok_or_else(timed_out)??;
        let (head, mut body) = answer.into_parts();
        let body = collect(&mut connection, &mut body, max_pause).await?;
        self.connection = Some((connection, Instant::now()));
        Ok(CallAnswer { status: head.status.as_u16(), headers: head.headers, body })
    }

    /// Takes the kept connection out, so that a cancelled call does not leave it behind. Servers close idle
    /// connections, and what they send on one belongs to no call.
    async fn take_idle_connection(&mut self) -> Option<HttpConnection> {
        let (mut connection, since) = self.connection.take()?;
        let is_usable = since.elapsed() < MAX_IDLE_TIME && connection.is_quiet().await;
        is_usable.then_some(connection)
    }
}

/// Sends a call and waits for the head of its answer.
async fn start_call(
    address: SocketAddr,
    idle_connection: Option<HttpConnection>,
    call: Call,
    timeout: Duration,
) -> Result<(HttpConnection, Response<Incoming>)> {
    let mut connection = match idle_connection {
        Some(connection) => connection,
        None => HttpConnection::open(address, timeout.min(CONNECT_TIMEOUT)).await?,
    };
    let answer = connection.send(request(address, call)?).await?;
    Ok((connection, answer))
}

/// Reads a body of at most `MAX_ANSWER_BYTES` bytes, with no pause between them longer than `max_pause`, and no slower
/// than the lowest rate.
async fn collect(
    connection: &mut HttpConnection,
    body: &mut Incoming,
    max_pause: Duration,
) -> Result<Vec<u8>> {
    let begun = Instant::now();
    let mut body_bytes = Vec::new();
    loop {
        let slowest = slowest_time(body_bytes.len(), max_pause);
        let until = (Instant::now() + max_pause).min(begun + slowest);
        let next = with_deadline(until, connection.next_bytes(body)).await;
        let next = next.ok_or_else(|| Error::new(Code::TimedOut, "the answer stalled"))?;
        let Some(bytes) = next else {
            return Ok(body_bytes);
        };
        body_bytes.extend_from_slice(&bytes?);
        if body_bytes.len() > MAX_ANSWER_BYTES {
            return Err(Error::new(Code::TooLarge, "the answer is too large"));
        }
    }
}

/// The longest time from the head of an answer until more than `bytes` bytes of it have arrived.
fn slowest_time(bytes: usize, max_pause: Duration) -> Duration {
    let at_lowest_rate = Duration::from_secs_f64(bytes as f64 / f64::from(MIN_BYTES_PER_S));
    SLOW_PAUSES * max_pause + at_lowest_rate
}

fn request(address: SocketAddr, call: Call) -> Result<Request<Full<Bytes>>> {
    let mut request =
        Request::builder().method(call.method).uri(call.path).header(HOST, address.to_string());
    if call.json {
        request = request.header(CONTENT_TYPE, "application/json");
    }
    request
        .body(Full::new(Bytes::from(call.body)))
        .map_err(|error| Error::new(Code::Internal, error.to_string()))
}

#[cfg(test)]
mod tests;
