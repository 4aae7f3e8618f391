//! When the runner takes requests, for gateways that have to send callers away until then.

use fleet::Millis;

use super::{Rollout, DRAIN_PATIENCE, STAGING};
use crate::target::{Step, Target};

/// How long a runner takes to show that it holds a version, on top of its own time, in milliseconds: the
/// time between two readings of its report.
const REPORT_DELAY: u64 = 100;

impl Rollout {
    /// How long it takes until the runner takes requests, in milliseconds: zero where it does, `None` where
    /// nobody can tell.
    pub fn serves_in_ms(&self, now: Millis) -> Option<u32> {
        if self.is_evacuated(now) {
            return None;
        }
        let serving = self.status.as_ref().is_some_and(|it| !it.busy && it.version.is_some());
        if serving && !self.is_leaving(now) && !self.is_too_old(now) {
            return Some(0);
        }
        let warm = self.plan.as_ref()?.warm_ms + REPORT_DELAY;
        let target = self.usable_target(now)?;
        let left = match target.step {
            Step::Waiting(at) => self.until_order(now, at) + STAGING + warm,
            Step::Staging => STAGING + warm,
            Step::Ordered(at, _) => at.plus(warm).since(now).0,
            Step::Drawing => self.until_whole(now, target)? + STAGING + warm,
            _ => return None,
        };
        u32::try_from(left).ok()
    }

    /// The version that the runner serves next: the newer one where the other may be used no more.
    fn usable_target(&self, now: Millis) -> Option<&Target> {
        let current = self.current.as_ref()?;
        if self.is_past(now, current.version) {
            self.next.as_ref()
        } else {
            Some(current)
        }
    }

    /// How long the runner still works before it is ordered, in milliseconds.
    fn until_order(&self, now: Millis, at: Millis) -> u64 {
        let works = self.status.as_ref().is_some_and(|it| it.running > 0);
        let drain = if works { DRAIN_PATIENCE } else { 0 };
        at.plus(drain).since(now).0
    }

    /// How long the missing chunks take over the machine's link, in milliseconds. `None` while none comes:
    /// the origin may be out for any time.
    fn until_whole(&self, now: Millis, target: &Target) -> Option<u64> {
        target.until_whole_ms(now, self.options.link_bytes_per_s)
    }
}
