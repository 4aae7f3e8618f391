//! What a sidecar does for other sidecars and for gateways.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use net::Pacer;
use rollout::Event;

use super::core::Core;
use crate::exchange::{prepare, within};
use crate::message::{read_frame, write_frame, ChunkAnswer, ChunkRequest, Datagram};
use crate::news::News;
use crate::spawner::Spawner;

/// Chunks that may wait to be sent.
const MAX_UPLOADS: usize = 4;
/// The part of the machine's link that chunks may take. The runner's answers leave by the same link,
/// and whatever queues there makes them late.
const LINK_SHARE: f64 = 0.75;
/// How long a request for a chunk, or the sending of one, may take.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a gateway gets reports after it asked for them, in milliseconds.
const SUBSCRIPTION: u64 = 3000;
/// How long to wait after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Sends chunks to those who ask, for as long as the task runs.
pub async fn serve(spawner: Spawner, core: Core, listener: TcpListener, link_bytes_per_s: u64) {
    let uploads: Rc<Cell<usize>> = Rc::default();
    let pacer = Rc::new(Pacer::new((link_bytes_per_s as f64 * LINK_SHARE) as u64));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        let (core, uploads, pacer) = (core.clone(), uploads.clone(), pacer.clone());
        spawner.detach(async move {
            uploads.set(uploads.get() + 1);
            let upload = Upload { core, pacer, peer, busy: uploads.get() > MAX_UPLOADS };
            let _ = within(Instant::now() + UPLOAD_TIMEOUT, upload.answer(stream)).await;
            uploads.set(uploads.get() - 1);
        });
    }
}

/// One chunk on its way to another sidecar.
struct Upload {
    core: Core,
    pacer: Rc<Pacer>,
    peer: SocketAddr,
    busy: bool,
}

impl Upload {
    async fn answer(self, mut stream: TcpStream) -> errors::Result<()> {
        prepare(&stream);
        let request: ChunkRequest = read_frame(&mut stream).await?;
        let ChunkRequest { version, index, from, place, have } = request;
        let address = SocketAddr::new(self.peer.ip(), self.core.port);
        self.core.feed(Event::Summary { from, address, place, version, have });
        let chunk = self.core.chunks.borrow().get(version, index);
        let answer = match chunk {
            _ if self.busy => ChunkAnswer::Busy,
            Some(bytes) => {
                self.core.metrics.count_chunk("sent");
                self.pacer.pass(bytes.len()).await;
                let have = self.core.have(version);
                ChunkAnswer::Chunk { bytes: bytes.to_vec(), have }
            }
            None => ChunkAnswer::Missing,
        };
        write_frame(&mut stream, &answer).await
    }
}

/// Takes in datagrams for as long as the task runs.
pub async fn listen(core: Core, news: News) {
    loop {
        let (sender, datagram) = news.receive().await;
        match datagram {
            Datagram::Subscribe => {
                let until = core.clock.now().plus(SUBSCRIPTION);
                core.subscribers.borrow_mut().insert(sender, until);
            }
            Datagram::Summary { from, place, version, have } => {
                core.feed(Event::Summary { from, address: sender, place, version, have });
            }
            Datagram::Load { .. } => {}
        }
    }
}
