//! Splits a server-sent event stream at the ends of events.

use bytes::{Bytes, BytesMut};

/// The length of the longest end of an event: two line ends of two bytes each.
const MAX_END_BYTES: usize = 4;

/// Buffers an incomplete event, so that another run can resume after the last complete one.
#[derive(Debug)]
pub struct EventSplitter {
    /// The most bytes of one event that are buffered.
    max_bytes: usize,
    partial: BytesMut,
    has_events: bool,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Creates a splitter that buffers at most `max_bytes` bytes of one event.
    pub fn new(max_bytes: usize) -> Self {
        Self { max_bytes, partial: BytesMut::new(), has_events: false, last_id: None }
    }

    /// Adds bytes and returns those that end with a complete event.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = end_of_events(&self.partial[from..]).map(|it| it + from) else {
            if self.partial.len() > self.max_bytes {
                // The rest may be the beginning of the event's end.
                let flushed = self.partial.len().saturating_sub(MAX_END_BYTES - 1);
                return self.partial.split_to(flushed).freeze();
            }
            return Bytes::new();
        };
        let complete = self.partial.split_to(end).freeze();
        self.has_events = true;
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        complete
    }

    /// Whether an event has started and not ended.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Whether an event has been complete.
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// Discards an event that a runner started and did not finish.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// The offset after the last empty line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).rposition(|it| it == b"\n\n").map(|at| at + 2);
    let windows = bytes.windows(4).rposition(|it| it == b"\r\n\r\n").map(|at| at + 4);
    unix.max(windows)
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    let text = std::str::from_utf8(value).ok()?;
    Some(text.trim().to_owned())
}

#[cfg(test)]
mod tests;
