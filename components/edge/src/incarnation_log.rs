//! Logs and counts restarts of runners, as seen in reports about them.

use fleet::IncarnationChange;
use gateway::IncarnationEvent;
use telemetry::Metrics;

/// Logs and counts a report that belongs to another start of the runner's process than the known one.
pub fn log_incarnation_change(metrics: &Metrics, event: &IncarnationEvent) {
    let runner = event.runner.0.as_str();
    let (born, known) = (event.reported.born, event.known_born);
    match event.change {
        IncarnationChange::Same => return,
        IncarnationChange::Restarted => {
            log::info!(runner = runner, born = born, known = known, sequence = event.reported.sequence; "runner started anew");
        }
        IncarnationChange::Earlier => {
            log::warn!(runner = runner, born = born, known = known; "word of an earlier life of a runner");
        }
        IncarnationChange::StartTimeMissing => {
            log::error!(runner = runner, known = known; "a runner that told when it started does not tell it any more");
        }
    }
    metrics.count_incarnation_change(change_text(event.change));
}

fn change_text(change: IncarnationChange) -> &'static str {
    match change {
        IncarnationChange::Same => "same",
        IncarnationChange::Restarted => "began",
        IncarnationChange::Earlier => "earlier",
        IncarnationChange::StartTimeMissing => "untold",
    }
}
