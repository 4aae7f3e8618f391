//! A compact set of chunk numbers.

use serde::{Deserialize, Serialize};

/// Which chunks of a version a replica holds, one bit each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bitmap {
    /// The number of chunks that exist.
    len: u32,
    /// Bits, sixty-four to a word, lowest first.
    words: Vec<u64>,
}

impl Bitmap {
    /// An empty set over `len` chunks.
    pub fn new(len: u32) -> Self {
        Self { len, words: vec![0; (len as usize).div_ceil(64)] }
    }

    /// The full set over `len` chunks.
    pub fn full(len: u32) -> Self {
        let mut bitmap = Self::new(len);
        (0..len).for_each(|index| bitmap.insert(index));
        bitmap
    }

    /// How many chunks exist, held or not.
    pub fn capacity(&self) -> u32 {
        self.len
    }

    /// Whether the words fit the stated length; a peer may send anything.
    pub fn is_well_formed(&self, chunks: u32) -> bool {
        self.len == chunks && self.words.len() == (chunks as usize).div_ceil(64)
    }

    /// Adds a chunk; numbers past the end are ignored.
    pub fn insert(&mut self, index: u32) {
        if index < self.len {
            self.words[index as usize / 64] |= 1 << (index % 64);
        }
    }

    /// Takes a chunk out.
    pub fn remove(&mut self, index: u32) {
        if index < self.len {
            self.words[index as usize / 64] &= !(1 << (index % 64));
        }
    }

    /// Whether the chunk is held.
    pub fn contains(&self, index: u32) -> bool {
        index < self.len && self.words[index as usize / 64] & (1 << (index % 64)) != 0
    }

    /// How many chunks are held.
    pub fn count(&self) -> u32 {
        self.words.iter().map(|word| word.count_ones()).sum()
    }

    /// Whether every chunk is held.
    pub fn is_full(&self) -> bool {
        self.count() == self.len
    }

    /// The chunks that are not held, in order.
    pub fn missing(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.len).filter(|index| !self.contains(*index))
    }
}

#[cfg(test)]
mod tests;
