use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;

use async_io::block_on;

use super::*;

/// A client of an entry that sends `answer` and closes.
fn client_of(answer: &str) -> OperatorClient {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = answer.to_owned();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
    });
    OperatorClient::new(address, "token")
}

fn with_body(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

fn confirmation(answer: &str) -> Code {
    let plan = "a-plan".into();
    block_on(client_of(answer).confirm(&plan)).unwrap_err().code
}

#[test]
fn a_confirmation_whose_answer_is_none_has_an_unknown_outcome() {
    for answer in [
        "HTTP/1.1 200 OK\r\ncontent-le",
        "HTTP/1.1 200 OK\r\n\r\n",
        "no answer\r\n\r\n",
        &with_body("200 OK", "no reply"),
        &with_body("200 OK", ""),
        &with_body("200 OK", &"[".repeat(100_000)),
        &with_body("500 Internal Server Error", "no error"),
        &with_body("502 Bad Gateway", ""),
    ] {
        let start: String = answer.chars().take(60).collect();
        assert_eq!(confirmation(answer), Code::OutcomeUnknown, "{start:?}");
    }
}

#[test]
fn a_confirmation_that_the_entry_rejects_keeps_its_code() {
    let code = Code::PlanExpired;
    let body = format!("{{\"error\":{{\"code\":{},\"message\":\"late\"}}}}", code.number());
    assert_eq!(confirmation(&with_body("409 Conflict", &body)), code);
}
