//! Compares a changed settings file with the settings that a running process uses. Some settings can be applied while
//! the process runs; the others require a restart.

use crate::deployment::{DeploymentRole, DeploymentSettings};

/// A key whose value has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangedKey {
    /// The section and name of the key, as `section.key`.
    pub key: &'static str,
    /// The value in use.
    pub from: String,
    /// The value in the file.
    pub to: String,
}

/// The result of comparing the settings in use with a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Reload {
    /// The settings in use, with the applied changes.
    pub settings: DeploymentSettings,
    /// Changes that are applied without a restart.
    pub applied: Vec<ChangedKey>,
    /// Changes that require a restart; the old values stay in use until then.
    pub needs_restart: Vec<ChangedKey>,
}

/// A key, how its value is formatted and how a new value is applied. `apply` is `None` if a change requires a restart.
struct Key {
    name: &'static str,
    format: fn(&DeploymentSettings) -> String,
    apply: Option<fn(&mut DeploymentSettings, &DeploymentSettings)>,
}

/// Defines a key whose change requires a restart, by the path of its field.
macro_rules! requires_restart {
    ($name:literal, $($field:ident).+) => {
        Key { name: $name, format: |it| format!("{:?}", it.$($field).+), apply: None }
    };
}

/// Defines a key whose change is applied without a restart, by the path of its field.
macro_rules! reloadable {
    ($name:literal, $($field:ident).+) => {
        Key {
            name: $name,
            format: |it| format!("{:?}", it.$($field).+),
            apply: Some(|current, new| current.$($field).+ = new.$($field).+.clone()),
        }
    };
}

/// All keys. The name, addresses and links of the process are in use while it runs, so a change of them requires a
/// restart. The same holds for the bounds from which the pace of the calls to the store is derived.
const KEYS: [Key; 25] = [
    requires_restart!("node.name", node.name),
    requires_restart!("node.region", node.place.region),
    requires_restart!("node.hall", node.place.hall),
    requires_restart!("node.halls", node.halls),
    requires_restart!("node.address", node.address),
    requires_restart!("node.first_port", node.first_port),
    requires_restart!("node.last_port", node.last_port),
    requires_restart!("node.memory_mb", node.memory_mb),
    requires_restart!("node.link_mbps", node.link_bytes_per_s),
    reloadable!("node.log_level", node.log_level),
    reloadable!("node.log_lines_per_s", node.log_lines_per_s),
    requires_restart!("store.address", store.address),
    reloadable!("store.writes_per_s", store.writes_per_s),
    reloadable!("store.reads_per_s", store.reads_per_s),
    reloadable!("bounds.grace_s", bounds.grace_s),
    requires_restart!("bounds.contact_ms", bounds.contact_ms),
    requires_restart!("bounds.drain_ms", bounds.drain_ms),
    requires_restart!("bounds.configuration_ms", bounds.configuration_ms),
    reloadable!("bounds.version_ms", bounds.version_ms),
    reloadable!("bounds.repeat_ratio", bounds.retry_ratio),
    reloadable!("bounds.repeat_window_s", bounds.retry_window_s),
    reloadable!("bounds.repeat_allowance", bounds.retry_allowance),
    reloadable!("bounds.evacuate_ms", bounds.evacuate_ms),
    reloadable!("bounds.cold_overrun, bounds.cold_slack", bounds.cold),
    requires_restart!("ablation.without", ablation),
];

/// Formats the settings of the process's role. A change of them requires a restart.
fn format_role(role: &DeploymentRole) -> String {
    match role {
        DeploymentRole::Gateway(gateway) => format!("{gateway:?}"),
        DeploymentRole::Sidecar(sidecar) => format!("{sidecar:?}"),
    }
}

impl DeploymentSettings {
    /// Compares the settings in use with those of a file.
    pub fn reload(&self, file: &DeploymentSettings) -> Reload {
        let mut reload =
            Reload { settings: self.clone(), applied: Vec::new(), needs_restart: Vec::new() };
        for key in &KEYS {
            let Some(changed) = find_change(key.name, (key.format)(self), (key.format)(file))
            else {
                continue;
            };
            match key.apply {
                Some(apply) => {
                    apply(&mut reload.settings, file);
                    reload.applied.push(changed);
                }
                None => reload.needs_restart.push(changed),
            }
        }
        let (current, new) = (format_role(&self.role), format_role(&file.role));
        reload.needs_restart.extend(find_change("gateway, sidecar", current, new));
        reload
    }
}

fn find_change(key: &'static str, from: String, to: String) -> Option<ChangedKey> {
    (from != to).then_some(ChangedKey { key, from, to })
}
