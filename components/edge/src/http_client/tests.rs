//! Tests of calls to a server that sends anything besides or in place of answers.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::thread;

use super::*;

/// The longest pause within an answer.
const MAX_PAUSE: Duration = Duration::from_millis(50);
/// Timeout of the start of an answer.
const START_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of any single call.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the tests wait for bytes on an idle connection.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

fn whole(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

fn read_request(stream: &mut TcpStream) -> std::io::Result<()> {
    let length = stream.read(&mut [0; 4096])?;
    if length == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}

/// Serves each connection with `serve`, which gets its number.
fn start_server(
    serve: impl Fn(usize, &mut TcpStream) -> std::io::Result<()> + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (number, mut stream) in listener.incoming().flatten().enumerate() {
            // The client may close a connection at any time.
            let _ = serve(number, &mut stream);
        }
    });
    address
}

async fn body_of(client: &mut HttpClient) -> Result<String> {
    let call = platform::runner::report();
    let answer = client.call_with_pause_limit(call, START_TIMEOUT, MAX_PAUSE);
    let answer = with_deadline(Instant::now() + TEST_TIMEOUT, answer).await;
    let body = answer.expect("the call ends").and_then(CallAnswer::success)?;
    Ok(String::from_utf8(body).unwrap())
}

fn code_of(address: SocketAddr) -> std::result::Result<String, Code> {
    let mut client = HttpClient::new(address);
    async_io::block_on(body_of(&mut client)).map_err(|error| error.code)
}

/// The answers to two calls with a pause between them.
fn two_calls(address: SocketAddr) -> Result<(String, String)> {
    async_io::block_on(async {
        let mut client = HttpClient::new(address);
        let first = body_of(&mut client).await?;
        uptime::sleep(ARRIVAL_TIME).await;
        Ok((first, body_of(&mut client).await?))
    })
}

#[test]
fn calls_use_the_same_connection() {
    let address = start_server(|number, stream| loop {
        read_request(stream)?;
        stream.write_all(whole(&number.to_string()).as_bytes())?;
    });
    assert_eq!(two_calls(address).unwrap(), ("0".into(), "0".into()));
}

#[test]
fn a_late_answer_on_a_kept_connection_is_not_taken_for_the_next_one() {
    let address = start_server(|number, stream| {
        read_request(stream)?;
        stream.write_all(whole(&number.to_string()).as_bytes())?;
        thread::sleep(ARRIVAL_TIME / 2);
        stream.write_all(whole("late").as_bytes())
    });
    assert_eq!(two_calls(address).unwrap(), ("0".into(), "1".into()));
}

#[test]
fn a_kept_connection_that_was_closed_is_not_used_again() {
    let address = start_server(|number, stream| {
        read_request(stream)?;
        stream.write_all(whole(&number.to_string()).as_bytes())
    });
    assert_eq!(two_calls(address).unwrap(), ("0".into(), "1".into()));
}

#[test]
fn an_answer_that_trickles_without_end_is_given_up() {
    let address = start_server(|_, stream| {
        read_request(stream)?;
        stream.write_all(CHUNKED.as_bytes())?;
        loop {
            stream.write_all(b"1\r\nx\r\n")?;
            thread::sleep(MAX_PAUSE / 5);
        }
    });
    assert_eq!(code_of(address), Err(Code::TimedOut));
}

#[test]
fn an_answer_that_arrives_slowly_is_read_completely() {
    let pieces = 60;
    let address = start_server(move |_, stream| {
        read_request(stream)?;
        stream.write_all(CHUNKED.as_bytes())?;
        for _ in 0..pieces {
            stream.write_all(format!("400\r\n{}\r\n", "x".repeat(0x400)).as_bytes())?;
            thread::sleep(MAX_PAUSE / 4);
        }
        stream.write_all(b"0\r\n\r\n")
    });
    assert_eq!(code_of(address).map(|it| it.len()), Ok(pieces * 0x400));
}

#[test]
fn an_answer_that_floods_without_end_is_given_up() {
    for (repeated, code) in [
        ("1\r\nx\r\n".to_owned(), Code::MalformedAnswer),
        (format!("4000\r\n{}\r\n", "x".repeat(0x4000)), Code::TooLarge),
    ] {
        let address = start_server(move |_, stream| {
            read_request(stream)?;
            stream.write_all(CHUNKED.as_bytes())?;
            let batch = repeated.repeat(100);
            loop {
                stream.write_all(batch.as_bytes())?;
            }
        });
        assert_eq!(code_of(address), Err(code));
    }
}
