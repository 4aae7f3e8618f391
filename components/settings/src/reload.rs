//! What a settings file that has changed asks of a process that runs: some of it can change at once, the rest
//! needs a new start.

use crate::deployment::{DeploymentRole, DeploymentSettings};

/// A key whose value has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changed {
    /// Its section and name, as `section.key`.
    pub key: &'static str,
    /// What is in force.
    pub from: String,
    /// What the file says.
    pub to: String,
}

/// What comes of a file that has changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Reload {
    /// The settings with everything that can change at once.
    pub settings: DeploymentSettings,
    /// What changes at once.
    pub applied: Vec<Changed>,
    /// What stays as it is until the next start.
    pub refused: Vec<Changed>,
}

/// A key, how its value is shown and how it is taken over. `take` is `None` where it needs a new start.
struct Key {
    name: &'static str,
    show: fn(&DeploymentSettings) -> String,
    take: Option<fn(&mut DeploymentSettings, &DeploymentSettings)>,
}

/// A key that needs a new start, by the path of its field.
macro_rules! fixed {
    ($name:literal, $($field:ident).+) => {
        Key { name: $name, show: |it| format!("{:?}", it.$($field).+), take: None }
    };
}

/// A key that can change at once, by the path of its field.
macro_rules! live {
    ($name:literal, $($field:ident).+) => {
        Key {
            name: $name,
            show: |it| format!("{:?}", it.$($field).+),
            take: Some(|mine, new| mine.$($field).+ = new.$($field).+.clone()),
        }
    };
}

/// Every key. What names the process, its addresses and its links is part of what runs; so is what the pace of
/// the calls to the store follows from.
const KEYS: [Key; 25] = [
    fixed!("node.name", node.name),
    fixed!("node.region", node.place.region),
    fixed!("node.hall", node.place.hall),
    fixed!("node.halls", node.halls),
    fixed!("node.address", node.address),
    fixed!("node.first_port", node.first_port),
    fixed!("node.last_port", node.last_port),
    fixed!("node.memory_mb", node.memory_mb),
    fixed!("node.link_mbps", node.link_bytes_per_s),
    live!("node.log_level", node.log_level),
    live!("node.log_lines_per_s", node.log_lines_per_s),
    fixed!("store.address", store.address),
    live!("store.writes_per_s", store.writes_per_s),
    live!("store.reads_per_s", store.reads_per_s),
    live!("bounds.grace_s", bounds.grace_s),
    fixed!("bounds.contact_ms", bounds.contact_ms),
    fixed!("bounds.drain_ms", bounds.drain_ms),
    fixed!("bounds.configuration_ms", bounds.configuration_ms),
    live!("bounds.version_ms", bounds.version_ms),
    live!("bounds.repeat_ratio", bounds.repeat_ratio),
    live!("bounds.repeat_window_s", bounds.repeat_window_s),
    live!("bounds.repeat_allowance", bounds.repeat_allowance),
    live!("bounds.evacuate_ms", bounds.evacuate_ms),
    live!("bounds.cold_overrun, bounds.cold_slack", bounds.cold),
    fixed!("ablation.without", ablation),
];

/// What the process does, as a text. It cannot change at once.
fn show_role(role: &DeploymentRole) -> String {
    match role {
        DeploymentRole::Gateway(gateway) => format!("{gateway:?}"),
        DeploymentRole::Sidecar(sidecar) => format!("{sidecar:?}"),
    }
}

impl DeploymentSettings {
    /// Compares what is in force with what the file says now.
    pub fn reload(&self, file: &DeploymentSettings) -> Reload {
        let mut reload =
            Reload { settings: self.clone(), applied: Vec::new(), refused: Vec::new() };
        for key in &KEYS {
            let Some(changed) = changed(key.name, (key.show)(self), (key.show)(file)) else {
                continue;
            };
            match key.take {
                Some(take) => {
                    take(&mut reload.settings, file);
                    reload.applied.push(changed);
                }
                None => reload.refused.push(changed),
            }
        }
        let (mine, new) = (show_role(&self.role), show_role(&file.role));
        reload.refused.extend(changed("gateway, sidecar", mine, new));
        reload
    }
}

fn changed(key: &'static str, from: String, to: String) -> Option<Changed> {
    (from != to).then_some(Changed { key, from, to })
}
