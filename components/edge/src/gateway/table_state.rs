//! The state of the store's tables at a gateway, and its age.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use platform::store::Table;
use uptime::Instant;

use crate::era::Era;
use crate::store_time::StoreTime;

/// The state of a table of the store.
pub struct TableState {
    /// The longest time between two answers while the store works.
    max_answer_gap: Duration,
    /// Since when the table is followed.
    followed_since: Instant,
    /// How long it took until the table was first read completely.
    first_complete: Cell<Option<Duration>>,
    /// Whether the store no longer answers calls for the table.
    pub is_lost: Cell<bool>,
    /// Up to which time the content of the table is known.
    known_until: Cell<Option<Instant>>,
}

impl TableState {
    /// Creates the state before the first answer. Answers arrive at least every `max_answer_gap` while the store
    /// works.
    fn new(max_answer_gap: Duration) -> Self {
        Self {
            max_answer_gap,
            followed_since: Instant::now(),
            first_complete: Cell::default(),
            is_lost: Cell::default(),
            known_until: Cell::default(),
        }
    }

    /// Whether the table has been read completely at least once.
    pub fn is_complete(&self) -> bool {
        self.first_complete.get().is_some()
    }

    /// Records that the table has been read completely.
    pub fn record_complete(&self, table: Table) {
        if self.is_complete() {
            return;
        }
        let waited = self.followed_since.elapsed();
        self.first_complete.set(Some(waited));
        let table = format!("{table:?}");
        log::info!(table = table.as_str(), waited_ms = waited.as_millis() as u64; "table read completely for the first time");
    }

    /// How long the first complete reading took, or has taken so far, in milliseconds.
    pub fn first_complete_wait_ms(&self) -> u64 {
        self.first_complete.get().unwrap_or_else(|| self.followed_since.elapsed()).as_millis()
            as u64
    }

    /// Whether the known content is current: the store answers, and no answer is overdue.
    pub fn is_confirmed(&self) -> bool {
        !self.is_lost.get() && self.is_known_within(self.max_answer_gap)
    }

    /// Whether the content of the table is known up to some time within the last `span`.
    pub fn is_known_within(&self, span: Duration) -> bool {
        self.known_until.get().is_some_and(|at| at.elapsed() <= span)
    }

    /// Records the time up to which the content of the table is known.
    pub fn record_answer(&self, up_to: Instant) {
        self.known_until.set(Some(up_to));
    }

    /// How long ago the content of the table was completely known, in milliseconds. `None` if the store never
    /// answered.
    pub fn age_ms(&self) -> Option<u64> {
        self.known_until.get().map(|at| at.elapsed().as_millis() as u64)
    }
}

/// The tables that a gateway follows, shared by the tasks of its process.
pub struct Tables {
    /// The operator table.
    pub operator: TableState,
    /// The list of runners.
    pub runners: TableState,
    /// The store's era.
    pub era: Rc<Era>,
    /// Readings of the store's clock and revisions.
    pub time: Rc<RefCell<StoreTime>>,
}

impl Tables {
    /// Creates the state before the first answer. `max_answer_gap` returns the longest time between two answers
    /// for a table while the store works.
    pub fn new(max_answer_gap: impl Fn(Table) -> Duration, era: Era) -> Self {
        Self {
            operator: TableState::new(max_answer_gap(Table::Operator)),
            runners: TableState::new(max_answer_gap(Table::Runners)),
            era: Rc::new(era),
            time: Rc::default(),
        }
    }

    /// The state of a table. The operator table is a single table, even if only its versions are read.
    pub fn of(&self, table: Table) -> &TableState {
        match table {
            Table::Operator | Table::Versions => &self.operator,
            Table::Runners => &self.runners,
        }
    }

    /// Whether both tables have been read completely.
    pub fn are_complete(&self) -> bool {
        self.operator.is_complete() && self.runners.is_complete()
    }
}
