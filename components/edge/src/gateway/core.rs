//! The reducer of a gateway, with the requests that wait for its decisions.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use fleet::Millis;
use gateway::{
    Arrival, Catalog, Certainty, Effect, Event, Gateway, GatewayOptions, NextStep, RequestKey,
};
use quarantine::CrashEvent;
use telemetry::{record_crash, Metrics};

use super::home_fault_log;
use super::notice_log::log_notice;
use super::reservations::Reservations;
use super::table_state::Tables;
use crate::clock::Clock;
use crate::incarnation_log::log_incarnation_change;
use crate::metrics::record_evacuation;
use crate::stop_state::StopState;

/// Number of gateways that rewrite a row which the store may have lost. It is more than one because a gateway
/// may itself just have failed.
const REWRITING_GATEWAYS: usize = 2;

/// A gateway's state, shared by the tasks of its process.
#[derive(Clone)]
pub struct Core {
    state: Rc<RefCell<State>>,
    /// The process's clock.
    pub clock: Clock,
    /// Counters.
    pub metrics: Rc<Metrics>,
    /// The name of this process in logs.
    pub name: Rc<str>,
    /// Reservations of slots at runners.
    pub reservations: Reservations,
    /// What is known of the store's tables.
    pub tables: Rc<Tables>,
    /// The planned stop of the process.
    pub stop: Rc<StopState>,
    /// Receives a message when sidecars have to be updated at once.
    pub sidecar_updates: Receiver<()>,
    notify_sidecar_update: Sender<()>,
    /// Receives the requests that crash runners.
    pub crashes: Receiver<CrashEvent>,
    crash_changes: Sender<CrashEvent>,
    /// Receives a message when the store was restored from an older copy.
    pub store_restored: Receiver<()>,
    notify_store_restored: Sender<()>,
}

struct State {
    gateway: Gateway,
    waiting: HashMap<RequestKey, Sender<NextStep>>,
    next_key: u64,
}

impl Core {
    /// Creates the state of a gateway that knows nothing yet.
    pub fn new(
        options: GatewayOptions,
        clock: Clock,
        metrics: Rc<Metrics>,
        name: &str,
        reservations: Reservations,
        tables: Rc<Tables>,
    ) -> Self {
        let (notify_sidecar_update, sidecar_updates) = async_channel::bounded(1);
        let (crash_changes, crashes) = async_channel::unbounded();
        let (notify_store_restored, store_restored) = async_channel::bounded(1);
        let state = State { gateway: Gateway::new(options), waiting: HashMap::new(), next_key: 0 };
        Self {
            state: Rc::new(RefCell::new(state)),
            clock,
            metrics,
            name: name.into(),
            reservations,
            tables,
            stop: Rc::default(),
            sidecar_updates,
            notify_sidecar_update,
            crashes,
            crash_changes,
            store_restored,
            notify_store_restored,
        }
    }

    /// Records that the store was restored from an older copy, so that this gateway's rows are written again.
    pub fn record_store_restore(&self) {
        // One pending message is enough.
        let _ = self.notify_store_restored.try_send(());
    }

    /// Whether this gateway rewrites a row that the store may have lost. `REWRITING_GATEWAYS` of all gateways
    /// do, and every gateway that does not know the others.
    pub fn rewrites_row(&self, now: Millis, row: &str) -> bool {
        self.read(|gateway| {
            let members = gateway.members();
            let is_sure = members.certainty(now) == Certainty::Sure;
            !is_sure || members.responsible_count(now, row, REWRITING_GATEWAYS).is_some()
        })
    }

    /// Sends sidecars at once what operators wrote.
    pub fn notify_sidecars(&self) {
        // One pending message is enough.
        let _ = self.notify_sidecar_update.try_send(());
    }

    /// Passes an event to the reducer and its decisions to the tasks that wait for them.
    pub fn dispatch(&self, event: Event) {
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
                Effect::ReportHomeFaults(faults) => home_fault_log::log_home_faults(&faults),
                Effect::LogIncarnationChange(change) => {
                    log_incarnation_change(&self.metrics, &change)
                }
                Effect::Notice(change) => log_notice(&change),
                Effect::Crash(crash) => {
                    record_crash(&self.metrics, &crash);
                    if crash.is_own() {
                        self.notify_sidecars();
                    }
                    // The receiver exists until the process ends.
                    let _ = self.crash_changes.try_send(crash);
                }
                Effect::Evacuation(change) => {
                    record_evacuation(&self.metrics, &change);
                    self.notify_sidecars();
                }
            }
        }
    }

    /// Registers a request with the reducer.
    pub fn register_request(
        &self,
        create_arrival: impl FnOnce(RequestKey) -> Arrival,
    ) -> RequestHandle {
        let (sender, steps) = async_channel::bounded(1);
        let key = {
            let mut state = self.state.borrow_mut();
            state.next_key += 1;
            let key = RequestKey(state.next_key);
            state.waiting.insert(key, sender);
            key
        };
        self.dispatch(Event::Arrived(create_arrival(key)));
        RequestHandle { core: self.clone(), key, steps }
    }

    /// The configuration in force.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.state.borrow().gateway.catalog().cloned()
    }

    /// Reads the state of the reducer.
    pub fn read<T>(&self, read_state: impl FnOnce(&Gateway) -> T) -> T {
        read_state(&self.state.borrow().gateway)
    }
}

/// A request that is registered with the reducer. Dropping it deregisters the request.
pub struct RequestHandle {
    core: Core,
    /// The request.
    pub key: RequestKey,
    steps: Receiver<NextStep>,
}

impl RequestHandle {
    /// Waits for the next step of the request.
    pub async fn next_step(&self) -> Option<NextStep> {
        self.steps.recv().await.ok()
    }

    /// Discards a step that nobody has waited for.
    pub fn discard_step(&self) {
        // There is none in most cases.
        let _ = self.steps.try_recv();
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.core.state.borrow_mut().waiting.remove(&self.key);
        self.core.dispatch(Event::RequestEnded(self.key));
    }
}
