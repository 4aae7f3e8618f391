//! Follows a table of the platform's store.

mod change_dates;
mod options;
mod source;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use errors::{Code, Error, Result};
use fleet::{InstanceId, ModelName, StorePosition};
use futures_lite::future;
use platform::store::{self, Change, Page, Table};
use rand::Rng;
use uptime::Instant;

use crate::answer_log::{log_answer, AnswerSummary};
use crate::catch_up::CatchUp;
use crate::delayed_removals::DelayedRemovals;
use crate::delayed_returns::DelayedReturns;
use crate::evacuated::EvacuatedHalls;
use crate::freshness::{AnswerTiming, Freshness};
use crate::gateway::{read_age, ReportedAge};
use crate::http_client::{CallAnswer, HttpClient};
use crate::link_yield::LinkYield;
use crate::listing::{call_name, list, Listing, LoggedFaults, MAX_ANSWER_PAUSE};
use crate::paging::Urgency;

/// How much longer than the wait of a feed call the store may be silent before its changes are considered
/// old.
const SILENCE_MARGIN: Duration = Duration::from_millis(1200);

/// The pause before the next check if there is nothing to call yet.
const NO_SOURCE_PAUSE: Duration = Duration::from_millis(50);

pub use self::options::{ChangeDate, TableEvent, WatchOptions};

/// Follows a table for as long as the task runs.
pub async fn watch(options: WatchOptions, mut deliver: impl FnMut(TableEvent)) {
    let wake_ups = options.era.subscribe();
    let mut watch = TableWatch {
        client: HttpClient::new(options.store),
        reader: None,
        link_yield: LinkYield::new(options.max_yield_pause),
        started: Instant::now(),
        options,
        wake_ups,
        position: None,
        era: None,
        delayed_returns: DelayedReturns::default(),
        runners: BTreeSet::new(),
        evacuated: EvacuatedHalls::default(),
        logged_faults: LoggedFaults::default(),
        connected: true,
        sent_at: Instant::now(),
        wait: Duration::ZERO,
        freshness: Freshness::default(),
        known_until: Instant::now(),
        answered_at: None,
        catch_up: CatchUp::default(),
        newest_versions: BTreeMap::new(),
        delayed_removals: DelayedRemovals::default(),
    };
    watch.options.readers.wait_until_settled().await;
    let mut spacing = watch.options.first_spacing;
    let mut failures = 0;
    loop {
        for id in watch.delayed_removals.take_due(Instant::now()) {
            deliver(TableEvent::Change {
                change: Change::RunnerRemoved(id),
                date: ChangeDate::default(),
            });
        }
        for record in watch.delayed_returns.take_due(Instant::now()) {
            deliver(TableEvent::Change {
                change: Change::Runner(record),
                date: ChangeDate::default(),
            });
        }
        if !watch.select_source() {
            Timer::after(NO_SOURCE_PAUSE).await;
            continue;
        }
        let (call, result) = match watch.position {
            Some(position) => ("feed", watch.feed(position, &mut deliver).await),
            None => ("list", watch.list(&mut deliver).await),
        };
        let reader = watch.reader.as_ref().map(|(reader, _)| *reader);
        log_answer(watch.options.table, call, reader, watch.sent_at.elapsed(), &result);
        let result = result.map(drop);
        if watch.reader_failed(&result) {
            // Another reader, or the store, is called at once.
            continue;
        }
        let outcome = result.as_ref().map_or_else(|error| error.code.name(), |()| "ok");
        watch.options.metrics.count_platform_call(watch.call_name(), outcome);
        let pause = match result {
            Ok(()) => {
                failures = 0;
                deliver(TableEvent::Answered {
                    sent_at: watch.known_until.min(watch.sent_at),
                    known_until: watch.known_until,
                });
                watch.record_cached();
                watch.pause(spacing)
            }
            Err(ref error) if is_history_unavailable(error) => {
                let pause = watch.options.timeouts.pause_before_listing(failures);
                failures = 0;
                random_pause(pause)
            }
            Err(_) => {
                failures += 1;
                random_pause(watch.options.timeouts.pause(failures))
            }
        };
        if watch.record_reachability(result) {
            deliver(TableEvent::ReachabilityChanged(watch.connected));
        }
        let pause = watch.delayed_due_in().map_or(pause, |left| pause.min(left));
        Timer::after(pause).await;
        spacing = (spacing * 2).min(watch.options.spacing);
    }
}

/// Whether the store answered that the history of the known revision is gone.
fn is_history_unavailable(error: &Error) -> bool {
    error.code == Code::NotFound
}

/// Draws a random pause from a range.
fn random_pause(pause: Range<Duration>) -> Duration {
    rand::rng().random_range(pause)
}

/// How many of the known runners one answer removes.
#[derive(Clone, Copy)]
struct RemovalCount {
    gone: usize,
    known: usize,
}

struct TableWatch {
    options: WatchOptions,
    /// The client of the store.
    client: HttpClient,
    /// The reader that is called instead of the store, and its client.
    reader: Option<(SocketAddr, HttpClient)>,
    link_yield: LinkYield,
    /// When the task started.
    started: Instant,
    /// Receives a message when the store was restored from an older copy or is to be called at once.
    wake_ups: Receiver<()>,
    /// The position after which the feed continues. `None` until the table has been listed, and if the known
    /// history is gone.
    position: Option<StorePosition>,
    /// The era of the last answer.
    era: Option<u64>,
    /// Runners that a restored copy contains again.
    delayed_returns: DelayedReturns,
    /// The runners that are listed.
    runners: BTreeSet<InstanceId>,
    evacuated: EvacuatedHalls,
    logged_faults: LoggedFaults,
    connected: bool,
    /// When the last call was sent.
    sent_at: Instant,
    /// How long the store was to wait for changes in that call.
    wait: Duration,
    freshness: Freshness,
    /// Up to which time the content of the table is known.
    known_until: Instant,
    /// When the store last answered.
    answered_at: Option<Instant>,
    catch_up: CatchUp,
    /// The newest version of each model that was read.
    newest_versions: BTreeMap<ModelName, u64>,
    /// Runners that are missing since the store is back.
    delayed_removals: DelayedRemovals,
}

impl TableWatch {
    async fn list(&mut self, deliver: &mut impl FnMut(TableEvent)) -> Result<AnswerSummary> {
        self.sent_at = Instant::now();
        let (table, era) = (self.options.table, self.options.era.clone());
        let metrics = self.options.metrics.clone();
        let listed = list(self.source_client(), table, &era, &metrics, Urgency::Urgent).await?;
        let Listing { position, clock_ms, changes, faults, pages, age } = listed;
        let reader_age = self.reader_age(age)?;
        match self.reader {
            None => self.options.readers.cache_listing(table, &pages, position.era),
            Some(_) => self.options.readers.drop_table(table),
        }
        drop(pages);
        let produced_at = self.record_answer_time(None, clock_ms, reader_age);
        self.record_store_reading(position, clock_ms, produced_at);
        let store_restored = self.record_era(position.era, deliver);
        self.logged_faults.log_listing(self.options.table, &self.options.metrics, &faults);
        let summary = AnswerSummary { rows: changes.len(), position };
        let listed: BTreeSet<InstanceId> = changes.iter().filter_map(listed_runner).collect();
        let gone: Vec<InstanceId> = self.runners.difference(&listed).cloned().collect();
        let removals = RemovalCount { gone: gone.len(), known: self.runners.len() };
        for id in gone {
            self.deliver_change(Change::RunnerRemoved(id), reader_age, removals, deliver);
        }
        if self.options.table == Table::Operator {
            let evacuated = self.evacuated.apply_listing(Instant::now(), position, &changes);
            deliver(TableEvent::Evacuations(evacuated));
        }
        self.catch_up.record_listing(self.was_silent());
        for change in changes {
            if !(store_restored && self.delayed_returns.delay(Instant::now(), &change)) {
                self.deliver_change(change, reader_age, removals, deliver);
            }
        }
        self.answered_at = Some(Instant::now());
        self.position = Some(position);
        if position.era == self.options.era.current() {
            // This listing already covers the increase of the era that a pending message announces.
            let _ = self.wake_ups.try_recv();
        }
        deliver(TableEvent::Complete);
        Ok(summary)
    }

    /// Records the era of a listing. Returns whether the store was restored from an older copy since the
    /// previous one.
    fn record_era(&mut self, era: Option<u64>, deliver: &mut impl FnMut(TableEvent)) -> bool {
        let before = std::mem::replace(&mut self.era, era);
        let store_restored = before.is_some() && era > before;
        if store_restored {
            // Rows that the copy lacks are written again, as after an outage, however few they are.
            self.delayed_removals.record_store_restore(Instant::now());
            self.catch_up.record_gap();
            self.link_yield.reset();
            deliver(TableEvent::StoreRestored);
        }
        store_restored
    }

    /// The time until the next delayed change is due.
    fn delayed_due_in(&self) -> Option<Duration> {
        let now = Instant::now();
        self.delayed_removals
            .time_left(now)
            .into_iter()
            .chain(self.delayed_returns.time_left(now))
            .min()
    }

    async fn feed(
        &mut self,
        position: StorePosition,
        deliver: &mut impl FnMut(TableEvent),
    ) -> Result<AnswerSummary> {
        let timeouts = self.options.timeouts;
        let wait = self.feed_wait();
        let wait = self.delayed_due_in().map_or(wait, |left| wait.min(left));
        let answer = match self.request_changes(position, wait).await {
            Some(answer) => answer?,
            None if self.options.era.current() != position.era => {
                // Another call of this process has detected that the history has changed.
                return Err(self.reset_position("the store came back from an older copy"));
            }
            None => {
                let immediate = self.request_changes(position, timeouts.feed_wait(false)).await;
                let interrupted = || Error::new(Code::TimedOut, "the feed call was interrupted");
                immediate.ok_or_else(interrupted)??
            }
        };
        if store::is_history_unavailable(answer.status) {
            return Err(
                self.reset_position("the store no longer has the history after the known revision")
            );
        }
        let era = self.options.era.record(&answer.headers)?;
        if era != position.era {
            // The page continues a history that has a gap after what was read before.
            return Err(self.reset_position("the store came back from an older copy"));
        }
        let age = read_age(&answer.headers);
        let body = answer.success()?;
        let reader_age = self.reader_age(age?)?;
        let page: Page = store::read(self.options.table, &body)?;
        if self.reader.is_none() {
            let name = call_name(self.options.table);
            self.options.metrics.count_store_bytes(name, "feed", body.len() as u64);
            self.link_yield.record_answer(self.started.elapsed(), page.clock_ms, body.len());
        }
        let before = self.known_until;
        let waited_for = Some(self.wait).filter(|_| page.is_empty());
        let produced_at = self.record_answer_time(waited_for, page.clock_ms, reader_age);
        let read = StorePosition { era, revision: page.revision };
        if page.is_up_to_date {
            self.record_store_reading(read, page.clock_ms, produced_at);
        }
        self.logged_faults.log_new(self.options.table, &self.options.metrics, &page.faults);
        let was_silent = self.was_silent();
        let late = self.catch_up.record_feed(was_silent, page.is_empty());
        let now = Instant::now();
        let summary = AnswerSummary { rows: page.rows, position: read };
        let evacuated = self.evacuated.apply_feed(now, read, &page.changes, late);
        evacuated.into_iter().for_each(|list| deliver(TableEvent::Evacuations(list)));
        let is_gone = |change: &&Change| matches!(change, Change::RunnerRemoved(_));
        let gone = page.changes.iter().filter(is_gone).count();
        let removals = RemovalCount { gone, known: self.runners.len() };
        if self.reader.is_none() {
            // The changes of the page happened after the previous answer, which did not contain them.
            let age = (!late).then(|| before.elapsed());
            self.options.readers.cache_changes(self.options.table, &body, age);
        }
        page.changes
            .into_iter()
            .for_each(|change| self.deliver_change(change, reader_age, removals, deliver));
        self.answered_at = Some(Instant::now());
        self.position = Some(read.max(position));
        Ok(summary)
    }

    /// Requests the changes after a position. `None` if the call was interrupted because it has to be made
    /// again.
    async fn request_changes(
        &mut self,
        position: StorePosition,
        wait: Duration,
    ) -> Option<Result<CallAnswer>> {
        let call = store::feed(self.options.table, position.revision, wait.as_millis() as u64);
        let start_timeout = match self.reader {
            Some(_) => self.options.readers.feed_start_timeout(wait),
            None => self.options.timeouts.feed_start_timeout(wait),
        };
        (self.sent_at, self.wait) = (Instant::now(), wait);
        let wake_ups = self.wake_ups.clone();
        let answer =
            self.source_client().call_with_pause_limit(call, start_timeout, MAX_ANSWER_PAUSE);
        future::or(async { Some(answer.await) }, async {
            let _ = wake_ups.recv().await;
            None
        })
        .await
    }

    /// Discards the known position, whose history is gone, so that the table is listed next.
    fn reset_position(&mut self, reason: &str) -> Error {
        self.position = None;
        // The listing covers any pending message about an increase of the era.
        let _ = self.wake_ups.try_recv();
        Error::new(Code::NotFound, reason.to_owned())
    }

    /// Whether the store has not answered for longer than usual. A store whose calls fail is not silent for
    /// lack of changes.
    fn was_silent(&self) -> bool {
        let usual = self.options.timeouts.feed_wait(self.connected) + self.options.spacing;
        self.answered_at.is_none_or(|it| it.elapsed() > usual + SILENCE_MARGIN)
    }

    /// Records that the store answered, and how long it waited if it had no changes. Returns a time before
    /// which the answer was not produced.
    fn record_answer_time(
        &mut self,
        waited: Option<Duration>,
        clock_ms: Option<u64>,
        reader_age: Option<ReportedAge>,
    ) -> Instant {
        let arrived_at = Instant::now();
        let by_reader = reader_age.map(|it| (it.held, it.known));
        let answer =
            AnswerTiming { sent_at: self.sent_at, arrived_at, waited, clock_ms, by_reader };
        let produced_at = self.freshness.record(&answer);
        self.known_until = produced_at.max(self.known_until);
        if !self.connected {
            self.delayed_removals.record_store_return(Instant::now());
        }
        produced_at
    }

    /// Delivers a change, unless it is delayed.
    fn deliver_change(
        &mut self,
        change: Change,
        reader_age: Option<ReportedAge>,
        removals: RemovalCount,
        deliver: &mut impl FnMut(TableEvent),
    ) {
        match &change {
            Change::Runner(record) => {
                self.runners.insert(record.id.clone());
                self.delayed_removals.record_listed(&record.id);
                self.delayed_returns.record_listed(&record.id);
            }
            Change::RunnerRemoved(id) => {
                if self.runners.remove(id) {
                    self.delayed_returns.record_removed(Instant::now(), id);
                }
                if self.delayed_removals.delay(Instant::now(), id, removals.gone, removals.known) {
                    log::info!(runner = id.0.as_str(); "runner missing since the store is back");
                    return;
                }
            }
            Change::RunnerInvalid(id) => {
                // Another writer has replaced the earlier row.
                self.delayed_returns.record_listed(id);
                if self.runners.remove(id) {
                    let change = Change::RunnerRemoved(id.clone());
                    deliver(TableEvent::Change { change, date: ChangeDate::default() });
                }
                return;
            }
            Change::Configuration(_)
            | Change::Version { .. }
            | Change::Evacuated(_)
            | Change::EvacuationEnded(_) => {}
        }
        let date = self.date_change(&change, reader_age);
        deliver(TableEvent::Change { change, date });
    }

    /// Logs that the store is lost or back. Returns whether either happened.
    fn record_reachability(&mut self, result: Result<()>) -> bool {
        let table = format!("{:?}", self.options.table);
        match result {
            Ok(()) if !self.connected => log::info!(table = table.as_str(); "store regained"),
            Err(error) if self.connected => {
                let reason = error.to_string();
                log::warn!(table = table.as_str(), reason = reason.as_str(); "store lost");
            }
            _ => return false,
        }
        self.connected = !self.connected;
        true
    }
}

fn listed_runner(change: &Change) -> Option<InstanceId> {
    match change {
        Change::Runner(record) => Some(record.id.clone()),
        _ => None,
    }
}
