//! Reads the store on behalf of the other gateways of the data hall, and follows its tables at the gateways
//! that do so (the readers).

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use errors::{Code, Error, Result};
use event_listener::Event;
use fleet::{Hall, StorePosition};
use gateway::readers::{Readers, ReadersAnswer, ReadersCall, Source};
use http::HeaderMap;
use platform::readers as rows;
use platform::store::Table;
use platform::table_copy::TableCopy;
use settings::DeploymentSettings;
use telemetry::Metrics;
use uptime::Instant;

use super::follow_table::feed_spacing;
use crate::clock::Clock;
use crate::era::Era;
use crate::http_client::HttpClient;
use crate::http_connection::with_deadline;

/// Header: how long before its answer the reader's content was complete, in milliseconds.
pub(super) const KNOWN_AGE_HEADER: &str = "silverdock-known-ms";
/// Header: the greatest possible age of the oldest change in the answer, in milliseconds.
pub(super) const CHANGE_AGE_HEADER: &str = "silverdock-news-ms";
/// Header: how long the reader held the call, in milliseconds.
pub(super) const HELD_TIME_HEADER: &str = "silverdock-held-ms";
/// Number of store answers whose change ages a reader remembers.
const MAX_CHANGE_TIMES: usize = 64;
/// How long a call for the row of readers may take: three times the slowest usual answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Long polls of a reader's feed per configuration deadline. Without changes the content of its answers is as
/// old as one poll, and a reader that is cut off stops answering soon after.
const WAITS_PER_CONFIGURATION: u32 = 3;
/// How much later than usual an answer of the store may be before a reader's content is too old to be served.
const LATE_ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// A call that fails within this time has not delayed its sender.
const NO_DELAY_TIME: Duration = Duration::from_millis(200);
/// How much longer than the requested wait a reader may take to answer.
const ANSWER_SLACK: Duration = Duration::from_millis(400);
/// How long a starting gateway waits until the readers are determined.
const MAX_SETTLING_TIME: Duration = Duration::from_millis(2500);
/// How long the task sleeps if no call is due.
const IDLE_SLEEP: Duration = Duration::from_secs(3600);

/// A table that a gateway caches to serve it to others.
#[derive(Default)]
pub(super) struct CachedTable {
    pub(super) copy: RefCell<Option<TableCopy>>,
    pub(super) era: Cell<Option<u64>>,
    /// Up to which time the content is complete.
    pub(super) known_until: Cell<Option<Instant>>,
    /// For the changes after a revision, up to the next entry, the earliest time at which they may have
    /// happened; oldest first.
    change_times: RefCell<VecDeque<(u64, Option<Instant>)>>,
    pub(super) changed: Event,
}

impl CachedTable {
    /// The earliest time at which the changes after a revision may have happened. `None` if it is unknown.
    pub(super) fn earliest_change_after(&self, after: u64) -> Option<Instant> {
        let times = self.change_times.borrow();
        // The changes after the revision are in the answers after it and in the answer that spans it.
        let first = times.iter().rposition(|(previous, _)| *previous <= after)?;
        let since: Option<Vec<Instant>> = times.range(first..).map(|(_, since)| *since).collect();
        since?.into_iter().min()
    }
}

/// The age of the content of a reader's answer, at the time of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedAge {
    /// How long ago the content was complete.
    pub known: Duration,
    /// The greatest possible age of the oldest change. `None` if it is unknown.
    pub changes: Option<Duration>,
    /// How long the reader held the call.
    pub held: Duration,
}

/// The greatest age of the content that may be served, by table.
struct MaxAges {
    operator: Duration,
    runners: Duration,
}

/// The readers of the hall, as this gateway knows them, and the tables that it caches as a reader.
#[derive(Clone)]
pub struct HallReaders(Rc<Shared>);

struct Shared {
    readers: RefCell<Readers>,
    operator: CachedTable,
    runners: CachedTable,
    max_ages: MaxAges,
    wait: Duration,
    /// Notified when a call may be due or the row has been read.
    changed: Event,
    has_read_row: Cell<bool>,
    clock: Clock,
    era: Rc<Era>,
    metrics: Rc<Metrics>,
}

impl HallReaders {
    /// Creates the state before anything is known about readers.
    pub fn new(
        settings: &DeploymentSettings,
        clock: Clock,
        era: Rc<Era>,
        metrics: Rc<Metrics>,
    ) -> Self {
        let me = SocketAddr::new(settings.node.address, settings.node.first_port);
        let configuration = Duration::from_millis(settings.bounds.configuration_ms);
        let wait = configuration / WAITS_PER_CONFIGURATION;
        let max_age = |table| wait + feed_spacing(&settings.bounds, table) + LATE_ANSWER_MARGIN;
        Self(Rc::new(Shared {
            readers: RefCell::new(Readers::new(clock.now(), me)),
            operator: CachedTable::default(),
            runners: CachedTable::default(),
            max_ages: MaxAges {
                operator: max_age(Table::Operator),
                runners: max_age(Table::Runners),
            },
            wait,
            changed: Event::new(),
            has_read_row: Cell::default(),
            clock,
            era,
            metrics,
        }))
    }

    pub(super) fn of(&self, table: Table) -> &CachedTable {
        match table {
            Table::Operator | Table::Versions => &self.0.operator,
            Table::Runners => &self.0.runners,
        }
    }

    pub(super) fn max_age(&self, table: Table) -> Duration {
        match table {
            Table::Operator | Table::Versions => self.0.max_ages.operator,
            Table::Runners => self.0.max_ages.runners,
        }
    }

    /// Waits until the readers are determined or a timeout expires. In a starting fleet the links would be
    /// congested if all gateways read the store themselves meanwhile.
    pub async fn wait_until_settled(&self) {
        let settled = async {
            while !self.0.has_read_row.get() || self.0.readers.borrow().is_settling() {
                self.0.changed.listen().await;
            }
        };
        with_deadline(Instant::now() + MAX_SETTLING_TIME, settled).await;
    }

    /// The store or reader to call now.
    pub fn source(&self) -> Source {
        self.0.readers.borrow().source(self.0.clock.now())
    }

    /// The longest wait of a feed call if others follow this gateway or it follows another one.
    pub fn feed_wait(&self) -> Duration {
        self.0.wait
    }

    /// How long the answer of a reader to a feed call with this wait may take to start.
    pub fn feed_start_timeout(&self, wait: Duration) -> Duration {
        wait + ANSWER_SLACK
    }

    /// Whether this gateway reads the store for others.
    pub fn is_reader(&self) -> bool {
        self.0.readers.borrow().is_reader()
    }

    /// Whether this gateway is named in the row of readers: the first gateways of the hall are, and some of
    /// them read for the others.
    pub(super) fn is_listed(&self) -> bool {
        self.0.readers.borrow().is_named()
    }

    /// Whether other gateways follow this gateway.
    pub fn is_followed(&self) -> bool {
        let readers = self.0.readers.borrow();
        readers.is_reader() && readers.is_followed(self.0.clock.now())
    }

    pub(super) fn record_call(&self) {
        let was_followed = self.is_followed();
        self.0.readers.borrow_mut().record_query(self.0.clock.now());
        self.0.changed.notify(usize::MAX);
        if self.is_followed() && !was_followed {
            // From now on it reads for others too: a feed call with a long wait is sent again.
            self.0.era.notify_all();
        }
    }

    /// Records that a reader answered.
    pub fn record_success(&self, reader: SocketAddr) {
        self.0.readers.borrow_mut().record_answer(reader);
    }

    /// Records that a reader gave no answer, or one that is too old.
    pub fn record_failure(&self, reader: SocketAddr, error: &Error, took: Duration) {
        let reason = error.to_string();
        log::info!(reader = reader.to_string().as_str(), reason = reason.as_str(); "reader not heard");
        self.0.metrics.count_platform_call("reader", error.code.name());
        let now = self.0.clock.now();
        let has_answered = error.code == Code::PlatformUnavailable;
        let has_waited = !has_answered && took >= NO_DELAY_TIME;
        self.0.readers.borrow_mut().record_timeout(now, rand::random(), reader, has_waited);
        self.0.changed.notify(usize::MAX);
    }

    /// Records that the store was restored from an older copy.
    pub fn record_store_restore(&self) {
        self.0.readers.borrow_mut().record_store_restore(self.0.clock.now(), rand::random());
        self.0.changed.notify(usize::MAX);
    }

    /// Caches a listing of the store if this gateway reads the table for others. If the era is the same,
    /// gateways that follow this one continue from the revision that they know.
    pub fn cache_listing(&self, table: Table, pages: &[Vec<u8>], era: Option<u64>) {
        let cached = self.of(table);
        let previous_copy = cached.copy.take().filter(|_| cached.era.get() == era);
        cached.change_times.borrow_mut().clear();
        let copy = self.is_reader().then(|| match previous_copy {
            Some(mut copy) => copy.relist(pages).map(|()| copy),
            None => TableCopy::from_listing(pages),
        });
        self.set_copy(table, copy.transpose());
    }

    /// Adds changes from the store to the cached table. `age` is their greatest possible age.
    pub fn cache_changes(&self, table: Table, body: &[u8], age: Option<Duration>) {
        let cached = self.of(table);
        let Some(mut copy) = cached.copy.take() else {
            return;
        };
        let previous = copy.revision();
        let result = copy.apply_feed(body);
        if copy.revision() > previous {
            let since = age.map(|it| Instant::now() - it);
            let mut times = cached.change_times.borrow_mut();
            times.push_back((previous, since));
            if times.len() > MAX_CHANGE_TIMES {
                times.pop_front();
            }
        }
        self.set_copy(table, result.map(|()| Some(copy)));
    }

    /// Drops a cached table because it is followed at another gateway.
    pub fn drop_table(&self, table: Table) {
        self.set_copy(table, Ok(None));
    }

    fn set_copy(&self, table: Table, copy: Result<Option<TableCopy>>) {
        let copy = copy.unwrap_or_else(|error| {
            let reason = error.to_string();
            log::error!(table = table.log_name(), reason = reason.as_str(); "table cannot be served to other gateways");
            None
        });
        self.of(table).copy.replace(copy);
    }

    /// Records the time up to which a cached table is complete, and its position in the store's history.
    pub fn record_known(&self, table: Table, known_until: Instant, position: StorePosition) {
        let cached = self.of(table);
        cached.known_until.set(Some(known_until));
        cached.era.set(position.era);
        cached.changed.notify(usize::MAX);
    }

    /// Whether a table is cached.
    pub fn caches(&self, table: Table) -> bool {
        self.of(table).copy.borrow().is_some()
    }

    /// The age of a cached table, unless it is too old to be served.
    pub(super) fn age(&self, table: Table) -> Option<Duration> {
        let age = self.of(table).known_until.get()?.elapsed();
        (age <= self.max_age(table)).then_some(age)
    }
}

/// Reads and writes the row of readers for as long as the task runs.
pub async fn maintain_readers_row(readers: HallReaders, store: SocketAddr, hall: Hall) {
    let mut client = HttpClient::new(store);
    loop {
        let listener = readers.0.changed.listen();
        let next = readers.0.readers.borrow().next_at();
        let until =
            next.map_or_else(|| Instant::now() + IDLE_SLEEP, |at| readers.0.clock.instant(at));
        with_deadline(until, listener).await;
        let call = readers.0.readers.borrow_mut().due(readers.0.clock.now());
        let Some(call) = call else {
            continue;
        };
        let answer = send_call(&readers, &mut client, &hall, &call).await.unwrap_or_else(|error| {
            let reason = error.to_string();
            log::warn!(reason = reason.as_str(); "row of the readers cannot be reached");
            ReadersAnswer::Failed
        });
        log_outcome(&readers, &call, &answer);
        let now = readers.0.clock.now();
        let was_reader = readers.is_reader();
        readers.0.readers.borrow_mut().apply_answer(now, rand::random(), &call, answer);
        if readers.is_reader() && !was_reader {
            readers.0.era.notify_all();
        }
        readers.0.has_read_row.set(true);
        readers.0.changed.notify(usize::MAX);
    }
}

async fn send_call(
    readers: &HallReaders,
    client: &mut HttpClient,
    hall: &Hall,
    call: &ReadersCall,
) -> Result<ReadersAnswer> {
    let answer = client.call(rows::call(hall, call)?, CALL_TIMEOUT).await?;
    readers.0.era.record(&answer.headers)?;
    rows::read(hall, call, answer.status, &answer.body)
}

/// Logs and counts the outcome of a call.
fn log_outcome(readers: &HallReaders, call: &ReadersCall, answer: &ReadersAnswer) {
    let call = match call {
        ReadersCall::Read => "readers_read",
        ReadersCall::Write(_) => "readers_write",
    };
    let outcome = match answer {
        ReadersAnswer::Row(_) if call == "readers_write" => "differs",
        ReadersAnswer::Row(_) | ReadersAnswer::Written(_) => "ok",
        ReadersAnswer::Failed => "failed",
    };
    readers.0.metrics.count_platform_call(call, outcome);
    log::info!(call = call, outcome = outcome; "row of the readers");
}

/// Reads the age headers of an answer. `None` for the store, which sends none.
pub fn read_age(headers: &HeaderMap) -> Result<Option<ReportedAge>> {
    let Some(known) = read_millis(headers, KNOWN_AGE_HEADER)? else {
        return Ok(None);
    };
    let missing = || Error::new(Code::BadFrame, format!("missing header `{HELD_TIME_HEADER}`"));
    let held = read_millis(headers, HELD_TIME_HEADER)?.ok_or_else(missing)?;
    Ok(Some(ReportedAge { known, changes: read_millis(headers, CHANGE_AGE_HEADER)?, held }))
}

fn read_millis(headers: &HeaderMap, name: &str) -> Result<Option<Duration>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let millis = value.to_str().ok().and_then(|it| it.parse().ok());
    let fault =
        || Error::new(Code::BadFrame, format!("header `{name}` is not a number: {value:?}"));
    millis.map(|it| Some(Duration::from_millis(it))).ok_or_else(fault)
}

#[cfg(test)]
mod tests;
