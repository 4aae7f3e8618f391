//! What a runner has said of itself in its answers: that it is leaving, and how long it wants to be left alone.
//!
//! This stands beside what the list and the sidecar say, for it binds whatever these say: an entry runs out, comes back as
//! it was before, or cannot be read at all while the platform's store is away, and a runner that turns everything away
//! reports that it is idle. With the list alone as the source requests would go on to a runner that has said that it is
//! leaving, and to one that has asked for rest.

use fleet::{Millis, Rest};

use crate::event::RequestKey;

/// What one answer says of its runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// The runner is leaving.
    pub is_leaving: bool,
    /// It turned the request away and wants nothing from this gateway for so many milliseconds.
    pub rest_ms: Option<u64>,
}

impl Notice {
    /// Whether it says anything.
    pub fn is_empty(self) -> bool {
        !self.is_leaving && self.rest_ms.is_none()
    }
}

/// What one life of a runner has said in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notices {
    /// It never takes this back.
    is_leaving: bool,
    /// The rest that it asked for.
    pub rest: Rest<RequestKey>,
}

impl Notices {
    /// Takes in what an answer says. Gives whether that is news.
    pub fn take(&mut self, now: Millis, notice: Notice) -> bool {
        let leaves_now = notice.is_leaving && !self.is_leaving;
        self.is_leaving |= notice.is_leaving;
        let rests_now = notice.rest_ms.is_some_and(|it| self.rest.begin(now, it));
        leaves_now || rests_now
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
        self.is_leaving || self.rest.left_ms(now) > 0
    }
}
