//! Messages of builds that say more than this one.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use crate::support::{wait_until, Deployment};

/// Where processes listen for each other.
const PORT: u16 = 7700;
/// A message of a kind that no build has.
const UNKNOWN: [u8; 4] = [200, 1, 2, 3];
/// A sidecar's answer about something that is not there.
const MISSING: [u8; 1] = [2];
/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(5);

fn ask(stream: &mut TcpStream, message: &[u8]) -> Vec<u8> {
    let length = (message.len() as u32).to_le_bytes();
    stream.write_all(&[&length, message].concat()).unwrap();
    let mut length = [0; 4];
    stream.read_exact(&mut length).unwrap();
    let mut answer = vec![0; u32::from_le_bytes(length) as usize];
    stream.read_exact(&mut answer).unwrap();
    answer
}

#[test]
fn a_request_that_a_sidecar_cannot_read_is_answered_on_a_connection_that_stays() {
    let mut deployment = Deployment::start();
    let runner = deployment.add_model_runner("e1", Some(1));
    let sidecar = SocketAddr::new(runner.ip(), PORT);
    let mut connected = None;
    wait_until("the sidecar listens", || {
        connected = TcpStream::connect(sidecar).ok();
        connected.is_some()
    });
    let mut stream = connected.expect("it was waited for");
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    for _ in 0..3 {
        assert_eq!(ask(&mut stream, &UNKNOWN), MISSING);
    }
    let counted = "silverdock_foreign_messages_total{kind=\"request\"";
    wait_until("they are counted", || deployment.metrics(runner.ip()).contains(counted));
}

#[test]
fn a_datagram_that_cannot_be_read_is_counted_and_told_of_once() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for _ in 0..5 {
        socket.send_to(&UNKNOWN, SocketAddr::new(gateway.ip(), PORT)).unwrap();
    }
    let counted = "silverdock_foreign_messages_total{kind=\"datagram\"";
    wait_until("it is counted", || deployment.metrics(gateway.ip()).contains(counted));
    let told = || deployment.log(gateway.ip()).matches("what this build cannot read").count();
    wait_until("it is told", || told() > 0);
    assert_eq!(told(), 1);
}
