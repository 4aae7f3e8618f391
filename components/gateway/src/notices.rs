//! What a runner has said of itself in its answers: that it is leaving, how long it wants to be left alone, and how many
//! requests a second it takes.
//!
//! This stands beside what the list and the sidecar say, for it binds whatever these say: an entry runs out, comes back as
//! it was before, or cannot be read at all while the platform's store is away, and a runner that turns everything away
//! reports that it is idle. With the list alone as the source requests would go on to a runner that has said that it is
//! leaving, and to one that has asked for rest.

use fleet::{Millis, RateLimit, RateWord, Rest};

use crate::event::RequestKey;

/// What one answer says of its runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// The runner is leaving.
    pub is_leaving: bool,
    /// It turned the request away and wants nothing from this gateway for so many milliseconds.
    pub rest_ms: Option<u64>,
    /// The rate that it takes from all gateways together. `None` where the answer does not tell.
    pub limit: Option<RateWord>,
}

impl Notice {
    /// Whether it says anything.
    pub fn is_empty(self) -> bool {
        !self.is_leaving && self.rest_ms.is_none() && self.limit.is_none()
    }
}

/// What one life of a runner has said in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notices {
    /// It never takes this back.
    is_leaving: bool,
    /// The rest that it asked for.
    pub rest: Rest<RequestKey>,
    /// The rate that it takes from all gateways together.
    pub limit: RateLimit,
}

impl Notices {
    /// Takes in what the answer to a request says that was sent at `sent_at`. Gives what of it is news.
    pub fn take(&mut self, now: Millis, sent_at: Millis, notice: Notice) -> Notice {
        let leaves_now = notice.is_leaving && !self.is_leaving;
        self.is_leaving |= notice.is_leaving;
        let rest_ms = notice.rest_ms.filter(|it| self.rest.begin(now, *it));
        let limit = notice.limit.filter(|it| self.limit.hear(now, sent_at, *it));
        Notice { is_leaving: leaves_now, rest_ms, limit }
    }

    /// Whether the runner has said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Whether a request may be sent there, as far as the runner has said.
    pub fn admit(&self, now: Millis, key: RequestKey) -> bool {
        !self.is_leaving && self.rest.admit(now, key)
    }

    /// Whether anything of it still binds.
    pub fn binds(&self, now: Millis) -> bool {
        self.is_leaving || self.rest.left_ms(now) > 0 || self.limit.rate().is_some()
    }
}
