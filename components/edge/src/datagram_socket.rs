//! The datagram socket of gateways and sidecars.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::{Async, Timer};
use async_net::UdpSocket;
use errors::{Code, Error, Result};
use telemetry::Metrics;

use crate::extensions::{decode_datagram, encode_datagram};
use crate::message::Datagram;

/// The largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1400;
/// The pause after the system failed to receive.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// The most peers for which unreadable datagrams are logged.
const MAX_LOGGED_PEERS: usize = 256;

/// A socket for datagrams.
#[derive(Clone)]
pub struct DatagramSocket {
    socket: UdpSocket,
    metrics: Rc<Metrics>,
    /// Peers that were logged because their datagrams could not be read completely.
    unreadable_peers: Rc<RefCell<BTreeSet<SocketAddr>>>,
}

impl DatagramSocket {
    /// Binds a socket to an address.
    pub async fn bind(address: SocketAddr, metrics: Rc<Metrics>) -> Result<Self> {
        let socket = UdpSocket::bind(address).await;
        let socket = socket
            .map_err(|error| Error::new(Code::AddressInUse, format!("{address}: {error}")))?;
        Ok(Self { socket, metrics, unreadable_peers: Rc::default() })
    }

    /// Sends a datagram without confirmation. A lost datagram is superseded by a later one.
    pub async fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let _ = self.socket.send_to(&encode_datagram(datagram), to).await;
    }

    /// Sends a datagram without confirmation, at once or not at all.
    pub fn try_send(&self, to: SocketAddr, datagram: &Datagram) {
        let socket: Arc<Async<std::net::UdpSocket>> = self.socket.clone().into();
        if let Err(error) = socket.get_ref().send_to(&encode_datagram(datagram), to) {
            log::debug!(peer = to.to_string().as_str(); "a datagram was not sent: {error}");
        }
    }

    /// Counts unreadable content from another build, and logs it once per peer.
    fn record_unreadable(&self, from: SocketAddr, kind: &'static str) {
        self.metrics.count_foreign_message(kind);
        let mut unreadable_peers = self.unreadable_peers.borrow_mut();
        if unreadable_peers.len() < MAX_LOGGED_PEERS && unreadable_peers.insert(from) {
            log::warn!(peer = from.to_string().as_str(), kind = kind; "a peer says what this build cannot read");
        }
    }

    /// Waits for the next readable datagram.
    pub async fn receive(&self) -> (SocketAddr, Datagram) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                Timer::after(RECEIVE_ERROR_PAUSE).await;
                continue;
            };
            match decode_datagram(&buffer[..length]) {
                Ok((datagram, extensions)) => {
                    if extensions.unknown > 0 {
                        self.record_unreadable(from, "additions");
                    }
                    return (from, datagram);
                }
                Err(_) => self.record_unreadable(from, "datagram"),
            }
        }
    }
}
