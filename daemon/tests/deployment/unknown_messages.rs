//! Tests of messages that this build cannot read, as later builds may send them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use crate::support::{wait_until, Deployment};

/// Port of processes for messages of other processes.
const MESSAGE_PORT: u16 = 7700;
/// A message of an unknown kind.
const UNKNOWN_MESSAGE: [u8; 4] = [200, 1, 2, 3];
/// The answer of a sidecar to a request for something that it does not have.
const MISSING_ANSWER: [u8; 1] = [2];
/// Timeout of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

fn send_request(stream: &mut TcpStream, message: &[u8]) -> Vec<u8> {
    let length = (message.len() as u32).to_le_bytes();
    stream.write_all(&[&length, message].concat()).unwrap();
    let mut length = [0; 4];
    stream.read_exact(&mut length).unwrap();
    let mut answer = vec![0; u32::from_le_bytes(length) as usize];
    stream.read_exact(&mut answer).unwrap();
    answer
}

#[test]
fn a_sidecar_answers_unreadable_requests_and_keeps_the_connection() {
    let mut deployment = Deployment::start();
    let runner = deployment.add_model_runner("e1", Some(1));
    let sidecar = SocketAddr::new(runner.ip(), MESSAGE_PORT);
    let mut connected = None;
    wait_until("the sidecar listens", || {
        connected = TcpStream::connect(sidecar).ok();
        connected.is_some()
    });
    let mut stream = connected.expect("the connection is established");
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    for _ in 0..3 {
        assert_eq!(send_request(&mut stream, &UNKNOWN_MESSAGE), MISSING_ANSWER);
    }
    let metric = "silverdock_foreign_messages_total{kind=\"request\"";
    wait_until("they are counted", || deployment.metrics(runner.ip()).contains(metric));
}

#[test]
fn unreadable_datagrams_are_counted_and_logged_once() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for _ in 0..5 {
        socket.send_to(&UNKNOWN_MESSAGE, SocketAddr::new(gateway.ip(), MESSAGE_PORT)).unwrap();
    }
    let metric = "silverdock_foreign_messages_total{kind=\"datagram\"";
    wait_until("it is counted", || deployment.metrics(gateway.ip()).contains(metric));
    let logged = || deployment.log(gateway.ip()).matches("what this build cannot read").count();
    wait_until("it is logged", || logged() > 0);
    assert_eq!(logged(), 1);
}
