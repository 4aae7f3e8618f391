//! A store that comes back from an older copy: what was written since is gone, and revisions are given out again.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use platform_standin::{Caller, Engine, StoreFault};
use serde_json::json;

use crate::neighbour;
use crate::support::{wait_until, Deployment};

/// How old the copy is.
const COPY: Duration = Duration::from_millis(4000);
/// Longer than a feed waits for a change, so that every table is known up to now.
const FEED: Duration = Duration::from_millis(2300);
/// Longer than the store takes to refuse a feed that goes on from a revision that it does not have.
const NOTICED: Duration = Duration::from_millis(200);
/// How long after the store is back everything that it acknowledged binds again, as the platform's bounds say.
const CONTACT: Duration = Duration::from_millis(3000);
/// Calls that are made to see where they go.
const CALLS: usize = 12;

/// A gateway before two plain runners in hall `a` and two in hall `b`, all of it older than the copy.
fn settled() -> (Deployment, SocketAddr) {
    let (deployment, gateway) = Deployment::start_in_two_halls();
    std::thread::sleep(COPY);
    (deployment, gateway)
}

/// Whether a gateway knows of so many evacuated halls.
fn knows_evacuated(deployment: &Deployment, gateway: SocketAddr, halls: usize) -> bool {
    let line = format!("name=\"halls_evacuated\"}} {halls}");
    deployment.metrics(gateway.ip()).replace(",otel_scope_name=\"silverdock\"", "").contains(&line)
}

/// The runners that some calls reach. All are served.
fn runners_of_calls(deployment: &Deployment, gateway: SocketAddr, name: &str) -> Vec<String> {
    let runner = |number: usize| {
        let id = format!("{name}{number}");
        let answer = Caller::new(Method::GET, "/get/x", &id).call(gateway);
        assert_eq!(answer.status, 200, "{answer:?}");
        deployment.standin.runs(&id)[0].runner.clone()
    };
    (0..CALLS).map(runner).collect()
}

/// Writes rows that change nothing, so that revisions rise.
fn raise_revision(deployment: &Deployment, gateway: SocketAddr) {
    let runner = SocketAddr::new(neighbour(gateway, 32), 8001);
    (0..20).for_each(|_| deployment.standin.change_runner(runner, |_| {}));
}

#[test]
fn a_hall_that_is_evacuated_after_the_store_went_back_is_left() {
    let (deployment, gateway) = settled();
    raise_revision(&deployment, gateway);
    deployment.standin.evacuate("b");
    wait_until("the gateway hears of it", || knows_evacuated(&deployment, gateway, 1));
    deployment.standin.take_back("b");
    wait_until("the gateway hears of the end", || knows_evacuated(&deployment, gateway, 0));
    let lost = deployment.standin.go_back(COPY);
    std::thread::sleep(NOTICED);
    deployment.standin.write_again(lost);
    deployment.standin.evacuate("a");
    std::thread::sleep(CONTACT);
    let runners = runners_of_calls(&deployment, gateway, "left");
    assert!(runners.iter().all(|it| it.starts_with('b')), "{runners:?}");
}

#[test]
fn what_is_given_out_under_revisions_that_were_read_before_is_read() {
    let (deployment, gateway) = settled();
    raise_revision(&deployment, gateway);
    std::thread::sleep(FEED);
    deployment.standin.set_store_fault(StoreFault::Busy);
    drop(deployment.standin.go_back(COPY));
    deployment.standin.reconfigure(|it| {
        let mut route = it["routes"][1].clone();
        route["name"] = json!("new");
        route["pathPrefix"] = json!("/new/");
        it["routes"].as_array_mut().unwrap().push(route);
    });
    raise_revision(&deployment, gateway);
    raise_revision(&deployment, gateway);
    deployment.standin.set_store_fault(StoreFault::None);
    std::thread::sleep(CONTACT);
    assert_eq!(Caller::new(Method::GET, "/new/x", "n1").call(gateway).status, 200);
}

#[test]
fn a_row_of_our_own_that_the_store_lost_is_written_again() {
    let (deployment, gateway) = settled();
    let recorded = || deployment.standin.row("silverdock_versions", "m").1;
    deployment.standin.name_version(2);
    wait_until("the version is recorded", || recorded().is_some());
    let lost = deployment.standin.go_back(COPY);
    deployment.standin.write_again(lost);
    assert_eq!(recorded(), None);
    wait_until("it is recorded again", || recorded().is_some());
    assert!(deployment.log(gateway.ip()).contains("store came back from an older copy"));
}

#[test]
fn a_runner_that_left_by_the_list_stays_left_where_the_copy_has_it_ready() {
    let (deployment, gateway) = settled();
    let leaving = SocketAddr::new(neighbour(gateway, 1), 8001);
    deployment.standin.change_runner(leaving, |it| it.draining = true);
    std::thread::sleep(Duration::from_millis(1500));
    drop(deployment.standin.go_back(COPY));
    std::thread::sleep(NOTICED);
    raise_revision(&deployment, gateway);
    std::thread::sleep(Duration::from_millis(800));
    let runners = runners_of_calls(&deployment, gateway, "stay");
    assert!(!runners.contains(&"l1".to_owned()), "{runners:?}");
}

/// A hall stays evacuated while the operator's row is lost and not written again yet.
#[test]
fn an_evacuation_that_the_copy_lacks_is_believed_until_it_is_written_again() {
    let (deployment, gateway) = settled();
    deployment.standin.evacuate("a");
    wait_until("the gateway hears of it", || knows_evacuated(&deployment, gateway, 1));
    std::thread::sleep(Duration::from_millis(1500));
    let lost = deployment.standin.go_back(COPY);
    std::thread::sleep(Duration::from_millis(1200));
    let runners = runners_of_calls(&deployment, gateway, "lost");
    assert!(runners.iter().all(|it| it.starts_with('b')), "{runners:?}");
    deployment.standin.write_again(lost);
    std::thread::sleep(CONTACT);
    let runners = runners_of_calls(&deployment, gateway, "again");
    assert!(runners.iter().all(|it| it.starts_with('b')), "{runners:?}");
    deployment.standin.take_back("a");
    wait_until("it is over", || knows_evacuated(&deployment, gateway, 0));
}

#[test]
fn nobody_is_refused_for_a_drill() {
    let (deployment, gateway) = settled();
    let young = SocketAddr::new(neighbour(gateway, 33), 8001);
    deployment.standin.add_runner(young, Engine::plain("b3", "ledger", "b"));
    deployment.standin.set_store_fault(StoreFault::Silent);
    std::thread::sleep(Duration::from_millis(700));
    let lost = deployment.standin.go_back(COPY);
    deployment.standin.set_store_fault(StoreFault::None);
    for number in 0..3 {
        runners_of_calls(&deployment, gateway, &format!("drill-{number}-"));
        std::thread::sleep(Duration::from_millis(500));
    }
    deployment.standin.write_again(lost);
    runners_of_calls(&deployment, gateway, "after-");
}
