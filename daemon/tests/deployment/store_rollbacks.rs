//! Tests of a store that is restored from an older copy: later writes are lost, and revisions are issued again.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use platform_standin::{Caller, RunnerStandin, StoreFault};
use serde_json::json;

use crate::machine_address;
use crate::support::{wait_until, Deployment};

/// Age of the copy.
const COPY_AGE: Duration = Duration::from_millis(4000);
/// Longer than a feed waits for a change, so that the gateway knows every table up to now.
const FEED_PERIOD: Duration = Duration::from_millis(2300);
/// Longer than the store takes to refuse a feed from a revision that it does not have.
const REFUSAL_PERIOD: Duration = Duration::from_millis(200);
/// Within what time after the store is back everything that it acknowledges must be in force, by the platform's
/// bounds.
const CONTACT_BOUND: Duration = Duration::from_millis(3000);
/// Number of calls that show which runners are used.
const CALL_COUNT: usize = 12;

/// Starts a gateway, two plain runners in hall `a` and two in hall `b`, and waits until all of it is older than
/// the copy.
fn start_older_than_copy() -> (Deployment, SocketAddr) {
    let (deployment, gateway) = Deployment::start_in_two_halls();
    std::thread::sleep(COPY_AGE);
    (deployment, gateway)
}

/// Whether a gateway knows of this number of evacuated halls.
fn knows_evacuated(deployment: &Deployment, gateway: SocketAddr, halls: usize) -> bool {
    let line = format!("name=\"halls_evacuated\"}} {halls}");
    deployment.metrics(gateway.ip()).replace(",otel_scope_name=\"silverdock\"", "").contains(&line)
}

/// Sends calls, checks that all are served, and returns the runners that ran them.
fn runners_of_calls(deployment: &Deployment, gateway: SocketAddr, name: &str) -> Vec<String> {
    let runner = |number: usize| {
        let id = format!("{name}{number}");
        let answer = Caller::new(Method::GET, "/get/x", &id).call(gateway);
        assert_eq!(answer.status, 200, "{answer:?}");
        deployment.standin.runs(&id)[0].runner.clone()
    };
    (0..CALL_COUNT).map(runner).collect()
}

/// Writes rows without changes, so that revisions rise.
fn raise_revision(deployment: &Deployment, gateway: SocketAddr) {
    let runner = SocketAddr::new(machine_address(gateway, 32), 8001);
    (0..20).for_each(|_| deployment.standin.change_runner(runner, |_| {}));
}

#[test]
fn a_hall_evacuated_after_a_rollback_gets_no_requests() {
    let (deployment, gateway) = start_older_than_copy();
    raise_revision(&deployment, gateway);
    deployment.standin.evacuate("b");
    wait_until("the gateway knows of the evacuation", || knows_evacuated(&deployment, gateway, 1));
    deployment.standin.end_evacuation("b");
    wait_until("the gateway knows of its end", || knows_evacuated(&deployment, gateway, 0));
    let lost = deployment.standin.restore_older_copy(COPY_AGE);
    std::thread::sleep(REFUSAL_PERIOD);
    deployment.standin.rewrite_lost_rows(lost);
    deployment.standin.evacuate("a");
    std::thread::sleep(CONTACT_BOUND);
    let runners = runners_of_calls(&deployment, gateway, "left");
    assert!(runners.iter().all(|it| it.starts_with('b')), "{runners:?}");
}

#[test]
fn changes_under_reissued_revisions_are_read() {
    let (deployment, gateway) = start_older_than_copy();
    raise_revision(&deployment, gateway);
    std::thread::sleep(FEED_PERIOD);
    deployment.standin.set_store_fault(StoreFault::Busy);
    drop(deployment.standin.restore_older_copy(COPY_AGE));
    deployment.standin.reconfigure(|it| {
        let mut route = it["routes"][1].clone();
        route["name"] = json!("new");
        route["pathPrefix"] = json!("/new/");
        it["routes"].as_array_mut().unwrap().push(route);
    });
    raise_revision(&deployment, gateway);
    raise_revision(&deployment, gateway);
    deployment.standin.set_store_fault(StoreFault::None);
    std::thread::sleep(CONTACT_BOUND);
    assert_eq!(Caller::new(Method::GET, "/new/x", "n1").call(gateway).status, 200);
}

#[test]
fn a_version_record_that_the_store_lost_is_written_again() {
    let (deployment, gateway) = start_older_than_copy();
    let recorded = || deployment.standin.row("silverdock_versions", "m").1;
    deployment.standin.announce_version(2);
    wait_until("the version is recorded", || recorded().is_some());
    let lost = deployment.standin.restore_older_copy(COPY_AGE);
    deployment.standin.rewrite_lost_rows(lost);
    assert_eq!(recorded(), None);
    wait_until("it is recorded again", || recorded().is_some());
    assert!(deployment.log(gateway.ip()).contains("store came back from an older copy"));
}

#[test]
fn a_runner_that_left_gets_no_requests_though_the_copy_lists_it_as_ready() {
    let (deployment, gateway) = start_older_than_copy();
    let leaving = SocketAddr::new(machine_address(gateway, 1), 8001);
    deployment.standin.change_runner(leaving, |it| it.is_leaving = true);
    std::thread::sleep(Duration::from_millis(1500));
    drop(deployment.standin.restore_older_copy(COPY_AGE));
    std::thread::sleep(REFUSAL_PERIOD);
    raise_revision(&deployment, gateway);
    std::thread::sleep(Duration::from_millis(800));
    let runners = runners_of_calls(&deployment, gateway, "stay");
    assert!(!runners.contains(&"l1".to_owned()), "{runners:?}");
}

/// A hall stays evacuated while the operator's row is lost and not written again yet.
#[test]
fn an_evacuation_missing_in_the_copy_stays_in_force() {
    let (deployment, gateway) = start_older_than_copy();
    deployment.standin.evacuate("a");
    wait_until("the gateway knows of the evacuation", || knows_evacuated(&deployment, gateway, 1));
    std::thread::sleep(Duration::from_millis(1500));
    let lost = deployment.standin.restore_older_copy(COPY_AGE);
    std::thread::sleep(Duration::from_millis(1200));
    let runners = runners_of_calls(&deployment, gateway, "lost");
    assert!(runners.iter().all(|it| it.starts_with('b')), "{runners:?}");
    deployment.standin.rewrite_lost_rows(lost);
    std::thread::sleep(CONTACT_BOUND);
    let runners = runners_of_calls(&deployment, gateway, "again");
    assert!(runners.iter().all(|it| it.starts_with('b')), "{runners:?}");
    deployment.standin.end_evacuation("a");
    wait_until("the gateway knows of its end", || knows_evacuated(&deployment, gateway, 0));
}

#[test]
fn no_request_is_refused_during_a_rollback() {
    let (deployment, gateway) = start_older_than_copy();
    let new_runner = SocketAddr::new(machine_address(gateway, 33), 8001);
    deployment.standin.add_runner(new_runner, RunnerStandin::plain("b3", "ledger", "b"));
    deployment.standin.set_store_fault(StoreFault::NoResponse);
    std::thread::sleep(Duration::from_millis(700));
    let lost = deployment.standin.restore_older_copy(COPY_AGE);
    deployment.standin.set_store_fault(StoreFault::None);
    for number in 0..3 {
        runners_of_calls(&deployment, gateway, &format!("drill-{number}-"));
        std::thread::sleep(Duration::from_millis(500));
    }
    deployment.standin.rewrite_lost_rows(lost);
    runners_of_calls(&deployment, gateway, "after-");
}
