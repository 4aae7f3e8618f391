//! What a runner has said of itself in its answers: that it is leaving, and how long it wants to be left alone.
//!
//! This stands beside what the list and the sidecar say, for it binds whatever these say: an entry runs out, comes back as
//! it was before, or cannot be read at all while the platform's store is away, and a runner that turns everything away
//! reports that it is idle. With the list alone as the source, 18 requests in six seconds went to a runner that had said
//! that it was leaving, and up to 37 a second to each of four that had asked for three seconds of rest.

use fleet::Millis;

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

/// The request by which a runner is tried after its rest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Trial {
    /// The runner has run a request since it last asked for rest.
    #[default]
    Passed,
    /// No request has been sent there since.
    Due,
    /// This one is on its way, and others wait for how it ends: after a rest a runner is the idlest of all, and every
    /// request of this gateway would go there at once only to be turned away.
    UnderWay(RequestKey),
}

/// What one life of a runner has said in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notices {
    /// It never takes this back.
    is_leaving: bool,
    /// Until when it wants to be left alone. A request that it runs meanwhile was there before and does not end this.
    rest_until: Millis,
    trial: Trial,
}

impl Notices {
    /// Takes in what an answer says. Gives whether that is news.
    pub fn take(&mut self, now: Millis, notice: Notice) -> bool {
        let leaves_now = notice.is_leaving && !self.is_leaving;
        self.is_leaving |= notice.is_leaving;
        let Some(rest_ms) = notice.rest_ms.filter(|it| *it > 0) else {
            return leaves_now;
        };
        let rested = self.rest_left_ms(now) == 0;
        self.rest_until = self.rest_until.max(now.plus(rest_ms));
        self.trial = Trial::Due;
        leaves_now || rested
    }

    /// Whether the runner has said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// How much longer it wants to be left alone, in milliseconds.
    pub fn rest_left_ms(&self, now: Millis) -> u64 {
        self.rest_until.since(now).0
    }

    /// Whether a request may be sent there, as far as the runner has said.
    pub fn admit(&self, now: Millis, key: RequestKey) -> bool {
        let is_its_turn = match self.trial {
            Trial::Passed | Trial::Due => true,
            Trial::UnderWay(other) => other == key,
        };
        !self.is_leaving && self.rest_left_ms(now) == 0 && is_its_turn
    }

    /// A request was chosen for the runner.
    pub fn note_chosen(&mut self, key: RequestKey) {
        if self.trial == Trial::Due {
            self.trial = Trial::UnderWay(key);
        }
    }

    /// The runner began to answer a request, and so runs it.
    pub fn note_run(&mut self, key: RequestKey) {
        if self.trial == Trial::UnderWay(key) {
            self.trial = Trial::Passed;
        }
    }

    /// A request is there no more. If it was the trial and was not run, the next one is.
    pub fn note_end(&mut self, key: RequestKey) {
        if self.trial == Trial::UnderWay(key) {
            self.trial = Trial::Due;
        }
    }

    /// Whether anything of it still binds.
    pub fn binds(&self, now: Millis) -> bool {
        self.is_leaving || self.rest_left_ms(now) > 0
    }
}
