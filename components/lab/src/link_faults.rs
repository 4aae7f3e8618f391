//! Faults of an instance's link.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use node::Interference;
use standins::Share;

/// Stalls and damages stated shares of the chunks.
#[derive(Default)]
pub struct LinkFaults {
    corruption: Share,
    stalls: Share,
    stall_ms: AtomicU64,
}

impl LinkFaults {
    /// Damages this share of the chunks.
    pub fn set_corrupt_percent(&self, percent: u64) {
        self.corruption.set_percent(percent);
    }

    /// Holds this share of the chunks back for a time.
    pub fn set_stall(&self, percent: u64, time: Duration) {
        self.stalls.set_percent(percent);
        self.stall_ms.store(time.as_millis() as u64, Ordering::Relaxed);
    }

    /// How many chunks were damaged.
    pub fn corrupted(&self) -> u64 {
        self.corruption.hits()
    }
}

impl Interference for LinkFaults {
    fn on_upload(&self, chunk: &mut Vec<u8>) -> Duration {
        if self.corruption.hit() {
            let middle = chunk.len() / 2;
            chunk[middle] ^= 1;
        }
        if self.stalls.hit() {
            return Duration::from_millis(self.stall_ms.load(Ordering::Relaxed));
        }
        Duration::ZERO
    }
}
