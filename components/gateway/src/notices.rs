//! Information that a runner sends about itself in its responses: that it is draining, how long it
//! asks for a backoff, and its rate limit.
//!
//! It is kept apart from the runner list and the sidecar's reports because it applies whatever
//! these contain. A list entry can expire, come back in its earlier state, or be unreadable while
//! the platform's store is unavailable, and a runner that rejects everything reports that it is
//! idle. With the list as the only source, requests would still be sent to a runner that is
//! draining or has asked for a backoff.

use fleet::{AdvertisedLimit, Backoff, Millis, RateLimit};

use crate::event::RequestKey;

/// The information about a runner in one of its responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// The runner is draining.
    pub is_leaving: bool,
    /// It rejected the request and wants no requests from this gateway for this number of
    /// milliseconds.
    pub backoff_ms: Option<u64>,
    /// The request rate that it accepts from all gateways together. `None` if the response does not
    /// contain it.
    pub limit: Option<AdvertisedLimit>,
}

impl Notice {
    /// Whether the response contains no information about its runner.
    pub fn is_empty(self) -> bool {
        !self.is_leaving && self.backoff_ms.is_none() && self.limit.is_none()
    }
}

/// The information that one incarnation of a runner has sent in its responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notices {
    /// A runner that is draining never returns to service in the same incarnation.
    is_leaving: bool,
    /// The backoff that it asked for.
    pub backoff: Backoff<RequestKey>,
    /// The rate that it accepts from all gateways together.
    pub limit: RateLimit,
}

impl Notices {
    /// Records the information in the response to a request that was sent at `sent_at`. Returns the
    /// part that is new.
    pub fn apply(&mut self, now: Millis, sent_at: Millis, notice: Notice) -> Notice {
        let leaves_now = notice.is_leaving && !self.is_leaving;
        self.is_leaving |= notice.is_leaving;
        let backoff_ms = notice.backoff_ms.filter(|it| self.backoff.begin(now, *it));
        let limit = notice.limit.filter(|it| self.limit.apply_response(now, sent_at, *it));
        Notice { is_leaving: leaves_now, backoff_ms, limit }
    }

    /// Whether the runner has reported that it is draining.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Whether the runner's own information allows a request to be sent to it.
    pub fn admit(&self, now: Millis, key: RequestKey) -> bool {
        !self.is_leaving && self.backoff.admit(now, key)
    }

    /// Whether any of the information still has an effect.
    pub fn has_effect(&self, now: Millis) -> bool {
        self.is_leaving || self.backoff.left_ms(now) > 0 || self.limit.rate().is_some()
    }
}
