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

/// How often a silenced connection looks whether it may go on.
const LOOK_EVERY: Duration = Duration::from_millis(15);
/// Bytes that are passed on at once.
const BUFFER: usize = 16 * 1024;

/// What a proxy does to its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Harm {
    /// Nothing.
    None,
    /// Everything comes later by so many milliseconds.
    Delay(u64),
    /// Nothing passes, and nobody is told.
    Silence,
    /// Nothing passes from the server to the client.
    OneWay,
    /// Connections are reset.
    Reset,
}

/// A running proxy. It lives until the process ends.
#[derive(Clone)]
pub struct Proxy {
    harm: Arc<Mutex<Harm>>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Proxy {
    /// Listens at an address and passes connections on to a server.
    pub fn start(listen: SocketAddr, server: SocketAddr) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let harm = Arc::new(Mutex::new(Harm::None));
        let shared = harm.clone();
        thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let serving = serve(executor.clone(), listener, server, shared);
            let _ = async_io::block_on(executor.run(serving));
        });
        Ok(Self { harm, address })
    }

    /// Harms its connections from now on.
    pub fn set(&self, harm: Harm) {
        *self.harm.lock().expect("never poisoned") = harm;
    }
}

async fn serve(
    executor: Rc<LocalExecutor<'static>>,
    listener: std::net::TcpListener,
    server: SocketAddr,
    harm: Arc<Mutex<Harm>>,
) -> std::io::Result<()> {
    let listener = TcpListener::try_from(listener)?;
    loop {
        let (client, _) = listener.accept().await?;
        let harm = harm.clone();
        executor.spawn(async move { pass(client, server, &harm).await }).detach();
    }
}

async fn pass(client: TcpStream, server: SocketAddr, harm: &Mutex<Harm>) {
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let up = copy(client.clone(), server.clone(), harm, Harm::Silence);
    let down = copy(server.clone(), client.clone(), harm, Harm::OneWay);
    // A reset ends both directions; the end of one direction leaves the other.
    let both = future::zip(up, down);
    let ((), ()) = future::or(both, reset(harm)).await;
    for stream in [&client, &server] {
        if *harm.lock().expect("never poisoned") == Harm::Reset {
            let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
        }
    }
}

/// Ends when connections are to be reset.
async fn reset(harm: &Mutex<Harm>) -> ((), ()) {
    while *harm.lock().expect("never poisoned") != Harm::Reset {
        Timer::after(LOOK_EVERY).await;
    }
    ((), ())
}

/// Passes bytes on. `silenced_by` stops this direction, as does silence of both.
async fn copy(mut from: TcpStream, mut to: TcpStream, harm: &Mutex<Harm>, silenced_by: Harm) {
    let mut buffer = [0; BUFFER];
    loop {
        let length = from.read(&mut buffer).await.unwrap_or(0);
        let mut now = *harm.lock().expect("never poisoned");
        while now == Harm::Silence || now == silenced_by {
            Timer::after(LOOK_EVERY).await;
            now = *harm.lock().expect("never poisoned");
        }
        if let Harm::Delay(millis) = now {
            Timer::after(Duration::from_millis(millis)).await;
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
