//! Tests of a runner that states in its answers that it leaves.
//!
//! The failure: a leaving runner stated so in each of its answers while the store was silent. The gateway
//! forwarded these answers and went on sending requests there until the runner ended, 18 in six seconds. The
//! cause: gateways read only the status, the signature and whether the request ran from an answer, and learned
//! that a runner leaves only from the list of runners.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use platform_standin::{Answer, Caller, StoreFault};

use crate::machine_address;
use crate::support::{stream, wait_until, Deployment};

/// How long after it forwarded such an answer a gateway may still send requests to the runner, by the settings
/// of the deployment.
const DRAIN_BOUND: Duration = Duration::from_millis(2000);
/// How long callers go on after `DRAIN_BOUND`.
const CALL_PERIOD: Duration = Duration::from_millis(3000);
/// Pause between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(15);

/// Silences the store and waits until no process receives list changes any more: feeds in progress are answered
/// before.
fn silence_store(deployment: &Deployment) {
    let before = deployment.standin.unanswered_calls("servers");
    deployment.standin.set_store_fault(StoreFault::NoResponse);
    wait_until("the silent store has taken a call for the list", || {
        deployment.standin.unanswered_calls("servers") > before
    });
}

/// Repeats calls until an answer states that a runner leaves, or until the sidecar of the runner must know it.
/// Returns the time of that.
fn wait_for_leave_notice(
    gateway: SocketAddr,
    method: &Method,
    path: &str,
    has_sidecar: bool,
) -> Instant {
    let (begun, mut number) = (Instant::now(), 0);
    wait_until("an answer says that its runner leaves", || {
        number += 1;
        let id = format!("before-{number}");
        let answer = Caller::new(method.clone(), path, &id).call(gateway);
        let sidecar_knows = has_sidecar && begun.elapsed() > SIDECAR_NOTICE_PERIOD;
        sidecar_knows || answer.headers.contains_key("server-leaving")
    });
    Instant::now()
}

/// Repeats calls until `CALL_PERIOD` after `DRAIN_BOUND`. Returns the answers to requests sent after
/// `DRAIN_BOUND`, with their ids.
fn call_repeatedly(
    gateway: SocketAddr,
    method: &Method,
    path: &str,
    known_at: Instant,
) -> Vec<(String, Answer)> {
    let mut answers = Vec::new();
    for number in 0.. {
        let id = format!("after-{number}");
        let after_bound = known_at.elapsed() > DRAIN_BOUND;
        let answer = Caller::new(method.clone(), path, &id).call(gateway);
        if after_bound {
            answers.push((id, answer));
        }
        if known_at.elapsed() > DRAIN_BOUND + CALL_PERIOD {
            break;
        }
        std::thread::sleep(CALL_PAUSE);
    }
    answers
}

/// Makes a runner leave while the store is silent, and checks that it receives no requests once that is known,
/// and that callers are served.
fn expect_no_requests_for(
    deployment: &Deployment,
    gateway: SocketAddr,
    runner: SocketAddr,
    path: &str,
) {
    let method = if path.starts_with("/get") { Method::GET } else { Method::POST };
    silence_store(deployment);
    deployment.standin.change_runner(runner, |it| it.is_leaving = true);
    let has_sidecar = deployment.standin.runner(runner).is_some_and(|it| it.model);
    let known_at = wait_for_leave_notice(gateway, &method, path, has_sidecar);
    let answers = call_repeatedly(gateway, &method, path, known_at);
    let id = deployment.standin.runner(runner).expect("the runner is there").id;
    let is_late = |request: &str| deployment.standin.runs(request).iter().any(|it| it.runner == id);
    let late = answers.iter().filter(|(request, _)| is_late(request)).count();
    assert_eq!(late, 0, "{late} of {} requests reached the runner that leaves", answers.len());
    let served = answers.iter().filter(|(_, it)| it.status == 200).count();
    assert_eq!(served, answers.len(), "the other runners serve all requests");
}

#[test]
fn a_runner_that_states_in_an_answer_that_it_leaves_gets_no_more_requests() {
    let mut deployment = Deployment::start();
    let model = deployment.add_model_runner("e1", Some(1));
    deployment.add_model_runner("e2", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let plain = SocketAddr::new(machine_address(gateway, 1), 8001);
    expect_no_requests_for(&deployment, gateway, plain, "/get/x");
    expect_no_requests_for(&deployment, gateway, model, "/s/x");
}

/// How long a sidecar may take to learn from its runner that it leaves: several of its polls.
const SIDECAR_NOTICE_PERIOD: Duration = Duration::from_millis(500);

/// Number of concurrent streams, more than are sent to a single runner.
const CONCURRENT_STREAMS: u32 = 6;

/// The sidecar of a model runner learns of the leave by its own polls and reports it to every gateway, so that
/// a gateway need not learn it from the answer to a request.
#[test]
fn a_gateway_learns_from_the_sidecar_that_a_model_runner_leaves() {
    let mut deployment = Deployment::start();
    let model = deployment.add_model_runner("e1", Some(1));
    deployment.add_model_runner("e2", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    wait_until("both runners serve", || {
        let ran =
            |id: &str| deployment.standin.all_runs().values().flatten().any(|it| it.runner == id);
        stream(gateway, "warm-up");
        ran("e1") && ran("e2")
    });
    silence_store(&deployment);
    deployment.standin.change_runner(model, |it| it.is_leaving = true);
    std::thread::sleep(SIDECAR_NOTICE_PERIOD);
    let id = |number: u32| format!("heard-{number}");
    std::thread::scope(|scope| {
        for number in 0..CONCURRENT_STREAMS {
            scope.spawn(move || stream(gateway, &id(number)));
        }
    });
    let runners: Vec<String> = (0..CONCURRENT_STREAMS)
        .flat_map(|it| deployment.standin.runs(&id(it)))
        .map(|it| it.runner)
        .collect();
    assert!(!runners.is_empty(), "the other runner serves");
    assert!(!runners.iter().any(|it| it == "e1"), "{runners:?}");
}
