//! The stream of a caller's connection and the bodies of its answers: timeouts of callers that do not read, and the
//! end of idle connections.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use async_io::Timer;
use bytes::Bytes;
use errors::{Code, Error};
use futures_lite::io::{AsyncRead, AsyncWrite};
use futures_lite::FutureExt;
use http_body::{Body, Frame, SizeHint};
use uptime::Instant;

use super::Caller;
use crate::connection_state::{CloseCause, ConnectionState};
use crate::gateway::AnswerBody;

/// A connection whose writes time out if the caller does not read.
pub struct CallerStream<S> {
    stream: S,
    caller: Rc<Caller>,
    /// Since when the caller has accepted no bytes.
    blocked_since: Option<Instant>,
    /// Wakes the connection when the timeout expires.
    timer: Option<(Instant, Timer)>,
}

impl<S> CallerStream<S> {
    /// Wraps the stream of a caller's connection.
    pub fn new(stream: S, caller: Rc<Caller>) -> Self {
        Self { stream, caller, blocked_since: None, timer: None }
    }

    /// The stream itself.
    pub fn into_inner(self) -> S {
        self.stream
    }

    /// Why the connection ends now that nothing has arrived on it. A head that is incomplete is waited for, unless
    /// its time is over.
    fn end_now(&self) -> Option<CloseCause> {
        let cause = self.caller.ends_when_idle.get().filter(|_| self.blocked_since.is_none())?;
        let ends = match self.caller.state() {
            ConnectionState::Idle => true,
            ConnectionState::Head => cause == CloseCause::IdleTimeout,
            ConnectionState::Body | ConnectionState::Waiting | ConnectionState::Answer => false,
        };
        ends.then_some(cause)
    }

    fn poll_read_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let since = *self.blocked_since.get_or_insert_with(Instant::now);
        let (until, reason) = self.caller.read_deadline(since);
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            self.caller.note_end(CloseCause::SlowReader);
            self.caller.log_timeout(reason, since);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        if self.timer.as_ref().is_none_or(|(at, _)| *at != until) {
            self.timer = Some((until, Timer::after(left)));
        }
        if let Some((_, timer)) = &mut self.timer {
            if timer.poll(cx).is_ready() {
                // The timer of the machine may be ahead of the process's clock, so the deadline is checked
                // again.
                self.timer = None;
                cx.waker().wake_by_ref();
            }
        }
        Poll::Pending
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CallerStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        match &read {
            Poll::Ready(Ok(bytes)) => self.caller.record_arrival(*bytes),
            Poll::Ready(Err(_)) => self.caller.note_end(CloseCause::Caller),
            Poll::Pending => {
                if let Some(cause) = self.end_now() {
                    self.caller.note_end(cause);
                    return Poll::Ready(Ok(0));
                }
            }
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CallerStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.caller.is_closed.get() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        match Pin::new(&mut self.stream).poll_write(cx, bytes) {
            Poll::Pending => self.poll_read_timeout(cx),
            Poll::Ready(Ok(written)) => {
                (self.blocked_since, self.timer) = (None, None);
                self.caller.record_read(written);
                Poll::Ready(Ok(written))
            }
            failed => {
                self.caller.note_end(CloseCause::WriteError);
                failed
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// The body of an answer whose bytes are accounted for until they are read. One that is not there when the process
/// ends is broken off, so that it does not look complete.
pub struct AccountedBody {
    body: AnswerBody,
    caller: Rc<Caller>,
}

impl AccountedBody {
    /// Wraps the body of an answer to a caller.
    pub fn new(body: AnswerBody, caller: Rc<Caller>) -> Self {
        Self { body, caller }
    }
}

impl Body for AccountedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let frame = self.body.as_mut().poll_frame(cx);
        match &frame {
            Poll::Ready(Some(Ok(frame))) => {
                self.caller.reserve_answer(frame.data_ref().map_or(0, Bytes::len));
            }
            Poll::Pending if self.caller.is_over() => {
                self.caller.note_end(CloseCause::ProcessEnd);
                return Poll::Ready(Some(Err(Error::new(Code::Stopping, "the process ends"))));
            }
            Poll::Ready(Some(Err(_))) => self.caller.note_end(CloseCause::AnswerAborted),
            Poll::Ready(None) | Poll::Pending => {}
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AccountedBody {
    fn drop(&mut self) {
        self.caller.end_answer();
    }
}
