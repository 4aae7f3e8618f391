//! HTTP calls over connections of their own.
//!
//! `async-h1` writes requests and parses heads. Heads and bodies are read here, because its reader neither bounds a head
//! nor leaves turns to other tasks, and reads a body without a length as empty.

mod body;
mod head;
mod input;

use std::net::SocketAddr;
use std::time::Duration;

use async_net::TcpStream;
use errors::{Code, Error, Result};
use futures_lite::future::FutureExt;
use futures_lite::io::{copy, AsyncWriteExt};
use http_types::{Request, Response};
use uptime::Instant;

pub use body::HttpBody;
use head::{framing, read_head};
use input::Input;

/// The time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The time by which a call must be complete.
#[derive(Clone, Copy, Debug)]
pub struct Deadline(Instant);

impl Deadline {
    /// A deadline `span` from now.
    pub fn after(span: Duration) -> Self {
        Self(Instant::now() + span)
    }

    /// Runs a future until the deadline; fails with `code` if it is not complete by then.
    pub async fn run<T>(
        self,
        code: Code,
        future: impl std::future::Future<Output = Result<T>>,
    ) -> Result<T> {
        let expired = async {
            uptime::sleep_until(self.0).await;
            Err(Error::new(code, "the call timed out"))
        };
        future.or(expired).await
    }
}

/// A response with its complete body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: u16,
    /// The value of the `ETag` header, if there is one.
    pub etag: Option<String>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// The head of an answer, and its body, which is not read yet.
#[derive(Debug)]
pub struct Answer {
    head: Response,
    /// The body.
    pub body: HttpBody,
}

impl Answer {
    /// The HTTP status.
    pub fn status(&self) -> u16 {
        self.head.status().into()
    }

    /// The last value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }
}

/// Sends a request on a new connection. Fails with `Unreachable` if no connection could be established, in which case
/// nothing was sent, with `ConnectionLost` if the connection failed before the head of the answer arrived, and with
/// `MalformedAnswer` if the bytes that arrived are no head.
pub async fn send(address: SocketAddr, request: Request, deadline: Deadline) -> Result<Answer> {
    let connect = async {
        let stream = TcpStream::connect(address).await;
        stream.map_err(|error| Error::new(Code::Unreachable, format!("{address}: {error}")))
    };
    let connect_deadline = Deadline::after(CONNECT_TIMEOUT);
    let stream = connect_deadline.run(Code::Unreachable, connect).await?;
    // Without this option small requests would wait for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    let exchange = async {
        let answer = exchange(stream, request).await;
        answer.map_err(|error| Error::new(error.code, format!("{address}: {}", error.detail)))
    };
    deadline.run(Code::TimedOut, exchange).await
}

async fn exchange(mut stream: TcpStream, request: Request) -> Result<Answer> {
    let method = request.method();
    let writing = async {
        copy(async_h1::client::Encoder::new(request), &mut stream).await?;
        stream.flush().await
    };
    writing.await.map_err(|error| Error::new(Code::ConnectionLost, error.to_string()))?;
    let mut input = Input::new(stream);
    let head = read_head(&mut input).await?;
    let framing = framing(method, &head)?;
    Ok(Answer { head, body: HttpBody::new(input, framing) })
}

/// Reads the complete body of an answer; fails with `TooLarge` beyond `max_bytes`.
pub async fn read_body(
    answer: Answer,
    max_bytes: usize,
    deadline: Deadline,
) -> Result<HttpResponse> {
    let status = answer.status();
    let etag = answer.header("etag").map(str::to_owned);
    let mut body = answer.body;
    let read = async {
        let mut content = Vec::new();
        loop {
            if body.known_bytes().saturating_add(content.len() as u64) > max_bytes as u64 {
                return Err(Error::new(Code::TooLarge, "the body is larger than the limit"));
            }
            let Some(part) = body.next().await? else {
                return Ok(content);
            };
            content.extend_from_slice(&part);
        }
    };
    let body = deadline.run(Code::TimedOut, read).await?;
    Ok(HttpResponse { status, etag, body })
}

#[cfg(test)]
mod tests;
