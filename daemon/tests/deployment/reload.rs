//! Tests of settings that change while a process runs.

use std::io::Write;
use std::time::{Duration, Instant};

use http::Method;
use platform_standin::Caller;
use rustix::process::Signal;
use serde_json::json;

use crate::kept_connection::KeptConnection;
use crate::support::{wait_until, Deployment};

/// The idle timeout of a new configuration, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 1500;
/// How much earlier the caller may see the end than the gateway's time of the answer says.
const TOLERANCE: Duration = Duration::from_millis(100);

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
fn sighup_while_the_process_starts_does_not_end_it() {
    let mut deployment = Deployment::start();
    let (gateway, mut pipe, settings) = deployment.add_gateway_that_waits_for_settings();
    deployment.signal(gateway.ip(), Signal::HUP);
    pipe.write_all(settings.as_bytes()).expect("the process reads its settings");
    drop(pipe);
    deployment.wait_until_ready(gateway);
    let answer = Caller::new(Method::GET, "/get/x", "s1").call(gateway);
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

#[test]
fn the_idle_timeout_of_a_new_configuration_is_not_ignored() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    deployment.standin.reconfigure(|it| it["limits"]["idleTimeoutMs"] = json!(IDLE_TIMEOUT_MS));
    wait_until("the configuration is in force", || {
        let metrics = deployment.metrics(gateway.ip());
        let mut lines = metrics.lines().filter(|it| it.contains("name=\"configuration\""));
        lines.any(|it| it.ends_with(" 4"))
    });
    let mut connection = KeptConnection::open(gateway);
    assert_eq!(connection.call("/post/x", "idle", 8).status, 200);
    let answered = Instant::now();
    assert!(connection.ends_without_reset());
    let idle = answered.elapsed();
    let timeout = Duration::from_millis(IDLE_TIMEOUT_MS);
    assert!((timeout..2 * timeout).contains(&(idle + TOLERANCE)), "{idle:?}");
}
