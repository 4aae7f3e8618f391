//! Tests of `client`.

use super::*;
use async_net::TcpListener;
use futures_lite::future::{block_on, zip};
use futures_lite::io::AsyncWriteExt;
use http_types::{Method, Url};

/// Sends a request to a peer that answers with `raw` and closes.
fn fetch(raw: &'static str) -> Result<Answer> {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut head = [0; 1024];
            let _ = stream.read(&mut head).await.unwrap();
            stream.write_all(raw.as_bytes()).await.unwrap();
        };
        let call = async {
            let url = Url::parse(&format!("http://{address}/")).unwrap();
            let deadline = Deadline::after(Duration::from_secs(10));
            let response = send(address, Request::new(Method::Get, url), deadline).await?;
            read_body(response, 100, deadline).await
        };
        zip(serve, call).await.1
    })
}

#[test]
fn can_read_a_whole_body() {
    let answer = fetch("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello").unwrap();
    assert_eq!(answer.body, b"hello");
}

#[test]
fn errors_on_a_body_shorter_than_its_length() {
    let answer = fetch("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello");
    assert_eq!(answer.unwrap_err().code, Code::CutShort);
}

#[test]
fn errors_on_a_chunked_body_without_its_end() {
    let answer = fetch("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n");
    assert_eq!(answer.unwrap_err().code, Code::CutShort);
}

#[test]
fn errors_on_an_answer_cut_in_its_head() {
    let answer = fetch("HTTP/1.1 200 OK\r\ncontent-le");
    assert_eq!(answer.unwrap_err().code, Code::ConnectionLost);
}

#[test]
fn errors_as_unreachable_when_nobody_listens() {
    let request = Request::new(Method::Get, Url::parse("http://127.0.0.1:1/").unwrap());
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let deadline = Deadline::after(Duration::from_secs(10));
    let error = block_on(send(address, request, deadline)).unwrap_err();
    assert_eq!(error.code, Code::Unreachable);
}
