//! Tests of rows that a foreign writer puts into the list of runners, with a gateway as a process.

use http::Method;
use platform_standin::Caller;
use serde_json::json;

use crate::machine_address;
use crate::support::{wait_until, Deployment};

#[test]
fn a_runner_with_an_unreadable_entry_gets_no_requests_until_the_entry_is_valid_again() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let runner_of = |id: &str| {
        assert_eq!(Caller::new(Method::GET, "/get/x", id).call(gateway).status, 200);
        deployment.standin.runs(id)[0].runner.clone()
    };
    let listed = |count: u32| {
        let reports_count = || {
            let metrics = deployment.metrics(gateway.ip());
            let line = metrics.lines().find(|it| it.contains("name=\"runners_listed\""));
            line.is_some_and(|it| it.ends_with(&format!(" {count}")))
        };
        wait_until("the gateway knows the list", reports_count);
    };
    listed(2);
    let invalid_rows = [json!({"state": "resting"}), json!("no entry"), json!([1, 2])];
    for (number, value) in invalid_rows.into_iter().enumerate() {
        deployment.standin.write_row("servers", "l1", value.clone());
        deployment.standin.write_row("servers", &format!("x{number}"), value);
        listed(1);
        for call in 0..6 {
            assert_eq!(runner_of(&format!("s{number}-{call}")), "l2");
        }
        let runner = std::net::SocketAddr::new(machine_address(gateway, 1), 8001);
        deployment.standin.change_runner(runner, |_| {});
        listed(2);
    }
    let log = deployment.log(gateway.ip());
    assert_eq!(log.matches("row cannot be read").count(), 6, "each row is logged once\n{log}");
}

#[test]
fn a_runner_with_an_unknown_service_gets_no_requests_until_the_entry_is_valid_again() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let is_served_by = |id: &str, runner: &str| {
        assert_eq!(Caller::new(Method::GET, "/get/x", id).call(gateway).status, 200);
        deployment.standin.runs(id)[0].runner == runner
    };
    let runner = std::net::SocketAddr::new(machine_address(gateway, 1), 8001);
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
    wait_until("only the other runner serves", || {
        in_a_row = if serves("l2") { in_a_row + 1 } else { 0 };
        in_a_row >= 10
    });
    assert!((0..20).all(|_| serves("l2")));
    deployment.standin.change_runner(runner, |_| {});
    wait_until("both serve again", || serves("l1"));
}
