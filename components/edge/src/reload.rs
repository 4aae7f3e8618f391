//! The settings file of a running process: read again when told to, and when it has changed by itself.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use settings::{DeploymentSettings, Reload};

/// How often the file is looked at for changes that nobody told of. A look is one call to the system; bounds
/// change a few times a day.
pub const LOOK_EVERY: Duration = Duration::from_secs(2);

/// The settings in force and the file that they came from.
pub struct SettingsFile {
    path: PathBuf,
    changed_at: Option<SystemTime>,
    in_force: DeploymentSettings,
}

impl SettingsFile {
    /// The settings that were read from a file at start.
    pub fn new(path: PathBuf, in_force: DeploymentSettings) -> Self {
        let changed_at = changed_at(&path);
        Self { path, changed_at, in_force }
    }

    /// The settings in force.
    pub fn in_force(&self) -> &DeploymentSettings {
        &self.in_force
    }

    /// Whether the file has been written since it was last read.
    pub fn has_changed(&self) -> bool {
        changed_at(&self.path) != self.changed_at
    }

    /// Reads the file again and takes over what can change at once. `None` where nothing does. The log names
    /// every key that changes or cannot; a file with faults changes nothing.
    pub fn read_again(&mut self) -> Option<&DeploymentSettings> {
        self.changed_at = changed_at(&self.path);
        let path = self.path.display().to_string();
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                let reason = error.to_string();
                log::error!(path = path.as_str(), reason = reason.as_str(); "settings cannot be read; the old ones stay");
                return None;
            }
        };
        let file = match DeploymentSettings::parse(&text) {
            Ok(file) => file,
            Err(faults) => {
                let faults = faults.to_string();
                log::error!(path = path.as_str(), faults = faults.as_str(); "settings have faults; the old ones stay");
                return None;
            }
        };
        let reload = self.in_force.reload(&file);
        tell(&reload);
        if reload.applied.is_empty() {
            return None;
        }
        self.in_force = reload.settings;
        Some(&self.in_force)
    }
}

/// When a file was last written. `None` where that cannot be told.
fn changed_at(path: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|it| it.modified()).ok()
}

fn tell(reload: &Reload) {
    if reload.applied.is_empty() && reload.refused.is_empty() {
        log::info!("settings read again: nothing has changed");
    }
    for it in &reload.applied {
        log::info!(key = it.key, from = it.from.as_str(), to = it.to.as_str(); "setting changed");
    }
    for it in &reload.refused {
        log::warn!(key = it.key, from = it.from.as_str(), to = it.to.as_str(); "setting needs a new start; the old value stays");
    }
}
