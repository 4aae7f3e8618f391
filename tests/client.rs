//! Tests of the command line client against a small fleet.

use std::process::{Command, Output};
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_io::block_on;
use lab::{Lab, LabOptions};
use serde_json::Value;

/// Operator token that the entries of every lab accept.
const TOKEN: &str = "operator-token-of-the-lab";
/// Timeout of any single wait; a test that exceeds it fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A fleet and a temporary directory.
struct TestFleet {
    lab: Lab,
    directory: std::path::PathBuf,
}

impl TestFleet {
    fn new(name: &str) -> Self {
        let executor = Arc::new(Executor::new());
        Lab::run_threads(&executor);
        let lab = block_on(Lab::start(&executor, LabOptions::default())).unwrap();
        block_on(lab.wait_ready(TEST_TIMEOUT)).unwrap();
        let directory =
            std::env::temp_dir().join(format!("silverdock-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        std::fs::write(directory.join("token"), TOKEN).unwrap();
        std::fs::write(directory.join("weights"), vec![5; 100_000]).unwrap();
        Self { lab, directory }
    }

    /// Runs the client with `--json`. Returns its last line of output and its exit code.
    fn run(&self, args: &[&str]) -> (Value, i32) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_silverdock"));
        command.args(["--json", "--entry", &self.lab.entries[0].operators().to_string()]);
        command.arg("--token-file").arg(self.directory.join("token")).args(args);
        let output = command.output().unwrap();
        (last_line(&output), output.status.code().unwrap())
    }

    /// Publishes the weights file under a label and returns the version.
    fn publish(&self, label: &str) -> String {
        let [_, objects, weights, _] = self.lab.platform.addresses().map(|it| it.to_string());
        let file = self.directory.join("weights").display().to_string();
        let args =
            ["publish", &file, "--label", label, "--weights", &weights, "--objects", &objects];
        text(&self.run(&args).0["version"])
    }

    fn plan(&self, args: &[&str]) -> (Value, i32) {
        self.run(&[&["plan"], args].concat())
    }

    fn deploy(&self, version: &str, replicas: &str) -> (Value, i32) {
        self.plan(&["deploy", "tips", version, "--replicas", replicas])
    }

    fn confirm(&self, plan: &Value) -> (Value, i32) {
        self.run(&["confirm", &text(&plan["id"])])
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn last_line(output: &Output) -> Value {
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    serde_json::from_str(text.lines().last().unwrap_or("null")).unwrap_or(Value::Null)
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

#[test]
fn publishes_plans_confirms_watches_and_rolls_back() {
    let test_fleet = TestFleet::new("rollout");
    let (first, second) = (test_fleet.publish("v1"), test_fleet.publish("v2"));
    for version in [&first, &second] {
        let (plan, _) = test_fleet.deploy(version, "3");
        assert_eq!(plan["steps"].as_array().unwrap().len(), 3);
        assert_eq!(test_fleet.confirm(&plan).1, 0);
        let (watched, code) = test_fleet.run(&["watch", "tips"]);
        assert_eq!((watched["live"].as_u64(), code), (Some(3), 0));
    }
    let (plan, _) = test_fleet.plan(&["rollback", "tips"]);
    test_fleet.confirm(&plan);
    let (status, _) = test_fleet.run(&["status"]);
    assert_eq!(text(&status["deployments"][0]["version"]), first);
}

#[test]
fn refuses_a_plan_if_another_change_was_confirmed_first() {
    let test_fleet = TestFleet::new("conflict");
    let version = test_fleet.publish("v1");
    let (slow, _) = test_fleet.deploy(&version, "1");
    let (quick, _) = test_fleet.deploy(&version, "2");
    assert_eq!(test_fleet.confirm(&quick).1, 0);
    let (refused, code) = test_fleet.confirm(&slow);
    assert_eq!((refused["code"].as_u64(), code), (Some(304), 1));
}

#[test]
fn applies_a_plan_once_even_if_it_is_confirmed_twice() {
    let test_fleet = TestFleet::new("twice");
    let version = test_fleet.publish("v1");
    let (plan, _) = test_fleet.deploy(&version, "1");
    let (again, _) = test_fleet.deploy(&version, "1");
    assert_eq!(plan["id"], again["id"]);
    assert_eq!(test_fleet.confirm(&plan).0["revision"], 1);
    assert_eq!(test_fleet.confirm(&plan).0["revision"], 1);
}

#[test]
fn confirms_a_plan_despite_lost_table_answers() {
    let test_fleet = TestFleet::new("lost");
    let version = test_fleet.publish("v1");
    let (plan, _) = test_fleet.deploy(&version, "1");
    test_fleet.lab.platform.table.faults.set_response_loss_percent(60);
    let (mut answer, mut code) = test_fleet.confirm(&plan);
    // Code 306 asks the operator to confirm the same plan again; 305 reports that the table is unavailable.
    while code != 0 {
        assert!([306, 305].contains(&answer["code"].as_u64().unwrap()), "{answer}");
        (answer, code) = test_fleet.confirm(&plan);
    }
    assert_eq!(answer["revision"], 1);
    assert!(test_fleet.lab.platform.table.faults.dropped_responses() > 0);
}

#[test]
fn refuses_changes_while_the_table_is_down_and_writes_nothing() {
    let test_fleet = TestFleet::new("outage");
    let version = test_fleet.publish("v1");
    let (plan, _) = test_fleet.deploy(&version, "1");
    test_fleet.lab.platform.table.faults.set_down(true);
    let (refused, code) = test_fleet.confirm(&plan);
    assert_eq!((refused["code"].as_u64(), code), (Some(305), 1));
    test_fleet.lab.platform.table.faults.set_down(false);
    assert_eq!(test_fleet.confirm(&plan).0["revision"], 1);
}

#[test]
fn refuses_to_remove_the_last_replica() {
    let test_fleet = TestFleet::new("last");
    let version = test_fleet.publish("v1");
    let (plan, _) = test_fleet.deploy(&version, "1");
    test_fleet.confirm(&plan);
    test_fleet.run(&["watch", "tips"]);
    let instance = text(&plan["steps"][0]["instance"]);
    let (refused, _) = test_fleet.plan(&["leave", &instance]);
    assert_eq!(refused["code"].as_u64(), Some(308));
}

#[test]
fn reports_faults_in_arguments_and_settings_with_exit_code_two() {
    let test_fleet = TestFleet::new("faults");
    let broken = test_fleet.directory.join("broken.ini");
    std::fs::write(&broken, "[node]\nrole = captain\n").unwrap();
    let (fault, code) = test_fleet.run(&["check", &broken.display().to_string()]);
    assert_eq!((fault["code"].as_u64(), code), (Some(500), 2));
    assert!(text(&fault["message"]).contains("captain"));
    assert_eq!(test_fleet.run(&["version"]).1, 0);
}
