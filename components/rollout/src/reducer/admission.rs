//! Which requests the sidecar lets through to its runner.

use fleet::Millis;

use super::{Rollout, NOTICE};
use crate::places::{Denial, Places};
use crate::target::Step;

/// How long before its bound nothing is started on an older version any more, in milliseconds.
const START_MARGIN: u64 = 900;

impl Rollout {
    /// Gives a place at the runner to a request with a prompt of so many tokens, or says why not.
    pub fn reserve(&mut self, now: Millis, prompt_tokens: u32) -> Result<(), Denial> {
        if !self.status.as_ref().is_some_and(|it| !it.busy && it.version.is_some()) {
            return Err(Denial::NotServing);
        }
        if self.is_exposed() {
            return Err(Denial::LastOrder);
        }
        if self.is_leaving(now) {
            return Err(Denial::Leaving);
        }
        if self.is_too_old(now) {
            return Err(Denial::TooOld);
        }
        self.places.give(now, prompt_tokens)
    }

    /// Whether this machine gave the last order of all while its runner holds an older version than
    /// the newest. A request that waits at the runner when the machine stands still would start on a
    /// version that is too old by then.
    pub(super) fn is_exposed(&self) -> bool {
        let held = self.status.as_ref().and_then(|it| it.version).unwrap_or(0);
        self.ordered_at.is_some() && held < self.named.0
    }

    /// Whether the runner is about to be ordered. Gateways hear of that first, so that nothing waits
    /// at the runner when it stops beginning requests.
    pub fn is_leaving(&self, now: Millis) -> bool {
        if self.is_exposed() {
            return true;
        }
        let Some(target) = &self.current else {
            return false;
        };
        match target.step {
            Step::Waiting(at) => now.plus(NOTICE) >= at,
            Step::Staging | Step::Ordered(..) => true,
            _ => false,
        }
    }

    /// The places at the runner.
    pub fn places(&self) -> &Places {
        &self.places
    }

    /// Whether the runner's version may hardly be used any more.
    fn is_too_old(&self, now: Millis) -> bool {
        let held = self.status.as_ref().and_then(|it| it.version).unwrap_or(0);
        let span = self.options.version_ms.saturating_sub(START_MARGIN);
        let mut targets = self.current.iter().chain(&self.next);
        targets.any(|it| it.version > held && now.since(it.named_at).0 >= span)
    }
}
