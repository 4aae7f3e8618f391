//! The cases, and the raw sockets that send or receive their bytes.

use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Read timeout of a raw socket; after it the peer is taken to have sent everything.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Bytes sent to a server.
pub struct ServerCase {
    pub name: &'static str,
    pub expected: &'static str,
    pub bytes: fn() -> String,
}

/// What a server sends to a client: for each request, the response bytes, and whether the connection is closed
/// after them.
pub struct ClientCase {
    pub name: &'static str,
    pub expected: &'static str,
    pub script: Script,
}

/// For each request: the bytes written after its head has been read, and whether the connection is closed after
/// them.
pub type Script = &'static [(&'static str, bool)];

pub const SERVER_CASES: &[ServerCase] = &[
    ServerCase { name: "a head of 100 KB", expected: "431 or closed", bytes: long_head },
    ServerCase {
        name: "two lengths that differ",
        expected: "400",
        bytes: || {
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 40\r\n\r\nabc"
                .into()
        },
    },
    ServerCase {
        name: "a length and chunks, a request behind",
        expected: "400, or chunks rule and close",
        bytes: || {
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n".into()
        },
    },
    ServerCase {
        name: "a header twice",
        expected: "both values",
        bytes: || {
            "GET / HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nX-A: 2\r\nContent-Length: 0\r\n\r\n".into()
        },
    },
    ServerCase {
        name: "two requests at once",
        expected: "two answers in order",
        bytes: || "GET /one HTTP/1.1\r\nHost: h\r\n\r\nGET /two HTTP/1.1\r\nHost: h\r\n\r\n".into(),
    },
    ServerCase {
        name: "Connection: close",
        expected: "answer, then closed",
        bytes: || "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".into(),
    },
    ServerCase {
        name: "a bad chunk length",
        expected: "400 or closed",
        bytes: || {
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"
                .into()
        },
    },
];

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";

pub const CLIENT_CASES: &[ClientCase] = &[
    ClientCase {
        name: "neither length nor chunks",
        expected: "the body up to the end",
        script: &[("HTTP/1.1 200 OK\r\n\r\nabcdef", true)],
    },
    ClientCase {
        name: "cut before its length",
        expected: "an error",
        script: &[("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", true)],
    },
    ClientCase {
        name: "cut within its chunks",
        expected: "an error",
        script: &[("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true)],
    },
    ClientCase {
        name: "100 before the answer",
        expected: "the answer",
        script: &[("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", true)],
    },
    ClientCase {
        name: "two requests",
        expected: "one connection",
        script: &[(OK_RESPONSE, false), (OK_RESPONSE, false)],
    },
    ClientCase {
        name: "one answer too many, then a request",
        expected: "not the extra one",
        script: &[
            ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra", false),
            (OK_RESPONSE, false),
        ],
    },
    ClientCase {
        name: "bytes that are no answer",
        expected: "an error",
        script: &[("\u{1}\u{2}nonsense\r\n\r\n", true)],
    },
];

fn long_head() -> String {
    let filler = "x".repeat(1000);
    let headers: String = (0..100).map(|it| format!("X-{it}: {filler}\r\n")).collect();
    format!("GET / HTTP/1.1\r\nHost: h\r\n{headers}\r\n")
}

/// Sends bytes to a server and returns a one-line summary of the response.
pub fn run_server_case<F>(bytes: &str, serve: fn(std::net::TcpListener) -> F) -> String
where
    F: Future<Output = ()> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("a bound socket has an address");
    thread::spawn(move || async_io::block_on(serve(listener)));
    let mut stream = TcpStream::connect(address).expect("the server listens");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout can be set");
    let _ = stream.write_all(bytes.as_bytes());
    let (mut answer, mut buffer) = (Vec::new(), [0; 4096]);
    let closed = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break true,
            Ok(length) => answer.extend_from_slice(&buffer[..length]),
            Err(error) => break error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    };
    let text = String::from_utf8_lossy(&answer);
    let heads = text.split("HTTP/1.1 ").skip(1).map(|it| it[..3.min(it.len())].to_owned());
    let bodies = text.lines().filter_map(|it| it.strip_prefix("saw ")).map(str::to_owned);
    let mut parts: Vec<String> = heads.chain(bodies).collect();
    parts.push(if closed { "closed".into() } else { "open".into() });
    parts.join(", ")
}

/// Lets a client call a server that follows a script. Returns a one-line summary of what the client received.
pub fn run_client_case<F>(script: Script, call: fn(SocketAddr, usize) -> F) -> String
where
    F: Future<Output = Vec<String>>,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("a bound socket has an address");
    let server = thread::spawn(move || run_script(&listener, script));
    let mut results = async_io::block_on(call(address, script.len()));
    let connections = server.join().unwrap_or(0);
    if script.len() > 1 {
        results.push(format!("{connections} connections"));
    }
    results.join(", ")
}

/// Runs a script as the server and returns the number of connections that it took.
fn run_script(listener: &TcpListener, script: Script) -> usize {
    let (mut connections, mut next) = (0, 0);
    while next < script.len() {
        let Ok((mut stream, _)) = listener.accept() else {
            return connections;
        };
        connections += 1;
        let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
        let mut buffer = [0; 4096];
        while next < script.len() {
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(_) => {}
            }
            let (bytes, close) = script[next];
            next += 1;
            let _ = stream.write_all(bytes.as_bytes());
            if close {
                break;
            }
        }
    }
    connections
}
