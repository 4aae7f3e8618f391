//! Runners whose reports are none, beside requests that they serve.

use std::io::{copy, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::support::{is_whole_stream, stream, wait_until, Deployment};

/// Port of the proxy in front of a runner.
const PROXY_PORT: u16 = 8031;
/// How long reports stay garbage: longer than gateways use a report.
const GARBAGE_TIME: Duration = Duration::from_millis(1500);
/// The size of a write of a runner that sends without end, in bytes.
const FLOOD_BYTES: usize = 64 * 1024;

/// What a runner sends in place of its report.
#[derive(Clone)]
enum Garbage {
    /// Bytes, and then the end of the connection.
    Bytes(String),
    /// Bytes without end.
    Flood(&'static str),
}

/// A proxy in front of a runner that replaces its reports.
#[derive(Clone, Default)]
struct Proxy(Arc<Mutex<Option<Garbage>>>);

impl Proxy {
    fn set(&self, garbage: Option<Garbage>) {
        *self.0.lock().unwrap() = garbage;
    }

    /// Starts the proxy on the runner's machine.
    fn start(&self, runner: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind((runner.ip(), PROXY_PORT)).unwrap();
        let address = listener.local_addr().unwrap();
        let proxy = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let proxy = proxy.clone();
                thread::spawn(move || proxy.serve(stream.unwrap(), runner));
            }
        });
        address
    }

    /// Serves a connection. A connection carries either reports or other requests.
    fn serve(&self, mut client: TcpStream, runner: SocketAddr) -> Option<()> {
        let head = read_head(&mut client)?;
        let mut upstream = TcpStream::connect(runner).ok()?;
        if !head.starts_with(b"GET /-/report") {
            upstream.write_all(&head).ok()?;
            return pipe(client, upstream);
        }
        let mut head = head;
        loop {
            if let Some(garbage) = self.0.lock().unwrap().clone() {
                return send_garbage(&mut client, &garbage);
            }
            upstream.write_all(&head).ok()?;
            let answer = read_answer(&mut upstream)?;
            client.write_all(&answer).ok()?;
            head = read_head(&mut client)?;
        }
    }
}

fn send_garbage(client: &mut TcpStream, garbage: &Garbage) -> Option<()> {
    match garbage {
        Garbage::Bytes(bytes) => client.write_all(bytes.as_bytes()).ok(),
        Garbage::Flood(bytes) => {
            let flood = bytes.repeat(FLOOD_BYTES.div_ceil(bytes.len()));
            while client.write_all(flood.as_bytes()).is_ok() {}
            None
        }
    }
}

/// Reads up to the empty line that ends a head.
fn read_head(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    Some(head)
}

/// Reads an answer with a length.
fn read_answer(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut answer = read_head(stream)?;
    let head = String::from_utf8_lossy(&answer).to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"))?;
    let mut body = vec![0; length.trim().parse().ok()?];
    stream.read_exact(&mut body).ok()?;
    answer.extend(body);
    Some(answer)
}

fn pipe(client: TcpStream, upstream: TcpStream) -> Option<()> {
    let (mut from_client, mut to_upstream) = (client.try_clone().ok()?, upstream.try_clone().ok()?);
    thread::spawn(move || {
        let _ = copy(&mut from_client, &mut to_upstream);
        let _ = to_upstream.shutdown(std::net::Shutdown::Write);
    });
    let (mut from_upstream, mut to_client) = (upstream, client);
    let _ = copy(&mut from_upstream, &mut to_client);
    to_client.shutdown(std::net::Shutdown::Both).ok()
}

/// A report with a body that is whole.
fn with_body(body: &str) -> Garbage {
    Garbage::Bytes(format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()))
}

/// A report of a runner that holds version 1, with other values in some of its fields.
fn report_with(counts: &str) -> Garbage {
    with_body(&format!(
        "{{\"models\":[{{\"name\":\"m\",\"version\":1}}],\"layers\":{{\"from\":0,\
         \"targetVersion\":4294967295,\"version\":1}},\"busy\":false,{counts}}}"
    ))
}

/// Sends the garbage in place of reports for a while, and expects that the gateway and the sidecar answer meanwhile, and
/// that the runner serves again afterwards. Returns the metrics of the sidecar.
fn check(garbage: Vec<Garbage>) -> String {
    let mut deployment = Deployment::start();
    let proxy = Proxy::default();
    let started = proxy.clone();
    let runner =
        deployment.add_model_runner_behind("e1", Some(1), move |_, runner| started.start(runner));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    for (index, garbage) in garbage.into_iter().enumerate() {
        let serves = |name: &str| {
            let mut number = 0;
            wait_until(name, || {
                number += 1;
                let id = format!("{name}{index}-{number}");
                is_whole_stream(&stream(gateway, &id), &id)
            });
        };
        serves("a");
        proxy.set(Some(garbage));
        thread::sleep(GARBAGE_TIME);
        assert!(!deployment.metrics(runner.ip()).is_empty(), "{index}: the sidecar goes on");
        let answer = stream(gateway, &format!("g{index}"));
        assert_eq!(answer.status, 503, "{index}: the only runner is not used");
        proxy.set(None);
        serves("b");
    }
    deployment.metrics(runner.ip())
}

#[test]
fn a_runner_whose_reports_are_none_serves_again_once_they_are() {
    let deep = format!("{{\"models\":{}", "[".repeat(100_000));
    let metrics = check(vec![
        with_body("no report"),
        with_body(&deep),
        report_with("\"sequence\":0,\"waiting\":4294967295,\"running\":4294967295"),
        report_with("\"sequence\":0,\"waiting\":0,\"running\":0,\"pace\":-1e300"),
        with_body("{\"models\":[],\"busy\":false}"),
        Garbage::Bytes("HTTP/1.1 200 OK\r\ncontent-le".to_owned()),
        Garbage::Bytes("HTTP/1.1 200 OK\r\ncontent-length: -5\r\n\r\n{}".to_owned()),
        Garbage::Bytes("no answer\r\n\r\n".to_owned()),
    ]);
    let counted = metrics.lines().find(|it| it.starts_with("silverdock_malformed_answers_total"));
    assert!(counted.is_some_and(|it| it.contains("source=\"report\"")), "{counted:?}");
}

#[test]
fn reports_without_end_stop_no_sidecar() {
    check(vec![Garbage::Flood("HTTP/1.1 100 Continue\r\n\r\n"), Garbage::Flood("x")]);
}
