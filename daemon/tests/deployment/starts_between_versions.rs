//! Tests of processes that start after two changes of the target version and before the deadline of the first one.
//!
//! The failure: the target version changed twice within 2.5 s, and a sidecar and a gateway restarted after the
//! second change. The row in the store, the record of when a version was first seen, and the messages between
//! processes mentioned only the newest version. A process knows only the deadlines that it has learned of itself,
//! so neither knew of the earlier deadline of the first change, and a request began on the oldest version after
//! that deadline.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::support::{stream, wait_until, Deployment};

/// How long requests may begin on an older version, by the settings of the deployment.
const VERSION_BOUND: Duration = Duration::from_millis(8000);
/// Time between the two changes of the target version.
const VERSION_INTERVAL: Duration = Duration::from_millis(2500);
/// Time between the second change and the power loss.
const POWER_LOSS_DELAY: Duration = Duration::from_millis(500);
/// How long after its start a gateway knows that no older version is left.
const SETTLE_TIME: Duration = Duration::from_millis(2500);

/// Starts a runner on version 1 that cannot get another version, and two gateways, and changes the target
/// version twice. Then one gateway and the sidecar lose power and restart, and the other gateway too unless
/// `other_gateway_survives` is set. Returns the restarted gateway and the deadline of version 1.
fn lose_power_between_versions(other_gateway_survives: bool) -> (Deployment, SocketAddr, Instant) {
    let mut deployment = Deployment::start();
    let runner = deployment.add_model_runner("e1", Some(1));
    let (other_gateway, restarted_gateway) = (deployment.add_gateway(), deployment.add_gateway());
    deployment.wait_until_ready(other_gateway);
    deployment.wait_until_ready(restarted_gateway);
    wait_until("streams are served", || stream(restarted_gateway, "first").is_complete);
    deployment.standin.reconfigure(|it| it["services"][2]["origin"] = json!("127.77.0.1:9"));
    thread::sleep(SETTLE_TIME);
    deployment.standin.announce_version(2);
    let deadline = Instant::now() + VERSION_BOUND;
    thread::sleep(VERSION_INTERVAL);
    deployment.standin.announce_version(3);
    thread::sleep(POWER_LOSS_DELAY);
    let mut lost_machines = vec![runner.ip(), restarted_gateway.ip()];
    if !other_gateway_survives {
        lost_machines.push(other_gateway.ip());
    }
    deployment.kill_and_restart(&lost_machines);
    deployment.wait_until_ready(restarted_gateway);
    (deployment, restarted_gateway, deadline)
}

/// Sends streams from the first deadline until the second one, and checks that nothing began on version 1 after
/// the first one.
fn expect_deadline(deployment: &Deployment, gateway: SocketAddr, deadline: Instant) {
    thread::sleep(deadline.saturating_duration_since(Instant::now()));
    let mut number = 0;
    while Instant::now() < deadline + VERSION_INTERVAL {
        number += 1;
        stream(gateway, &format!("late-{number}"));
    }
    let runs = deployment.standin.all_runs().into_values().flatten();
    let late: Vec<Duration> =
        runs.filter_map(|it| it.at.checked_duration_since(deadline)).collect();
    assert!(late.is_empty(), "begun on version 1 {late:?} after its bound");
}

#[test]
fn processes_started_between_two_versions_learn_of_both_from_others() {
    let (deployment, gateway, deadline) = lose_power_between_versions(true);
    expect_deadline(&deployment, gateway, deadline);
}

/// No process that knew the first version is left, so only the record in the store has it.
#[test]
fn processes_find_both_versions_in_the_record_if_all_of_them_restarted() {
    let (deployment, gateway, deadline) = lose_power_between_versions(false);
    expect_deadline(&deployment, gateway, deadline);
}
