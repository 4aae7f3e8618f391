//! Callers. Each reuses its connection if possible and sends one request after another.

mod connection;
mod exchange;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpStream;
use hyper::client::conn::http1::{Builder, SendRequest};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_hyper::rt::FuturesIo;

use self::connection::{Observations, ObservedStream};
use self::exchange::{exchange, with_timeout, Exchange, RequestBody, RequestPlan};
use crate::faults::CRASH_PART;
use crate::history::{Kind, Outcome, Request};

/// Deadline that a caller states in most requests, in milliseconds.
const DEADLINE_MS: u64 = 4000;
/// Deadlines of long requests, and the time that their runners take, in milliseconds.
const LONG_DEADLINE_MS: std::ops::Range<u64> = 3000..9000;
const LONG_RUN_MS: std::ops::Range<u64> = 1000..7500;
/// Share of long requests.
const LONG_SHARE: f64 = 0.03;
/// How long a caller waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Pause between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..70;
/// Share of requests for which every other caller opens a new connection. The rest keep theirs until it closes.
const RECONNECT_SHARE: f64 = 0.15;
/// Share of connections that are distant, and how much later callers see there what gateways send, in milliseconds.
const DISTANT_SHARE: f64 = 0.5;
const LATENCY_MS: std::ops::Range<u64> = 5..40;
/// Share of requests whose body is sent in pieces after the head.
const PIECES_SHARE: f64 = 0.25;
/// Number of these pieces, and the pause before each of them, in milliseconds.
const PIECES: std::ops::Range<usize> = 1..5;
const PIECE_PAUSE_MS: std::ops::Range<u64> = 1..30;

/// Share of answers that are read slowly.
const SLOW_READ_SHARE: f64 = 0.15;
/// Number of pieces of an answer that are read slowly.
const SLOW_READ_PIECES: usize = 10;

/// Share of requests that crash runners, while the fault is active.
const CRASH_REQUEST_SHARE: f64 = 0.05;

/// Number of different first parts of prompts, and of parts that follow them.
const FIRST_PARTS: u64 = 2;
const MIDDLE_PARTS: u64 = 12;
/// Of this many requests with a part that crashes runners, one begins with it.
const CRASH_FIRST_INTERVAL: u64 = 3;

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
    /// Number of the prompt part that crashes runners, or zero while callers send no requests with one.
    pub crash_part: Arc<AtomicU64>,
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
                reconnect_share: if number % 2 == 0 { 0.0 } else { RECONNECT_SHARE },
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

/// A connection to a gateway.
struct Connection {
    /// Number of the gateway, and how often its process had been restarted.
    gateway: (usize, u32),
    sender: SendRequest<RequestBody>,
    observations: Rc<Observations>,
    /// Whether a request has been sent on it.
    used: bool,
}

struct Caller {
    shared: Shared,
    executor: Rc<LocalExecutor<'static>>,
    random: SmallRng,
    connection: Option<Connection>,
    reconnect_share: f64,
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
        let plan = self.plan_request();
        let reconnects = self.random.random_bool(self.reconnect_share);
        let reusable = self.connection.take().filter(|it| !reconnects && !it.sender.is_closed());
        let number = self.random.random_range(0..self.shared.gateways.len());
        let restarts = self.shared.gateways[number].1.load(Ordering::Relaxed) as u32;
        let sent = self.shared.start.elapsed();
        let mut connection = match reusable {
            Some(connection) => Some(connection),
            None => self.connect(number, restarts).await,
        };
        let gateway = connection.as_ref().map_or((number, restarts), |it| it.gateway);
        let on_kept_connection = connection.as_ref().is_some_and(|it| it.used);
        let sent = if connection.is_some() { self.shared.start.elapsed() } else { sent };
        let Exchange { outcome, ending, received, leave_notice, limit } = match &mut connection {
            Some(connection) => exchange(self.shared.start, connection, &plan).await,
            None => Exchange::not_sent(),
        };
        if matches!(outcome, Outcome::Answer { whole: true, .. }) {
            self.connection = connection;
        }
        let ended = self.shared.start.elapsed();
        let RequestPlan { id, kind, deadline, .. } = plan;
        let request = Request {
            id,
            kind,
            gateway,
            sent,
            ended,
            outcome,
            ending,
            received,
            on_kept_connection,
            deadline,
            leave_notice,
            limit,
        };
        self.shared.requests.lock().expect("never poisoned").push(request);
    }

    fn plan_request(&mut self) -> RequestPlan {
        let kind = self.kind();
        let id = format!("{}-{}", self.name, self.sent);
        let prompt = self.prompt(kind, &id);
        self.sent += 1;
        let deadline_ms = match kind {
            Kind::LongStream(_) | Kind::LongUnsafe(_) => self.random.random_range(LONG_DEADLINE_MS),
            _ => DEADLINE_MS,
        };
        let reads_slowly = self.random.random_bool(SLOW_READ_SHARE);
        let in_pieces = self.random.random_bool(PIECES_SHARE);
        let pieces = if in_pieces { self.random.random_range(PIECES) } else { 0 };
        let pauses = (0..pieces).map(|_| self.random.random_range(PIECE_PAUSE_MS));
        RequestPlan {
            prompt,
            id,
            kind,
            deadline: Duration::from_millis(deadline_ms),
            slow_pieces: if reads_slowly { SLOW_READ_PIECES } else { 0 },
            body_pauses: pauses.map(Duration::from_millis).collect(),
            writes_before_reading: self.random.random_bool(0.5),
        }
    }

    /// The parts of the prompt of a request; empty if it has none.
    fn prompt(&self, kind: Kind, id: &str) -> Vec<String> {
        let first = format!("first{}", self.sent % FIRST_PARTS);
        let middle = format!("middle{}", self.sent / FIRST_PARTS % MIDDLE_PARTS);
        let shared = match kind {
            Kind::CrashPart(number) if self.sent.is_multiple_of(CRASH_FIRST_INTERVAL) => {
                [format!("{CRASH_PART}{number}"), middle]
            }
            Kind::CrashPart(number) => [first, format!("{CRASH_PART}{number}")],
            kind if kind.is_stream() => [first, middle],
            _ => return Vec::new(),
        };
        shared.into_iter().chain([format!("own-{id}")]).collect()
    }

    fn kind(&mut self) -> Kind {
        let newest = self.shared.configuration.load(Ordering::Relaxed);
        let crash_request = self.shared.crash_request.load(Ordering::Relaxed);
        if crash_request > 0 && self.random.random_bool(CRASH_REQUEST_SHARE) {
            return Kind::Crash(crash_request);
        }
        let crash_part = self.shared.crash_part.load(Ordering::Relaxed);
        if crash_part > 0 && self.random.random_bool(CRASH_REQUEST_SHARE) {
            return Kind::CrashPart(crash_part);
        }
        if self.random.random_bool(LONG_SHARE) {
            let millis = self.random.random_range(LONG_RUN_MS);
            let is_stream = self.random.random_bool(0.5);
            return if is_stream { Kind::LongStream(millis) } else { Kind::LongUnsafe(millis) };
        }
        match self.random.random_range(0..10) {
            0..3 => Kind::Stream,
            3..4 => Kind::OnceStream,
            4..5 => Kind::Safe,
            5..6 => Kind::Bound,
            6..8 => Kind::Unsafe,
            _ => Kind::Probe(newest - self.random.random_range(0..2).min(newest)),
        }
    }

    async fn connect(&mut self, number: usize, restarts: u32) -> Option<Connection> {
        let address = self.shared.gateways[number].0;
        let stream = with_timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await?.ok()?;
        let observations: Rc<Observations> = Rc::default();
        let is_distant = self.random.random_bool(DISTANT_SHARE);
        let latency_ms = if is_distant { self.random.random_range(LATENCY_MS) } else { 0 };
        let latency = Duration::from_millis(latency_ms);
        let stream = ObservedStream::new(stream, observations.clone(), latency);
        let (sender, connection) = Builder::new().handshake(FuturesIo::new(stream)).await.ok()?;
        let drive_connection = async move {
            let _ = connection.await;
        };
        self.executor.spawn(drive_connection).detach();
        Some(Connection { gateway: (number, restarts), sender, observations, used: false })
    }
}
