//! Executes the effects of the state that all daemons share: sends datagrams, reads the table and the instance list,
//! and fetches configurations from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_net::{TcpListener, UdpSocket};
use errors::{Code, Error, Result};
use fleet::Configuration;
use net::Deadline;
use reducer::{ControlEffect, ControlEvent};
use uptime::SuspensionDetector;
use wire::{open_datagram, seal_datagram, Message, MAX_DATAGRAM_BYTES};

use crate::inbox::Inbox;
use crate::services::DaemonContext;

/// The key of the table row that holds the configuration in force.
pub(crate) const CONFIGURATION_ROW: &str = "config/head";
/// The time limit for fetching the configuration from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// The interval between tick events.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The largest number of attempts to find a port that is free for both TCP and UDP.
const MAX_BIND_ATTEMPTS: u32 = 20;

/// The sockets for messages from other daemons.
pub(crate) struct DaemonSockets {
    pub(crate) tcp: TcpListener,
    pub(crate) udp: UdpSocket,
    pub(crate) address: SocketAddr,
}

/// Binds TCP and UDP sockets to the same port.
pub(crate) async fn bind(address: SocketAddr) -> Result<DaemonSockets> {
    let mut last_error = String::new();
    for _ in 0..MAX_BIND_ATTEMPTS {
        let tcp = TcpListener::bind(address).await;
        let tcp = tcp.map_err(|error| Error::new(Code::AddressInUse, error.to_string()))?;
        let bound_address = tcp.local_addr().unwrap_or(address);
        match UdpSocket::bind(bound_address).await {
            Ok(udp) => return Ok(DaemonSockets { tcp, udp, address: bound_address }),
            Err(error) => last_error = error.to_string(),
        }
    }
    Err(Error::new(Code::AddressInUse, format!("{address}: {last_error}")))
}

/// Executes control effects and passes their results to the reducer as events.
pub(crate) struct ControlDriver<E> {
    context: Arc<DaemonContext>,
    udp: UdpSocket,
    inbox: Inbox<E>,
    to_event: fn(ControlEvent) -> E,
}

impl<E> Clone for ControlDriver<E> {
    fn clone(&self) -> Self {
        Self {
            context: self.context.clone(),
            udp: self.udp.clone(),
            inbox: self.inbox.clone(),
            to_event: self.to_event,
        }
    }
}

impl<E: Send + 'static> ControlDriver<E> {
    pub(crate) fn new(
        context: Arc<DaemonContext>,
        udp: UdpSocket,
        inbox: Inbox<E>,
        to_event: fn(ControlEvent) -> E,
    ) -> Self {
        Self { context, udp, inbox, to_event }
    }

    /// Starts to receive datagrams and to send tick events.
    pub(crate) fn start(&self, tick: impl Fn() -> E + Send + 'static) {
        let tasks = &self.context.services.tasks;
        tasks.spawn(self.clone().receive());
        let inbox = self.inbox.clone();
        tasks.spawn(async move {
            let mut suspensions = SuspensionDetector::default();
            loop {
                Timer::after(TICK_INTERVAL).await;
                if let Some(span) = suspensions.poll() {
                    log::warn!(ms = span.as_millis() as u64; "the machine was suspended");
                }
                inbox.send_or_drop(tick());
            }
        });
    }

    /// Executes one effect.
    pub(crate) fn execute(&self, effect: ControlEffect) {
        let driver = self.clone();
        let tasks = &self.context.services.tasks;
        match effect {
            ControlEffect::Send { to, datagram } => {
                let bytes = seal_datagram(&self.context.services.keys, &datagram);
                self.context.services.metrics.count_control("sent", bytes.len() as u64);
                tasks.spawn(async move {
                    // Datagrams can be lost anyway; the reducer repeats what must arrive.
                    let _ = driver.udp.send_to(&bytes, to).await;
                });
            }
            ControlEffect::ReadTable => tasks.spawn(driver.read_table()),
            ControlEffect::ReadList => tasks.spawn(driver.read_list()),
            ControlEffect::Fetch { from } => tasks.spawn(driver.fetch(from)),
            ControlEffect::Applied(revision) => {
                log::info!(revision = revision.0; "configuration in force");
                self.context.services.metrics.set_gauge("revision", revision.0);
            }
        }
    }

    async fn receive(self) {
        let services = &self.context.services;
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES * 2];
        loop {
            let Ok((len, from)) = self.udp.recv_from(&mut buffer).await else {
                continue;
            };
            services.metrics.count_control("received", len as u64);
            match open_datagram(&services.keys, &buffer[..len]) {
                Ok(datagram) => {
                    let datagram = Box::new(datagram);
                    self.inbox
                        .send_or_drop((self.to_event)(ControlEvent::Datagram { from, datagram }));
                }
                Err(error) => services.metrics.count_refusal(error.code),
            }
        }
    }

    async fn read_table(self) {
        let services = &self.context.services;
        match services.platform.table.read(CONFIGURATION_ROW).await {
            Ok(row) => {
                services.metrics.count_platform_call("table", "read");
                match row.map(|row| decode_configuration(&row.value)).transpose() {
                    Ok(found) => {
                        self.send_event(ControlEvent::TableRead(found.map(Box::new))).await
                    }
                    Err(error) => log::error!("invalid configuration row: {error}"),
                }
            }
            Err(error) => {
                services.metrics.count_platform_call("table", "failed");
                log::debug!("cannot read the configuration row: {error}");
            }
        }
    }

    async fn read_list(self) {
        let services = &self.context.services;
        match services.platform.instances.list().await {
            Ok(list) => {
                services.metrics.count_platform_call("instances", "read");
                self.send_event(ControlEvent::Listed(list)).await;
            }
            Err(error) => {
                services.metrics.count_platform_call("instances", "failed");
                log::debug!("cannot read the instance list: {error}");
            }
        }
    }

    async fn fetch(self, from: SocketAddr) {
        let deadline = Deadline::after(FETCH_TIMEOUT);
        let answer = self.context.peers.request(from, &Message::GetConfiguration, deadline).await;
        match answer.and_then(|frame| decode_configuration(&frame.payload)) {
            Ok(configuration) => {
                self.send_event(ControlEvent::Fetched(Box::new(configuration))).await
            }
            Err(error) => log::debug!("cannot fetch the configuration from {from}: {error}"),
        }
    }

    async fn send_event(&self, event: ControlEvent) {
        self.inbox.send((self.to_event)(event)).await;
    }
}

/// Encodes a configuration for the table and for other daemons.
pub(crate) fn encode_configuration(configuration: &Configuration) -> Vec<u8> {
    serde_json::to_vec(configuration).expect("every type in a configuration can be encoded")
}

/// Decodes a configuration.
pub(crate) fn decode_configuration(bytes: &[u8]) -> Result<Configuration> {
    serde_json::from_slice(bytes).map_err(|error| {
        Error::new(Code::BadFrame, format!("cannot decode the configuration: {error}"))
    })
}
