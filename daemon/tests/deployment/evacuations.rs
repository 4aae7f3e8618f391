//! Tests of data halls that operators evacuate and take back, with gateways and sidecars as processes.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use platform_standin::{Caller, StoreFault};

use rustix::process::Signal;

use crate::support::{stream, wait_until, Deployment};

/// Number of calls that show which runners are used; two runners of equal load get about half of them each.
const CALL_COUNT: usize = 12;

/// Sends calls, checks that all are served, and counts those that ran in hall `a`, whose runners are `l1` and
/// `l2`.
fn calls_in_a(deployment: &Deployment, gateway: SocketAddr, name: &str) -> usize {
    let ran_in_a = |number: usize| {
        let id = format!("{name}{number}");
        let answer = Caller::new(Method::GET, "/get/x", &id).call(gateway);
        assert_eq!(answer.status, 200, "{answer:?}");
        deployment.standin.runs(&id)[0].runner.starts_with('l')
    };
    (0..CALL_COUNT).filter(|number| ran_in_a(*number)).count()
}

#[test]
fn an_evacuated_hall_gets_no_requests_until_it_is_taken_back() {
    let (deployment, gateway) = Deployment::start_in_two_halls();
    assert_eq!(
        calls_in_a(&deployment, gateway, "near"),
        CALL_COUNT,
        "the gateway's own hall is preferred"
    );
    deployment.standin.evacuate("a");
    wait_until("the gateway knows of the evacuation", || is_evacuated(&deployment, gateway, 1));
    assert_eq!(calls_in_a(&deployment, gateway, "left"), 0);
    deployment.standin.end_evacuation("a");
    wait_until("the gateway knows of its end", || is_evacuated(&deployment, gateway, 0));
    assert_eq!(calls_in_a(&deployment, gateway, "back"), CALL_COUNT);
}

#[test]
fn an_evacuation_stays_in_force_during_a_store_outage_and_ends_with_the_next_listing() {
    let (deployment, gateway) = Deployment::start_in_two_halls();
    deployment.standin.evacuate("a");
    wait_until("the gateway knows of the evacuation", || is_evacuated(&deployment, gateway, 1));
    deployment.standin.set_store_fault(StoreFault::Busy);
    deployment.standin.end_evacuation("a");
    deployment.standin.discard_history();
    std::thread::sleep(Duration::from_millis(2500));
    assert_eq!(
        calls_in_a(&deployment, gateway, "out"),
        0,
        "the evacuation is in force until its end is known"
    );
    deployment.standin.set_store_fault(StoreFault::None);
    wait_until("the listing lacks the row", || is_evacuated(&deployment, gateway, 0));
    assert_eq!(calls_in_a(&deployment, gateway, "back"), CALL_COUNT);
}

#[test]
fn a_gateway_started_during_an_evacuation_sends_no_requests_to_the_hall() {
    let (mut deployment, _) = Deployment::start_in_two_halls();
    deployment.standin.evacuate("a");
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    assert_eq!(calls_in_a(&deployment, gateway, "new"), 0);
}

#[test]
fn sidecars_learn_of_an_evacuation_and_refusals_name_the_evacuated_hall() {
    let mut deployment = Deployment::start();
    let runner = deployment.add_model_runner("e1", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    wait_until("a stream is served", || stream(gateway, "first").is_complete);
    deployment.standin.evacuate("a");
    wait_until("the sidecar knows of the evacuation", || is_evacuated(&deployment, runner, 1));
    let answer = stream(gateway, "refused");
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
    assert!(deployment.standin.runs("refused").is_empty());
    let account = deployment.account("refused");
    assert!(account.cause.contains("1 listed runners is in an evacuated hall"), "{account}");
}

#[test]
fn a_sidecar_without_a_gateway_reads_evacuations_with_the_configuration() {
    let mut deployment = Deployment::start();
    deployment.standin.evacuate("a");
    let sidecar = deployment.add_model_runner("e1", Some(1));
    wait_until("the sidecar has read it", || is_evacuated(&deployment, sidecar, 1));
}

/// Whether the metrics of a process report this number of evacuated halls.
fn is_evacuated(deployment: &Deployment, process: SocketAddr, halls: u32) -> bool {
    let metrics = deployment.metrics(process.ip());
    let is_gauge = |line: &&str| line.contains("name=\"halls_evacuated\"");
    metrics.lines().find(is_gauge).is_some_and(|it| it.ends_with(&format!(" {halls}")))
}

/// A gateway that was paused while a hall was evacuated learns of it before it sends anything, even if callers
/// send requests at the moment at which it resumes.
#[test]
fn a_paused_gateway_sends_no_requests_before_an_answer_of_the_store() {
    let (deployment, gateway) = Deployment::start_in_two_halls();
    calls_in_a(&deployment, gateway, "near");
    deployment.signal(gateway.ip(), Signal::STOP);
    // Longer than a feed waits, so that an answer without changes is in the socket when the gateway resumes.
    std::thread::sleep(Duration::from_millis(2300));
    deployment.standin.evacuate("a");
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALL_COUNT)
            .map(|number| {
                scope.spawn(move || {
                    Caller::new(Method::GET, "/get/x", &format!("woken{number}")).call(gateway)
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(200));
        deployment.signal(gateway.ip(), Signal::CONT);
        for caller in callers {
            assert_eq!(caller.join().unwrap().status, 200);
        }
    });
    let runs = deployment.standin.all_runs();
    let resumed = runs.iter().filter(|(id, _)| id.starts_with("woken")).flat_map(|it| it.1);
    let in_a = resumed.filter(|it| it.zone == "a").count();
    assert_eq!(in_a, 0, "requests to the hall that was evacuated during the pause");
}
