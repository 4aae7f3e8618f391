//! Runners that write whatever bytes a test wants, and a caller that reads whatever bytes come.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use platform_standin::{headers, HOST, KEY};
use serde_json::json;

use crate::machine_address;
use crate::support::Deployment;

/// The machines of the runners in their network.
const MACHINES: [u8; 2] = [40, 41];
/// Their port.
const PORT: u16 = 8001;
/// How much of the beginning of an answer a caller keeps, in bytes.
const MAX_BEGINNING_BYTES: usize = 1000;
/// The last chunk of a body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Adds a service `feed` with two runners and a route `/feed/` of streams. A runner answers each request with what
/// `answer` writes after the head, by the id after which the stream resumes, and then closes the connection.
pub fn add_raw_runners(
    deployment: &Deployment,
    gateway: SocketAddr,
    resumable: bool,
    answer: impl Fn(&mut TcpStream, Option<u64>) -> std::io::Result<()> + Clone + Send + 'static,
) {
    deployment.standin.reconfigure(|it| {
        let mut service = it["services"][1].clone();
        service["name"] = json!("feed");
        it["services"].as_array_mut().unwrap().push(service);
        let mut route = it["routes"][0].clone();
        for (name, value) in [("name", "feed"), ("pathPrefix", "/feed/"), ("service", "feed")] {
            route[name] = json!(value);
        }
        route["resumable"] = json!(resumable);
        it["routes"].as_array_mut().unwrap().push(route);
    });
    for machine in MACHINES {
        let address = SocketAddr::new(machine_address(gateway, machine), PORT);
        let (listener, answer) = (TcpListener::bind(address).unwrap(), answer.clone());
        std::thread::spawn(move || accept(&listener, answer));
        let entry = json!({
            "service": "feed", "address": address, "zone": "a", "version": "v1", "slots": 16,
            "state": "ready", "coldRemainingMs": 0, "sequence": 0,
        });
        deployment.standin.write_row("servers", &format!("f{machine}"), entry);
    }
    std::thread::sleep(Duration::from_millis(1000));
}

/// Answers each connection on a thread of its own.
fn accept(
    listener: &TcpListener,
    answer: impl Fn(&mut TcpStream, Option<u64>) -> std::io::Result<()> + Clone + Send + 'static,
) {
    for stream in listener.incoming() {
        let (stream, answer) = (stream.unwrap(), answer.clone());
        std::thread::spawn(move || serve(stream, answer));
    }
}

/// Answers one request with a body that ends with the connection.
fn serve(
    mut stream: TcpStream,
    answer: impl Fn(&mut TcpStream, Option<u64>) -> std::io::Result<()>,
) -> std::io::Result<()> {
    let (mut id, mut last_event) = (String::new(), None);
    for line in BufReader::new(stream.try_clone()?).lines() {
        let line = line?.to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("request-id: ") {
            value.clone_into(&mut id);
        }
        if let Some(value) = line.strip_prefix("last-event-id: ") {
            last_event = value.parse().ok();
        }
        if line.is_empty() {
            break;
        }
    }
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: f.1.{id}\r\n\
         content-type: text/event-stream\r\n\r\n"
    )?;
    answer(&mut stream, last_event)
}

/// What a caller received.
pub struct RawAnswer {
    /// The first bytes, with the head.
    pub beginning: String,
    /// Whether the last chunk of the body arrived.
    pub is_complete: bool,
    /// The time from sending the request until the end of the connection.
    pub duration: Duration,
}

/// Sends a request for a stream to `/feed/` and reads until the connection ends, or for `timeout`.
pub fn read_feed(
    gateway: SocketAddr,
    deadline: Duration,
    last_event: Option<u64>,
    timeout: Duration,
) -> RawAnswer {
    let mut stream = TcpStream::connect(gateway).unwrap();
    stream.set_read_timeout(Some(timeout)).unwrap();
    let mut head = format!("GET /feed/x HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n");
    for (name, value) in headers("feed-1", KEY, deadline.as_millis() as u64) {
        head += &format!("{name}: {value}\r\n");
    }
    if let Some(event) = last_event {
        head += &format!("last-event-id: {event}\r\n");
    }
    write!(stream, "{head}\r\n").unwrap();
    let begun = Instant::now();
    let (mut beginning, mut end) = (Vec::new(), Vec::new());
    let mut buffer = vec![0; 1 << 20];
    while begun.elapsed() < timeout {
        let Ok(count @ 1..) = stream.read(&mut buffer) else {
            break;
        };
        beginning.extend(buffer[..count].iter().take(MAX_BEGINNING_BYTES - beginning.len()));
        end.extend_from_slice(&buffer[count - count.min(LAST_CHUNK.len())..count]);
        end.drain(..end.len() - end.len().min(LAST_CHUNK.len()));
    }
    RawAnswer {
        beginning: String::from_utf8_lossy(&beginning).into_owned(),
        is_complete: end == LAST_CHUNK,
        duration: begun.elapsed(),
    }
}
