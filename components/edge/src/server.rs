//! An HTTP server that stops without interrupting requests.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use async_net::TcpListener;
use errors::{Code, Error, Result};
use futures_lite::future;
use futures_lite::io::{AsyncRead, AsyncWrite};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::caller::{AccountedBody, Caller, CallerStream, Callers, ServerName};
use crate::connection_state::CloseCause;
use crate::gateway::AnswerBody;
use crate::http_connection::set_socket_options;
use crate::spawner::Spawner;

/// How long to wait after the system failed to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The settings and state shared by the connections of a server.
#[derive(Clone)]
pub struct ServerOptions {
    /// The server, in logs and metrics.
    pub name: ServerName,
    /// How long a connection may be idle, and how long a request head may take.
    pub idle_timeout: Duration,
    /// Closed when the server stops.
    pub stopping: Receiver<()>,
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
        match listener.accept().await {
            Ok((stream, _)) => {
                let (options, handler) = (options.clone(), handler.clone());
                set_socket_options(&stream);
                spawner.detach(serve_connection(stream, options, handler));
            }
            Err(_) => {
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Answers the requests of one connection until it ends.
pub async fn serve_connection<S, H, F>(stream: S, options: ServerOptions, handler: H)
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
    H: Fn(Request<Incoming>, Rc<Caller>) -> F + 'static,
    F: Future<Output = Response<AnswerBody>> + 'static,
{
    options.open_connections.set(options.open_connections.get() + 1);
    let caller = options.callers.connect(options.name, options.idle_timeout);
    let stream = CallerStream::new(stream, caller.clone());
    let ending = caller.clone();
    let service = service_fn(move |request| {
        caller.begin_request();
        let (answer, caller) = (handler(request, caller.clone()), caller.clone());
        async move {
            let answer = answer.await;
            caller.begin_answer();
            let answer = answer.map(|body| AccountedBody::new(body, caller));
            Ok::<_, std::convert::Infallible>(answer)
        }
    });
    let mut builder = Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(options.idle_timeout)
        .max_buf_size(options.callers.limits().read_ahead);
    let mut connection = std::pin::pin!(builder.serve_connection(FuturesIo::new(stream), service));
    let served = future::or(async { Some(connection.as_mut().await) }, async {
        let _ = options.stopping.recv().await;
        None
    })
    .await;
    let result = match served {
        Some(result) => result,
        None => {
            if !ending.state().has_request() {
                ending.note_end(CloseCause::Stop);
            }
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    ending.log_end(result.err().map_or(ending.unnoted_cause(), |it| cause_of(&it)));
    options.open_connections.set(options.open_connections.get() - 1);
}

/// Why a connection ended with an error that neither its stream nor its answer has noted.
fn cause_of(error: &hyper::Error) -> CloseCause {
    if error.is_timeout() {
        CloseCause::IdleTimeout
    } else if error.is_parse() {
        CloseCause::BadRequest
    } else {
        CloseCause::WriteError
    }
}
