//! Fault injection for an instance's link.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use node::FaultInjection;
use standins::PercentSampler;

/// Corrupts and delays configurable percentages of the chunks that an agent sends.
#[derive(Default)]
pub struct LinkFaults {
    corruption: PercentSampler,
    stalls: PercentSampler,
    stall_ms: AtomicU64,
}

impl LinkFaults {
    /// Corrupts this percentage of the chunks.
    pub fn set_corrupt_percent(&self, percent: u64) {
        self.corruption.set_percent(percent);
    }

    /// Delays this percentage of the chunks.
    pub fn set_chunk_delay(&self, percent: u64, delay: Duration) {
        self.stalls.set_percent(percent);
        self.stall_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns the number of corrupted chunks.
    pub fn corrupted_chunks(&self) -> u64 {
        self.corruption.picked()
    }
}

impl FaultInjection for LinkFaults {
    fn on_upload(&self, chunk: &mut Vec<u8>) -> Duration {
        if self.corruption.pick() {
            let middle = chunk.len() / 2;
            chunk[middle] ^= 1;
        }
        if self.stalls.pick() {
            return Duration::from_millis(self.stall_ms.load(Ordering::Relaxed));
        }
        Duration::ZERO
    }
}
