//! Runners that turn requests away and ask for rest.
//!
//! Four of twelve runners shed load for eight seconds: they answered 503 and asked each gateway for three seconds of rest.
//! The gateways went on sending them up to 37 requests a second, each, and one caller in ten was refused though the other
//! eight had room. A runner that turns everything away is idle, so it looked like the best one; the pause after each refusal
//! was 60 ms, whatever the runner asked for. What proved the cause: gateways' lines in which such a runner is chosen with no
//! request there and fails 3 ms later, at an even rate, both attempts of a request in a row.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use platform_standin::{Caller, TurnedAway};

use crate::neighbour;
use crate::support::{stream, wait_until, Deployment};

/// How long the runner wants to be left alone.
const REST: Duration = Duration::from_millis(2000);
/// How long after its answer requests may still be on their way.
const TRANSIT: Duration = Duration::from_millis(500);
/// How many requests may reach it in one such time.
const MOST_DURING_REST: usize = 2;
/// Requests that are served before, so that a gateway that has just started may repeat a few: 0.15 for each request.
const SERVED_BEFORE: usize = 30;
/// How long it sheds.
const SPAN: Duration = Duration::from_millis(5000);
/// The pause between two calls.
const PAUSE: Duration = Duration::from_millis(10);
/// Within how long after its last rest it serves again.
const BACK: Duration = Duration::from_millis(1500);

/// How many requests reached the runner within the rest that it asked for with one answer.
fn arrivals_during(answer: &TurnedAway, all: &[TurnedAway]) -> usize {
    let rest = answer.at + TRANSIT..answer.at + answer.rest;
    all.iter().filter(|it| it.runner == answer.runner && rest.contains(&it.at)).count()
}

/// Has a runner shed while callers go on, and checks that it is left alone, that callers are served, and that it is used
/// again afterwards.
fn expect_rest(deployment: &Deployment, runner: SocketAddr, call: impl Fn(&str) -> u16) {
    let id = deployment.standin.runner(runner).expect("the runner is there").id;
    for number in 0..SERVED_BEFORE {
        call(&format!("{id}-{number}"));
    }
    wait_for_run(deployment, &id, "before", &call);
    deployment.standin.change_runner(runner, |it| it.sheds = Some(REST));
    let begun = Instant::now();
    let mut refused = 0;
    for number in 0.. {
        refused += usize::from(call(&format!("during-{number}")) != 200);
        if begun.elapsed() > SPAN {
            break;
        }
        std::thread::sleep(PAUSE);
    }
    let all: Vec<_> =
        deployment.standin.turned_away().into_iter().filter(|it| it.runner == id).collect();
    assert!(!all.is_empty(), "{id} was asked");
    let most = all.iter().map(|it| arrivals_during(it, &all)).max().unwrap_or(0);
    assert!(most <= MOST_DURING_REST, "{most} requests reached {id} within {REST:?} of rest");
    assert_eq!(refused, 0, "the others serve");
    deployment.standin.change_runner(runner, |it| it.sheds = None);
    std::thread::sleep(REST);
    let rested = Instant::now();
    wait_for_run(deployment, &id, "afterwards", &call);
    assert!(rested.elapsed() < BACK, "{id} serves again after {:?}", rested.elapsed());
}

/// Calls until the runner runs one of the requests.
fn wait_for_run(deployment: &Deployment, id: &str, word: &str, call: impl Fn(&str) -> u16) {
    let mut number = 0;
    wait_until(&format!("{id} serves"), || {
        number += 1;
        let request = format!("{id}-{word}-{number}");
        call(&request);
        deployment.standin.runs(&request).iter().any(|it| it.runner == id)
    });
}

#[test]
fn a_runner_that_asks_for_rest_is_left_alone_until_it_is_over() {
    let mut deployment = Deployment::start();
    let model = deployment.add_model_runner("e1", Some(1));
    deployment.add_model_runner("e2", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    expect_rest(&deployment, model, |id| stream(gateway, id).status);
    let plain = SocketAddr::new(neighbour(gateway, 1), 8001);
    expect_rest(&deployment, plain, |id| {
        Caller::new(Method::GET, "/get/x", id).call(gateway).status
    });
}
