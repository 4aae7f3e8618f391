//! Datagrams between gateways and sidecars.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use async_net::UdpSocket;
use errors::{Code, Error, Result};

use crate::message::{decode, encode, Datagram};

/// The largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1400;
/// The pause after the system refused to receive.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// A socket for datagrams.
#[derive(Clone)]
pub struct News {
    socket: UdpSocket,
}

impl News {
    /// Takes an address.
    pub async fn bind(address: SocketAddr) -> Result<Self> {
        let socket = UdpSocket::bind(address).await;
        let socket = socket
            .map_err(|error| Error::new(Code::AddressInUse, format!("{address}: {error}")))?;
        Ok(Self { socket })
    }

    /// Sends a datagram. One that is lost is followed by a newer one.
    pub async fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let _ = self.socket.send_to(&encode(datagram), to).await;
    }

    /// Waits for the next datagram that can be read.
    pub async fn receive(&self) -> (SocketAddr, Datagram) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                Timer::after(ERROR_PAUSE).await;
                continue;
            };
            if let Ok(datagram) = decode(&buffer[..length]) {
                return (from, datagram);
            }
        }
    }
}
