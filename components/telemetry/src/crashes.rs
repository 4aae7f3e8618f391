//! Logs and counts requests and parts of prompts that crash runners. Crashes and quarantines are warnings of the process, for which the log
//! reserves part of its rate limit.

use quarantine::{CrashChange, CrashEvent, SubjectDigest};

use crate::metrics::Metrics;

/// Logs and counts a crash or a status change that this process found or another one reported.
pub fn record_crash(metrics: &Metrics, event: &CrashEvent) {
    match event {
        CrashEvent::Crashed { digest, runner, crashes } => {
            let (subject, digest) = (kind(*digest), digest.to_string());
            log::warn!(subject = subject, digest = digest.as_str(), runner = runner.0.as_str(), crashes = *crashes; "runner crashed under a request");
            metrics.count_crash("crashed");
        }
        CrashEvent::Changed { change, is_own } => record_crash_change(metrics, change, *is_own),
    }
}

/// What a digest identifies, as it is logged.
fn kind(digest: SubjectDigest) -> &'static str {
    if digest.is_part() {
        "part"
    } else {
        "request"
    }
}

/// Logs and counts a change of a subject's status.
pub fn record_crash_change(metrics: &Metrics, change: &CrashChange, is_own: bool) {
    match change {
        CrashChange::Quarantined(digest) => {
            let (subject, digest) = (kind(*digest), digest.to_string());
            log::warn!(subject = subject, digest = digest.as_str(), is_own = is_own; "request in quarantine");
            metrics.count_crash("quarantined");
        }
        CrashChange::Explained(digest) => {
            let (subject, digest) = (kind(*digest), digest.to_string());
            log::info!(subject = subject, digest = digest.as_str(), is_own = is_own; "others explain the crashes under a request");
            metrics.count_crash("explained");
        }
        CrashChange::Cleared { digest, was_quarantined } => {
            let (subject, digest) = (kind(*digest), digest.to_string());
            log::info!(subject = subject, digest = digest.as_str(), is_own = is_own, was_quarantined = was_quarantined; "request cleared of crashes");
            metrics.count_crash("cleared");
        }
    }
}
