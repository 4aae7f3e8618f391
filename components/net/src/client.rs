//! HTTP calls through the client half of `async-h1`.
//!
//! What `async-h1` 2.3 does is relied on here and tested: it reads a body of a stated length to
//! that length or to the end of the connection without telling which, so the length is counted; a
//! chunked body that is cut is an error; a body with neither is taken as empty.

use std::net::SocketAddr;
use std::time::Duration;

use async_net::TcpStream;
use errors::{Code, Error, Result};
use futures_lite::future::FutureExt;
use futures_lite::io::{AsyncBufRead, AsyncReadExt};
use http_types::{Request, Response};
use uptime::Instant;

/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How much of a body is read at once, in bytes.
const PART_BYTES: usize = 16 * 1024;

/// A moment by which a call must be over.
#[derive(Clone, Copy, Debug)]
pub struct Deadline(Instant);

impl Deadline {
    /// The moment `span` from now.
    pub fn after(span: Duration) -> Self {
        Self(Instant::now() + span)
    }

    /// Waits for a future until the moment has come, and then gives up with `code`.
    pub async fn limit<T>(
        self,
        code: Code,
        future: impl std::future::Future<Output = Result<T>>,
    ) -> Result<T> {
        let expired = async {
            uptime::sleep_until(self.0).await;
            Err(Error::new(code, "the time for the call ran out"))
        };
        future.or(expired).await
    }
}

/// An answer whose body has been read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The ETag, if there is one.
    pub tag: Option<String>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Sends a request on a fresh connection. `Unreachable` when no connection could be made, so
/// nothing was sent; `ConnectionLost` when the answer was lost.
pub async fn send(address: SocketAddr, request: Request, deadline: Deadline) -> Result<Response> {
    let connect = async {
        let stream = TcpStream::connect(address).await;
        stream.map_err(|error| Error::new(Code::Unreachable, format!("{address}: {error}")))
    };
    let soon = Deadline::after(CONNECT_TIMEOUT);
    let stream = soon.limit(Code::Unreachable, connect).await?;
    // Small requests would otherwise wait for acknowledgements of the ones before.
    let _ = stream.set_nodelay(true);
    let exchange = async {
        let response = async_h1::connect(stream, request).await;
        response.map_err(|error| Error::new(Code::ConnectionLost, format!("{address}: {error}")))
    };
    deadline.limit(Code::TimedOut, exchange).await
}

/// Reads the whole body of a response, up to `limit` bytes.
pub async fn read_body(response: Response, limit: usize, deadline: Deadline) -> Result<Answer> {
    let status = response.status().into();
    let tag = response.header("etag").map(|values| values.last().as_str().to_owned());
    let mut body = HttpBody::new(response);
    let read = async {
        let mut whole = Vec::new();
        while let Some(part) = body.next().await? {
            whole.extend_from_slice(&part);
            if whole.len() > limit {
                return Err(Error::new(Code::TooLarge, "the body is larger than the bound"));
            }
        }
        Ok(whole)
    };
    let body = deadline.limit(Code::TimedOut, read).await?;
    Ok(Answer { status, tag, body })
}

/// The body of a response, read part by part and checked for its length.
pub struct HttpBody {
    reader: Box<dyn AsyncBufRead + Unpin + Send + Sync>,
    missing: Option<usize>,
}

impl HttpBody {
    /// Takes the body out of a response.
    pub fn new(mut response: Response) -> Self {
        let missing = response.len();
        Self { reader: response.take_body().into_reader(), missing }
    }

    /// The next part, or `None` once the body is whole. A body that ends early is `CutShort`.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>> {
        let mut part = vec![0; PART_BYTES];
        let read = self.reader.read(&mut part).await;
        let read = read.map_err(|error| Error::new(Code::CutShort, error.to_string()))?;
        if let Some(missing) = &mut self.missing {
            *missing = missing.saturating_sub(read);
        }
        if read > 0 {
            part.truncate(read);
            return Ok(Some(part));
        }
        match self.missing {
            Some(missing) if missing > 0 => {
                Err(Error::new(Code::CutShort, format!("{missing} bytes of the body are missing")))
            }
            _ => Ok(None),
        }
    }
}

#[cfg(test)]
mod tests;
