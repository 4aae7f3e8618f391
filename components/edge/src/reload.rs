//! The settings file of a running process: read again when told to, and when it has changed by itself.

use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use settings::{DeploymentSettings, Reload};
use telemetry::Metrics;

/// How often the file is looked at for changes that nobody told of. A look is one call to the system. A
/// change is read at the second look that finds it, so within two of these spans.
pub const LOOK_EVERY: Duration = Duration::from_secs(1);

/// What tells two states of a file apart. The time alone does not: it has steps of some milliseconds, and a
/// file that is cut off and written again within one keeps it.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Stamp {
    written_at: SystemTime,
    bytes: u64,
    inode: u64,
}

/// The settings in force and the file that they came from.
pub struct SettingsFile {
    path: PathBuf,
    /// The file as it was read last. `None` before that: what was in force at start may be older than it.
    read: Option<Stamp>,
    /// The file at the last look.
    seen: Option<Stamp>,
    in_force: DeploymentSettings,
}

impl SettingsFile {
    /// The settings that were read from a file at start.
    pub fn new(path: PathBuf, in_force: DeploymentSettings) -> Self {
        Self { path, read: None, seen: None, in_force }
    }

    /// The settings in force.
    pub fn in_force(&self) -> &DeploymentSettings {
        &self.in_force
    }

    /// Looks at the file: whether it is another than was last read, and the same as at the last look. One that is
    /// being written may hold a value that is cut off, yet can be read.
    pub fn has_changed(&mut self) -> bool {
        let stamp = stamp(&self.path);
        let has_settled = stamp == self.seen;
        self.seen = stamp;
        has_settled && stamp != self.read
    }

    /// Reads the file again and takes over what can change at once. `None` where nothing does. The log names
    /// every key that changes or cannot; a file with faults changes nothing.
    pub fn read_again(&mut self, metrics: &Metrics) -> Option<&DeploymentSettings> {
        // Taken before the text: what is written while it is read counts as a change.
        self.read = stamp(&self.path);
        let path = self.path.display().to_string();
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                let reason = error.to_string();
                log::error!(path = path.as_str(), reason = reason.as_str(); "settings cannot be read; the old ones stay");
                metrics.count_setting("unreadable");
                return None;
            }
        };
        let file = match DeploymentSettings::parse(&text) {
            Ok(file) => file,
            Err(faults) => {
                let faults = faults.to_string();
                log::error!(path = path.as_str(), faults = faults.as_str(); "settings have faults; the old ones stay");
                metrics.count_setting("faulty");
                return None;
            }
        };
        let reload = self.in_force.reload(&file);
        tell(&reload, metrics);
        if reload.applied.is_empty() {
            return None;
        }
        self.in_force = reload.settings;
        Some(&self.in_force)
    }
}

/// The state of a file. `None` where that cannot be told.
fn stamp(path: &Path) -> Option<Stamp> {
    let file = std::fs::metadata(path).ok()?;
    Some(Stamp { written_at: file.modified().ok()?, bytes: file.len(), inode: file.ino() })
}

fn tell(reload: &Reload, metrics: &Metrics) {
    if reload.applied.is_empty() && reload.refused.is_empty() {
        log::info!("settings read again: nothing has changed");
    }
    for it in &reload.applied {
        log::info!(key = it.key, from = it.from.as_str(), to = it.to.as_str(); "setting changed");
        metrics.count_setting("applied");
    }
    for it in &reload.refused {
        log::warn!(key = it.key, from = it.from.as_str(), to = it.to.as_str(); "setting needs a new start; the old value stays");
        metrics.count_setting("refused");
    }
}

#[cfg(test)]
mod tests;
