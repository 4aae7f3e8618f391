//! The reducer of a sidecar, with the chunks that it holds.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use fleet::{
    AnnouncedVersion, Announcement, Announcements, Bitmap, EvacuationList, InstanceId, Location,
    Millis, ModelName,
};
use gateway::{KnownGateways, KnownLimits, RunnerLoad};
use quarantine::{CrashLedger, CrashList, ListScope};
use rand::seq::IteratorRandom;
use rollout::{Effect, Event, Rollout, RolloutOptions};
use settings::SidecarSettings;
use telemetry::{record_crash_change, Metrics};
use uptime::Instant;

use super::chunk_store::ChunkStore;
use super::peer_connections::IdleConnections;
use crate::clock::Clock;
use crate::era::Era;
use crate::http_client::HttpClient;
use crate::message::WeightsService;
use crate::store_time::StoreTime;

/// How long a connection to the origin may be idle between two chunks.
const ORIGIN_MAX_IDLE_TIME: Duration = Duration::from_millis(150);

/// Versions that are remembered for each model. Few of them are still relevant.
const MAX_VERSIONS: usize = 8;
/// The smallest change of a version's age that is logged, in milliseconds.
const MIN_LOGGED_CHANGE_MS: u64 = 20;

/// A gateway that subscribed to reports.
#[derive(Clone, Copy, Debug)]
pub struct Subscription {
    /// Whether the gateway is in this data hall.
    pub is_same_hall: bool,
    /// When the subscription expires.
    pub expires_at: Millis,
}

/// A sidecar's state, shared by the tasks of its process.
#[derive(Clone)]
pub struct Core {
    /// The reducer.
    pub rollout: Rc<RefCell<Rollout>>,
    /// The chunks.
    pub chunks: Rc<RefCell<ChunkStore>>,
    /// The versions that were announced for each model.
    pub announced_versions: Rc<RefCell<BTreeMap<ModelName, Announcements>>>,
    /// The gateways that subscribed to reports.
    pub subscribers: Rc<RefCell<BTreeMap<SocketAddr, Subscription>>>,
    /// The gateways that were received from lately.
    pub gateways: Rc<RefCell<KnownGateways>>,
    /// Requests that crashed runners, as gateways report.
    pub crashes: Rc<RefCell<CrashLedger>>,
    /// Rate limits of other runners, as gateways report.
    pub limits: Rc<RefCell<KnownLimits>>,
    /// The load that the runner last reported.
    pub load: Rc<RefCell<Option<RunnerLoad>>>,
    /// The address of the origin of weights.
    pub origin: Rc<RefCell<Option<SocketAddr>>>,
    /// The number of chunk fetches since the last progress line of the log, by outcome.
    pub fetch_counts: Rc<RefCell<BTreeMap<&'static str, u32>>>,
    /// Idle connections to the origin.
    pub origin_clients: Rc<RefCell<Vec<HttpClient>>>,
    /// Idle connections to other sidecars.
    pub idle_connections: Rc<RefCell<IdleConnections>>,
    /// The number of layers of the model.
    pub layers: Rc<RefCell<u32>>,
    /// The port on which sidecars listen for each other.
    pub port: u16,
    /// The name of this sidecar among the others.
    pub me: InstanceId,
    /// The name of this process in logs.
    pub name: String,
    /// The location of this sidecar.
    pub place: Location,
    /// The settings of the sidecar and its runner.
    pub settings: SidecarSettings,
    /// Whether no gateway of this data hall answers, so that the store has to be read.
    pub is_alone: Rc<Cell<bool>>,
    /// The store's era.
    pub era: Rc<Era>,
    /// The store's clock, as gateways report it.
    pub time: Rc<RefCell<StoreTime>>,
    /// The process's clock.
    pub clock: Clock,
    /// Counters.
    pub metrics: Rc<Metrics>,
    /// The sidecar that sent the last known order.
    pub last_orderer: Rc<Cell<Option<SocketAddr>>>,
    /// Receives a message when a request starts to wait for a slot.
    pub report_requested: Receiver<()>,
    request_report: Sender<()>,
    /// Receives a message when a version is announced: the sidecars that are present determine which one
    /// fetches which chunk.
    pub list_requested: Receiver<()>,
    request_list: Sender<()>,
    effects: Sender<Effect>,
}

impl Core {
    /// Creates the state of a sidecar that knows nothing yet. Effects are sent to the given channel.
    pub fn new(
        options: RolloutOptions,
        settings: SidecarSettings,
        name: String,
        port: u16,
        metrics: Rc<Metrics>,
        effects: Sender<Effect>,
        retry_window_ms: u64,
    ) -> Self {
        let (request_report, report_requested) = async_channel::bounded(1);
        let (request_list, list_requested) = async_channel::bounded(1);
        Self {
            report_requested,
            request_report,
            list_requested,
            request_list,
            last_orderer: Rc::default(),
            me: options.me.clone(),
            place: options.place.clone(),
            rollout: Rc::new(RefCell::new(Rollout::new(options))),
            chunks: Rc::default(),
            announced_versions: Rc::default(),
            subscribers: Rc::default(),
            gateways: Rc::new(RefCell::new(KnownGateways::new(retry_window_ms))),
            crashes: Rc::default(),
            limits: Rc::default(),
            load: Rc::default(),
            origin: Rc::default(),
            fetch_counts: Rc::default(),
            origin_clients: Rc::default(),
            idle_connections: Rc::default(),
            layers: Rc::default(),
            is_alone: Rc::default(),
            era: Rc::new(Era::new(metrics.clone())),
            time: Rc::default(),
            settings,
            name,
            port,
            clock: Clock::start(),
            metrics,
            effects,
        }
    }

    /// The stored chunks of a version.
    pub fn stored_chunks(&self, version: u64) -> Bitmap {
        self.rollout.borrow().held_chunks(version).cloned().unwrap_or_default()
    }

    /// The versions whose chunks are being fetched, oldest first, with their stored chunks.
    pub fn fetching(&self) -> Vec<(u64, Bitmap)> {
        let rollout = self.rollout.borrow();
        rollout.fetching().map(|(version, chunks)| (version, chunks.clone())).collect()
    }

    /// Applies what a configuration says about the weights of this runner's service.
    pub fn apply_services(&self, services: &[WeightsService]) {
        let own = services.iter().find(|it| it.service == self.settings.service);
        let Some(WeightsService { origin, layers, plan, .. }) = own else {
            return;
        };
        *self.origin.borrow_mut() = Some(*origin);
        *self.layers.borrow_mut() = *layers;
        if self.rollout.borrow().plan() != Some(plan) {
            self.dispatch(Event::Configured(plan.clone()));
            self.record_versions(&[]);
        }
    }

    /// Sets the ages of versions in a gateway's report by the store's clock. `clock_ms` is the clock's value
    /// in the same report.
    pub fn set_version_ages(
        &self,
        clock_ms: Option<u64>,
        mut announced: Vec<AnnouncedVersion>,
    ) -> Vec<AnnouncedVersion> {
        let now = Instant::now();
        let mut time = self.time.borrow_mut();
        clock_ms.into_iter().for_each(|it| time.record_report(now, it));
        time.set_ages(now, &mut announced);
        announced
    }

    /// Records announced versions of any model. They are kept until the configuration says which model the
    /// runner has.
    pub fn record_versions(&self, announced: &[AnnouncedVersion]) {
        let now = self.clock.now();
        for it in announced {
            let mut announcements = self.announced_versions.borrow_mut();
            let announcements = announcements.entry(it.model.clone()).or_default();
            let previous = announcements.get(it.version);
            announcements.add(Announcement::received_at(now, it));
            log_version(&it.model, now, previous, announcements.get(it.version));
            announcements.keep_newest(MAX_VERSIONS);
        }
        let model = self.rollout.borrow().plan().map(|it| it.model.clone());
        let own = model
            .and_then(|it| self.announced_versions.borrow().get(&it).cloned())
            .unwrap_or_default();
        let newest = own.newest().map_or(0, |it| it.version);
        if self.rollout.borrow().newest_announced() < newest {
            // One pending message is enough.
            let _ = self.request_list.try_send(());
        }
        let is_in_report = |it: &Announcement| {
            announced.is_empty() || announced.iter().any(|reported| reported.version == it.version)
        };
        for Announcement { version, at, known, after_ms } in own.all().filter(is_in_report) {
            self.dispatch(Event::Announced {
                version,
                announced_at: known.then_some(at),
                after_ms,
            });
        }
    }

    /// The announced version that a load report carries. It has room for one, so a random relevant version is
    /// chosen: a receiver of several reports receives all of them.
    fn version_to_report(&self) -> Option<AnnouncedVersion> {
        let announced = self.rollout.borrow().announced_versions(self.clock.now());
        announced.into_iter().choose(&mut rand::rng())
    }

    /// The current load of the runner for gateways: it includes the slots granted since the runner's last
    /// report, and it is busy if the runner takes nothing new.
    pub fn current_load(&self) -> Option<RunnerLoad> {
        let mut load = self.load.borrow().clone()?;
        let rollout = self.rollout.borrow();
        load.running = rollout.slots().used();
        load.reading_ms = rollout.slots().prompt_backlog_ms(self.clock.now()) as u32;
        load.waiting = rollout.queued_requests() as u32;
        // The next slot of a runner that is cold or rate-limited is as far away as if the runner were still
        // reading prompts.
        load.reading_ms = load.reading_ms.max(rollout.slot_in_ms(self.clock.now()));
        load.busy |= rollout.is_leaving(self.clock.now());
        load.busy |= rollout.is_evacuated(self.clock.now());
        load.busy |= rollout.runner_leaves();
        load.serves_in_ms = rollout.serves_in_ms(self.clock.now());
        load.named = self.version_to_report();
        Some(load)
    }

    /// The evacuated data halls, for reports to gateways.
    pub fn evacuations(&self) -> EvacuationList {
        self.rollout.borrow().evacuations().list(self.clock.now())
    }

    /// Applies a gateway's report of requests that crashed runners.
    pub fn apply_crashes(&self, list: &CrashList) {
        for change in self.crashes.borrow_mut().merge(self.clock.now(), list) {
            record_crash_change(&self.metrics, &change, false);
        }
    }

    /// The report of such requests to gateways.
    pub fn crash_list(&self, part: ListScope) -> CrashList {
        self.crashes.borrow().list(self.clock.now(), part, 0)
    }

    /// The gateways with a current subscription.
    pub fn subscribers(&self) -> Vec<SocketAddr> {
        self.subscribers_where(|_| true)
    }

    /// The gateways in this data hall with a current subscription.
    pub fn same_hall_subscribers(&self) -> Vec<SocketAddr> {
        self.subscribers_where(|it| it.is_same_hall)
    }

    fn subscribers_where(&self, wanted: impl Fn(&Subscription) -> bool) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.retain(|_, it| it.expires_at > now);
        let chosen = subscribers.iter().filter(|(_, it)| wanted(it));
        chosen.map(|(address, _)| *address).collect()
    }

    /// Requests a new report of the runner because a request waits for a slot.
    pub fn request_runner_report(&self) {
        // One pending message is enough.
        let _ = self.request_report.try_send(());
    }

    /// Counts the outcome of a chunk fetch.
    pub fn count_fetch(&self, outcome: &'static str) {
        self.metrics.count_chunk(outcome);
        *self.fetch_counts.borrow_mut().entry(outcome).or_default() += 1;
    }

    /// Closes idle connections to the origin, which accepts few connections from all sidecars together.
    pub fn close_idle_clients(&self) {
        let mut clients = self.origin_clients.borrow_mut();
        clients.iter_mut().for_each(|it| it.close_if_idle(ORIGIN_MAX_IDLE_TIME));
        clients.retain(HttpClient::is_connected);
    }

    /// Passes an event to the reducer and its effects to the task that executes them.
    pub fn dispatch(&self, event: Event) {
        let effects = self.rollout.borrow_mut().reduce(self.clock.now(), event);
        for effect in effects {
            let _ = self.effects.try_send(effect);
        }
    }
}

/// Logs the naming time of a version if it has changed by more than the jitter of reports.
fn log_version(
    model: &ModelName,
    now: Millis,
    previous: Option<Announcement>,
    current: Option<Announcement>,
) {
    let Some(Announcement { version, at, known, after_ms }) = current else {
        return;
    };
    let is_same = |it: Announcement| {
        it.known == known
            && it.after_ms == after_ms
            && it.at.0.abs_diff(at.0) < MIN_LOGGED_CHANGE_MS
    };
    if previous.is_some_and(is_same) {
        return;
    }
    let age_ms = now.since(at).0;
    log::info!(model = model.0.as_str(), version = version, age_ms = age_ms, known = known, after_ms = after_ms; "version heard of");
}
