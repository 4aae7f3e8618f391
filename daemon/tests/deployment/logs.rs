//! Tests that logs alone explain failed requests, and that a blocked log output does not affect requests.

use std::net::SocketAddr;

use account::Decision;
use http::Method;
use platform_standin::{Caller, RunnerFault};
use rustix::process::Signal;

use crate::machine_address;
use crate::support::{is_whole_stream, stream, wait_until, Deployment};

/// The runner looks free to the gateway, but its sidecar is paused.
#[test]
fn the_log_explains_a_refusal_though_a_runner_looked_free() {
    let mut deployment = Deployment::start();
    let runner = deployment.add_model_runner("e1", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    wait_until("streams are served", || is_whole_stream(&stream(gateway, "w"), "w"));
    deployment.signal(runner.ip(), Signal::STOP);
    let answer = stream(gateway, "refused-1");
    deployment.signal(runner.ip(), Signal::CONT);
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    let account = deployment.account("refused-1");
    assert!(account.cause.contains("did not run"), "{account}");
    assert!(account.cause.contains("silent"), "{account}");
    assert!(deployment.standin.runs("refused-1").is_empty(), "the request did not run");
}

#[test]
fn the_log_explains_a_stream_that_was_cut_off() {
    let mut deployment = Deployment::start();
    let runner = deployment.add_model_runner("e1", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    wait_until("streams are served", || is_whole_stream(&stream(gateway, "w"), "w"));
    deployment.standin.change_runner(runner, |it| it.fault = RunnerFault::CutAfter(5));
    let answer = stream(gateway, "cut-1");
    assert!(answer.status == 200 && !answer.is_complete, "{answer:?}");
    let account = deployment.account("cut-1");
    assert!(account.cause.contains("broke off"), "{account}");
    assert!(account.cause.contains("e1 ended with CutShort"), "{account}");
}

#[test]
fn the_log_explains_an_unsafe_request_of_unknown_outcome() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    for machine in [1, 2] {
        let runner = SocketAddr::new(machine_address(gateway, machine), 8001);
        deployment.standin.change_runner(runner, |it| it.fault = RunnerFault::AnswerLost);
    }
    let answer = Caller::new(Method::POST, "/post/x", "unknown-1").call(gateway);
    assert_eq!(answer.status, 502, "{answer:?}");
    let account = deployment.account("unknown-1");
    assert!(account.cause.contains("whether it ran is not known"), "{account}");
    assert!(account.to_string().contains("(unsafe) to ledger"), "{account}");
}

/// Guards against a log that does not state the age of the configuration by which a caller was refused.
#[test]
fn the_log_of_a_refusal_states_the_age_of_the_configuration() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    assert_eq!(Caller::new(Method::GET, "/nowhere/x", "unrouted-1").call(gateway).status, 404);
    let account = deployment.account("unrouted-1");
    let unrouted = account.lines.iter().find_map(|line| match line.decision {
        Decision::Unrouted { configuration, age_ms } => Some((configuration, age_ms)),
        _ => None,
    });
    let (configuration, age_ms) = unrouted.expect("a line says what was not found");
    assert_eq!(configuration, 1);
    assert!(age_ms.is_some_and(|it| it < 10_000), "{account}");
    assert!(account.cause.contains("configuration 1, last confirmed by the store"), "{account}");
}

#[test]
fn a_gateway_logs_its_state_regularly() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let mut last = serde_json::Value::Null;
    wait_until("a line tells the state", || {
        let log = deployment.log(gateway.ip());
        let mut lines = log.lines().rev().filter_map(|it| serde_json::from_str(it).ok());
        let state = lines.find(|it: &serde_json::Value| it["message"] == "state");
        last = state.unwrap_or_default();
        !last.is_null()
    });
    assert_eq!(last["configuration"], 1);
    assert!(last["operator_age_ms"].is_u64() && last["runners_age_ms"].is_u64(), "{last}");
}

/// The requests fill the pipe and the log queue before it several times.
#[test]
fn a_blocked_log_output_drops_lines_and_no_requests() {
    let mut deployment = Deployment::start();
    deployment.unread_logs = true;
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    for number in 0..1500 {
        let id = format!("nowhere-{number}");
        let answer = Caller::new(Method::GET, "/nowhere/x", &id).call(gateway);
        assert_eq!(answer.status, 404, "request {number}");
    }
    assert_eq!(Caller::new(Method::GET, "/get/x", "still").call(gateway).status, 200);
    let metrics = deployment.metrics(gateway.ip());
    let dropped = metrics.lines().find(|it| it.contains("name=\"log_lines_dropped\""));
    let dropped = dropped.and_then(|it| it.rsplit(' ').next()).and_then(|it| it.parse().ok());
    assert!(dropped.unwrap_or(0) > 0, "{metrics}");
}

#[test]
fn the_metrics_count_refusals_and_requests_by_reason() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    Caller::new(Method::GET, "/nowhere/x", "n1").call(gateway);
    Caller::new(Method::GET, "/get/x", "g1").call(gateway);
    let metrics = deployment.metrics(gateway.ip());
    for part in [
        "reason=\"UnknownTarget\"",
        "kind=\"safe\",outcome=\"whole\"",
        "silverdock_span_seconds_bucket",
        "what=\"whole_answer\"",
        "name=\"runners_listed\"",
        "name=\"operator_table_age_ms\"",
        "name=\"runner_table_age_ms\"",
        "outcome=\"ok\",service=\"operator_table\"",
    ] {
        assert!(metrics.contains(part), "{part} is missing from\n{metrics}");
    }
}

#[test]
fn attempts_of_the_same_request_have_the_same_digest_at_every_gateway() {
    let mut deployment = Deployment::start();
    let gateways = [deployment.add_gateway(), deployment.add_gateway()];
    for gateway in gateways {
        deployment.wait_until_ready(gateway);
    }
    for machine in [1, 2] {
        let runner = SocketAddr::new(machine_address(gateways[0], machine), 8001);
        deployment.standin.change_runner(runner, |it| it.fault = RunnerFault::AnswerLost);
    }
    let digest = |path: &str, id: &str, gateway: SocketAddr| {
        Caller::new(Method::POST, path, id).call(gateway);
        let account = deployment.account(id);
        let mut digests = account.lines.iter().filter_map(|it| match &it.decision {
            Decision::Routed { digest, .. } => Some(digest.clone()),
            _ => None,
        });
        digests.next_back().expect("a line of its arrival")
    };
    let first = digest("/post/x", "try-1", gateways[0]);
    assert!(!first.is_empty());
    assert_eq!(digest("/post/x", "try-2", gateways[1]), first);
    assert_ne!(digest("/post/y", "try-3", gateways[1]), first);
}

/// Guards against a failure in which log lines on requests used up the line rate limit, so that no log showed
/// which answers of the store a gateway with an old configuration had received.
#[test]
fn answers_of_the_store_are_logged_while_requests_use_up_the_line_limit() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    deployment.rewrite_settings(gateway.ip(), "log_lines_per_s = 1000", "log_lines_per_s = 20");
    deployment.signal(gateway.ip(), Signal::HUP);
    wait_until("the log reports the new line limit", || {
        deployment.log(gateway.ip()).contains("node.log_lines_per_s")
    });
    for number in 0..300 {
        let answer = Caller::new(Method::GET, "/nowhere/x", &format!("n{number}")).call(gateway);
        assert_eq!(answer.status, 404);
    }
    deployment.standin.reconfigure(|it| it["routes"][1]["pathPrefix"] = serde_json::json!("/new/"));
    wait_until("the new configuration is in force", || {
        Caller::new(Method::GET, "/new/x", "in-force").call(gateway).status == 200
    });
    let log = deployment.log(gateway.ip());
    let lines = || log.lines().filter_map(|it| serde_json::from_str::<serde_json::Value>(it).ok());
    let is_new = |it: &serde_json::Value| it["version"].as_u64().is_some_and(|it| it > 1);
    assert!(lines().any(|it| it["message"] == "configuration" && is_new(&it)), "{log}");
    let is_feed = |it: &serde_json::Value| it["table"] == "Operator" && it["call"] == "feed";
    let answer = lines().filter(|it| it["message"] == "store answered").rfind(is_feed);
    let answer = answer.expect("a line on an answer of the store");
    assert!(answer["asked_ms"].is_u64() && answer["revision"].is_u64(), "{answer}");
    assert_eq!(answer["rows"], 1, "{answer}");
}
