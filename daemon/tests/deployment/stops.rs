//! Tests of planned stops, on the bytes of connections.
//!
//! The failure: idle connections were closed in one moment under their callers, without an announcement in an earlier
//! answer, and the listener went at the same time.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use platform_standin::{Caller, RunnerFault};
use rustix::process::Signal;

use crate::kept_connection::KeptConnection;
use crate::support::{sleep_until, stream, wait_until, Deployment};

/// How long a stopping gateway keeps idle connections at least.
const IDLE_KEPT: Duration = Duration::from_millis(2600);

/// A deployment whose gateway was told to stop.
struct Stop {
    deployment: Deployment,
    gateway: SocketAddr,
    runner: SocketAddr,
    began: Instant,
}

impl Stop {
    /// Starts a gateway and a model runner, opens connections, and stops the gateway.
    fn begin<T>(before: impl FnOnce(&Deployment, SocketAddr) -> T) -> (Self, T) {
        let mut deployment = Deployment::start();
        let runner = deployment.add_model_runner("e1", Some(1));
        let gateway = deployment.add_gateway();
        deployment.wait_until_ready(gateway);
        wait_until("streams are served", || stream(gateway, "w").is_complete);
        let kept = before(&deployment, gateway);
        deployment.signal(gateway.ip(), Signal::TERM);
        let stop = Self { deployment, gateway, runner, began: Instant::now() };
        wait_until("the gateway is not ready", || !stop.deployment.is_ready(gateway));
        (stop, kept)
    }

    fn sleep_until(&self, after: Duration) {
        sleep_until(self.began + after);
    }

    /// Lets a request wait for a runner that does not answer, so that the gateway has work.
    fn occupy(&self, deadline_ms: u64) -> thread::JoinHandle<platform_standin::Answer> {
        self.deployment.standin.change_runner(self.runner, |it| it.fault = RunnerFault::Hang);
        let mut caller = Caller::new(Method::POST, "/s/x", "occupying");
        caller.deadline_ms = deadline_ms;
        let gateway = self.gateway;
        thread::spawn(move || caller.call(gateway))
    }
}

fn kept_connection(_: &Deployment, gateway: SocketAddr) -> KeptConnection {
    let mut connection = KeptConnection::open(gateway);
    let answer = connection.call("/post/x", "before", 8);
    assert!(answer.status == 200 && !answer.announces_close, "{answer:?}");
    connection
}

#[test]
fn a_caller_on_a_kept_connection_is_told_before_it_is_closed() {
    let (_stop, mut connection) = Stop::begin(kept_connection);
    let answer = connection.call("/post/x", "after", 8);
    assert!(answer.status == 200 && answer.announces_close, "{answer:?}");
    assert!(connection.ends_without_reset());
}

#[test]
fn an_idle_connection_is_not_closed_under_a_request_that_has_arrived_in_part() {
    let (stop, mut connection) = Stop::begin(kept_connection);
    let head = KeptConnection::head("/post/x", "parts", 4000, 8);
    let (first, rest) = head.split_at(20);
    connection.send(first.as_bytes());
    stop.sleep_until(IDLE_KEPT + Duration::from_millis(500));
    connection.send(rest.as_bytes());
    connection.send_body(8);
    let answer = connection.read_answer();
    assert!(answer.status == 200 && answer.announces_close, "{answer:?}");
    assert!(connection.ends_without_reset());
}

#[test]
fn a_connection_that_arrives_late_in_a_stop_is_not_refused_by_the_system() {
    let (mut stop, ()) = Stop::begin(|_, _| ());
    let occupying = stop.occupy(4000);
    stop.sleep_until(IDLE_KEPT - Duration::from_millis(100));
    let mut early = KeptConnection::open(stop.gateway);
    stop.sleep_until(IDLE_KEPT + Duration::from_millis(200));
    assert_eq!(early.call("/post/x", "early", 8).status, 200);
    let mut late = KeptConnection::open(stop.gateway);
    let answer = late.call("/post/x", "late", 8);
    assert!(answer.status == 200 && answer.announces_close, "{answer:?}");
    assert!(late.ends_without_reset());
    assert!(occupying.join().unwrap().status >= 500);
    assert!(stop.deployment.wait_for_exit(stop.gateway.ip()));
}
