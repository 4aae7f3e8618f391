//! Idle connections to other sidecars, kept between two chunks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_net::TcpStream;
use uptime::Instant;

/// How long a connection may be idle. The other side closes it a little later.
const REST: Duration = Duration::from_millis(1000);

/// Idle connections by peer.
#[derive(Default)]
pub struct IdleConnections {
    resting: HashMap<SocketAddr, Vec<(TcpStream, Instant)>>,
}

impl IdleConnections {
    /// Takes an idle connection to a peer, if there is one.
    pub fn take(&mut self, peer: SocketAddr) -> Option<TcpStream> {
        let resting = self.resting.get_mut(&peer)?;
        resting.retain(|(_, since)| since.elapsed() < REST);
        resting.pop().map(|(stream, _)| stream)
    }

    /// Stores an idle connection.
    pub fn keep(&mut self, peer: SocketAddr, stream: TcpStream) {
        self.resting.retain(|_, all| all.iter().any(|(_, since)| since.elapsed() < REST));
        self.resting.entry(peer).or_default().push((stream, Instant::now()));
    }
}
