//! Engines that take orders and report their load, but send no answer, or no whole one, to completions.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use lab::Outcome;
use standins::EngineOptions;

use crate::support::{retry, Daemon, TestCluster, OPERATOR_TOKEN};

/// The number of tokens of a completion.
const TOKENS: u32 = 4;
/// The number of callers beside an engine in trouble.
const CALLERS: usize = 4;
/// How long a caller waits for an entry that answers early.
const EARLY: Duration = Duration::from_secs(15);
/// The size of a write of an engine that sends without end, in bytes.
const FLOOD_BYTES: usize = 64 * 1024;
/// The head of a chunked stream.
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// What the engine sends to completions: some bytes, and then others until the connection closes, or none.
#[derive(Clone, Copy)]
struct Garbage {
    bytes: &'static str,
    flood: &'static str,
}

const fn closes_after(bytes: &'static str) -> Garbage {
    Garbage { bytes, flood: "" }
}

/// Bytes without end, where an answer or a chunk of it is expected.
const FLOODS: [Garbage; 3] = [
    Garbage { bytes: "", flood: "HTTP/1.1 100 Continue\r\n\r\n" },
    Garbage { bytes: "HTTP/1.1 200 OK\r\nx-header: ", flood: "v" },
    Garbage { bytes: CHUNKED, flood: "0" },
];

/// Starts the engine.
fn start_engine(garbage: Garbage) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || serve(stream.unwrap(), garbage));
        }
    });
    address
}

fn serve(mut stream: TcpStream, garbage: Garbage) {
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    while !request.windows(4).any(|it| it == b"\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(read @ 1..) => request.extend_from_slice(&buffer[..read]),
            _ => return,
        }
    }
    if !request.starts_with(b"POST /v1/chat") {
        let load = "{\"running\":0,\"waiting\":0}";
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{load}", load.len());
        let _ = stream.write_all(head.as_bytes());
        return;
    }
    let _ = stream.write_all(garbage.bytes.as_bytes());
    let flood = garbage.flood.repeat(FLOOD_BYTES.div_ceil(garbage.flood.len().max(1)));
    while !flood.is_empty() && stream.write_all(flood.as_bytes()).is_ok() {}
}

fn ask(entry: &Daemon, stream: bool) -> Outcome {
    async_io::block_on(crate::caller(entry, TOKENS, stream).chat("a question")).outcome
}

#[test]
fn no_caller_receives_an_engine_s_garbage_as_an_answer() {
    let shapes = [
        closes_after("HTTP/1.1 200 OK\r\ncontent-"),
        closes_after("HTTP/1.1 200 OK\r\n\r\n"),
        closes_after("HTTP/1.1 200 OK\r\ncontent-length: 9\r\ncontent-length: 2\r\n\r\n{}garbage"),
        closes_after("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}"),
        closes_after("HTTP/1.1 100 Continue\r\n\r\n"),
        closes_after("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: [DONE]\n\n"),
        closes_after("garbage\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"),
    ];
    for (index, shape) in shapes.into_iter().enumerate() {
        let cluster = TestCluster::new(&format!("garbage-{index}"));
        let entry = cluster.entry("entry-1");
        let _agent = cluster.agent("engine-1", start_engine(shape));
        cluster.deploy(&entry, 1);
        for stream in [false, true] {
            let outcome = ask(&entry, stream);
            assert!(matches!(outcome, Outcome::Unknown(_)), "{index} {stream}: {outcome:?}");
        }
    }
}

#[test]
fn a_stream_that_turns_into_garbage_is_broken_off() {
    for garbage in ["\r\n\r\n", "no size\r\n", "0\r\nHTTP/1.1 500 Oops\r\n"] {
        let event = "data: {\"choices\":[]}\n\n";
        let bytes = format!("{CHUNKED}{:x}\r\n{event}\r\n{garbage}", event.len());
        let cluster = TestCluster::new(&format!("turns-{}", garbage.len()));
        let entry = cluster.entry("entry-1");
        let engine = start_engine(closes_after(bytes.leak()));
        let _agent = cluster.agent("engine-1", engine);
        cluster.deploy(&entry, 1);
        let outcome = ask(&entry, true);
        assert!(matches!(outcome, Outcome::Unknown(_)), "{garbage:?}: {outcome:?}");
    }
}

#[test]
fn an_engine_that_sends_without_end_is_given_up_before_the_deadline() {
    for (index, flood) in FLOODS.into_iter().enumerate() {
        let cluster = TestCluster::new(&format!("endless-{index}"));
        let entry = cluster.entry("entry-1");
        let agent = cluster.agent("engine-1", start_engine(flood));
        cluster.deploy(&entry, 1);
        for stream in [false, true] {
            let asked = Instant::now();
            let outcome = ask(&entry, stream);
            assert!(matches!(outcome, Outcome::Unknown(_)), "{index} {stream}: {outcome:?}");
            assert!(asked.elapsed() < EARLY, "{index} {stream}: {:?}", asked.elapsed());
        }
        retry(|| async_io::block_on(agent.operator(OPERATOR_TOKEN).status()));
    }
}

#[test]
fn an_engine_that_sends_without_end_stops_neither_its_agent_nor_other_callers() {
    for (index, flood) in FLOODS.into_iter().enumerate() {
        let cluster = TestCluster::new(&format!("flood-{index}"));
        let entry = cluster.entry("entry-1");
        let flooded = cluster.agent("engine-1", start_engine(flood));
        let _good = cluster.engine("engine-2", EngineOptions::default());
        cluster.deploy(&entry, 2);
        let asked = Instant::now();
        thread::scope(|scope| {
            let ask = || ask(&entry, true);
            let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(ask)).collect();
            for caller in callers {
                assert_eq!(caller.join().unwrap(), Outcome::Complete, "{index}");
            }
        });
        assert!(asked.elapsed() < EARLY, "{index}: {:?}", asked.elapsed());
        retry(|| async_io::block_on(flooded.operator(OPERATOR_TOKEN).status()));
    }
}
