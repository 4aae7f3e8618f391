//! Tests of `settings`.

use super::*;

const ENTRY: &str = include_str!("../../../../examples/settings/entry.ini");
const AGENT: &str = include_str!("../../../../examples/settings/agent.ini");

#[test]
fn can_read_the_example_of_each_role() {
    let entry = Settings::parse(ENTRY).unwrap();
    let RoleSettings::Entry(role) = entry.role else { panic!("not an entry") };
    assert_eq!(role.kinds[0].service, Some(ServiceName("ledger".into())));
    assert!(!role.kinds[0].repeatable);
    let agent = Settings::parse(AGENT).unwrap();
    assert!(matches!(agent.role, RoleSettings::Agent(_)));
}

#[test]
fn can_read_the_settings_of_both_deployments() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/settings/");
    let copies = [("mizani", "ledger", 3), ("authority", "register", 1)];
    for (deployment, service, copies) in copies {
        for file in ["entry", "runner", service] {
            let path = format!("{folder}{deployment}/{file}.ini");
            let text = std::fs::read_to_string(&path).unwrap();
            let settings = Settings::parse(&text).unwrap_or_else(|it| panic!("{path}: {it}"));
            assert_eq!(settings.profile.origin_copies(), copies, "{path}");
        }
    }
}

/// Each settings file of the build that landed last is read, as the same settings as this build's example.
#[test]
fn can_read_the_settings_of_the_landed_build() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/");
    let read = |path: String| {
        let text = std::fs::read_to_string(&path).unwrap();
        Settings::parse(&text).unwrap_or_else(|it| panic!("{path}: {it}"))
    };
    let files = [
        "entry",
        "agent",
        "mizani/entry",
        "mizani/ledger",
        "mizani/runner",
        "authority/entry",
        "authority/register",
        "authority/runner",
    ];
    for file in files {
        let landed = read(format!("{root}samples/3667619/{}.ini", file.replace('/', "-")));
        assert_eq!(landed, read(format!("{root}../../examples/settings/{file}.ini")), "{file}");
    }
}

#[test]
fn errors_on_every_fault_at_once() {
    let text = AGENT
        .replace("listen = 127.0.0.1:7410", "listen = nowhere")
        .replace("concurrency = 16", "concurrency = 0")
        .replace("log_level = info", "log_level = loud")
        .replace("hall = hall-a", "hal = hall-a");
    let faults = Settings::parse(&text).unwrap_err().0;
    let keys: Vec<&str> = faults.iter().map(|fault| fault.key.as_str()).collect();
    assert_eq!(keys, ["hall", "log_level", "listen", "concurrency", "hal"]);
}

#[test]
fn errors_on_a_section_nobody_asks_for() {
    let faults = Settings::parse(&format!("{AGENT}\n[typo]\nkey = 1\n")).unwrap_err().0;
    assert_eq!(faults[0].section, "typo");
}

#[test]
fn can_keep_a_share_of_the_link_for_serving() {
    let link = LinkSettings { upload_bytes_per_s: 1, download_bytes_per_s: 1, serving_percent: 25 };
    assert_eq!(link.for_weights(1000), 750);
}
