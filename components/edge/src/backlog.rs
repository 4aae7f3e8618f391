//! Accounting of the bytes that a process buffers for callers: request bodies and answers that are not read
//! yet.
//!
//! A decision without I/O: which connections are closed when the buffered bytes exceed their share of the
//! memory.

use std::collections::BTreeMap;

use fleet::Millis;

/// The buffered bytes may take 1/4 of the process's memory.
const MEMORY_SHARE: u64 = 4;
/// A single answer may take 1/64 of the bytes that the process may buffer.
const ANSWER_SHARE: usize = 64;
/// 1/4 of the limit of an answer is buffered ahead of its reader.
const BUFFER_SHARE: usize = 4;
/// The smallest buffer, in bytes: the head of a request has to fit.
const MIN_BUFFER: usize = 64 * 1024;

/// Limits of the buffered bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BacklogBounds {
    /// For the whole process.
    pub process: usize,
    /// For one answer.
    pub answer: usize,
    /// Ahead of the reader of an answer that is still being produced.
    pub buffer: usize,
}

impl BacklogBounds {
    /// The limits of a process with this much memory.
    pub fn of_memory(memory_mb: u64) -> Self {
        let process = ((memory_mb << 20) / MEMORY_SHARE) as usize;
        let answer = process / ANSWER_SHARE;
        Self { process, answer, buffer: (answer / BUFFER_SHARE).max(MIN_BUFFER) }
    }
}

/// Identifies a connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// The bytes that are buffered for one connection.
#[derive(Clone, Copy, Debug, Default)]
struct Kept {
    /// Bytes of the request's body.
    body: usize,
    /// Bytes of the answer that are not read yet.
    unread: usize,
    /// Bytes read since the answer last had unread bytes after none.
    read: u64,
    /// Since when there have been unread bytes.
    since: Millis,
}

impl Kept {
    fn age_ms(&self, now: Millis) -> u64 {
        now.since(self.since).0
    }

    /// How long the caller needs for the unread bytes at its rate so far. `credit` bytes count as read, so
    /// that a reader that has just started is not considered slow.
    fn left_ms(&self, now: Millis, credit: usize) -> u128 {
        let age_ms = u128::from(self.age_ms(now));
        self.unread as u128 * age_ms / (u128::from(self.read) + credit as u128).max(1)
    }
}

/// A connection that is closed to free memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// The connection.
    pub id: ConnectionId,
    /// Bytes that were buffered for it.
    pub bytes: usize,
    /// How long it has had unread bytes, in milliseconds.
    pub age_ms: u64,
}

/// There is no memory for the body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoMemory;

/// The buffered bytes by connection.
#[derive(Debug)]
pub struct Backlog {
    bounds: BacklogBounds,
    kept: BTreeMap<ConnectionId, Kept>,
    total: usize,
    next: u64,
}

impl Backlog {
    /// Creates the accounting without connections.
    pub fn new(bounds: BacklogBounds) -> Self {
        Self { bounds, kept: BTreeMap::new(), total: 0, next: 0 }
    }

    /// The limits in force.
    pub fn bounds(&self) -> BacklogBounds {
        self.bounds
    }

    /// The bytes that are buffered for all connections.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Adds a connection.
    pub fn open(&mut self) -> ConnectionId {
        self.next += 1;
        let id = ConnectionId(self.next);
        self.kept.insert(id, Kept::default());
        id
    }

    /// Removes a connection and the bytes that were buffered for it.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(kept) = self.kept.remove(&id) {
            self.total -= kept.body + kept.unread;
        }
    }

    /// Accounts for bytes of a request's body, unless there is no memory for them.
    pub fn keep_body(&mut self, id: ConnectionId, bytes: usize) -> Result<(), NoMemory> {
        if self.total + bytes > self.bounds.process {
            return Err(NoMemory);
        }
        if let Some(kept) = self.kept.get_mut(&id) {
            kept.body += bytes;
            self.total += bytes;
        }
        Ok(())
    }

    /// Releases the body of the connection's request.
    pub fn release_body(&mut self, id: ConnectionId) {
        if let Some(kept) = self.kept.get_mut(&id) {
            self.total -= std::mem::take(&mut kept.body);
        }
    }

    /// Accounts for bytes of an answer until they are read. Returns the connections that are closed to make
    /// room: first those that would need the longest time to read the rest.
    pub fn keep_answer(&mut self, now: Millis, id: ConnectionId, bytes: usize) -> Vec<Dropped> {
        if let Some(kept) = self.kept.get_mut(&id) {
            if kept.unread == 0 {
                (kept.since, kept.read) = (now, 0);
            }
            kept.unread += bytes;
            self.total += bytes;
        }
        let mut dropped = Vec::new();
        while self.total > self.bounds.process {
            let Some(slowest) = self.slowest(now) else {
                break;
            };
            dropped.push(slowest);
            self.close(slowest.id);
        }
        dropped
    }

    fn slowest(&self, now: Millis) -> Option<Dropped> {
        let unread = self.kept.iter().filter(|(_, kept)| kept.unread > 0);
        let (id, kept) = unread.max_by_key(|(_, kept)| kept.left_ms(now, self.bounds.buffer))?;
        let bytes = kept.body + kept.unread;
        Some(Dropped { id: *id, bytes, age_ms: kept.age_ms(now) })
    }

    /// Records that the caller read bytes of its answer.
    pub fn note_read(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(kept) = self.kept.get_mut(&id) {
            kept.read += bytes as u64;
            // Heads and framing are read too, but were not accounted for.
            let freed = bytes.min(kept.unread);
            kept.unread -= freed;
            self.total -= freed;
        }
    }

    /// The bytes that are buffered for a connection.
    pub fn of(&self, id: ConnectionId) -> usize {
        self.kept.get(&id).map_or(0, |kept| kept.body + kept.unread)
    }
}

#[cfg(test)]
mod tests;
