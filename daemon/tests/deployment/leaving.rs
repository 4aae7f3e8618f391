//! A runner that says in its answers that it leaves.
//!
//! Users had a runner that was about to end while the platform's store answered nobody. It said so in each of its answers,
//! the gateway handed these on, and went on sending requests there for as long as the runner lived, 18 in six seconds. What
//! proved the cause: the arrivals went on at an even rate from the first such answer on, in no log stood that anybody knew
//! it, and of an answer only its status, its signature and whether it ran were read. That a runner leaves was known from
//! the list alone.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use platform_standin::{Answer, Caller, StoreFault};

use crate::neighbour;
use crate::support::{stream, wait_until, Deployment};

/// How long after it handed on such an answer a gateway may still send what callers send it, by the settings of the
/// deployment.
const DRAIN: Duration = Duration::from_millis(2000);
/// How long callers go on after that.
const SPAN: Duration = Duration::from_millis(3000);
/// The pause between two calls.
const PAUSE: Duration = Duration::from_millis(15);

/// Silences the store and waits until nobody hears of the list any more: feeds that wait are answered before.
fn silence(deployment: &Deployment) {
    let before = deployment.standin.unanswered_calls("servers");
    deployment.standin.set_store_fault(StoreFault::Silent);
    wait_until("the silent store has taken a call for the list", || {
        deployment.standin.unanswered_calls("servers") > before
    });
}

/// Calls one path over and over until the answer says that a runner leaves, or the sidecar beside it must have heard that,
/// and gives when that was.
fn wait_for_word(gateway: SocketAddr, method: &Method, path: &str, has_sidecar: bool) -> Instant {
    let (begun, mut number) = (Instant::now(), 0);
    wait_until("an answer says that its runner leaves", || {
        number += 1;
        let id = format!("before-{number}");
        let answer = Caller::new(method.clone(), path, &id).call(gateway);
        let is_told = has_sidecar && begun.elapsed() > HEARD_BY_SIDECAR;
        is_told || answer.headers.contains_key("server-leaving")
    });
    Instant::now()
}

/// Calls on until `SPAN` after the time in which the runner may still get requests. Gives the answers to what was sent
/// after it, by request.
fn call_on(
    gateway: SocketAddr,
    method: &Method,
    path: &str,
    heard: Instant,
) -> Vec<(String, Answer)> {
    let mut answers = Vec::new();
    for number in 0.. {
        let id = format!("after-{number}");
        let is_bound = heard.elapsed() > DRAIN;
        let answer = Caller::new(method.clone(), path, &id).call(gateway);
        if is_bound {
            answers.push((id, answer));
        }
        if heard.elapsed() > DRAIN + SPAN {
            break;
        }
        std::thread::sleep(PAUSE);
    }
    answers
}

/// Has a runner leave while the store is silent, and checks that it gets nothing once that is known, and that callers
/// are served.
fn expect_nothing_for(
    deployment: &Deployment,
    gateway: SocketAddr,
    runner: SocketAddr,
    path: &str,
) {
    let method = if path.starts_with("/get") { Method::GET } else { Method::POST };
    silence(deployment);
    deployment.standin.change_runner(runner, |it| it.draining = true);
    let has_sidecar = deployment.standin.runner(runner).is_some_and(|it| it.model);
    let heard = wait_for_word(gateway, &method, path, has_sidecar);
    let answers = call_on(gateway, &method, path, heard);
    let id = deployment.standin.runner(runner).expect("the runner is there").id;
    let is_late = |request: &str| deployment.standin.runs(request).iter().any(|it| it.runner == id);
    let late = answers.iter().filter(|(request, _)| is_late(request)).count();
    assert_eq!(late, 0, "{late} of {} requests reached the runner that leaves", answers.len());
    let served = answers.iter().filter(|(_, it)| it.status == 200).count();
    assert_eq!(served, answers.len(), "the others serve");
}

#[test]
fn a_runner_that_says_in_an_answer_that_it_leaves_gets_no_more_requests() {
    let mut deployment = Deployment::start();
    let model = deployment.add_model_runner("e1", Some(1));
    deployment.add_model_runner("e2", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let plain = SocketAddr::new(neighbour(gateway, 1), 8001);
    expect_nothing_for(&deployment, gateway, plain, "/get/x");
    expect_nothing_for(&deployment, gateway, model, "/s/x");
}

/// How long a sidecar may take to hear from its runner that it leaves: a few of its questions.
const HEARD_BY_SIDECAR: Duration = Duration::from_millis(500);

/// Streams that begin at once: more than one runner would be chosen for.
const AT_ONCE: u32 = 6;

/// The sidecar beside a model runner hears it as well, by its own questions. It tells every gateway, so that none has to
/// find out by a request of its own.
#[test]
fn a_gateway_that_got_no_answer_of_a_model_runner_that_leaves_hears_it_from_the_sidecar() {
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
    silence(&deployment);
    deployment.standin.change_runner(model, |it| it.draining = true);
    std::thread::sleep(HEARD_BY_SIDECAR);
    let id = |number: u32| format!("heard-{number}");
    std::thread::scope(|scope| {
        for number in 0..AT_ONCE {
            scope.spawn(move || stream(gateway, &id(number)));
        }
    });
    let runners: Vec<String> =
        (0..AT_ONCE).flat_map(|it| deployment.standin.runs(&id(it))).map(|it| it.runner).collect();
    assert!(!runners.is_empty(), "the other one serves");
    assert!(!runners.iter().any(|it| it == "e1"), "{runners:?}");
}
