//! The cases with `async-h1`.

use std::net::SocketAddr;

use async_net::{TcpListener, TcpStream};
use http_types::{Body, Request, Response, Url};

pub async fn serve(listener: std::net::TcpListener) {
    let listener = TcpListener::try_from(listener).expect("the socket can be polled");
    let (stream, _) = listener.accept().await.expect("a caller comes");
    let _ = async_h1::accept(stream, answer).await;
}

async fn answer(mut request: Request) -> http_types::Result<Response> {
    let body = request.body_bytes().await.map(|it| it.len().to_string());
    let body = body.unwrap_or_else(|_| "a bad body".into());
    let repeats = request.header("x-a").map_or(0, |it| it.iter().count());
    let text = format!("saw {} body {body} repeats {repeats}\n", request.url().path());
    let mut response = Response::new(200);
    response.set_body(Body::from(text));
    Ok(response)
}

pub async fn call(address: SocketAddr, requests: usize) -> Vec<String> {
    let mut results = Vec::new();
    for _ in 0..requests {
        results.push(call_once(address).await.unwrap_or_else(|_| "error".into()));
    }
    results
}

async fn call_once(address: SocketAddr) -> http_types::Result<String> {
    let stream = TcpStream::connect(address).await?;
    let url = Url::parse(&format!("http://{address}/"))?;
    let mut answer = async_h1::connect(stream, Request::get(url)).await?;
    let body = answer.body_string().await?;
    Ok(format!("{} `{body}`", u16::from(answer.status())))
}
