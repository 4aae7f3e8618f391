//! Tests of entries that claim an address of somebody else, with gateways as processes.

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
/// How often the false entry is written.
const REWRITE_INTERVAL: Duration = Duration::from_millis(100);

fn write_false_entry(deployment: &Deployment, id: &str, address: SocketAddr, sequence: u32) {
    let entry = json!({
        "service": "ledger", "address": address, "zone": "a", "version": "v1", "slots": u32::MAX,
        "state": "ready", "coldRemainingMs": 0, "sequence": sequence,
    });
    deployment.standin.write_row("servers", id, entry);
}

/// Returns the sum of the gateway's counters with this name and this part of a label.
fn counted(deployment: &Deployment, gateway: SocketAddr, name: &str, label: &str) -> u64 {
    let metrics = deployment.metrics(gateway.ip());
    let lines = metrics.lines().filter(|it| it.starts_with(name) && it.contains(label));
    lines.filter_map(|it| it.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

fn wait_until_listed(deployment: &Deployment, gateway: SocketAddr, count: u32) {
    wait_until("the gateway knows the list", || {
        let metrics = deployment.metrics(gateway.ip());
        let line = metrics.lines().find(|it| it.contains("name=\"runners_listed\""));
        line.is_some_and(|it| it.ends_with(&format!(" {count}")))
    });
}

#[test]
fn a_false_entry_with_the_address_of_a_runner_draws_few_requests_away() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let runner = SocketAddr::new(machine_address(gateway, 1), RUNNER_PORT);
    write_false_entry(&deployment, "false", runner, 0);
    wait_until_listed(&deployment, gateway, 3);
    let (started, mut rewrites) = (Instant::now(), 0);
    for call in 0..200 {
        if started.elapsed() > REWRITE_INTERVAL * rewrites {
            rewrites += 1;
            write_false_entry(&deployment, "false", runner, rewrites);
        }
        let answer = Caller::new(Method::GET, "/get/x", &format!("r-{call}")).call(gateway);
        assert_eq!(answer.status, 200, "call {call}");
        thread::sleep(Duration::from_millis(20));
    }
    let runs = |id: &str| {
        let all = deployment.standin.all_runs();
        all.values().flatten().filter(|it| it.runner == id).count()
    };
    assert!(runs("l1") >= 40, "the runner at the address gets its requests: {}", runs("l1"));
    let drawn = counted(&deployment, gateway, "silverdock_retries", "");
    assert!((1..=8).contains(&drawn), "{drawn} of 200 requests after {rewrites} rewrites");
}

#[test]
fn an_entry_with_the_address_of_the_gateway_itself_is_not_used() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    write_false_entry(&deployment, "false", gateway, 0);
    for machine in [1, 2] {
        let runner = SocketAddr::new(machine_address(gateway, machine), RUNNER_PORT);
        deployment.standin.remove_runner_from_list(runner);
    }
    thread::sleep(Duration::from_secs(2));
    let before = counted(&deployment, gateway, "silverdock_requests", "");
    let answer = Caller::new(Method::GET, "/get/x", "r-1").call(gateway);
    assert_eq!(answer.status, 503, "{answer:?}");
    let received = counted(&deployment, gateway, "silverdock_requests", "") - before;
    assert!(received <= 1, "the gateway has received {received} requests for one");
}
