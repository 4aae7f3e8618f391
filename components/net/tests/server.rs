//! The limits of the server, and the behaviour of `async-h1` for invalid and truncated messages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_net::TcpStream;
use async_trait::async_trait;
use errors::Code;
use futures_lite::future::block_on;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use http_types::{Method, Request, Response, StatusCode, Url};
use net::{
    read_body, send, stream_body, Caller, Deadline, Handler, Reply, Server, ServerLimits, Tasks,
};

const MAX_BODY_BYTES: u64 = 1000;
/// Number of connections in the listener's queue.
const QUEUED_CONNECTIONS: usize = 5;
/// A body that exceeds the buffers of a socket.
const LARGE_BODY_BYTES: usize = 6_000_000;

/// A handler whose behaviour depends on the path.
struct TestHandler(Tasks);

#[async_trait]
impl Handler for TestHandler {
    async fn handle(&self, mut request: Request, caller: Caller) -> Reply {
        let mut response = Response::new(StatusCode::Ok);
        match request.url().path() {
            "/echo" => match request.body_bytes().await {
                Ok(body) => response.set_body(body),
                Err(_) => return Reply::CloseConnection,
            },
            "/cut" | "/whole" => {
                let whole = request.url().path() == "/whole";
                let (sender, body) = stream_body(1);
                self.0.spawn(async move {
                    sender.send(b"first".to_vec()).await;
                    sender.send(b"second".to_vec()).await;
                    if whole {
                        sender.finish();
                    }
                });
                response.set_body(body);
            }
            "/wait-for-caller" => {
                caller.disconnected().await;
                return Reply::CloseConnection;
            }
            _ => return Reply::CloseConnection,
        }
        Reply::Answer(response)
    }
}

/// Runs a test against a server.
fn with_server<F: std::future::Future<Output = ()>>(test: impl FnOnce(Arc<Server>) -> F) {
    let executor = Arc::new(Executor::new());
    let tasks = Tasks::new(&executor);
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let limits = ServerLimits { body_bytes: MAX_BODY_BYTES, ..ServerLimits::default() };
    let handler = Arc::new(TestHandler(tasks.clone()));
    block_on(executor.run(async {
        let server = Server::start(&tasks, listen, limits, handler).await.unwrap();
        test(Arc::new(server)).await;
    }));
}

async fn post(server: &Server, path: &str, body: Vec<u8>) -> errors::Result<net::HttpResponse> {
    let url = Url::parse(&format!("http://{}{path}", server.address())).unwrap();
    let mut request = Request::new(Method::Post, url);
    request.set_body(body);
    let deadline = Deadline::after(Duration::from_secs(30));
    read_body(send(server.address(), request, deadline).await?, 10_000, deadline).await
}

/// Sends raw bytes and reads until the connection is closed.
async fn send_raw(server: &Server, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn a_body_within_the_limit_is_echoed() {
    with_server(|server| async move {
        let answer = post(&server, "/echo", vec![7; 1000]).await.unwrap();
        assert_eq!(answer.body, vec![7; 1000]);
    });
}

#[test]
fn a_body_beyond_the_limit_is_rejected_with_a_code() {
    with_server(|server| async move {
        let answer = post(&server, "/echo", vec![7; 1001]).await.unwrap();
        assert_eq!(answer.status, 413);
        assert!(String::from_utf8_lossy(&answer.body).contains("111"));
    });
}

#[test]
fn the_rejection_of_a_large_body_is_not_lost_to_a_reset() {
    with_server(|server| async move {
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        let head =
            format!("POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: {LARGE_BODY_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&vec![7; LARGE_BODY_BYTES]).await.expect("the body is taken");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("the connection is not reset");
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    });
}

#[test]
fn a_chunked_body_beyond_the_limit_is_not_accepted() {
    with_server(|server| async move {
        let head = "POST /echo HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
        let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000));
        let answer = send_raw(&server, (head.to_owned() + &chunk.repeat(20)).as_bytes()).await;
        assert!(!answer.contains("200 OK"), "{answer}");
    });
}

#[test]
fn an_invalid_head_is_rejected_with_a_code() {
    with_server(|server| async move {
        let answer = send_raw(&server, b"NOT HTTP AT ALL\r\n\r\n").await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert!(answer.contains("silverdock-code: 100"), "{answer}");
    });
}

#[test]
fn a_head_beyond_the_limit_of_the_library_is_rejected() {
    with_server(|server| async move {
        let head = format!("GET /echo HTTP/1.1\r\nhost: x\r\nlong: {}\r\n\r\n", "y".repeat(9000));
        let answer = send_raw(&server, head.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    });
}

#[test]
fn a_caller_can_tell_a_truncated_stream_from_a_complete_one() {
    with_server(|server| async move {
        let whole = post(&server, "/whole", Vec::new()).await.unwrap();
        assert_eq!(whole.body, b"firstsecond");
        let cut = post(&server, "/cut", Vec::new()).await.unwrap_err();
        assert_eq!(cut.code, Code::CutShort);
    });
}

#[test]
fn a_disconnect_of_the_caller_is_detected() {
    with_server(|server| async move {
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        stream.write_all(b"GET /wait-for-caller HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
        while server.in_progress() == 0 {
            futures_lite::future::yield_now().await;
        }
        drop(stream);
        server.drain().await;
    });
}

#[test]
fn connections_in_the_queue_of_a_stopping_server_are_not_reset() {
    with_server(|server| async move {
        // The server waits for a connection before there is one.
        post(&server, "/echo", vec![7]).await.unwrap();
        let queued: Vec<_> = (0..QUEUED_CONNECTIONS)
            .map(|_| std::net::TcpStream::connect(server.address()).unwrap())
            .collect();
        server.stop();
        for connection in queued {
            let mut stream = TcpStream::try_from(connection).unwrap();
            stream.write_all(b"GET /echo HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.expect("the connection is not reset");
            assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("close"), "{answer}");
        }
    });
}

#[test]
fn no_connection_is_accepted_after_a_stop() {
    with_server(|server| async move {
        server.stop();
        server.drain().await;
        let refused = loop {
            // The listener is closed when its task is dropped, shortly after the stop.
            match post(&server, "/echo", Vec::new()).await {
                Err(error) if error.code == Code::Unreachable => break error,
                _ => futures_lite::future::yield_now().await,
            }
        };
        assert_eq!(refused.code, Code::Unreachable);
    });
}
