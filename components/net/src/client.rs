//! HTTP calls through the client of `async-h1`.
//!
//! This module relies on the following behaviour of `async-h1` 2.3, which the tests check. It reads a body with a
//! `content-length` up to that length or to the end of the connection and does not report which of them it reached, so
//! the length is counted here. A truncated chunked body is an error. A body with neither a length nor chunks is read as
//! empty.

use std::net::SocketAddr;
use std::time::Duration;

use async_net::TcpStream;
use errors::{Code, Error, Result};
use futures_lite::future::FutureExt;
use futures_lite::io::{AsyncBufRead, AsyncReadExt};
use http_types::{Request, Response};
use uptime::Instant;

/// The time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest part of a body that is read at once, in bytes.
const MAX_PART_BYTES: usize = 16 * 1024;

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

/// Sends a request on a new connection. Fails with `Unreachable` if no connection could be established, in which case
/// nothing was sent, and with `ConnectionLost` if the connection failed before the response arrived.
pub async fn send(address: SocketAddr, request: Request, deadline: Deadline) -> Result<Response> {
    let connect = async {
        let stream = TcpStream::connect(address).await;
        stream.map_err(|error| Error::new(Code::Unreachable, format!("{address}: {error}")))
    };
    let connect_deadline = Deadline::after(CONNECT_TIMEOUT);
    let stream = connect_deadline.run(Code::Unreachable, connect).await?;
    // Without this option small requests would wait for the acknowledgement of earlier ones.
    let _ = stream.set_nodelay(true);
    let exchange = async {
        let response = async_h1::connect(stream, request).await;
        response.map_err(|error| Error::new(Code::ConnectionLost, format!("{address}: {error}")))
    };
    deadline.run(Code::TimedOut, exchange).await
}

/// Reads the complete body of a response; fails with `TooLarge` beyond `max_bytes`.
pub async fn read_body(
    response: Response,
    max_bytes: usize,
    deadline: Deadline,
) -> Result<HttpResponse> {
    let status = response.status().into();
    let etag = response.header("etag").map(|values| values.last().as_str().to_owned());
    let mut body = HttpBody::new(response);
    let read = async {
        let mut content = Vec::new();
        while let Some(part) = body.next().await? {
            content.extend_from_slice(&part);
            if content.len() > max_bytes {
                return Err(Error::new(Code::TooLarge, "the body is larger than the limit"));
            }
        }
        Ok(content)
    };
    let body = deadline.run(Code::TimedOut, read).await?;
    Ok(HttpResponse { status, etag, body })
}

/// The body of a response, read in parts. Its length is compared with the `content-length` header.
pub struct HttpBody {
    reader: Box<dyn AsyncBufRead + Unpin + Send + Sync>,
    remaining: Option<usize>,
}

impl HttpBody {
    /// Takes the body out of a response.
    pub fn new(mut response: Response) -> Self {
        let remaining = response.len();
        Self { reader: response.take_body().into_reader(), remaining }
    }

    /// The next part, or `None` at the end of the body. Fails with `CutShort` if the body ends early.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>> {
        let mut part = vec![0; MAX_PART_BYTES];
        let read = self.reader.read(&mut part).await;
        let read = read.map_err(|error| Error::new(Code::CutShort, error.to_string()))?;
        if let Some(remaining) = &mut self.remaining {
            *remaining = remaining.saturating_sub(read);
        }
        if read > 0 {
            part.truncate(read);
            return Ok(Some(part));
        }
        match self.remaining {
            Some(remaining) if remaining > 0 => Err(Error::new(
                Code::CutShort,
                format!("{remaining} bytes of the body are missing"),
            )),
            _ => Ok(None),
        }
    }
}

#[cfg(test)]
mod tests;
