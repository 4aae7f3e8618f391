//! What a sidecar does for other sidecars and for gateways.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use rollout::Event;

use super::core::Core;
use crate::exchange::{prepare, within};
use crate::message::{read_frame, write_frame, ChunkAnswer, ChunkRequest, Datagram};
use crate::news::News;
use crate::spawner::Spawner;

/// Chunks that are sent at once.
const MAX_UPLOADS: usize = 6;
/// How long a request for a chunk, or the sending of one, may take.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a gateway gets reports after it asked for them, in milliseconds.
const SUBSCRIPTION: u64 = 3000;
/// How long to wait after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Sends chunks to those who ask, for as long as the task runs.
pub async fn serve(spawner: Spawner, core: Core, listener: TcpListener) {
    let uploads: Rc<Cell<usize>> = Rc::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        let (core, uploads) = (core.clone(), uploads.clone());
        spawner.detach(async move {
            uploads.set(uploads.get() + 1);
            let busy = uploads.get() > MAX_UPLOADS;
            let _ = within(Instant::now() + UPLOAD_TIMEOUT, answer(core, stream, busy)).await;
            uploads.set(uploads.get() - 1);
        });
    }
}

async fn answer(core: Core, mut stream: TcpStream, busy: bool) -> errors::Result<()> {
    prepare(&stream);
    let ChunkRequest { version, index } = read_frame(&mut stream).await?;
    let chunk = core.chunks.borrow().get(version, index);
    let answer = match chunk {
        _ if busy => ChunkAnswer::Busy,
        Some(bytes) => {
            core.metrics.count_chunk("sent");
            ChunkAnswer::Chunk(bytes.to_vec())
        }
        None => ChunkAnswer::Missing,
    };
    write_frame(&mut stream, &answer).await
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
