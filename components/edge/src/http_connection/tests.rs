//! Tests of connections to a server that sends anything in place of an answer.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, TcpListener, TcpStream as StdStream};
use std::thread;

use http_body_util::Full;

use super::*;

/// Timeout of any single exchange.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a server sends bytes without end, unless its peer closes the connection.
const FLOOD_TIME: Duration = Duration::from_secs(8);
/// The largest body that is accepted.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// How long bytes that arrive before a request are waited for.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

/// What a server does on a connection behind the head of a request.
#[derive(Clone)]
struct Script {
    start: &'static str,
    /// Sent again and again.
    repeated: &'static str,
    manner: Manner,
}

/// How a server treats a request, and how it closes the connection.
#[derive(Clone, Copy, PartialEq)]
enum Manner {
    /// It reads the request first and closes after its answer.
    Waits,
    /// It answers before it reads.
    IsEarly,
    /// It reads a part of the request and resets the connection after its answer.
    Resets,
}

/// Sends bytes and closes.
fn sends(start: &'static str) -> Script {
    Script { start, repeated: "", manner: Manner::Waits }
}

/// Sends bytes, and others without end.
fn floods(start: &'static str, repeated: &'static str) -> Script {
    Script { start, repeated, manner: Manner::Waits }
}

impl Script {
    /// Serves one connection.
    fn serve(self) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || self.play(listener.accept()?.0));
        address
    }

    fn play(&self, mut stream: StdStream) -> io::Result<()> {
        match self.manner {
            Manner::Waits => drop(stream.read(&mut [0; 4096])?),
            Manner::Resets => stream.read_exact(&mut [0; 1])?,
            Manner::IsEarly => {}
        }
        stream.write_all(self.start.as_bytes())?;
        let until = Instant::now() + FLOOD_TIME;
        let batch = self.repeated.repeat(4096);
        while !batch.is_empty() && Instant::now() < until {
            stream.write_all(batch.as_bytes())?;
        }
        if self.manner == Manner::Waits {
            return stream.shutdown(Shutdown::Write);
        }
        thread::sleep(4 * ARRIVAL_TIME);
        Ok(())
    }
}

/// Sends a request and reads the whole answer.
async fn exchange(address: SocketAddr, delay: Duration) -> Result<String> {
    let mut connection = HttpConnection::open(address, TEST_TIMEOUT).await?;
    uptime::sleep(delay).await;
    let mut answer = connection.send(Request::new(Full::default())).await?;
    let bytes = connection.collect(answer.body_mut(), MAX_BODY_BYTES).await?;
    Ok(String::from_utf8(bytes).unwrap())
}

fn result_after(script: Script, delay: Duration) -> std::result::Result<String, Code> {
    let exchange = exchange(script.serve(), delay);
    let result = async_io::block_on(with_deadline(Instant::now() + TEST_TIMEOUT, exchange));
    result.expect("the exchange ends").map_err(|error| error.code)
}

fn result(script: Script) -> std::result::Result<String, Code> {
    result_after(script, Duration::ZERO)
}

macro_rules! cases {
    ($($name:ident: $script:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(result($script), $expected);
            }
        )*
    };
}

cases! {
    a_whole_answer_arrives:
        sends("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab") => Ok("ab".into());
    an_interim_answer_does_not_take_the_place_of_the_answer:
        sends("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab") => Ok("ab".into());
    bytes_behind_a_whole_answer_do_not_become_a_part_of_it:
        sends("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n\r\nc") => Ok("ab".into());
    bytes_before_an_answer_are_no_answer:
        sends("%%\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab") => Err(Code::MalformedAnswer);
    bytes_in_the_head_of_an_answer_are_no_answer:
        sends("HTTP/1.1 200 OK\r\n\u{1}\u{2}\r\n\r\nab") => Err(Code::MalformedAnswer);
    two_lengths_are_no_answer:
        sends("HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nabc") => Err(Code::MalformedAnswer);
    half_a_head_is_a_lost_connection:
        sends("HTTP/1.1 200 OK\r\ncontent-le") => Err(Code::ConnectionLost);
    an_early_close_is_a_lost_connection:
        sends("") => Err(Code::ConnectionLost);
    a_head_without_end_is_no_answer:
        floods("HTTP/1.1 200 OK\r\n", "x-more: and more\r\n") => Err(Code::MalformedAnswer);
    a_header_line_without_end_is_no_answer:
        floods("HTTP/1.1 200 OK\r\nx-more: ", "and more") => Err(Code::MalformedAnswer);
    a_status_line_without_end_is_no_answer:
        floods("HTTP/1.1 200 ", "and more") => Err(Code::MalformedAnswer);
    interim_answers_without_end_are_no_answer:
        floods("", "HTTP/1.1 100 Continue\r\n\r\n") => Err(Code::MalformedAnswer);
    empty_lines_without_end_are_no_answer:
        floods("", "\r\n") => Err(Code::MalformedAnswer);
    bytes_where_the_size_of_a_chunk_is_due_are_no_answer:
        sends("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n%%") => Err(Code::MalformedAnswer);
    a_body_that_is_cut_within_its_chunks_is_cut_short:
        sends("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n") => Err(Code::CutShort);
    a_chunk_extension_without_end_is_no_answer:
        floods("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;", "and more") => Err(Code::MalformedAnswer);
    small_chunks_without_end_are_no_answer:
        floods("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n") => Err(Code::MalformedAnswer);
    trailers_without_end_are_no_answer:
        floods("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x-more: and more\r\n") => Err(Code::MalformedAnswer);
    a_body_short_of_its_length_is_cut_short:
        sends("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nab") => Err(Code::CutShort);
    a_body_without_end_is_too_large:
        floods("HTTP/1.1 200 OK\r\n\r\n", "and more") => Err(Code::TooLarge);
    a_length_above_the_limit_is_too_large:
        floods("HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n", "and more") => Err(Code::TooLarge);
    a_connection_that_is_reset_within_a_body_is_cut_short:
        Script { manner: Manner::Resets, ..sends("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nab") } => Err(Code::CutShort);
}

#[test]
fn an_answer_that_is_there_before_the_request_is_no_answer() {
    let script = Script {
        manner: Manner::IsEarly,
        ..sends("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab")
    };
    assert_eq!(result_after(script, ARRIVAL_TIME), Err(Code::MalformedAnswer));
}
