//! Data halls that operators empty and take back, before gateways and sidecars as processes.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use platform_standin::{Caller, StoreFault};

use rustix::process::Signal;

use crate::support::{stream, wait_until, Deployment};

/// Calls that are made to see where they go: two runners of equal load share them about evenly.
const CALLS: usize = 12;

/// How many of some calls ran in hall `a`, whose runners are named `l1` and `l2`.
fn calls_in_a(deployment: &Deployment, gateway: SocketAddr, name: &str) -> usize {
    let ran_in_a = |number: usize| {
        let id = format!("{name}{number}");
        let answer = Caller::new(Method::GET, "/get/x", &id).call(gateway);
        assert_eq!(answer.status, 200, "{answer:?}");
        deployment.standin.runs(&id)[0].runner.starts_with('l')
    };
    (0..CALLS).filter(|number| ran_in_a(*number)).count()
}

#[test]
fn an_evacuated_hall_gets_nothing_until_it_is_taken_back() {
    let (deployment, gateway) = Deployment::start_in_two_halls();
    assert_eq!(calls_in_a(&deployment, gateway, "near"), CALLS, "the hall at hand goes first");
    deployment.standin.evacuate("a");
    wait_until("the gateway hears of it", || is_evacuated(&deployment, gateway, 1));
    assert_eq!(calls_in_a(&deployment, gateway, "left"), 0);
    deployment.standin.take_back("a");
    wait_until("the gateway hears of the end", || is_evacuated(&deployment, gateway, 0));
    assert_eq!(calls_in_a(&deployment, gateway, "back"), CALLS);
}

#[test]
fn an_evacuation_is_believed_through_an_outage_and_ended_by_the_listing_after_it() {
    let (deployment, gateway) = Deployment::start_in_two_halls();
    deployment.standin.evacuate("a");
    wait_until("the gateway hears of it", || is_evacuated(&deployment, gateway, 1));
    deployment.standin.set_store_fault(StoreFault::Busy);
    deployment.standin.take_back("a");
    deployment.standin.forget_history();
    std::thread::sleep(Duration::from_millis(2500));
    assert_eq!(calls_in_a(&deployment, gateway, "out"), 0, "nobody said that it is over");
    deployment.standin.set_store_fault(StoreFault::None);
    wait_until("the listing lacks the row", || is_evacuated(&deployment, gateway, 0));
    assert_eq!(calls_in_a(&deployment, gateway, "back"), CALLS);
}

#[test]
fn a_gateway_that_starts_in_the_middle_sends_nothing_there() {
    let (mut deployment, _) = Deployment::start_in_two_halls();
    deployment.standin.evacuate("a");
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    assert_eq!(calls_in_a(&deployment, gateway, "new"), 0);
}

#[test]
fn sidecars_hear_of_an_evacuation_and_every_caller_is_refused_with_a_true_word() {
    let mut deployment = Deployment::start();
    let runner = deployment.add_model_runner("e1", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    wait_until("a stream is served", || stream(gateway, "first").whole);
    deployment.standin.evacuate("a");
    wait_until("the sidecar hears of it", || is_evacuated(&deployment, runner, 1));
    let answer = stream(gateway, "refused");
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
    assert!(deployment.standin.runs("refused").is_empty());
    let account = deployment.account("refused");
    assert!(account.cause.contains("1 listed runners is in an evacuated hall"), "{account}");
}

#[test]
fn a_sidecar_that_no_gateway_tells_of_its_runner_reads_the_halls_with_the_configuration() {
    let mut deployment = Deployment::start();
    deployment.standin.evacuate("a");
    let sidecar = deployment.add_model_runner("e1", Some(1));
    wait_until("the sidecar has read it", || is_evacuated(&deployment, sidecar, 1));
}

/// Whether the process of a machine says that so many halls are evacuated.
fn is_evacuated(deployment: &Deployment, process: SocketAddr, halls: u32) -> bool {
    let page = deployment.metrics(process.ip());
    let of_gauge = |line: &&str| line.contains("name=\"halls_evacuated\"");
    page.lines().find(of_gauge).is_some_and(|it| it.ends_with(&format!(" {halls}")))
}

/// A gateway that stood still while a hall was evacuated hears of that before it sends anything, though callers come in the
/// moment in which it goes on.
#[test]
fn a_gateway_that_stood_still_sends_nothing_before_it_has_heard_the_store() {
    let (deployment, gateway) = Deployment::start_in_two_halls();
    calls_in_a(&deployment, gateway, "near");
    deployment.signal(gateway.ip(), Signal::STOP);
    // Longer than a feed waits: an answer that says nothing lies there when the gateway goes on.
    std::thread::sleep(Duration::from_millis(2300));
    deployment.standin.evacuate("a");
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLS)
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
    let woken = runs.iter().filter(|(id, _)| id.starts_with("woken")).flat_map(|it| it.1);
    let in_a = woken.filter(|it| it.zone == "a").count();
    assert_eq!(in_a, 0, "requests to the hall that was evacuated meanwhile");
}
