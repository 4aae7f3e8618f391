//! What a gateway and sidecars tell each other in datagrams.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::Timer;
use gateway::Event;

use super::core::Core;
use super::directory;
use crate::exchange::within;
use crate::message::{weights_services, Datagram};
use crate::news::News;
use crate::spawner::Spawner;

/// How often sidecars are asked for reports and told what operators wrote, unless that changes.
const SUBSCRIBE_EVERY: Duration = Duration::from_millis(1000);
/// The shortest time between two such rounds.
const SUBSCRIBE_SPACING: Duration = Duration::from_millis(100);

/// Asks sidecars for reports and takes in what they say, for as long as the tasks run.
pub fn exchange_news(spawner: &Spawner, core: &Core, news: News, port: u16) {
    spawner.detach(ask(core.clone(), news.clone(), port));
    spawner.detach(take(core.clone(), news));
}

async fn ask(core: Core, news: News, port: u16) {
    loop {
        let subscribe = subscribe(&core);
        for sidecar in sidecars(&core, port) {
            news.send(sidecar, &subscribe).await;
        }
        Timer::after(SUBSCRIBE_SPACING).await;
        within(Instant::now() + SUBSCRIBE_EVERY, core.named.recv()).await;
    }
}

async fn take(core: Core, news: News) {
    let runners = &core.tables.runners;
    loop {
        let (sender, datagram) = news.receive().await;
        match datagram {
            Datagram::WantSidecars { question, service } if runners.whole.get() => {
                let fresh = !runners.lost.get();
                let answer = core.read(|it| directory::answer(it, &service, question, fresh));
                for part in answer {
                    news.send(sender, &part).await;
                }
            }
            Datagram::Load { runner, load, evacuations } => {
                core.feed(Event::Evacuations(evacuations));
                core.feed(Event::Load(runner, load));
            }
            Datagram::Reserved { question, reply, load, evacuations } => {
                core.feed(Event::Evacuations(evacuations));
                let runner = core.reservations.runner(question);
                if let Some((runner, load)) = runner.zip(load) {
                    core.feed(Event::Load(runner, load));
                }
                core.reservations.settle(question, reply);
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
}

/// What sidecars are told.
fn subscribe(core: &Core) -> Datagram {
    let now = core.clock.now();
    let named = core.read(|gateway| gateway.named_versions(now));
    let services = core.catalog().map(|it| weights_services(&it)).unwrap_or_default();
    let hall = core.read(|gateway| gateway.hall().clone());
    let evacuations = core.read(|gateway| gateway.evacuations(now));
    Datagram::Subscribe { hall, named, services, evacuations }
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
