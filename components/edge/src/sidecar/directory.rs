//! Who the other sidecars are.
//!
//! Gateways follow the store's list of runners anyway, so a sidecar asks one of those that ask it for
//! reports. It reads the list itself only when no gateway has been heard for a while: each call to the store
//! has its price, and the list crosses the links between regions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use errors::Result;
use fleet::{Hall, InstanceId, Place, Region};
use gateway::RunnerState;
use platform::store::{Change, Table};
use rand::seq::IteratorRandom;
use rollout::{Event, Peer};
use settings::DeploymentSettings;

use super::core::Core;
use crate::exchange::within;
use crate::link::Link;
use crate::message::{Datagram, SidecarsPart};
use crate::news::News;
use crate::watch::list;

/// How long a gateway may take to answer. It is at most a few milliseconds away and answers at once.
const ANSWER_PATIENCE: Duration = Duration::from_millis(250);
/// How many gateways are asked, one after the other.
const TRIES: u32 = 3;
/// How often a sidecar that hears no gateway looks whether one has come.
const LOOK_EVERY: Duration = Duration::from_millis(40);
/// How long no gateway may have answered before the store is read. Gateways ask for reports every second,
/// so four rounds were missed.
const GATEWAY_PATIENCE: Duration = Duration::from_millis(4000);
/// The pause between the first two questions. It doubles, so that a fleet that starts is soon known.
const FIRST_SPACING: Duration = Duration::from_millis(400);
/// The pause between two questions later on. The list is also asked for when a version is named.
const SPACING: Duration = Duration::from_millis(20_000);

/// Keeps the reducer told of the other sidecars for as long as the task runs.
pub async fn follow(
    core: Core,
    news: News,
    parts: Receiver<SidecarsPart>,
    settings: DirectorySettings,
) {
    let mut directory = Directory {
        link: Link::new(settings.store),
        settings,
        core,
        news,
        parts,
        questions: 0,
        known: false,
    };
    let mut spacing = FIRST_SPACING;
    let mut answered_at = Instant::now();
    loop {
        let mut pause = LOOK_EVERY;
        if let Some(peers) = directory.ask_gateways().await {
            directory.tell(peers);
            answered_at = Instant::now();
            pause = spacing;
            spacing = (spacing * 2).min(SPACING);
        } else if answered_at.elapsed() >= GATEWAY_PATIENCE {
            match directory.read_store().await {
                Ok(peers) => directory.tell(peers),
                Err(error) => {
                    let reason = error.to_string();
                    log::warn!(reason = reason.as_str(); "list of runners cannot be read");
                }
            }
            answered_at = Instant::now();
        }
        let hurry = directory.core.list_wanted.clone();
        within(Instant::now() + pause, hurry.recv()).await;
    }
}

/// What a directory is told at start.
pub struct DirectorySettings {
    /// The store.
    store: SocketAddr,
    /// The port at which sidecars listen.
    port: u16,
    /// Every data hall with its region.
    halls: BTreeMap<Hall, Region>,
}

impl DirectorySettings {
    /// Takes what is needed out of the settings.
    pub fn new(settings: &DeploymentSettings) -> Self {
        Self {
            store: settings.store.address,
            port: settings.node.first_port,
            halls: settings.node.halls.clone(),
        }
    }

    /// The sidecar on a machine. Sidecars are named by the addresses of their machines.
    fn peer(&self, machine: std::net::IpAddr, hall: &Hall, version: Option<u64>) -> Peer {
        let region = self.halls.get(hall).cloned().unwrap_or_default();
        Peer {
            id: InstanceId(machine.to_string()),
            place: Place { region, hall: hall.clone() },
            address: SocketAddr::new(machine, self.port),
            version,
        }
    }
}

struct Directory {
    settings: DirectorySettings,
    core: Core,
    news: News,
    parts: Receiver<SidecarsPart>,
    link: Link,
    /// Questions asked so far.
    questions: u64,
    /// Whether some list has been taken.
    known: bool,
}

impl Directory {
    fn tell(&mut self, peers: Vec<Peer>) {
        self.known = true;
        self.core.feed(Event::Peers(peers));
    }

    /// Asks a few gateways, until one answers with a list that is worth taking.
    async fn ask_gateways(&mut self) -> Option<Vec<Peer>> {
        let gateways = self.core.subscribers();
        let asked = gateways.into_iter().choose_multiple(&mut rand::rng(), TRIES as usize);
        for gateway in asked {
            self.questions += 1;
            let question = self.questions;
            let service = self.core.settings.service.clone();
            self.news.send(gateway, &Datagram::WantSidecars { question, service }).await;
            let until = Instant::now() + ANSWER_PATIENCE;
            if let Some(peers) = within(until, self.collect(question)).await.flatten() {
                return Some(peers);
            }
        }
        None
    }

    /// Waits for every part of an answer. `None` where the gateway does not hear the store and an older list
    /// is here: the two may differ, and nobody could tell which one is newer.
    async fn collect(&self, question: u64) -> Option<Vec<Peer>> {
        let mut seen = BTreeSet::new();
        let mut peers = Vec::new();
        loop {
            let part = self.parts.recv().await.ok()?;
            if part.question != question {
                continue;
            }
            if self.known && !part.fresh {
                return None;
            }
            if seen.insert(part.part) {
                let of_part = part.sidecars.iter();
                peers.extend(
                    of_part.map(|it| self.settings.peer(it.machine, &part.hall, it.version)),
                );
            }
            if seen.len() as u32 >= part.parts {
                return Some(peers);
            }
        }
    }

    /// Reads the store's list.
    async fn read_store(&mut self) -> Result<Vec<Peer>> {
        let listing = list(&mut self.link, Table::Runners).await?;
        let mut peers = Vec::new();
        for change in listing.changes {
            let Change::Runner(record) = change else {
                continue;
            };
            // The machine of a runner that leaves goes with it, and whatever chunks it was to draw.
            let stays = record.state == RunnerState::Ready;
            if stays && record.service == self.core.settings.service {
                let version = record.whole_version();
                peers.push(self.settings.peer(record.address.ip(), &record.hall, version));
            }
        }
        Ok(peers)
    }
}
