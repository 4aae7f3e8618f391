//! Data halls that have fallen silent, as a gateway finds.
//!
//! A hall without power refuses nothing: each of its runners costs a request the wait for its sidecar or for a
//! connection before it goes elsewhere, and the list drops them only seconds later. Where several runners of a hall
//! did not answer and nothing was heard of any other meanwhile, all of them whose report is overdue are passed over, as
//! long as any other runner can run the request.

use std::collections::{BTreeSet, HashMap};

use fleet::{Hall, InstanceId, Millis};

use crate::runner::Runner;

/// Runners of a hall that have to be silent for the whole hall to be taken for silent. A single one has crashed.
const SILENT_RUNNERS: usize = 2;
/// How long a hall is taken for silent after the last runner there did not answer, in milliseconds: by then
/// the list has dropped runners that are gone.
const SILENT_FOR: u64 = 4000;
/// The age from which a report is overdue, in milliseconds: longer than the pause between two reports to
/// other halls.
const OVERDUE: u64 = 600;

/// Which halls are silent.
#[derive(Clone, Debug, Default)]
pub struct SilentHalls {
    /// The runners that did not answer, in each hall, since anything was heard of it, and until when that counts.
    unanswered: HashMap<Hall, (BTreeSet<InstanceId>, Millis)>,
}

impl SilentHalls {
    /// Something was heard of a runner of a hall: a report, or an answer to a request.
    pub(crate) fn note_heard(&mut self, hall: &Hall) {
        self.unanswered.remove(hall);
    }

    /// A runner of a hall did not answer.
    pub(crate) fn note_unanswered(&mut self, now: Millis, hall: &Hall, id: &InstanceId) {
        let (ids, until) = self.unanswered.entry(hall.clone()).or_default();
        if *until <= now {
            ids.clear();
        }
        ids.insert(id.clone());
        *until = now.plus(SILENT_FOR);
    }

    /// How many halls are silent.
    pub fn count(&self, now: Millis) -> usize {
        self.unanswered.keys().filter(|it| self.is_silent(now, it)).count()
    }

    /// Whether a runner is passed over: its hall is silent, and its report overdue.
    pub(crate) fn defers(&self, now: Millis, runner: &Runner) -> bool {
        let is_overdue = runner.report_age(now).is_none_or(|it| it.0 > OVERDUE);
        is_overdue && self.is_silent(now, &runner.record.hall)
    }

    fn is_silent(&self, now: Millis, hall: &Hall) -> bool {
        let unanswered = self.unanswered.get(hall);
        unanswered.is_some_and(|(ids, until)| ids.len() >= SILENT_RUNNERS && now < *until)
    }
}
