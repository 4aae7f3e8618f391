//! Datagrams between a gateway and sidecars.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use async_io::Timer;
use fleet::{AnnouncedVersion, EvacuationList, Hall};
use gateway::{Certainty, Event, IncarnationLimit};
use quarantine::CrashList;
use rand::seq::IteratorRandom;
use uptime::Instant;

use super::core::Core;
use super::sidecar_list;
use crate::datagram_socket::DatagramSocket;
use crate::http_connection::with_deadline;
use crate::message::{weights_services, Datagram, SidecarsPart, WeightsService};
use crate::spawner::Spawner;

/// Interval of subscriptions, which ask sidecars for reports and carry what operators wrote. A change of that
/// is sent earlier.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Number of sidecars per interval that are asked which gateways they know, by a gateway that is unsure of
/// the others and by any other one, if each sidecar knows all gateways.
const QUERIED_SIDECARS_IF_UNSURE: usize = 3;
const QUERIED_SIDECARS: usize = 1;
/// The same if each sidecar knows a part of the gateways: the other answers contain what one lacks.
const QUERIED_SIDECARS_FOR_PARTS: usize = 6;
/// The greatest age of the runner list by which a sidecar is informed that its runner is warm. With the time
/// that writing a row takes, it is less than the time after a start from which sidecars believe it. A store
/// that has just become unreachable is not yet known to be so.
const MAX_WARM_REPORT_AGE: Duration = Duration::from_millis(1000);
/// The shortest time between two rounds of subscriptions.
const SUBSCRIBE_SPACING: Duration = Duration::from_millis(100);

/// Subscribes to the reports of sidecars and processes their datagrams for as long as the tasks run.
pub fn exchange_datagrams(spawner: &Spawner, core: &Core, socket: DatagramSocket, port: u16) {
    spawner.detach(send_subscriptions(core.clone(), socket.clone(), port));
    spawner.detach(receive_datagrams(core.clone(), socket, port));
}

async fn send_subscriptions(core: Core, socket: DatagramSocket, port: u16) {
    let mut last_sent_at = None;
    loop {
        let sidecars = sidecar_addresses(&core, port);
        let due = last_sent_at.is_none_or(|at: Instant| at.elapsed() >= SUBSCRIBE_INTERVAL);
        let queried = if due { sample_queried(&core, &sidecars) } else { Vec::new() };
        if due {
            last_sent_at = Some(Instant::now());
        }
        let subscription = Subscription::new(&core);
        let has_sent_services = !sidecars.is_empty() && !subscription.services.is_empty();
        for sidecar in sidecars {
            let datagram = subscription.for_sidecar(sidecar, queried.contains(&sidecar));
            socket.send(sidecar, &datagram).await;
        }
        if has_sent_services {
            // The first round is not delayed: sidecars grant no slot before it.
            Timer::after(SUBSCRIBE_SPACING).await;
        }
        with_deadline(Instant::now() + SUBSCRIBE_INTERVAL, core.sidecar_updates.recv()).await;
    }
}

async fn receive_datagrams(core: Core, socket: DatagramSocket, port: u16) {
    let runners = &core.tables.runners;
    loop {
        let (sender, datagram) = socket.receive().await;
        match datagram {
            Datagram::WantSidecars { question: request_number, service }
                if runners.is_complete() =>
            {
                let fresh = !runners.is_lost.get();
                let answer =
                    core.read(|it| sidecar_list::sidecar_list(it, &service, request_number, fresh));
                for part in answer {
                    socket.send(sender, &part).await;
                }
                if !sidecar_addresses(&core, port).contains(&sender) {
                    // A sidecar that no gateway has contacted yet learns versions and weights from this.
                    socket.send(sender, &Subscription::new(&core).for_sidecar(sender, false)).await;
                }
            }
            Datagram::WantSidecars { question: request_number, .. } => {
                let hall = core.read(|gateway| gateway.hall().clone());
                let pending = SidecarsPart::pending(request_number, hall);
                socket.send(sender, &Datagram::Sidecars(pending)).await;
            }
            Datagram::Load { runner, mut load, evacuations, crashes, clock_ms } => {
                let now = Instant::now();
                let mut time = core.tables.time.borrow_mut();
                clock_ms.into_iter().for_each(|it| time.record_report(now, it));
                time.set_ages(now, &mut load.named);
                drop(time);
                core.dispatch(Event::Evacuations(evacuations));
                core.dispatch(Event::Crashes(crashes));
                core.dispatch(Event::Load(runner, load));
            }
            Datagram::Reserved { question: request_number, reply, load, evacuations, limit } => {
                core.dispatch(Event::Evacuations(evacuations));
                let runner = core.reservations.runner(request_number);
                if let Some(runner) = runner {
                    core.dispatch(Event::LimitReported(runner, limit));
                }
                // Sends waiting requests, so it comes last.
                if let Some((runner, load)) = runner.zip(load) {
                    core.dispatch(Event::Load(runner, load));
                }
                core.reservations.deliver_reply(request_number, reply);
            }
            Datagram::Gateways(list) => core.dispatch(Event::Gateways(list)),
            Datagram::Crashes { crashes, limits } => {
                core.dispatch(Event::Crashes(crashes));
                core.dispatch(Event::Limits(limits));
            }
            Datagram::Subscribe { .. }
            | Datagram::Sidecars(_)
            | Datagram::Ordered
            | Datagram::WhoOrdered
            | Datagram::YouOrderedLast
            | Datagram::Reserve { .. }
            | Datagram::PinEnded { .. }
            | Datagram::Summary { .. } => {}
        }
    }
}

/// The sidecars that are asked which gateways they know.
fn sample_queried(core: &Core, sidecars: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
    let now = core.clock.now();
    let unsure = core.read(|it| it.members().certainty(now)) == Certainty::Unsure;
    let partial = core.read(|it| it.members().is_partial());
    let count = match (partial, unsure) {
        (true, _) => QUERIED_SIDECARS_FOR_PARTS,
        (false, true) => QUERIED_SIDECARS_IF_UNSURE,
        (false, false) => QUERIED_SIDECARS,
    };
    sidecars.iter().copied().choose_multiple(&mut rand::rng(), count)
}

/// The content of the subscriptions of one round.
struct Subscription {
    hall: Hall,
    announced: Vec<AnnouncedVersion>,
    services: Vec<WeightsService>,
    evacuations: EvacuationList,
    crashes: CrashList,
    limits: Vec<IncarnationLimit>,
    /// The store's clock, in milliseconds.
    clock_ms: Option<u64>,
    /// How much longer the runner on each machine is cold, in milliseconds, if it is known.
    cold: BTreeMap<IpAddr, u64>,
}

impl Subscription {
    fn new(core: &Core) -> Self {
        let now = core.clock.now();
        let is_fresh = core.tables.runners.is_known_within(MAX_WARM_REPORT_AGE);
        let mut cold = core.read(|gateway| gateway.cold_machines(now));
        cold.retain(|_, left| is_fresh || *left > 0);
        Self {
            clock_ms: core.tables.time.borrow().clock_ms_to_report(Instant::now()),
            cold,
            announced: core.read(|gateway| gateway.announced_versions(now)),
            services: core.catalog().map(|it| weights_services(&it)).unwrap_or_default(),
            hall: core.read(|gateway| gateway.hall().clone()),
            evacuations: core.read(|gateway| gateway.evacuations(now)),
            crashes: core.read(|gateway| gateway.crash_list(now, rand::random())),
            limits: core.read(|gateway| gateway.limits_to_report(now, &mut rand::rng())),
        }
    }

    /// The subscription for one sidecar.
    fn for_sidecar(&self, sidecar: SocketAddr, wants_gateways: bool) -> Datagram {
        let left = self.cold.get(&sidecar.ip());
        Datagram::Subscribe {
            hall: self.hall.clone(),
            named: self.announced.clone(),
            services: self.services.clone(),
            evacuations: self.evacuations.clone(),
            crashes: self.crashes.clone(),
            limits: self.limits.clone(),
            clock_ms: self.clock_ms,
            cold_ms: left.map(|it| (*it).min(u64::from(u32::MAX)) as u32),
            wants_gateways,
        }
    }
}

/// The addresses of the sidecars that this gateway follows, on the machines of their runners.
fn sidecar_addresses(core: &Core, port: u16) -> BTreeSet<SocketAddr> {
    core.read(|gateway| {
        let machines = gateway.followed().map(|it| it.record.address.ip());
        machines.map(|machine| SocketAddr::new(machine, port)).collect()
    })
}

#[cfg(test)]
mod tests;
