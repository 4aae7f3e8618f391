//! A runner whose answers are broken, beside one that works, at a gateway as a process.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use http::Method;
use platform_standin::{Answer, Caller, RunnerStandin};
use serde_json::json;

use crate::floods::add_route;
use crate::machine_address;
use crate::support::{wait_until, Deployment};

/// Machine of the broken runner.
const BROKEN_MACHINE: u8 = 41;
/// Machine of the runner that works.
pub const WORKING_MACHINE: u8 = 42;
/// Port of both.
pub const RUNNER_PORT: u16 = 8001;
/// The head of an answer without its framing. `{id}` stands for the id of the request.
pub const HEAD: &str = "HTTP/1.1 200 OK\r\nresponse-stamp: f1.1\r\nrequest-id: {id}\r\n";

/// The pause between the bytes of a runner that dribbles.
const DRIBBLE_PAUSE: Duration = Duration::from_millis(100);
/// Longer than a gateway waits for the next bytes of a plain answer before it asks another runner.
pub const PAUSE: Duration = Duration::from_millis(1100);

/// What a runner does behind the bytes that it sends on a connection.
#[derive(Clone, Copy, Debug)]
pub enum Ending {
    /// It closes the connection.
    Close,
    /// It leaves the connection open.
    Hang,
    /// It sends single bytes with pauses.
    Dribble,
    /// It sends the rest after a pause.
    GoOn(&'static str),
}

impl Ending {
    fn play(self, mut connection: TcpStream) -> std::io::Result<()> {
        match self {
            Self::Close => connection.shutdown(Shutdown::Write),
            Self::Hang => {
                // The connection ends with the test.
                std::mem::forget(connection);
                Ok(())
            }
            Self::Dribble => loop {
                thread::sleep(DRIBBLE_PAUSE);
                connection.write_all(b"x")?;
            },
            Self::GoOn(rest) => {
                thread::sleep(PAUSE);
                connection.write_all(rest.as_bytes())
            }
        }
    }
}

/// A runner that sends the same bytes on each connection.
#[derive(Clone)]
pub struct BrokenRunner {
    /// `{id}` stands for the id of the request.
    answer: String,
    /// What it does behind the answer.
    ending: Ending,
    /// The ids of the requests that it received.
    requests: Arc<Mutex<Vec<String>>>,
}

impl BrokenRunner {
    /// Starts it at an address.
    pub fn start(address: SocketAddr, answer: String, ending: Ending) -> Self {
        let runner = Self { answer, ending, requests: Arc::default() };
        let (listener, serving) = (TcpListener::bind(address).unwrap(), runner.clone());
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let _ = serving.answer(connection);
            }
        });
        runner
    }

    fn answer(&self, mut connection: TcpStream) -> std::io::Result<()> {
        let mut request = vec![0; 4096];
        let length = connection.read(&mut request)?;
        let request = String::from_utf8_lossy(&request[..length]).into_owned();
        let id = request.lines().find_map(|it| it.strip_prefix("request-id: ")).unwrap_or("");
        self.requests.lock().unwrap().push(id.to_owned());
        connection.write_all(self.answer.replace("{id}", id).as_bytes())?;
        let ending = self.ending;
        thread::spawn(move || ending.play(connection));
        Ok(())
    }

    /// Whether it has received the request with this id.
    pub fn has_received(&self, id: &str) -> bool {
        self.requests.lock().unwrap().iter().any(|it| it == id)
    }
}

/// What became of the first request that a broken runner received.
pub struct Played {
    pub deployment: Deployment,
    pub gateway: SocketAddr,
    pub broken: BrokenRunner,
    /// The id of the request.
    pub id: String,
    pub answer: Answer,
}

impl Played {
    pub fn assert_served_by_the_other(&self) {
        assert_eq!(self.answer.status, 200, "{:?}", self.answer);
        assert_eq!(self.answer.body, format!("flooded {}", self.id));
        assert_eq!(self.deployment.standin.runs(&self.id).len(), 1);
    }

    pub fn assert_failed(&self) {
        assert_eq!(self.answer.status, 502, "{:?}", self.answer);
        assert!(self.deployment.standin.runs(&self.id).is_empty(), "it isn't repeated");
    }

    /// The requests that follow at once are served, and not by the broken runner.
    pub fn assert_left_alone(&self) {
        for number in 0..4 {
            let id = format!("next-{number}");
            let answer = Caller::new(Method::GET, "/flooded/x", &id).call(self.gateway);
            assert_eq!(answer.status, 200, "{answer:?}");
            assert!(!self.broken.has_received(&id), "{id} is sent to the broken runner");
        }
    }

    /// The broken answer is counted and logged.
    pub fn assert_counted(&self, source: &str, fault: &str) {
        let metrics = self.deployment.metrics(self.gateway.ip());
        let name = "silverdock_malformed_answers_total";
        let labels = [format!("source=\"{source}\""), format!("fault=\"{fault}\"")];
        let is_counted = |line: &str| {
            line.starts_with(name) && labels.iter().all(|it| line.contains(it.as_str()))
        };
        assert!(metrics.lines().any(is_counted), "{source} {fault} isn't counted\n{metrics}");
        let log = self.deployment.log(self.gateway.ip());
        let names_all = |line: &str| {
            line.contains("no answer") && line.contains(&self.id) && line.contains("\"f1\"")
        };
        assert!(
            log.lines().any(names_all),
            "the log doesn't name the request and the runner\n{log}"
        );
    }
}

/// Sends requests to a route of this kind until the broken runner has received one.
pub fn play(kind: &str, answer: String) -> Played {
    play_with(kind, answer, Ending::Close)
}

/// The same with a runner that does something else than to close its connections.
pub fn play_with(kind: &str, answer: String, ending: Ending) -> Played {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let address = |machine| SocketAddr::new(machine_address(gateway, machine), RUNNER_PORT);
    let broken = BrokenRunner::start(address(BROKEN_MACHINE), answer, ending);
    let working = RunnerStandin::plain("g1", "flooded", "a");
    deployment.standin.add_runner(address(WORKING_MACHINE), working);
    deployment.standin.write_row("servers", "f1", entry(address(BROKEN_MACHINE)));
    deployment.standin.reconfigure(|it| add_route(it, kind));
    let mut number = 0;
    let mut received = None;
    wait_until("the broken runner receives a request", || {
        number += 1;
        let id = format!("m{number}");
        let method = if kind == "safe" { Method::GET } else { Method::POST };
        let answer = Caller::new(method, "/flooded/x", &id).call(gateway);
        if broken.has_received(&id) {
            received = Some((id, answer));
        }
        received.is_some()
    });
    let (id, answer) = received.unwrap();
    Played { deployment, gateway, broken, id, answer }
}

/// The row of a broken runner.
pub fn entry(address: SocketAddr) -> serde_json::Value {
    json!({
        "service": "flooded", "address": address, "zone": "a", "version": "v1", "slots": 16,
        "state": "ready", "coldRemainingMs": 0, "sequence": 0,
    })
}
