//! Holds a flow of bytes to the rate of a link.

use std::io;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::{future, AsyncWrite, AsyncWriteExt};

/// Unused time that a link may make up for, so that timers that fire late do not slow it down.
const SLACK: Duration = Duration::from_millis(20);

/// A link that carries one byte after the other, in the order in which callers ask.
pub struct Pacer {
    bytes_per_s: f64,
    /// When the bytes promised so far will have passed.
    busy_until: Mutex<Instant>,
}

impl Pacer {
    /// A link of `bytes_per_s`.
    pub fn new(bytes_per_s: u64) -> Self {
        Self { bytes_per_s: bytes_per_s as f64, busy_until: Mutex::new(Instant::now()) }
    }

    /// Waits until `bytes` more have passed.
    pub async fn pass(&self, bytes: usize) {
        let done = self.reserve(bytes);
        if done > Instant::now() {
            Timer::at(done).await;
        }
    }

    fn reserve(&self, bytes: usize) -> Instant {
        let span = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        let mut busy_until = self.busy_until.lock().expect("the lock is never poisoned");
        let earliest = Instant::now().checked_sub(SLACK).unwrap_or_else(Instant::now);
        *busy_until = (*busy_until).max(earliest) + span;
        *busy_until
    }
}

/// Writes bytes in slices at the pace of a link. It ends with `TimedOut` once the other side has taken no whole
/// slice for `patience`: a connection that stopped working without a reset would otherwise keep its sender busy.
pub async fn write_paced(
    stream: &mut (impl AsyncWrite + Unpin),
    bytes: &[u8],
    pacer: &Pacer,
    slice: usize,
    patience: Duration,
) -> io::Result<()> {
    for slice in bytes.chunks(slice) {
        pacer.pass(slice.len()).await;
        let late = async {
            Timer::after(patience).await;
            Err(io::Error::new(io::ErrorKind::TimedOut, "the other side takes nothing"))
        };
        future::or(stream.write_all(slice), late).await?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
