//! Options and events of a followed table.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::EvacuationList;
use platform::store::{Change, Table};
use telemetry::Metrics;
use uptime::Instant;

use crate::era::Era;
use crate::gateway::HallReaders;
use crate::store_time::StoreTime;
use crate::store_timeouts::StoreTimeouts;

/// How a table is followed.
#[derive(Clone)]
pub struct WatchOptions {
    /// The address of the store.
    pub store: SocketAddr,
    /// The table.
    pub table: Table,
    /// The timeouts and pauses of calls.
    pub timeouts: StoreTimeouts,
    /// The shortest time between the first two feed calls or listings. It doubles with each, so that a
    /// process that starts together with others soon knows all of them.
    pub first_spacing: Duration,
    /// The shortest time between two later feed calls or listings.
    pub spacing: Duration,
    /// The longest pause after a large answer that was queued behind others. Zero if the table does not yield
    /// the link.
    pub max_yield_pause: Duration,
    /// The metrics that count the calls.
    pub metrics: Rc<Metrics>,
    /// The store's era.
    pub era: Rc<Era>,
    /// The readers of the store in this hall.
    pub readers: HallReaders,
    /// Readings of the store's clock and revisions, shared by all tables of this process.
    pub time: Rc<RefCell<StoreTime>>,
    /// Whether this process polls often, so that changes can be dated closely.
    pub dates_precisely: Rc<dyn Fn() -> bool>,
}

/// When a change happened, as far as it is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChangeDate {
    /// The greatest possible age. `None` if it is unknown because there was no earlier answer of the store.
    pub age: Option<Duration>,
    /// The store's clock when the change had not happened yet, in milliseconds, if the age was derived from
    /// it.
    pub after_ms: Option<u64>,
}

/// An event of a followed table.
#[derive(Debug)]
pub enum TableEvent {
    /// A change of the table.
    Change {
        /// The change.
        change: Change,
        /// When it happened, if it is a version of weights.
        date: ChangeDate,
    },
    /// The evacuated data halls.
    Evacuations(EvacuationList),
    /// The table has been read completely at least once.
    Complete,
    /// The store answered, and all changes in its answer have been delivered.
    Answered {
        /// When the call was sent.
        sent_at: Instant,
        /// Up to which time the content of the table is known.
        known_until: Instant,
    },
    /// The store became reachable (`true`) or unreachable.
    ReachabilityChanged(bool),
    /// The store was restored from an older copy, and what was written since is lost. The following changes
    /// are from that copy.
    StoreRestored,
}
