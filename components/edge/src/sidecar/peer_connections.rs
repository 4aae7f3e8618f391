//! Idle connections to other sidecars, kept between two chunks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_net::TcpStream;
use uptime::Instant;

/// How long a connection may be idle. The other side closes it a little later.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1000);

/// Idle connections by peer.
#[derive(Default)]
pub struct IdleConnections {
    idle: HashMap<SocketAddr, Vec<(TcpStream, Instant)>>,
}

impl IdleConnections {
    /// Takes an idle connection to a peer, if there is one.
    pub fn take(&mut self, peer: SocketAddr) -> Option<TcpStream> {
        let idle = self.idle.get_mut(&peer)?;
        idle.retain(|(_, since)| since.elapsed() < MAX_IDLE_TIME);
        idle.pop().map(|(stream, _)| stream)
    }

    /// Stores an idle connection.
    pub fn put(&mut self, peer: SocketAddr, stream: TcpStream) {
        self.idle.retain(|_, all| all.iter().any(|(_, since)| since.elapsed() < MAX_IDLE_TIME));
        self.idle.entry(peer).or_default().push((stream, Instant::now()));
    }
}
