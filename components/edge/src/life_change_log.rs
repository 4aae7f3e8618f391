//! Logs and counts restarts of runners, as seen in reports about them.

use fleet::LifeChange;
use gateway::LifeNews;
use telemetry::Metrics;

/// Logs and counts a report that belongs to another start of the runner's process than the known one.
pub fn log_life_change(metrics: &Metrics, news: &LifeNews) {
    let runner = news.runner.0.as_str();
    let (born, known) = (news.told.born, news.known_born);
    match news.change {
        LifeChange::Same => return,
        LifeChange::Began => {
            log::info!(runner = runner, born = born, known = known, sequence = news.told.sequence; "runner started anew");
        }
        LifeChange::Earlier => {
            log::warn!(runner = runner, born = born, known = known; "word of an earlier life of a runner");
        }
        LifeChange::Untold => {
            log::error!(runner = runner, known = known; "a runner that told when it started does not tell it any more");
        }
    }
    metrics.count_life(change_name(news.change));
}

fn change_name(change: LifeChange) -> &'static str {
    match change {
        LifeChange::Same => "same",
        LifeChange::Began => "began",
        LifeChange::Earlier => "earlier",
        LifeChange::Untold => "untold",
    }
}
