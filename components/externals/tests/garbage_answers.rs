//! Services of the platform whose answers are none.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use async_io::block_on;
use errors::Code;
use externals::{
    HttpInstances, HttpObjects, HttpTable, HttpWeights, InstanceList, ObjectStore, Precondition,
    TableService, WeightStore,
};
use fleet::{VersionId, MAX_CHUNK_BYTES};

/// Answers that are none, or not whole.
const BROKEN: [&str; 6] = [
    "HTTP/1.1 200 OK\r\ncontent-le",
    "HTTP/1.1 200 OK\r\netag: \"1\"\r\n\r\nended by the connection",
    "HTTP/1.1 200 OK\r\netag: \"1\"\r\ncontent-length: 9\r\ncontent-length: 2\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\netag: \"1\"\r\ncontent-length: 9\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\netag: \"1\"\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n\r\n\r\n",
    "no answer\r\n\r\n",
];

/// Starts a server that sends `answer` to one call and closes.
fn server(answer: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = answer.to_owned();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
    });
    address
}

#[test]
fn no_call_takes_a_broken_answer_for_a_result() {
    let version = VersionId([7; 32]);
    for answer in BROKEN {
        let codes = [
            block_on(HttpTable(server(answer)).read("row")).unwrap_err().code,
            block_on(HttpTable(server(answer)).write("row", b"x", &Precondition::Absent))
                .unwrap_err()
                .code,
            block_on(HttpObjects(server(answer)).get("key")).unwrap_err().code,
            block_on(HttpObjects(server(answer)).put("key", vec![1])).unwrap_err().code,
            block_on(HttpWeights(server(answer)).read(version, 0, 9)).unwrap_err().code,
            block_on(HttpInstances(server(answer)).list()).unwrap_err().code,
        ];
        // A write that is not known to be refused may have taken effect.
        assert_eq!(codes, [Code::PlatformUnavailable; 6], "{answer:?}");
    }
}

#[test]
fn a_row_without_a_tag_is_no_row() {
    let answer = server("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
    let error = block_on(HttpTable(answer).read("row")).unwrap_err();
    assert_eq!(error.code, Code::PlatformUnavailable);
}

#[test]
fn a_list_of_instances_that_is_none_is_an_error() {
    for body in ["", "no list", "{}", "[{}]", &"[".repeat(100_000)] {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let error = block_on(HttpInstances(server(&(head + body))).list()).unwrap_err();
        assert_eq!(error.code, Code::PlatformRefused);
    }
}

#[test]
fn weights_beyond_the_largest_chunk_are_refused_by_their_length() {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", MAX_CHUNK_BYTES + 1);
    let origin = HttpWeights(server(&head));
    let error = block_on(origin.read(VersionId([7; 32]), 0, 9)).unwrap_err();
    assert_eq!(error.code, Code::TooLarge);
}
