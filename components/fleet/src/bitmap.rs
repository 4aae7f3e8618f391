//! A compact set of chunk indexes.

use serde::{Deserialize, Serialize};

/// The chunks of a version that a replica holds, one bit each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bitmap {
    /// The number of chunks in the version.
    len: u32,
    /// The bits, 64 per word, lowest index first.
    words: Vec<u64>,
}

impl Bitmap {
    /// Creates an empty set for `len` chunks.
    pub fn new(len: u32) -> Self {
        Self { len, words: vec![0; (len as usize).div_ceil(64)] }
    }

    /// Creates a set that contains all `len` chunks.
    pub fn full(len: u32) -> Self {
        let mut bitmap = Self::new(len);
        (0..len).for_each(|index| bitmap.insert(index));
        bitmap
    }

    /// The number of chunks in the version, held or not.
    pub fn capacity(&self) -> u32 {
        self.len
    }

    /// Returns whether the length and the number of words match a version of `chunks` chunks. Bitmaps
    /// received from a peer are not trusted.
    pub fn is_well_formed(&self, chunks: u32) -> bool {
        self.len == chunks && self.words.len() == (chunks as usize).div_ceil(64)
    }

    /// Adds a chunk. An index past the end is ignored.
    pub fn insert(&mut self, index: u32) {
        if index < self.len {
            self.words[index as usize / 64] |= 1 << (index % 64);
        }
    }

    /// Removes a chunk. An index past the end is ignored.
    pub fn remove(&mut self, index: u32) {
        if index < self.len {
            self.words[index as usize / 64] &= !(1 << (index % 64));
        }
    }

    /// Returns whether the chunk is held.
    pub fn contains(&self, index: u32) -> bool {
        index < self.len && self.words[index as usize / 64] & (1 << (index % 64)) != 0
    }

    /// The number of chunks held.
    pub fn count(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }

    /// Returns whether every chunk is held.
    pub fn is_full(&self) -> bool {
        self.count() == self.len
    }

    /// The chunks that are not held, in ascending order.
    pub fn missing(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.len).filter(|index| !self.contains(*index))
    }
}

#[cfg(test)]
mod tests;
