//! Holds requests after the process was stopped for a while, for example by a suspension of its
//! machine.
//!
//! Configuration may have changed meanwhile, so nothing is sent until the store has confirmed the
//! gateway's copies of its tables, or a timeout has passed.

use fleet::Millis;

/// Maximum duration of the hold, in milliseconds: the time to detect a connection that was cut
/// meanwhile, to open another one and to make the call. A gateway that does not reach the store
/// continues with the data it has.
const MAX_HOLD_MS: u64 = 800;

/// A table of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreTable {
    /// The table that operators write.
    Operator,
    /// The list of runners.
    Runners,
}

/// The state of the hold after a process pause, and the tables confirmed since then.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResumeHold {
    /// When the process resumed, while any table is unconfirmed.
    resumed_at: Option<Millis>,
    operator: bool,
    runners: bool,
}

impl ResumeHold {
    /// Starts the hold when the process resumes.
    pub(crate) fn begin(&mut self, now: Millis) {
        *self = Self { resumed_at: Some(now), operator: false, runners: false };
    }

    /// Records that the store answered a query sent at `asked`. An answer to an earlier query is
    /// ignored, since it may have been delayed as long as this process. Returns whether all tables
    /// are confirmed now.
    pub(crate) fn confirm(&mut self, table: StoreTable, asked: Millis) -> bool {
        let Some(resumed_at) = self.resumed_at.filter(|at| asked >= *at) else {
            return false;
        };
        match table {
            StoreTable::Operator => self.operator = true,
            StoreTable::Runners => self.runners = true,
        }
        let is_over = self.operator && self.runners;
        self.resumed_at = (!is_over).then_some(resumed_at);
        is_over
    }

    /// Ends the hold if its time is over, and returns whether it did.
    pub(crate) fn end_if_over(&mut self, now: Millis) -> bool {
        self.resumed_at.take_if(|at| now.since(*at).0 >= MAX_HOLD_MS).is_some()
    }

    /// Whether requests are held now.
    pub(crate) fn is_holding(&self) -> bool {
        self.resumed_at.is_some()
    }
}
