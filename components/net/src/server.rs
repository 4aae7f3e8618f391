//! An HTTP server with limits on connections, sizes and stalls, which finishes the requests in progress when it stops.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_h1::server::{ConnectionStatus, Encoder, Server as Connection};
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use async_trait::async_trait;
use errors::{Code, Error, Result};
use futures_lite::future;
use futures_lite::io::{self, AsyncWriteExt};
use http_types::{Method, Request, Response, StatusCode};
use serde::Serialize;

use crate::staged_close::close_in_stages;
use crate::stream::BoundedStream;
use crate::Tasks;

/// The size that a request may have in addition to its body, in bytes: the largest head that `async-h1` accepts, and
/// what it may read ahead.
const HEAD_ALLOWANCE_BYTES: u64 = 16 * 1024;
/// The delay before the next attempt after accepting a connection failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The interval at which a stopping server checks whether its requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The value of the `retry-after` header, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// The resource limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The largest request body, in bytes.
    pub body_bytes: u64,
    /// The largest number of open connections; further ones are closed immediately.
    pub max_connections: usize,
    /// The time after which a connection is closed if its peer neither sends nor accepts a byte.
    pub stall_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self { body_bytes: 1 << 20, max_connections: 4096, stall_timeout: Duration::from_secs(60) }
    }
}

/// The result of handling a request.
// The value is moved once per request; boxing the response would cost more than that.
#[allow(clippy::large_enum_variant)]
pub enum Reply {
    /// Sends a response.
    Answer(Response),
    /// Closes the connection without a response.
    CloseConnection,
}

/// The caller of a request.
pub struct Caller {
    stream: TcpStream,
}

impl Caller {
    /// Waits until the caller has disconnected.
    pub async fn disconnected(&self) {
        let mut byte = [0];
        if let Ok(1..) = self.stream.peek(&mut byte).await {
            // Unread bytes have arrived, so the end of the connection cannot be detected by peeking.
            futures_lite::future::pending::<()>().await;
        }
    }
}

/// Handles requests.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    async fn handle(&self, request: Request, caller: Caller) -> Reply;
}

/// The state that the connections of a server share.
struct Shared {
    limits: ServerLimits,
    stopping: AtomicBool,
    connections: AtomicUsize,
    in_progress: AtomicUsize,
}

/// A running server.
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
    /// The task that accepts connections, in a group of its own so that it can be cancelled while open connections are
    /// served.
    accept_task: Tasks,
    /// Closed to end that task.
    close_listener: Sender<()>,
}

impl Server {
    /// Binds an address and starts to serve on it.
    pub async fn start(
        tasks: &Tasks,
        address: SocketAddr,
        limits: ServerLimits,
        handler: Arc<dyn Handler>,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address).await;
        let listener = listener
            .map_err(|error| Error::new(Code::AddressInUse, format!("{address}: {error}")))?;
        let address = listener.local_addr().unwrap_or(address);
        let shared = Arc::new(Shared {
            limits,
            stopping: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            in_progress: AtomicUsize::new(0),
        });
        let accept_task = tasks.group();
        let (close_listener, closing) = async_channel::bounded(1);
        let acceptor = Acceptor { tasks: tasks.clone(), listener, shared: shared.clone(), handler };
        accept_task.spawn(async move { acceptor.run(closing).await });
        Ok(Self { shared, address, accept_task, close_listener })
    }

    /// The address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.shared.in_progress.load(Ordering::SeqCst)
    }

    /// Stops accepting connections, after those in the queue of the listener. Each open connection is closed after its
    /// next response.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        self.close_listener.close();
    }

    /// Closes the listener at once, with the connections in its queue.
    pub fn kill(&self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        self.accept_task.cancel();
    }

    /// Waits until no request is in progress.
    pub async fn drain(&self) {
        while self.in_progress() > 0 {
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept_task.cancel();
    }
}

/// Accepts the connections of a server.
struct Acceptor {
    tasks: Tasks,
    listener: TcpListener,
    shared: Arc<Shared>,
    handler: Arc<dyn Handler>,
}

impl Acceptor {
    /// Accepts connections until `closing` is closed, and then those in the queue of the listener.
    async fn run(self, closing: Receiver<()>) {
        let accepting = async {
            loop {
                if self.accept().await.is_err() {
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        };
        let closed = async {
            let _ = closing.recv().await;
        };
        future::or(accepting, closed).await;
        while let Some(Ok(())) = future::poll_once(self.accept()).await {}
    }

    async fn accept(&self) -> io::Result<()> {
        let (stream, _) = self.listener.accept().await?;
        let shared = self.shared.clone();
        if shared.connections.load(Ordering::Relaxed) < shared.limits.max_connections {
            self.tasks.spawn(serve_connection(stream, shared, self.handler.clone()));
        }
        Ok(())
    }
}

/// Increments a counter and decrements it when dropped.
struct CountGuard<'a>(&'a AtomicUsize);

impl<'a> CountGuard<'a> {
    fn new(counter: &'a AtomicUsize) -> Self {
        counter.fetch_add(1, Ordering::SeqCst);
        Self(counter)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>, handler: Arc<dyn Handler>) {
    let _connection = CountGuard::new(&shared.connections);
    let _ = stream.set_nodelay(true);
    let bounded = BoundedStream::new(stream.clone(), shared.limits.stall_timeout);
    loop {
        bounded.set_request_limit(HEAD_ALLOWANCE_BYTES + shared.limits.body_bytes);
        match serve_one(&stream, &bounded, &shared, &handler).await {
            Ok(ConnectionStatus::KeepAlive) => {}
            _ => break,
        }
    }
    drop(bounded);
    close_in_stages(stream).await;
}

/// Serves one request. A request counts as in progress from the end of its head to the end of its response.
async fn serve_one(
    stream: &TcpStream,
    bounded: &BoundedStream,
    shared: &Shared,
    handler: &Arc<dyn Handler>,
) -> http_types::Result<ConnectionStatus> {
    // `None` until the head has been parsed, which distinguishes an invalid head from a later failure.
    let progress_guard = std::sync::Mutex::new(None);
    let endpoint = |request: Request| {
        *progress_guard.lock().expect("the lock is never poisoned") =
            Some(CountGuard::new(&shared.in_progress));
        let caller = Caller { stream: stream.clone() };
        respond(request, caller, shared, handler)
    };
    let mut connection = Connection::new(bounded.clone(), endpoint);
    let status = connection.accept_one().await;
    drop(connection);
    let head_parsed = progress_guard.lock().expect("the lock is never poisoned").is_some();
    if status.is_err() && !head_parsed {
        reject_head(stream.clone()).await;
    }
    status
}

async fn respond(
    request: Request,
    caller: Caller,
    shared: &Shared,
    handler: &Arc<dyn Handler>,
) -> http_types::Result<Response> {
    let body_too_large = request.len().is_some_and(|len| len as u64 > shared.limits.body_bytes);
    let mut response = if body_too_large {
        let mut rejection =
            error_response(&Error::new(Code::TooLarge, "the body is larger than the limit"));
        rejection.insert_header("connection", "close");
        rejection
    } else {
        match handler.handle(request, caller).await {
            Reply::Answer(response) => response,
            Reply::CloseConnection => {
                return Err(http_types::format_err!("the handler closed the connection"))
            }
        }
    };
    if shared.stopping.load(Ordering::SeqCst) {
        response.insert_header("connection", "close");
    }
    Ok(response)
}

/// Responds to a head that `async-h1` could not parse. The library itself would close the connection without a
/// response.
async fn reject_head(mut stream: TcpStream) {
    let mut response =
        error_response(&Error::new(Code::BadRequest, "the request head cannot be parsed"));
    response.insert_header("connection", "close");
    let mut encoder = Encoder::new(response, Method::Get);
    let mut bytes = Vec::new();
    if io::copy(&mut encoder, &mut bytes).await.is_ok() {
        let _ = stream.write_all(&bytes).await;
    }
}

/// The body of an error response, in the format of chat completion APIs.
#[derive(Serialize)]
struct ErrorResponse<'a> {
    error: ErrorBody<'a>,
}

/// The error in an error response.
#[derive(Serialize)]
struct ErrorBody<'a> {
    code: u16,
    name: &'a str,
    message: &'a str,
    ran: &'a str,
    may_retry: bool,
}

/// Builds the response for an error, with its result code in the body and in a header.
pub fn error_response(error: &Error) -> Response {
    let code = error.code;
    let ran = match code.ran() {
        errors::Ran::NotRun => "not run",
        errors::Ran::Unknown => "unknown",
    };
    let body = ErrorBody {
        code: code.number(),
        name: code.name(),
        message: &error.detail,
        ran,
        may_retry: code.may_retry(),
    };
    let mut response = json_response(code.status(), &ErrorResponse { error: body });
    response.insert_header("silverdock-code", code.number().to_string());
    if code.may_retry() {
        response.insert_header("retry-after", RETRY_AFTER_S.to_string());
    }
    response
}

/// Builds a response with a JSON body.
pub fn json_response(status: u16, body: &impl Serialize) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    match serde_json::to_vec(body) {
        Ok(bytes) => response.set_body(bytes),
        Err(error) => response.set_body(error.to_string()),
    }
    response.insert_header("content-type", "application/json");
    response
}

/// The bearer token in the `authorization` header of a request.
pub fn bearer_token(request: &Request) -> Option<&str> {
    let value = request.header("authorization")?.last().as_str();
    value.strip_prefix("Bearer ").map(str::trim)
}
