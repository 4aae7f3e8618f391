//! A pool of sessions with other daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use async_net::TcpStream;
use errors::{Code, Error, Result};
use fleet::InstanceId;
use futures_lite::future::poll_once;
use net::Deadline;
use wire::{dial_session, Frame, FrameReader, FrameWriter, KeyRing, Message};

/// The time limit for opening a connection and establishing its session.
const DIAL_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest number of idle sessions that are kept for each daemon.
const MAX_IDLE_SESSIONS_PER_PEER: usize = 4;

/// An open session that this daemon dialled.
pub(crate) struct Session {
    pub(crate) reader: FrameReader<TcpStream>,
    pub(crate) writer: FrameWriter<TcpStream>,
    stream: TcpStream,
    address: SocketAddr,
}

/// The idle sessions of a daemon, by the address of the peer.
pub(crate) struct PeerPool {
    keys: KeyRing,
    own_id: InstanceId,
    idle: Mutex<HashMap<SocketAddr, Vec<Session>>>,
}

impl PeerPool {
    pub(crate) fn new(keys: KeyRing, own_id: InstanceId) -> Self {
        Self { keys, own_id, idle: Mutex::default() }
    }

    /// Returns an idle session or establishes a new one. Fails with `Unreachable` if neither is possible.
    pub(crate) async fn open(&self, address: SocketAddr) -> Result<Session> {
        while let Some(session) = self.take_idle(address) {
            if is_open(&session.stream).await {
                return Ok(session);
            }
        }
        let dial = async { self.dial(address).await };
        Deadline::after(DIAL_TIMEOUT).run(Code::Unreachable, dial).await
    }

    /// Returns a session to the pool. Its last exchange must be complete.
    pub(crate) fn put_idle(&self, session: Session) {
        let mut idle = self.idle.lock().expect("the lock is never poisoned");
        let sessions = idle.entry(session.address).or_default();
        if sessions.len() < MAX_IDLE_SESSIONS_PER_PEER {
            sessions.push(session);
        }
    }

    /// Sends a message and waits for the response.
    pub(crate) async fn request(
        &self,
        address: SocketAddr,
        message: &Message,
        deadline: Deadline,
    ) -> Result<Frame> {
        let exchange = async {
            let mut session = self.open(address).await?;
            session.writer.send(message).await?;
            let frame = session.reader.read_required().await?;
            self.put_idle(session);
            Ok(frame)
        };
        deadline.run(Code::PeerStalled, exchange).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Session> {
        let mut idle = self.idle.lock().expect("the lock is never poisoned");
        idle.get_mut(&address)?.pop()
    }

    async fn dial(&self, address: SocketAddr) -> Result<Session> {
        let unreachable = |detail: String| Error::new(Code::Unreachable, detail);
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|error| unreachable(format!("{address}: {error}")))?;
        let _ = stream.set_nodelay(true);
        let session = dial_session(&self.keys, &self.own_id, rand::random(), stream.clone()).await;
        // The session was not established, so no message was sent.
        let (reader, writer) = session.map_err(|error| unreachable(error.to_string()))?;
        Ok(Session { reader, writer, stream, address })
    }
}

/// Whether an idle connection can be reused: the peer has neither closed it nor sent anything.
async fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [0];
    poll_once(stream.peek(&mut byte)).await.is_none()
}
