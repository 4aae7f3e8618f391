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
    since: Instant,
    /// How long it took until the table was first read completely.
    first_whole: Cell<Option<Duration>>,
    /// Whether the store no longer answers calls for the table.
    pub lost: Cell<bool>,
    /// Up to which time the content of the table is known.
    heard: Cell<Option<Instant>>,
}

impl TableState {
    /// Creates the state before the first answer. Answers arrive at least every `longest_gap` while the store
    /// works.
    fn new(max_answer_gap: Duration) -> Self {
        Self {
            max_answer_gap,
            since: Instant::now(),
            first_whole: Cell::default(),
            lost: Cell::default(),
            heard: Cell::default(),
        }
    }

    /// Whether the table has been read completely at least once.
    pub fn is_whole(&self) -> bool {
        self.first_whole.get().is_some()
    }

    /// Records that the table has been read completely.
    pub fn note_whole(&self, table: Table) {
        if self.is_whole() {
            return;
        }
        let waited = self.since.elapsed();
        self.first_whole.set(Some(waited));
        let table = format!("{table:?}");
        log::info!(table = table.as_str(), waited_ms = waited.as_millis() as u64; "table whole for the first time");
    }

    /// How long the first complete reading took, or has taken so far, in milliseconds.
    pub fn first_whole_wait_ms(&self) -> u64 {
        self.first_whole.get().unwrap_or_else(|| self.since.elapsed()).as_millis() as u64
    }

    /// Whether the known content is current: the store answers, and no answer is overdue.
    pub fn is_confirmed(&self) -> bool {
        !self.lost.get() && self.was_heard_within(self.max_answer_gap)
    }

    /// Whether the content of the table is known up to some time within the last `span`.
    pub fn was_heard_within(&self, span: Duration) -> bool {
        self.heard.get().is_some_and(|at| at.elapsed() <= span)
    }

    /// Records the time up to which the content of the table is known.
    pub fn note_heard(&self, up_to: Instant) {
        self.heard.set(Some(up_to));
    }

    /// How long ago the content of the table was completely known, in milliseconds. `None` if the store never
    /// answered.
    pub fn age_ms(&self) -> Option<u64> {
        self.heard.get().map(|at| at.elapsed().as_millis() as u64)
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
    /// Creates the state before the first answer. `longest_gap` returns the longest time between two answers
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
    pub fn are_whole(&self) -> bool {
        self.operator.is_whole() && self.runners.is_whole()
    }
}
