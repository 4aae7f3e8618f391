//! Tests of settings that change while a process runs.

use http::Method;
use platform_standin::Caller;
use rustix::process::Signal;

use crate::support::{wait_until, Deployment};

#[test]
fn after_sighup_reloadable_settings_are_in_force_and_the_others_are_logged() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let gateway_machine = gateway.ip();
    deployment.rewrite_settings(gateway_machine, "version_ms = 8000", "version_ms = 9000");
    deployment.rewrite_settings(gateway_machine, "drain_ms = 2000", "drain_ms = 2500");
    deployment.signal(gateway_machine, Signal::HUP);
    wait_until("the log reports both keys", || {
        let log = deployment.log(gateway_machine);
        let has_line = |key: &str, message: &str| {
            log.lines().any(|line| line.contains(key) && line.contains(message))
        };
        has_line("bounds.version_ms", "setting changed")
            && has_line("bounds.drain_ms", "setting needs a new start")
    });
    let metrics = deployment.metrics(gateway_machine);
    let is_counted = |outcome: &str| {
        let label = format!("outcome=\"{outcome}\"");
        metrics.lines().any(|it| it.starts_with("silverdock_reloads") && it.contains(&label))
    };
    assert!(is_counted("applied") && is_counted("refused"), "{metrics}");
    let answer = Caller::new(Method::GET, "/get/x", "h1").call(gateway);
    assert_eq!(answer.status, 200);
}

#[test]
fn a_changed_settings_file_is_read_without_a_signal() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let gateway_machine = gateway.ip();
    deployment.rewrite_settings(gateway_machine, "log_lines_per_s = 1000", "log_lines_per_s = 900");
    wait_until("the log reports the key", || {
        deployment.log(gateway_machine).contains("node.log_lines_per_s")
    });
}

#[test]
fn an_invalid_settings_file_changes_nothing() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let gateway_machine = gateway.ip();
    deployment.rewrite_settings(gateway_machine, "version_ms = 8000", "version_ms = soon");
    deployment.signal(gateway_machine, Signal::HUP);
    wait_until("the log reports the fault", || {
        deployment.log(gateway_machine).contains("settings have faults; the old ones stay")
    });
    let answer = Caller::new(Method::GET, "/get/x", "f1").call(gateway);
    assert_eq!(answer.status, 200);
}
