//! Carries out what the shared state asks for: datagrams, reads of the table and the list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_net::{TcpListener, UdpSocket};
use errors::{Code, Error, Result};
use fleet::Configuration;
use net::Deadline;
use reducer::{ControlEffect, ControlEvent};
use uptime::Suspensions;
use wire::{open_datagram, seal_datagram, Message, MAX_DATAGRAM_BYTES};

use crate::host::Surroundings;
use crate::inbox::Inbox;

/// The row that holds the configuration in force.
pub(crate) const HEAD_ROW: &str = "config/head";
/// How long a peer may take to send its configuration.
const FETCH_TIME: Duration = Duration::from_secs(3);
/// How often reducers are told that time passed.
const TICK: Duration = Duration::from_millis(50);
/// Tries to find one port that is free for TCP and UDP.
const BIND_TRIES: u32 = 20;

/// The sockets that other daemons reach this one on.
pub(crate) struct Doors {
    pub(crate) tcp: TcpListener,
    pub(crate) udp: UdpSocket,
    pub(crate) address: SocketAddr,
}

/// Takes the same port for TCP and UDP.
pub(crate) async fn bind(address: SocketAddr) -> Result<Doors> {
    let mut failure = String::new();
    for _ in 0..BIND_TRIES {
        let tcp = TcpListener::bind(address).await;
        let tcp = tcp.map_err(|error| Error::new(Code::AddressInUse, error.to_string()))?;
        let taken = tcp.local_addr().unwrap_or(address);
        match UdpSocket::bind(taken).await {
            Ok(udp) => return Ok(Doors { tcp, udp, address: taken }),
            Err(error) => failure = error.to_string(),
        }
    }
    Err(Error::new(Code::AddressInUse, format!("{address}: {failure}")))
}

/// Carries out control effects and turns what comes back into events of the daemon.
pub(crate) struct ControlDriver<E> {
    surroundings: Arc<Surroundings>,
    udp: UdpSocket,
    inbox: Inbox<E>,
    wrap: fn(ControlEvent) -> E,
}

impl<E> Clone for ControlDriver<E> {
    fn clone(&self) -> Self {
        Self {
            surroundings: self.surroundings.clone(),
            udp: self.udp.clone(),
            inbox: self.inbox.clone(),
            wrap: self.wrap,
        }
    }
}

impl<E: Send + 'static> ControlDriver<E> {
    pub(crate) fn new(
        surroundings: Arc<Surroundings>,
        udp: UdpSocket,
        inbox: Inbox<E>,
        wrap: fn(ControlEvent) -> E,
    ) -> Self {
        Self { surroundings, udp, inbox, wrap }
    }

    /// Starts to receive datagrams and to send ticks.
    pub(crate) fn start(&self, tick: impl Fn() -> E + Send + 'static) {
        let tasks = &self.surroundings.host.tasks;
        tasks.spawn(self.clone().receive());
        let inbox = self.inbox.clone();
        tasks.spawn(async move {
            let mut suspensions = Suspensions::default();
            loop {
                Timer::after(TICK).await;
                if let Some(span) = suspensions.look() {
                    log::warn!(ms = span.as_millis() as u64; "the machine was suspended");
                }
                inbox.offer(tick());
            }
        });
    }

    /// Carries out one effect.
    pub(crate) fn carry_out(&self, effect: ControlEffect) {
        let driver = self.clone();
        let tasks = &self.surroundings.host.tasks;
        match effect {
            ControlEffect::Send { to, datagram } => {
                let bytes = seal_datagram(&self.surroundings.host.keys, &datagram);
                self.surroundings.host.metrics.count_control("sent", bytes.len() as u64);
                tasks.spawn(async move {
                    // A datagram may be lost on any way; what matters is sent again.
                    let _ = driver.udp.send_to(&bytes, to).await;
                });
            }
            ControlEffect::ReadTable => tasks.spawn(driver.read_table()),
            ControlEffect::ReadList => tasks.spawn(driver.read_list()),
            ControlEffect::Fetch { from } => tasks.spawn(driver.fetch(from)),
            ControlEffect::Applied(revision) => {
                log::info!(revision = revision.0; "configuration in force");
                self.surroundings.host.metrics.set("revision", revision.0);
            }
        }
    }

    async fn receive(self) {
        let host = &self.surroundings.host;
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES * 2];
        loop {
            let Ok((len, from)) = self.udp.recv_from(&mut buffer).await else {
                continue;
            };
            host.metrics.count_control("received", len as u64);
            match open_datagram(&host.keys, &buffer[..len]) {
                Ok(datagram) => {
                    let datagram = Box::new(datagram);
                    self.inbox.offer((self.wrap)(ControlEvent::Datagram { from, datagram }));
                }
                Err(error) => host.metrics.count_refusal(error.code),
            }
        }
    }

    async fn read_table(self) {
        let host = &self.surroundings.host;
        match host.platform.table.read(HEAD_ROW).await {
            Ok(row) => {
                host.metrics.count_platform("table", "read");
                match row.map(|row| decode(&row.value)).transpose() {
                    Ok(found) => self.tell(ControlEvent::TableRead(found.map(Box::new))).await,
                    Err(error) => log::error!("the head row: {error}"),
                }
            }
            Err(error) => {
                host.metrics.count_platform("table", "failed");
                log::debug!("the table: {error}");
            }
        }
    }

    async fn read_list(self) {
        let host = &self.surroundings.host;
        match host.platform.instances.list().await {
            Ok(list) => {
                host.metrics.count_platform("instances", "read");
                self.tell(ControlEvent::Listed(list)).await;
            }
            Err(error) => {
                host.metrics.count_platform("instances", "failed");
                log::debug!("the instance list: {error}");
            }
        }
    }

    async fn fetch(self, from: SocketAddr) {
        let deadline = Deadline::after(FETCH_TIME);
        let answer = self.surroundings.peers.ask(from, &Message::GetConfiguration, deadline).await;
        match answer.and_then(|frame| decode(&frame.payload)) {
            Ok(configuration) => self.tell(ControlEvent::Fetched(Box::new(configuration))).await,
            Err(error) => log::debug!("the configuration of {from}: {error}"),
        }
    }

    async fn tell(&self, event: ControlEvent) {
        self.inbox.send((self.wrap)(event)).await;
    }
}

/// The bytes of a configuration in the table and between daemons.
pub(crate) fn encode(configuration: &Configuration) -> Vec<u8> {
    serde_json::to_vec(configuration).expect("a configuration has no type that cannot be encoded")
}

/// Reads a configuration.
pub(crate) fn decode(bytes: &[u8]) -> Result<Configuration> {
    serde_json::from_slice(bytes)
        .map_err(|error| Error::new(Code::BadFrame, format!("configuration: {error}")))
}
