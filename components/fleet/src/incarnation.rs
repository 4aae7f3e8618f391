//! Distinguishes successive incarnations of a runner. A runner that restarts keeps its name but loses its
//! weights and its state.

use serde::{Deserialize, Serialize};

/// The part of a report about a runner that identifies the incarnation it describes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationReport {
    /// Start time of the incarnation, in milliseconds of Unix time by the runner's clock. `None` if the runner
    /// does not report it.
    pub born: Option<u64>,
    /// Number of orders accepted by the runner since it started.
    pub sequence: u64,
}

/// The relation of a report to the known incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationChange {
    /// The report is about the same incarnation.
    Same,
    /// The report is about a later incarnation. What was known about the runner is obsolete.
    Restarted,
    /// The report is about an earlier incarnation and does not describe the current state of the runner.
    Earlier,
    /// The report has no start time although an earlier one had one, so its incarnation is unknown.
    StartTimeMissing,
}

impl IncarnationReport {
    /// Compares a newer report from the same source with this one. Without start times, a decrease of the
    /// number of accepted orders indicates a new incarnation.
    pub fn compare(self, newer: IncarnationReport) -> IncarnationChange {
        match (self.born, newer.born) {
            (Some(known), Some(reported)) if reported > known => IncarnationChange::Restarted,
            (Some(known), Some(reported)) if reported < known => IncarnationChange::Earlier,
            (Some(_), Some(_)) => IncarnationChange::Same,
            (Some(_), None) => IncarnationChange::StartTimeMissing,
            // An incarnation reports its start time always or never, so this is another one.
            (None, Some(_)) => IncarnationChange::Restarted,
            (None, None) if newer.sequence < self.sequence => IncarnationChange::Restarted,
            (None, None) => IncarnationChange::Same,
        }
    }
}
