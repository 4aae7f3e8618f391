//! Limits the rate at which bytes are transferred.

use std::io;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::{future, AsyncWrite, AsyncWriteExt};

/// The unused link time that later transfers may use. It compensates for timers that fire late, which would otherwise
/// lower the rate.
const MAX_CATCH_UP: Duration = Duration::from_millis(20);

/// A link with a fixed rate. Transfers are serialised in the order in which callers reserve them.
pub struct Pacer {
    bytes_per_s: f64,
    /// When the bytes that are reserved so far will have been transferred.
    busy_until: Mutex<Instant>,
}

impl Pacer {
    /// Creates a link with a rate of `bytes_per_s`.
    pub fn new(bytes_per_s: u64) -> Self {
        Self { bytes_per_s: bytes_per_s as f64, busy_until: Mutex::new(Instant::now()) }
    }

    /// Reserves `bytes` on the link and waits until they would have been transferred.
    pub async fn wait_for_bandwidth(&self, bytes: usize) {
        let done = self.reserve(bytes);
        if done > Instant::now() {
            Timer::at(done).await;
        }
    }

    fn reserve(&self, bytes: usize) -> Instant {
        let span = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        let mut busy_until = self.busy_until.lock().expect("the lock is never poisoned");
        let earliest = Instant::now().checked_sub(MAX_CATCH_UP).unwrap_or_else(Instant::now);
        *busy_until = (*busy_until).max(earliest) + span;
        *busy_until
    }
}

/// Writes bytes in slices of `slice_bytes` at the rate of a link. Fails with `TimedOut` if the peer does not accept a
/// whole slice within `stall_timeout`: a connection that stopped working without a reset would otherwise block its
/// sender.
pub async fn write_paced(
    stream: &mut (impl AsyncWrite + Unpin),
    bytes: &[u8],
    pacer: &Pacer,
    slice_bytes: usize,
    stall_timeout: Duration,
) -> io::Result<()> {
    for slice in bytes.chunks(slice_bytes) {
        pacer.wait_for_bandwidth(slice.len()).await;
        let timeout = async {
            Timer::after(stall_timeout).await;
            Err(io::Error::new(io::ErrorKind::TimedOut, "the peer accepts no data"))
        };
        future::or(stream.write_all(slice), timeout).await?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
