//! Tests of planned stops, on the bytes of connections.
//!
//! The failure: idle connections were closed in one moment under their callers, without an announcement in an earlier
//! answer, and the listener went at the same time. At the end of the grace period the process ended with its requests.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use platform_standin::{Caller, RunnerFault};
use rustix::process::Signal;
use serde_json::json;

use crate::kept_connection::KeptConnection;
use crate::support::{sleep_until, stream, wait_until, Deployment};

/// How long a stopping gateway keeps idle connections at least.
const IDLE_KEPT: Duration = Duration::from_millis(2600);

/// The grace period of the deployment.
const GRACE: Duration = Duration::from_secs(8);
/// A time limit that lies behind the end of a stop, in milliseconds.
const LONG_LIMIT_MS: u64 = 15_000;
/// A latency target of which a share, the time that a request waits for a slot, is longer than a stop, in milliseconds.
const LONG_TARGET_MS: u64 = 200_000;
/// Within what time a request is refused that cannot be served before the process ends.
const REFUSAL_BOUND: Duration = Duration::from_millis(300);
/// What a slow caller reads at a time, in bytes, and the pause before.
const SLOW_READ_BYTES: usize = 300_000;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(1000);
/// Size of an event that exceeds all buffers on the path, in bytes.
const HUGE_EVENT_BYTES: usize = 2_000_000;
/// More requests than the plain runners have slots.
const MORE_THAN_SLOTS: usize = 20;

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

/// Requests may take longer than the grace period, and runners may be silent meanwhile.
fn allow_long_requests(deployment: &Deployment, gateway: SocketAddr) {
    deployment.standin.reconfigure(|it| {
        for route in it["routes"].as_array_mut().unwrap() {
            route["timeoutMs"] = json!(LONG_LIMIT_MS);
            route["targetLatencyMs"] = json!(LONG_TARGET_MS);
            route["gapTargetMs"] = json!(LONG_LIMIT_MS);
        }
    });
    wait_until("the configuration is in force", || {
        let metrics = deployment.metrics(gateway.ip());
        let mut lines = metrics.lines().filter(|it| it.contains("name=\"configuration\""));
        lines.any(|it| it.ends_with(" 4"))
    });
}

fn hang_plain_runners(deployment: &Deployment, gateway: SocketAddr) {
    for machine in [1, 2] {
        let runner = SocketAddr::new(crate::machine_address(gateway, machine), 8001);
        deployment.standin.change_runner(runner, |it| it.fault = RunnerFault::Hang);
    }
}

fn begin_long(gateway: SocketAddr, path: &str, id: &str) -> KeptConnection {
    let mut connection = KeptConnection::open(gateway);
    connection.send(KeptConnection::head(path, id, LONG_LIMIT_MS, 8).as_bytes());
    connection.send_body(8);
    connection
}

/// Waits until the log has the end of a request, with these texts.
fn expect_end(stop: &Stop, id: &str, texts: &[&str]) {
    wait_until(&format!("the log has the end of {id}"), || {
        let log = stop.deployment.log(stop.gateway.ip());
        let mut lines = log.lines().filter(|it| it.contains(&format!("\"{id}\"")));
        lines.any(|line| texts.iter().all(|it| line.contains(it)))
    });
}

#[test]
fn requests_under_way_at_the_end_of_a_stop_do_not_end_with_the_process() {
    let (mut stop, mut connections) = Stop::begin(|deployment, gateway| {
        allow_long_requests(deployment, gateway);
        hang_plain_runners(deployment, gateway);
        let ids = (0..MORE_THAN_SLOTS).map(|it| format!("long{it}"));
        ids.map(|it| begin_long(gateway, "/post/x", &it)).collect::<Vec<_>>()
    });
    let mut sent = 0;
    for (number, connection) in connections.iter_mut().enumerate() {
        let answer = connection.read_answer();
        assert!(answer.announces_close, "{answer:?}");
        assert!(stop.began.elapsed() < GRACE, "{:?}", stop.began.elapsed());
        if stop.deployment.standin.runs(&format!("long{number}")).is_empty() {
            assert_eq!((answer.status, answer.retry_after.as_deref()), (503, Some("0.000")));
            assert!(answer.body.contains("\"code\":107"), "{answer:?}");
        } else {
            sent += 1;
            assert_eq!(answer.status, 504, "{answer:?}");
        }
    }
    assert!(sent > 0 && sent < MORE_THAN_SLOTS, "{sent} requests were sent");
    assert!(stop.deployment.wait_for_exit(stop.gateway.ip()));
    assert!(stop.began.elapsed() < GRACE, "{:?}", stop.began.elapsed());
    expect_end(&stop, "long0", &["\"status\":504"]);
    let log = stop.deployment.log(stop.gateway.ip());
    let end = log.lines().find(|it| it.contains("open at the end of the stop")).unwrap();
    assert!(end.contains("\"requests\":0") || end.contains("\"requests\":\"0\""), "{end}");
}

#[test]
fn a_stream_at_the_end_of_a_stop_neither_looks_complete_nor_ends_without_a_log_line() {
    let (mut stop, mut connection) = Stop::begin(|deployment, gateway| {
        allow_long_requests(deployment, gateway);
        let runner = SocketAddr::new(crate::machine_address(gateway, 3), 8001);
        let pause = Duration::from_millis(LONG_LIMIT_MS);
        let fault = RunnerFault::PauseAfter { events: 3, pause };
        deployment.standin.change_runner(runner, |it| it.fault = fault);
        begin_long(gateway, "/s/x", "stream")
    });
    let text = connection.read_to_end().expect("the connection is not reset");
    assert!(text.starts_with("HTTP/1.1 200") && text.contains("data: stream/3"), "{text}");
    assert!(!text.ends_with("0\r\n\r\n"), "the stream looks complete: {text}");
    assert!(stop.began.elapsed() < GRACE, "{:?}", stop.began.elapsed());
    assert!(stop.deployment.wait_for_exit(stop.gateway.ip()));
    expect_end(&stop, "stream", &["\"cut\"", "Stopping"]);
}

#[test]
fn a_late_request_that_cannot_end_before_the_process_is_not_held() {
    let (stop, _connection) = Stop::begin(|deployment, gateway| {
        allow_long_requests(deployment, gateway);
        hang_plain_runners(deployment, gateway);
        begin_long(gateway, "/post/x", "early")
    });
    stop.sleep_until(IDLE_KEPT + Duration::from_millis(300));
    let begun = Instant::now();
    let answer = begin_long(stop.gateway, "/post/x", "late").read_answer();
    assert!(begun.elapsed() < REFUSAL_BOUND, "{:?}", begun.elapsed());
    assert_eq!((answer.status, answer.retry_after.as_deref()), (503, Some("0.000")));
    assert!(answer.body.contains("\"code\":107") && answer.announces_close, "{answer:?}");
    assert!(stop.deployment.standin.runs("late").is_empty());
}

#[test]
fn a_request_that_is_being_sent_at_the_end_of_a_stop_does_not_end_without_a_refusal() {
    let (stop, mut connection) = Stop::begin(|deployment, gateway| {
        allow_long_requests(deployment, gateway);
        let mut connection = KeptConnection::open(gateway);
        connection.send(KeptConnection::head("/post/x", "partly", LONG_LIMIT_MS, 8).as_bytes());
        connection
    });
    let answer = connection.read_answer();
    assert!(stop.began.elapsed() < GRACE, "{:?}", stop.began.elapsed());
    assert_eq!((answer.status, answer.retry_after.as_deref()), (503, Some("0.000")));
    assert!(answer.body.contains("\"code\":107") && answer.announces_close, "{answer:?}");
}

#[test]
fn a_stream_that_is_read_too_slowly_for_a_stop_does_not_end_without_a_log_line() {
    let (mut stop, mut connection) = Stop::begin(|deployment, gateway| {
        allow_long_requests(deployment, gateway);
        let runner = SocketAddr::new(crate::machine_address(gateway, 3), 8001);
        deployment.standin.change_runner(runner, |it| it.padding = HUGE_EVENT_BYTES);
        begin_long(gateway, "/s/x", "unread")
    });
    thread::spawn(move || while connection.read_some(SLOW_READ_BYTES, SLOW_READ_PAUSE) {});
    assert!(stop.deployment.wait_for_exit(stop.gateway.ip()));
    assert!(stop.began.elapsed() < GRACE, "{:?}", stop.began.elapsed());
    expect_end(&stop, "unread", &["\"cut\"", "Stopping"]);
    let log = stop.deployment.log(stop.gateway.ip());
    assert!(log.contains("\"reason\":\"process_end\""), "{log}");
}
