//! Callers: each keeps a connection while it can and sends one request after the other.

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
use crate::history::{Kind, NamedLimit, Request, Seen, Told};

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(5000);
/// What it says of that.
const DEADLINE_MS: u64 = 4000;
/// How long it waits for a connection.
const CONNECT_PATIENCE: Duration = Duration::from_millis(1000);
/// The pause between two requests, in milliseconds.
const PAUSE: std::ops::Range<u64> = 5..70;
/// The part of the requests after which a caller opens another connection.
const LEAVES: f64 = 0.15;

/// The part of the answers that are read slowly.
const SLOW: f64 = 0.15;
/// The pause before each of the first pieces of such an answer.
const SLOW_PAUSE: Duration = Duration::from_millis(120);
/// How many pieces that are.
const SLOW_PIECES: usize = 10;

/// The part of the requests that crash runners, while there are any.
const CRASHES: f64 = 0.05;

/// What callers share.
#[derive(Clone)]
pub struct Shared {
    /// When the run began.
    pub begun: Instant,
    /// Where each gateway listens, and which of its processes runs.
    pub gateways: Arc<Vec<(SocketAddr, AtomicU64)>>,
    /// The newest version of the configuration that added a route of its own.
    pub configuration: Arc<AtomicU64>,
    /// The number of the request under which runners crash, while callers send it. Zero while they do not.
    pub crashing: Arc<AtomicU64>,
    /// Whether callers should end.
    pub over: Arc<AtomicBool>,
    /// What they saw.
    pub requests: Arc<Mutex<Vec<Request>>>,
}

/// Runs so many callers until they should end.
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
            executor.spawn(caller.call_on())
        })
        .collect();
    let all = async {
        for task in tasks {
            task.await;
        }
    };
    async_io::block_on(executor.run(all));
}

/// A connection to a gateway, and to which of its processes.
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
    async fn call_on(mut self) {
        while !self.shared.over.load(Ordering::Relaxed) {
            self.call().await;
            let pause = self.random.random_range(PAUSE);
            Timer::after(Duration::from_millis(pause)).await;
        }
    }

    async fn call(&mut self) {
        let leaves = self.random.random_bool(LEAVES);
        let slow = if self.random.random_bool(SLOW) { SLOW_PIECES } else { 0 };
        let kept = self.connection.take().filter(|it| !leaves && !it.sender.is_closed());
        let number = self.random.random_range(0..self.shared.gateways.len());
        let life = self.shared.gateways[number].1.load(Ordering::Relaxed) as u32;
        let (kind, id) = (self.kind(), format!("{}-{}", self.name, self.sent));
        self.sent += 1;
        let sent = self.shared.begun.elapsed();
        let mut connection = match kept {
            Some(connection) => Some(connection),
            None => self.connect(number, life).await,
        };
        let gateway = connection.as_ref().map_or((number, life), |it| it.gateway);
        let sent = if connection.is_some() { self.shared.begun.elapsed() } else { sent };
        let begun = self.shared.begun;
        let Exchanged { seen, told, limit } = match &mut connection {
            Some(connection) => exchange(begun, &mut connection.sender, kind, &id, slow).await,
            None => Exchanged::without_answer(Seen::NoConnection),
        };
        if matches!(seen, Seen::Answer { whole: true, .. }) {
            self.connection = connection;
        }
        let ended = self.shared.begun.elapsed();
        let request = Request { id, kind, gateway, sent, ended, seen, told, limit };
        self.shared.requests.lock().expect("never poisoned").push(request);
    }

    fn kind(&mut self) -> Kind {
        let newest = self.shared.configuration.load(Ordering::Relaxed);
        let crashing = self.shared.crashing.load(Ordering::Relaxed);
        if crashing > 0 && self.random.random_bool(CRASHES) {
            return Kind::Crash(crashing);
        }
        match self.random.random_range(0..10) {
            0..4 => Kind::Stream,
            4..5 => Kind::Safe,
            5..6 => Kind::Bound,
            6..8 => Kind::Unsafe,
            _ => Kind::Probe(newest - self.random.random_range(0..2).min(newest)),
        }
    }

    async fn connect(&self, number: usize, life: u32) -> Option<Connection> {
        let address = self.shared.gateways[number].0;
        let stream = within(CONNECT_PATIENCE, TcpStream::connect(address)).await?.ok()?;
        let (sender, connection) = Builder::new().handshake(FuturesIo::new(stream)).await.ok()?;
        let drive = async move {
            let _ = connection.await;
        };
        self.executor.spawn(drive).detach();
        Some(Connection { gateway: (number, life), sender })
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

/// What a caller got, and what the answer said of its runner.
struct Exchanged {
    seen: Seen,
    told: Option<Told>,
    limit: Option<NamedLimit>,
}

impl Exchanged {
    fn without_answer(seen: Seen) -> Self {
        Self { seen, told: None, limit: None }
    }
}

async fn exchange(
    begun: Instant,
    sender: &mut SendRequest<Full<Bytes>>,
    kind: Kind,
    id: &str,
    slow: usize,
) -> Exchanged {
    let Some(request) = request(kind, id) else {
        return Exchanged::without_answer(Seen::NoConnection);
    };
    let answer = within(PATIENCE, sender.send_request(request)).await;
    let Some(Ok(answer)) = answer else {
        return Exchanged::without_answer(Seen::Lost);
    };
    let at = begun.elapsed();
    let told = leaving_runner(answer.headers()).map(|(runner, life)| Told { runner, life, at });
    let limit = limited_runner(answer.headers()).map(|(runner, life, limit)| {
        let limit = limit.to_owned();
        NamedLimit { runner, life, limit, at }
    });
    let status = answer.status().as_u16();
    let mut body = answer.into_body();
    let (mut bytes, mut whole, mut pieces) = (Vec::new(), true, 0);
    loop {
        if pieces < slow {
            Timer::after(SLOW_PAUSE).await;
        }
        pieces += 1;
        match within(PATIENCE, body.frame()).await {
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
    Exchanged { seen: Seen::Answer { status, whole, body }, told, limit }
}

async fn within<T>(time: Duration, future: impl std::future::Future<Output = T>) -> Option<T> {
    future::or(async { Some(future.await) }, async {
        Timer::after(time).await;
        None
    })
    .await
}
