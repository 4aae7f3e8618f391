//! Tests of rows that another writer made unreadable as a whole, with gateways as processes.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use platform_standin::Caller;
use serde_json::json;

use crate::machine_address;
use crate::support::{wait_until, Deployment};

/// Port of the runners.
const RUNNER_PORT: u16 = 8001;
/// How long a gateway does not use a runner that a restored copy of the store lists again.
const RETURN_DELAY: Duration = Duration::from_secs(4);
/// Nesting that no parser follows.
const DEPTH: usize = 20_000;

/// Returns rows that are unreadable as a whole.
fn unreadable_rows() -> Vec<String> {
    let deep = format!("{}1{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    vec![
        format!(r#"{{"table":"servers","part":"","privateKey":"KEY","value":{deep},"ver":3}}"#),
        r#"{"table":"servers","part":"","privateKey":"KEY","value":"","ver":1e999}"#.to_owned(),
        r#"{"table":"servers","part":"","privateKey":1e999,"value":"","ver":3}"#.to_owned(),
    ]
}

fn write_unreadable_rows(deployment: &Deployment, table: &str) {
    for (number, row) in unreadable_rows().iter().enumerate() {
        let key = format!("l1-odd-{number}");
        deployment.standin.write_raw_row(table, &key, &row.replace("KEY", &key));
    }
}

fn runner_of(deployment: &Deployment, gateway: SocketAddr, id: &str) -> String {
    assert_eq!(Caller::new(Method::GET, "/get/x", id).call(gateway).status, 200);
    deployment.standin.runs(id)[0].runner.clone()
}

fn wait_until_listed(deployment: &Deployment, gateway: SocketAddr, count: u32) {
    wait_until("the gateway knows the list", || {
        let metrics = deployment.metrics(gateway.ip());
        let line = metrics.lines().find(|it| it.contains("name=\"runners_listed\""));
        line.is_some_and(|it| it.ends_with(&format!(" {count}")))
    });
}

#[test]
fn a_gateway_follows_the_list_while_unreadable_rows_stand_in_it() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    wait_until_listed(&deployment, gateway, 2);
    write_unreadable_rows(&deployment, "servers");
    let leaving = SocketAddr::new(machine_address(gateway, 1), RUNNER_PORT);
    deployment.standin.remove_runner_from_list(leaving);
    wait_until_listed(&deployment, gateway, 1);
    for call in 0..10 {
        assert_eq!(runner_of(&deployment, gateway, &format!("r-{call}")), "l2");
    }
    deployment.standin.change_runner(leaving, |_| {});
    wait_until_listed(&deployment, gateway, 2);
    let log = deployment.log(gateway.ip());
    assert_eq!(log.matches("row cannot be read").count(), 3, "each row is logged once\n{log}");
}

#[test]
fn a_gateway_starts_while_unreadable_rows_stand_in_every_table() {
    let mut deployment = Deployment::start();
    let tables =
        ["servers", "op", "silverdock_versions", "silverdock_quarantine", "silverdock_readers"];
    tables.into_iter().for_each(|it| write_unreadable_rows(&deployment, it));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    runner_of(&deployment, gateway, "r-1");
    for outcome in ["version record cannot be reached", "quarantine record cannot be reached"] {
        assert!(!deployment.log(gateway.ip()).contains(outcome), "{outcome}");
    }
    assert!(!deployment.log(gateway.ip()).contains("row of the readers cannot be reached"));
}

#[test]
fn the_configuration_in_force_stays_while_its_row_is_unreadable() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let row = unreadable_rows()[0].replace("KEY", "config");
    deployment.standin.write_raw_row("op", "config", &row);
    wait_until("the row is read", || deployment.log(gateway.ip()).contains("row cannot be read"));
    deployment.standin.write_row("op", "evacuate/b", json!({}));
    for call in 0..10 {
        runner_of(&deployment, gateway, &format!("r-{call}"));
    }
    deployment.standin.configure();
    runner_of(&deployment, gateway, "last");
}

/// The rows of the first page of a listing.
const FIRST_PAGE_ROWS: usize = 100;

#[test]
fn a_listing_goes_on_behind_a_key_that_has_to_be_escaped() {
    let mut deployment = Deployment::start();
    for number in 1..FIRST_PAGE_ROWS {
        deployment.standin.write_row("servers", &format!("a-{number}"), json!({}));
    }
    deployment.standin.write_row("servers", "b 1 (spare) &limit=1 #+%41é", json!({}));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    wait_until_listed(&deployment, gateway, 2);
}

#[test]
fn a_listing_goes_on_behind_pages_without_a_readable_key() {
    let mut deployment = Deployment::start();
    for number in 0..2 * FIRST_PAGE_ROWS {
        let key = format!("a-{number}");
        deployment.standin.write_raw_row("servers", &key, r#"{"privateKey":1e999,"ver":3}"#);
    }
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    wait_until_listed(&deployment, gateway, 2);
}

#[test]
fn a_sidecar_without_gateways_logs_each_unreadable_row_once() {
    let mut deployment = Deployment::start();
    write_unreadable_rows(&deployment, "servers");
    let runner = deployment.add_model_runner("e1", Some(1));
    let log = || deployment.log(runner.ip());
    wait_until("the sidecar has listed the runners twice", || {
        let log = log();
        let listed = log.lines().filter(|it| it.contains("table listed") && it.contains("Runners"));
        listed.count() >= 2
    });
    assert_eq!(log().matches("row cannot be read").count(), 3, "{}", log());
}

#[test]
fn a_runner_that_a_restored_copy_lists_is_not_used_once_its_row_is_unreadable() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    wait_until_listed(&deployment, gateway, 2);
    let leaving = SocketAddr::new(machine_address(gateway, 1), RUNNER_PORT);
    thread::sleep(Duration::from_secs(1));
    deployment.standin.remove_runner_from_list(leaving);
    let removed_at = Instant::now();
    wait_until_listed(&deployment, gateway, 1);
    deployment.standin.restore_older_copy(removed_at.elapsed() + Duration::from_millis(500));
    wait_until("the copy is listed", || {
        deployment.log(gateway.ip()).contains("runner listed again by the store's copy")
    });
    let row = unreadable_rows()[0].replace("KEY", "l1");
    deployment.standin.write_raw_row("servers", "l1", &row);
    thread::sleep(RETURN_DELAY + Duration::from_secs(1));
    wait_until_listed(&deployment, gateway, 1);
    for call in 0..10 {
        assert_eq!(runner_of(&deployment, gateway, &format!("r-{call}")), "l2");
    }
}
