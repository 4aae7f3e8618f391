//! Tests of requests that are under way while the configuration or the settings change.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use http::Method;
use platform_standin::{Caller, Standin};
use rustix::process::Signal;
use serde_json::json;

use crate::kept_connection::KeptConnection;
use crate::support::{is_whole_stream, stream, wait_until, Deployment};

/// The deadline of a request whose body is sent in two parts, in milliseconds.
const DEADLINE_MS: u64 = 4000;
/// Size of such a body, in bytes.
const BODY_BYTES: usize = 1000;
/// How long a runner reads a request before it executes it.
const PROMPT_READ_TIME: Duration = Duration::from_millis(1500);
/// The time between two changes in quick succession.
const CHANGE_INTERVAL: Duration = Duration::from_millis(60);
/// The number of changes in quick succession.
const CHANGES: u64 = 50;
/// The number of callers that send requests meanwhile.
const CALLERS: usize = 4;

/// Removes all routes, and all services but the origin of weights.
fn remove_routes_and_services(standin: &Standin) {
    standin.reconfigure(|it| {
        it["routes"] = json!([]);
        it["services"].as_array_mut().unwrap().retain(|service| service["name"] == "weights");
    });
}

/// Waits until a gateway answers requests of the route `get` with a status.
fn wait_for_status(gateway: SocketAddr, status: u16) {
    let caller = Caller::new(Method::GET, "/get/x", "probe");
    wait_until("the configuration is in force", || caller.call(gateway).status == status);
}

/// Changes the configuration while the body of a request is under way, so that `refusal` is the status of later ones,
/// and checks that the request is run and answered or refused.
fn expect_an_end_beside(refusal: u16, change: impl FnOnce(&Standin)) {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let mut connection = KeptConnection::open(gateway);
    let head = KeptConnection::head("/post/x", "slow", DEADLINE_MS, BODY_BYTES);
    connection.send(head.as_bytes());
    connection.send_body(BODY_BYTES / 2);
    // The gateway has routed the request once it has answered a later one.
    wait_for_status(gateway, 200);
    change(&deployment.standin);
    wait_for_status(gateway, refusal);
    connection.send_body(BODY_BYTES / 2);
    let answer = connection.read_answer();
    assert!([200, refusal].contains(&answer.status), "{answer:?}");
    let runs = deployment.standin.runs("slow").len();
    assert_eq!(runs, usize::from(answer.status == 200), "{answer:?}");
    assert_eq!(connection.call("/post/x", "next", BODY_BYTES).status, refusal);
}

#[test]
fn a_request_whose_body_is_under_way_is_answered_though_its_route_is_removed() {
    expect_an_end_beside(404, remove_routes_and_services);
}

#[test]
fn a_request_whose_body_is_under_way_is_answered_though_its_key_is_removed() {
    expect_an_end_beside(401, |it| {
        it.reconfigure(|it| it["tenants"][0]["apiKeys"] = json!(["other"]));
    });
}

#[test]
fn a_stream_is_completed_though_its_route_and_service_are_removed_and_settings_are_read_again() {
    let mut deployment = Deployment::start();
    let runner = deployment.add_model_runner("e1", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    wait_until("streams are served", || stream(gateway, "first").is_complete);
    deployment.standin.reconfigure(|it| it["routes"][0]["targetLatencyMs"] = json!(4000));
    thread::sleep(CHANGE_INTERVAL * 10);
    deployment.standin.change_runner(runner, |it| it.prompt_read_time = PROMPT_READ_TIME);
    let caller = thread::spawn(move || stream(gateway, "long"));
    wait_until("the runner reads the request", || {
        deployment.standin.runner(runner).is_some_and(|it| it.running == 1)
    });
    remove_routes_and_services(&deployment.standin);
    deployment.rewrite_settings(gateway.ip(), "repeat_ratio = 0.2", "repeat_ratio = 0.0");
    deployment.signal(gateway.ip(), Signal::HUP);
    wait_for_status(gateway, 404);
    let answer = caller.join().unwrap();
    assert!(is_whole_stream(&answer, "long"), "{answer:?}");
    assert_eq!(deployment.standin.runs("long").len(), 1);
}

/// Each change of the configuration moves priorities, time limits and routes that the requests do not use; each
/// second one comes with a reload.
#[test]
fn no_request_is_lost_beside_changes_in_quick_succession() {
    let mut deployment = Deployment::start();
    deployment.add_model_runner("e1", Some(1));
    deployment.add_model_runner("e2", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    wait_until("streams are served", || stream(gateway, "first").is_complete);
    let is_over = AtomicBool::new(false);
    let answers = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                scope.spawn({
                    let is_over = &is_over;
                    move || call_until(gateway, caller, is_over)
                })
            })
            .collect();
        for number in 0..CHANGES {
            thread::sleep(CHANGE_INTERVAL);
            change(&deployment, gateway, number);
        }
        is_over.store(true, Ordering::SeqCst);
        callers.into_iter().map(|it| it.join().unwrap()).sum::<usize>()
    });
    assert!(answers > CALLERS, "{answers} requests were sent");
}

/// Sends streams until told to stop and returns their number. Each of them must be served whole.
fn call_until(gateway: SocketAddr, caller: usize, is_over: &AtomicBool) -> usize {
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("c{caller}-{number}");
        let answer = stream(gateway, &id);
        assert!(is_whole_stream(&answer, &id), "{id}: {answer:?}");
    }
    number
}

/// Changes the configuration, and for even numbers also the settings.
fn change(deployment: &Deployment, gateway: SocketAddr, number: u64) {
    deployment.standin.reconfigure(|it| {
        it["routes"][0]["timeoutMs"] = json!(4000 + number);
        it["routes"][0]["priority"] = json!(number % 3);
        let mut route = it["routes"][1].clone();
        route["name"] = json!("other");
        route["pathPrefix"] = json!("/other/");
        let routes = it["routes"].as_array_mut().unwrap();
        routes.truncate(3);
        if number.is_multiple_of(2) {
            routes.push(route);
        }
    });
    if number.is_multiple_of(2) {
        let (from, to) = (1000 + number, 1002 + number);
        let key = |value: u64| format!("log_lines_per_s = {value}\n");
        deployment.rewrite_settings(gateway.ip(), &key(from), &key(to));
        deployment.signal(gateway.ip(), Signal::HUP);
    }
}
