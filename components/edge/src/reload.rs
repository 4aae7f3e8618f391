//! The settings file of a running process. It is read again on a signal and when it has changed.

use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use settings::{DeploymentSettings, Reload};
use telemetry::Metrics;

/// How often the file is checked for changes, with one system call. A change is read at the second check that
/// sees it, so within two intervals.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Identifies a state of a file. The modification time alone is not sufficient: its resolution is some
/// milliseconds, and a file that is truncated and rewritten within one step keeps it.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Stamp {
    written_at: SystemTime,
    bytes: u64,
    inode: u64,
}

/// The settings in force and the file that they were read from.
pub struct SettingsFile {
    path: PathBuf,
    /// The stamp of the file when it was last read. `None` before that: the settings from the start may be
    /// older than the file.
    read_stamp: Option<Stamp>,
    /// The stamp of the file at the last check.
    last_stamp: Option<Stamp>,
    in_force: DeploymentSettings,
}

impl SettingsFile {
    /// Creates the state for settings that were read from a file at the start.
    pub fn new(path: PathBuf, in_force: DeploymentSettings) -> Self {
        Self { path, read_stamp: None, last_stamp: None, in_force }
    }

    /// The settings in force.
    pub fn in_force(&self) -> &DeploymentSettings {
        &self.in_force
    }

    /// Checks the file: whether it differs from the last one read, and is the same as at the last check. A
    /// file that is being written may contain a truncated value that is still valid.
    pub fn has_changed(&mut self) -> bool {
        let stamp = stamp(&self.path);
        let is_stable = stamp == self.last_stamp;
        self.last_stamp = stamp;
        is_stable && stamp != self.read_stamp
    }

    /// Reads the file again and applies the settings that can change at runtime. `None` if none does. The log
    /// names every key that changes or cannot; a file with errors changes nothing.
    pub fn reload(&mut self, metrics: &Metrics) -> Option<&DeploymentSettings> {
        // Taken before the text is read, so that a write during the read counts as a change.
        self.read_stamp = stamp(&self.path);
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
        log_reload(&reload, metrics);
        if reload.applied.is_empty() {
            return None;
        }
        self.in_force = reload.settings;
        Some(&self.in_force)
    }
}

/// The stamp of a file. `None` if it cannot be read.
fn stamp(path: &Path) -> Option<Stamp> {
    let file = std::fs::metadata(path).ok()?;
    Some(Stamp { written_at: file.modified().ok()?, bytes: file.len(), inode: file.ino() })
}

fn log_reload(reload: &Reload, metrics: &Metrics) {
    if reload.applied.is_empty() && reload.needs_restart.is_empty() {
        log::info!("settings read again: nothing has changed");
    }
    for it in &reload.applied {
        log::info!(key = it.key, from = it.from.as_str(), to = it.to.as_str(); "setting changed");
        metrics.count_setting("applied");
    }
    for it in &reload.needs_restart {
        log::warn!(key = it.key, from = it.from.as_str(), to = it.to.as_str(); "setting needs a new start; the old value stays");
        metrics.count_setting("refused");
    }
}

#[cfg(test)]
mod tests;
