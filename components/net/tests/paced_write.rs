//! A peer that takes no bytes does not hold up whoever sends to it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::{future, AsyncWrite, FutureExt};
use net::{write_paced, Pacer};

const SLICE: usize = 1000;
const PATIENCE: Duration = Duration::from_millis(200);

/// Takes so many bytes at once and then pauses; with none, it never takes any.
struct Peer {
    bytes_at_once: usize,
    pause: Duration,
    taken: usize,
    timer: Option<async_io::Timer>,
}

impl Peer {
    fn new(bytes_at_once: usize, pause: Duration) -> Self {
        Self { bytes_at_once, pause, taken: 0, timer: None }
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
        let taken = bytes.len().min(self.bytes_at_once);
        self.timer = Some(async_io::Timer::after(self.pause));
        self.taken += taken;
        Poll::Ready(Ok(taken))
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
    future::block_on(write_paced(peer, &bytes, &pacer, SLICE, PATIENCE))
}

#[test]
fn a_peer_that_takes_nothing_is_given_up() {
    let begun = Instant::now();
    let error = send(&mut Peer::new(0, Duration::ZERO), 5000).unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::TimedOut);
    assert!(begun.elapsed() < 3 * PATIENCE, "{:?}", begun.elapsed());
}

#[test]
fn a_peer_that_stops_midway_is_given_up() {
    let mut peer = Peer::new(2500, Duration::from_secs(60));
    let error = send(&mut peer, 5000).unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::TimedOut);
    assert_eq!(peer.taken, SLICE);
}

/// As long as bytes go, a narrow link may take many times the patience.
#[test]
fn a_peer_on_a_narrow_link_gets_everything() {
    let begun = Instant::now();
    let mut peer = Peer::new(SLICE, Duration::from_millis(60));
    send(&mut peer, 12 * SLICE).unwrap();
    assert_eq!(peer.taken, 12 * SLICE);
    assert!(begun.elapsed() > 3 * PATIENCE, "{:?}", begun.elapsed());
}
