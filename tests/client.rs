//! The client's program against a small fleet.

use std::process::{Command, Output};
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_io::block_on;
use lab::{Lab, LabOptions};
use serde_json::Value;

/// The token that every lab's entries take.
const TOKEN: &str = "operator-token-of-the-lab";
/// How long anything may take before a test is given up as hung.
const HANG: Duration = Duration::from_secs(60);

/// A fleet and a folder for files.
struct Stage {
    lab: Lab,
    folder: std::path::PathBuf,
}

impl Stage {
    fn new(name: &str) -> Self {
        let executor = Arc::new(Executor::new());
        Lab::run_threads(&executor);
        let lab = block_on(Lab::start(&executor, LabOptions::default())).unwrap();
        block_on(lab.wait_ready(HANG)).unwrap();
        let folder = std::env::temp_dir().join(format!("silverdock-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("token"), TOKEN).unwrap();
        std::fs::write(folder.join("weights"), vec![5; 100_000]).unwrap();
        Self { lab, folder }
    }

    /// Runs the client with `--json` and gives what it printed and its exit code.
    fn run(&self, args: &[&str]) -> (Value, i32) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_silverdock"));
        command.args(["--json", "--entry", &self.lab.entries[0].operators().to_string()]);
        command.arg("--token-file").arg(self.folder.join("token")).args(args);
        let output = command.output().unwrap();
        (last_line(&output), output.status.code().unwrap())
    }

    /// Publishes the file under a label and gives the version.
    fn publish(&self, label: &str) -> String {
        let [_, objects, weights, _] = self.lab.platform.addresses().map(|it| it.to_string());
        let file = self.folder.join("weights").display().to_string();
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

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
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
fn can_publish_plan_confirm_watch_and_roll_back() {
    let stage = Stage::new("rollout");
    let (first, second) = (stage.publish("v1"), stage.publish("v2"));
    for version in [&first, &second] {
        let (plan, _) = stage.deploy(version, "3");
        assert_eq!(plan["steps"].as_array().unwrap().len(), 3);
        assert_eq!(stage.confirm(&plan).1, 0);
        let (watched, code) = stage.run(&["watch", "tips"]);
        assert_eq!((watched["live"].as_u64(), code), (Some(3), 0));
    }
    let (plan, _) = stage.plan(&["rollback", "tips"]);
    stage.confirm(&plan);
    let (status, _) = stage.run(&["status"]);
    assert_eq!(text(&status["deployments"][0]["version"]), first);
}

#[test]
fn refuses_a_plan_that_another_change_overtook() {
    let stage = Stage::new("conflict");
    let version = stage.publish("v1");
    let (slow, _) = stage.deploy(&version, "1");
    let (quick, _) = stage.deploy(&version, "2");
    assert_eq!(stage.confirm(&quick).1, 0);
    let (refused, code) = stage.confirm(&slow);
    assert_eq!((refused["code"].as_u64(), code), (Some(304), 1));
}

#[test]
fn takes_the_same_plan_once_however_often_it_is_confirmed() {
    let stage = Stage::new("twice");
    let version = stage.publish("v1");
    let (plan, _) = stage.deploy(&version, "1");
    let (again, _) = stage.deploy(&version, "1");
    assert_eq!(plan["id"], again["id"]);
    assert_eq!(stage.confirm(&plan).0["revision"], 1);
    assert_eq!(stage.confirm(&plan).0["revision"], 1);
}

#[test]
fn settles_a_confirmation_whose_answers_are_lost() {
    let stage = Stage::new("lost");
    let version = stage.publish("v1");
    let (plan, _) = stage.deploy(&version, "1");
    stage.lab.platform.table.faults.set_lost_percent(60);
    let (mut answer, mut code) = stage.confirm(&plan);
    // 306 tells the operator to confirm the same plan again.
    while code != 0 {
        assert!([306, 305].contains(&answer["code"].as_u64().unwrap()), "{answer}");
        (answer, code) = stage.confirm(&plan);
    }
    assert_eq!(answer["revision"], 1);
    assert!(stage.lab.platform.table.faults.lost() > 0);
}

#[test]
fn refuses_changes_truthfully_while_the_table_is_down() {
    let stage = Stage::new("outage");
    let version = stage.publish("v1");
    let (plan, _) = stage.deploy(&version, "1");
    stage.lab.platform.table.faults.set_down(true);
    let (refused, code) = stage.confirm(&plan);
    assert_eq!((refused["code"].as_u64(), code), (Some(305), 1));
    stage.lab.platform.table.faults.set_down(false);
    assert_eq!(stage.confirm(&plan).0["revision"], 1);
}

#[test]
fn refuses_to_take_the_last_replica() {
    let stage = Stage::new("last");
    let version = stage.publish("v1");
    let (plan, _) = stage.deploy(&version, "1");
    stage.confirm(&plan);
    stage.run(&["watch", "tips"]);
    let instance = text(&plan["steps"][0]["instance"]);
    let (refused, _) = stage.plan(&["leave", &instance]);
    assert_eq!(refused["code"].as_u64(), Some(308));
}

#[test]
fn reports_faults_in_arguments_and_settings_with_exit_code_two() {
    let stage = Stage::new("faults");
    let broken = stage.folder.join("broken.ini");
    std::fs::write(&broken, "[node]\nrole = captain\n").unwrap();
    let (fault, code) = stage.run(&["check", &broken.display().to_string()]);
    assert_eq!((fault["code"].as_u64(), code), (Some(500), 2));
    assert!(text(&fault["message"]).contains("captain"));
    assert_eq!(stage.run(&["version"]).1, 0);
}
