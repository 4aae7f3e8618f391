//! The head of an answer: its status, its headers and how its body is framed.

use errors::{Code, Error, Result};
use futures_lite::io::Cursor;
use http_types::headers::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_types::{Method, Response, StatusCode};

use super::input::Input;

/// The maximum size of a head, in bytes; `async-h1` parses no larger one.
const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;
/// The maximum number of interim answers before the final one.
const MAX_INTERIM_ANSWERS: usize = 8;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// The number of bytes is known.
    Length(u64),
    /// Chunks, up to one of size zero (RFC 9112, section 7.1).
    Chunked,
}

/// Reads the head of the final answer. Fails with `ConnectionLost` if the connection ends within the head and with
/// `MalformedAnswer` if the bytes are no head.
pub(super) async fn read_head(input: &mut Input) -> Result<Response> {
    for _ in 0..=MAX_INTERIM_ANSWERS {
        let head = read_head_bytes(input).await?;
        let response = async_h1::client::decode(Cursor::new(head)).await;
        let response = response.map_err(|error| malformed(error.to_string()))?;
        if !response.status().is_informational() {
            return Ok(response);
        }
    }
    Err(malformed("too many interim answers"))
}

/// Reads up to the empty line that ends a head.
async fn read_head_bytes(input: &mut Input) -> Result<Vec<u8>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") && !head.ends_with(b"\n\n") {
        let line = input.line(MAX_HEAD_BYTES - head.len())?;
        if let Some(line) = line {
            let length = line.len();
            head.extend_from_slice(line);
            input.consume(length);
        } else if !input.fill().await.map_err(|error| lost(error.to_string()))? {
            return Err(lost("the connection ended before the end of the head"));
        }
    }
    Ok(head)
}

/// How the body of an answer to a request with this method is framed. A body that ends with its connection is
/// malformed: its end can't be distinguished from a crash of the server.
pub(super) fn framing(method: Method, response: &Response) -> Result<Framing> {
    if method == Method::Head || has_no_body(response.status()) {
        return Ok(Framing::Length(0));
    }
    if let Some(encodings) = response.header(TRANSFER_ENCODING) {
        let mut encodings = encodings.iter();
        let encoding = encodings.next().filter(|_| encodings.next().is_none());
        let is_chunked = encoding.is_some_and(|it| it.as_str().eq_ignore_ascii_case("chunked"));
        return if is_chunked {
            Ok(Framing::Chunked)
        } else {
            Err(malformed("unknown transfer encoding"))
        };
    }
    let lengths = response.header(CONTENT_LENGTH);
    let lengths = lengths.ok_or_else(|| malformed("neither a length nor chunks"))?;
    let length = lengths.last().as_str();
    if lengths.iter().any(|it| it.as_str() != length) {
        return Err(malformed("contradictory lengths"));
    }
    let is_number = length.bytes().all(|byte| byte.is_ascii_digit());
    let length = length.parse().ok().filter(|_| is_number);
    length.map(Framing::Length).ok_or_else(|| malformed("the length is no number"))
}

fn has_no_body(status: StatusCode) -> bool {
    matches!(status, StatusCode::NoContent | StatusCode::NotModified)
}

fn malformed(detail: impl Into<String>) -> Error {
    Error::new(Code::MalformedAnswer, detail)
}

fn lost(detail: impl Into<String>) -> Error {
    Error::new(Code::ConnectionLost, detail)
}
