//! Choices that differ between daemons and rounds, drawn from seeds that come with the events.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// A source of choices. The same seed gives the same choices.
pub struct Seed(SmallRng);

impl Seed {
    /// Starts from a number.
    pub fn new(seed: u64) -> Self {
        Self(SmallRng::seed_from_u64(seed))
    }

    /// One of the items, or none if there are none.
    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> Option<&'a T> {
        items.choose(&mut self.0)
    }

    /// Up to `count` different items.
    pub fn sample<'a, T>(&mut self, items: &'a [T], count: usize) -> Vec<&'a T> {
        items.choose_multiple(&mut self.0, count).collect()
    }

    /// A number below `bound`, zero if `bound` is zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            0
        } else {
            self.0.random_range(0..bound)
        }
    }
}

/// A number that every daemon derives alike from the same parts.
pub fn shared_hash(parts: &[&[u8]]) -> u64 {
    shared_hashes(parts, 1)[0]
}

/// As many numbers as wanted, each of which every daemon derives alike from the same parts.
pub fn shared_hashes(parts: &[&[u8]], count: usize) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut bytes = vec![0; count * 8];
    hasher.finalize_xof().fill(&mut bytes);
    let (numbers, _) = bytes.as_chunks::<8>();
    numbers.iter().map(|it| u64::from_le_bytes(*it)).collect()
}
