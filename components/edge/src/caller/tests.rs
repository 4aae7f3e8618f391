//! Tests of callers that read slowly, over in-memory connections with small buffers.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use bytes::Bytes;
use errors::Error;
use futures_lite::future;
use futures_lite::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use futures_lite::stream;
use http::{Request, Response};
use http_body::Frame;
use http_body_util::StreamBody;
use hyper::body::Incoming;
use telemetry::Metrics;

use super::{Caller, Callers};
use crate::backlog::BacklogBounds;
use crate::clock::Clock;
use crate::gateway::{whole_body, AnswerBody};
use crate::server::{serve_connection, ServerOptions};

/// Memory of the process, in MB.
const MEMORY_MB: u64 = 112;
/// Size of a large plain answer, in bytes.
const LARGE: usize = 100_000;
/// Bytes that a connection buffers in each direction.
const WINDOW: usize = 4096;
/// Number of callers of each kind.
const CALLERS: usize = 200;
/// How long a caller may read nothing.
const PATIENCE: Duration = Duration::from_millis(700);
/// Time after which a caller that does not read differs from one that has just started.
const SHOWN: Duration = Duration::from_millis(200);
const IDLE: Duration = Duration::from_secs(20);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";

/// One end of a connection.
struct End(piper::Reader, piper::Writer);

fn connection() -> (End, End) {
    let (to_caller, to_server) = (piper::pipe(WINDOW), piper::pipe(WINDOW));
    (End(to_caller.0, to_server.1), End(to_server.0, to_caller.1))
}

impl AsyncRead for End {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_read(cx, buffer)
    }
}

impl AsyncWrite for End {
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
struct Stage {
    executor: Rc<LocalExecutor<'static>>,
    options: ServerOptions,
    callers: Callers,
    _open: Sender<()>,
}

impl Stage {
    fn new() -> Self {
        let bounds = BacklogBounds::of_memory(MEMORY_MB);
        let callers = Callers::new(bounds, Clock::start(), Rc::new(Metrics::start().unwrap()));
        let (open, stopping) = async_channel::bounded(1);
        let options =
            ServerOptions { idle: IDLE, stopping, open: Rc::default(), callers: callers.clone() };
        Self { executor: Rc::default(), options, callers, _open: open }
    }

    fn connect<F>(&self, answer: impl Fn(Rc<Caller>) -> F + Clone + 'static) -> End
    where
        F: std::future::Future<Output = Response<AnswerBody>> + 'static,
    {
        let (caller, server) = connection();
        let handler = move |_: Request<Incoming>, caller| answer(caller);
        self.executor.spawn(serve_connection(server, self.options.clone(), handler)).detach();
        caller
    }

    fn run<T>(&self, future: impl std::future::Future<Output = T>) -> T {
        future::block_on(self.executor.run(future))
    }

    fn metric(&self, reason: &str) -> bool {
        let line = format!("silverdock_slow_readers_total{{reason=\"{reason}\"}}");
        self.callers
            .0
            .metrics
            .render()
            .lines()
            .any(|it| it.replace(",otel_scope_name=\"silverdock\"", "").starts_with(&line))
    }
}

async fn large(caller: Rc<Caller>) -> Response<AnswerBody> {
    caller.set_patience(PATIENCE);
    Response::new(whole_body(vec![7; LARGE]))
}

/// Reads a whole answer and returns the number of bytes received.
async fn read_all(mut end: End) -> usize {
    end.write_all(REQUEST).await.unwrap();
    let (mut read, mut buffer) = (0, [0; WINDOW]);
    while read < LARGE {
        match end.read(&mut buffer).await {
            Ok(count @ 1..) => read += count,
            _ => break,
        }
    }
    read
}

/// Reads one byte a second until the connection ends.
async fn read_slowly(mut end: End) {
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

/// The processor time that serving `CALLERS` fast readers takes. Nothing else runs meanwhile.
async fn time_of_quick(stage: &Stage) -> Duration {
    let begun = processor_time();
    let reading: Vec<_> =
        (0..CALLERS).map(|_| stage.executor.spawn(read_all(stage.connect(large)))).collect();
    for read in reading {
        assert!(read.await >= LARGE, "every quick caller gets its whole answer");
    }
    processor_time() - begun
}

#[test]
fn slow_readers_take_bounded_memory_and_no_time_of_quick_ones() {
    let alone = Stage::new();
    let beside = Stage::new();
    let most: Rc<Cell<usize>> = Rc::default();
    let (quick_alone, quick_beside) = beside.run(async {
        for _ in 0..CALLERS {
            beside.executor.spawn(read_slowly(beside.connect(large))).detach();
        }
        // By now the slow readers are recognised as slow.
        Timer::after(SHOWN).await;
        let (callers, seen) = (beside.callers.clone(), most.clone());
        let watch = async move {
            loop {
                seen.set(seen.get().max(callers.kept_bytes()));
                future::yield_now().await;
            }
        };
        let _watch = beside.executor.spawn(watch);
        let (mut quick_alone, mut quick_beside) = (Duration::MAX, Duration::MAX);
        for _ in 0..5 {
            let time = alone.executor.run(time_of_quick(&alone)).await;
            quick_alone = quick_alone.min(time);
            quick_beside = quick_beside.min(time_of_quick(&beside).await);
        }
        (quick_alone, quick_beside)
    });
    assert!(most.get() <= beside.callers.bounds().process, "{} bytes were kept", most.get());
    assert!(beside.metric("memory"), "slow readers gave way");
    let bound = quick_alone.mul_f64(1.1);
    assert!(quick_beside <= bound, "{quick_beside:?} beside slow readers, {quick_alone:?} alone");
}

#[test]
fn a_caller_that_reads_nothing_is_let_go_after_the_time_of_its_route() {
    let stage = Stage::new();
    let mut end = stage.connect(large);
    let begun = Instant::now();
    stage.run(async {
        end.write_all(REQUEST).await.unwrap();
        while stage.options.open.get() > 0 || begun.elapsed() < Duration::from_millis(50) {
            Timer::after(Duration::from_millis(5)).await;
            assert!(begun.elapsed() < 3 * PATIENCE, "the connection is still open");
        }
    });
    assert!(begun.elapsed() >= PATIENCE, "closed after {:?}", begun.elapsed());
    assert!(stage.metric("stalled"));
    assert_eq!(stage.callers.kept_bytes(), 0);
}

/// Records when it is dropped, which is when the connection to a runner is closed.
struct Runner(Rc<RefCell<Option<Instant>>>);

impl Drop for Runner {
    fn drop(&mut self) {
        *self.0.borrow_mut() = Some(Instant::now());
    }
}

/// An endless stream that produces data for as long as it is read.
fn endless(runner: Runner) -> Response<AnswerBody> {
    let frames = stream::unfold(runner, |runner| async move {
        let frame: Result<_, Error> = Ok(Frame::data(Bytes::from(vec![7; WINDOW])));
        Some((frame, runner))
    });
    Response::new(Box::pin(StreamBody::new(frames)))
}

#[test]
fn a_stream_that_is_read_a_byte_a_second_holds_its_runner_no_longer_than_its_time() {
    let stage = Stage::new();
    let released: Rc<RefCell<Option<Instant>>> = Rc::default();
    let until = Duration::from_millis(1500);
    let begun = Instant::now();
    let end = stage.connect({
        let released = released.clone();
        move |caller: Rc<Caller>| {
            caller.set_patience(IDLE);
            caller.set_stream_until(Some(uptime::Instant::now() + until));
            std::future::ready(endless(Runner(released.clone())))
        }
    });
    stage.run(async {
        stage.executor.spawn(read_slowly(end)).detach();
        while released.borrow().is_none() && begun.elapsed() < 3 * until {
            Timer::after(Duration::from_millis(5)).await;
        }
    });
    let released = released.borrow().expect("the runner is released");
    let took = released.duration_since(begun);
    assert!(took >= until && took < until + Duration::from_millis(500), "{took:?}");
    assert!(stage.metric("late"));
}
