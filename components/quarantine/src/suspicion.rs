//! Attempts that may have crashed their runners, until the state of the runner decides.

use fleet::{InstanceId, Millis};

use crate::incarnation::IncarnationDigest;

/// How long to wait for a report of the runner before a suspicion is confirmed as a crash. Longer than the
/// interval between two reports to other halls.
const CRASH_CONFIRM_DELAY_MS: u64 = 600;
/// Transit time of a report: one received within this time after the attempt failed may have been sent
/// before the runner terminated.
const REPORT_TRANSIT_MS: u64 = 60;

/// Whether a runner is still running, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerLiveness {
    /// The runner is listed; its last report was received at this time.
    ReportedAt(Millis),
    /// The runner is no longer listed, or has restarted.
    Gone,
}

/// How an attempt ended that does not show by itself whether its runner has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnclearEnd {
    /// It failed midway.
    Failed,
    /// Its response looks complete and ended with the connection, as one of a runner that crashes may.
    LooksComplete {
        /// Whether the sidecar of the runner reports on it, so that a silence shows that it has crashed.
        is_reported: bool,
    },
}

/// An attempt that may have crashed its runner, held against one of its subjects.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    pub(crate) runner: InstanceId,
    pub(crate) life: IncarnationDigest,
    pub(crate) at: Millis,
    pub(crate) end: UnclearEnd,
}

/// What a suspicion turned out to be.
pub(crate) enum Verdict {
    /// Not known yet.
    Unknown,
    /// The runner crashed.
    Crashed,
    /// The response was complete.
    Succeeded,
    /// Neither is shown.
    Nothing,
}

impl Suspicion {
    /// Decides by the state of the runner.
    pub(crate) fn verdict(&self, now: Millis, liveness: RunnerLiveness) -> Verdict {
        let is_due = now.since(self.at).0 >= CRASH_CONFIRM_DELAY_MS;
        let is_alive = match liveness {
            RunnerLiveness::ReportedAt(at) => at >= self.at.plus(REPORT_TRANSIT_MS),
            RunnerLiveness::Gone => false,
        };
        let is_gone = liveness == RunnerLiveness::Gone;
        match self.end {
            UnclearEnd::Failed if is_alive => Verdict::Nothing,
            UnclearEnd::Failed if is_gone || is_due => Verdict::Crashed,
            UnclearEnd::LooksComplete { .. } if is_alive => Verdict::Succeeded,
            // A runner may leave the list as planned right after a complete response.
            UnclearEnd::LooksComplete { .. } if is_gone => Verdict::Nothing,
            UnclearEnd::LooksComplete { is_reported: true } if is_due => Verdict::Crashed,
            UnclearEnd::LooksComplete { is_reported: false } if is_due => Verdict::Succeeded,
            UnclearEnd::Failed | UnclearEnd::LooksComplete { .. } => Verdict::Unknown,
        }
    }
}
