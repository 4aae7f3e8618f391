//! Reservation requests of gateways, and the queue of those that wait for a slot.
//!
//! A rejected gateway would only retry, here or at another sidecar. A request that may wait is answered as
//! soon as a slot is free, ordered by rank and by the time left of its latency target.

use std::collections::VecDeque;
use std::net::SocketAddr;

use fleet::Millis;

use crate::runner_slots::Denial;

/// Maximum number of waiting requests. More would not be answered in time.
const MAX_WAITING: usize = 8;

/// A gateway's request for a slot at the runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReservationRequest {
    /// The address of the gateway.
    pub asker: SocketAddr,
    /// The gateway's number for this reservation request.
    pub number: u64,
    /// The ID that the caller gave to the request, for the log.
    pub request: String,
    /// The number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// The rank of the request; 0 is served first.
    pub rank: u8,
    /// Time left of the latency target, in milliseconds. Zero for a repeated attempt of a rejected caller.
    pub target_left_ms: u64,
    /// How long the request may wait for a slot, in milliseconds.
    pub max_wait_ms: u64,
    /// How much longer the request may take, in milliseconds, if it is pinned to the runner: were it aborted
    /// there, no other runner could complete it.
    pub pinned_ms: Option<u64>,
}

impl ReservationRequest {
    /// Returns whether this is a repeated attempt of a rejected caller.
    pub(crate) fn is_repeated(&self) -> bool {
        self.target_left_ms == 0
    }
}

/// The answer to a reservation request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationReply {
    /// The gateway may send the request now.
    Granted,
    /// The reservation request is queued. Another answer follows.
    Queued,
    /// The gateway must not send the request here.
    Denied {
        /// The reason.
        denial: Denial,
        /// Delay after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
        /// Duration of the current shortage of slots, in milliseconds.
        shortage_ms: u64,
    },
}

/// The position in the queue: by rank, then first attempts before repeated ones, then by the end of the
/// latency target.
type QueueOrder = (u8, bool, Millis);

/// A queued reservation request.
#[derive(Clone, Debug)]
pub(crate) struct QueuedReservation {
    pub(crate) reservation: ReservationRequest,
    pub(crate) until: Millis,
    order: QueueOrder,
}

fn queue_order(now: Millis, reservation: &ReservationRequest) -> QueueOrder {
    (reservation.rank, reservation.is_repeated(), now.plus(reservation.target_left_ms))
}

/// The queue of reservation requests, in the order in which they are answered.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReservationQueue {
    waiting: VecDeque<QueuedReservation>,
}

impl ReservationQueue {
    /// The number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue has room for another request.
    pub(crate) fn has_room(&self) -> bool {
        self.waiting.len() < MAX_WAITING
    }

    /// Returns whether a request must wait because an earlier one has the same or a higher priority.
    pub(crate) fn must_wait(&self, now: Millis, reservation: &ReservationRequest) -> bool {
        self.waiting.front().is_some_and(|it| it.order <= queue_order(now, reservation))
    }

    /// Queues a request, after those with the same or a higher priority.
    pub(crate) fn push(&mut self, now: Millis, reservation: ReservationRequest) {
        let order = queue_order(now, &reservation);
        let last_before = self.waiting.iter().rposition(|it| it.order <= order);
        let until = now.plus(reservation.max_wait_ms);
        self.waiting.insert(
            last_before.map_or(0, |it| it + 1),
            QueuedReservation { reservation, until, order },
        );
    }

    /// The request to answer next.
    pub(crate) fn first(&self) -> Option<&ReservationRequest> {
        self.waiting.front().map(|it| &it.reservation)
    }

    /// Removes the request to answer next.
    pub(crate) fn pop(&mut self) -> Option<ReservationRequest> {
        self.waiting.pop_front().map(|it| it.reservation)
    }

    /// Removes the requests whose waiting time has expired.
    pub(crate) fn take_expired(&mut self, now: Millis) -> Vec<ReservationRequest> {
        let (expired, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|it: &QueuedReservation| it.until <= now);
        self.waiting = waiting;
        let expired: VecDeque<QueuedReservation> = expired;
        expired.into_iter().map(|it| it.reservation).collect()
    }

    /// Removes a request whose gateway no longer waits for an answer.
    pub(crate) fn remove(&mut self, asker: SocketAddr, number: u64) {
        let is_other = |it: &QueuedReservation| {
            (it.reservation.asker, it.reservation.number) != (asker, number)
        };
        self.waiting.retain(is_other);
    }

    /// Removes all requests.
    pub(crate) fn take_all(&mut self) -> Vec<ReservationRequest> {
        self.waiting.drain(..).map(|it| it.reservation).collect()
    }
}
