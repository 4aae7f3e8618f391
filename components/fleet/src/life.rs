//! Distinguishes successive runs of a runner. A runner that restarts keeps its name but loses its weights and
//! its state.

use serde::{Deserialize, Serialize};

/// The part of a report about a runner that identifies the run it describes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LifeWord {
    /// Start time of the run, in milliseconds of Unix time by the runner's clock. `None` if the runner does
    /// not report it.
    pub born: Option<u64>,
    /// Number of orders accepted by the runner since it started.
    pub sequence: u64,
}

/// The relation of a report to the known run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeChange {
    /// The report is about the same run.
    Same,
    /// The report is about a later run. What was known about the runner is obsolete.
    Began,
    /// The report is about an earlier run and does not describe the current state of the runner.
    Earlier,
    /// The report has no start time although an earlier one had one, so its run is unknown.
    Untold,
}

impl LifeWord {
    /// Compares a newer report from the same source with this one. Without start times, a decrease of the
    /// number of accepted orders indicates a new run.
    pub fn compare(self, newer: LifeWord) -> LifeChange {
        match (self.born, newer.born) {
            (Some(known), Some(reported)) if reported > known => LifeChange::Began,
            (Some(known), Some(reported)) if reported < known => LifeChange::Earlier,
            (Some(_), Some(_)) => LifeChange::Same,
            (Some(_), None) => LifeChange::Untold,
            // A run reports its start time always or never, so this is another run.
            (None, Some(_)) => LifeChange::Began,
            (None, None) if newer.sequence < self.sequence => LifeChange::Began,
            (None, None) => LifeChange::Same,
        }
    }
}
