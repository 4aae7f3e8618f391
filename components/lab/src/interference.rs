//! Faults of an instance's link.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use node::Interference;
use rand::Rng;

/// Stalls and damages chunks with stated probabilities.
#[derive(Default)]
pub struct LinkFaults {
    corrupt_percent: AtomicU64,
    stall_percent: AtomicU64,
    stall_ms: AtomicU64,
    corrupted: AtomicU64,
}

impl LinkFaults {
    /// Damages this share of the chunks.
    pub fn set_corrupt_percent(&self, percent: u64) {
        self.corrupt_percent.store(percent, Ordering::Relaxed);
    }

    /// Holds this share of the chunks back for a time.
    pub fn set_stall(&self, percent: u64, time: Duration) {
        self.stall_percent.store(percent, Ordering::Relaxed);
        self.stall_ms
            .store(time.as_millis() as u64, Ordering::Relaxed);
    }

    /// How many chunks were damaged.
    pub fn corrupted(&self) -> u64 {
        self.corrupted.load(Ordering::Relaxed)
    }
}

impl Interference for LinkFaults {
    fn on_upload(&self, chunk: &mut Vec<u8>) -> Duration {
        let mut random = rand::rng();
        if random.random_range(0..100) < self.corrupt_percent.load(Ordering::Relaxed) {
            let at = random.random_range(0..chunk.len());
            chunk[at] ^= 1;
            self.corrupted.fetch_add(1, Ordering::Relaxed);
        }
        if random.random_range(0..100) < self.stall_percent.load(Ordering::Relaxed) {
            return Duration::from_millis(self.stall_ms.load(Ordering::Relaxed));
        }
        Duration::ZERO
    }
}
