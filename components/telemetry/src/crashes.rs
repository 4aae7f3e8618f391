//! Logs and counts what is known of requests that runners crash under. As warnings: the log keeps room for them.

use quarantine::{CrashChange, CrashNews};

use crate::metrics::Metrics;

/// Logs and counts what was found or heard.
pub fn note_crash(metrics: &Metrics, news: &CrashNews) {
    match news {
        CrashNews::Crashed { digest, runner, crashes } => {
            let digest = digest.to_string();
            log::warn!(digest = digest.as_str(), runner = runner.0.as_str(), crashes = *crashes; "runner crashed under a request");
            metrics.count_crash("crashed");
        }
        CrashNews::Changed { change, is_own } => note_crash_change(metrics, change, *is_own),
    }
}

/// Logs and counts that the status of a request has changed.
pub fn note_crash_change(metrics: &Metrics, change: &CrashChange, is_own: bool) {
    match change {
        CrashChange::Quarantined(digest) => {
            let digest = digest.to_string();
            log::warn!(digest = digest.as_str(), is_own = is_own; "request in quarantine");
            metrics.count_crash("quarantined");
        }
        CrashChange::Cleared { digest, was_quarantined } => {
            let digest = digest.to_string();
            log::info!(digest = digest.as_str(), is_own = is_own, was_quarantined = was_quarantined; "request cleared of crashes");
            metrics.count_crash("cleared");
        }
    }
}
