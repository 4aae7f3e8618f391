//! Tests of runners that reject requests and ask for a backoff.
//!
//! The failure: four of twelve runners shed load for eight seconds. They answered 503 and asked each gateway
//! for a backoff of three seconds, but each gateway went on sending them up to 37 requests a second, and one caller
//! in ten was refused although the other eight runners had free slots. The cause: a runner that rejects all
//! requests is idle and so ranked best, and gateways paused only 60 ms after a refusal, whatever the runner
//! asked for. Both attempts of a request could fail in this way, each about 3 ms after its start.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use platform_standin::{Caller, TurnedAway};

use crate::machine_address;
use crate::support::{stream, wait_until, Deployment};

/// Rest period that the runner asks for.
const BACKOFF: Duration = Duration::from_millis(2000);
/// How long after a rejection requests may still be in transit and are not counted.
const TRANSIT_PERIOD: Duration = Duration::from_millis(500);
/// Maximum number of requests that may reach the runner in one backoff.
const MAX_DURING_BACKOFF: usize = 2;
/// Number of requests served first. Each one allows 0.15 retries, so that a gateway that has just started may
/// retry some requests.
const SERVED_BEFORE: usize = 30;
/// How long the runner rejects requests.
const SHEDDING_PERIOD: Duration = Duration::from_millis(5000);
/// Pause between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(10);
/// Within what time after its last backoff the runner serves again.
const RECOVERY_BOUND: Duration = Duration::from_millis(1500);

/// Counts the requests that reached the runner within the backoff of one rejection.
fn count_during_backoff(answer: &TurnedAway, all: &[TurnedAway]) -> usize {
    let backoff = answer.at + TRANSIT_PERIOD..answer.at + answer.rest;
    all.iter().filter(|it| it.runner == answer.runner && backoff.contains(&it.at)).count()
}

/// Makes a runner reject requests while callers go on. Checks that it receives almost no requests during rest
/// periods, that callers are served, and that it is used again afterwards.
fn expect_backoff_is_respected(
    deployment: &Deployment,
    runner: SocketAddr,
    call: impl Fn(&str) -> u16,
) {
    let id = deployment.standin.runner(runner).expect("the runner is there").id;
    for number in 0..SERVED_BEFORE {
        call(&format!("{id}-{number}"));
    }
    wait_for_run(deployment, &id, "before", &call);
    deployment.standin.change_runner(runner, |it| it.reject_with_retry_after = Some(BACKOFF));
    let begun = Instant::now();
    let mut refused = 0;
    for number in 0.. {
        refused += usize::from(call(&format!("during-{number}")) != 200);
        if begun.elapsed() > SHEDDING_PERIOD {
            break;
        }
        std::thread::sleep(CALL_PAUSE);
    }
    let all: Vec<_> =
        deployment.standin.rejected_requests().into_iter().filter(|it| it.runner == id).collect();
    assert!(!all.is_empty(), "{id} was asked");
    let max_requests = all.iter().map(|it| count_during_backoff(it, &all)).max().unwrap_or(0);
    assert!(
        max_requests <= MAX_DURING_BACKOFF,
        "{max_requests} requests reached {id} within {BACKOFF:?} of rest"
    );
    assert_eq!(refused, 0, "the other runners serve all requests");
    deployment.standin.change_runner(runner, |it| it.reject_with_retry_after = None);
    std::thread::sleep(BACKOFF);
    let backoff_ended_at = Instant::now();
    wait_for_run(deployment, &id, "afterwards", &call);
    assert!(
        backoff_ended_at.elapsed() < RECOVERY_BOUND,
        "{id} serves again after {:?}",
        backoff_ended_at.elapsed()
    );
}

/// Repeats calls until the runner runs one of the requests.
fn wait_for_run(deployment: &Deployment, id: &str, phase: &str, call: impl Fn(&str) -> u16) {
    let mut number = 0;
    wait_until(&format!("{id} serves"), || {
        number += 1;
        let request = format!("{id}-{phase}-{number}");
        call(&request);
        deployment.standin.runs(&request).iter().any(|it| it.runner == id)
    });
}

#[test]
fn a_runner_gets_no_requests_during_the_rest_period_that_it_asks_for() {
    let mut deployment = Deployment::start();
    let model = deployment.add_model_runner("e1", Some(1));
    deployment.add_model_runner("e2", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    expect_backoff_is_respected(&deployment, model, |id| stream(gateway, id).status);
    let plain = SocketAddr::new(machine_address(gateway, 1), 8001);
    expect_backoff_is_respected(&deployment, plain, |id| {
        Caller::new(Method::GET, "/get/x", id).call(gateway).status
    });
}
