//! The cases with `hyper`, without its runtime, over `smol-hyper`.

use std::convert::Infallible;
use std::net::SocketAddr;

use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_lite::future;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use smol_hyper::rt::{FuturesIo, SmolTimer};

pub async fn serve(listener: std::net::TcpListener) {
    let listener = TcpListener::try_from(listener).expect("the socket can be polled");
    let (stream, _) = listener.accept().await.expect("a caller comes");
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(SmolTimer::new()).max_buf_size(16 * 1024);
    let _ = builder.serve_connection(FuturesIo::new(stream), service_fn(answer)).await;
}

async fn answer(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map(|it| it.to_bytes().len().to_string());
    let body = body.unwrap_or_else(|_| "a bad body".into());
    let repeats = head.headers.get_all("x-a").iter().count();
    let text = format!("saw {} body {body} repeats {repeats}\n", head.uri.path());
    Ok(Response::new(Full::new(text.into())))
}

pub async fn call(address: SocketAddr, requests: usize) -> Vec<String> {
    let mut results = Vec::new();
    let mut idle = None;
    for _ in 0..requests {
        // Leaves time for bytes that a server sends without a request.
        async_io::Timer::after(std::time::Duration::from_millis(30)).await;
        results.push(call_once(address, &mut idle).await.unwrap_or_else(|_| "error".into()));
    }
    results
}

type Sender = hyper::client::conn::http1::SendRequest<Full<Bytes>>;
type Connection = hyper::client::conn::http1::Connection<FuturesIo<TcpStream>, Full<Bytes>>;

async fn call_once(
    address: SocketAddr,
    idle: &mut Option<(Sender, Connection)>,
) -> Result<String, Box<dyn std::error::Error>> {
    let (mut sender, mut connection) = match idle.take() {
        Some(idle) => idle,
        None => {
            let stream = FuturesIo::new(TcpStream::connect(address).await?);
            hyper::client::conn::http1::Builder::new().handshake(stream).await?
        }
    };
    // An idle connection is polled before it is used, so that bytes received without a request are noticed.
    if future::poll_once(&mut connection).await.is_some() {
        return Box::pin(call_once(address, idle)).await;
    }
    let answer = async {
        let request = Request::get("/").header("host", "h").body(Full::default())?;
        let answer = sender.send_request(request).await?;
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await?.to_bytes();
        let text = format!("{status} `{}`", String::from_utf8_lossy(&body));
        Ok::<_, Box<dyn std::error::Error>>(text)
    };
    let drive_connection = async {
        let _ = (&mut connection).await;
        future::pending().await
    };
    let text = future::or(answer, drive_connection).await?;
    *idle = Some((sender, connection));
    Ok(text)
}
