//! A TCP proxy on loopback that can inject faults into the connections through it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use rand::Rng;

/// Interval at which a silenced connection checks whether it may continue.
const POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Share of pieces that a lossy link loses, and the delay until they are sent again, in milliseconds.
const LOSS_SHARE: f64 = 1.0 / 12.0;
const RETRANSMISSION_MS: u64 = 210;
/// Maximum number of bytes that are forwarded at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// The fault that a proxy applies to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// All pieces are delayed by this many milliseconds.
    Delay(u64),
    /// Each piece is delayed by up to this many milliseconds.
    Jitter(u64),
    /// One piece in twelve is lost and sent again after the time of a first retransmission.
    Lossy,
    /// No bytes pass, and neither end gets an error.
    Silence,
    /// No bytes pass from the server to the client.
    OneWay,
    /// Connections are reset.
    Reset,
}

/// The state that connections check before they forward bytes.
#[derive(Default)]
struct State {
    fault: LinkFault,
    /// Number of connections accepted so far.
    connections: u64,
    /// Connections with smaller numbers are silent permanently.
    silent_below: u64,
}

/// A running proxy. It runs until the process ends.
#[derive(Clone)]
pub struct Proxy {
    state: Arc<Mutex<State>>,
    /// Address on which the proxy listens.
    pub address: SocketAddr,
}

impl Proxy {
    /// Listens on an address and forwards connections to a server.
    pub fn start(listen: SocketAddr, server: SocketAddr) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = state.clone();
        thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let serving = serve(executor.clone(), listener, server, shared);
            let _ = async_io::block_on(executor.run(serving));
        });
        Ok(Self { state, address })
    }

    /// Sets the fault that applies to all connections from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        self.state.lock().expect("never poisoned").fault = fault;
    }

    /// Silences the open connections permanently without an error at either end. New connections work.
    pub fn silence_open_connections(&self) {
        let mut state = self.state.lock().expect("never poisoned");
        state.silent_below = state.connections;
    }
}

async fn serve(
    executor: Rc<LocalExecutor<'static>>,
    listener: std::net::TcpListener,
    server: SocketAddr,
    state: Arc<Mutex<State>>,
) -> std::io::Result<()> {
    let listener = TcpListener::try_from(listener)?;
    loop {
        let (client, _) = listener.accept().await?;
        let connection = ProxiedConnection::new(state.clone());
        executor.spawn(async move { forward(client, server, &connection).await }).detach();
    }
}

/// One connection through a proxy.
struct ProxiedConnection {
    state: Arc<Mutex<State>>,
    number: u64,
}

impl ProxiedConnection {
    fn new(state: Arc<Mutex<State>>) -> Self {
        let number = {
            let mut state = state.lock().expect("never poisoned");
            state.connections += 1;
            state.connections - 1
        };
        Self { state, number }
    }

    fn fault(&self) -> LinkFault {
        self.state.lock().expect("never poisoned").fault
    }

    /// Whether the connection is silent permanently.
    fn is_silenced(&self) -> bool {
        self.number < self.state.lock().expect("never poisoned").silent_below
    }

    /// Waits until bytes may pass in a direction that `silenced_by` stops, and returns the fault that then
    /// applies to them.
    async fn wait_until_open(&self, silenced_by: LinkFault) -> LinkFault {
        loop {
            let fault = self.fault();
            let is_silent = fault == LinkFault::Silence || fault == silenced_by;
            if !is_silent && !self.is_silenced() {
                return fault;
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }
}

async fn forward(client: TcpStream, server: SocketAddr, connection: &ProxiedConnection) {
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let to_server = forward_bytes(client.clone(), server.clone(), connection, LinkFault::Silence);
    let to_client = forward_bytes(server.clone(), client.clone(), connection, LinkFault::OneWay);
    // A reset ends both directions; the end of one direction does not end the other.
    let both = future::zip(to_server, to_client);
    let ((), ()) = future::or(both, wait_for_reset(connection)).await;
    for stream in [&client, &server] {
        if connection.fault() == LinkFault::Reset {
            let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
        }
    }
}

/// Returns when connections are to be reset.
async fn wait_for_reset(connection: &ProxiedConnection) -> ((), ()) {
    while connection.fault() != LinkFault::Reset {
        Timer::after(POLL_INTERVAL).await;
    }
    ((), ())
}

/// Returns the delay of the next piece.
fn piece_delay(fault: LinkFault) -> Option<Duration> {
    let millis = match fault {
        LinkFault::Delay(millis) => millis,
        LinkFault::Jitter(longest) => rand::rng().random_range(0..=longest),
        LinkFault::Lossy if rand::rng().random_bool(LOSS_SHARE) => RETRANSMISSION_MS,
        LinkFault::None
        | LinkFault::Lossy
        | LinkFault::Silence
        | LinkFault::OneWay
        | LinkFault::Reset => return None,
    };
    Some(Duration::from_millis(millis))
}

/// Forwards bytes in one direction. `silenced_by` is the fault that stops only this direction; `Silence` stops
/// both.
async fn forward_bytes(
    mut from: TcpStream,
    mut to: TcpStream,
    connection: &ProxiedConnection,
    silenced_by: LinkFault,
) {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await.unwrap_or(0);
        if let Some(delay) = piece_delay(connection.wait_until_open(silenced_by).await) {
            Timer::after(delay).await;
        }
        if length == 0 {
            let _ = to.shutdown(std::net::Shutdown::Write);
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            let _ = from.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}
