//! Tests of sound runners that fall silent for a while and go on.
//!
//! The failure: a gateway left a runner for good once it had been silent for longer than expected. If no other
//! runner could take the request over, its caller got a cut stream or an error, although the runner would have
//! completed the answer.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use account::{Decision, RequestLine};
use http::Method;
use platform_standin::{Answer, Caller, RunnerFault, HOST, KEY};
use serde_json::json;

use crate::machine_address;
use crate::support::{is_whole_stream, sleep_until, stream, wait_until, Deployment};

/// Longer than a gateway waits before it asks another runner.
const PAUSE: Duration = Duration::from_millis(1500);
/// The number of events before a pause within a stream.
const EVENTS_BEFORE_PAUSE: u64 = 5;
/// How long requests may begin on an older version, by the settings of the deployment.
const VERSION_BOUND: Duration = Duration::from_millis(8000);
/// How long after its start a gateway knows that no older version is left.
const SETTLE_TIME: Duration = Duration::from_millis(2500);
/// Within what time the runners of a caller that has disconnected are free.
const RELEASE_BOUND: Duration = Duration::from_millis(400);
/// How long before the deadline of a version a request is sent that starts after it.
const SENT_BEFORE_DEADLINE: Duration = Duration::from_millis(2000);
/// The path of a stream that takes this long, in milliseconds.
const PATH_OF_PACED_STREAM: &str = "/s/1500";
/// By when the head of a stream that was started has arrived; its first event has not.
const HEAD_TIME: Duration = Duration::from_millis(50);

fn pause_after(events: u64) -> RunnerFault {
    RunnerFault::PauseAfter { events, pause: PAUSE }
}

/// A deployment with a model runner that serves streams.
fn start() -> (Deployment, SocketAddr, SocketAddr) {
    let mut deployment = Deployment::start();
    let runner = deployment.add_model_runner("e1", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    wait_until("streams are served", || is_whole_stream(&stream(gateway, "w"), "w"));
    (deployment, gateway, runner)
}

/// Adds a model runner and waits until it runs requests.
fn add_second_runner(deployment: &mut Deployment, gateway: SocketAddr) -> SocketAddr {
    let second = deployment.add_model_runner("e2", Some(1));
    let mut number = 0;
    wait_until("the second runner is used", || {
        number += 1;
        let id = format!("second-{number}");
        stream(gateway, &id);
        deployment.standin.runs(&id).iter().any(|it| it.runner == "e2")
    });
    second
}

fn expect_whole_streams(gateway: SocketAddr, prefix: &str) {
    for number in 0..3 {
        let id = format!("{prefix}-{number}");
        let answer = stream_unless_refused(gateway, &id);
        assert!(is_whole_stream(&answer, &id), "{answer:?}");
    }
}

/// The answer to a stream whose caller comes back when it is refused as not run. While a runner is full, few
/// retries may be left.
fn stream_unless_refused(gateway: SocketAddr, id: &str) -> Answer {
    let mut answer = stream(gateway, id);
    wait_until("the stream is not refused", || {
        let is_refused = answer.status == 503 && answer.headers.contains_key("retry-after");
        if is_refused {
            answer = stream(gateway, id);
        }
        !is_refused
    });
    answer
}

#[test]
fn a_stream_survives_a_pause_without_another_runner() {
    let (deployment, gateway, runner) = start();
    for events in [EVENTS_BEFORE_PAUSE, 0] {
        deployment.standin.change_runner(runner, |it| it.fault = pause_after(events));
        expect_whole_streams(gateway, &format!("after-{events}"));
        let lines = deployment.account(&format!("after-{events}-0")).lines;
        let is_silent = |it: &&RequestLine| matches!(it.decision, Decision::Silent { .. });
        assert_eq!(lines.iter().filter(is_silent).count(), 1, "{lines:?}");
        let goes_on = |it: &RequestLine| matches!(it.decision, Decision::Continued { .. });
        assert!(lines.iter().any(goes_on), "{lines:?}");
        let has_failed = |it: &RequestLine| matches!(it.decision, Decision::Failed { .. });
        assert!(!lines.iter().any(has_failed), "{lines:?}");
    }
}

#[test]
fn a_stream_survives_a_pause_while_other_runners_are_full() {
    let (mut deployment, gateway, runner) = start();
    let full = add_second_runner(&mut deployment, gateway);
    deployment.standin.change_runner(full, |it| it.fault = RunnerFault::RejectAll);
    for events in [EVENTS_BEFORE_PAUSE, 0] {
        deployment.standin.change_runner(runner, |it| it.fault = pause_after(events));
        expect_whole_streams(gateway, &format!("after-{events}"));
    }
}

#[test]
fn a_stream_survives_a_pause_when_its_attempts_are_used_up() {
    let (mut deployment, gateway, runner) = start();
    let second = add_second_runner(&mut deployment, gateway);
    deployment.standin.reconfigure(|it| it["routes"][0]["attempts"] = json!(1));
    std::thread::sleep(Duration::from_millis(1000));
    for events in [EVENTS_BEFORE_PAUSE, 0] {
        for runner in [runner, second] {
            deployment.standin.change_runner(runner, |it| it.fault = pause_after(events));
        }
        expect_whole_streams(gateway, &format!("after-{events}"));
    }
}

#[test]
fn a_plain_answer_survives_a_pause_before_its_head() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let runner = |it: u8| SocketAddr::new(machine_address(gateway, it), 8001);
    deployment.standin.change_runner(runner(1), |it| it.fault = pause_after(0));
    deployment.standin.change_runner(runner(2), |it| it.fault = RunnerFault::RejectAll);
    for number in 0..3 {
        let answer = Caller::new(Method::GET, "/get/x", &format!("g{number}")).call(gateway);
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

/// The pause ends before the second runner begins to answer.
#[test]
fn a_runner_that_goes_on_first_serves_its_caller_and_the_other_is_released() {
    let (mut deployment, gateway, runner) = start();
    let second = add_second_runner(&mut deployment, gateway);
    deployment.standin.change_runner(runner, |it| it.fault = pause_after(EVENTS_BEFORE_PAUSE));
    deployment.standin.change_runner(second, |it| it.prompt_read_time = Duration::from_secs(2));
    let mut number = 0;
    wait_until("a stream begins at the runner that pauses", || {
        number += 1;
        let id = format!("first-{number}");
        let answer = stream(gateway, &id);
        let runs = deployment.standin.runs(&id);
        if runs.iter().all(|it| it.runner != "e1") {
            return false;
        }
        assert!(is_whole_stream(&answer, &id), "{answer:?} {runs:?}");
        assert_eq!(runs.len(), 1, "{runs:?}");
        true
    });
    wait_until("the second runner is free", || {
        deployment.standin.runner(second).is_some_and(|it| it.running == 0)
    });
}

#[test]
fn a_stream_of_a_runner_that_stays_silent_is_resumed_and_the_runner_is_released() {
    let (mut deployment, gateway, runner) = start();
    add_second_runner(&mut deployment, gateway);
    let silent = RunnerFault::PauseAfter { events: EVENTS_BEFORE_PAUSE, pause: PAUSE * 10 };
    deployment.standin.change_runner(runner, |it| it.fault = silent);
    let mut number = 0;
    wait_until("a stream is resumed", || {
        number += 1;
        let id = format!("resumed-{number}");
        let answer = stream(gateway, &id);
        let runs = deployment.standin.runs(&id);
        assert!(is_whole_stream(&answer, &id), "{answer:?} {runs:?}");
        runs.iter().any(|it| it.runner == "e2" && it.last_event == EVENTS_BEFORE_PAUSE)
    });
    wait_until("the silent runner is free", || {
        deployment.standin.runner(runner).is_some_and(|it| it.running == 0)
    });
}

/// A request that its gateway keeps at a silent runner must not start on a version past its deadline.
#[test]
fn a_request_at_a_silent_runner_is_withdrawn_before_the_deadline_of_its_version() {
    let (deployment, gateway, runner) = start();
    deployment.standin.reconfigure(|it| it["services"][2]["origin"] = json!("127.77.0.1:9"));
    std::thread::sleep(SETTLE_TIME);
    deployment.standin.announce_version(2);
    let deadline = Instant::now() + VERSION_BOUND;
    deployment.standin.change_runner(runner, |it| it.prompt_read_time = 2 * SENT_BEFORE_DEADLINE);
    sleep_until(deadline - SENT_BEFORE_DEADLINE);
    let answer = stream(gateway, "kept");
    assert!(Instant::now() > deadline - SENT_BEFORE_DEADLINE / 2, "it was not kept: {answer:?}");
    sleep_until(deadline + 2 * SENT_BEFORE_DEADLINE);
    assert!(deployment.standin.runs("kept").is_empty(), "{answer:?}");
    assert_eq!(answer.status, 502, "{answer:?}");
}

/// A runner whose response has begun has started the request on the version in time.
#[test]
fn a_stream_that_pauses_before_its_first_event_survives_the_deadline_of_its_version() {
    let (deployment, gateway, runner) = start();
    deployment.standin.reconfigure(|it| it["services"][2]["origin"] = json!("127.77.0.1:9"));
    deployment.standin.change_runner(runner, |it| it.takes_long_on = Some("/s/".into()));
    std::thread::sleep(SETTLE_TIME);
    deployment.standin.announce_version(2);
    let deadline = Instant::now() + VERSION_BOUND;
    sleep_until(deadline - SENT_BEFORE_DEADLINE);
    let caller = Caller::new(Method::POST, PATH_OF_PACED_STREAM, "begun");
    let calling = std::thread::spawn(move || caller.call(gateway));
    wait_until("the stream is started", || !deployment.standin.runs("begun").is_empty());
    std::thread::sleep(HEAD_TIME);
    deployment.standin.change_runner(runner, |it| it.silent_until = Some(deadline));
    let answer = calling.join().unwrap();
    assert!(is_whole_stream(&answer, "begun"), "{answer:?}");
}

/// Sends a stream request and returns its connection.
fn open_stream(gateway: SocketAddr, id: &str) -> TcpStream {
    let mut connection = TcpStream::connect(gateway).unwrap();
    let headers = platform_standin::headers(id, KEY, 4000);
    let lines: Vec<String> =
        headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let head = format!("POST /s/x HTTP/1.1\r\nhost: {HOST}\r\n{}\r\n", lines.concat());
    connection.write_all(head.as_bytes()).unwrap();
    connection
}

#[test]
fn both_runners_of_a_stalled_stream_are_released_when_its_caller_disconnects() {
    let (mut deployment, gateway, silent) = start();
    let second = add_second_runner(&mut deployment, gateway);
    deployment.standin.change_runner(silent, |it| {
        it.fault = RunnerFault::PauseAfter { events: EVENTS_BEFORE_PAUSE, pause: PAUSE * 10 };
    });
    deployment.standin.change_runner(second, |it| it.prompt_read_time = PAUSE * 10);
    let running = || {
        [silent, second].map(|it| deployment.standin.runner(it).map_or(0, |runner| runner.running))
    };
    let mut number = 0;
    wait_until("a stream is at both runners", || {
        number += 1;
        let connection = open_stream(gateway, &format!("both-{number}"));
        std::thread::sleep(PAUSE);
        if running() != [1, 1] {
            return false;
        }
        drop(connection);
        std::thread::sleep(RELEASE_BOUND);
        assert_eq!(running(), [0, 0]);
        true
    });
}
