//! Tests of refusals that are decided before the request was read, on the bytes of a connection.
//!
//! The failure: the refusal was sent while the body was still on its way, and the connection was closed without an
//! announcement and with unread bytes, which resets it. The caller lost the refusal, or its next request.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use platform_standin::{headers, StoreFault, HOST, KEY};

use crate::support::{wait_until, Deployment, TEST_TIMEOUT};

/// The time between the head of a request and its body.
const BODY_DELAY: Duration = Duration::from_millis(30);
/// The pause between two pieces of a large body.
const PIECE_PAUSE: Duration = Duration::from_millis(2);
/// Size of a piece of a large body, in bytes.
const PIECE_BYTES: usize = 16_384;
/// A body that exceeds the read buffer of a connection, in bytes.
const LARGE_BODY_BYTES: usize = 60_000;
/// A body that exceeds the limit of the configuration and the buffers of a socket, in bytes.
const EXCESSIVE_BODY_BYTES: usize = 6_000_000;

/// A connection of a caller that is kept for several requests.
struct KeptConnection(TcpStream);

/// An answer with a length.
#[derive(Debug)]
struct RawAnswer {
    status: u16,
    announces_close: bool,
    body: String,
}

impl KeptConnection {
    fn open(gateway: SocketAddr) -> Self {
        let stream = TcpStream::connect(gateway).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Self(stream)
    }

    fn send_head(&mut self, path: &str, id: &str, body_bytes: usize) {
        let mut head =
            format!("POST {path} HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: {body_bytes}\r\n");
        for (name, value) in headers(id, KEY, 4000) {
            head += &format!("{name}: {value}\r\n");
        }
        self.0.write_all(format!("{head}\r\n").as_bytes()).expect("the head is sent");
    }

    fn send_body(&mut self, bytes: usize) {
        let body = vec![b'x'; bytes];
        for piece in body.chunks(PIECE_BYTES) {
            thread::sleep(PIECE_PAUSE);
            self.0.write_all(piece).expect("the body is taken");
        }
    }

    fn read_answer(&mut self) -> RawAnswer {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.0.read_exact(&mut byte).expect("a whole head arrives");
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).unwrap().to_lowercase();
        let header = |name: &str| {
            let line = head.lines().find(|it| it.starts_with(&format!("{name}:")));
            line.and_then(|it| it.split_once(':')).map(|it| it.1.trim().to_owned())
        };
        let length = header("content-length").expect("the answer has a length").parse().unwrap();
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).expect("the whole body arrives");
        RawAnswer {
            status: head.split(' ').nth(1).unwrap().parse().unwrap(),
            announces_close: header("connection").is_some_and(|it| it == "close"),
            body: String::from_utf8(body).unwrap(),
        }
    }

    /// Sends a request whose body follows its head after a while.
    fn call(&mut self, path: &str, id: &str, body_bytes: usize) -> RawAnswer {
        self.send_head(path, id, body_bytes);
        thread::sleep(BODY_DELAY);
        self.send_body(body_bytes);
        self.read_answer()
    }

    /// Whether the gateway has closed the connection, and not reset it.
    fn ends_without_reset(&mut self) -> bool {
        match self.0.read(&mut [0]) {
            Ok(0) => true,
            Ok(_) => panic!("bytes after the answer"),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => false,
            Err(error) => panic!("{error}"),
        }
    }
}

#[test]
fn a_request_without_a_route_does_not_lose_its_refusal_nor_the_next_request() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    for body_bytes in [8, LARGE_BODY_BYTES] {
        let mut connection = KeptConnection::open(gateway);
        for number in 0..3 {
            let refused = connection.call("/nowhere/x", &format!("n{number}"), body_bytes);
            assert_eq!(refused.status, 404, "{refused:?}");
            assert!(refused.body.contains("UnknownTarget") && !refused.announces_close);
        }
        let served = connection.call("/post/x", &format!("s{body_bytes}"), 8);
        assert_eq!(served.status, 200, "{served:?}");
    }
}

#[test]
fn a_request_to_a_gateway_without_a_configuration_does_not_lose_its_refusal() {
    let mut deployment = Deployment::start();
    deployment.standin.set_store_fault(StoreFault::Busy);
    let gateway = deployment.add_gateway();
    wait_until("the gateway listens", || TcpStream::connect(gateway).is_ok());
    let mut connection = KeptConnection::open(gateway);
    for number in 0..3 {
        let refused = connection.call("/post/x", &format!("u{number}"), LARGE_BODY_BYTES);
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.body.contains("NotReady") && !refused.announces_close);
    }
}

#[test]
fn a_caller_whose_body_is_too_large_does_not_lose_its_refusal_to_a_reset() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let mut connection = KeptConnection::open(gateway);
    let refused = connection.call("/post/x", "large", EXCESSIVE_BODY_BYTES);
    assert_eq!(refused.status, 413, "{refused:?}");
    assert!(refused.announces_close, "{refused:?}");
    assert!(connection.ends_without_reset());
}
