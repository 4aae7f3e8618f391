//! Calls to one server over a kept connection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use errors::{Code, Error, Result};
use http::header::{CONTENT_TYPE, HOST};
use http::Request;
use http_body_util::Full;
use platform::Call;

use crate::exchange::{within, Exchange};

/// The largest answer to a call, in bytes.
const ANSWER_BYTES: usize = 8 << 20;

/// The answer to a call.
pub struct CallAnswer {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl CallAnswer {
    /// The body of an answer with status 200.
    pub fn success(self) -> Result<Vec<u8>> {
        match self.status {
            200 => Ok(self.body),
            429 => Err(Error::new(Code::PlatformBusy, "status 429")),
            status => Err(Error::new(Code::PlatformUnavailable, format!("status {status}"))),
        }
    }
}

/// How long a resting connection is kept.
const KEPT_FOR: Duration = Duration::from_millis(1000);

/// A server that is called one call after the other. A connection on which a call failed is closed.
pub struct Link {
    address: SocketAddr,
    exchange: Option<(Exchange, Instant)>,
}

impl Link {
    /// A link to a server, not yet connected.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, exchange: None }
    }

    /// Closes a connection that has rested for so long: servers bound how many they keep.
    pub fn close_if_rested(&mut self, rest: Duration) {
        self.exchange.take_if(|(_, since)| since.elapsed() >= rest);
    }

    /// Whether a connection is kept.
    pub fn is_connected(&self) -> bool {
        self.exchange.is_some()
    }

    /// Where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes a call within a time.
    pub async fn call(&mut self, call: Call, timeout: Duration) -> Result<CallAnswer> {
        let until = Instant::now() + timeout;
        // Taken out: a call that is given up on must not leave its connection behind.
        let kept = self.exchange.take().filter(is_fresh).map(|(exchange, _)| exchange);
        let (exchange, answer) = within(until, exchange(self.address, kept, call, timeout))
            .await
            .ok_or_else(|| Error::new(Code::TimedOut, "no answer in time"))??;
        self.exchange = Some((exchange, Instant::now()));
        Ok(answer)
    }
}

/// Whether a kept connection can be used again. Servers close those that rest, and nobody polls them
/// meanwhile.
fn is_fresh((exchange, since): &(Exchange, Instant)) -> bool {
    exchange.is_open() && since.elapsed() < KEPT_FOR
}

async fn exchange(
    address: SocketAddr,
    kept: Option<Exchange>,
    call: Call,
    timeout: Duration,
) -> Result<(Exchange, CallAnswer)> {
    let mut exchange = match kept {
        Some(exchange) => exchange,
        None => Exchange::open(address, timeout).await?,
    };
    let answer = exchange.send(request(address, call)?).await?;
    let status = answer.status().as_u16();
    let body = exchange.collect(&mut answer.into_body(), ANSWER_BYTES).await?;
    Ok((exchange, CallAnswer { status, body }))
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
