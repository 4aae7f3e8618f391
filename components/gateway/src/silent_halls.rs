//! Detects data halls that do not answer.
//!
//! A data hall without power refuses nothing: each request to one of its runners waits for a
//! sidecar or connection timeout before it goes elsewhere, and the list drops the runners only
//! seconds later. If several runners of a data hall did not answer and no message was received from
//! any other meanwhile, all its runners with an overdue report are skipped, as long as any other
//! runner can run the request.

use std::collections::{BTreeSet, HashMap};

use fleet::{Hall, InstanceId, Millis};

use crate::runner::Runner;

/// Number of runners that have to be unresponsive for the whole data hall to count as silent. A
/// single one has probably crashed by itself.
const MIN_SILENT_RUNNERS: usize = 2;
/// How long a data hall counts as silent after the last runner there did not answer, in
/// milliseconds: by then the list has dropped runners that are gone.
const SILENT_FOR_MS: u64 = 4000;
/// Age from which a report is overdue, in milliseconds: longer than the interval of reports to
/// other data halls.
const OVERDUE_REPORT_AGE_MS: u64 = 600;

/// The silent data halls.
#[derive(Clone, Debug, Default)]
pub struct SilentHalls {
    /// The runners of each data hall that did not answer since the last message from it, and until
    /// when they count.
    unanswered: HashMap<Hall, (BTreeSet<InstanceId>, Millis)>,
}

impl SilentHalls {
    /// Records a report or a response from a runner of a data hall.
    pub(crate) fn note_contact(&mut self, hall: &Hall) {
        self.unanswered.remove(hall);
    }

    /// Records that a runner of a data hall did not answer.
    pub(crate) fn note_unanswered(&mut self, now: Millis, hall: &Hall, id: &InstanceId) {
        let (ids, until) = self.unanswered.entry(hall.clone()).or_default();
        if *until <= now {
            ids.clear();
        }
        ids.insert(id.clone());
        *until = now.plus(SILENT_FOR_MS);
    }

    /// The number of silent data halls.
    pub fn count(&self, now: Millis) -> usize {
        self.unanswered.keys().filter(|it| self.is_silent(now, it)).count()
    }

    /// Whether a runner is skipped, because its data hall is silent and its report is overdue.
    pub(crate) fn skips(&self, now: Millis, runner: &Runner) -> bool {
        let is_overdue = runner.report_age(now).is_none_or(|it| it.0 > OVERDUE_REPORT_AGE_MS);
        is_overdue && self.is_silent(now, &runner.record.hall)
    }

    fn is_silent(&self, now: Millis, hall: &Hall) -> bool {
        let unanswered = self.unanswered.get(hall);
        unanswered.is_some_and(|(ids, until)| ids.len() >= MIN_SILENT_RUNNERS && now < *until)
    }
}
