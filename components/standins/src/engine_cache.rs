//! The prefix cache of an engine stand-in, and the events it publishes late and with gaps.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::faults::Share;

/// The prompt text that makes one cached block, in bytes.
const BLOCK_BYTES: usize = 64;

/// A block that came into the cache or left it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The number of the event; a gap in the numbers is an event that was lost.
    pub number: u64,
    /// The digest of the prompt up to the end of the block, in hex.
    pub block: String,
    /// Whether it came or left.
    pub stored: bool,
}

/// The blocks held, oldest first, and the events so far.
pub(crate) struct PrefixCache {
    limit: usize,
    blocks: HashSet<blake3::Hash>,
    order: VecDeque<blake3::Hash>,
    next_event: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    /// The share of events that are never published.
    pub(crate) gaps: Share,
}

/// Events that are remembered.
const EVENTS: usize = 4096;

impl PrefixCache {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            blocks: HashSet::new(),
            order: VecDeque::new(),
            next_event: 0,
            events: VecDeque::new(),
            gaps: Share::default(),
        }
    }

    /// Adds a prompt; returns how many of its blocks had to be computed.
    pub(crate) fn add_prompt(&mut self, prompt: &str) -> u32 {
        let blocks = blocks_of(prompt);
        blocks.into_iter().map(|block| u32::from(self.add(block))).sum()
    }

    /// Adds a block; `false` if it was there.
    fn add(&mut self, block: blake3::Hash) -> bool {
        if !self.blocks.insert(block) {
            return false;
        }
        self.order.push_back(block);
        self.publish(block, true);
        if self.order.len() > self.limit {
            if let Some(oldest) = self.order.pop_front() {
                self.blocks.remove(&oldest);
                self.publish(oldest, false);
            }
        }
        true
    }

    fn publish(&mut self, block: blake3::Hash, stored: bool) {
        self.next_event += 1;
        if self.gaps.hit() {
            return;
        }
        let event =
            CacheEvent { number: self.next_event, block: block.to_hex().to_string(), stored };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }

    /// The events after a number that are old enough to be seen.
    pub(crate) fn events_after(&self, number: u64, lag: Duration) -> Vec<CacheEvent> {
        let visible = self.events.iter().filter(|(at, _)| at.elapsed() >= lag);
        visible.map(|(_, event)| event).filter(|it| it.number > number).cloned().collect()
    }

    /// The cached blocks of a prompt, as another engine can import them.
    pub(crate) fn export(&self, prompt: &str) -> Vec<String> {
        let held = blocks_of(prompt).into_iter().filter(|block| self.blocks.contains(block));
        held.map(|block| block.to_hex().to_string()).collect()
    }

    /// Takes in blocks that another engine exported; returns how many were new.
    pub(crate) fn import(&mut self, blocks: &[String]) -> usize {
        let read = blocks.iter().filter_map(|block| blake3::Hash::from_hex(block).ok());
        read.collect::<Vec<_>>().into_iter().filter(|block| self.add(*block)).count()
    }
}

/// The digests of a prompt up to the end of each block.
fn blocks_of(prompt: &str) -> Vec<blake3::Hash> {
    let mut hasher = blake3::Hasher::new();
    prompt.as_bytes().chunks(BLOCK_BYTES).map(|block| hasher.update(block).finalize()).collect()
}

#[cfg(test)]
mod tests;
