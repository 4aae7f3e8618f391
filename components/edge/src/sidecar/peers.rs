//! Requests of other sidecars and of gateways that a sidecar serves.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use account::{Decision, RequestLine};
use async_channel::Sender;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use errors::{Code, Error};
use net::{write_paced, Pacer};
use quarantine::ListScope;
use rollout::{Denial, Event, ReservationReply, ReservationRequest};
use uptime::Instant;

use super::core::{Core, Subscription};
use crate::datagram_socket::DatagramSocket;
use crate::http_connection::{set_socket_options, with_deadline};
use crate::message::{
    connection_lost, frame, read_frame, ChunkRequest, Datagram, PeerAnswer, PeerRequest, Reply,
    SidecarsPart,
};
use crate::spawner::Spawner;

/// Concurrent uploads of chunks. With few of them each chunk arrives sooner and can be passed on.
const MAX_UPLOADS: usize = 2;
/// The share of the machine's link that chunk uploads may take. The runner's answers use the same link and
/// are delayed by whatever is queued on it.
const LINK_SHARE: f64 = 0.85;
/// The size of a write, in bytes. It is small so that the runner's answers can be sent in between.
const WRITE_BYTES: usize = 4096;
/// How long the receiver may take for one write: several times as long as it takes over a narrow link. A
/// sidecar that fetches a chunk waits at least as long.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long the upload of a chunk may take.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may be idle between two requests.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1500);
/// How long a subscription of a gateway lasts, in milliseconds.
const SUBSCRIPTION_MS: u64 = 3500;
/// How long to wait after the system failed to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves chunks to other sidecars for as long as the task runs.
pub async fn serve(spawner: Spawner, core: Core, listener: TcpListener, link_bytes_per_s: u64) {
    let uploads: Rc<Cell<usize>> = Rc::default();
    let pacer = Rc::new(Pacer::new((link_bytes_per_s as f64 * LINK_SHARE) as u64));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        let (core, uploads, pacer) = (core.clone(), uploads.clone(), pacer.clone());
        let uploader = Uploader { core, pacer, peer, uploads };
        spawner.detach(async move {
            let _ = uploader.serve(stream).await;
        });
    }
}

/// A message over TCP, or `None` if it is of a build with more message types. Such a message is counted, and
/// the connection continues.
pub fn skip_unreadable<T>(
    core: &Core,
    kind: &'static str,
    message: errors::Result<T>,
) -> errors::Result<Option<T>> {
    match message {
        Err(error) if error.code == Code::BadFrame => {
            core.metrics.count_foreign_message(kind);
            Ok(None)
        }
        message => message.map(Some),
    }
}

/// Serves one connection.
struct Uploader {
    core: Core,
    pacer: Rc<Pacer>,
    peer: SocketAddr,
    uploads: Rc<Cell<usize>>,
}

impl Uploader {
    /// Answers requests until the other side disconnects or is idle for too long.
    async fn serve(self, mut stream: TcpStream) -> errors::Result<()> {
        set_socket_options(&stream);
        let late = || Error::new(Code::PeerStalled, "no request in time");
        loop {
            let idle_until = Instant::now() + MAX_IDLE_TIME;
            let request =
                with_deadline(idle_until, read_frame(&mut stream)).await.ok_or_else(late)?;
            let request = skip_unreadable(&self.core, "request", request)?;
            self.uploads.set(self.uploads.get() + 1);
            let until = Instant::now() + UPLOAD_TIMEOUT;
            let sent = with_deadline(until, self.answer(&mut stream, request)).await;
            self.uploads.set(self.uploads.get() - 1);
            sent.ok_or_else(late)??;
        }
    }

    async fn answer(
        &self,
        stream: &mut TcpStream,
        request: Option<PeerRequest>,
    ) -> errors::Result<()> {
        let answer = match request {
            None => PeerAnswer::Missing,
            Some(PeerRequest::Chunk(request)) => self.chunk_answer(request),
            Some(PeerRequest::Manifest { version }) => {
                let manifest = self.core.chunks.borrow().manifest(version);
                manifest.map_or(PeerAnswer::Missing, |it| PeerAnswer::Manifest((*it).clone()))
            }
        };
        let frame = frame(&answer);
        write_paced(stream, &frame, &self.pacer, WRITE_BYTES, WRITE_TIMEOUT)
            .await
            .map_err(connection_lost)
    }

    fn chunk_answer(&self, request: ChunkRequest) -> PeerAnswer {
        let ChunkRequest { version, index, from, place, have } = request;
        let address = SocketAddr::new(self.peer.ip(), self.core.port);
        self.core.dispatch(Event::Summary { from, address, place, version, have });
        let chunk = self.core.chunks.borrow().get(version, index);
        match chunk {
            _ if self.uploads.get() > MAX_UPLOADS => PeerAnswer::Busy,
            Some(bytes) => {
                self.core.metrics.count_chunk("sent");
                PeerAnswer::Chunk { bytes: bytes.to_vec(), have: self.core.stored_chunks(version) }
            }
            None => PeerAnswer::Missing,
        }
    }
}

/// Processes datagrams for as long as the task runs.
pub async fn receive_datagrams(core: Core, socket: DatagramSocket, sidecars: Sender<SidecarsPart>) {
    loop {
        let (sender, datagram) = socket.receive().await;
        match datagram {
            Datagram::Subscribe {
                hall,
                named,
                services,
                evacuations,
                cold_ms,
                crashes,
                wants_gateways,
                limits,
                clock_ms,
            } => {
                core.dispatch(Event::Evacuations(evacuations));
                core.apply_crashes(&crashes);
                core.limits.borrow_mut().take(core.clock.now(), &limits);
                let expires_at = core.clock.now().plus(SUBSCRIPTION_MS);
                let is_same_hall = hall == core.place.hall;
                core.subscribers
                    .borrow_mut()
                    .insert(sender, Subscription { is_same_hall, expires_at });
                let now = core.clock.now();
                core.gateways.borrow_mut().note(now, sender);
                if wants_gateways {
                    let list = core.gateways.borrow().list(now, sender);
                    socket.send(sender, &Datagram::Gateways(list)).await;
                    let crashes = core.crash_list(ListScope::Suspects);
                    let limits = core.limits.borrow().list(now, &mut rand::rng());
                    if !crashes.0.is_empty() || !limits.is_empty() {
                        socket.send(sender, &Datagram::Crashes { crashes, limits }).await;
                    }
                }
                core.apply_services(&services);
                if let Some(left_ms) = cold_ms {
                    core.dispatch(Event::ColdFor(u64::from(left_ms)));
                }
                core.record_versions(&core.set_version_ages(clock_ms, named));
                if !services.is_empty() {
                    // This gateway has read the operator table, including the announced versions.
                    core.dispatch(Event::VersionsKnown);
                }
            }
            Datagram::Summary { from, place, version, have } => {
                core.dispatch(Event::Summary { from, address: sender, place, version, have });
            }
            Datagram::Reserve {
                question: number,
                request,
                prompt_tokens,
                rank,
                left_ms,
                wait_ms,
                limit,
                pinned_ms,
            } => {
                if let Some(rate_limit) = limit {
                    core.dispatch(Event::LimitReported(rate_limit));
                }
                let (asker, left_ms) = (sender, u64::from(left_ms));
                let reservation = ReservationRequest {
                    asker,
                    number,
                    request,
                    prompt_tokens,
                    rank,
                    target_left_ms: left_ms,
                    max_wait_ms: wait_ms,
                    pinned_ms: pinned_ms.map(u64::from),
                };
                core.dispatch(Event::ReservationRequested(reservation));
            }
            Datagram::PinEnded { question: number } => {
                core.dispatch(Event::PinEnded { asker: sender, number });
            }
            Datagram::Ordered => {
                core.last_orderer.set(Some(sender));
                core.dispatch(Event::PeerOrdered);
            }
            Datagram::WhoOrdered if core.last_orderer.get() == Some(sender) => {
                socket.send(sender, &Datagram::YouOrderedLast).await;
            }
            Datagram::WhoOrdered => {}
            Datagram::YouOrderedLast => core.dispatch(Event::SentLatestOrder),
            Datagram::Sidecars(part) => {
                // A full channel means that the task that asked has stopped waiting.
                let _ = sidecars.try_send(part);
            }
            Datagram::WantSidecars { .. }
            | Datagram::Load { .. }
            | Datagram::Reserved { .. }
            | Datagram::Gateways(_)
            | Datagram::Crashes { .. } => {}
        }
    }
}

/// Answers a reservation request of a gateway.
pub async fn send_reply(
    core: &Core,
    socket: &DatagramSocket,
    reservation: ReservationRequest,
    verdict: ReservationReply,
) {
    let reply = match verdict {
        ReservationReply::Granted => Reply::Granted,
        ReservationReply::Queued => Reply::Queued,
        ReservationReply::Denied { retry_after_ms, shortage_ms, .. } => {
            let short_ms = u32::try_from(shortage_ms).unwrap_or(u32::MAX);
            Reply::Denied {
                again_ms: retry_after_ms,
                short_ms: Some(short_ms).filter(|it| *it > 0),
            }
        }
    };
    let load = core.current_load();
    let evacuations = core.evacuations();
    let limit = core.rollout.borrow().limit_to_report(core.clock.now());
    let reserved =
        Datagram::Reserved { question: reservation.number, reply, load, evacuations, limit };
    socket.send(reservation.asker, &reserved).await;
    match verdict {
        ReservationReply::Granted => {}
        ReservationReply::Queued => core.request_runner_report(),
        ReservationReply::Denied { denial, .. } => log_denial(core, reservation.request, denial),
    }
}

/// Logs why a reservation was denied.
fn log_denial(core: &Core, request: String, denial: Denial) {
    core.metrics.count_denial(denial.name());
    let rollout = core.rollout.borrow();
    let line = RequestLine {
        ts_ms: telemetry::unix_millis(),
        instance: core.name.clone(),
        request,
        decision: Decision::Denied {
            reason: denial.name().into(),
            taken: rollout.slots().used(),
            slots: rollout.slots().slots(),
            version: rollout.status().and_then(|it| it.version).unwrap_or(0),
        },
    };
    if let Ok(text) = serde_json::to_string(&line) {
        log::info!(target: telemetry::REQUEST_TARGET, "{text}");
    }
}
