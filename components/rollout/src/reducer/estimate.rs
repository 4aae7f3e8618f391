//! Estimates when the runner will accept requests. Gateways derive the retry delay for rejected callers from
//! it.

use fleet::Millis;

use super::{Rollout, DRAIN_TIMEOUT_MS, STAGING_MS};
use crate::target::{Step, Target};

/// Time until a runner that has loaded a version reports it, in addition to the loading time, in
/// milliseconds: the interval between two reads of its report.
const REPORT_DELAY_MS: u64 = 100;

impl Rollout {
    /// Time until the runner accepts requests, in milliseconds: zero if it does now, `None` if it cannot be
    /// estimated.
    pub fn serves_in_ms(&self, now: Millis) -> Option<u32> {
        if self.is_evacuated(now) {
            return None;
        }
        let serving =
            self.status.as_ref().is_some_and(|it| !it.is_executing_order && it.version.is_some());
        if serving && !self.is_leaving(now) && !self.is_past_start_deadline(now) {
            return Some(0);
        }
        let load_ms = self.plan.as_ref()?.warm_ms + REPORT_DELAY_MS;
        let target = self.next_served_target(now)?;
        let left_ms = match target.step {
            Step::Waiting(at) => self.until_order_ms(now, at) + STAGING_MS + load_ms,
            Step::Staging(_) => STAGING_MS + load_ms,
            Step::Ordered(at, _) => at.plus(load_ms).since(now).0,
            Step::Fetching => self.until_fetched_ms(now, target)? + STAGING_MS + load_ms,
            _ => return None,
        };
        u32::try_from(left_ms).ok()
    }

    /// The version that the runner serves next: the newer one if the other may no longer be used.
    fn next_served_target(&self, now: Millis) -> Option<&Target> {
        let current = self.current.as_ref()?;
        if self.is_expired(now, current.version) {
            self.next.as_ref()
        } else {
            Some(current)
        }
    }

    /// Time until the runner is ordered, including draining, in milliseconds.
    fn until_order_ms(&self, now: Millis, at: Millis) -> u64 {
        let is_working = self.status.as_ref().is_some_and(|it| it.running > 0);
        let drain = if is_working { DRAIN_TIMEOUT_MS } else { 0 };
        at.plus(drain).since(now).0
    }

    /// Time to fetch the missing chunks over the machine's link, in milliseconds. `None` while no chunk
    /// arrives, because the origin may be unavailable for any length of time.
    fn until_fetched_ms(&self, now: Millis, target: &Target) -> Option<u64> {
        target.until_complete_ms(now, self.options.link_bytes_per_s)
    }
}
