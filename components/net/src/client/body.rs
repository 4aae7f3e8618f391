//! The body of an answer, read in parts.

use errors::{Code, Error, Result};

use super::head::Framing;
use super::input::Input;

/// The largest part of a body that is returned at once, in bytes.
const MAX_PART_BYTES: usize = 16 * 1024;
/// The maximum size of the line that starts a chunk, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 128;
/// The maximum size of the trailers, in bytes.
const MAX_TRAILER_BYTES: usize = 8 * 1024;
/// The number of bytes of chunk framing that any body may have.
const FRAMING_ALLOWANCE_BYTES: u64 = 16 * 1024;
/// The number of bytes of chunk framing that each byte of content permits.
const MAX_FRAMING_PER_BYTE: u64 = 8;
/// The end of a line.
const CRLF: &[u8] = b"\r\n";

/// What is expected next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Content of a body with a length, in bytes.
    Content(u64),
    /// The line with the size of a chunk.
    ChunkSize,
    /// Content of a chunk, in bytes.
    Chunk(u64),
    /// The end of the line after a chunk.
    ChunkEnd,
    /// Trailers, which may have this many more bytes.
    Trailers(usize),
    /// Nothing.
    End,
}

/// The body of an answer. Its end is checked against its framing.
#[derive(Debug)]
pub struct HttpBody {
    input: Input,
    state: State,
    content_bytes: u64,
    framing_bytes: u64,
}

impl HttpBody {
    pub(super) fn new(input: Input, framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(length) => State::Content(length),
            Framing::Chunked => State::ChunkSize,
        };
        Self { input, state, content_bytes: 0, framing_bytes: 0 }
    }

    /// The number of bytes that are known to follow.
    pub(super) fn known_bytes(&self) -> u64 {
        match self.state {
            State::Content(bytes) | State::Chunk(bytes) => bytes,
            _ => 0,
        }
    }

    /// The next part, or `None` at the end of the body. Fails with `CutShort` if the body ends early and with
    /// `MalformedAnswer` if its framing is invalid. Bytes after the end are left unread.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>> {
        loop {
            let mut part = Vec::new();
            let decoded = self.decode(&mut part);
            if !part.is_empty() {
                // An error behind the part is found again by the next call.
                return Ok(Some(part));
            }
            if decoded? {
                return Ok(None);
            }
            let filled = self.input.fill().await;
            if !filled.map_err(|error| Error::new(Code::CutShort, error.to_string()))? {
                return Err(Error::new(Code::CutShort, "the body ends early"));
            }
        }
    }

    /// Appends buffered content to `part`. Returns whether the body is complete.
    fn decode(&mut self, part: &mut Vec<u8>) -> Result<bool> {
        while part.len() < MAX_PART_BYTES {
            let before = (self.state, self.input.bytes().len());
            match self.state {
                State::Content(0) | State::End => return Ok(true),
                State::Content(left) => self.state = State::Content(self.take(left, part)),
                State::ChunkSize => self.read_chunk_size()?,
                State::Chunk(0) => self.state = State::ChunkEnd,
                State::Chunk(left) => self.state = State::Chunk(self.take(left, part)),
                State::ChunkEnd => self.read_chunk_end()?,
                State::Trailers(max_bytes) => self.read_trailer(max_bytes)?,
            }
            if before == (self.state, self.input.bytes().len()) {
                return Ok(false);
            }
        }
        Ok(false)
    }

    /// Moves up to `left` bytes of content into `part`. Returns how many are left.
    fn take(&mut self, left: u64, part: &mut Vec<u8>) -> u64 {
        let bytes = self.input.bytes();
        let room = MAX_PART_BYTES - part.len();
        let count = bytes.len().min(room).min(usize::try_from(left).unwrap_or(usize::MAX));
        part.extend_from_slice(&bytes[..count]);
        self.input.consume(count);
        self.content_bytes += count as u64;
        left - count as u64
    }

    fn read_chunk_size(&mut self) -> Result<()> {
        let Some(line) = self.input.line(MAX_CHUNK_LINE_BYTES)? else {
            return Ok(());
        };
        let (size, length) = (parse_chunk_size(line)?, line.len());
        self.count_framing(length)?;
        self.input.consume(length);
        self.state = match size {
            0 => State::Trailers(MAX_TRAILER_BYTES),
            size => State::Chunk(size),
        };
        Ok(())
    }

    fn read_chunk_end(&mut self) -> Result<()> {
        let bytes = self.input.bytes();
        let arrived = &bytes[..bytes.len().min(CRLF.len())];
        if !CRLF.starts_with(arrived) {
            return Err(malformed("a chunk is longer than its size"));
        }
        if arrived.len() == CRLF.len() {
            self.input.consume(CRLF.len());
            self.state = State::ChunkSize;
        }
        Ok(())
    }

    fn read_trailer(&mut self, max_bytes: usize) -> Result<()> {
        let Some(line) = self.input.line(max_bytes)? else {
            return Ok(());
        };
        let content = line.strip_suffix(CRLF).ok_or_else(|| malformed("invalid trailer"))?;
        if !content.is_empty() && !content.contains(&b':') {
            return Err(malformed("invalid trailer"));
        }
        let (length, is_last) = (line.len(), content.is_empty());
        self.input.consume(length);
        self.state = if is_last { State::End } else { State::Trailers(max_bytes - length) };
        Ok(())
    }

    /// Counts bytes that are not content, such as the sizes of very small chunks.
    fn count_framing(&mut self, bytes: usize) -> Result<()> {
        let framing_bytes = self.framing_bytes + bytes as u64;
        let allowed =
            self.content_bytes.saturating_mul(MAX_FRAMING_PER_BYTE) + FRAMING_ALLOWANCE_BYTES;
        if framing_bytes > allowed {
            return Err(malformed("the chunks have too little content"));
        }
        self.framing_bytes = framing_bytes;
        Ok(())
    }
}

/// Parses the line that starts a chunk. Extensions are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<u64> {
    let invalid = || malformed("invalid chunk size");
    let line = line.strip_suffix(CRLF).ok_or_else(invalid)?;
    let size = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii_end();
    if size.is_empty() || !size.iter().all(u8::is_ascii_hexdigit) {
        return Err(invalid());
    }
    let digits = std::str::from_utf8(size).map_err(|_| invalid())?;
    u64::from_str_radix(digits, 16).map_err(|_| invalid())
}

fn malformed(detail: &str) -> Error {
    Error::new(Code::MalformedAnswer, detail)
}
