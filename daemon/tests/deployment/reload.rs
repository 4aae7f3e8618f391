//! Settings that change while a process runs.

use http::Method;
use platform_standin::Caller;
use rustix::process::Signal;

use crate::support::{wait_until, Deployment};

#[test]
fn settings_that_can_change_are_in_force_after_a_hangup_and_the_others_are_named() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let machine = gateway.ip();
    deployment.rewrite_settings(machine, "version_ms = 8000", "version_ms = 9000");
    deployment.rewrite_settings(machine, "drain_ms = 2000", "drain_ms = 2500");
    deployment.signal(machine, Signal::HUP);
    wait_until("the log tells of both keys", || {
        let log = deployment.log(machine);
        let tells = |key: &str, message: &str| {
            log.lines().any(|line| line.contains(key) && line.contains(message))
        };
        tells("bounds.version_ms", "setting changed")
            && tells("bounds.drain_ms", "setting needs a new start")
    });
    let metrics = deployment.metrics(machine);
    let counts = |outcome: &str| {
        let label = format!("outcome=\"{outcome}\"");
        metrics.lines().any(|it| it.starts_with("silverdock_reloads") && it.contains(&label))
    };
    assert!(counts("applied") && counts("refused"), "{metrics}");
    let answer = Caller::new(Method::GET, "/get/x", "h1").call(gateway);
    assert_eq!(answer.status, 200);
}

#[test]
fn a_file_that_changes_without_a_signal_is_read_too() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let machine = gateway.ip();
    deployment.rewrite_settings(machine, "log_lines_per_s = 1000", "log_lines_per_s = 900");
    wait_until("the log tells of it", || deployment.log(machine).contains("node.log_lines_per_s"));
}

#[test]
fn a_file_with_faults_changes_nothing() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let machine = gateway.ip();
    deployment.rewrite_settings(machine, "version_ms = 8000", "version_ms = soon");
    deployment.signal(machine, Signal::HUP);
    wait_until("the log names the fault", || {
        deployment.log(machine).contains("settings have faults; the old ones stay")
    });
    let answer = Caller::new(Method::GET, "/get/x", "f1").call(gateway);
    assert_eq!(answer.status, 200);
}
