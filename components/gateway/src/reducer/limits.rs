//! Limits what this gateway sends to runners that have a rate limit, and reports the limits to
//! other processes.

use fleet::{InstanceId, Millis};
use rand::Rng;

use super::Gateway;
use crate::event::{Effect, NoticeChange};
use crate::limits::{draw_limits, max_gateways, IncarnationLimit};
use crate::notices::Notice;

impl Gateway {
    /// Applies the limits that other gateways received, as a sidecar reports.
    pub(super) fn apply_limits(
        &mut self,
        now: Millis,
        reported: &[IncarnationLimit],
    ) -> Vec<Effect> {
        let mut changes = Vec::new();
        for it in reported {
            changes.extend(self.pool.apply_incarnation_limit(now, it));
            // A process may not know that a limit has ended, so the runner is added again and its
            // end is reported once more.
            let runners = self.pool.of_incarnation(it.life).map(|it| it.record.id.clone());
            runners.for_each(|id| self.limits.add(&id));
        }
        self.note_limits(now, changes)
    }

    /// Updates the rate shares for limits that have changed.
    pub(super) fn note_limits(&mut self, now: Millis, changes: Vec<NoticeChange>) -> Vec<Effect> {
        for NoticeChange { runner, .. } in &changes {
            self.limits.add(runner);
            self.update_limit_share(now, runner);
        }
        changes.into_iter().map(Effect::Notice).collect()
    }

    /// Applies new information that a runner sent about itself.
    pub(super) fn note_notice(
        &mut self,
        now: Millis,
        runner: InstanceId,
        notice: Notice,
    ) -> Vec<Effect> {
        let has_limit_changed = notice.limit.is_some();
        let change = NoticeChange { runner, notice };
        if has_limit_changed {
            return self.note_limits(now, vec![change]);
        }
        vec![Effect::Notice(change)]
    }

    /// Updates the rate share for each runner that has a rate limit.
    pub(super) fn update_limit_shares(&mut self, now: Millis) {
        if !self.limits.is_due(now) {
            return;
        }
        let runners: Vec<InstanceId> = self.limits.runners().cloned().collect();
        runners.iter().for_each(|it| self.update_limit_share(now, it));
    }

    /// Updates the rate share for a runner, depending on whether this gateway is responsible for
    /// it.
    fn update_limit_share(&mut self, now: Millis, id: &InstanceId) {
        let runner = self.pool.runner(id).filter(|it| it.limit_to_report(now).is_some());
        let Some(runner) = runner else {
            self.limits.forget(id);
            return;
        };
        let Some(rate) = runner.notices.limit.rate() else {
            return;
        };
        let gateways = self.members.sharing_gateways(now, &id.0, max_gateways(rate));
        self.limits.set_share(now, id, rate, gateways);
    }

    /// The limits to report to processes that do not receive them from the runners: a random
    /// selection if there are many. Limits that a sidecar enforces are left out, because the
    /// sidecar reports them itself.
    pub fn limits_to_report(&self, now: Millis, random: &mut impl Rng) -> Vec<IncarnationLimit> {
        let runners = self.limits.runners().filter_map(|id| self.pool.runner(id));
        let reported = runners.filter(|it| !it.is_limit_enforced).filter_map(|it| {
            Some(IncarnationLimit { life: it.incarnation.digest, limit: it.limit_to_report(now)? })
        });
        draw_limits(reported, random)
    }
}
