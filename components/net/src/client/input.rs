//! The buffered bytes of a connection on which an answer arrives.

use std::io;

use async_net::TcpStream;
use errors::{Code, Error, Result};
use futures_lite::future::yield_now;
use futures_lite::io::AsyncReadExt;

/// The largest number of bytes that one read takes.
const READ_BYTES: usize = 16 * 1024;
/// How many bytes are read before other tasks get a turn.
const YIELD_BYTES: usize = 64 * 1024;

/// The bytes of an answer that have arrived and are not consumed yet.
#[derive(Debug)]
pub(super) struct Input {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// The number of bytes at the start of the buffer that are consumed.
    consumed: usize,
    /// The number of bytes that were read since other tasks had a turn.
    since_yield: usize,
}

impl Input {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new(), consumed: 0, since_yield: 0 }
    }

    /// The buffered bytes.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    /// Removes bytes from the start of the buffer.
    pub(super) fn consume(&mut self, count: usize) {
        self.consumed += count;
    }

    /// The first buffered line with its line feed; `None` if its end has not arrived. Fails with `MalformedAnswer` if
    /// it is longer than `max_bytes`.
    pub(super) fn line(&self, max_bytes: usize) -> Result<Option<&[u8]>> {
        let bytes = self.bytes();
        let end = bytes.iter().take(max_bytes).position(|byte| *byte == b'\n');
        match end {
            Some(end) => Ok(Some(&bytes[..=end])),
            None if bytes.len() >= max_bytes => {
                Err(Error::new(Code::MalformedAnswer, "a line of the answer is too long"))
            }
            None => Ok(None),
        }
    }

    /// Reads more bytes; `false` at the end of the connection.
    pub(super) async fn fill(&mut self) -> io::Result<bool> {
        if self.since_yield >= YIELD_BYTES {
            // A socket with a fast sender is always ready, so reading it would never wait.
            yield_now().await;
            self.since_yield = 0;
        }
        self.buffer.drain(..std::mem::take(&mut self.consumed));
        let kept = self.buffer.len();
        self.buffer.resize(kept + READ_BYTES, 0);
        let read = self.stream.read(&mut self.buffer[kept..]).await;
        self.buffer.truncate(kept + *read.as_ref().unwrap_or(&0));
        self.since_yield += *read.as_ref().unwrap_or(&0);
        read.map(|read| read > 0)
    }
}
