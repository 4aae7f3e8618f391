//! Accounting of the bytes that a process buffers for callers: request bodies, events that are not complete, and
//! answers that are not read yet.
//!
//! A decision without I/O: which connections are closed when the buffered bytes exceed their share of the
//! memory.

use std::collections::BTreeMap;

use fleet::Millis;

/// The buffered bytes may take 1/4 of the process's memory.
const MEMORY_DIVISOR: u64 = 4;
/// A single answer may take 1/64 of the bytes that the process may buffer.
const ANSWER_DIVISOR: usize = 64;
/// An event of a stream may take 1/8 of them.
const EVENT_DIVISOR: usize = 8;
/// 1/4 of the limit of an answer is buffered ahead of its reader.
const READ_AHEAD_DIVISOR: usize = 4;
/// The smallest buffer, in bytes: the head of a request has to fit.
const MIN_READ_AHEAD_BYTES: usize = 64 * 1024;

/// Limits of the buffered bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// For the whole process.
    pub process: usize,
    /// For one answer.
    pub answer: usize,
    /// For one event of a stream.
    pub event: usize,
    /// Ahead of the reader of an answer that is still being produced.
    pub read_ahead: usize,
}

impl BufferLimits {
    /// The limits of a process with this much memory.
    pub fn from_memory_mb(memory_mb: u64) -> Self {
        let process = ((memory_mb << 20) / MEMORY_DIVISOR) as usize;
        let answer = process / ANSWER_DIVISOR;
        Self {
            process,
            answer,
            event: process / EVENT_DIVISOR,
            read_ahead: (answer / READ_AHEAD_DIVISOR).max(MIN_READ_AHEAD_BYTES),
        }
    }
}

/// Identifies a connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// The bytes that are buffered for one connection.
#[derive(Clone, Copy, Debug, Default)]
struct BufferedBytes {
    /// Bytes of the request's body.
    body: usize,
    /// Bytes of an event that is not complete.
    event: usize,
    /// Bytes of the answer that are not read yet.
    unread: usize,
    /// Bytes read since the answer last had unread bytes after none.
    read: u64,
    /// Since when there have been unread bytes.
    unread_since: Millis,
}

impl BufferedBytes {
    fn total(&self) -> usize {
        self.body + self.event + self.unread
    }

    fn age_ms(&self, now: Millis) -> u64 {
        now.since(self.unread_since).0
    }

    /// How long the caller needs for the unread bytes at its rate so far. `credit` bytes count as read, so
    /// that a reader that has just started is not considered slow.
    fn remaining_ms(&self, now: Millis, credit: usize) -> u128 {
        let age_ms = u128::from(self.age_ms(now));
        self.unread as u128 * age_ms / (u128::from(self.read) + credit as u128).max(1)
    }
}

/// A connection that is closed to free memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowConnection {
    /// The connection.
    pub id: ConnectionId,
    /// Bytes that were buffered for it.
    pub bytes: usize,
    /// How long it has had unread bytes, in milliseconds.
    pub age_ms: u64,
}

/// There is no memory for the body of a request, or for an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoMemory;

/// The buffered bytes by connection.
#[derive(Debug)]
pub struct CallerBuffers {
    limits: BufferLimits,
    connections: BTreeMap<ConnectionId, BufferedBytes>,
    total: usize,
    last_id: u64,
}

impl CallerBuffers {
    /// Creates the accounting without connections.
    pub fn new(limits: BufferLimits) -> Self {
        Self { limits, connections: BTreeMap::new(), total: 0, last_id: 0 }
    }

    /// The limits in force.
    pub fn limits(&self) -> BufferLimits {
        self.limits
    }

    /// The bytes that are buffered for all connections.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Adds a connection.
    pub fn open(&mut self) -> ConnectionId {
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.connections.insert(id, BufferedBytes::default());
        id
    }

    /// Removes a connection and the bytes that were buffered for it.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(buffered) = self.connections.remove(&id) {
            self.total -= buffered.total();
        }
    }

    /// Accounts for bytes of a request's body, unless there is no memory for them.
    pub fn reserve_body(&mut self, id: ConnectionId, bytes: usize) -> Result<(), NoMemory> {
        if self.total + bytes > self.limits.process {
            return Err(NoMemory);
        }
        if let Some(buffered) = self.connections.get_mut(&id) {
            buffered.body += bytes;
            self.total += bytes;
        }
        Ok(())
    }

    /// Releases the body of the connection's request.
    pub fn release_body(&mut self, id: ConnectionId) {
        if let Some(buffered) = self.connections.get_mut(&id) {
            self.total -= std::mem::take(&mut buffered.body);
        }
    }

    /// Accounts for the bytes of an event that is not complete, in place of those before, unless there is no memory for
    /// them.
    pub fn reserve_event(&mut self, id: ConnectionId, bytes: usize) -> Result<(), NoMemory> {
        let Some(buffered) = self.connections.get_mut(&id) else {
            return Ok(());
        };
        self.total -= std::mem::take(&mut buffered.event);
        if self.total + bytes > self.limits.process {
            return Err(NoMemory);
        }
        buffered.event = bytes;
        self.total += bytes;
        Ok(())
    }

    /// Accounts for bytes of an answer until they are read. Returns the connections that are closed to make
    /// room: first those that would need the longest time to read the rest.
    pub fn reserve_answer(
        &mut self,
        now: Millis,
        id: ConnectionId,
        bytes: usize,
    ) -> Vec<SlowConnection> {
        if let Some(buffered) = self.connections.get_mut(&id) {
            if buffered.unread == 0 {
                (buffered.unread_since, buffered.read) = (now, 0);
            }
            buffered.unread += bytes;
            self.total += bytes;
        }
        let mut to_close = Vec::new();
        while self.total > self.limits.process {
            let Some(slowest) = self.slowest(now) else {
                break;
            };
            to_close.push(slowest);
            self.close(slowest.id);
        }
        to_close
    }

    fn slowest(&self, now: Millis) -> Option<SlowConnection> {
        let unread = self.connections.iter().filter(|(_, buffered)| buffered.unread > 0);
        let (id, buffered) = unread
            .max_by_key(|(_, buffered)| buffered.remaining_ms(now, self.limits.read_ahead))?;
        let bytes = buffered.total();
        Some(SlowConnection { id: *id, bytes, age_ms: buffered.age_ms(now) })
    }

    /// Records that the caller read bytes of its answer.
    pub fn record_read(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(buffered) = self.connections.get_mut(&id) {
            buffered.read += bytes as u64;
            // Heads and framing are read too, but were not accounted for.
            let released = bytes.min(buffered.unread);
            buffered.unread -= released;
            self.total -= released;
        }
    }

    /// The bytes that are buffered for a connection.
    pub fn bytes_of(&self, id: ConnectionId) -> usize {
        self.connections.get(&id).map_or(0, BufferedBytes::total)
    }
}

#[cfg(test)]
mod tests;
