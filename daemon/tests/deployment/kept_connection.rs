//! Connections of callers on which bytes are sent and read as the test says.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use platform_standin::{headers, HOST, KEY};

use crate::support::TEST_TIMEOUT;

/// The deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 4000;
/// The time between the head of a request and its body.
const BODY_DELAY: Duration = Duration::from_millis(30);
/// The pause between two pieces of a large body.
const PIECE_PAUSE: Duration = Duration::from_millis(2);
/// Size of a piece of a large body, in bytes.
const PIECE_BYTES: usize = 16_384;

/// A connection of a caller that is kept for several requests.
pub struct KeptConnection(TcpStream);

/// An answer with a length.
#[derive(Debug)]
pub struct RawAnswer {
    pub status: u16,
    pub announces_close: bool,
    pub retry_after: Option<String>,
    pub body: String,
}

impl KeptConnection {
    /// Opens a connection to a gateway.
    pub fn open(gateway: SocketAddr) -> Self {
        let stream = TcpStream::connect(gateway).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Self(stream)
    }

    /// The head of a request.
    pub fn head(path: &str, id: &str, deadline_ms: u64, body_bytes: usize) -> String {
        let mut head =
            format!("POST {path} HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: {body_bytes}\r\n");
        for (name, value) in headers(id, KEY, deadline_ms) {
            head += &format!("{name}: {value}\r\n");
        }
        head + "\r\n"
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("the bytes are taken");
    }

    /// Sends a body in pieces.
    pub fn send_body(&mut self, bytes: usize) {
        let body = vec![b'x'; bytes];
        for piece in body.chunks(PIECE_BYTES) {
            thread::sleep(PIECE_PAUSE);
            self.send(piece);
        }
    }

    /// Reads an answer with a length.
    pub fn read_answer(&mut self) -> RawAnswer {
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
            retry_after: header("retry-after"),
            announces_close: header("connection").is_some_and(|it| it == "close"),
            body: String::from_utf8(body).unwrap(),
        }
    }

    /// Sends a request whose body follows its head after a while.
    pub fn call(&mut self, path: &str, id: &str, body_bytes: usize) -> RawAnswer {
        self.send(Self::head(path, id, DEADLINE_MS, body_bytes).as_bytes());
        thread::sleep(BODY_DELAY);
        self.send_body(body_bytes);
        self.read_answer()
    }

    /// Whether the gateway has closed the connection, and not reset it.
    pub fn ends_without_reset(&mut self) -> bool {
        match self.0.read(&mut [0]) {
            Ok(0) => true,
            Ok(_) => panic!("bytes after the answer"),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => false,
            Err(error) => panic!("{error}"),
        }
    }

    /// Reads until the gateway closes the connection.
    pub fn read_to_end(&mut self) -> std::io::Result<String> {
        let mut bytes = Vec::new();
        self.0.read_to_end(&mut bytes)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Reads at most this many bytes after a pause. Returns whether the connection is still open.
    pub fn read_some(&mut self, bytes: usize, pause: Duration) -> bool {
        thread::sleep(pause);
        let mut buffer = vec![0; bytes];
        matches!(self.0.read(&mut buffer), Ok(1..))
    }
}
