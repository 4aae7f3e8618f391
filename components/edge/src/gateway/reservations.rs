//! Reservations of slots at runners, made by their sidecars.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use fleet::ReportedLimit;
use gateway::AttemptOutcome;
use uptime::Instant;

use crate::datagram_socket::DatagramSocket;
use crate::http_connection::with_deadline;
use crate::message::{Datagram, Reply};

/// How long a sidecar may take to answer. A sidecar that gets processor time answers within a few
/// milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(45);

/// The parameters of a reservation.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// The number of tokens of the request's prompt.
    pub prompt_tokens: u32,
    /// The rank of the request; the lowest is served first.
    pub rank: u8,
    /// What is left of the request's latency target, in milliseconds. Zero for a retry of a caller that was
    /// refused.
    pub left_ms: u64,
    /// How long the reservation may be queued, in milliseconds.
    pub wait_ms: u64,
    /// The runner's rate limit that the gateway received lately.
    pub limit: Option<ReportedLimit>,
    /// How much longer the request may take if it is pinned to the runner, in milliseconds.
    pub pinned_ms: Option<u64>,
}

/// A slot that a sidecar granted. If its request is pinned, dropping the slot tells the sidecar that the request
/// has ended.
#[derive(Default)]
pub struct ReservedSlot {
    _pin: Option<Pin>,
}

/// A pinned request that its sidecar may know of.
struct Pin {
    socket: DatagramSocket,
    sidecar: SocketAddr,
    request_number: u64,
}

impl Drop for Pin {
    fn drop(&mut self) {
        let ended = Datagram::PinEnded { question: self.request_number };
        self.socket.try_send(self.sidecar, &ended);
    }
}

/// Waits for the next reply.
async fn next_reply(answers: &Receiver<Reply>, timeout: Duration) -> Option<Reply> {
    with_deadline(Instant::now() + timeout, answers.recv()).await?.ok()
}

/// Reserves slots by asking sidecars.
#[derive(Clone)]
pub struct Reservations {
    socket: DatagramSocket,
    /// The port on which sidecars listen.
    port: u16,
    pending: Rc<RefCell<PendingReservations>>,
}

/// Reservations that wait for their replies.
#[derive(Default)]
struct PendingReservations {
    last_request_number: u64,
    /// The runner of each reservation, and the channel for its replies.
    waiting: HashMap<u64, (SocketAddr, Sender<Reply>)>,
}

impl Reservations {
    /// Creates a client that sends over a socket.
    pub fn new(socket: DatagramSocket, port: u16) -> Self {
        Self { socket, port, pending: Rc::default() }
    }

    /// Reserves a slot at a runner. Fails with the reason why the request must not be sent there.
    pub async fn reserve(
        &self,
        runner: SocketAddr,
        request: &str,
        slot_request: SlotRequest,
    ) -> Result<ReservedSlot, AttemptOutcome> {
        let SlotRequest { prompt_tokens, rank, left_ms, wait_ms, limit, pinned_ms } = slot_request;
        let left_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
        let pinned_ms = pinned_ms.map(|it| u32::try_from(it).unwrap_or(u32::MAX));
        let (sender, answers) = async_channel::bounded(2);
        let request_number = {
            let mut pending = self.pending.borrow_mut();
            pending.last_request_number += 1;
            let request_number = pending.last_request_number;
            pending.waiting.insert(request_number, (runner, sender));
            request_number
        };
        let _guard = PendingGuard { pending: &self.pending, request_number };
        let sidecar = SocketAddr::new(runner.ip(), self.port);
        let request = request.to_owned();
        let reserve = Datagram::Reserve {
            question: request_number,
            request,
            prompt_tokens,
            rank,
            left_ms,
            wait_ms,
            limit,
            pinned_ms,
        };
        let pin = pinned_ms.map(|_| Pin { socket: self.socket.clone(), sidecar, request_number });
        self.socket.send(sidecar, &reserve).await;
        let mut reply = next_reply(&answers, ANSWER_TIMEOUT).await;
        if reply == Some(Reply::Queued) {
            reply = next_reply(&answers, Duration::from_millis(wait_ms) + ANSWER_TIMEOUT).await;
        }
        match reply {
            Some(Reply::Granted) => Ok(ReservedSlot { _pin: pin }),
            Some(Reply::Denied { again_ms, short_ms }) => {
                let short_ms = u64::from(short_ms.unwrap_or(0));
                Err(AttemptOutcome::Denied { retry_after_ms: again_ms, shortage_ms: short_ms })
            }
            Some(Reply::Queued) | None => Err(AttemptOutcome::Silent),
        }
    }

    /// Passes on a reply.
    pub fn deliver_reply(&self, request_number: u64, reply: Reply) {
        if let Some((_, waiting)) = self.pending.borrow().waiting.get(&request_number) {
            let _ = waiting.try_send(reply);
        }
    }

    /// The runner of a reservation that waits for its reply.
    pub fn runner(&self, request_number: u64) -> Option<SocketAddr> {
        self.pending.borrow().waiting.get(&request_number).map(|(runner, _)| *runner)
    }
}

/// Removes a reservation when its request is dropped.
struct PendingGuard<'a> {
    pending: &'a Rc<RefCell<PendingReservations>>,
    request_number: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.pending.borrow_mut().waiting.remove(&self.request_number);
    }
}
