//! A running gateway.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::Timer;
use errors::{Code, Result};
use fleet::NamedVersion;
use gateway::{Event, GatewayOptions};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use platform::store::{Change, Table};
use settings::{BoundSettings, DeploymentSettings};
use telemetry::Metrics;

use super::answer::{own_answer, whole_body, AnswerBody};
use super::core::Core;
use super::directory;
use super::request;
use super::reservations::Reservations;
use super::state_log;
use super::tables::Tables;
use crate::clock::Clock;
use crate::exchange::within;
use crate::message::{weights_services, Datagram};
use crate::metrics::serve_metrics;
use crate::news::News;
use crate::patience::Patience;
use crate::server::{listen, serve, ServerOptions};
use crate::spawner::Spawner;
use crate::watch::{watch, Seen, WatchOptions};

/// The shortest time between the first two feeds of a table, when a fleet that starts appears in it.
const FIRST_SPACING: Duration = Duration::from_millis(60);
/// How many feeds of what operators write fit into the time within which a configuration is in force. A
/// change after a calm is fed at once; only changes in quick succession are taken together. Each call has
/// its price, for every gateway: 250 of 680 in a small play of mizani-tips-large came from one such series.
const FEEDS_PER_CONFIGURATION: u32 = 8;
/// How many feeds of the runners fit into the time within which a leaving runner gets nothing new. While
/// versions move some entry changes all the time: with 300 ms between feeds this made 990 of 2400 calls
/// there.
const FEEDS_PER_DRAIN: u32 = 4;
/// How often the reducer is told of the time.
const TICK: Duration = Duration::from_millis(15);
/// How often sidecars are asked for reports and told what operators wrote, unless that changes.
const SUBSCRIBE_EVERY: Duration = Duration::from_millis(1000);
/// The shortest time between two such rounds.
const SUBSCRIBE_SPACING: Duration = Duration::from_millis(100);
/// How long a stopping gateway goes on taking connections: the platform needs this long to notice.
const LINGER: Duration = Duration::from_millis(2600);
/// How often a stopping gateway looks whether its connections have ended.
const STOP_POLL: Duration = Duration::from_millis(20);
/// How long before the end of its grace a gateway ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// A gateway.
pub struct GatewayNode {
    core: Core,
    grace: Duration,
    stopping: Rc<Cell<bool>>,
    stop: Sender<()>,
    open: Rc<Cell<usize>>,
    accepting: RefCell<Option<Task<()>>>,
}

impl GatewayNode {
    /// Starts a gateway.
    pub async fn start(spawner: &Spawner, settings: &DeploymentSettings) -> Result<Self> {
        let metrics = Rc::new(Metrics::start()?);
        let port = settings.node.first_port;
        let news = News::bind(SocketAddr::new(settings.node.address, port)).await?;
        let reservations = Reservations::new(news.clone(), port);
        let patience = patience(&settings.bounds);
        let calm = |table| patience.longest_calm(spacing(&settings.bounds, table));
        let tables = Rc::new(Tables::new(calm));
        let core = Core::new(
            options(settings),
            Clock::start(),
            metrics,
            &settings.node.name.0,
            reservations,
            tables.clone(),
        );
        let (stop, stopped) = async_channel::bounded(1);
        let node = Self {
            core: core.clone(),
            grace: Duration::from_secs(settings.bounds.grace_s),
            stopping: Rc::default(),
            stop,
            open: Rc::default(),
            accepting: RefCell::default(),
        };
        node.serve_readiness(spawner, settings, tables.clone(), stopped.clone()).await?;
        follow(spawner, settings, &core, Table::Operator);
        follow(spawner, settings, &core, Table::Runners);
        exchange_news(spawner, &core, news, port);
        serve_page(spawner, settings, &core, stopped.clone()).await?;
        spawner.detach(tick(core.clone()));
        spawner.detach(state_log::write(core.clone()));
        node.serve_callers(spawner, settings, stopped).await?;
        Ok(node)
    }

    async fn serve_callers(
        &self,
        spawner: &Spawner,
        settings: &DeploymentSettings,
        stopped: Receiver<()>,
    ) -> Result<()> {
        let Some(gateway) = settings.gateway() else {
            return Ok(());
        };
        let listener = listen(gateway.callers).await?;
        let options = ServerOptions {
            idle: Duration::from_millis(gateway::Limits::default().idle_timeout_ms),
            stopping: stopped,
            open: self.open.clone(),
        };
        let core = self.core.clone();
        let handler = move |request| request::answer(core.clone(), request);
        let accepting = serve(spawner.clone(), listener, options, handler);
        *self.accepting.borrow_mut() = Some(spawner.spawn(accepting));
        Ok(())
    }

    async fn serve_readiness(
        &self,
        spawner: &Spawner,
        settings: &DeploymentSettings,
        tables: Rc<Tables>,
        stopped: Receiver<()>,
    ) -> Result<()> {
        let Some(gateway) = settings.gateway() else {
            return Ok(());
        };
        let listener = listen(gateway.readiness).await?;
        let options =
            ServerOptions { idle: Duration::from_secs(30), stopping: stopped, open: Rc::default() };
        let stopping = self.stopping.clone();
        let handler = move |request: Request<Incoming>| {
            let ready = tables.are_whole() && !stopping.get();
            std::future::ready(readiness(&request, ready))
        };
        spawner.detach(serve(spawner.clone(), listener, options, handler));
        Ok(())
    }

    /// Stops without cutting off requests: says first that it is not ready, goes on until the
    /// platform has noticed, and ends when nothing is under way.
    pub async fn stop(&self) {
        let end = Instant::now() + self.grace.saturating_sub(GRACE_MARGIN);
        self.stopping.set(true);
        Timer::after(LINGER).await;
        drop(self.accepting.borrow_mut().take());
        self.stop.close();
        while self.open.get() > 0 && Instant::now() < end {
            Timer::after(STOP_POLL).await;
        }
    }
}

fn options(settings: &DeploymentSettings) -> GatewayOptions {
    GatewayOptions {
        hall: settings.node.place.hall.clone(),
        budget_window_ms: settings.bounds.repeat_window_s * 1000,
        budget_ratio: settings.bounds.repeat_ratio,
        budget_allowance: settings.bounds.repeat_allowance,
        version_ms: settings.bounds.version_ms,
        ablation: settings.ablation.clone(),
    }
}

fn readiness(request: &Request<Incoming>, ready: bool) -> Response<AnswerBody> {
    if request.uri().path() != platform::READINESS_PATH {
        return own_answer(StatusCode::NOT_FOUND, None, Code::UnknownTarget);
    }
    if !ready {
        return own_answer(StatusCode::SERVICE_UNAVAILABLE, None, Code::NotReady);
    }
    Response::new(whole_body("ready\n"))
}

/// Follows a table and hands its changes to the reducer.
fn follow(spawner: &Spawner, settings: &DeploymentSettings, core: &Core, table: Table) {
    let tables = core.tables.clone();
    let options = WatchOptions {
        store: settings.store.address,
        table,
        patience: patience(&settings.bounds),
        first_spacing: FIRST_SPACING,
        spacing: spacing(&settings.bounds, table),
        metrics: core.metrics.clone(),
    };
    let core = core.clone();
    spawner.detach(watch(options, move |seen| match seen {
        Seen::Whole => {
            tables.of(table).whole.set(true);
            core.tell_sidecars();
        }
        Seen::Heard => tables.of(table).note_heard(),
        Seen::Reached(reached) => tables.of(table).lost.set(!reached),
        Seen::Change { change, late } => {
            let concerns_sidecars = concerns_sidecars(&change);
            core.feed(event(change, late));
            if concerns_sidecars {
                core.tell_sidecars();
            }
        }
    }));
}

fn patience(bounds: &BoundSettings) -> Patience {
    Patience::new(Duration::from_millis(bounds.contact_ms))
}

/// The shortest time between two feeds of a table: a part of the time that its news has.
fn spacing(bounds: &BoundSettings, table: Table) -> Duration {
    match table {
        Table::Runners => Duration::from_millis(bounds.drain_ms) / FEEDS_PER_DRAIN,
        Table::Operator | Table::Versions => {
            Duration::from_millis(bounds.configuration_ms) / FEEDS_PER_CONFIGURATION
        }
    }
}

/// Whether sidecars should hear at once: of a version that was named, or because one of them is new and
/// waits to hear what its runner should hold.
fn concerns_sidecars(change: &Change) -> bool {
    match change {
        Change::Version { .. } => true,
        Change::Runner(record) => record.weights.is_none(),
        Change::Configuration(_) | Change::RunnerGone(_) => false,
    }
}

fn event(change: Change, late: bool) -> Event {
    match change {
        Change::Configuration(catalog) => {
            let (routes, keys) = (catalog.route_count(), catalog.needs_keys());
            log::info!(version = catalog.version, routes = routes, keys = keys; "configuration");
            Event::Configured(Arc::new(*catalog))
        }
        Change::Version { model, version } => {
            log::info!(model = model.0.as_str(), version = version; "version named");
            Event::Named(NamedVersion { model, version, age_ms: (!late).then_some(0) })
        }
        Change::Runner(record) => {
            let state = format!("{:?} {:?}", record.state, record.weights);
            log::info!(runner = record.id.0.as_str(), state = state.as_str(); "runner listed");
            Event::Listed(record)
        }
        Change::RunnerGone(id) => {
            log::info!(runner = id.0.as_str(); "runner gone");
            Event::Unlisted(id)
        }
    }
}

/// Asks sidecars for reports and takes them in.
fn exchange_news(spawner: &Spawner, core: &Core, news: News, port: u16) {
    let (sender, receiver) = (news.clone(), news);
    let (asking, taking) = (core.clone(), core.clone());
    spawner.detach(async move {
        loop {
            let subscribe = subscribe(&asking);
            for sidecar in sidecars(&asking, port) {
                sender.send(sidecar, &subscribe).await;
            }
            Timer::after(SUBSCRIBE_SPACING).await;
            within(Instant::now() + SUBSCRIBE_EVERY, asking.named.recv()).await;
        }
    });
    spawner.detach(async move {
        let runners = &taking.tables.runners;
        loop {
            let (sender, datagram) = receiver.receive().await;
            match datagram {
                Datagram::WantSidecars { question, service } if runners.whole.get() => {
                    let fresh = !runners.lost.get();
                    let answer = taking.read(|it| directory::answer(it, &service, question, fresh));
                    for part in answer {
                        receiver.send(sender, &part).await;
                    }
                }
                Datagram::Load { runner, load } => taking.feed(Event::Load(runner, load)),
                Datagram::Reserved { question, reply, load } => {
                    let runner = taking.reservations.runner(question);
                    if let Some((runner, load)) = runner.zip(load) {
                        taking.feed(Event::Load(runner, load));
                    }
                    taking.reservations.settle(question, reply);
                }
                Datagram::Subscribe { .. }
                | Datagram::WantSidecars { .. }
                | Datagram::Sidecars(_)
                | Datagram::Ordered
                | Datagram::WhoOrdered
                | Datagram::YouOrderedLast
                | Datagram::Reserve { .. }
                | Datagram::Summary { .. } => {}
            }
        }
    });
}

/// What sidecars are told.
fn subscribe(core: &Core) -> Datagram {
    let now = core.clock.now();
    let named = core.read(|gateway| gateway.named_versions(now));
    let services = core.catalog().map(|it| weights_services(&it)).unwrap_or_default();
    let hall = core.read(|gateway| gateway.hall().clone());
    Datagram::Subscribe { hall, named, services }
}

/// Where the sidecars of model runners listen: on the machines of their runners.
fn sidecars(core: &Core, port: u16) -> BTreeSet<SocketAddr> {
    core.read(|gateway| {
        let Some(catalog) = gateway.catalog() else {
            return BTreeSet::new();
        };
        let services = catalog.services().filter(|it| it.engine.is_some());
        let runners = services.flat_map(|it| gateway.pool().of_service(&it.name));
        runners.map(|it| SocketAddr::new(it.record.address.ip(), port)).collect()
    })
}

/// Serves the page of metrics with what the gateway believes.
async fn serve_page(
    spawner: &Spawner,
    settings: &DeploymentSettings,
    core: &Core,
    stopped: Receiver<()>,
) -> Result<()> {
    let address = SocketAddr::new(settings.node.address, settings.node.last_port);
    let (metrics, core) = (core.metrics.clone(), core.clone());
    let refresh = move || {
        let (under_way, waiting) = core.read(|gateway| gateway.load());
        let runners = core.read(|gateway| gateway.pool().len());
        let configuration = core.catalog().map_or(0, |it| it.version);
        core.metrics.set("requests_under_way", under_way as u64);
        core.metrics.set("requests_waiting", waiting as u64);
        core.metrics.set("runners_listed", runners as u64);
        core.metrics.set("configuration", configuration);
        for (name, table) in [
            ("operator_table_age_ms", &core.tables.operator),
            ("runner_table_age_ms", &core.tables.runners),
        ] {
            // Absent until the store has answered once: zero would look fresh.
            if let Some(age) = table.age_ms() {
                core.metrics.set(name, age);
            }
        }
    };
    serve_metrics(spawner, address, stopped, metrics, refresh).await
}

async fn tick(core: Core) {
    loop {
        Timer::after(TICK).await;
        core.feed(Event::Tick);
    }
}
