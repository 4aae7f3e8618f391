//! Entries of the list of runners that another writer has put there, before a gateway as a process.

use http::Method;
use platform_standin::Caller;
use serde_json::json;

use crate::neighbour;
use crate::support::{wait_until, Deployment};

#[test]
fn an_entry_that_was_good_and_is_spoilt_names_no_runner_until_it_is_good_again() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let runner_of = |id: &str| {
        assert_eq!(Caller::new(Method::GET, "/get/x", id).call(gateway).status, 200);
        deployment.standin.runs(id)[0].runner.clone()
    };
    let listed = |count: u32| {
        let is_told = || {
            let page = deployment.metrics(gateway.ip());
            let line = page.lines().find(|it| it.contains("name=\"runners_listed\""));
            line.is_some_and(|it| it.ends_with(&format!(" {count}")))
        };
        wait_until("the list is heard", is_told);
    };
    listed(2);
    let strange = [json!({"state": "resting"}), json!("no entry"), json!([1, 2])];
    for (number, value) in strange.into_iter().enumerate() {
        deployment.standin.write_row("servers", "l1", value.clone());
        deployment.standin.write_row("servers", &format!("x{number}"), value);
        listed(1);
        for call in 0..6 {
            assert_eq!(runner_of(&format!("s{number}-{call}")), "l2");
        }
        let runner = std::net::SocketAddr::new(neighbour(gateway, 1), 8001);
        deployment.standin.change_runner(runner, |_| {});
        listed(2);
    }
    let log = deployment.log(gateway.ip());
    assert_eq!(log.matches("row cannot be read").count(), 6, "each is told once\n{log}");
}

#[test]
fn an_entry_that_names_an_unknown_service_names_no_runner_until_it_is_good_again() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let is_served_by = |id: &str, runner: &str| {
        assert_eq!(Caller::new(Method::GET, "/get/x", id).call(gateway).status, 200);
        deployment.standin.runs(id)[0].runner == runner
    };
    let runner = std::net::SocketAddr::new(neighbour(gateway, 1), 8001);
    let foreign = json!({
        "service": "neither here nor there", "address": runner, "zone": "a", "version": "v1", "slots": 16,
        "state": "ready", "coldRemainingMs": 0, "sequence": 0,
    });
    let mut call = 0;
    let mut serves = |runner: &str| {
        call += 1;
        is_served_by(&format!("c-{call}"), runner)
    };
    wait_until("both serve", || serves("l1"));
    deployment.standin.write_row("servers", "l1", foreign);
    let mut in_a_row = 0;
    wait_until("the other one serves alone", || {
        in_a_row = if serves("l2") { in_a_row + 1 } else { 0 };
        in_a_row >= 10
    });
    assert!((0..20).all(|_| serves("l2")));
    deployment.standin.change_runner(runner, |_| {});
    wait_until("both serve again", || serves("l1"));
}
