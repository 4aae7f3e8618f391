//! What a changed settings file changes in a process that runs.

use settings::DeploymentSettings;

const FILE: &str = "[node]
name = g1
region = north
hall = a
halls = a=north,b=south
address = 10.1.0.4
first_port = 7700
last_port = 7715
memory_mb = 160
link_mbps = 40
log_level = info
log_lines_per_s = 100

[gateway]
callers = 10.1.0.4:8005
readiness = 10.1.0.4:8002

[store]
address = 10.9.0.1:8007
writes_per_s = 400
reads_per_s = 2000

[bounds]
grace_s = 8
contact_ms = 3000
drain_ms = 2000
configuration_ms = 2000
version_ms = 8000
repeat_ratio = 0.2
repeat_window_s = 10
repeat_allowance = 106
evacuate_ms = 5000
cold_overrun = 1.5
cold_slack = 5

[ablation]
without = ranks
";

fn read(text: &str) -> DeploymentSettings {
    DeploymentSettings::parse(text).unwrap()
}

/// A file in which one key has another value that can be read too.
fn with_another(key: &str) -> String {
    let change = |line: &str| {
        let Some((name, value)) = line.split_once(" = ") else {
            return line.to_owned();
        };
        if name != key {
            return line.to_owned();
        }
        let value = match value {
            "info" => "warn".into(),
            "ranks" => "waiting".into(),
            "a=north,b=south" => "a=north".into(),
            _ => match value.split_at(value.len() - 1) {
                (head, "9") => format!("{head}8"),
                (head, digit) if digit.parse::<u8>().is_ok() => {
                    format!("{head}{}", digit.parse::<u8>().unwrap() + 1)
                }
                _ => format!("{value}x"),
            },
        };
        format!("{name} = {value}")
    };
    FILE.lines().map(|line| change(line) + "\n").collect()
}

fn keys() -> impl Iterator<Item = &'static str> {
    FILE.lines().filter_map(|line| line.split_once(" = ")).map(|(key, _)| key)
}

/// A key that is in no file here could change unseen.
#[test]
fn every_key_that_the_platform_fills_is_in_the_file_of_these_tests() {
    let template = include_str!("../../../platform/gateway.ini");
    let filled = template.lines().filter_map(|line| line.split_once(" = ")).map(|(key, _)| key);
    let missing: Vec<_> = filled.filter(|key| !keys().any(|it| it == *key)).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn a_file_that_has_not_changed_changes_nothing() {
    let reload = read(FILE).reload(&read(FILE));
    assert!(reload.applied.is_empty() && reload.refused.is_empty());
}

#[test]
fn every_key_that_changes_is_either_applied_or_refused_by_its_name() {
    for key in keys() {
        let (old, new) = (read(FILE), read(&with_another(key)));
        assert_ne!(old, new, "{key}");
        let reload = old.reload(&new);
        let told: Vec<_> = reload.applied.iter().chain(&reload.refused).collect();
        // Two sections have an address.
        let expected = if key == "address" { 2 } else { 1 };
        assert_eq!(told.len(), expected, "{key}: {told:?}");
        let is_role = ["callers", "readiness"].contains(&key);
        assert!(is_role || told[0].key.contains(key), "{key}: {told:?}");
        // What is applied is in force, what is refused is not.
        let expected = if reload.refused.is_empty() { &new } else { &old };
        assert_eq!(&reload.settings, expected, "{key}");
    }
}

#[test]
fn bounds_and_logs_change_at_once_while_addresses_and_names_stay() {
    let changes_at_once =
        |key: &str| !read(FILE).reload(&read(&with_another(key))).applied.is_empty();
    let live = [
        "log_level",
        "log_lines_per_s",
        "grace_s",
        "version_ms",
        "repeat_allowance",
        "evacuate_ms",
    ];
    assert!(live.into_iter().all(changes_at_once));
    let fixed = ["name", "hall", "address", "callers", "contact_ms", "without"];
    assert!(!fixed.into_iter().any(changes_at_once));
}

#[test]
fn a_change_of_both_kinds_applies_the_one_and_refuses_the_other() {
    let text =
        FILE.replace("version_ms = 8000", "version_ms = 9000").replace("hall = a\n", "hall = b\n");
    let reload = read(FILE).reload(&read(&text));
    assert_eq!(reload.settings.bounds.version_ms, 9000);
    assert_eq!(reload.settings.node.place.hall, "a".into());
    assert_eq!((reload.applied.len(), reload.refused.len()), (1, 1));
}
