//! Logs what runners say of themselves in answers.

use gateway::NoticeNews;

/// Logs that a runner leaves, or wants to be left alone. Said once: for each life of a runner, and for each rest.
pub fn note_notice(news: &NoticeNews) {
    let (runner, notice) = (news.runner.0.as_str(), news.notice);
    if notice.is_leaving {
        log::info!(runner = runner; "the runner says that it leaves");
    }
    if let Some(rest_ms) = notice.rest_ms {
        log::warn!(runner = runner, rest_ms = rest_ms; "the runner turns requests away and wants to be left alone");
    }
}
