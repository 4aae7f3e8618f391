//! The prefix cache of an engine stand-in. Its events are published with a delay, and some of them are lost.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::faults::PercentSampler;

/// Size of the prompt text in one cached block, in bytes.
const BLOCK_BYTES: usize = 64;

/// The addition of a block to the cache, or its removal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number of the event. A gap in the numbers means that an event was lost.
    pub number: u64,
    /// The hexadecimal digest of the prompt up to the end of the block.
    pub block: String,
    /// `true` if the block was added, `false` if it was removed.
    pub stored: bool,
}

/// A prefix cache that evicts the oldest block first, and its recent events.
pub(crate) struct PrefixCache {
    max_blocks: usize,
    blocks: HashSet<blake3::Hash>,
    insertion_order: VecDeque<blake3::Hash>,
    last_event_number: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    /// Selects the events that are never published.
    pub(crate) event_loss: PercentSampler,
}

/// Maximum number of events that are kept.
const MAX_EVENTS: usize = 4096;

impl PrefixCache {
    pub(crate) fn new(max_blocks: usize) -> Self {
        Self {
            max_blocks,
            blocks: HashSet::new(),
            insertion_order: VecDeque::new(),
            last_event_number: 0,
            events: VecDeque::new(),
            event_loss: PercentSampler::default(),
        }
    }

    /// Adds the blocks of a prompt and returns how many of them were not cached.
    pub(crate) fn add_prompt(&mut self, prompt: &str) -> u32 {
        let blocks = block_digests(prompt);
        blocks.into_iter().map(|block| u32::from(self.add(block))).sum()
    }

    /// Adds a block. Returns `false` if it was cached already.
    fn add(&mut self, block: blake3::Hash) -> bool {
        if !self.blocks.insert(block) {
            return false;
        }
        self.insertion_order.push_back(block);
        self.publish(block, true);
        if self.insertion_order.len() > self.max_blocks {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.blocks.remove(&oldest);
                self.publish(oldest, false);
            }
        }
        true
    }

    fn publish(&mut self, block: blake3::Hash, stored: bool) {
        self.last_event_number += 1;
        if self.event_loss.pick() {
            return;
        }
        let event = CacheEvent {
            number: self.last_event_number,
            block: block.to_hex().to_string(),
            stored,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after a sequence number that are at least `min_age` old.
    pub(crate) fn events_after(&self, number: u64, min_age: Duration) -> Vec<CacheEvent> {
        let visible = self.events.iter().filter(|(at, _)| at.elapsed() >= min_age);
        visible.map(|(_, event)| event).filter(|it| it.number > number).cloned().collect()
    }

    /// Returns the cached blocks of a prompt in the form that `import` accepts.
    pub(crate) fn export(&self, prompt: &str) -> Vec<String> {
        let cached = block_digests(prompt).into_iter().filter(|block| self.blocks.contains(block));
        cached.map(|block| block.to_hex().to_string()).collect()
    }

    /// Adds blocks that another engine exported and returns how many were new.
    pub(crate) fn import(&mut self, blocks: &[String]) -> usize {
        let parsed = blocks.iter().filter_map(|block| blake3::Hash::from_hex(block).ok());
        parsed.collect::<Vec<_>>().into_iter().filter(|block| self.add(*block)).count()
    }
}

/// Returns the digest of the prompt up to the end of each of its blocks.
fn block_digests(prompt: &str) -> Vec<blake3::Hash> {
    let mut hasher = blake3::Hasher::new();
    prompt.as_bytes().chunks(BLOCK_BYTES).map(|block| hasher.update(block).finalize()).collect()
}

#[cfg(test)]
mod tests;
