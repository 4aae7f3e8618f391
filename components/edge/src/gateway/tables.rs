//! What a gateway knows of the store's tables, and how old that is.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use platform::store::Table;

/// How a table of the store stands.
#[derive(Clone, Default)]
pub struct TableState {
    /// Whether it has been read whole at least once.
    pub whole: Rc<Cell<bool>>,
    /// Whether the store does not answer questions for it any more.
    pub lost: Rc<Cell<bool>>,
    /// When the store last answered a question for it.
    heard: Rc<Cell<Option<Instant>>>,
}

impl TableState {
    /// Takes in that the store answered.
    pub fn note_heard(&self) {
        self.heard.set(Some(Instant::now()));
    }

    /// How long ago the store last answered, in milliseconds. `None` where it never did.
    pub fn age_ms(&self) -> Option<u64> {
        self.heard.get().map(|at| at.elapsed().as_millis() as u64)
    }
}

/// The tables that a gateway follows.
#[derive(Clone, Default)]
pub struct Tables {
    /// What operators write.
    pub operator: TableState,
    /// The list of runners.
    pub runners: TableState,
}

impl Tables {
    /// How a table stands. What operators write is one table, however much of it is read.
    pub fn of(&self, table: Table) -> &TableState {
        match table {
            Table::Operator | Table::Versions => &self.operator,
            Table::Runners => &self.runners,
        }
    }

    /// Whether both have been read whole.
    pub fn are_whole(&self) -> bool {
        self.operator.whole.get() && self.runners.whole.get()
    }
}
