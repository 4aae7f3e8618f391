//! Callers. Each reuses its connection if possible and sends one request after another.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpStream;
use bytes::Bytes;
use futures_lite::future;
use http::{Method, Request as HttpRequest};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{Builder, SendRequest};
use platform_standin::{headers, leaving_runner, limited_runner, HOST, KEY, PADDING};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_hyper::rt::FuturesIo;

use crate::faults::CRASH_PATH;
use crate::history::{Kind, LeaveNotice, LimitNotice, Outcome, Request};

/// How long a caller waits for the head and for each piece of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(5000);
/// Deadline that a caller states in its requests, in milliseconds.
const DEADLINE_MS: u64 = 4000;
/// How long a caller waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Pause between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..70;
/// Share of requests for which a caller opens a new connection.
const RECONNECT_SHARE: f64 = 0.15;

/// Share of answers that are read slowly.
const SLOW_READ_SHARE: f64 = 0.15;
/// Pause before each of the first pieces of a slowly read answer.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(120);
/// Number of pieces of an answer that are read slowly.
const SLOW_READ_PIECES: usize = 10;

/// Share of requests that crash runners, while the fault is active.
const CRASH_REQUEST_SHARE: f64 = 0.05;

/// State shared by all callers.
#[derive(Clone)]
pub struct Shared {
    /// Start of the run.
    pub start: Instant,
    /// Address of each gateway, and how often its process was restarted.
    pub gateways: Arc<Vec<(SocketAddr, AtomicU64)>>,
    /// Newest version of the configuration that added a route of its own.
    pub configuration: Arc<AtomicU64>,
    /// Number of the request that crashes runners, or zero while callers do not send one.
    pub crash_request: Arc<AtomicU64>,
    /// Whether callers are to stop.
    pub stopped: Arc<AtomicBool>,
    /// Finished requests of all callers.
    pub requests: Arc<Mutex<Vec<Request>>>,
}

/// Runs `callers` callers until they are to stop.
pub fn run(shared: &Shared, callers: usize, seed: u64) {
    let executor = Rc::new(LocalExecutor::new());
    let tasks: Vec<_> = (0..callers)
        .map(|number| {
            let caller = Caller {
                shared: shared.clone(),
                executor: executor.clone(),
                random: SmallRng::seed_from_u64(seed ^ (number as u64) << 32),
                connection: None,
                name: format!("c{number}"),
                sent: 0,
            };
            executor.spawn(caller.run_until_stopped())
        })
        .collect();
    let all = async {
        for task in tasks {
            task.await;
        }
    };
    async_io::block_on(executor.run(all));
}

/// A connection to a gateway. `gateway` holds its number and how often its process had been restarted.
struct Connection {
    gateway: (usize, u32),
    sender: SendRequest<Full<Bytes>>,
}

struct Caller {
    shared: Shared,
    executor: Rc<LocalExecutor<'static>>,
    random: SmallRng,
    connection: Option<Connection>,
    name: String,
    sent: u64,
}

impl Caller {
    async fn run_until_stopped(mut self) {
        while !self.shared.stopped.load(Ordering::Relaxed) {
            self.call().await;
            let pause = self.random.random_range(PAUSE_MS);
            Timer::after(Duration::from_millis(pause)).await;
        }
    }

    async fn call(&mut self) {
        let reconnects = self.random.random_bool(RECONNECT_SHARE);
        let slow = if self.random.random_bool(SLOW_READ_SHARE) { SLOW_READ_PIECES } else { 0 };
        let reusable = self.connection.take().filter(|it| !reconnects && !it.sender.is_closed());
        let number = self.random.random_range(0..self.shared.gateways.len());
        let restarts = self.shared.gateways[number].1.load(Ordering::Relaxed) as u32;
        let (kind, id) = (self.kind(), format!("{}-{}", self.name, self.sent));
        self.sent += 1;
        let sent = self.shared.start.elapsed();
        let mut connection = match reusable {
            Some(connection) => Some(connection),
            None => self.connect(number, restarts).await,
        };
        let gateway = connection.as_ref().map_or((number, restarts), |it| it.gateway);
        let sent = if connection.is_some() { self.shared.start.elapsed() } else { sent };
        let start = self.shared.start;
        let Exchange { outcome, leave_notice, limit } = match &mut connection {
            Some(connection) => exchange(start, &mut connection.sender, kind, &id, slow).await,
            None => Exchange::without_answer(Outcome::NoConnection),
        };
        if matches!(outcome, Outcome::Answer { whole: true, .. }) {
            self.connection = connection;
        }
        let ended = self.shared.start.elapsed();
        let request = Request { id, kind, gateway, sent, ended, outcome, leave_notice, limit };
        self.shared.requests.lock().expect("never poisoned").push(request);
    }

    fn kind(&mut self) -> Kind {
        let newest = self.shared.configuration.load(Ordering::Relaxed);
        let crash_request = self.shared.crash_request.load(Ordering::Relaxed);
        if crash_request > 0 && self.random.random_bool(CRASH_REQUEST_SHARE) {
            return Kind::Crash(crash_request);
        }
        match self.random.random_range(0..10) {
            0..4 => Kind::Stream,
            4..5 => Kind::Safe,
            5..6 => Kind::Bound,
            6..8 => Kind::Unsafe,
            _ => Kind::Probe(newest - self.random.random_range(0..2).min(newest)),
        }
    }

    async fn connect(&self, number: usize, restarts: u32) -> Option<Connection> {
        let address = self.shared.gateways[number].0;
        let stream = with_timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await?.ok()?;
        let (sender, connection) = Builder::new().handshake(FuturesIo::new(stream)).await.ok()?;
        let drive_connection = async move {
            let _ = connection.await;
        };
        self.executor.spawn(drive_connection).detach();
        Some(Connection { gateway: (number, restarts), sender })
    }
}

fn request(kind: Kind, id: &str) -> Option<HttpRequest<Full<Bytes>>> {
    let (method, path) = match kind {
        Kind::Stream => (Method::POST, "/s/x".to_owned()),
        Kind::Crash(number) => (Method::POST, format!("{CRASH_PATH}{number}")),
        Kind::Safe => (Method::GET, "/get/x".to_owned()),
        Kind::Unsafe => (Method::POST, "/post/x".to_owned()),
        Kind::Bound => (Method::GET, "/bound/x".to_owned()),
        Kind::Probe(version) => (Method::GET, format!("/v{version}/x")),
    };
    let mut request = HttpRequest::builder().method(method).uri(path).header("host", HOST);
    for (name, value) in headers(id, KEY, DEADLINE_MS) {
        request = request.header(name, value);
    }
    request.body(Full::new(Bytes::from_static(b"question"))).ok()
}

/// The outcome of a request, and what the answer stated about its runner.
struct Exchange {
    outcome: Outcome,
    leave_notice: Option<LeaveNotice>,
    limit: Option<LimitNotice>,
}

impl Exchange {
    fn without_answer(outcome: Outcome) -> Self {
        Self { outcome, leave_notice: None, limit: None }
    }
}

async fn exchange(
    start: Instant,
    sender: &mut SendRequest<Full<Bytes>>,
    kind: Kind,
    id: &str,
    slow: usize,
) -> Exchange {
    let Some(request) = request(kind, id) else {
        return Exchange::without_answer(Outcome::NoConnection);
    };
    let answer = with_timeout(ANSWER_TIMEOUT, sender.send_request(request)).await;
    let Some(Ok(answer)) = answer else {
        return Exchange::without_answer(Outcome::Lost);
    };
    let at = start.elapsed();
    let leave_notice =
        leaving_runner(answer.headers()).map(|(runner, life)| LeaveNotice { runner, life, at });
    let limit = limited_runner(answer.headers()).map(|(runner, life, limit)| {
        let limit = limit.to_owned();
        LimitNotice { runner, life, limit, at }
    });
    let status = answer.status().as_u16();
    let mut body = answer.into_body();
    let (mut bytes, mut whole, mut pieces) = (Vec::new(), true, 0);
    loop {
        if pieces < slow {
            Timer::after(SLOW_READ_PAUSE).await;
        }
        pieces += 1;
        match with_timeout(ANSWER_TIMEOUT, body.frame()).await {
            Some(None) => break,
            Some(Some(Ok(frame))) => {
                bytes.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
            }
            Some(Some(Err(_))) | None => {
                whole = false;
                break;
            }
        }
    }
    bytes.retain(|byte| *byte != PADDING);
    let body = String::from_utf8_lossy(&bytes).into_owned();
    Exchange { outcome: Outcome::Answer { status, whole, body }, leave_notice, limit }
}

async fn with_timeout<T>(
    time: Duration,
    future: impl std::future::Future<Output = T>,
) -> Option<T> {
    future::or(async { Some(future.await) }, async {
        Timer::after(time).await;
        None
    })
    .await
}
