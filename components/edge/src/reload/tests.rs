use std::path::PathBuf;

use settings::DeploymentSettings;
use telemetry::Metrics;

use super::SettingsFile;

const SETTINGS: &str = "[node]
name = g1
region = north
hall = a
halls = a=north
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
";

/// A temporary file for a test, removed at the end.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("reload-{name}-{}", std::process::id()));
        let temporary = Self(path);
        temporary.write(SETTINGS);
        temporary
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.0, text).unwrap();
    }

    fn read(&self) -> SettingsFile {
        SettingsFile::new(self.0.clone(), DeploymentSettings::parse(SETTINGS).unwrap())
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Checks the file until it has stopped changing, and reloads it if it has changed.
fn reload_if_changed(file: &mut SettingsFile) {
    for _ in 0..3 {
        if file.has_changed() {
            file.reload(&Metrics::start().unwrap());
        }
    }
}

#[test]
fn a_file_that_is_being_written_is_read_when_it_is_complete() {
    let temporary = TemporaryFile::new("half");
    let mut file = temporary.read();
    reload_if_changed(&mut file);
    // Every key in it is valid, but the last value is truncated.
    temporary.write(SETTINGS.trim_end().strip_suffix('6').unwrap());
    assert!(!file.has_changed());
    temporary.write(SETTINGS);
    reload_if_changed(&mut file);
    assert_eq!(file.in_force().bounds.retry_allowance, 106.0);
}

#[test]
fn a_file_that_was_read_half_written_is_read_again_even_if_its_time_stays_the_same() {
    let temporary = TemporaryFile::new("same-time");
    let mut file = temporary.read();
    reload_if_changed(&mut file);
    temporary.write(SETTINGS.trim_end().strip_suffix('6').unwrap());
    let written_at = std::fs::metadata(&temporary.0).unwrap().modified().unwrap();
    file.reload(&Metrics::start().unwrap());
    temporary.write(&SETTINGS.replace("= 106", "= 107"));
    std::fs::File::options()
        .write(true)
        .open(&temporary.0)
        .unwrap()
        .set_modified(written_at)
        .unwrap();
    reload_if_changed(&mut file);
    assert_eq!(file.in_force().bounds.retry_allowance, 107.0);
}

#[test]
fn a_change_between_the_first_reading_and_the_first_check_is_detected() {
    let temporary = TemporaryFile::new("early");
    temporary.write(&SETTINGS.replace("= 106", "= 50"));
    let mut file = temporary.read();
    reload_if_changed(&mut file);
    assert_eq!(file.in_force().bounds.retry_allowance, 50.0);
}

#[test]
fn a_file_that_stays_the_same_is_not_read_again() {
    let temporary = TemporaryFile::new("same");
    let mut file = temporary.read();
    reload_if_changed(&mut file);
    assert!(!file.has_changed() && !file.has_changed());
}

#[test]
fn a_deleted_file_changes_nothing_until_it_exists_again() {
    let temporary = TemporaryFile::new("gone");
    let mut file = temporary.read();
    reload_if_changed(&mut file);
    std::fs::remove_file(&temporary.0).unwrap();
    reload_if_changed(&mut file);
    assert_eq!(file.in_force().bounds.retry_allowance, 106.0);
    temporary.write(&SETTINGS.replace("= 106", "= 50"));
    reload_if_changed(&mut file);
    assert_eq!(file.in_force().bounds.retry_allowance, 50.0);
}
