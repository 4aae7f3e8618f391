use super::*;
use async_net::TcpListener;
use futures_lite::future::{block_on, zip};
use futures_lite::io::AsyncReadExt;
use http_types::{Method, Url};

/// Sends a request to a server that responds with `raw` and closes the connection.
fn fetch(raw: &'static str) -> Result<HttpResponse> {
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
fn a_complete_body_is_read() {
    let answer = fetch("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello").unwrap();
    assert_eq!(answer.body, b"hello");
}

#[test]
fn a_body_shorter_than_its_content_length_is_an_error() {
    let answer = fetch("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello");
    assert_eq!(answer.unwrap_err().code, Code::CutShort);
}

#[test]
fn a_chunked_body_without_its_end_is_an_error() {
    let answer = fetch("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n");
    assert_eq!(answer.unwrap_err().code, Code::CutShort);
}

#[test]
fn a_response_with_a_truncated_head_is_an_error() {
    let answer = fetch("HTTP/1.1 200 OK\r\ncontent-le");
    assert_eq!(answer.unwrap_err().code, Code::ConnectionLost);
}

#[test]
fn a_call_to_a_closed_port_fails_as_unreachable() {
    let request = Request::new(Method::Get, Url::parse("http://127.0.0.1:1/").unwrap());
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let deadline = Deadline::after(Duration::from_secs(10));
    let error = block_on(send(address, request, deadline)).unwrap_err();
    assert_eq!(error.code, Code::Unreachable);
}
