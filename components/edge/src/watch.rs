//! Follows a table of the platform's store.

mod dating;
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

use crate::answer_log::{log_answer, Told};
use crate::evacuated::EvacuatedHalls;
use crate::freshness::{Arrival, Freshness};
use crate::gateway::{read_age, ToldAge};
use crate::lapses::Lapses;
use crate::lateness::Lateness;
use crate::link::{CallAnswer, Link};
use crate::listing::{call_name, list, Listing, ToldFaults, PIECE_PAUSE};
use crate::paging::Haste;
use crate::returns::Returns;
use crate::yielding::Yielding;

/// How much longer than a feed waits the store may be silent before its news is taken for old.
const LATE_AFTER: Duration = Duration::from_millis(1200);

/// The pause before the next look where nobody is to be asked yet.
const NOBODY_PAUSE: Duration = Duration::from_millis(50);

pub use self::options::{Dated, Seen, WatchOptions};

/// Follows a table for as long as the task runs.
pub async fn watch(options: WatchOptions, mut deliver: impl FnMut(Seen)) {
    let calls = options.era.calls();
    let mut watch = Watch {
        link: Link::new(options.store),
        reader: None,
        yielding: Yielding::new(options.longest_rest),
        started: Instant::now(),
        options,
        calls,
        place: None,
        era: None,
        returns: Returns::default(),
        runners: BTreeSet::new(),
        evacuated: EvacuatedHalls::default(),
        faults: ToldFaults::default(),
        connected: true,
        asked: Instant::now(),
        wait: Duration::ZERO,
        freshness: Freshness::default(),
        known: Instant::now(),
        heard: None,
        lateness: Lateness::default(),
        named: BTreeMap::new(),
        lapses: Lapses::default(),
    };
    watch.options.reading.wait_until_settled().await;
    let mut spacing = watch.options.first_spacing;
    let mut failures = 0;
    loop {
        for id in watch.lapses.take_due(Instant::now()) {
            deliver(Seen::Change { change: Change::RunnerGone(id), dated: Dated::default() });
        }
        for record in watch.returns.take_due(Instant::now()) {
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
            // Another reader, or the store, is asked at once.
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
                let pause = watch.options.patience.pause_before_listing(failures);
                failures = 0;
                draw(pause)
            }
            Err(_) => {
                failures += 1;
                draw(watch.options.patience.pause(failures))
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

/// Whether the store has answered, and what was read before is of a history that is gone.
fn is_history_gone(error: &Error) -> bool {
    error.code == Code::NotFound
}

/// A pause out of a range.
fn draw(pause: Range<Duration>) -> Duration {
    rand::rng().random_range(pause)
}

/// How many of the known runners one answer says are gone.
#[derive(Clone, Copy)]
struct Lost {
    gone: usize,
    known: usize,
}

struct Watch {
    options: WatchOptions,
    /// The link to the store.
    link: Link,
    /// The reader that is asked instead, and the link to it.
    reader: Option<(SocketAddr, Link)>,
    yielding: Yielding,
    /// When the task began.
    started: Instant,
    /// Told that the store came back from an older copy, or is to be asked at once.
    calls: Receiver<()>,
    /// Where the feed goes on. `None` until the table has been listed, and where what was read is of a history that is
    /// gone.
    place: Option<StorePlace>,
    /// The era of what was read last.
    era: Option<u64>,
    /// Runners that the copy has again.
    returns: Returns,
    /// The runners that are listed.
    runners: BTreeSet<InstanceId>,
    evacuated: EvacuatedHalls,
    faults: ToldFaults,
    connected: bool,
    /// When the question was asked that was answered last, or is open.
    asked: Instant,
    /// How long the store was to wait for news then.
    wait: Duration,
    freshness: Freshness,
    /// Up to when everything is known that is in the table.
    known: Instant,
    /// When the store last answered.
    heard: Option<Instant>,
    lateness: Lateness,
    /// The newest version of each model that was read.
    named: BTreeMap<ModelName, u64>,
    /// Runners that have been missing since it was back.
    lapses: Lapses,
}

impl Watch {
    async fn list(&mut self, deliver: &mut impl FnMut(Seen)) -> Result<Told> {
        self.asked = Instant::now();
        let (table, era) = (self.options.table, self.options.era.clone());
        let metrics = self.options.metrics.clone();
        let listed = list(self.asked_link(), table, &era, &metrics, Haste::Urgent).await?;
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
        self.faults.tell_all(self.options.table, &self.options.metrics, &faults);
        let answered = Told { rows: changes.len(), place };
        let listed: BTreeSet<InstanceId> = changes.iter().filter_map(listed_runner).collect();
        let gone: Vec<InstanceId> = self.runners.difference(&listed).cloned().collect();
        let lost = Lost { gone: gone.len(), known: self.runners.len() };
        for id in gone {
            self.pass_on(Change::RunnerGone(id), told, lost, deliver);
        }
        if self.options.table == Table::Operator {
            let evacuated = self.evacuated.take_listing(Instant::now(), place, &changes);
            deliver(Seen::Evacuations(evacuated));
        }
        self.lateness.take_listing(self.was_silent());
        for change in changes {
            if !(went_back && self.returns.hold(Instant::now(), &change)) {
                self.pass_on(change, told, lost, deliver);
            }
        }
        self.heard = Some(Instant::now());
        self.place = Some(place);
        if place.era == self.options.era.current() {
            // The rise that this listing shows need not be told of again.
            let _ = self.calls.try_recv();
        }
        deliver(Seen::Whole);
        Ok(answered)
    }

    /// Takes in the era of a listing, and tells whether the store came back from an older copy since the one before.
    fn note_era(&mut self, era: Option<u64>, deliver: &mut impl FnMut(Seen)) -> bool {
        let before = std::mem::replace(&mut self.era, era);
        let went_back = before.is_some() && era > before;
        if went_back {
            // Entries that the copy lacks are written again, as after an outage, however few they are.
            self.lapses.note_copy(Instant::now());
            self.lateness.note_gap();
            self.yielding.forget();
            deliver(Seen::WentBack);
        }
        went_back
    }

    /// How long until something is due that was held back.
    fn due_in(&self) -> Option<Duration> {
        let now = Instant::now();
        self.lapses.left(now).into_iter().chain(self.returns.left(now)).min()
    }

    async fn feed(&mut self, place: StorePlace, deliver: &mut impl FnMut(Seen)) -> Result<Told> {
        let patience = self.options.patience;
        let wait = self.feed_wait();
        let wait = self.due_in().map_or(wait, |left| wait.min(left));
        let answer = match self.ask(place, wait).await {
            Some(answer) => answer?,
            None if self.options.era.current() != place.era => {
                // Another call of this process has found that the history is another one.
                return Err(self.begin_again("the store came back from an older copy"));
            }
            None => {
                let at_once = self.ask(place, patience.feed_wait(false)).await;
                let called = || Error::new(Code::TimedOut, "the feed was given up");
                at_once.ok_or_else(called)??
            }
        };
        if store::is_history_gone(answer.status) {
            return Err(self.begin_again("the store forgot its history"));
        }
        let era = self.options.era.note(&answer.headers)?;
        if era != place.era {
            // The page tells of a history with a gap behind what was read before.
            return Err(self.begin_again("the store came back from an older copy"));
        }
        let age = read_age(&answer.headers);
        let body = answer.success()?;
        let told = self.told(age?)?;
        let page: Page = store::read(self.options.table, &body)?;
        if self.reader.is_none() {
            let name = call_name(self.options.table);
            self.options.metrics.count_store_bytes(name, "feed", body.len() as u64);
            self.yielding.take(self.started.elapsed(), page.clock_ms, body.len());
        }
        let before = self.known;
        let waited_for = Some(self.wait).filter(|_| page.rows == 0);
        let made = self.note_answer(waited_for, page.clock_ms, told);
        let read = StorePlace { era, revision: page.revision };
        if page.is_newest {
            self.note_reading(read, page.clock_ms, made);
        }
        self.faults.tell(self.options.table, &self.options.metrics, &page.faults);
        let was_silent = self.was_silent();
        let late = self.lateness.take_feed(was_silent, page.changes.is_empty());
        let now = Instant::now();
        let answered = Told { rows: page.rows, place: read };
        let evacuated = self.evacuated.take_feed(now, read, &page.changes, late);
        evacuated.into_iter().for_each(|list| deliver(Seen::Evacuations(list)));
        let is_gone = |change: &&Change| matches!(change, Change::RunnerGone(_));
        let gone = page.changes.iter().filter(is_gone).count();
        let lost = Lost { gone, known: self.runners.len() };
        if self.reader.is_none() {
            // What the page tells of happened behind the answer that did not hold it.
            let age = (!late).then(|| before.elapsed());
            self.options.reading.keep_changes(self.options.table, &body, age);
        }
        page.changes.into_iter().for_each(|change| self.pass_on(change, told, lost, deliver));
        self.heard = Some(Instant::now());
        self.place = Some(read.max(place));
        Ok(answered)
    }

    /// Asks for the changes behind a place. `None` where it is to be asked anew first.
    async fn ask(&mut self, place: StorePlace, wait: Duration) -> Option<Result<CallAnswer>> {
        let call = store::feed(self.options.table, place.revision, wait.as_millis() as u64);
        let begin = match self.reader {
            Some(_) => self.options.reading.feed_begin(wait),
            None => self.options.patience.feed_begin(wait),
        };
        (self.asked, self.wait) = (Instant::now(), wait);
        let calls = self.calls.clone();
        let answer = self.asked_link().call_patiently(call, begin, PIECE_PAUSE);
        future::or(async { Some(answer.await) }, async {
            let _ = calls.recv().await;
            None
        })
        .await
    }

    /// What was read is of a history that is gone: the table is listed next.
    fn begin_again(&mut self, reason: &str) -> Error {
        self.place = None;
        // Whatever this task was told of a rise, the listing will show.
        let _ = self.calls.try_recv();
        Error::new(Code::NotFound, reason.to_owned())
    }

    /// Whether the store has not answered for longer than usual. One that fails is not silent because nothing
    /// changes.
    fn was_silent(&self) -> bool {
        let usual = self.options.patience.feed_wait(self.connected) + self.options.spacing;
        self.heard.is_none_or(|it| it.elapsed() > usual + LATE_AFTER)
    }

    /// Notes that the store answered, and how long it waited where it had no news. Gives a moment before which the answer
    /// was not made.
    fn note_answer(
        &mut self,
        waited: Option<Duration>,
        clock_ms: Option<u64>,
        told: Option<ToldAge>,
    ) -> Instant {
        let arrived = Instant::now();
        let told = told.map(|it| (it.held, it.known));
        let answer = Arrival { asked: self.asked, arrived, waited, clock_ms, told };
        let made = self.freshness.take(&answer);
        self.known = made.max(self.known);
        if !self.connected {
            self.lapses.note_return(Instant::now());
        }
        made
    }

    /// Hands a change on, unless it is to be believed later only.
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
                self.lapses.note_listed(&record.id);
                self.returns.note_listed(&record.id);
            }
            Change::RunnerGone(id) => {
                if self.runners.remove(id) {
                    self.returns.note_gone(Instant::now(), id);
                }
                if self.lapses.hold(Instant::now(), id, lost.gone, lost.known) {
                    log::info!(runner = id.0.as_str(); "runner missing since the store is back");
                    return;
                }
            }
            Change::RunnerUnreadable(id) => {
                // Whatever the entry was before, another writer has put this in its place.
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

    /// Logs when the store is lost and when it is back, and tells whether either happened.
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
