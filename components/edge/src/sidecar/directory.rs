//! Asks gateways, or the store, for the other sidecars. `rollout::Directory` decides when.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use errors::{Code, Error, Result};
use fleet::{Hall, InstanceId, Location, Region};
use futures_lite::future;
use gateway::readers::{ReadersAnswer, ReadersCall};
use gateway::RunnerState;
use platform::readers;
use platform::store::{Change, Table};
use rand::seq::IteratorRandom;
use rand::Rng;
use rollout::{Directory, DirectoryAnswer, Event, Peer};
use settings::DeploymentSettings;
use uptime::Instant;

use super::core::Core;
use crate::datagram_socket::DatagramSocket;
use crate::http_client::HttpClient;
use crate::http_connection::with_deadline;
use crate::listing::{list, LoggedFaults};
use crate::message::{Datagram, SidecarsPart};
use crate::paging::Urgency;

/// How long a gateway may take to answer. It is at most a few milliseconds away and answers at once.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// The store calls of sidecars that have waited equally long for a gateway are spread over this time.
const MAX_SPREAD: Duration = Duration::from_millis(2000);
/// How often a sidecar that reads the store's list checks whether a gateway has subscribed.
const GATEWAY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How many gateways are asked, one after the other.
const MAX_GATEWAYS_ASKED: usize = 3;
/// How often the gateways that the store names are asked before its list is read, how many rounds in a row
/// may remain without any answer, and the pause between rounds.
const MAX_NAMED_ROUNDS: u32 = 8;
const MAX_SILENT_ROUNDS: u32 = 2;
const NAMED_ROUND_PAUSE: Duration = Duration::from_millis(1000);
/// How long reading the row that names these gateways may take.
const ROW_TIMEOUT: Duration = Duration::from_millis(1200);

/// Updates the reducer's list of sidecars for as long as the task runs.
pub async fn follow(
    core: Core,
    socket: DatagramSocket,
    parts: Receiver<SidecarsPart>,
    settings: DirectorySettings,
) {
    let mut directory = Directory::new(core.clock.now());
    let mut directory_client = DirectoryClient {
        client: HttpClient::new(settings.store),
        settings,
        core: core.clone(),
        socket,
        parts,
        requests: 0,
        has_list: false,
        logged_faults: LoggedFaults::default(),
    };
    loop {
        let answer = directory_client.ask_gateways().await;
        let step = directory.take_answer(core.clock.now(), answer);
        if step.read_store {
            directory_client.read_store().await;
        }
        let pause = Duration::from_millis(step.pause_ms);
        with_deadline(Instant::now() + pause, core.list_requested.recv()).await;
    }
}

/// A random delay, over which sidecars spread calls that all of them make to the store at the same time.
pub fn random_delay() -> Duration {
    rand::rng().random_range(Duration::ZERO..MAX_SPREAD)
}

/// Waits until a gateway subscribes to reports.
async fn wait_for_gateway(core: Core) {
    while core.subscribers().is_empty() {
        Timer::after(GATEWAY_CHECK_INTERVAL).await;
    }
}

/// The settings of a directory.
pub struct DirectorySettings {
    /// The address of the store.
    store: SocketAddr,
    /// The port on which sidecars listen.
    port: u16,
    /// Every data hall with its region.
    halls: BTreeMap<Hall, Region>,
}

impl DirectorySettings {
    /// Extracts the required settings.
    pub fn new(settings: &DeploymentSettings) -> Self {
        Self {
            store: settings.store.address,
            port: settings.node.first_port,
            halls: settings.node.halls.clone(),
        }
    }

    /// The sidecar on a machine. Sidecars are identified by the addresses of their machines.
    fn peer(&self, machine: IpAddr, hall: &Hall, version: Option<u64>) -> Peer {
        let region = self.halls.get(hall).cloned().unwrap_or_default();
        Peer {
            id: InstanceId(machine.to_string()),
            place: Location { region, hall: hall.clone() },
            address: SocketAddr::new(machine, self.port),
            version,
        }
    }
}

/// The answer of a gateway.
enum CollectedAnswer {
    /// The sidecars.
    List(Vec<Peer>),
    /// The gateway is not connected to the store, and this sidecar already has a list.
    Stale,
    /// The gateway does not know the sidecars yet.
    Pending,
}

struct DirectoryClient {
    settings: DirectorySettings,
    core: Core,
    socket: DatagramSocket,
    parts: Receiver<SidecarsPart>,
    client: HttpClient,
    /// The number of requests so far.
    requests: u64,
    /// Whether a list was applied.
    has_list: bool,
    logged_faults: LoggedFaults,
}

impl DirectoryClient {
    fn apply_list(&mut self, peers: Vec<Peer>) {
        self.has_list = true;
        self.core.dispatch(Event::Peers(peers));
    }

    /// Asks a few gateways until one answers with a usable list.
    async fn ask_gateways(&mut self) -> DirectoryAnswer {
        let gateways = self.core.subscribers();
        if gateways.is_empty() {
            return DirectoryAnswer::NoGateway;
        }
        self.core.is_alone.set(false);
        self.ask_any(gateways).await
    }

    async fn ask_any(&mut self, gateways: Vec<SocketAddr>) -> DirectoryAnswer {
        let asked = gateways.into_iter().choose_multiple(&mut rand::rng(), MAX_GATEWAYS_ASKED);
        let mut best = DirectoryAnswer::Silent;
        for gateway in asked {
            self.requests += 1;
            let request_number = self.requests;
            let service = self.core.settings.service.clone();
            self.socket
                .send(gateway, &Datagram::WantSidecars { question: request_number, service })
                .await;
            let until = Instant::now() + ANSWER_TIMEOUT;
            match with_deadline(until, self.collect(request_number)).await {
                Some(CollectedAnswer::List(peers)) => {
                    self.apply_list(peers);
                    return DirectoryAnswer::List;
                }
                Some(CollectedAnswer::Stale) => best = DirectoryAnswer::Stale,
                Some(CollectedAnswer::Pending) if best == DirectoryAnswer::Silent => {
                    best = DirectoryAnswer::Pending;
                }
                Some(CollectedAnswer::Pending) | None => {}
            }
        }
        best
    }

    /// Waits for all parts of an answer.
    async fn collect(&self, request_number: u64) -> CollectedAnswer {
        let mut seen = BTreeSet::new();
        let mut peers = Vec::new();
        loop {
            let Ok(part) = self.parts.recv().await else {
                return CollectedAnswer::Pending;
            };
            if part.question != request_number {
                continue;
            }
            if part.is_pending() {
                return CollectedAnswer::Pending;
            }
            if self.has_list && !part.fresh {
                return CollectedAnswer::Stale;
            }
            if seen.insert(part.part) {
                let of_part = part.sidecars.iter();
                peers.extend(
                    of_part.map(|it| self.settings.peer(it.machine, &part.hall, it.version)),
                );
            }
            if seen.len() as u32 >= part.parts {
                return CollectedAnswer::List(peers);
            }
        }
    }

    /// Reads the store's list. Without a known gateway, it stops when one subscribes: the gateway's list is
    /// as good and does not load the link to the store. For the same reason the gateways that the store names
    /// for this hall are asked first.
    async fn read_store(&mut self) {
        let core = self.core.clone();
        if !core.subscribers().is_empty() {
            return self.read_list().await;
        }
        future::or(wait_for_gateway(core.clone()), async {
            Timer::after(random_delay()).await;
            if self.ask_named_gateways().await {
                return;
            }
            core.is_alone.set(true);
            self.read_list().await;
        })
        .await;
    }

    /// Asks the gateways that the store names for this hall until one answers. Returns whether one did. They
    /// may be starting, and answer once they know the list themselves.
    async fn ask_named_gateways(&mut self) -> bool {
        let named = match self.named_gateways().await {
            Ok(named) => named,
            Err(error) => {
                let reason = error.to_string();
                log::warn!(reason = reason.as_str(); "gateways of the hall cannot be read");
                return false;
            }
        };
        let mut silent = 0;
        for _ in 0..MAX_NAMED_ROUNDS {
            match self.ask_any(named.clone()).await {
                DirectoryAnswer::List => return true,
                DirectoryAnswer::Stale | DirectoryAnswer::Pending => silent = 0,
                DirectoryAnswer::Silent | DirectoryAnswer::NoGateway => silent += 1,
            }
            if named.is_empty() || silent == MAX_SILENT_ROUNDS {
                return false;
            }
            Timer::after(NAMED_ROUND_PAUSE).await;
        }
        false
    }

    async fn named_gateways(&mut self) -> Result<Vec<SocketAddr>> {
        let (hall, call) = (&self.core.place.hall, ReadersCall::Read);
        let answer = self.client.call(readers::call(hall, &call)?, ROW_TIMEOUT).await?;
        self.core.era.record(&answer.headers)?;
        match readers::read(hall, &call, answer.status, &answer.body)? {
            ReadersAnswer::Row(row) => Ok(row.named),
            ReadersAnswer::Written(_) | ReadersAnswer::Failed => {
                Err(Error::new(Code::PlatformUnavailable, format!("status {}", answer.status)))
            }
        }
    }

    async fn read_list(&mut self) {
        match self.listed_peers().await {
            Ok(peers) => self.apply_list(peers),
            Err(error) => {
                let reason = error.to_string();
                log::warn!(reason = reason.as_str(); "list of runners cannot be read");
            }
        }
    }

    async fn listed_peers(&mut self) -> Result<Vec<Peer>> {
        let listing = list(
            &mut self.client,
            Table::Runners,
            &self.core.era,
            &self.core.metrics,
            Urgency::Background,
        )
        .await?;
        self.logged_faults.log_listing(Table::Runners, &self.core.metrics, &listing.faults);
        let mut peers = Vec::new();
        for change in listing.changes {
            let Change::Runner(record) = change else {
                continue;
            };
            // The machine of a leaving runner is removed with it, and so are the chunks that it was to fetch.
            let stays = record.state == RunnerState::Ready;
            if stays && record.service == self.core.settings.service {
                let version = record.whole_version();
                peers.push(self.settings.peer(record.address.ip(), &record.hall, version));
            }
        }
        Ok(peers)
    }
}
