//! Failed requests explained from logs alone, and logs that nobody reads.

use std::net::SocketAddr;

use http::Method;
use platform_standin::{Caller, RunnerFault};
use rustix::process::Signal;

use crate::neighbour;
use crate::support::{is_whole_stream, stream, wait_until, Deployment};

/// A runner that looks free to a gateway, but whose sidecar stands still.
#[test]
fn a_refusal_though_a_runner_looked_free_is_explained() {
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
    assert!(deployment.standin.runs("refused-1").is_empty(), "and it did not run");
}

#[test]
fn a_stream_that_broke_off_midway_is_explained() {
    let mut deployment = Deployment::start();
    let runner = deployment.add_model_runner("e1", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    wait_until("streams are served", || is_whole_stream(&stream(gateway, "w"), "w"));
    deployment.standin.change_runner(runner, |it| it.fault = RunnerFault::CutAfter(5));
    let answer = stream(gateway, "cut-1");
    assert!(answer.status == 200 && !answer.whole, "{answer:?}");
    let account = deployment.account("cut-1");
    assert!(account.cause.contains("broke off"), "{account}");
    assert!(account.cause.contains("e1 ended with CutShort"), "{account}");
}

#[test]
fn an_unsafe_request_of_unknown_outcome_is_explained() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    for machine in [1, 2] {
        let runner = SocketAddr::new(neighbour(gateway, machine), 8001);
        deployment.standin.change_runner(runner, |it| it.fault = RunnerFault::AnswerLost);
    }
    let answer = Caller::new(Method::POST, "/post/x", "unknown-1").call(gateway);
    assert_eq!(answer.status, 502, "{answer:?}");
    let account = deployment.account("unknown-1");
    assert!(account.cause.contains("whether it ran is not known"), "{account}");
    assert!(account.to_string().contains("(unsafe) to ledger"), "{account}");
}

/// Requests enough to fill a pipe and the queue before it several times over.
#[test]
fn a_reader_that_never_reads_costs_lines_and_nothing_else() {
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
    let page = deployment.metrics(gateway.ip());
    let dropped = page.lines().find(|it| it.contains("name=\"log_lines_dropped\""));
    let dropped = dropped.and_then(|it| it.rsplit(' ').next()).and_then(|it| it.parse().ok());
    assert!(dropped.unwrap_or(0) > 0, "{page}");
}

#[test]
fn the_page_of_metrics_counts_every_reason() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    Caller::new(Method::GET, "/nowhere/x", "n1").call(gateway);
    Caller::new(Method::GET, "/get/x", "g1").call(gateway);
    let page = deployment.metrics(gateway.ip());
    for part in [
        "reason=\"UnknownTarget\"",
        "kind=\"safe\",outcome=\"whole\"",
        "silverdock_span_seconds_bucket",
        "what=\"whole_answer\"",
        "name=\"runners_listed\"",
    ] {
        assert!(page.contains(part), "{part} is missing from\n{page}");
    }
}
