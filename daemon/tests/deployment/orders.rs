//! Tests of orders to load a version while streams run.
//!
//! The failure: an order aborted the last streams at its runner. A stream that no other runner could resume was cut.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::Method;
use platform_standin::{Answer, Caller};
use serde_json::json;

use crate::support::{is_whole_stream, stream, wait_until, Deployment};

/// The path of a stream that takes this long, in milliseconds.
const PATH_OF_SHORT_STREAM: &str = "/s/900";
/// The path of a stream that takes this long, in milliseconds: longer than the time between the orders.
const PATH_OF_LONG_STREAM: &str = "/s/3300";
/// The number of callers that send one stream after the other.
const CALLERS: usize = 4;
/// The time between the first streams of two callers.
const CALLER_INTERVAL: Duration = Duration::from_millis(200);
/// Within what time a new gateway may use its whole share of the retry budget.
const BUDGET_TIME: Duration = Duration::from_millis(15_500);
/// Within what time a gateway applies a configuration.
const CONFIGURATION_TIME: Duration = Duration::from_millis(1000);

/// A deployment with two model runners whose route allows this number of attempts.
fn start(attempts: u32) -> (Deployment, SocketAddr, [SocketAddr; 2]) {
    let mut deployment = Deployment::start();
    let runners = ["e1", "e2"].map(|it| deployment.add_model_runner(it, Some(1)));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    wait_until("streams are served", || is_whole_stream(&stream(gateway, "w"), "w"));
    deployment.standin.reconfigure(|it| it["routes"][0]["attempts"] = json!(attempts));
    std::thread::sleep(CONFIGURATION_TIME);
    for runner in runners {
        deployment.standin.change_runner(runner, |it| it.takes_long_on = Some("/s/".into()));
    }
    (deployment, gateway, runners)
}

/// Sends streams one after the other until `is_over` is set, and returns their answers.
fn send_streams(
    gateway: SocketAddr,
    path: &str,
    caller: usize,
    is_over: &AtomicBool,
) -> Vec<(String, Answer)> {
    std::thread::sleep(CALLER_INTERVAL * caller as u32);
    let mut answers = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let id = format!("c{caller}-{}", answers.len());
        let answer = Caller::new(Method::POST, path, &id).call(gateway);
        answers.push((id, answer));
    }
    answers
}

/// Loads a version after callers have sent streams for a while. Each of them is answered completely, or refused as not run.
fn expect_whole_streams_while_a_version_is_loaded(attempts: u32, path: &str, after: Duration) {
    let (deployment, gateway, runners) = start(attempts);
    let is_over = AtomicBool::new(false);
    let answers: Vec<(String, Answer)> = std::thread::scope(|scope| {
        let is_over = &is_over;
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| scope.spawn(move || send_streams(gateway, path, caller, is_over)))
            .collect();
        std::thread::sleep(after);
        deployment.standin.announce_version(2);
        runners.iter().for_each(|it| deployment.wait_for_version(*it, 2));
        is_over.store(true, Ordering::Relaxed);
        callers.into_iter().flat_map(|it| it.join().unwrap()).collect()
    });
    let is_refused =
        |it: &Answer| it.status == 503 && it.headers.contains_key("retry-after") && it.is_complete;
    for (id, answer) in &answers {
        let is_expected = is_whole_stream(answer, id) || is_refused(answer);
        assert!(is_expected, "{id}: {answer:?} {:?}", deployment.account(id).lines);
    }
    assert!(answers.iter().any(|(id, it)| is_whole_stream(it, id)));
}

#[test]
fn orders_cut_no_stream_that_may_use_one_runner() {
    expect_whole_streams_while_a_version_is_loaded(1, PATH_OF_SHORT_STREAM, CONFIGURATION_TIME);
}

/// A gateway that has just started may use a small share of the budget.
#[test]
fn orders_cut_no_stream_of_a_gateway_that_has_few_retries() {
    expect_whole_streams_while_a_version_is_loaded(2, PATH_OF_SHORT_STREAM, CONFIGURATION_TIME);
}

#[test]
fn orders_cut_no_stream_that_was_moved_by_an_order_before() {
    expect_whole_streams_while_a_version_is_loaded(2, PATH_OF_LONG_STREAM, BUDGET_TIME);
}
