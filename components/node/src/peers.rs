//! Connections to other daemons, kept and used again.

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

/// How long a connection and its session may take to be made.
const DIAL_TIME: Duration = Duration::from_secs(2);
/// Idle connections kept for each daemon.
const IDLE_PER_PEER: usize = 4;

/// An open session with another daemon.
pub(crate) struct Session {
    pub(crate) reader: FrameReader<TcpStream>,
    pub(crate) writer: FrameWriter<TcpStream>,
    stream: TcpStream,
    address: SocketAddr,
}

/// The connections of a daemon.
pub(crate) struct Peers {
    keys: KeyRing,
    me: InstanceId,
    idle: Mutex<HashMap<SocketAddr, Vec<Session>>>,
}

impl Peers {
    pub(crate) fn new(keys: KeyRing, me: InstanceId) -> Self {
        Self { keys, me, idle: Mutex::default() }
    }

    /// Takes an idle session or dials a new one. `Unreachable` when there is none to be had.
    pub(crate) async fn open(&self, address: SocketAddr) -> Result<Session> {
        while let Some(session) = self.take_idle(address) {
            if is_open(&session.stream).await {
                return Ok(session);
            }
        }
        let dial = async { self.dial(address).await };
        Deadline::after(DIAL_TIME).limit(Code::Unreachable, dial).await
    }

    /// Keeps a session whose last exchange is complete.
    pub(crate) fn keep(&self, session: Session) {
        let mut idle = self.idle.lock().expect("the lock is never poisoned");
        let sessions = idle.entry(session.address).or_default();
        if sessions.len() < IDLE_PER_PEER {
            sessions.push(session);
        }
    }

    /// Sends a message and waits for its answer.
    pub(crate) async fn ask(
        &self,
        address: SocketAddr,
        message: &Message,
        deadline: Deadline,
    ) -> Result<Frame> {
        let exchange = async {
            let mut session = self.open(address).await?;
            session.writer.send(message).await?;
            let frame = session.reader.expect().await?;
            self.keep(session);
            Ok(frame)
        };
        deadline.limit(Code::PeerStalled, exchange).await
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
        let session = dial_session(&self.keys, &self.me, rand::random(), stream.clone()).await;
        // A session that was never opened has carried nothing.
        let (reader, writer) = session.map_err(|error| unreachable(error.to_string()))?;
        Ok(Session { reader, writer, stream, address })
    }
}

/// Whether an idle connection is still open: the other side neither closed it nor sent anything.
async fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [0];
    poll_once(stream.peek(&mut byte)).await.is_none()
}
