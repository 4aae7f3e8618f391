//! What a call does with a server whose bytes are no answer, or no answer yet.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use errors::{Code, Result};
use futures_lite::future::{block_on, yield_now, FutureExt};
use http_types::{Method, Request, Url};
use net::{read_body, send, Deadline, HttpResponse};

/// The largest body that these calls accept, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The deadline of calls to a server that never ends its answer.
const SHORT: Duration = Duration::from_millis(500);
/// The deadline of any other call.
const LONG: Duration = Duration::from_secs(20);
/// How long a call may take that does not wait for its deadline.
const SOON: Duration = Duration::from_secs(8);
/// How long after its deadline a call may end.
const SLACK: Duration = Duration::from_secs(4);
/// The pause of a server between two parts of an answer.
const PAUSE: Duration = Duration::from_millis(50);
/// The size of a write of a server that sends without end, in bytes.
const FLOOD_BYTES: usize = 64 * 1024;
/// The head of a chunked answer.
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Starts a server for one call, which sends the parts with pauses between them, and then `flood` until the caller
/// closes. An empty `flood` closes the connection.
fn server(parts: &[&str], flood: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let parts: Vec<String> = parts.iter().map(|it| (*it).to_owned()).collect();
    let flood = flood.repeat(FLOOD_BYTES.div_ceil(flood.len().max(1)));
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_request(&mut stream);
        for (index, part) in parts.iter().enumerate() {
            if index > 0 {
                thread::sleep(PAUSE);
            }
            let _ = stream.write_all(part.as_bytes());
        }
        while !flood.is_empty() && stream.write_all(flood.as_bytes()).is_ok() {}
    });
    address
}

fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"\r\n\r\n") && matches!(stream.read(&mut byte), Ok(1)) {
        request.extend_from_slice(&byte);
    }
}

async fn call_with(
    address: SocketAddr,
    method: Method,
    deadline: Duration,
) -> Result<HttpResponse> {
    let url = Url::parse(&format!("http://{address}/")).unwrap();
    let deadline = Deadline::after(deadline);
    let response = send(address, Request::new(method, url), deadline).await?;
    read_body(response, MAX_BODY_BYTES, deadline).await
}

/// The code with which a call to a server that closes after these parts fails.
fn failure(parts: &[&str]) -> Code {
    let called = Instant::now();
    let answer = block_on(call_with(server(parts, ""), Method::Get, LONG));
    assert!(called.elapsed() < SOON, "{:?}", called.elapsed());
    answer.expect_err("the answer is not whole").code
}

fn whole(parts: &[&str]) -> HttpResponse {
    let called = Instant::now();
    let answer = block_on(call_with(server(parts, ""), Method::Get, LONG)).unwrap();
    assert!(called.elapsed() < SOON, "{:?}", called.elapsed());
    answer
}

/// The code with which a call to a server that sends without end fails, and how often another task ran meanwhile.
fn flooded(head: &str, flood: &str) -> (Code, u32) {
    let address = server(&[head], flood);
    let called = Instant::now();
    let mut turns = 0;
    let others = async {
        loop {
            turns += 1;
            yield_now().await;
        }
    };
    let code = block_on(
        async {
            let answer = call_with(address, Method::Get, SHORT).await;
            answer.expect_err("the answer has no end").code
        }
        .or(others),
    );
    assert!(called.elapsed() < SHORT + SLACK, "{:?}", called.elapsed());
    (code, turns)
}

#[test]
fn an_interim_answer_is_not_taken_for_the_answer() {
    let answer = whole(&[
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
    ]);
    assert_eq!((answer.status, answer.body), (200, b"hello".to_vec()));
}

#[test]
fn interim_answers_without_end_are_no_answer() {
    let (code, _) = flooded("", "HTTP/1.1 100 Continue\r\n\r\n");
    assert_eq!(code, Code::MalformedAnswer);
}

#[test]
fn a_head_without_end_is_no_answer() {
    let (code, _) = flooded("HTTP/1.1 200 OK\r\n", "x-header: value\r\n");
    assert_eq!(code, Code::MalformedAnswer);
}

#[test]
fn a_header_line_without_end_is_no_answer() {
    let (code, _) = flooded("HTTP/1.1 200 OK\r\nx-header: ", "v");
    assert_eq!(code, Code::MalformedAnswer);
}

#[test]
fn bytes_that_are_no_head_are_no_answer() {
    assert_eq!(failure(&["\u{1}\u{2} no answer \r\n\r\n"]), Code::MalformedAnswer);
    assert_eq!(
        failure(&["garbage\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"]),
        Code::MalformedAnswer
    );
}

#[test]
fn half_a_head_is_a_lost_connection() {
    for half in ["", "HTTP/1", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\na: b"]
    {
        assert_eq!(failure(&[half]), Code::ConnectionLost, "{half:?}");
    }
}

#[test]
fn lengths_that_are_no_single_number_are_no_answer() {
    for lengths in [
        "content-length: 5\r\ncontent-length: 2",
        "content-length: 2\r\ncontent-length: 5",
        "content-length: -5",
        "content-length: +5",
        "content-length: five",
        "content-length: 5, 5",
        "content-length: 99999999999999999999999",
        "content-length: 5\r\ntransfer-encoding: chunked",
    ] {
        let answer = format!("HTTP/1.1 200 OK\r\n{lengths}\r\n\r\nhello");
        assert_eq!(failure(&[&answer]), Code::MalformedAnswer, "{lengths}");
    }
}

#[test]
fn a_body_larger_than_the_limit_is_refused_before_it_is_read() {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", usize::MAX);
    assert_eq!(failure(&[&head]), Code::TooLarge);
}

#[test]
fn a_body_that_ends_with_its_connection_is_not_whole() {
    for body in ["", "hello"] {
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n{body}");
        assert_eq!(failure(&[&answer]), Code::MalformedAnswer, "{body:?}");
    }
}

#[test]
fn an_answer_whose_status_or_method_permits_no_body_is_whole_without_a_length() {
    let answer = whole(&["HTTP/1.1 204 No Content\r\n\r\n"]);
    assert_eq!((answer.status, answer.body), (204, Vec::new()));
    let address = server(&["HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n"], "");
    let answer = block_on(call_with(address, Method::Head, LONG)).unwrap();
    assert_eq!((answer.status, answer.body), (200, Vec::new()));
}

#[test]
fn bytes_behind_a_whole_answer_belong_to_no_answer() {
    let second = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 3\r\n\r\nbad";
    let length = format!("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello{second}");
    assert_eq!(whole(&[&length]).body, b"hello");
    let chunks = format!("{CHUNKED}5\r\nhello\r\n0\r\n\r\n{second}");
    assert_eq!(whole(&[&chunks]).body, b"hello");
}

#[test]
fn a_chunk_size_without_digits_does_not_end_the_body() {
    for garbage in ["\r\n\r\n", "\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"] {
        let answer = format!("{CHUNKED}5\r\nhello\r\n{garbage}");
        assert_eq!(failure(&[&answer]), Code::MalformedAnswer, "{garbage:?}");
    }
}

#[test]
fn garbage_in_chunks_is_no_answer() {
    for garbage in [
        "5\r\nhello\r\nno size\r\n",
        "5\r\nhello\r\n-5\r\nhello\r\n",
        "5\r\nhelloXX5\r\nhello\r\n",
        "fffffffffffffffff\r\nhello",
        "5\nhello\r\n0\r\n\r\n",
        "0\r\nno trailer\r\n\r\n",
    ] {
        assert_eq!(failure(&[&format!("{CHUNKED}{garbage}")]), Code::MalformedAnswer, "{garbage}");
    }
}

#[test]
fn a_chunked_body_that_stops_anywhere_is_cut_short() {
    let body = "5\r\nhello\r\n3;name=value\r\nyou\r\n0\r\nx-trailer: 1\r\n\r\n";
    assert_eq!(whole(&[&format!("{CHUNKED}{body}")]).body, b"helloyou");
    for end in 0..body.len() {
        let answer = format!("{CHUNKED}{}", &body[..end]);
        assert_eq!(failure(&[&answer]), Code::CutShort, "{:?}", &body[..end]);
    }
}

#[test]
fn a_chunked_body_that_arrives_in_pieces_is_whole() {
    let body = "5\r\nhello\r\n0\r\nx-trailer: 1\r\n\r\n";
    for split in 0..body.len() {
        let (first, second) = body.split_at(split);
        let answer = whole(&[&format!("{CHUNKED}{first}"), second]);
        assert_eq!(answer.body, b"hello", "{split}");
    }
}

#[test]
fn a_chunk_size_of_endless_zeros_is_no_answer() {
    let (code, _) = flooded(CHUNKED, "0");
    assert_eq!(code, Code::MalformedAnswer);
}

#[test]
fn a_chunk_extension_without_end_is_no_answer() {
    let (code, _) = flooded(&format!("{CHUNKED}5;"), "x");
    assert_eq!(code, Code::MalformedAnswer);
}

#[test]
fn trailers_without_end_are_no_answer() {
    let (code, _) = flooded(&format!("{CHUNKED}0\r\n"), "x-trailer: 1\r\n");
    assert_eq!(code, Code::MalformedAnswer);
}

#[test]
fn tiny_chunks_without_end_are_bounded_by_the_body_limit() {
    let (code, _) = flooded(CHUNKED, "1\r\nx\r\n");
    assert_eq!(code, Code::TooLarge);
}

#[test]
fn tiny_chunks_with_long_extensions_are_no_answer() {
    let (code, _) = flooded(CHUNKED, "1;extension=a-long-extension-of-a-chunk\r\nx\r\n");
    assert_eq!(code, Code::MalformedAnswer);
}

#[test]
fn bytes_that_never_stop_leave_turns_to_other_tasks_and_end_at_the_deadline() {
    let address = server(&[&format!("{CHUNKED}7fffffffffffffff\r\n")], "x");
    let called = Instant::now();
    let mut turns = 0;
    let others = async {
        loop {
            turns += 1;
            yield_now().await;
        }
    };
    let reading = async {
        let url = Url::parse(&format!("http://{address}/")).unwrap();
        let deadline = Deadline::after(SHORT);
        let mut body = send(address, Request::new(Method::Get, url), deadline).await?.body;
        let endless = async {
            while body.next().await?.is_some() {}
            Ok(())
        };
        deadline.run(Code::TimedOut, endless).await
    };
    let code = block_on(async { reading.await.expect_err("there is no end").code }.or(others));
    assert_eq!(code, Code::TimedOut);
    assert!(called.elapsed() < SHORT + SLACK, "{:?}", called.elapsed());
    assert!(turns > 0);
}
