//! What a gateway knows of the store's tables, and how old that is.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use platform::store::Table;
use uptime::Instant;

use crate::era::Era;
use crate::store_time::StoreTime;

/// How a table of the store stands.
pub struct TableState {
    /// The longest time between two answers while the store works.
    longest_gap: Duration,
    /// Since when it is followed.
    since: Instant,
    /// How long it took until it was read whole for the first time.
    first_whole: Cell<Option<Duration>>,
    /// Whether the store does not answer questions for it any more.
    pub lost: Cell<bool>,
    /// Up to when everything is known of it that the store has.
    heard: Cell<Option<Instant>>,
}

impl TableState {
    /// Nothing has been heard yet. Answers come at least every `longest_gap` while the store works.
    fn new(longest_gap: Duration) -> Self {
        Self {
            longest_gap,
            since: Instant::now(),
            first_whole: Cell::default(),
            lost: Cell::default(),
            heard: Cell::default(),
        }
    }

    /// Whether it has been read whole at least once.
    pub fn is_whole(&self) -> bool {
        self.first_whole.get().is_some()
    }

    /// Takes in that it has been read whole.
    pub fn note_whole(&self, table: Table) {
        if self.is_whole() {
            return;
        }
        let waited = self.since.elapsed();
        self.first_whole.set(Some(waited));
        let table = format!("{table:?}");
        log::info!(table = table.as_str(), waited_ms = waited.as_millis() as u64; "table whole for the first time");
    }

    /// How long it has been waited for to be read whole for the first time, or was, in milliseconds.
    pub fn first_whole_wait_ms(&self) -> u64 {
        self.first_whole.get().unwrap_or_else(|| self.since.elapsed()).as_millis() as u64
    }

    /// Whether the store has just confirmed what is known: it answers, and no answer is overdue.
    pub fn is_confirmed(&self) -> bool {
        !self.lost.get() && self.was_heard_within(self.longest_gap)
    }

    /// Whether everything is known that the store had at some moment within the last `span`.
    pub fn was_heard_within(&self, span: Duration) -> bool {
        self.heard.get().is_some_and(|at| at.elapsed() <= span)
    }

    /// Takes in an answer of the store, by which everything is known up to a moment.
    pub fn note_heard(&self, up_to: Instant) {
        self.heard.set(Some(up_to));
    }

    /// How long ago everything was known, in milliseconds. `None` where the store never answered.
    pub fn age_ms(&self) -> Option<u64> {
        self.heard.get().map(|at| at.elapsed().as_millis() as u64)
    }
}

/// The tables that a gateway follows, shared by the tasks of its process.
pub struct Tables {
    /// What operators write.
    pub operator: TableState,
    /// The list of runners.
    pub runners: TableState,
    /// The store's era.
    pub era: Rc<Era>,
    /// What answers told of the store's history.
    pub time: Rc<RefCell<StoreTime>>,
}

impl Tables {
    /// Nothing has been heard yet. `longest_gap` tells the longest time between two answers for a table while the
    /// store works.
    pub fn new(longest_gap: impl Fn(Table) -> Duration, era: Era) -> Self {
        Self {
            operator: TableState::new(longest_gap(Table::Operator)),
            runners: TableState::new(longest_gap(Table::Runners)),
            era: Rc::new(era),
            time: Rc::default(),
        }
    }

    /// How a table stands. What operators write is one table, however much of it is read.
    pub fn of(&self, table: Table) -> &TableState {
        match table {
            Table::Operator | Table::Versions => &self.operator,
            Table::Runners => &self.runners,
        }
    }

    /// Whether both have been read whole.
    pub fn are_whole(&self) -> bool {
        self.operator.is_whole() && self.runners.is_whole()
    }
}
