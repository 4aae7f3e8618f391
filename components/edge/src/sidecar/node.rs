//! A running sidecar.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use errors::Result;
use fleet::{AnnouncedVersion, Bitmap, InstanceId, Millis, Rate};
use gateway::IncarnationEvent;
use platform::store::{Change, Table};
use rand::seq::IteratorRandom;
use rollout::{ColdLimit, Effect, Event, RolloutOptions, GATEWAY_TIMEOUT_MS};
use settings::{BoundSettings, DeploymentSettings, SidecarSettings};
use telemetry::Metrics;
use uptime::Instant;

use super::core::Core;
use super::directory::{self, random_delay, DirectorySettings};
use super::runner::{self, Job};
use super::{fetches, peers};
use crate::caller::Callers;
use crate::caller_buffers::BufferLimits;
use crate::datagram_socket::DatagramSocket;
use crate::evacuated::EvacuatedHalls;
use crate::http_client::HttpClient;
use crate::incarnation_log::log_incarnation_change;
use crate::listing::{list, log_faults, Listing};
use crate::message::{weights_services, Datagram};
use crate::metrics::{record_evacuation, serve_metrics, StallDetector};
use crate::paging::Urgency;
use crate::server::listen;
use crate::spawner::Spawner;

/// The interval of listing the announced versions in a sidecar without a gateway.
const VERSIONS_INTERVAL: Duration = Duration::from_millis(30_000);
/// How often a sidecar checks whether it still has no gateway.
const ALONE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The most sidecars that are notified of an order, or asked for the last one.
const MAX_ORDER_PEERS: usize = 64;
/// How often the reducer receives a tick.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// The interval of progress lines of a version's chunks.
const PROGRESS_INTERVAL: Millis = Millis(500);
/// Capacity of the channel for parts of the sidecar list: several times as many as a large fleet has.
const PARTS_CAPACITY: usize = 64;
/// Limit of control messages while chunks are fetched, in bytes per second. Every sidecar that fetches chunks
/// should learn of a new one within a fraction of the time that a version takes.
const CONTROL_BYTES_PER_S: u64 = 40_000;

/// A sidecar. It has nothing to finish on a stop: the runner's work does not depend on it.
pub struct SidecarNode {
    core: Core,
}

impl SidecarNode {
    /// Starts a sidecar.
    pub async fn start(
        spawner: &Spawner,
        settings: &DeploymentSettings,
        sidecar: &SidecarSettings,
    ) -> Result<Self> {
        let listen_at = SocketAddr::new(settings.node.address, settings.node.first_port);
        let (effects, pending_effects) = async_channel::unbounded();
        let (jobs, pending_jobs) = async_channel::unbounded();
        let metrics = Rc::new(Metrics::start()?);
        let core = Core::new(
            options(settings),
            sidecar.clone(),
            settings.node.name.0.clone(),
            settings.node.first_port,
            metrics.clone(),
            effects,
            settings.bounds.retry_window_s * 1000,
        );
        let socket = DatagramSocket::bind(listen_at, metrics).await?;
        let listener = listen(listen_at).await?;
        spawner.detach(peers::serve(
            spawner.clone(),
            core.clone(),
            listener,
            settings.node.link_bytes_per_s,
        ));
        let (sidecars, parts) = async_channel::bounded(PARTS_CAPACITY);
        spawner.detach(peers::receive_datagrams(core.clone(), socket.clone(), sidecars));
        spawner.detach(runner::run_jobs(core.clone(), pending_jobs));
        spawner.detach(runner::poll_reports(core.clone(), socket.clone()));
        spawner.detach(execute_effects(
            spawner.clone(),
            core.clone(),
            pending_effects,
            jobs,
            socket.clone(),
        ));
        spawner.detach(follow_versions(core.clone(), settings.store.address));
        spawner.detach(find_plan(core.clone(), settings.store.address));
        let directory = DirectorySettings::new(settings);
        spawner.detach(directory::follow(core.clone(), socket.clone(), parts, directory));
        spawner.detach(ask_who_ordered(core.clone(), socket.clone()));
        serve_sidecar_metrics(spawner, settings, &core).await?;
        spawner.detach(tick(core.clone()));
        Ok(Self { core })
    }

    /// The metrics of this process.
    pub fn metrics(&self) -> &Metrics {
        &self.core.metrics
    }

    /// Applies changed settings.
    pub fn apply(&self, settings: &DeploymentSettings) {
        let bounds = &settings.bounds;
        self.core.gateways.borrow_mut().set_window(bounds.retry_window_s * 1000);
        self.core.dispatch(Event::DeadlinesChanged {
            version_ms: bounds.version_ms,
            evacuate_ms: bounds.evacuation_limit_ms(),
        });
        self.core.dispatch(Event::ColdLimitChanged(cold_limit(bounds)));
    }
}

fn options(settings: &DeploymentSettings) -> RolloutOptions {
    RolloutOptions {
        me: InstanceId(settings.node.address.to_string()),
        place: settings.node.place.clone(),
        link_bytes_per_s: settings.node.link_bytes_per_s,
        control_bytes_per_s: CONTROL_BYTES_PER_S,
        version_ms: settings.bounds.version_ms,
        evacuate_ms: settings.bounds.evacuation_limit_ms(),
        cold: cold_limit(&settings.bounds),
        ablation: settings.ablation.clone(),
    }
}

fn cold_limit(bounds: &BoundSettings) -> Option<ColdLimit> {
    bounds.cold.map(|it| ColdLimit { overrun: it.overrun, slack: it.slack })
}

/// Executes effects for as long as the task runs.
async fn execute_effects(
    spawner: Spawner,
    core: Core,
    effects: Receiver<Effect>,
    jobs: Sender<Job>,
    socket: DatagramSocket,
) {
    while let Ok(effect) = effects.recv().await {
        match effect {
            Effect::FetchManifest(version, source) => {
                spawner.detach(fetches::fetch_manifest(core.clone(), version, source));
            }
            Effect::FetchChunk(version, fetch) => {
                spawner.detach(fetches::fetch_chunk(core.clone(), version, fetch));
            }
            Effect::Summarize { to, version, have } => {
                let (from, place) = (core.me.clone(), core.place.clone());
                socket.send(to, &Datagram::Summary { from, place, version, have }).await;
            }
            Effect::Answer(reservation, reply) => {
                peers::send_reply(&core, &socket, reservation, reply).await;
            }
            Effect::LogIncarnationChange(change, reported) => {
                let event = IncarnationEvent {
                    runner: core.me.clone(),
                    change,
                    reported,
                    known_born: None,
                };
                log_incarnation_change(&core.metrics, &event);
            }
            Effect::LogLimitChange(rate) => {
                let per_s = rate.map(Rate::per_s);
                log::info!(per_s = per_s; "rate limit of the runner");
            }
            Effect::Evacuation(change) => {
                record_evacuation(&core.metrics, &change);
                core.request_runner_report();
            }
            Effect::ReadStoredChunks(version) => queue_job(&jobs, Job::Find(version)),
            Effect::Stage(version) => queue_job(&jobs, Job::Stage(version)),
            Effect::Retire { version, sequence } => {
                spawner.detach(runner::retire(core.clone(), version, sequence));
                notify_of_order(&core, &socket).await;
            }
            Effect::Order(order) => {
                notify_of_order(&core, &socket).await;
                queue_job(&jobs, Job::Order(order));
            }
        }
    }
}

/// The other sidecars, or a random sample of them if there are many: if all of them were notified of all
/// orders, the links would be congested during a rollout. Since each sample is random, every sidecar still
/// learns of many orders.
fn sample_peers(core: &Core) -> Vec<SocketAddr> {
    let peers = core.rollout.borrow().peer_addresses();
    peers.into_iter().choose_multiple(&mut rand::rng(), MAX_ORDER_PEERS)
}

/// Notifies other sidecars that this one sends its runner an order.
async fn notify_of_order(core: &Core, socket: &DatagramSocket) {
    for peer in sample_peers(core) {
        socket.send(peer, &Datagram::Ordered).await;
    }
}

/// Asks other sidecars, as soon as they are known, whether this one sent the last order of all, which a
/// restarted process does not know.
async fn ask_who_ordered(core: Core, socket: DatagramSocket) {
    while core.rollout.borrow().peer_addresses().is_empty() {
        Timer::after(TICK_INTERVAL).await;
    }
    for peer in sample_peers(&core) {
        socket.send(peer, &Datagram::WhoOrdered).await;
    }
}

fn queue_job(jobs: &Sender<Job>, job: Job) {
    let _ = jobs.try_send(job);
}

/// Waits until no gateway is subscribed and the directory has given up asking for one.
async fn wait_until_alone(core: &Core) {
    while !core.subscribers().is_empty() || !core.is_alone.get() {
        Timer::after(ALONE_CHECK_INTERVAL).await;
    }
}

/// Reads the announced versions from the store while no gateway reports them.
async fn follow_versions(core: Core, store: SocketAddr) {
    let mut client = HttpClient::new(store);
    loop {
        wait_until_alone(&core).await;
        match list(&mut client, Table::Versions, &core.era, &core.metrics, Urgency::Background)
            .await
        {
            Ok(listing) => {
                log_faults(Table::Versions, &listing.faults);
                record_listed_versions(&core, listing.changes);
                Timer::after(VERSIONS_INTERVAL).await;
            }
            Err(error) => {
                let reason = error.to_string();
                log::warn!(reason = reason.as_str(); "named versions cannot be read");
                Timer::after(Duration::from_millis(GATEWAY_TIMEOUT_MS)).await;
            }
        }
    }
}

fn record_listed_versions(core: &Core, changes: Vec<Change>) {
    for change in changes {
        if let Change::Version { model, version, .. } = change {
            // A row does not contain the time at which it was written.
            core.record_versions(&[AnnouncedVersion {
                model,
                version,
                age_ms: None,
                after_ms: None,
            }]);
        }
    }
    core.dispatch(Event::VersionsKnown);
}

/// Reads the configuration's weights settings and the evacuated halls from the store if no gateway reports
/// them. The configuration may be large, and the machine's link is narrow.
async fn find_plan(core: Core, store: SocketAddr) {
    let mut client = HttpClient::new(store);
    loop {
        Timer::after(Duration::from_millis(GATEWAY_TIMEOUT_MS) + random_delay()).await;
        if core.rollout.borrow().plan().is_some() {
            return;
        }
        if !core.is_alone.get() {
            continue;
        }
        match list(&mut client, Table::Operator, &core.era, &core.metrics, Urgency::Background)
            .await
        {
            Ok(listing) => apply_operator_table(&core, listing),
            Err(error) => {
                let reason = error.to_string();
                log::warn!(reason = reason.as_str(); "configuration cannot be read");
            }
        }
    }
}

fn apply_operator_table(core: &Core, listing: Listing) {
    let Listing { position, changes, faults, .. } = listing;
    log_faults(Table::Operator, &faults);
    // Evacuations are applied before the runner's service is known: no slot is granted until then, and none
    // in an evacuated hall afterwards.
    let evacuated = EvacuatedHalls::default().apply_listing(Instant::now(), position, &changes);
    core.dispatch(Event::Evacuations(evacuated));
    for change in changes {
        if let Change::Configuration(catalog) = change {
            core.apply_services(&weights_services(&catalog));
        }
    }
}

/// Serves the metrics page with the sidecar's current state.
async fn serve_sidecar_metrics(
    spawner: &Spawner,
    settings: &DeploymentSettings,
    core: &Core,
) -> Result<()> {
    let address = SocketAddr::new(settings.node.address, settings.node.last_port);
    let bounds = BufferLimits::from_memory_mb(settings.node.memory_mb);
    let callers = Callers::new(bounds, core.clock, core.metrics.clone(), Rc::default());
    let (metrics, core) = (core.metrics.clone(), core.clone());
    let refresh = move || {
        let rollout = core.rollout.borrow();
        let held = rollout.status().and_then(|it| it.version).unwrap_or(0);
        core.metrics.set_gauge("version_wanted", rollout.target_version().unwrap_or(0));
        core.metrics.set_gauge("version_held", held);
        core.metrics.set_gauge("sidecars_known", rollout.peer_addresses().len() as u64);
        core.metrics.set_gauge("halls_evacuated", rollout.evacuations().len() as u64);
        core.metrics.set_gauge("runner_cold_ms", rollout.cold().left_ms(core.clock.now()));
        let (suspects, quarantined) = core.crashes.borrow().count();
        core.metrics.set_gauge("requests_suspected", suspects as u64);
        core.metrics.set_gauge("requests_quarantined", quarantined as u64);
        core.metrics.set_gauge("places_taken", u64::from(rollout.slots().used()));
    };
    serve_metrics(spawner, address, metrics, callers, refresh).await
}

async fn tick(core: Core) {
    let mut progress = Progress::default();
    let mut was_cold = false;
    let mut stall_detector = StallDetector::start();
    loop {
        Timer::after(TICK_INTERVAL).await;
        if stall_detector.check(&core.metrics) {
            core.dispatch(Event::Resumed);
        }
        core.dispatch(Event::Tick);
        core.close_idle_clients();
        core.crashes.borrow_mut().forget_old(core.clock.now());
        progress.log(&core);
        log_warmth(&core, &mut was_cold);
    }
}

/// Logs that the runner has turned cold or warm.
fn log_warmth(core: &Core, was_cold: &mut bool) {
    let now = core.clock.now();
    let rollout = core.rollout.borrow();
    let left_ms = rollout.cold().left_ms(now);
    let is_cold = left_ms > 0;
    if is_cold != *was_cold {
        *was_cold = is_cold;
        let assumed = rollout.cold().is_only_assumed_cold(now);
        let gateways = core.gateways.borrow().count(now);
        log::info!(cold = is_cold, left_ms = left_ms, assumed = assumed, gateways = gateways; "warmth");
    }
}

/// The last progress line of each version that is being fetched.
#[derive(Default)]
struct Progress {
    logged: BTreeMap<u64, LoggedProgress>,
}

/// The last progress line of one version.
#[derive(Clone, Copy, Default)]
struct LoggedProgress {
    chunks: u32,
    at: Millis,
}

impl Progress {
    /// Logs the number of stored chunks at intervals and when the last one has arrived.
    fn log(&mut self, core: &Core) {
        let now = core.clock.now();
        let fetching = core.fetching();
        self.logged.retain(|version, _| fetching.iter().any(|(it, _)| it == version));
        for (version, have) in fetching {
            let logged = self.logged.get(&version).copied();
            let is_changed = logged.is_none_or(|it| it.chunks != have.count());
            let is_due = logged.is_none_or(|it| now.since(it.at) >= PROGRESS_INTERVAL);
            if !is_changed || !(is_due || have.is_full()) {
                continue;
            }
            self.logged.insert(version, LoggedProgress { chunks: have.count(), at: now });
            log_progress(core, version, &have);
        }
    }
}

/// Logs the number of stored chunks of a version, and the outcomes of fetches since the last such line.
fn log_progress(core: &Core, version: u64, have: &Bitmap) {
    let fetches = core.fetch_counts.take();
    let fetches: Vec<String> =
        fetches.iter().map(|(name, count)| format!("{name}={count}")).collect();
    let fetches = fetches.join(" ");
    log::info!(version = version, chunks = have.count(), of = have.capacity(), draws = fetches.as_str(); "chunks");
}
