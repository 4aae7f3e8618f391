//! Tests of a runner that sends bytes without end, as fast as it can, to a gateway as a process.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use platform_standin::{Answer, Caller};
use serde_json::json;

use crate::machine_address;
use crate::support::{wait_until, Deployment};

/// How long the runner sends on one connection, unless the gateway closes it.
const FLOOD_TIME: Duration = Duration::from_secs(6);
/// Number of parts that the runner writes at once.
const BATCH_PARTS: u64 = 4096;
/// Machine and port of the runner.
const FLOODING_RUNNER: (u8, u16) = (41, 8001);
/// The time limit of the flooded route.
const TIME_LIMIT: Duration = Duration::from_millis(1500);
/// How much later than its time limit the answer to a flooded request may be complete.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How much longer requests may take beside a flood than at a gateway without one: the latency target of their route.
const TARGET: Duration = Duration::from_millis(400);
/// How long requests are sent beside a flooded one.
const OBSERVED_PERIOD: Duration = Duration::from_millis(2000);
/// The largest part of the processor that a flood may take.
const MAX_PROCESSOR_SHARE: f64 = 0.5;

const HEAD: &str = "HTTP/1.1 200 OK\r\nresponse-stamp: f1.1\r\nrequest-id: {id}\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

/// What a runner sends on each connection, behind the head of a request.
#[derive(Clone)]
struct Flood {
    /// Sent once.
    start: String,
    /// The parts that follow.
    parts: Parts,
}

#[derive(Clone)]
enum Parts {
    /// The same part again and again.
    Same(&'static str),
    /// Parts by their number.
    Numbered(fn(u64) -> String),
}

impl Parts {
    /// A batch of parts that begins with this number.
    fn batch(&self, first: u64) -> String {
        match self {
            Self::Same(part) => part.repeat(BATCH_PARTS as usize),
            Self::Numbered(part) => (first..first + BATCH_PARTS).map(part).collect(),
        }
    }
}

impl Flood {
    fn new(start: impl Into<String>, part: &'static str) -> Self {
        Self { start: start.into(), parts: Parts::Same(part) }
    }

    /// Accepts connections and floods them.
    fn serve(self, address: SocketAddr) {
        let listener = TcpListener::bind(address).unwrap();
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let flood = self.clone();
                thread::spawn(move || flood.send(connection));
            }
        });
    }

    /// Sends until the peer closes the connection or the time is over.
    fn send(&self, mut connection: TcpStream) -> std::io::Result<()> {
        let until = Instant::now() + FLOOD_TIME;
        let mut request = [0; 4096];
        connection.set_write_timeout(Some(FLOOD_TIME))?;
        let length = connection.read(&mut request)?;
        let request = String::from_utf8_lossy(&request[..length]);
        let id = request.lines().find_map(|it| it.strip_prefix("request-id: ")).unwrap_or("");
        connection.write_all(self.start.replace("{id}", id).as_bytes())?;
        let mut first = 1;
        while Instant::now() < until {
            connection.write_all(self.parts.batch(first).as_bytes())?;
            first += BATCH_PARTS;
        }
        Ok(())
    }
}

/// What happened while a request was flooded.
#[derive(Debug)]
struct Observed {
    flooded: Answer,
    /// The requests beside the flooded one.
    beside: Vec<(u16, Duration)>,
    /// The same requests at a gateway without a flood, which show what the machine takes.
    apart: Vec<(u16, Duration)>,
    processor_share: f64,
}

impl Observed {
    fn assert_bounded(&self) {
        assert!(self.beside.iter().all(|it| it.0 == 200), "others are served: {:?}", self.beside);
        let (beside, apart) = (slowest(&self.beside), slowest(&self.apart));
        assert!(beside < apart + TARGET, "others are served in time: {beside:?}, apart {apart:?}");
        let took = self.flooded.duration;
        assert!(took < TIME_LIMIT + ANSWER_SLACK, "the flooded caller is answered: {took:?}");
        let share = self.processor_share;
        assert!(share < MAX_PROCESSOR_SHARE, "the gateway used {share} of a processor");
    }

    /// The caller of a plain answer gets an error of the gateway in place of it.
    fn assert_rejected(&self) {
        self.assert_bounded();
        assert!([502, 504].contains(&self.flooded.status), "{:?}", self.flooded);
    }
}

/// The longest duration of an answer with status 200.
fn slowest(answers: &[(u16, Duration)]) -> Duration {
    answers.iter().filter(|it| it.0 == 200).map(|it| it.1).max().expect("requests are served")
}

/// Sends plain requests one after the other, and returns their statuses and durations.
fn send_requests(gateway: SocketAddr, name: &str, until: Instant) -> Vec<(u16, Duration)> {
    let mut answers = Vec::new();
    while Instant::now() < until {
        let id = format!("{name}{}", answers.len());
        let answer = Caller::new(Method::GET, "/get/x", &id).call(gateway);
        answers.push((answer.status, answer.duration));
        thread::sleep(Duration::from_millis(20));
    }
    answers
}

/// Sends a request to a runner that floods, others beside it, and the same ones to another gateway.
fn observe(kind: &str, flood: Flood) -> Observed {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    let other = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    deployment.wait_until_ready(other);
    let (machine, port) = FLOODING_RUNNER;
    let runner = SocketAddr::new(machine_address(gateway, machine), port);
    flood.serve(runner);
    let entry = json!({
        "service": "flooded", "address": runner, "zone": "a", "version": "v1", "slots": 16,
        "state": "ready", "coldRemainingMs": 0, "sequence": 0,
    });
    deployment.standin.reconfigure(|it| add_route(it, kind));
    wait_until("the route is known", || {
        Caller::new(Method::GET, "/flooded/x", "").call(gateway).status != 404
    });
    deployment.standin.write_row("servers", "f1", entry);
    wait_until("the runner is known", || {
        let metrics = deployment.metrics(gateway.ip());
        let listed = metrics.lines().find(|it| it.contains("name=\"runners_listed\""));
        listed.is_some_and(|it| it.ends_with(" 3"))
    });
    let used = deployment.processor_time(gateway.ip());
    let begun = Instant::now();
    let flooded =
        thread::spawn(move || Caller::new(Method::GET, "/flooded/x", "flooded").call(gateway));
    let until = begun + OBSERVED_PERIOD;
    let apart = thread::spawn(move || send_requests(other, "a", until));
    let beside = send_requests(gateway, "b", until);
    let used = deployment.processor_time(gateway.ip()) - used;
    let processor_share = used.as_secs_f64() / begun.elapsed().as_secs_f64();
    let (flooded, apart) = (flooded.join().unwrap(), apart.join().unwrap());
    Observed { flooded, beside, apart, processor_share }
}

/// Adds a route and a service without runners, both with the name `flooded`.
pub fn add_route(configuration: &mut serde_json::Value, kind: &str) {
    let mut route = configuration["routes"][1].clone();
    route["name"] = json!("flooded");
    route["kind"] = json!(kind);
    route["pathPrefix"] = json!("/flooded/");
    route["service"] = json!("flooded");
    route["timeoutMs"] = json!(TIME_LIMIT.as_millis() as u64);
    let mut service = configuration["services"][1].clone();
    service["name"] = json!("flooded");
    configuration["routes"].as_array_mut().unwrap().push(route);
    configuration["services"].as_array_mut().unwrap().push(service);
}

#[test]
fn interim_answers_without_end_stop_neither_other_requests_nor_timers() {
    let flood = Flood::new("", "HTTP/1.1 100 Continue\r\n\r\n");
    observe("safe", flood).assert_rejected();
}

#[test]
fn a_head_without_end_stops_neither_other_requests_nor_timers() {
    let flood = Flood::new(HEAD, "x-more: and more\r\n");
    observe("safe", flood).assert_rejected();
}

#[test]
fn small_chunks_without_end_stop_neither_other_requests_nor_timers() {
    let flood = Flood::new(format!("{HEAD}{CHUNKED}"), "1\r\nx\r\n");
    observe("safe", flood).assert_rejected();
}

#[test]
fn trailers_without_end_stop_neither_other_requests_nor_timers() {
    let start = format!("{HEAD}{CHUNKED}0\r\n");
    let flood = Flood::new(start, "x-more: and more\r\n");
    observe("safe", flood).assert_rejected();
}

#[test]
fn a_body_without_end_stops_neither_other_requests_nor_timers() {
    let flood = Flood::new(format!("{HEAD}\r\n"), "and more ");
    observe("safe", flood).assert_rejected();
}

#[test]
fn an_error_answer_without_end_stops_neither_other_requests_nor_timers() {
    let start = format!("{}{CHUNKED}", HEAD.replace("200 OK", "500 Failed"));
    let flood = Flood::new(start, "1\r\nx\r\n");
    observe("safe", flood).assert_rejected();
}

#[test]
fn a_stream_without_end_stops_neither_other_requests_nor_timers() {
    let event = |number| format!("id: {number}\ndata: and more\n\n");
    let flood = Flood { start: format!("{HEAD}\r\n"), parts: Parts::Numbered(event) };
    observe("stream", flood).assert_bounded();
}
