//! A gateway that stood still: what binds may have changed meanwhile, so nothing is sent until the store has confirmed what
//! is known of its tables, or has not done so for a while.

use fleet::Millis;

/// How long nothing is sent at most, in milliseconds: a connection that was cut meanwhile, another one and the call behind
/// it. A gateway that does not reach the store goes on with what it knows, as it did before.
const LONGEST_HOLD: u64 = 800;

/// A table of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreTable {
    /// What operators write.
    Operator,
    /// The list of runners.
    Runners,
}

/// Whether the gateway has just gone on, and what was confirmed since.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Standstill {
    /// When it went on, while anything is to be confirmed.
    woke_at: Option<Millis>,
    operator: bool,
    runners: bool,
}

impl Standstill {
    /// The process goes on after it stood still.
    pub(crate) fn note_woke(&mut self, now: Millis) {
        *self = Self { woke_at: Some(now), operator: false, runners: false };
    }

    /// The store answered a question that was asked then. An answer to one from before may have waited as long as this
    /// process. Tells whether nothing is left to be confirmed.
    pub(crate) fn confirm(&mut self, table: StoreTable, asked: Millis) -> bool {
        let Some(woke_at) = self.woke_at.filter(|at| asked >= *at) else {
            return false;
        };
        match table {
            StoreTable::Operator => self.operator = true,
            StoreTable::Runners => self.runners = true,
        }
        let is_over = self.operator && self.runners;
        self.woke_at = (!is_over).then_some(woke_at);
        is_over
    }

    /// Ends the hold where its time is over, and tells whether it did.
    pub(crate) fn settle(&mut self, now: Millis) -> bool {
        self.woke_at.take_if(|at| now.since(*at).0 >= LONGEST_HOLD).is_some()
    }

    /// Whether nothing is sent now.
    pub(crate) fn holds(&self) -> bool {
        self.woke_at.is_some()
    }
}
