//! A peer that accepts no bytes does not block its sender.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::{future, AsyncWrite, FutureExt};
use net::{write_paced, Pacer};

const SLICE_BYTES: usize = 1000;
const STALL_TIMEOUT: Duration = Duration::from_millis(200);

/// A peer that accepts up to `bytes_at_once` bytes and then pauses. With zero it never accepts any.
struct Peer {
    bytes_at_once: usize,
    pause: Duration,
    accepted: usize,
    timer: Option<async_io::Timer>,
}

impl Peer {
    fn new(bytes_at_once: usize, pause: Duration) -> Self {
        Self { bytes_at_once, pause, accepted: 0, timer: None }
    }
}

impl AsyncWrite for Peer {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.bytes_at_once == 0 {
            return Poll::Pending;
        }
        if let Some(timer) = &mut self.timer {
            if timer.poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
        let accepted = bytes.len().min(self.bytes_at_once);
        self.timer = Some(async_io::Timer::after(self.pause));
        self.accepted += accepted;
        Poll::Ready(Ok(accepted))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

fn send(peer: &mut Peer, bytes: usize) -> io::Result<()> {
    let pacer = Pacer::new(1_000_000);
    let bytes = vec![0; bytes];
    future::block_on(write_paced(peer, &bytes, &pacer, SLICE_BYTES, STALL_TIMEOUT))
}

#[test]
fn a_write_to_a_peer_that_accepts_nothing_times_out() {
    let started = Instant::now();
    let error = send(&mut Peer::new(0, Duration::ZERO), 5000).unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::TimedOut);
    assert!(started.elapsed() < 3 * STALL_TIMEOUT, "{:?}", started.elapsed());
}

#[test]
fn a_write_to_a_peer_that_stops_midway_times_out() {
    let mut peer = Peer::new(2500, Duration::from_secs(60));
    let error = send(&mut peer, 5000).unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::TimedOut);
    assert_eq!(peer.accepted, SLICE_BYTES);
}

/// The timeout applies to each slice: the whole transfer may take longer while the peer accepts bytes.
#[test]
fn a_slow_peer_receives_everything() {
    let started = Instant::now();
    let mut peer = Peer::new(SLICE_BYTES, Duration::from_millis(60));
    send(&mut peer, 12 * SLICE_BYTES).unwrap();
    assert_eq!(peer.accepted, 12 * SLICE_BYTES);
    assert!(started.elapsed() > 3 * STALL_TIMEOUT, "{:?}", started.elapsed());
}
