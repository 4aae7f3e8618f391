//! `hyper` without its runtime, over `smol-hyper`.

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
    let mut got = Vec::new();
    let mut kept = None;
    for _ in 0..requests {
        // Time for what a server sends unasked.
        async_io::Timer::after(std::time::Duration::from_millis(30)).await;
        got.push(one(address, &mut kept).await.unwrap_or_else(|_| "error".into()));
    }
    got
}

type Sender = hyper::client::conn::http1::SendRequest<Full<Bytes>>;
type Connection = hyper::client::conn::http1::Connection<FuturesIo<TcpStream>, Full<Bytes>>;

async fn one(
    address: SocketAddr,
    kept: &mut Option<(Sender, Connection)>,
) -> Result<String, Box<dyn std::error::Error>> {
    let (mut sender, mut connection) = match kept.take() {
        Some(kept) => kept,
        None => {
            let stream = FuturesIo::new(TcpStream::connect(address).await?);
            hyper::client::conn::http1::Builder::new().handshake(stream).await?
        }
    };
    // A kept connection is polled before it is used, so that unasked bytes are seen.
    if future::poll_once(&mut connection).await.is_some() {
        return Box::pin(one(address, kept)).await;
    }
    let answer = async {
        let request = Request::get("/").header("host", "h").body(Full::default())?;
        let answer = sender.send_request(request).await?;
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await?.to_bytes();
        let text = format!("{status} `{}`", String::from_utf8_lossy(&body));
        Ok::<_, Box<dyn std::error::Error>>(text)
    };
    let drive = async {
        let _ = (&mut connection).await;
        future::pending().await
    };
    let text = future::or(answer, drive).await?;
    *kept = Some((sender, connection));
    Ok(text)
}
