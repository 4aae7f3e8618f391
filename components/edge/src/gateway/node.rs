//! A running gateway.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use errors::{Code, Result};
use gateway::{ColdBounds, Event, GatewayOptions, Limits};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use platform::store::Table;
use settings::DeploymentSettings;
use telemetry::Metrics;

use super::answer::{error_answer, full_body, AnswerBody};
use super::core::Core;
use super::follow_table::{feed_spacing, follow_table, store_timeouts};
use super::quarantine_record;
use super::readers::{maintain_readers_row, HallReaders};
use super::request;
use super::reservations::Reservations;
use super::sidecar_datagrams::exchange_datagrams;
use super::state_log;
use super::stop::{Accepting, Stop};
use super::table_server;
use super::table_state::Tables;
use crate::caller::{Callers, ServerName};
use crate::caller_buffers::BufferLimits;
use crate::clock::Clock;
use crate::datagram_socket::DatagramSocket;
use crate::era::Era;
use crate::idle_timer::IdleTimeout;
use crate::metrics::{serve_metrics, StallDetector};
use crate::server::{listen, serve, serve_until, ServerOptions};
use crate::spawner::Spawner;

/// How often the reducer receives a tick.
const TICK_INTERVAL: Duration = Duration::from_millis(15);
/// How long a connection of the platform or of another gateway may be idle.
const INTERNAL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A gateway.
pub struct GatewayNode {
    core: Core,
    grace: Cell<Duration>,
    stopping: Rc<Cell<bool>>,
    open_connections: Rc<Cell<usize>>,
    callers: Callers,
    accepting: RefCell<Option<Accepting>>,
}

impl GatewayNode {
    /// Starts a gateway.
    pub async fn start(spawner: &Spawner, settings: &DeploymentSettings) -> Result<Self> {
        let metrics = Rc::new(Metrics::start()?);
        let port = settings.node.first_port;
        let socket =
            DatagramSocket::bind(SocketAddr::new(settings.node.address, port), metrics.clone())
                .await?;
        let reservations = Reservations::new(socket.clone(), port);
        let timeouts = store_timeouts(&settings.bounds);
        let gap = |table| timeouts.max_answer_gap(feed_spacing(&settings.bounds, table));
        let tables = Rc::new(Tables::new(gap, Era::new(metrics.clone())));
        let core = Core::new(
            options(settings),
            Clock::start(),
            metrics,
            &settings.node.name.0,
            reservations,
            tables.clone(),
        );
        let bounds = BufferLimits::from_memory_mb(settings.node.memory_mb);
        let callers = Callers::new(bounds, core.clock, core.metrics.clone(), core.stop.clone());
        let node = Self {
            core: core.clone(),
            grace: Cell::new(Duration::from_secs(settings.bounds.grace_s)),
            stopping: Rc::default(),
            open_connections: Rc::default(),
            callers: callers.clone(),
            accepting: RefCell::default(),
        };
        let has_read_quarantine: Rc<Cell<bool>> = Rc::default();
        let store = settings.store.address;
        spawner.detach(quarantine_record::maintain(
            core.clone(),
            store,
            core.crashes.clone(),
            has_read_quarantine.clone(),
        ));
        let is_ready = move || tables.are_complete() && has_read_quarantine.get();
        node.serve_readiness(spawner, settings, is_ready).await?;
        let era = core.tables.era.clone();
        let readers = HallReaders::new(settings, core.clock, era, core.metrics.clone());
        node.serve_tables(spawner, settings, &readers).await?;
        spawner.detach(maintain_readers_row(
            readers.clone(),
            store,
            settings.node.place.hall.clone(),
        ));
        follow_table(spawner, settings, &core, &readers, Table::Operator);
        follow_table(spawner, settings, &core, &readers, Table::Runners);
        exchange_datagrams(spawner, &core, socket, port);
        serve_gateway_metrics(spawner, settings, &core, callers).await?;
        spawner.detach(tick(core.clone()));
        spawner.detach(state_log::log_state(core.clone()));
        node.serve_callers(spawner, settings).await?;
        Ok(node)
    }

    async fn serve_callers(&self, spawner: &Spawner, settings: &DeploymentSettings) -> Result<()> {
        let Some(gateway) = settings.gateway() else {
            return Ok(());
        };
        let listener = listen(gateway.callers).await?;
        let configured = self.core.clone();
        let options = ServerOptions {
            name: ServerName::Callers,
            idle_timeout: IdleTimeout::new(move || idle_timeout(&configured)),
            open_connections: self.open_connections.clone(),
            callers: self.callers.clone(),
        };
        let core = self.core.clone();
        let handler = move |request, caller| request::answer(core.clone(), caller, request);
        let (closing, close) = async_channel::bounded(1);
        let accepting = serve_until(close, spawner.clone(), listener, options, handler);
        let task = spawner.spawn(accepting);
        *self.accepting.borrow_mut() = Some(Accepting { closing, task });
        Ok(())
    }

    async fn serve_readiness(
        &self,
        spawner: &Spawner,
        settings: &DeploymentSettings,
        is_ready: impl Fn() -> bool + Clone + 'static,
    ) -> Result<()> {
        let Some(gateway) = settings.gateway() else {
            return Ok(());
        };
        let listener = listen(gateway.readiness).await?;
        let options = ServerOptions {
            name: ServerName::Readiness,
            idle_timeout: IdleTimeout::fixed(INTERNAL_IDLE_TIMEOUT),
            open_connections: Rc::default(),
            callers: self.callers.clone(),
        };
        let stopping = self.stopping.clone();
        let handler = move |request: Request<Incoming>, _| {
            let ready = is_ready() && !stopping.get();
            std::future::ready(readiness(&request, ready))
        };
        spawner.detach(serve(spawner.clone(), listener, options, handler));
        Ok(())
    }

    /// Serves the store's tables to other gateways.
    async fn serve_tables(
        &self,
        spawner: &Spawner,
        settings: &DeploymentSettings,
        readers: &HallReaders,
    ) -> Result<()> {
        let address = SocketAddr::new(settings.node.address, settings.node.first_port);
        let listener = listen(address).await?;
        let options = ServerOptions {
            name: ServerName::Tables,
            idle_timeout: IdleTimeout::fixed(INTERNAL_IDLE_TIMEOUT),
            open_connections: Rc::default(),
            callers: self.callers.clone(),
        };
        let readers = readers.clone();
        let handler = move |request, _| table_server::answer(readers.clone(), request);
        spawner.detach(serve(spawner.clone(), listener, options, handler));
        Ok(())
    }

    /// The metrics of this process.
    pub fn metrics(&self) -> &Metrics {
        &self.core.metrics
    }

    /// Applies changed settings.
    pub fn apply(&self, settings: &DeploymentSettings) {
        self.grace.set(Duration::from_secs(settings.bounds.grace_s));
        self.core.dispatch(Event::OptionsChanged(options(settings)));
    }

    /// Stops without interrupting requests: reports that it is not ready, continues until the platform has
    /// detected that, and ends when no request is in progress.
    pub async fn stop(&self) {
        self.stopping.set(true);
        let accepting = self.accepting.borrow_mut().take();
        let stop = Stop {
            state: self.core.stop.clone(),
            clock: self.core.clock,
            callers: self.callers.clone(),
            open_connections: self.open_connections.clone(),
        };
        stop.run(self.grace.get(), accepting).await;
    }
}

/// How long a caller's connection may be idle, by the configuration in force.
fn idle_timeout(core: &Core) -> Duration {
    let limits = core.catalog().map_or_else(Limits::default, |it| it.limits);
    Duration::from_millis(limits.idle_timeout_ms)
}

fn options(settings: &DeploymentSettings) -> GatewayOptions {
    GatewayOptions {
        name: settings.node.name.clone(),
        hall: settings.node.place.hall.clone(),
        halls: settings.node.halls.clone(),
        budget_window_ms: settings.bounds.retry_window_s * 1000,
        budget_ratio: settings.bounds.retry_ratio,
        budget_allowance: settings.bounds.retry_allowance,
        version_ms: settings.bounds.version_ms,
        evacuate_ms: settings.bounds.evacuation_limit_ms(),
        cold: settings.bounds.cold.map(|it| ColdBounds { overrun: it.overrun, slack: it.slack }),
        ablation: settings.ablation.clone(),
    }
}

fn readiness(request: &Request<Incoming>, ready: bool) -> Response<AnswerBody> {
    if request.uri().path() != platform::READINESS_PATH {
        return error_answer(StatusCode::NOT_FOUND, None, Code::UnknownTarget);
    }
    if !ready {
        return error_answer(StatusCode::SERVICE_UNAVAILABLE, None, Code::NotReady);
    }
    Response::new(full_body("ready\n"))
}

/// Serves the metrics page with the gateway's current state.
async fn serve_gateway_metrics(
    spawner: &Spawner,
    settings: &DeploymentSettings,
    core: &Core,
    callers: Callers,
) -> Result<()> {
    let address = SocketAddr::new(settings.node.address, settings.node.last_port);
    let (metrics, core) = (core.metrics.clone(), core.clone());
    let metric_callers = callers.clone();
    let refresh = move || {
        let (under_way, waiting) = core.read(|gateway| gateway.load());
        let runners = core.read(|gateway| gateway.pool().len());
        let configuration = core.catalog().map_or(0, |it| it.version);
        core.metrics.set_gauge("caller_bytes_kept", metric_callers.buffered_bytes() as u64);
        core.metrics.set_gauge("requests_under_way", under_way as u64);
        core.metrics.set_gauge("requests_waiting", waiting as u64);
        core.metrics.set_gauge("runners_listed", runners as u64);
        let without_start_time = core.read(|gateway| gateway.pool().count_without_start_time());
        core.metrics.set_gauge("runners_without_birth", without_start_time as u64);
        let now = core.clock.now();
        let (cold, responsible) = core.read(|it| it.cold_runners(now));
        let evacuated = core.read(|gateway| gateway.pool().evacuations.len());
        let silent = core.read(|gateway| gateway.pool().silent.count(now));
        core.metrics.set_gauge("halls_silent", silent as u64);
        let (suspects, quarantined) = core.read(|gateway| gateway.crash_counts());
        let limited = core.read(|gateway| gateway.pool().count_limited());
        core.metrics.set_gauge("runners_limited", limited as u64);
        core.metrics.set_gauge("requests_suspected", suspects as u64);
        core.metrics.set_gauge("requests_quarantined", quarantined as u64);
        core.metrics.set_gauge("configuration", configuration);
        core.metrics.set_gauge("tight_homes", core.read(|it| it.tight_homes(now)) as u64);
        core.metrics.set_gauge("home_faults", core.read(|it| it.home_faults().len()) as u64);
        core.metrics.set_gauge("halls_evacuated", evacuated as u64);
        core.metrics.set_gauge("gateways_known", core.read(|it| it.members().count(now)) as u64);
        core.metrics.set_gauge("cold_plain_runners", cold as u64);
        core.metrics.set_gauge("cold_plain_runners_own", responsible as u64);
        for (age, wait, table) in [
            ("operator_table_age_ms", "operator_table_first_wait_ms", &core.tables.operator),
            ("runner_table_age_ms", "runner_table_first_wait_ms", &core.tables.runners),
        ] {
            core.metrics.set_gauge(wait, table.first_complete_wait_ms());
            // Absent until the first answer of the store: zero would look current.
            if let Some(age_ms) = table.age_ms() {
                core.metrics.set_gauge(age, age_ms);
            }
        }
    };
    serve_metrics(spawner, address, metrics, callers, refresh).await
}

async fn tick(core: Core) {
    let mut stall_detector = StallDetector::start();
    loop {
        Timer::after(TICK_INTERVAL).await;
        if stall_detector.check(&core.metrics) {
            core.dispatch(Event::Resumed);
            core.tables.era.notify_all();
        }
        core.dispatch(Event::Tick);
    }
}
