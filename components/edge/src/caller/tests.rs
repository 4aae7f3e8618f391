//! Tests of callers that read slowly, over in-memory connections with small buffers.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::Bytes;
use errors::{Code, Error};
use futures_lite::future;
use futures_lite::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use futures_lite::stream;
use http::{Request, Response};
use http_body::Frame;
use http_body_util::StreamBody;
use hyper::body::Incoming;
use telemetry::Metrics;

use super::{Caller, Callers, ServerName};
use crate::caller_buffers::BufferLimits;
use crate::clock::Clock;
use crate::gateway::{full_body, AnswerBody};
use crate::idle_timer::IdleTimeout;
use crate::server::{serve_connection, ServerOptions};

/// Memory of the process, in MB.
const MEMORY_MB: u64 = 112;
/// Size of a large plain answer, in bytes.
const LARGE_ANSWER_BYTES: usize = 100_000;
/// Bytes that a connection buffers in each direction.
const WINDOW_BYTES: usize = 4096;
/// Number of callers of each kind.
const CALLERS_OF_EACH_KIND: usize = 200;
/// How long a caller may read nothing.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which a caller that does not read differs from one that has just started.
const SLOW_AFTER: Duration = Duration::from_millis(200);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";

/// One end of a connection.
struct ConnectionEnd(piper::Reader, piper::Writer);

fn connection() -> (ConnectionEnd, ConnectionEnd) {
    let (to_caller, to_server) = (piper::pipe(WINDOW_BYTES), piper::pipe(WINDOW_BYTES));
    (ConnectionEnd(to_caller.0, to_server.1), ConnectionEnd(to_server.0, to_caller.1))
}

impl AsyncRead for ConnectionEnd {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_read(cx, buffer)
    }
}

impl AsyncWrite for ConnectionEnd {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.1).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.1).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.1).poll_close(cx)
    }
}

/// A server whose callers are connected in memory.
#[derive(Clone)]
struct TestServer {
    executor: Rc<LocalExecutor<'static>>,
    options: ServerOptions,
    callers: Callers,
}

impl TestServer {
    fn new() -> Self {
        let limits = BufferLimits::from_memory_mb(MEMORY_MB);
        let callers =
            Callers::new(limits, Clock::start(), Rc::new(Metrics::start().unwrap()), Rc::default());
        let options = ServerOptions {
            name: ServerName::Callers,
            idle_timeout: IdleTimeout::fixed(IDLE_TIMEOUT),
            open_connections: Rc::default(),
            callers: callers.clone(),
        };
        Self { executor: Rc::default(), options, callers }
    }

    fn connect<F>(&self, answer: impl Fn(Rc<Caller>) -> F + Clone + 'static) -> ConnectionEnd
    where
        F: std::future::Future<Output = Response<AnswerBody>> + 'static,
    {
        let (caller, end) = connection();
        let handler = move |_: Request<Incoming>, caller| answer(caller);
        let open_connections = &self.options.open_connections;
        open_connections.set(open_connections.get() + 1);
        self.executor.spawn(serve_connection(end, self.options.clone(), handler)).detach();
        caller
    }

    fn run<T>(&self, future: impl std::future::Future<Output = T>) -> T {
        future::block_on(self.executor.run(future))
    }

    fn has_metric(&self, reason: &str) -> bool {
        let line = format!("silverdock_slow_readers_total{{reason=\"{reason}\"}}");
        self.callers
            .0
            .metrics
            .render()
            .lines()
            .any(|it| it.replace(",otel_scope_name=\"silverdock\"", "").starts_with(&line))
    }

    /// Waits until a connection has ended with this reason, in this state.
    async fn wait_for_end(&self, reason: &str, state: &str) {
        let (reason, state) = (format!("reason=\"{reason}\""), format!("state=\"{state}\""));
        let started = Instant::now();
        loop {
            let text = self.callers.0.metrics.render();
            let mut ends = text.lines().filter(|it| it.starts_with("silverdock_connection_ends"));
            if ends.any(|it| it.contains(&reason) && it.contains(&state)) {
                return;
            }
            assert!(started.elapsed() < 3 * READ_TIMEOUT, "no end by {reason} in {state}:\n{text}");
            Timer::after(Duration::from_millis(5)).await;
        }
    }
}

/// Leaves the request without an answer.
async fn no_answer(caller: Rc<Caller>) -> Response<AnswerBody> {
    caller.finish_reading();
    future::pending().await
}

async fn aborted_answer(_: Rc<Caller>) -> Response<AnswerBody> {
    let frames = stream::once(Err(Error::new(Code::CutShort, "")));
    Response::new(Box::pin(StreamBody::new(frames)))
}

/// Answers after a while.
async fn late_answer(_: Rc<Caller>) -> Response<AnswerBody> {
    Timer::after(SLOW_AFTER).await;
    Response::new(full_body("answer"))
}

/// Reads an answer, and returns whether it is whole.
async fn reads_answer(end: &mut ConnectionEnd) -> bool {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"answer") {
        let mut byte = [0];
        match end.read(&mut byte).await {
            Ok(1) => bytes.push(byte[0]),
            _ => return false,
        }
    }
    bytes.starts_with(b"HTTP/1.1 200")
}

/// A server whose idle timeout can be changed.
fn server_with_idle_timeout(timeout: Duration) -> (TestServer, Rc<Cell<Duration>>) {
    let timeout = Rc::new(Cell::new(timeout));
    let mut server = TestServer::new();
    let in_force = timeout.clone();
    server.options.idle_timeout = IdleTimeout::new(move || in_force.get());
    (server, timeout)
}

#[test]
fn a_lowered_idle_timeout_neither_cuts_a_request_nor_is_ignored() {
    let (server, timeout) = server_with_idle_timeout(IDLE_TIMEOUT);
    let mut end = server.connect(late_answer);
    server.run(async {
        end.write_all(REQUEST).await.unwrap();
        Timer::after(SLOW_AFTER / 2).await;
        timeout.set(SLOW_AFTER / 4);
        assert!(reads_answer(&mut end).await);
        assert_eq!(end.read(&mut [0]).await.unwrap(), 0, "the idle connection is closed");
        server.wait_for_end("idle_timeout", "idle").await;
    });
}

#[test]
fn a_raised_idle_timeout_does_not_close_connections_that_callers_still_use() {
    let (server, timeout) = server_with_idle_timeout(SLOW_AFTER);
    let mut end = server.connect(late_answer);
    server.run(async {
        Timer::after(SLOW_AFTER / 2).await;
        timeout.set(IDLE_TIMEOUT);
        Timer::after(2 * SLOW_AFTER).await;
        end.write_all(REQUEST).await.unwrap();
        assert!(reads_answer(&mut end).await);
    });
}

#[test]
fn a_request_head_that_begins_late_in_the_idle_time_is_not_cut() {
    let (server, _) = server_with_idle_timeout(SLOW_AFTER);
    let mut end = server.connect(late_answer);
    let (first, rest) = REQUEST.split_at(REQUEST.len() / 2);
    server.run(async {
        Timer::after(SLOW_AFTER * 3 / 4).await;
        end.write_all(first).await.unwrap();
        Timer::after(SLOW_AFTER / 2).await;
        end.write_all(rest).await.unwrap();
        assert!(reads_answer(&mut end).await);
    });
}

#[test]
fn requests_that_are_sent_before_the_answer_to_the_first_are_not_lost() {
    let (server, _) = server_with_idle_timeout(IDLE_TIMEOUT);
    let mut end = server.connect(late_answer);
    server.run(async {
        end.write_all(&REQUEST.repeat(2)).await.unwrap();
        Timer::after(SLOW_AFTER / 2).await;
        end.write_all(REQUEST).await.unwrap();
        for _ in 0..3 {
            assert!(reads_answer(&mut end).await);
        }
    });
}

#[test]
fn a_request_head_that_stays_incomplete_does_not_hold_its_connection() {
    let (server, _) = server_with_idle_timeout(SLOW_AFTER);
    let mut end = server.connect(late_answer);
    server.run(async {
        end.write_all(&REQUEST[..5]).await.unwrap();
        server.wait_for_end("idle_timeout", "head").await;
    });
}

#[test]
fn a_closed_connection_does_not_hide_which_request_was_on_it() {
    let server = TestServer::new();
    server.run(async {
        let mut waiting = server.connect(no_answer);
        waiting.write_all(REQUEST).await.unwrap();
        Timer::after(SLOW_AFTER).await;
        drop(waiting);
        server.wait_for_end("caller", "waiting").await;

        let mut aborted = server.connect(aborted_answer);
        aborted.write_all(REQUEST).await.unwrap();
        server.wait_for_end("answer_aborted", "answer").await;

        let mut broken = server.connect(no_answer);
        broken.write_all(b"no request\r\n\r\n").await.unwrap();
        server.wait_for_end("bad_request", "head").await;

        let mut unread = server.connect(large_answer);
        unread.write_all(REQUEST).await.unwrap();
        server.wait_for_end("slow_reader", "answer").await;

        let _idle = server.connect(no_answer);
        Timer::after(SLOW_AFTER).await;
        server.callers.end_idle(Duration::ZERO);
        server.wait_for_end("stop", "idle").await;
    });
}

async fn large_answer(caller: Rc<Caller>) -> Response<AnswerBody> {
    caller.set_read_timeout(READ_TIMEOUT);
    Response::new(full_body(vec![7; LARGE_ANSWER_BYTES]))
}

/// Reads a whole answer and returns the number of bytes received.
async fn read_all(mut end: ConnectionEnd) -> usize {
    end.write_all(REQUEST).await.unwrap();
    let (mut read, mut buffer) = (0, [0; WINDOW_BYTES]);
    while read < LARGE_ANSWER_BYTES {
        match end.read(&mut buffer).await {
            Ok(count @ 1..) => read += count,
            _ => break,
        }
    }
    read
}

/// Reads one byte a second until the connection ends.
async fn read_slowly(mut end: ConnectionEnd) {
    end.write_all(REQUEST).await.unwrap();
    while let Ok(1) = end.read(&mut [0; 1]).await {
        Timer::after(Duration::from_secs(1)).await;
    }
}

/// The processor time used by this thread. It does not include other processes on the machine.
fn processor_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// The processor time that serving `CALLERS_OF_EACH_KIND` fast readers takes. Nothing else runs meanwhile.
async fn quick_callers_time(server: &TestServer) -> Duration {
    let started = processor_time();
    let reading: Vec<_> = (0..CALLERS_OF_EACH_KIND)
        .map(|_| server.executor.spawn(read_all(server.connect(large_answer))))
        .collect();
    for read in reading {
        assert!(read.await >= LARGE_ANSWER_BYTES, "every quick caller gets its whole answer");
    }
    processor_time() - started
}

#[test]
fn slow_readers_use_bounded_memory_and_do_not_delay_fast_ones() {
    let without_slow = TestServer::new();
    let with_slow = TestServer::new();
    let max_buffered: Rc<Cell<usize>> = Rc::default();
    let (quick_time_without_slow, quick_time_with_slow) = with_slow.run(async {
        for _ in 0..CALLERS_OF_EACH_KIND {
            with_slow.executor.spawn(read_slowly(with_slow.connect(large_answer))).detach();
        }
        // By now the slow readers are recognised as slow.
        Timer::after(SLOW_AFTER).await;
        let (callers, max_seen) = (with_slow.callers.clone(), max_buffered.clone());
        let sampling = async move {
            loop {
                max_seen.set(max_seen.get().max(callers.buffered_bytes()));
                future::yield_now().await;
            }
        };
        let _sampling = with_slow.executor.spawn(sampling);
        let (mut quick_time_without_slow, mut quick_time_with_slow) =
            (Duration::MAX, Duration::MAX);
        for _ in 0..5 {
            let time = without_slow.executor.run(quick_callers_time(&without_slow)).await;
            quick_time_without_slow = quick_time_without_slow.min(time);
            quick_time_with_slow = quick_time_with_slow.min(quick_callers_time(&with_slow).await);
        }
        (quick_time_without_slow, quick_time_with_slow)
    });
    assert!(
        max_buffered.get() <= with_slow.callers.limits().process,
        "{} bytes were buffered",
        max_buffered.get()
    );
    assert!(with_slow.has_metric("memory"), "slow readers were disconnected");
    let bound = quick_time_without_slow.mul_f64(1.1);
    assert!(
        quick_time_with_slow <= bound,
        "{quick_time_with_slow:?} with slow readers, {quick_time_without_slow:?} without"
    );
}

#[test]
fn a_caller_that_reads_nothing_is_disconnected_after_the_timeout_of_its_route() {
    let server = TestServer::new();
    let mut end = server.connect(large_answer);
    let started = Instant::now();
    server.run(async {
        end.write_all(REQUEST).await.unwrap();
        while server.options.open_connections.get() > 0
            || started.elapsed() < Duration::from_millis(50)
        {
            Timer::after(Duration::from_millis(5)).await;
            assert!(started.elapsed() < 3 * READ_TIMEOUT, "the connection is still open");
        }
    });
    assert!(started.elapsed() >= READ_TIMEOUT, "closed after {:?}", started.elapsed());
    assert!(server.has_metric("stalled"));
    assert_eq!(server.callers.buffered_bytes(), 0);
}

/// Records when it is dropped, which is when the connection to a runner is closed.
struct Runner(Rc<RefCell<Option<Instant>>>);

impl Drop for Runner {
    fn drop(&mut self) {
        *self.0.borrow_mut() = Some(Instant::now());
    }
}

/// An endless stream that produces data for as long as it is read.
fn endless_stream(runner: Runner) -> Response<AnswerBody> {
    let frames = stream::unfold(runner, |runner| async move {
        let frame: Result<_, Error> = Ok(Frame::data(Bytes::from(vec![7; WINDOW_BYTES])));
        Some((frame, runner))
    });
    Response::new(Box::pin(StreamBody::new(frames)))
}

#[test]
fn a_stream_that_is_read_a_byte_a_second_releases_its_runner_at_its_deadline() {
    let server = TestServer::new();
    let released: Rc<RefCell<Option<Instant>>> = Rc::default();
    let until = Duration::from_millis(1500);
    let started = Instant::now();
    let end = server.connect({
        let released = released.clone();
        move |caller: Rc<Caller>| {
            caller.set_read_timeout(IDLE_TIMEOUT);
            caller.set_stream_deadline(Some(uptime::Instant::now() + until));
            std::future::ready(endless_stream(Runner(released.clone())))
        }
    });
    server.run(async {
        server.executor.spawn(read_slowly(end)).detach();
        while released.borrow().is_none() && started.elapsed() < 3 * until {
            Timer::after(Duration::from_millis(5)).await;
        }
    });
    let released = released.borrow().expect("the runner is released");
    let took = released.duration_since(started);
    assert!(took >= until && took < until + Duration::from_millis(500), "{took:?}");
    assert!(server.has_metric("late"));
}
