//! Tests of the settings of gateways and sidecars, and of the templates that the platform fills in.

use fleet::{Hall, Region};
use settings::{ColdSettings, DeploymentRole, DeploymentSettings};

const GATEWAY_TEMPLATE: &str = include_str!("../../../platform/gateway.ini");
const SIDECAR_TEMPLATE: &str = include_str!("../../../platform/sidecar.ini");
/// The templates of an earlier build.
const EARLIER_GATEWAY_TEMPLATE: &str = include_str!("../samples/3667619/gateway.ini");
const EARLIER_SIDECAR_TEMPLATE: &str = include_str!("../samples/3667619/sidecar.ini");

/// Fills in the placeholders of a template as the platform does.
fn fill(template: &str) -> String {
    let zones = "{{#zones}}{{@}}={{.}}{{,}}{{/zones}}";
    let fields = [
        (zones, "a=north,b=south"),
        ("{{nodeName}}", "m-1"),
        ("{{region}}", "north"),
        ("{{zone}}", "a"),
        ("{{ip}}", "10.1.0.40"),
        ("{{internalPorts.0}}", "7700"),
        ("{{internalPorts.1}}", "7715"),
        ("{{limits.memoryMb}}", "128"),
        ("{{limits.linkMbps}}", "7.6"),
        ("{{listen.front}}", "10.1.0.40:8005"),
        ("{{listen.ready}}", "10.1.0.40:8002"),
        ("{{app}}", "10.1.0.40:8001"),
        ("{{service}}", "s1"),
        ("{{platform.address}}", "10.200.1.7:8007"),
        ("{{platform.writesPerS}}{{platform.writes_per_s}}", "400"),
        ("{{platform.readsPerS}}{{platform.reads_per_s}}", "2000"),
        ("{{bounds.graceS}}", "8"),
        ("{{bounds.contactMs}}", "3000"),
        ("{{bounds.drainMs}}", "2000"),
        ("{{bounds.configApplyMs}}", "2000"),
        ("{{bounds.versionMs}}{{bounds.version_ms}}", "8000"),
        ("{{bounds.budgetRatio}}", "0.2"),
        ("{{bounds.budgetWindowS}}", "10"),
        ("{{bounds.retrySlack}}", "106"),
        ("{{bounds.evacuateMs}}", ""),
        ("{{bounds.coldOverrun}}", ""),
        ("{{bounds.coldSlack}}", ""),
    ];
    fields
        .iter()
        .fold(template.to_owned(), |text, (placeholder, value)| text.replace(placeholder, value))
}

#[test]
fn the_filled_templates_can_be_parsed() {
    let gateway = DeploymentSettings::parse(&fill(GATEWAY_TEMPLATE)).unwrap();
    assert_eq!(gateway.gateway().unwrap().callers.port(), 8005);
    assert_eq!(gateway.node.link_bytes_per_s, 950_000);
    assert_eq!(gateway.node.halls.get(&Hall::from("b")), Some(&Region::from("south")));
    assert_eq!(gateway.bounds.retry_allowance, 106.0);
    let sidecar = DeploymentSettings::parse(&fill(SIDECAR_TEMPLATE)).unwrap();
    assert_eq!(sidecar.sidecar().unwrap().service, "s1".into());
    assert!(matches!(sidecar.role, DeploymentRole::Sidecar(_)));
}

/// Guards against a change that stops this build from reading the templates of an earlier build: each of their keys
/// must still be read with the same value.
#[test]
fn the_templates_of_an_earlier_build_are_parsed_into_the_same_values() {
    let text = fill(EARLIER_GATEWAY_TEMPLATE)
        .replace("evacuate_ms =", "evacuate_ms = 5000")
        .replace("cold_overrun =", "cold_overrun = 1.5")
        .replace("cold_slack =", "cold_slack = 5");
    let gateway = DeploymentSettings::parse(&text).unwrap();
    let node = &gateway.node;
    assert_eq!(
        (node.name.to_string().as_str(), node.address.to_string().as_str()),
        ("m-1", "10.1.0.40")
    );
    assert_eq!((&node.place.region, &node.place.hall), (&Region::from("north"), &Hall::from("a")));
    assert_eq!(node.halls.get(&Hall::from("b")), Some(&Region::from("south")));
    assert_eq!((node.first_port, node.last_port), (7700, 7715));
    assert_eq!((node.memory_mb, node.link_bytes_per_s), (128, 950_000));
    let role = gateway.gateway().unwrap();
    assert_eq!(role.callers.to_string(), "10.1.0.40:8005");
    assert_eq!(role.readiness.to_string(), "10.1.0.40:8002");
    let store = &gateway.store;
    assert_eq!(store.address.to_string(), "10.200.1.7:8007");
    assert_eq!((store.writes_per_s, store.reads_per_s), (400, 2000));
    let bounds = &gateway.bounds;
    assert_eq!((bounds.contact_ms, bounds.drain_ms), (3000, 2000));
    assert_eq!((bounds.configuration_ms, bounds.version_ms), (2000, 8000));
    assert_eq!((bounds.retry_ratio, bounds.retry_allowance), (0.2, 106.0));
    assert_eq!(bounds.evacuate_ms, Some(5000));
    assert_eq!(bounds.cold, Some(ColdSettings { overrun: 1.5, slack: 5.0 }));
    let sidecar = DeploymentSettings::parse(&fill(EARLIER_SIDECAR_TEMPLATE)).unwrap();
    let role = sidecar.sidecar().unwrap();
    assert_eq!((role.runner.to_string().as_str(), &role.service), ("10.1.0.40:8001", &"s1".into()));
    assert_eq!(sidecar.bounds.evacuate_ms, None);
}

#[test]
fn a_placeholder_that_the_platform_left_empty_is_a_fault() {
    let text = fill(GATEWAY_TEMPLATE).replace("callers = 10.1.0.40:8005", "callers = ");
    let faults = DeploymentSettings::parse(&text).unwrap_err();
    assert_eq!(faults.0.len(), 1, "{faults}");
    assert_eq!((faults.0[0].section.as_str(), faults.0[0].key.as_str()), ("gateway", "callers"));
}

#[test]
fn all_faults_are_reported_together() {
    let text = fill(SIDECAR_TEMPLATE)
        .replace("first_port = 7700", "first_port = none")
        .replace("repeat_ratio = 0.2", "repeat_ratio = -1")
        .replace("[store]", "[store]\nspeed = 3");
    let faults = DeploymentSettings::parse(&text).unwrap_err();
    let keys: Vec<&str> = faults.0.iter().map(|it| it.key.as_str()).collect();
    assert_eq!(keys, ["first_port", "repeat_ratio", "speed"], "{faults}");
}

/// The platform defines the rate limits of the store and the bounds. A default in place of a missing one would be used
/// without anyone noticing.
#[test]
fn a_missing_rate_limit_or_bound_is_a_fault() {
    for key in [
        "writes_per_s",
        "reads_per_s",
        "grace_s",
        "contact_ms",
        "drain_ms",
        "configuration_ms",
        "version_ms",
        "repeat_ratio",
        "repeat_window_s",
        "repeat_allowance",
    ] {
        let text = fill(GATEWAY_TEMPLATE);
        let kept: Vec<&str> = text.lines().filter(|line| !line.starts_with(key)).collect();
        let faults = DeploymentSettings::parse(&kept.join("\n")).unwrap_err();
        let missing: Vec<&str> = faults.0.iter().map(|it| it.key.as_str()).collect();
        assert_eq!(missing, [key]);
    }
}

#[test]
fn evacuation_and_cold_start_bounds_may_be_absent_or_empty() {
    let bounds = DeploymentSettings::parse(&fill(GATEWAY_TEMPLATE)).unwrap().bounds;
    assert_eq!((bounds.evacuate_ms, bounds.cold), (None, None));
    let filled = fill(GATEWAY_TEMPLATE)
        .replace("evacuate_ms =", "evacuate_ms = 5000")
        .replace("cold_overrun =", "cold_overrun = 1.5")
        .replace("cold_slack =", "cold_slack = 5");
    let bounds = DeploymentSettings::parse(&filled).unwrap().bounds;
    assert_eq!(bounds.evacuate_ms, Some(5000));
    assert_eq!(bounds.cold, Some(ColdSettings { overrun: 1.5, slack: 5.0 }));
}

#[test]
fn an_evacuated_hall_is_left_before_the_bounds_apply_again_to_a_resumed_process() {
    let mut bounds = DeploymentSettings::parse(&fill(GATEWAY_TEMPLATE)).unwrap().bounds;
    assert_eq!(bounds.evacuation_limit_ms(), None);
    (bounds.contact_ms, bounds.evacuate_ms) = (4000, Some(5000));
    assert_eq!(bounds.evacuation_limit_ms(), Some(5000));
    (bounds.contact_ms, bounds.evacuate_ms) = (2000, Some(60_000));
    assert_eq!(bounds.evacuation_limit_ms(), Some(3000));
}

#[test]
fn one_cold_start_bound_without_the_other_is_a_fault() {
    let text = fill(GATEWAY_TEMPLATE).replace("cold_overrun =", "cold_overrun = 1.5");
    let faults = DeploymentSettings::parse(&text).unwrap_err();
    assert_eq!(faults.0[0].key, "cold_slack");
}

#[test]
fn the_store_rate_limits_are_those_of_the_platform() {
    let settings = DeploymentSettings::parse(&fill(SIDECAR_TEMPLATE)).unwrap();
    assert_eq!((settings.store.writes_per_s, settings.store.reads_per_s), (400, 2000));
}

#[test]
fn settings_of_a_fleet_daemon_are_not_taken_for_deployment_settings() {
    assert!(
        DeploymentSettings::has_deployment_section(GATEWAY_TEMPLATE)
            && DeploymentSettings::has_deployment_section(SIDECAR_TEMPLATE)
    );
    assert!(!DeploymentSettings::has_deployment_section("[node]\nrole = entry\n[entry]\n"));
}

#[test]
fn the_ablation_section_disables_mechanisms() {
    let plain = DeploymentSettings::parse(&fill(GATEWAY_TEMPLATE)).unwrap();
    assert!(plain.ablation.is_empty());
    let text = fill(GATEWAY_TEMPLATE) + "\n[ablation]\nwithout = turns\n";
    let settings = DeploymentSettings::parse(&text).unwrap();
    assert!(!settings.ablation.is_enabled(fleet::Mechanism::Turns));
    let text = fill(GATEWAY_TEMPLATE) + "\n[ablation]\nwithout = luck\n";
    let faults = DeploymentSettings::parse(&text).unwrap_err();
    assert!(faults.to_string().contains("luck"));
}

#[test]
fn an_unknown_log_level_is_a_fault() {
    let with_level = |level: &str| {
        fill(GATEWAY_TEMPLATE).replace("[node]", &format!("[node]\nlog_level = {level}"))
    };
    let faults = DeploymentSettings::parse(&with_level("loud")).unwrap_err();
    assert_eq!(faults.0.len(), 1, "{faults}");
    for level in ["off", "error", "warn", "info", "debug", "trace", "INFO"] {
        assert!(DeploymentSettings::parse(&with_level(level)).is_ok(), "{level}");
    }
}
