//! The reducer of a gateway with those who wait for its decisions.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use fleet::Millis;
use gateway::{
    Arrival, Catalog, Effect, Event, Gateway, GatewayOptions, NextStep, RequestKey, Sureness,
};
use quarantine::CrashNews;
use telemetry::{note_crash, Metrics};

use super::home_log;
use super::notice_log::note_notice;
use super::reservations::Reservations;
use super::tables::Tables;
use crate::clock::Clock;
use crate::life_log::note_life;
use crate::metrics::note_evacuation;

/// Gateways that write a row again which the store may have lost: one may just have been lost itself.
const ROW_WRITERS: usize = 2;

/// A gateway's state, shared by the tasks of its process.
#[derive(Clone)]
pub struct Core {
    state: Rc<RefCell<State>>,
    /// The time.
    pub clock: Clock,
    /// Counters.
    pub metrics: Rc<Metrics>,
    /// The name of this process in logs.
    pub name: Rc<str>,
    /// Places at runners.
    pub reservations: Reservations,
    /// What is known of the store's tables.
    pub tables: Rc<Tables>,
    /// Told of each version that is named.
    pub named: Receiver<()>,
    name_sidecars: Sender<()>,
    /// Told of requests that runners crash under.
    pub crashes: Receiver<CrashNews>,
    crash_news: Sender<CrashNews>,
    /// Told that the store came back from an older copy.
    pub went_back: Receiver<()>,
    tell_went_back: Sender<()>,
}

struct State {
    gateway: Gateway,
    waiting: HashMap<RequestKey, Sender<NextStep>>,
    next_key: u64,
}

impl Core {
    /// Starts with nothing known.
    pub fn new(
        options: GatewayOptions,
        clock: Clock,
        metrics: Rc<Metrics>,
        name: &str,
        reservations: Reservations,
        tables: Rc<Tables>,
    ) -> Self {
        let (name_sidecars, named) = async_channel::bounded(1);
        let (crash_news, crashes) = async_channel::unbounded();
        let (tell_went_back, went_back) = async_channel::bounded(1);
        let state = State { gateway: Gateway::new(options), waiting: HashMap::new(), next_key: 0 };
        Self {
            state: Rc::new(RefCell::new(state)),
            clock,
            metrics,
            name: name.into(),
            reservations,
            tables,
            named,
            name_sidecars,
            crashes,
            crash_news,
            went_back,
            tell_went_back,
        }
    }

    /// The store came back from an older copy: rows of our own are written again.
    pub fn note_went_back(&self) {
        // One that waits already is enough.
        let _ = self.tell_went_back.try_send(());
    }

    /// Whether this gateway writes a row again that the store may have lost: two of all do, and whoever does not know the
    /// others.
    pub fn writes_again(&self, now: Millis, row: &str) -> bool {
        self.read(|gateway| {
            let members = gateway.members();
            let is_sure = members.sureness(now) == Sureness::Sure;
            !is_sure || members.responsible(now, row, ROW_WRITERS).is_some()
        })
    }

    /// Sidecars are told at once what operators wrote.
    pub fn tell_sidecars(&self) {
        // One that waits already is enough.
        let _ = self.name_sidecars.try_send(());
    }

    /// Hands an event to the reducer and its decisions to those who wait for them.
    pub fn feed(&self, event: Event) {
        let mut state = self.state.borrow_mut();
        let effects = state.gateway.reduce(self.clock.now(), rand::random(), event);
        for effect in effects {
            match effect {
                Effect::Proceed(key, step) => {
                    if let Some(waiting) = state.waiting.get(&key) {
                        let _ = waiting.try_send(step);
                    }
                }
                Effect::CountRetry(code) => self.metrics.count_retry(code),
                Effect::TellOfHomes(faults) => home_log::tell(&faults),
                Effect::Life(news) => note_life(&self.metrics, &news),
                Effect::Notice(news) => note_notice(&news),
                Effect::Crash(news) => {
                    note_crash(&self.metrics, &news);
                    if news.is_own() {
                        self.tell_sidecars();
                    }
                    // The record ends with the process.
                    let _ = self.crash_news.try_send(news);
                }
                Effect::Evacuation(change) => {
                    note_evacuation(&self.metrics, &change);
                    self.tell_sidecars();
                }
            }
        }
    }

    /// Announces a request.
    pub fn announce(&self, make: impl FnOnce(RequestKey) -> Arrival) -> Ticket {
        let (sender, steps) = async_channel::bounded(1);
        let key = {
            let mut state = self.state.borrow_mut();
            state.next_key += 1;
            let key = RequestKey(state.next_key);
            state.waiting.insert(key, sender);
            key
        };
        self.feed(Event::Arrived(make(key)));
        Ticket { core: self.clone(), key, steps }
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.state.borrow().gateway.catalog().cloned()
    }

    /// Reads the reducer.
    pub fn read<T>(&self, look: impl FnOnce(&Gateway) -> T) -> T {
        look(&self.state.borrow().gateway)
    }
}

/// A request that the reducer knows. Dropping it tells the reducer that the request is gone.
pub struct Ticket {
    core: Core,
    /// The request.
    pub key: RequestKey,
    steps: Receiver<NextStep>,
}

impl Ticket {
    /// Waits for what the request does next.
    pub async fn next_step(&self) -> Option<NextStep> {
        self.steps.recv().await.ok()
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.core.state.borrow_mut().waiting.remove(&self.key);
        self.core.feed(Event::Gone(self.key));
    }
}
