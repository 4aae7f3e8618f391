//! Lists a complete table of the platform's store and reports its unreadable rows.

mod cursor;

use std::collections::BTreeSet;
use std::time::Duration;

use async_io::Timer;
use errors::{Code, Error, Result};
use fleet::StorePosition;
use platform::store::{self, Change, Table};
use platform::Call;
use telemetry::Metrics;
use uptime::Instant;

use self::cursor::Cursor;
use crate::era::Era;
use crate::gateway::{read_age, ReportedAge};
use crate::http_client::HttpClient;
use crate::paging::{Paging, Urgency};
use crate::store_timeouts::StoreTimeouts;

/// The longest pause within an answer. A large configuration may take seconds on a narrow link that others
/// use too.
pub const MAX_ANSWER_PAUSE: Duration = Duration::from_millis(900);
/// The largest listing, in bytes of its pages.
const MAX_LISTING_BYTES: u64 = 64 << 20;
/// The most unreadable rows that are logged, each with its key and the reason.
const MAX_LOGGED_FAULTS: usize = 256;

/// The name of a table's calls in the metrics.
pub fn call_name(table: Table) -> &'static str {
    match table {
        Table::Operator | Table::Versions => "operator_table",
        Table::Runners => "runner_table",
    }
}

/// A listed table.
pub struct Listing {
    /// The position after which a feed continues.
    pub position: StorePosition,
    /// The store's clock, in milliseconds, if it was sent.
    pub clock_ms: Option<u64>,
    /// The content of its rows.
    pub changes: Vec<Change>,
    /// The errors of rows that could not be read.
    pub faults: Vec<Error>,
    /// The undecoded pages.
    pub pages: Vec<Vec<u8>>,
    /// The age of the last page as its sender reports it. `None` for the store.
    pub age: Option<ReportedAge>,
}

/// Lists a complete table. The listing fails if its pages are of different eras, or larger in all than allowed.
pub async fn list(
    client: &mut HttpClient,
    table: Table,
    era: &Era,
    metrics: &Metrics,
    urgency: Urgency,
) -> Result<Listing> {
    let mut cost = ListingCost::start();
    let listed = list_pages(client, table, era, metrics, Paging::new(urgency), &mut cost).await;
    cost.log(table, listed.as_ref().err());
    listed
}

/// The time and size of a listing so far.
struct ListingCost {
    started: Instant,
    pages: u64,
    bytes: u64,
}

impl ListingCost {
    fn start() -> Self {
        Self { started: Instant::now(), pages: 0, bytes: 0 }
    }

    /// Counts a page. It is an error if the listing is now larger than allowed.
    fn count(&mut self, table: Table, bytes: usize, metrics: &Metrics) -> Result<()> {
        self.pages += 1;
        self.bytes += bytes as u64;
        metrics.count_store_bytes(call_name(table), "listing", bytes as u64);
        if self.bytes > MAX_LISTING_BYTES {
            return Err(Error::new(Code::TooLarge, "the table is too large"));
        }
        Ok(())
    }

    fn log(&self, table: Table, fault: Option<&Error>) {
        let (table, outcome) = (format!("{table:?}"), fault.map_or("whole", |it| it.code.name()));
        let took_ms = self.started.elapsed().as_millis() as u64;
        log::info!(table = table.as_str(), outcome = outcome, pages = self.pages, bytes = self.bytes, took_ms = took_ms; "table listed");
    }
}

async fn list_pages(
    client: &mut HttpClient,
    table: Table,
    era: &Era,
    metrics: &Metrics,
    mut paging: Paging,
    cost: &mut ListingCost,
) -> Result<Listing> {
    let mut cursor = Cursor::default();
    let (mut changes, mut faults) = (Vec::new(), Vec::new());
    let mut pages = Vec::new();
    let mut first = None;
    loop {
        let call = page_call(table, &cursor, &paging);
        let sent_at = Instant::now();
        let answer = client
            .call_with_pause_limit(call, StoreTimeouts::LIST_START_TIMEOUT, MAX_ANSWER_PAUSE)
            .await?;
        paging.record_page(sent_at.elapsed());
        let era = era.record(&answer.headers)?;
        let age = read_age(&answer.headers);
        let body = answer.success()?;
        cost.count(table, body.len(), metrics)?;
        let page = store::read(table, &body)?;
        let has_more = cursor.advance(&page)?;
        pages.push(body);
        faults.extend(page.faults);
        // Changes after the first page's revision may be missing on that page, so the feed starts there.
        let position = StorePosition { era, revision: page.revision };
        let (position, clock_ms) = *first.get_or_insert((position, page.clock_ms));
        if position.era != era {
            return Err(Error::new(Code::NotFound, "the store came back from an older copy"));
        }
        changes.extend(page.changes);
        if !has_more {
            let age = age?;
            return Ok(Listing { position, clock_ms, changes, faults, pages, age });
        }
        Timer::after(paging.pause()).await;
    }
}

/// The call for the next page. The operator table has few rows, some of them large, so its pages are not
/// limited.
fn page_call(table: Table, cursor: &Cursor, paging: &Paging) -> Call {
    match table {
        Table::Runners if !cursor.needs_whole_page() => {
            store::list_at_most(table, cursor.start(), paging.rows())
        }
        Table::Operator | Table::Versions | Table::Runners => store::list(table, cursor.start()),
    }
}

/// Logs unreadable rows, whose content is not in force here.
pub fn log_faults(table: Table, faults: &[Error]) {
    let table = format!("{table:?}");
    for fault in faults {
        let reason = fault.to_string();
        log::error!(table = table.as_str(), reason = reason.as_str(); "row cannot be read");
    }
}

/// The unreadable rows that were already logged, so that each is logged once and not at every reading.
#[derive(Debug, Default)]
pub struct LoggedFaults(BTreeSet<String>);

impl LoggedFaults {
    /// Logs the new errors of a complete listing. Errors that are missing in it are resolved.
    pub fn log_listing(&mut self, table: Table, metrics: &Metrics, faults: &[Error]) {
        let listed: BTreeSet<String> = faults.iter().map(Error::to_string).collect();
        self.0.retain(|it| listed.contains(it));
        self.log_new(table, metrics, faults);
    }

    /// Logs and counts new errors.
    pub fn log_new(&mut self, table: Table, metrics: &Metrics, faults: &[Error]) {
        for fault in faults {
            if self.0.len() < MAX_LOGGED_FAULTS && self.0.insert(fault.to_string()) {
                log_faults(table, std::slice::from_ref(fault));
                metrics.count_platform_call(call_name(table), "unreadable_row");
            }
        }
    }
}

#[cfg(test)]
mod tests;
