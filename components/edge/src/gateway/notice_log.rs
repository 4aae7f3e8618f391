//! Logs what runners report about themselves in answers.

use fleet::AdvertisedLimit;
use gateway::NoticeChange;

/// Logs that a runner is leaving, asks for a backoff or reports a rate limit. The reducer emits this once for
/// each process start of a runner, each backoff and each change of its limit.
pub fn log_notice(change: &NoticeChange) {
    let (runner, notice) = (change.runner.0.as_str(), change.notice);
    if notice.is_leaving {
        log::info!(runner = runner; "the runner says that it leaves");
    }
    if let Some(backoff_ms) = notice.backoff_ms {
        log::warn!(runner = runner, rest_ms = backoff_ms; "the runner turns requests away and wants to be left alone");
    }
    match notice.limit {
        Some(AdvertisedLimit::Limited(rate)) => {
            log::info!(runner = runner, per_s = rate.per_s(); "the runner names a rate limit");
        }
        Some(AdvertisedLimit::Unreadable) => {
            log::warn!(runner = runner; "the runner names a rate limit that can't be read");
        }
        Some(AdvertisedLimit::Unlimited) => {
            log::info!(runner = runner; "the runner names no rate limit any more");
        }
        None => {}
    }
}
