//! An HTTP server that stops without interrupting requests.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use async_net::TcpListener;
use errors::{Code, Error, Result};
use futures_lite::future;
use futures_lite::io::{AsyncRead, AsyncWrite};
use http::header::{HeaderValue, CONNECTION};
use http::{Request, Response, Version};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use net::{close_idle, close_in_stages};
use smol_hyper::rt::FuturesIo;

use crate::caller::{AccountedBody, Caller, CallerStream, Callers, ServerName};
use crate::connection_state::CloseCause;
use crate::gateway::AnswerBody;
use crate::http_connection::set_socket_options;
use crate::idle_timer::{IdleTimeout, IdleTimer};
use crate::spawner::Spawner;

/// How long to wait after the system failed to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The value that announces the end of a connection.
const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// The settings and state shared by the connections of a server.
#[derive(Clone)]
pub struct ServerOptions {
    /// The server, in logs and metrics.
    pub name: ServerName,
    /// How long a connection may be idle, and how long a request head may take.
    pub idle_timeout: IdleTimeout,
    /// The number of open connections.
    pub open_connections: Rc<Cell<usize>>,
    /// The state of the callers that are connected.
    pub callers: Callers,
}

/// Listens on an address.
pub async fn listen(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| Error::new(Code::AddressInUse, format!("{address}: {error}")))
}

/// Accepts connections and answers their requests for as long as the task runs.
pub async fn serve<H, F>(
    spawner: Spawner,
    listener: TcpListener,
    options: ServerOptions,
    handler: H,
) where
    H: Fn(Request<Incoming>, Rc<Caller>) -> F + Clone + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    loop {
        // After an error, which is logged, the next one is tried.
        let _ = accept(&spawner, &listener, &options, &handler).await;
    }
}

/// Accepts connections and answers their requests until `closing` is closed. The connections that are then in the
/// listener's queue are accepted, and the listener is closed.
pub async fn serve_until<H, F>(
    closing: Receiver<()>,
    spawner: Spawner,
    listener: TcpListener,
    options: ServerOptions,
    handler: H,
) where
    H: Fn(Request<Incoming>, Rc<Caller>) -> F + Clone + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    let accepting = async {
        loop {
            // After an error, which is logged, the next one is tried.
            let _ = accept(&spawner, &listener, &options, &handler).await;
        }
    };
    let closed = async {
        let _ = closing.recv().await;
    };
    future::or(accepting, closed).await;
    while let Some(Ok(_)) = future::poll_once(accept(&spawner, &listener, &options, &handler)).await
    {
    }
}

/// Accepts the next connection and answers its requests in a task.
async fn accept<H, F>(
    spawner: &Spawner,
    listener: &TcpListener,
    options: &ServerOptions,
    handler: &H,
) -> std::io::Result<()>
where
    H: Fn(Request<Incoming>, Rc<Caller>) -> F + Clone + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    match listener.accept().await {
        Ok((stream, _)) => {
            let (options, handler) = (options.clone(), handler.clone());
            set_socket_options(&stream);
            options.open_connections.set(options.open_connections.get() + 1);
            spawner.detach(serve_connection(stream, options, handler));
            Ok(())
        }
        Err(error) => {
            let reason = error.to_string();
            log::warn!(reason = reason.as_str(); "a connection cannot be accepted");
            Timer::after(ACCEPT_PAUSE).await;
            Err(error)
        }
    }
}

/// Answers the requests of one connection until it ends. The connection is already counted as open.
pub async fn serve_connection<S, H, F>(stream: S, options: ServerOptions, handler: H)
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
    H: Fn(Request<Incoming>, Rc<Caller>) -> F + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    let caller = options.callers.connect(options.name, options.idle_timeout.current());
    let stream = CallerStream::new(stream, caller.clone());
    let ending = caller.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        caller.begin_request(!request.body().is_end_stream(), is_last_request(&request));
        let (answer, caller) = (handler(request, caller.clone()), caller.clone());
        async move {
            let mut answer = answer.await;
            if caller.is_unread() || caller.is_stopping() {
                answer.headers_mut().insert(CONNECTION, CLOSE);
            }
            caller.begin_answer();
            let answer = answer.map(|body| AccountedBody::new(body, caller));
            Ok::<_, std::convert::Infallible>(answer)
        }
    });
    let mut builder = Builder::new();
    builder
        // The timer of the stream replaces it.
        .header_read_timeout(None)
        .max_buf_size(options.callers.limits().read_ahead);
    let mut connection = builder.serve_connection(FuturesIo::new(stream), service);
    let mut idle_timer = IdleTimer::new(options.idle_timeout.clone());
    let result = future::poll_fn(|cx| {
        ending.set_waker(cx.waker());
        let polled = Pin::new(&mut connection).poll(cx);
        if polled.is_pending() && idle_timer.poll_expired(cx, &ending) {
            ending.expire();
            return Pin::new(&mut connection).poll(cx);
        }
        polled
    })
    .await;
    let cause = ending.log_end(result.err().map_or(ending.unnoted_cause(), |it| cause_of(&it)));
    // The caller's own stream would report the end of the input once more.
    let stream = connection.into_parts().io.into_inner().into_inner();
    match close_kind(cause, &ending) {
        CloseKind::AtOnce => drop(stream),
        // On the heap, because few connections need it.
        CloseKind::InStages => Box::pin(close_in_stages(stream)).await,
        CloseKind::Idle => {
            if Box::pin(close_idle(stream)).await {
                ending.log_crossing(cause);
            }
        }
    }
    options.open_connections.set(options.open_connections.get() - 1);
}

/// Whether the caller said that it sends no request after this one.
fn is_last_request(request: &Request<Incoming>) -> bool {
    let says_close = |value: &HeaderValue| {
        let names = value.to_str().unwrap_or("").split(',');
        names.into_iter().any(|it| it.trim().eq_ignore_ascii_case("close"))
    };
    request.version() == Version::HTTP_10
        || request.headers().get_all(CONNECTION).iter().any(says_close)
}

/// How a connection is closed.
enum CloseKind {
    /// Nothing can be lost.
    AtOnce,
    /// The caller may still send, and may have bytes to read, which a reset would lose.
    InStages,
    /// The caller may still send, and has read everything.
    Idle,
}

fn close_kind(cause: CloseCause, caller: &Caller) -> CloseKind {
    match cause {
        CloseCause::Caller | CloseCause::SlowReader | CloseCause::WriteError => CloseKind::AtOnce,
        CloseCause::LastAnswer if caller.is_last_request() => CloseKind::AtOnce,
        CloseCause::IdleTimeout | CloseCause::Stop => CloseKind::Idle,
        CloseCause::LastAnswer
        | CloseCause::AnswerAborted
        | CloseCause::BadRequest
        | CloseCause::Unread
        | CloseCause::ProcessEnd => CloseKind::InStages,
    }
}

/// Why a connection ended with an error that neither its stream nor its answer has noted.
fn cause_of(error: &hyper::Error) -> CloseCause {
    if error.is_parse() {
        CloseCause::BadRequest
    } else {
        CloseCause::WriteError
    }
}

#[cfg(test)]
mod tests;
