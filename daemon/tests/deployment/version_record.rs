//! Tests of the record in the store of when target versions were first seen, with faults of the store.

use std::time::Duration;

use platform_standin::StoreFault;
use rustix::process::Signal;

use crate::support::{wait_until, Deployment};

/// Table of the record.
const TABLE: &str = "silverdock_versions";
/// Longer than a gateway delays its writes.
const WRITE_DELAY: Duration = Duration::from_millis(900);

fn applied_writes(deployment: &Deployment) -> usize {
    deployment.standin.row(TABLE, "m").0
}

#[test]
fn a_gateway_that_starts_again_knows_the_age_of_a_version() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    std::thread::sleep(WRITE_DELAY);
    assert_eq!(deployment.standin.write_calls(TABLE), 0, "no target version has changed");
    deployment.standin.announce_version(2);
    wait_until("the version is recorded", || applied_writes(&deployment) == 1);
    std::thread::sleep(WRITE_DELAY);
    deployment.signal(gateway.ip(), Signal::KILL);
    deployment.wait_for_exit(gateway.ip());
    deployment.restart_gateway(gateway);
    wait_until("its age is read", || deployment.log(gateway.ip()).contains("version's age read"));
    assert_eq!(deployment.standin.write_calls(TABLE), 1);
}

#[test]
fn gateways_that_hear_together_leave_one_row() {
    let mut deployment = Deployment::start();
    let gateways = [deployment.add_gateway(), deployment.add_gateway(), deployment.add_gateway()];
    gateways.iter().for_each(|it| deployment.wait_until_ready(*it));
    std::thread::sleep(WRITE_DELAY);
    deployment.standin.announce_version(2);
    wait_until("all gateways have tried to write", || deployment.standin.write_calls(TABLE) == 3);
    std::thread::sleep(WRITE_DELAY);
    assert_eq!((applied_writes(&deployment), deployment.standin.write_calls(TABLE)), (1, 3));
}

#[test]
fn a_write_whose_answer_is_lost_is_applied_once() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    std::thread::sleep(WRITE_DELAY);
    deployment.standin.set_store_fault(StoreFault::NoWriteResponse);
    deployment.standin.announce_version(2);
    wait_until("the write is repeated", || deployment.standin.write_calls(TABLE) >= 2);
    deployment.standin.set_store_fault(StoreFault::None);
    let differs_label = "outcome=\"differs\"";
    wait_until("the row is found", || deployment.metrics(gateway.ip()).contains(differs_label));
    assert_eq!(applied_writes(&deployment), 1);
}

#[test]
fn a_version_is_recorded_once_the_store_takes_writes_again() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    std::thread::sleep(WRITE_DELAY);
    deployment.standin.set_store_fault(StoreFault::RejectWrites);
    deployment.standin.announce_version(2);
    wait_until("the write was refused", || deployment.standin.write_calls(TABLE) >= 2);
    assert_eq!(applied_writes(&deployment), 0);
    deployment.standin.set_store_fault(StoreFault::None);
    wait_until("it is recorded", || applied_writes(&deployment) == 1);
}
