//! Tests of callers that send or read slowly.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use platform_standin::{headers, Caller, RunnerFault, HOST, KEY};
use serde_json::json;

use crate::support::{stream, wait_until, Deployment, TEST_TIMEOUT};

/// Maximum body size by the configuration, in bytes.
const MAX_BODY_BYTES: usize = 65_536;
/// Size of an event that exceeds all buffers on the path, in bytes.
const HUGE_EVENT_BYTES: usize = 2_000_000;
/// Timeout of the route of streams, in milliseconds.
const TIMEOUT_MS: u64 = 1500;

/// A connection whose request and answer are written and read in pieces.
struct Connection(TcpStream);

impl Connection {
    fn begin(
        gateway: SocketAddr,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
        body: usize,
    ) -> Self {
        let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\ncontent-length: {body}\r\n");
        for (name, value) in headers(id, KEY, deadline_ms) {
            head += &format!("{name}: {value}\r\n");
        }
        let mut stream = TcpStream::connect(gateway).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.write_all(format!("{head}\r\n").as_bytes()).unwrap();
        Self(stream)
    }

    /// Sends a body in `pieces` pieces with a pause before each. Returns whether all of it was sent without an
    /// error.
    fn send(&mut self, body: usize, pieces: usize, pause: Duration) -> bool {
        let bytes = vec![b'x'; body / pieces];
        (0..pieces).all(|_| {
            thread::sleep(pause);
            self.0.write_all(&bytes).is_ok()
        })
    }

    /// Reads the answer in pieces of at most `piece` bytes with a pause before each.
    fn read(&mut self, piece: usize, pause: Duration) -> String {
        let (mut text, mut buffer) = (Vec::new(), vec![0; piece]);
        loop {
            thread::sleep(pause);
            match self.0.read(&mut buffer) {
                Ok(count @ 1..) => text.extend_from_slice(&buffer[..count]),
                _ => return String::from_utf8_lossy(&text).into_owned(),
            }
        }
    }
}

#[test]
fn a_body_of_maximum_size_can_be_sent_slowly_and_its_answer_read_slowly() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    for machine in [1, 2] {
        let runner = SocketAddr::new(crate::machine_address(gateway, machine), 8001);
        deployment.standin.change_runner(runner, |it| it.padding = MAX_BODY_BYTES);
    }
    let mut connection =
        Connection::begin(gateway, "POST", "/post/x", "slow", 4000, MAX_BODY_BYTES);
    assert!(connection.send(MAX_BODY_BYTES, 16, Duration::from_millis(60)));
    let answer = connection.read(4096, Duration::from_millis(40));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(
        answer.matches('.').count() - 1,
        MAX_BODY_BYTES + 2,
        "the complete body was received"
    );
    assert_eq!(deployment.standin.runs("slow").len(), 1);
}

#[test]
fn a_body_that_is_not_sent_in_time_is_refused_and_does_not_run() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let begun = Instant::now();
    let mut connection = Connection::begin(gateway, "POST", "/post/x", "late", 800, MAX_BODY_BYTES);
    connection.send(1000, 1, Duration::ZERO);
    let answer = connection.read(4096, Duration::ZERO);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(begun.elapsed() < Duration::from_millis(1600), "{:?}", begun.elapsed());
    assert!(deployment.standin.runs("late").is_empty());
}

#[test]
fn a_caller_that_does_not_read_its_stream_holds_a_runner_no_longer_than_the_timeout() {
    let mut deployment = Deployment::start();
    let runner = deployment.add_model_runner("e1", Some(1));
    let gateway = deployment.add_gateway();
    deployment.standin.reconfigure(|it| it["routes"][0]["timeoutMs"] = json!(TIMEOUT_MS));
    deployment.wait_until_ready(gateway);
    wait_until("streams are served", || stream(gateway, "first").is_complete);
    deployment.standin.change_runner(runner, |it| it.padding = HUGE_EVENT_BYTES);
    let _connection = Connection::begin(gateway, "POST", "/s/x", "unread", 8000, 0);
    let is_running = || deployment.standin.runner(runner).is_some_and(|it| it.running > 0);
    wait_until("the runner runs the stream", is_running);
    let begun = Instant::now();
    wait_until("the runner is released", || !is_running());
    let took = begun.elapsed();
    assert!(took < Duration::from_millis(TIMEOUT_MS + 500), "the runner was held for {took:?}");
    let metrics = deployment.metrics(gateway.ip());
    assert!(metrics.contains("silverdock_slow_readers_total"), "{metrics}");
}

#[test]
fn a_stream_that_is_read_slowly_is_resumed_at_another_runner() {
    let mut deployment = Deployment::start();
    let cutting_runner = deployment.add_model_runner("e1", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let padding = 20_000;
    deployment.standin.change_runner(cutting_runner, |it| {
        (it.fault, it.padding) = (RunnerFault::CutAfter(5), padding);
    });
    wait_until("a stream reaches the runner that cuts it off", || {
        !stream(gateway, "first").is_complete && !deployment.standin.runs("first").is_empty()
    });
    let second_runner = deployment.add_model_runner("e2", Some(1));
    deployment.standin.change_runner(second_runner, |it| it.padding = padding);
    let mut number = 0;
    wait_until("a stream that is read slowly is resumed", || {
        number += 1;
        let id = format!("r{number}");
        let mut connection = Connection::begin(gateway, "POST", "/s/x", &id, 4000, 0);
        let answer = connection.read(16_384, Duration::from_millis(20));
        let runs = deployment.standin.runs(&id);
        if runs.len() < 2 {
            return false;
        }
        let events: Vec<usize> =
            (1..=12).filter_map(|it| answer.find(&format!("id: {it}\ndata: {id}/{it}."))).collect();
        assert_eq!(events.len(), 12, "every event was received");
        assert!(
            events.is_sorted() && answer.ends_with("0\r\n\r\n"),
            "events are in order and the stream is complete"
        );
        assert_eq!(answer.matches("data: ").count(), 12, "each event was received once");
        assert_eq!(runs[1].last_event, 5);
        true
    });
    assert_eq!(Caller::new(Method::GET, "/get/x", "g1").call(gateway).status, 200);
}
