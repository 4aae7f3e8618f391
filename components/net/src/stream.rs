//! A TCP stream that fails if the peer stalls or sends a request that is too large.

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

/// A stream with a limit on the bytes of a request and a timeout for stalled reads and writes.
pub(crate) struct BoundedStream {
    inner: TcpStream,
    /// The number of bytes that may still be read for the current request.
    remaining_bytes: Arc<AtomicU64>,
    stall_timeout: Duration,
    timer: Option<Timer>,
}

impl BoundedStream {
    pub(crate) fn new(inner: TcpStream, stall_timeout: Duration) -> Self {
        Self { inner, remaining_bytes: Arc::new(AtomicU64::new(0)), stall_timeout, timer: None }
    }

    /// Sets the size limit of the next request.
    pub(crate) fn set_request_limit(&self, bytes: u64) {
        self.remaining_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Returns an error if a pending operation has waited longer than the stall timeout.
    fn check_stall<T>(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<T>> {
        let stall_timeout = self.stall_timeout;
        let timer = self.timer.get_or_insert_with(|| Timer::after(stall_timeout));
        match timer.poll(cx) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Clone for BoundedStream {
    fn clone(&self) -> Self {
        let (inner, remaining_bytes) = (self.inner.clone(), self.remaining_bytes.clone());
        Self { inner, remaining_bytes, stall_timeout: self.stall_timeout, timer: None }
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
                let remaining_bytes = self.remaining_bytes.load(Ordering::Relaxed);
                let Some(remaining_bytes) = remaining_bytes.checked_sub(read as u64) else {
                    let kind = io::ErrorKind::InvalidData;
                    return Poll::Ready(Err(io::Error::new(
                        kind,
                        "the request is larger than the limit",
                    )));
                };
                self.remaining_bytes.store(remaining_bytes, Ordering::Relaxed);
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
