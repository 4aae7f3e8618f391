//! A TCP proxy on loopback that can harm the connections through it.

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

/// How often a silenced connection looks whether it may go on.
const LOOK_EVERY: Duration = Duration::from_millis(15);
/// The part of the pieces that a lossy way loses, and when they are sent again, in milliseconds.
const LOSS: f64 = 1.0 / 12.0;
const RETRANSMISSION_MS: u64 = 210;
/// Bytes that are passed on at once.
const BUFFER: usize = 16 * 1024;

/// What a proxy does to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Harm {
    /// Nothing.
    #[default]
    None,
    /// Everything comes later by so many milliseconds.
    Delay(u64),
    /// Each piece comes later by up to so many milliseconds.
    Jitter(u64),
    /// One piece in twelve is lost and sent again after as long as a first retransmission takes.
    Lossy,
    /// Nothing passes, and nobody is told.
    Silence,
    /// Nothing passes from the server to the client.
    OneWay,
    /// Connections are reset.
    Reset,
}

/// What connections look at before they pass bytes on.
#[derive(Default)]
struct State {
    harm: Harm,
    /// Connections so far.
    connections: u64,
    /// Connections with smaller numbers have gone silent for good.
    silent_below: u64,
}

/// A running proxy. It lives until the process ends.
#[derive(Clone)]
pub struct Proxy {
    state: Arc<Mutex<State>>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Proxy {
    /// Listens at an address and passes connections on to a server.
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

    /// Harms its connections from now on.
    pub fn set(&self, harm: Harm) {
        self.state.lock().expect("never poisoned").harm = harm;
    }

    /// Lets the connections that are open go silent for good. Nobody is told, and new ones work.
    pub fn silence_open(&self) {
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
        let way = Way::new(state.clone());
        executor.spawn(async move { pass(client, server, &way).await }).detach();
    }
}

/// The way of one connection through a proxy.
struct Way {
    state: Arc<Mutex<State>>,
    number: u64,
}

impl Way {
    fn new(state: Arc<Mutex<State>>) -> Self {
        let number = {
            let mut state = state.lock().expect("never poisoned");
            state.connections += 1;
            state.connections - 1
        };
        Self { state, number }
    }

    fn harm(&self) -> Harm {
        self.state.lock().expect("never poisoned").harm
    }

    /// Whether the connection has gone silent for good.
    fn is_dead(&self) -> bool {
        self.number < self.state.lock().expect("never poisoned").silent_below
    }

    /// Waits until bytes may pass in a direction that `silenced_by` stops, and gives what is done to them.
    async fn open(&self, silenced_by: Harm) -> Harm {
        loop {
            let harm = self.harm();
            let is_silent = harm == Harm::Silence || harm == silenced_by;
            if !is_silent && !self.is_dead() {
                return harm;
            }
            Timer::after(LOOK_EVERY).await;
        }
    }
}

async fn pass(client: TcpStream, server: SocketAddr, way: &Way) {
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let up = copy(client.clone(), server.clone(), way, Harm::Silence);
    let down = copy(server.clone(), client.clone(), way, Harm::OneWay);
    // A reset ends both directions; the end of one direction leaves the other.
    let both = future::zip(up, down);
    let ((), ()) = future::or(both, reset(way)).await;
    for stream in [&client, &server] {
        if way.harm() == Harm::Reset {
            let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
        }
    }
}

/// Ends when connections are to be reset.
async fn reset(way: &Way) -> ((), ()) {
    while way.harm() != Harm::Reset {
        Timer::after(LOOK_EVERY).await;
    }
    ((), ())
}

/// How much later a piece comes that passes now.
fn delay(harm: Harm) -> Option<Duration> {
    let millis = match harm {
        Harm::Delay(millis) => millis,
        Harm::Jitter(longest) => rand::rng().random_range(0..=longest),
        Harm::Lossy if rand::rng().random_bool(LOSS) => RETRANSMISSION_MS,
        Harm::None | Harm::Lossy | Harm::Silence | Harm::OneWay | Harm::Reset => return None,
    };
    Some(Duration::from_millis(millis))
}

/// Passes bytes on. `silenced_by` stops this direction, as does silence of both.
async fn copy(mut from: TcpStream, mut to: TcpStream, way: &Way, silenced_by: Harm) {
    let mut buffer = [0; BUFFER];
    loop {
        let length = from.read(&mut buffer).await.unwrap_or(0);
        if let Some(delay) = delay(way.open(silenced_by).await) {
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
