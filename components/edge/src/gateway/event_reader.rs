//! Reads the events of a server-sent event stream.
//!
//! An event is a block of lines that an empty line ends. All of them end with LF, or all with CRLF, and are UTF-8; each
//! is a comment or one of the fields that runners send, with a colon. Exactly one field is the id, a decimal number
//! greater than that of the event before. A block without any field is no event and is dropped.

use std::ops::Range;

use bytes::{Bytes, BytesMut};
use platform::events;

use super::event_fault::EventFault;

/// The beginning of an HTTP response.
const STATUS_LINE_PREFIX: &[u8] = b"HTTP/";

/// Reads a stream, which may continue in the answer of another runner. It yields complete events and nothing else.
#[derive(Debug)]
pub struct EventReader {
    /// The most bytes from the end of one event to the end of the next.
    max_bytes: usize,
    /// The bytes of the incomplete block.
    block: BytesMut,
    /// How many bytes of the block are complete lines.
    checked: usize,
    /// How many bytes of the block were searched for the end of a line.
    searched: usize,
    /// What the complete lines of the block contain.
    fields: BlockFields,
    /// How many bytes were dropped since the last event.
    dropped: usize,
    /// The id that the next event has to exceed.
    last_id: Option<u64>,
    /// The number of complete events.
    events: u64,
    /// Whether one of them is in the current answer.
    has_events: bool,
}

/// The result of adding bytes to a reader.
#[derive(Debug, PartialEq, Eq)]
pub struct ReadEvents {
    /// The events that are now complete.
    pub events: Bytes,
    /// Why the bytes behind them are not an event. The rest of the answer is of no use then.
    pub fault: Option<EventFault>,
}

/// What the lines of a block contain.
#[derive(Debug, Default)]
struct BlockFields {
    has_fields: bool,
    id: Option<u64>,
    /// Whether its lines end with CRLF. `None` before the first one.
    has_crlf: Option<bool>,
}

impl EventReader {
    /// Creates a reader of events with ids above `after_id`, which accepts at most `max_bytes` bytes from the end of
    /// one event to the end of the next.
    pub fn new(max_bytes: usize, after_id: Option<u64>) -> Self {
        Self {
            max_bytes,
            block: BytesMut::new(),
            checked: 0,
            searched: 0,
            fields: BlockFields::default(),
            dropped: 0,
            last_id: after_id,
            events: 0,
            has_events: false,
        }
    }

    /// Adds bytes and returns the events that they complete. After a fault, `begin_answer` has to come first.
    pub fn push(&mut self, bytes: &[u8]) -> ReadEvents {
        self.block.extend_from_slice(bytes);
        let mut events = BytesMut::new();
        let fault = self.read_block_lines(&mut events).err();
        ReadEvents { events: events.freeze(), fault }
    }

    /// Begins an answer that continues the stream. What the one before started and did not finish is discarded.
    pub fn begin_answer(&mut self) {
        self.block.clear();
        self.dropped = 0;
        self.has_events = false;
        self.begin_block();
    }

    /// Whether an event of the current answer is complete.
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// Whether an event has started and not ended.
    pub fn has_partial(&self) -> bool {
        !self.block.is_empty()
    }

    /// The bytes of the event that has started.
    pub fn partial_bytes(&self) -> usize {
        self.block.len()
    }

    /// The number of complete events.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// The id of the last complete event, or the one after which the stream began.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    fn read_block_lines(&mut self, events: &mut BytesMut) -> Result<(), EventFault> {
        while let Some(line) = self.next_line() {
            self.check_size(self.checked)?;
            let (line, has_crlf) = without_line_end(&self.block[line]);
            self.fields.check_line_end(has_crlf)?;
            if line.is_empty() {
                self.end_block(events)?;
            } else {
                self.fields.add(line)?;
            }
        }
        self.check_size(self.block.len())
    }

    /// The next complete line of the block, with its end.
    fn next_line(&mut self) -> Option<Range<usize>> {
        let end = self.block[self.searched..].iter().position(|byte| *byte == b'\n');
        let Some(end) = end else {
            self.searched = self.block.len();
            return None;
        };
        let line = self.checked..self.searched + end + 1;
        (self.checked, self.searched) = (line.end, line.end);
        Some(line)
    }

    /// Checks that the block is not too large if it has `length` bytes.
    fn check_size(&self, length: usize) -> Result<(), EventFault> {
        if self.dropped + length > self.max_bytes {
            return Err(EventFault::TooLarge);
        }
        Ok(())
    }

    /// Ends a block at an empty line: passes an event on and drops anything else.
    fn end_block(&mut self, events: &mut BytesMut) -> Result<(), EventFault> {
        if !self.fields.has_fields {
            self.dropped += self.checked;
            drop(self.block.split_to(self.checked));
            self.begin_block();
            return Ok(());
        }
        let id = self.fields.id.ok_or(EventFault::NoId)?;
        if self.last_id.is_some_and(|last| id <= last) {
            return Err(EventFault::IdNotRising);
        }
        events.unsplit(self.block.split_to(self.checked));
        self.last_id = Some(id);
        self.events += 1;
        self.has_events = true;
        self.dropped = 0;
        self.begin_block();
        Ok(())
    }

    fn begin_block(&mut self) {
        (self.checked, self.searched) = (0, 0);
        self.fields = BlockFields::default();
    }
}

impl BlockFields {
    /// Checks that a line ends as those before it. Another answer that starts within an event may end its lines
    /// differently.
    fn check_line_end(&mut self, has_crlf: bool) -> Result<(), EventFault> {
        let first = *self.has_crlf.get_or_insert(has_crlf);
        (first == has_crlf).then_some(()).ok_or(EventFault::MixedLineEnds)
    }

    /// Adds a line that is not empty.
    fn add(&mut self, line: &[u8]) -> Result<(), EventFault> {
        let text = std::str::from_utf8(line).map_err(|_| EventFault::NotText)?;
        // Callers may take it for the end of a line.
        if text.contains('\r') {
            return Err(EventFault::NotAField);
        }
        if text.starts_with(':') {
            return Ok(());
        }
        let field = text.split_once(':').filter(|(name, _)| events::FIELDS.contains(name));
        let (name, value) = field.ok_or_else(|| not_a_field(line))?;
        self.has_fields = true;
        if name != "id" {
            return Ok(());
        }
        let id = parse_id(value).ok_or(EventFault::InvalidId)?;
        if self.id.replace(id).is_some() {
            return Err(EventFault::SeveralIds);
        }
        Ok(())
    }
}

fn not_a_field(line: &[u8]) -> EventFault {
    if line.starts_with(STATUS_LINE_PREFIX) {
        EventFault::StatusLine
    } else {
        EventFault::NotAField
    }
}

/// The line without its end, and whether that was CRLF.
fn without_line_end(line: &[u8]) -> (&[u8], bool) {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").map_or((line, false), |it| (it, true))
}

/// The id in the value of a field, which may begin with a space.
fn parse_id(value: &str) -> Option<u64> {
    let digits = value.strip_prefix(' ').unwrap_or(value);
    // A number may begin with a sign, an id may not.
    digits.parse().ok().filter(|_| digits.bytes().all(|byte| byte.is_ascii_digit()))
}

#[cfg(test)]
mod tests;
