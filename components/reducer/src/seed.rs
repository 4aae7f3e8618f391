//! Random choices that differ between daemons and rounds, derived from seeds that are passed with the events.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// A pseudorandom generator. The same seed produces the same choices.
pub struct Seed(SmallRng);

impl Seed {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        Self(SmallRng::seed_from_u64(seed))
    }

    /// One of the items, or `None` if there are none.
    pub fn pick<'a, T>(&mut self, items: &'a [T]) -> Option<&'a T> {
        items.choose(&mut self.0)
    }

    /// Up to `count` distinct items.
    pub fn sample<'a, T>(&mut self, items: &'a [T], count: usize) -> Vec<&'a T> {
        items.choose_multiple(&mut self.0, count).collect()
    }

    /// A number below `bound`, or zero if `bound` is zero.
    pub fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            0
        } else {
            self.0.random_range(0..bound)
        }
    }
}

/// A hash of `parts` that is the same on every daemon.
pub fn shared_hash(parts: &[&[u8]]) -> u64 {
    shared_hashes(parts, 1)[0]
}

/// `count` hashes of `parts` that are the same on every daemon.
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
