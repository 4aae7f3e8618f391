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

use crate::exchange::{within, Exchange};

/// The largest answer to a call, in bytes.
const ANSWER_BYTES: usize = 8 << 20;

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
const KEPT_FOR: Duration = Duration::from_millis(1000);

/// A client that makes one call at a time to a server. A connection on which a call failed is closed.
pub struct Link {
    address: SocketAddr,
    exchange: Option<(Exchange, Instant)>,
}

impl Link {
    /// Creates a client without a connection.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, exchange: None }
    }

    /// Closes the connection if it has been idle for `idle`: servers limit how many they keep.
    pub fn close_if_rested(&mut self, rest: Duration) {
        self.exchange.take_if(|(_, since)| since.elapsed() >= rest);
    }

    /// Whether an idle connection is kept.
    pub fn is_connected(&self) -> bool {
        self.exchange.is_some()
    }

    /// The address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes a call within a timeout.
    pub async fn call(&mut self, call: Call, timeout: Duration) -> Result<CallAnswer> {
        let until = Instant::now() + timeout;
        let late = || Error::new(Code::TimedOut, "no answer in time");
        within(until, self.call_patiently(call, timeout, timeout)).await.ok_or_else(late)?
    }

    /// Makes a call whose answer must start within `begin` and may take as long as it likes after that, with
    /// no pause longer than `pause`. A large answer on a narrow link would never arrive if it were cut off
    /// and requested again.
    pub async fn call_patiently(
        &mut self,
        call: Call,
        begin: Duration,
        pause: Duration,
    ) -> Result<CallAnswer> {
        // Taken out, so that a cancelled call does not leave its connection behind.
        let kept = self.exchange.take().filter(is_fresh).map(|(exchange, _)| exchange);
        let late = || Error::new(Code::TimedOut, "no answer in time");
        let begun = begin_call(self.address, kept, call, begin);
        let (mut exchange, answer) =
            within(Instant::now() + begin, begun).await.ok_or_else(late)??;
        let (head, mut body) = answer.into_parts();
        let body = collect(&mut exchange, &mut body, pause).await?;
        self.exchange = Some((exchange, Instant::now()));
        Ok(CallAnswer { status: head.status.as_u16(), headers: head.headers, body })
    }
}

/// Whether a kept connection can be used again. Servers close idle connections, and the connection is not
/// polled meanwhile.
fn is_fresh((exchange, since): &(Exchange, Instant)) -> bool {
    exchange.is_open() && since.elapsed() < KEPT_FOR
}

/// Sends a call and waits for the head of its answer.
async fn begin_call(
    address: SocketAddr,
    kept: Option<Exchange>,
    call: Call,
    timeout: Duration,
) -> Result<(Exchange, Response<Incoming>)> {
    let mut exchange = match kept {
        Some(exchange) => exchange,
        None => Exchange::open(address, timeout.min(CONNECT_TIMEOUT)).await?,
    };
    let answer = exchange.send(request(address, call)?).await?;
    Ok((exchange, answer))
}

/// Reads a body of at most `MAX_ANSWER_BYTES` bytes, with no pause between them longer than `pause`.
async fn collect(exchange: &mut Exchange, body: &mut Incoming, pause: Duration) -> Result<Vec<u8>> {
    let mut whole = Vec::new();
    loop {
        let next = within(Instant::now() + pause, exchange.next(body)).await;
        let next = next.ok_or_else(|| Error::new(Code::TimedOut, "the answer stands still"))?;
        let Some(bytes) = next else {
            return Ok(whole);
        };
        whole.extend_from_slice(&bytes?);
        if whole.len() > ANSWER_BYTES {
            return Err(Error::new(Code::TooLarge, "the answer is too large"));
        }
    }
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
