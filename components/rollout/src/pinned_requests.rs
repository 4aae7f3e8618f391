//! Requests that are pinned to the runner: were an order to abort them, no other runner could complete them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fleet::Millis;

use crate::reservation_requests::ReservationRequest;

/// Time after which a granted request has arrived at the runner or is not sent any more, in milliseconds.
const ARRIVAL_MS: u64 = 400;

/// The pinned requests that may be running at the runner, by the address and the number of their
/// reservation request.
#[derive(Clone, Debug, Default)]
pub(crate) struct PinnedRequests {
    requests: BTreeMap<(SocketAddr, u64), PinnedRequest>,
}

#[derive(Clone, Copy, Debug)]
struct PinnedRequest {
    granted_at: Millis,
    /// When its time limit expires.
    ends_at: Millis,
}

impl PinnedRequests {
    /// Adds a request whose reservation was granted, if it is pinned.
    pub(crate) fn add(&mut self, now: Millis, reservation: &ReservationRequest) {
        if let Some(pinned_ms) = reservation.pinned_ms {
            let request = PinnedRequest { granted_at: now, ends_at: now.plus(pinned_ms) };
            self.requests.insert((reservation.asker, reservation.number), request);
        }
    }

    /// Removes a request that has ended.
    pub(crate) fn remove(&mut self, asker: SocketAddr, number: u64) {
        self.requests.remove(&(asker, number));
    }

    /// Removes all requests, because the runner has restarted.
    pub(crate) fn clear(&mut self) {
        self.requests.clear();
    }

    /// Removes the requests that have ended according to a report of the runner, or by their time limit.
    pub(crate) fn apply_report(&mut self, now: Millis, running: u32) {
        let may_run = |it: &PinnedRequest| running > 0 || now.since(it.granted_at).0 <= ARRIVAL_MS;
        self.requests.retain(|_, it| now < it.ends_at && may_run(it));
    }

    /// Returns whether a pinned request may be running.
    pub(crate) fn may_be_running(&self, now: Millis) -> bool {
        self.requests.values().any(|it| now < it.ends_at)
    }
}
