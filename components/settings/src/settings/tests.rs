//! Tests of `settings`.

use super::*;

const ENTRY_EXAMPLE: &str = include_str!("../../../../examples/settings/entry.ini");
const AGENT_EXAMPLE: &str = include_str!("../../../../examples/settings/agent.ini");

#[test]
fn can_parse_the_example_of_each_role() {
    let entry = Settings::parse(ENTRY_EXAMPLE).unwrap();
    let RoleSettings::Entry(role) = entry.role else { panic!("not an entry") };
    assert_eq!(role.kinds[0].service, Some(ServiceName("ledger".into())));
    assert!(!role.kinds[0].repeatable);
    let agent = Settings::parse(AGENT_EXAMPLE).unwrap();
    assert!(matches!(agent.role, RoleSettings::Agent(_)));
}

#[test]
fn can_parse_the_example_settings_of_both_deployments() {
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

/// Guards against a change that stops this build from reading the settings files of an earlier build: each of them
/// must still parse, into the same settings as the example of this build.
#[test]
fn can_parse_the_settings_files_of_an_earlier_build() {
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
        let earlier = read(format!("{root}samples/3667619/{}.ini", file.replace('/', "-")));
        assert_eq!(earlier, read(format!("{root}../../examples/settings/{file}.ini")), "{file}");
    }
}

#[test]
fn reports_all_faults_together() {
    let text = AGENT_EXAMPLE
        .replace("listen = 127.0.0.1:7410", "listen = nowhere")
        .replace("concurrency = 16", "concurrency = 0")
        .replace("log_level = info", "log_level = loud")
        .replace("hall = hall-a", "hal = hall-a");
    let faults = Settings::parse(&text).unwrap_err().0;
    let keys: Vec<&str> = faults.iter().map(|fault| fault.key.as_str()).collect();
    assert_eq!(keys, ["hall", "log_level", "listen", "concurrency", "hal"]);
}

#[test]
fn reports_an_unknown_section() {
    let faults = Settings::parse(&format!("{AGENT_EXAMPLE}\n[typo]\nkey = 1\n")).unwrap_err().0;
    assert_eq!(faults[0].section, "typo");
}

#[test]
fn reserves_a_share_of_the_link_for_serving() {
    let link = LinkSettings { upload_bytes_per_s: 1, download_bytes_per_s: 1, serving_percent: 25 };
    assert_eq!(link.weights_bandwidth(1000), 750);
}
