//! Tests of applying a changed settings file to a running process.

use settings::DeploymentSettings;

const SETTINGS_FILE: &str = "[node]
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

fn parse(text: &str) -> DeploymentSettings {
    DeploymentSettings::parse(text).unwrap()
}

/// Returns the file with another valid value for one key.
fn with_changed_value(key: &str) -> String {
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
    SETTINGS_FILE.lines().map(|line| change(line) + "\n").collect()
}

fn file_keys() -> impl Iterator<Item = &'static str> {
    SETTINGS_FILE.lines().filter_map(|line| line.split_once(" = ")).map(|(key, _)| key)
}

/// Guards against a template key that the other tests here do not cover.
#[test]
fn every_template_key_is_in_the_test_file() {
    let template = include_str!("../../../platform/gateway.ini");
    let template_keys =
        template.lines().filter_map(|line| line.split_once(" = ")).map(|(key, _)| key);
    let missing: Vec<_> = template_keys.filter(|key| !file_keys().any(|it| it == *key)).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn an_unchanged_file_changes_nothing() {
    let reload = parse(SETTINGS_FILE).reload(&parse(SETTINGS_FILE));
    assert!(reload.applied.is_empty() && reload.needs_restart.is_empty());
}

#[test]
fn every_changed_key_is_reported_by_name_as_applied_or_refused() {
    for key in file_keys() {
        let (old, new) = (parse(SETTINGS_FILE), parse(&with_changed_value(key)));
        assert_ne!(old, new, "{key}");
        let reload = old.reload(&new);
        let reported: Vec<_> = reload.applied.iter().chain(&reload.needs_restart).collect();
        // `address` is a key of two sections, and both change.
        let expected = if key == "address" { 2 } else { 1 };
        assert_eq!(reported.len(), expected, "{key}: {reported:?}");
        let is_role = ["callers", "readiness"].contains(&key);
        assert!(is_role || reported[0].key.contains(key), "{key}: {reported:?}");
        // Applied values are in the new settings, refused values are not.
        let expected = if reload.needs_restart.is_empty() { &new } else { &old };
        assert_eq!(&reload.settings, expected, "{key}");
    }
}

#[test]
fn bounds_and_log_settings_are_applied_while_addresses_and_names_need_a_restart() {
    let is_applied = |key: &str| {
        !parse(SETTINGS_FILE).reload(&parse(&with_changed_value(key))).applied.is_empty()
    };
    let reloadable = [
        "log_level",
        "log_lines_per_s",
        "grace_s",
        "version_ms",
        "repeat_allowance",
        "evacuate_ms",
    ];
    assert!(reloadable.into_iter().all(is_applied));
    let requires_restart = ["name", "hall", "address", "callers", "contact_ms", "without"];
    assert!(!requires_restart.into_iter().any(is_applied));
}

#[test]
fn a_file_with_both_kinds_of_changes_is_applied_in_part() {
    let text = SETTINGS_FILE
        .replace("version_ms = 8000", "version_ms = 9000")
        .replace("hall = a\n", "hall = b\n");
    let reload = parse(SETTINGS_FILE).reload(&parse(&text));
    assert_eq!(reload.settings.bounds.version_ms, 9000);
    assert_eq!(reload.settings.node.place.hall, "a".into());
    assert_eq!((reload.applied.len(), reload.needs_restart.len()), (1, 1));
}
