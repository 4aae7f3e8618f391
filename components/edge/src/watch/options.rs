//! How a table is followed, and what is told of it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::EvacuationList;
use platform::store::{Change, Table};
use telemetry::Metrics;
use uptime::Instant;

use crate::era::Era;
use crate::gateway::Reading;
use crate::patience::Patience;
use crate::store_time::StoreTime;

/// How a table is followed.
#[derive(Clone)]
pub struct WatchOptions {
    /// The store.
    pub store: SocketAddr,
    /// The table.
    pub table: Table,
    /// How long calls may take and how far apart they are.
    pub patience: Patience,
    /// The shortest time between the first two feeds or listings. It doubles with each, so that a process
    /// that starts with others soon knows them all.
    pub first_spacing: Duration,
    /// The shortest time between two feeds or listings later on.
    pub spacing: Duration,
    /// The longest rest after a large answer that waited behind others. Zero where the table yields to nothing.
    pub longest_rest: Duration,
    /// Counts the calls.
    pub metrics: Rc<Metrics>,
    /// The store's era.
    pub era: Rc<Era>,
    /// Who reads the store for this hall.
    pub reading: Reading,
    /// What answers told of the store's history, for every table of this process.
    pub time: Rc<RefCell<StoreTime>>,
    /// Whether this process asks often, so that a change can be dated closely.
    pub dates_closely: Rc<dyn Fn() -> bool>,
}

/// When a change happened, as far as that is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct Dated {
    /// How long ago at most. `None` where nobody knows: the store was not heard before.
    pub age: Option<Duration>,
    /// What the store's clock showed, in milliseconds, when it had not happened, where the age is by that.
    pub after_ms: Option<u64>,
}

/// What a watch tells of.
#[derive(Debug)]
pub enum Seen {
    /// Something changed.
    Change {
        /// What.
        change: Change,
        /// When it happened, if it is a version of weights.
        dated: Dated,
    },
    /// These data halls are evacuated.
    Evacuations(EvacuationList),
    /// The table has been read whole at least once.
    Whole,
    /// The store answered: nothing else was in the table than what was told.
    Heard {
        /// When the question was asked.
        asked: Instant,
        /// Up to when that is certain.
        known: Instant,
    },
    /// The store answers again, or does not any more.
    Reached(bool),
    /// The store came back from an older copy: what was written since is gone. What is told next is of that copy.
    WentBack,
}
