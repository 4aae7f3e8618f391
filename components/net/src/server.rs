//! An HTTP server with bounds on connections, sizes and stalls, that stops without cutting off
//! requests in progress.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Encoder, Server as Connection};
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use async_trait::async_trait;
use errors::{Code, Error, Result};
use futures_lite::io::{self, AsyncWriteExt};
use http_types::{Method, Request, Response, StatusCode};
use serde::Serialize;

use crate::stream::BoundedStream;
use crate::Tasks;

/// What `async-h1` allows for the head of a request, in bytes, and what it may read ahead.
const HEAD_BYTES: u64 = 16 * 1024;
/// How long to wait after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How often a stopping server looks whether its requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(10);
/// How long a caller who is asked to come back later should wait, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// The bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The largest body, in bytes.
    pub body_bytes: u64,
    /// The most connections at once; further ones are closed at once.
    pub connections: usize,
    /// How long a peer may neither send nor take a byte.
    pub stall: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { body_bytes: 1 << 20, connections: 4096, stall: Duration::from_secs(60) }
    }
}

/// What becomes of a request.
// It is moved once for each request; a box would cost more than it saves.
#[allow(clippy::large_enum_variant)]
pub enum Reply {
    /// It is answered.
    Answer(Response),
    /// The connection is closed without an answer.
    HangUp,
}

/// The caller of a request.
pub struct Caller {
    stream: TcpStream,
}

impl Caller {
    /// Waits until the caller has gone away.
    pub async fn gone(&self) {
        let mut byte = [0];
        if let Ok(1..) = self.stream.peek(&mut byte).await {
            // More bytes have arrived, so the end cannot be seen behind them.
            futures_lite::future::pending::<()>().await;
        }
    }
}

/// Answers requests.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    async fn handle(&self, request: Request, caller: Caller) -> Reply;
}

/// State shared by the connections of a server.
struct Shared {
    bounds: Bounds,
    stopping: AtomicBool,
    connections: AtomicUsize,
    in_progress: AtomicUsize,
}

/// A running server.
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
    /// Holds the task that accepts, so that the door can be closed apart from the connections.
    accepting: Tasks,
}

impl Server {
    /// Takes an address and starts to serve on it.
    pub async fn start(
        tasks: &Tasks,
        address: SocketAddr,
        bounds: Bounds,
        handler: Arc<dyn Handler>,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address).await;
        let listener = listener
            .map_err(|error| Error::new(Code::AddressInUse, format!("{address}: {error}")))?;
        let address = listener.local_addr().unwrap_or(address);
        let shared = Arc::new(Shared {
            bounds,
            stopping: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            in_progress: AtomicUsize::new(0),
        });
        let accepting = tasks.group();
        accepting.spawn(accept_all(tasks.clone(), listener, shared.clone(), handler));
        Ok(Self { shared, address, accepting })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many requests are in progress.
    pub fn in_progress(&self) -> usize {
        self.shared.in_progress.load(Ordering::SeqCst)
    }

    /// Closes the door to new connections; those that are open get one last answer each.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        self.accepting.cancel();
    }

    /// Waits until no request is in progress.
    pub async fn drain(&self) {
        while self.in_progress() > 0 {
            Timer::after(DRAIN_POLL).await;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accepting.cancel();
    }
}

async fn accept_all(
    tasks: Tasks,
    listener: TcpListener,
    shared: Arc<Shared>,
    handler: Arc<dyn Handler>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        if shared.connections.load(Ordering::Relaxed) >= shared.bounds.connections {
            continue;
        }
        tasks.spawn(serve_connection(stream, shared.clone(), handler.clone()));
    }
}

/// Counts something up while it is held.
struct Held<'a>(&'a AtomicUsize);

impl<'a> Held<'a> {
    fn new(counter: &'a AtomicUsize) -> Self {
        counter.fetch_add(1, Ordering::SeqCst);
        Self(counter)
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>, handler: Arc<dyn Handler>) {
    let _connection = Held::new(&shared.connections);
    let _ = stream.set_nodelay(true);
    let bounded = BoundedStream::new(stream.clone(), shared.bounds.stall);
    loop {
        bounded.allow(HEAD_BYTES + shared.bounds.body_bytes);
        match serve_one(&stream, &bounded, &shared, &handler).await {
            Ok(ConnectionStatus::KeepAlive) => {}
            _ => return,
        }
    }
}

/// Serves one request. A request counts as in progress from its head to the end of its answer.
async fn serve_one(
    stream: &TcpStream,
    bounded: &BoundedStream,
    shared: &Shared,
    handler: &Arc<dyn Handler>,
) -> http_types::Result<ConnectionStatus> {
    // `None` until the head has been read, which tells a bad head from a failure after it.
    let held = std::sync::Mutex::new(None);
    let endpoint = |request: Request| {
        *held.lock().expect("the lock is never poisoned") = Some(Held::new(&shared.in_progress));
        let caller = Caller { stream: stream.clone() };
        answer(request, caller, shared, handler)
    };
    let mut connection = Connection::new(bounded.clone(), endpoint);
    let status = connection.accept_one().await;
    drop(connection);
    let seen = held.lock().expect("the lock is never poisoned").is_some();
    if status.is_err() && !seen {
        reject_head(stream.clone()).await;
    }
    status
}

async fn answer(
    request: Request,
    caller: Caller,
    shared: &Shared,
    handler: &Arc<dyn Handler>,
) -> http_types::Result<Response> {
    let too_large = request.len().is_some_and(|len| len as u64 > shared.bounds.body_bytes);
    let mut response = if too_large {
        let mut refusal = refuse(&Error::new(Code::TooLarge, "the body is larger than the bound"));
        refusal.insert_header("connection", "close");
        refusal
    } else {
        match handler.handle(request, caller).await {
            Reply::Answer(response) => response,
            Reply::HangUp => return Err(http_types::format_err!("hung up")),
        }
    };
    if shared.stopping.load(Ordering::SeqCst) {
        response.insert_header("connection", "close");
    }
    Ok(response)
}

/// Answers a head that `async-h1` could not read; it would close the connection without a word.
async fn reject_head(mut stream: TcpStream) {
    let mut response = refuse(&Error::new(Code::BadRequest, "the head cannot be read"));
    response.insert_header("connection", "close");
    let mut encoder = Encoder::new(response, Method::Get);
    let mut bytes = Vec::new();
    if io::copy(&mut encoder, &mut bytes).await.is_ok() {
        let _ = stream.write_all(&bytes).await;
    }
}

/// The body of a refusal, in the shape that callers of chat completions know.
#[derive(Serialize)]
struct Refusal<'a> {
    error: RefusalBody<'a>,
}

/// What went wrong.
#[derive(Serialize)]
struct RefusalBody<'a> {
    code: u16,
    name: &'a str,
    message: &'a str,
    ran: &'a str,
    may_retry: bool,
}

/// The answer that carries a result code.
pub fn refuse(error: &Error) -> Response {
    let code = error.code;
    let ran = match code.ran() {
        errors::Ran::NotRun => "not run",
        errors::Ran::Unknown => "unknown",
    };
    let body = RefusalBody {
        code: code.number(),
        name: code.name(),
        message: &error.detail,
        ran,
        may_retry: code.may_retry(),
    };
    let mut response = json(code.status(), &Refusal { error: body });
    response.insert_header("silverdock-code", code.number().to_string());
    if code.may_retry() {
        response.insert_header("retry-after", RETRY_AFTER_S.to_string());
    }
    response
}

/// An answer in JSON.
pub fn json(status: u16, body: &impl Serialize) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    match serde_json::to_vec(body) {
        Ok(bytes) => response.set_body(bytes),
        Err(error) => response.set_body(error.to_string()),
    }
    response.insert_header("content-type", "application/json");
    response
}

/// The bearer token of a request.
pub fn bearer(request: &Request) -> Option<&str> {
    let value = request.header("authorization")?.last().as_str();
    value.strip_prefix("Bearer ").map(str::trim)
}
