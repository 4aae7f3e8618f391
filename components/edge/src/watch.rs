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
use fleet::{InstanceId, ModelName, StorePlace};
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
use crate::gateway::{read_age, ToldAge};
use crate::http_client::{CallAnswer, HttpClient};
use crate::link_yield::LinkYield;
use crate::listing::{call_name, list, Listing, LoggedFaults, MAX_ANSWER_PAUSE};
use crate::paging::Urgency;

/// How much longer than the wait of a feed call the store may be silent before its changes are considered
/// old.
const LATE_AFTER: Duration = Duration::from_millis(1200);

/// The pause before the next check if there is nothing to call yet.
const NOBODY_PAUSE: Duration = Duration::from_millis(50);

pub use self::options::{Dated, Seen, WatchOptions};

/// Follows a table for as long as the task runs.
pub async fn watch(options: WatchOptions, mut deliver: impl FnMut(Seen)) {
    let wake_ups = options.era.subscribe();
    let mut watch = Watch {
        client: HttpClient::new(options.store),
        reader: None,
        link_yield: LinkYield::new(options.longest_rest),
        started: Instant::now(),
        options,
        wake_ups,
        place: None,
        era: None,
        delayed_returns: DelayedReturns::default(),
        runners: BTreeSet::new(),
        evacuated: EvacuatedHalls::default(),
        faults: LoggedFaults::default(),
        connected: true,
        asked: Instant::now(),
        wait: Duration::ZERO,
        freshness: Freshness::default(),
        known: Instant::now(),
        heard: None,
        catch_up: CatchUp::default(),
        named: BTreeMap::new(),
        delayed_removals: DelayedRemovals::default(),
    };
    watch.options.reading.wait_until_settled().await;
    let mut spacing = watch.options.first_spacing;
    let mut failures = 0;
    loop {
        for id in watch.delayed_removals.take_due(Instant::now()) {
            deliver(Seen::Change { change: Change::RunnerGone(id), dated: Dated::default() });
        }
        for record in watch.delayed_returns.take_due(Instant::now()) {
            deliver(Seen::Change { change: Change::Runner(record), dated: Dated::default() });
        }
        if !watch.choose_source() {
            Timer::after(NOBODY_PAUSE).await;
            continue;
        }
        let (call, result) = match watch.place {
            Some(place) => ("feed", watch.feed(place, &mut deliver).await),
            None => ("list", watch.list(&mut deliver).await),
        };
        let reader = watch.reader.as_ref().map(|(reader, _)| *reader);
        log_answer(watch.options.table, call, reader, watch.asked.elapsed(), &result);
        let result = result.map(drop);
        if watch.is_reader_lost(&result) {
            // Another reader, or the store, is called at once.
            continue;
        }
        let outcome = result.as_ref().map_or_else(|error| error.code.name(), |()| "ok");
        watch.options.metrics.count_platform(watch.call_name(), outcome);
        let pause = match result {
            Ok(()) => {
                failures = 0;
                deliver(Seen::Heard { asked: watch.known.min(watch.asked), known: watch.known });
                watch.note_kept();
                watch.pause(spacing)
            }
            Err(ref error) if is_history_gone(error) => {
                let pause = watch.options.timeouts.pause_before_listing(failures);
                failures = 0;
                draw(pause)
            }
            Err(_) => {
                failures += 1;
                draw(watch.options.timeouts.pause(failures))
            }
        };
        if watch.note(result) {
            deliver(Seen::Reached(watch.connected));
        }
        let pause = watch.due_in().map_or(pause, |left| pause.min(left));
        Timer::after(pause).await;
        spacing = (spacing * 2).min(watch.options.spacing);
    }
}

/// Whether the store answered that the history of the known revision is gone.
fn is_history_gone(error: &Error) -> bool {
    error.code == Code::NotFound
}

/// Draws a random pause from a range.
fn draw(pause: Range<Duration>) -> Duration {
    rand::rng().random_range(pause)
}

/// How many of the known runners one answer removes.
#[derive(Clone, Copy)]
struct Lost {
    gone: usize,
    known: usize,
}

struct Watch {
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
    place: Option<StorePlace>,
    /// The era of the last answer.
    era: Option<u64>,
    /// Runners that a restored copy contains again.
    delayed_returns: DelayedReturns,
    /// The runners that are listed.
    runners: BTreeSet<InstanceId>,
    evacuated: EvacuatedHalls,
    faults: LoggedFaults,
    connected: bool,
    /// When the last call was sent.
    asked: Instant,
    /// How long the store was to wait for changes in that call.
    wait: Duration,
    freshness: Freshness,
    /// Up to which time the content of the table is known.
    known: Instant,
    /// When the store last answered.
    heard: Option<Instant>,
    catch_up: CatchUp,
    /// The newest version of each model that was read.
    named: BTreeMap<ModelName, u64>,
    /// Runners that are missing since the store is back.
    delayed_removals: DelayedRemovals,
}

impl Watch {
    async fn list(&mut self, deliver: &mut impl FnMut(Seen)) -> Result<AnswerSummary> {
        self.asked = Instant::now();
        let (table, era) = (self.options.table, self.options.era.clone());
        let metrics = self.options.metrics.clone();
        let listed = list(self.source_client(), table, &era, &metrics, Urgency::Urgent).await?;
        let Listing { place, clock_ms, changes, faults, pages, age } = listed;
        let told = self.told(age)?;
        match self.reader {
            None => self.options.reading.keep_listing(table, &pages, place.era),
            Some(_) => self.options.reading.forget(table),
        }
        drop(pages);
        let made = self.note_answer(None, clock_ms, told);
        self.note_reading(place, clock_ms, made);
        let went_back = self.note_era(place.era, deliver);
        self.faults.log_listing(self.options.table, &self.options.metrics, &faults);
        let answered = AnswerSummary { rows: changes.len(), place };
        let listed: BTreeSet<InstanceId> = changes.iter().filter_map(listed_runner).collect();
        let gone: Vec<InstanceId> = self.runners.difference(&listed).cloned().collect();
        let lost = Lost { gone: gone.len(), known: self.runners.len() };
        for id in gone {
            self.pass_on(Change::RunnerGone(id), told, lost, deliver);
        }
        if self.options.table == Table::Operator {
            let evacuated = self.evacuated.apply_listing(Instant::now(), place, &changes);
            deliver(Seen::Evacuations(evacuated));
        }
        self.catch_up.record_listing(self.was_silent());
        for change in changes {
            if !(went_back && self.delayed_returns.delay(Instant::now(), &change)) {
                self.pass_on(change, told, lost, deliver);
            }
        }
        self.heard = Some(Instant::now());
        self.place = Some(place);
        if place.era == self.options.era.current() {
            // This listing already covers the increase of the era that a pending message announces.
            let _ = self.wake_ups.try_recv();
        }
        deliver(Seen::Whole);
        Ok(answered)
    }

    /// Records the era of a listing. Returns whether the store was restored from an older copy since the
    /// previous one.
    fn note_era(&mut self, era: Option<u64>, deliver: &mut impl FnMut(Seen)) -> bool {
        let before = std::mem::replace(&mut self.era, era);
        let went_back = before.is_some() && era > before;
        if went_back {
            // Rows that the copy lacks are written again, as after an outage, however few they are.
            self.delayed_removals.record_store_restore(Instant::now());
            self.catch_up.record_gap();
            self.link_yield.reset();
            deliver(Seen::WentBack);
        }
        went_back
    }

    /// The time until the next delayed change is due.
    fn due_in(&self) -> Option<Duration> {
        let now = Instant::now();
        self.delayed_removals
            .time_left(now)
            .into_iter()
            .chain(self.delayed_returns.time_left(now))
            .min()
    }

    async fn feed(
        &mut self,
        place: StorePlace,
        deliver: &mut impl FnMut(Seen),
    ) -> Result<AnswerSummary> {
        let timeouts = self.options.timeouts;
        let wait = self.feed_wait();
        let wait = self.due_in().map_or(wait, |left| wait.min(left));
        let answer = match self.ask(place, wait).await {
            Some(answer) => answer?,
            None if self.options.era.current() != place.era => {
                // Another call of this process has detected that the history has changed.
                return Err(self.begin_again("the store came back from an older copy"));
            }
            None => {
                let at_once = self.ask(place, timeouts.feed_wait(false)).await;
                let called = || Error::new(Code::TimedOut, "the feed was given up");
                at_once.ok_or_else(called)??
            }
        };
        if store::is_history_gone(answer.status) {
            return Err(self.begin_again("the store forgot its history"));
        }
        let era = self.options.era.record(&answer.headers)?;
        if era != place.era {
            // The page continues a history that has a gap after what was read before.
            return Err(self.begin_again("the store came back from an older copy"));
        }
        let age = read_age(&answer.headers);
        let body = answer.success()?;
        let told = self.told(age?)?;
        let page: Page = store::read(self.options.table, &body)?;
        if self.reader.is_none() {
            let name = call_name(self.options.table);
            self.options.metrics.count_store_bytes(name, "feed", body.len() as u64);
            self.link_yield.record_answer(self.started.elapsed(), page.clock_ms, body.len());
        }
        let before = self.known;
        let waited_for = Some(self.wait).filter(|_| page.rows == 0);
        let made = self.note_answer(waited_for, page.clock_ms, told);
        let read = StorePlace { era, revision: page.revision };
        if page.is_newest {
            self.note_reading(read, page.clock_ms, made);
        }
        self.faults.log_new(self.options.table, &self.options.metrics, &page.faults);
        let was_silent = self.was_silent();
        let late = self.catch_up.record_feed(was_silent, page.changes.is_empty());
        let now = Instant::now();
        let answered = AnswerSummary { rows: page.rows, place: read };
        let evacuated = self.evacuated.apply_feed(now, read, &page.changes, late);
        evacuated.into_iter().for_each(|list| deliver(Seen::Evacuations(list)));
        let is_gone = |change: &&Change| matches!(change, Change::RunnerGone(_));
        let gone = page.changes.iter().filter(is_gone).count();
        let lost = Lost { gone, known: self.runners.len() };
        if self.reader.is_none() {
            // The changes of the page happened after the previous answer, which did not contain them.
            let age = (!late).then(|| before.elapsed());
            self.options.reading.keep_changes(self.options.table, &body, age);
        }
        page.changes.into_iter().for_each(|change| self.pass_on(change, told, lost, deliver));
        self.heard = Some(Instant::now());
        self.place = Some(read.max(place));
        Ok(answered)
    }

    /// Requests the changes after a position. `None` if the call was interrupted because it has to be made
    /// again.
    async fn ask(&mut self, place: StorePlace, wait: Duration) -> Option<Result<CallAnswer>> {
        let call = store::feed(self.options.table, place.revision, wait.as_millis() as u64);
        let begin = match self.reader {
            Some(_) => self.options.reading.feed_start_timeout(wait),
            None => self.options.timeouts.feed_start_timeout(wait),
        };
        (self.asked, self.wait) = (Instant::now(), wait);
        let wake_ups = self.wake_ups.clone();
        let answer = self.source_client().call_with_pause_limit(call, begin, MAX_ANSWER_PAUSE);
        future::or(async { Some(answer.await) }, async {
            let _ = wake_ups.recv().await;
            None
        })
        .await
    }

    /// Discards the known position, whose history is gone, so that the table is listed next.
    fn begin_again(&mut self, reason: &str) -> Error {
        self.place = None;
        // The listing covers any pending message about an increase of the era.
        let _ = self.wake_ups.try_recv();
        Error::new(Code::NotFound, reason.to_owned())
    }

    /// Whether the store has not answered for longer than usual. A store whose calls fail is not silent for
    /// lack of changes.
    fn was_silent(&self) -> bool {
        let usual = self.options.timeouts.feed_wait(self.connected) + self.options.spacing;
        self.heard.is_none_or(|it| it.elapsed() > usual + LATE_AFTER)
    }

    /// Records that the store answered, and how long it waited if it had no changes. Returns a time before
    /// which the answer was not produced.
    fn note_answer(
        &mut self,
        waited: Option<Duration>,
        clock_ms: Option<u64>,
        told: Option<ToldAge>,
    ) -> Instant {
        let arrived_at = Instant::now();
        let by_reader = told.map(|it| (it.held, it.known));
        let answer = AnswerTiming { sent_at: self.asked, arrived_at, waited, clock_ms, by_reader };
        let made = self.freshness.record(&answer);
        self.known = made.max(self.known);
        if !self.connected {
            self.delayed_removals.record_store_return(Instant::now());
        }
        made
    }

    /// Delivers a change, unless it is delayed.
    fn pass_on(
        &mut self,
        change: Change,
        told: Option<ToldAge>,
        lost: Lost,
        deliver: &mut impl FnMut(Seen),
    ) {
        match &change {
            Change::Runner(record) => {
                self.runners.insert(record.id.clone());
                self.delayed_removals.record_listed(&record.id);
                self.delayed_returns.record_listed(&record.id);
            }
            Change::RunnerGone(id) => {
                if self.runners.remove(id) {
                    self.delayed_returns.record_removed(Instant::now(), id);
                }
                if self.delayed_removals.delay(Instant::now(), id, lost.gone, lost.known) {
                    log::info!(runner = id.0.as_str(); "runner missing since the store is back");
                    return;
                }
            }
            Change::RunnerUnreadable(id) => {
                // Another writer has replaced the earlier row.
                if self.runners.remove(id) {
                    let change = Change::RunnerGone(id.clone());
                    deliver(Seen::Change { change, dated: Dated::default() });
                }
                return;
            }
            Change::Configuration(_)
            | Change::Version { .. }
            | Change::Evacuated(_)
            | Change::Reopened(_) => {}
        }
        let dated = self.date(&change, told);
        deliver(Seen::Change { change, dated });
    }

    /// Logs that the store is lost or back. Returns whether either happened.
    fn note(&mut self, result: Result<()>) -> bool {
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
