//! A TCP stream that gives up on stalled peers and on requests that are too large.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::io::{AsyncRead, AsyncWrite};
use futures_lite::FutureExt;

/// A stream whose reads are counted and whose stalls end it.
pub(crate) struct BoundedStream {
    inner: TcpStream,
    /// Bytes that may still be read for the current request.
    left: Arc<AtomicU64>,
    stall: Duration,
    timer: Option<Timer>,
}

impl BoundedStream {
    pub(crate) fn new(inner: TcpStream, stall: Duration) -> Self {
        Self { inner, left: Arc::new(AtomicU64::new(0)), stall, timer: None }
    }

    /// Allows the next request to be of this size.
    pub(crate) fn allow(&self, bytes: u64) {
        self.left.store(bytes, Ordering::Relaxed);
    }

    /// Ends with an error once a pending operation has waited too long.
    fn check_stall<T>(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<T>> {
        let stall = self.stall;
        let timer = self.timer.get_or_insert_with(|| Timer::after(stall));
        match timer.poll(cx) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Clone for BoundedStream {
    fn clone(&self) -> Self {
        let (inner, left) = (self.inner.clone(), self.left.clone());
        Self { inner, left, stall: self.stall, timer: None }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.inner).poll_read(cx, buf) {
            Poll::Pending => self.check_stall(cx),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Ready(Ok(read)) => {
                self.timer = None;
                let left = self.left.load(Ordering::Relaxed);
                let Some(left) = left.checked_sub(read as u64) else {
                    let kind = io::ErrorKind::InvalidData;
                    return Poll::Ready(Err(io::Error::new(kind, "the request is too large")));
                };
                self.left.store(left, Ordering::Relaxed);
                Poll::Ready(Ok(read))
            }
        }
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.inner).poll_write(cx, buf) {
            Poll::Pending => self.check_stall(cx),
            ready => {
                self.timer = None;
                ready
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
