//! Processes that start between two namings of versions.
//!
//! Two versions are named 2.5 s apart, and a sidecar and a gateway start anew behind the second naming. The store's row,
//! the record of when a version was first heard of and what processes told each other spoke of the newest version alone,
//! so neither knew that the one before binds earlier: a request began on the version before both behind the first bound.
//! Found by looking for the cause of requests on old weights elsewhere: a process knows of a bound only what it has heard
//! itself.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::support::{stream, wait_until, Deployment};

/// How long requests may begin on an older version, by the settings of the deployment.
const VERSION: Duration = Duration::from_millis(8000);
/// How long after the first version the second one is named.
const APART: Duration = Duration::from_millis(2500);
/// How long after that the processes lose power.
const LOSS: Duration = Duration::from_millis(500);
/// How long after its start a gateway has heard that nothing older is left.
const CALM: Duration = Duration::from_millis(2500);

/// A runner on version 1 that can get no other, with two gateways, of which one starts anew with the sidecar.
fn lose_power_between(others_live: bool) -> (Deployment, SocketAddr, Instant) {
    let mut deployment = Deployment::start();
    let runner = deployment.add_model_runner("e1", Some(1));
    let (steady, starting) = (deployment.add_gateway(), deployment.add_gateway());
    deployment.wait_until_ready(steady);
    deployment.wait_until_ready(starting);
    wait_until("streams are served", || stream(starting, "first").whole);
    deployment.standin.reconfigure(|it| it["services"][2]["origin"] = json!("127.77.0.1:9"));
    thread::sleep(CALM);
    deployment.standin.name_version(2);
    let bound = Instant::now() + VERSION;
    thread::sleep(APART);
    deployment.standin.name_version(3);
    thread::sleep(LOSS);
    let mut lost = vec![runner.ip(), starting.ip()];
    if !others_live {
        lost.push(steady.ip());
    }
    deployment.lose_power(&lost);
    deployment.wait_until_ready(starting);
    (deployment, starting, bound)
}

/// Calls from shortly before the first bound until the second one, and expects that nothing begins on version 1 behind the
/// first.
fn expect_bound(deployment: &Deployment, gateway: SocketAddr, bound: Instant) {
    thread::sleep(bound.saturating_duration_since(Instant::now()));
    let mut number = 0;
    while Instant::now() < bound + APART {
        number += 1;
        stream(gateway, &format!("late-{number}"));
    }
    let runs = deployment.standin.all_runs().into_values().flatten();
    let late: Vec<Duration> = runs.filter_map(|it| it.at.checked_duration_since(bound)).collect();
    assert!(late.is_empty(), "begun on version 1 {late:?} behind its bound");
}

#[test]
fn processes_that_start_between_two_versions_are_told_of_both() {
    let (deployment, gateway, bound) = lose_power_between(true);
    expect_bound(&deployment, gateway, bound);
}

/// The same where nobody is left who heard of the first version: only the record in the store outlasts them.
#[test]
fn processes_that_all_start_between_two_versions_find_both_in_the_record() {
    let (deployment, gateway, bound) = lose_power_between(false);
    expect_bound(&deployment, gateway, bound);
}
