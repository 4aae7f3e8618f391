//! The checks right before a request is sent to the selected runner.

use fleet::{InstanceId, Millis};

use super::progress::Progress;
use super::Gateway;
use crate::event::RequestKey;
use crate::runner::Runner;

impl Gateway {
    /// Whether a request may still be sent to the runner that was selected for it. Called right
    /// before sending, so that changes since the selection count.
    pub fn may_send(&self, now: Millis, key: RequestKey) -> bool {
        let Some(progress) = self.requests.get(&key) else {
            return false;
        };
        let current = progress.current.as_ref().map(|it| &it.runner);
        let runner = current.and_then(|it| Some((self.pool.runner(&it.id)?, it.incarnation)));
        let runner = runner
            .filter(|(runner, incarnation)| runner.incarnation == *incarnation)
            .map(|it| it.0);
        let is_barred = Self::is_barred(&self.crashes, now, key, progress);
        !is_barred
            && !self.resume_hold.is_holding()
            && runner.is_some_and(|it| {
                it.is_open()
                    && self.may_send_by_rate(progress, it)
                    && it.record.service == progress.arrival.service
                    && it.notices.admit(now, key)
                    && self.chooser().is_allowed(now, it, &progress.arrival)
            })
    }

    /// The time by which a request that is sent now must have begun at the selected runner, after
    /// which its version may no longer be used. `None` if there is no such time.
    pub fn start_deadline(&self, now: Millis, key: RequestKey) -> Option<Millis> {
        let current = self.requests.get(&key)?.current.as_ref()?;
        self.start_deadline_at(now, &current.runner.id)
    }

    /// The time by which a request must have begun at a runner, after which its version may no
    /// longer be used. `None` if there is no such time.
    pub fn start_deadline_at(&self, now: Millis, runner: &InstanceId) -> Option<Millis> {
        self.pool.deadline_of(now, self.pool.runner(runner)?)
    }

    /// Whether the runner's rate limit allows sending a request to the selected runner: its sidecar
    /// granted the reservation within the limit, or this gateway has a share of the rate.
    fn may_send_by_rate(&self, progress: &Progress, runner: &Runner) -> bool {
        let by_sidecar = self.asks_sidecars(&progress.arrival) && runner.is_limit_enforced;
        let by_itself = progress.current.as_ref().is_some_and(|it| it.runner.has_token);
        runner.notices.limit.rate().is_none() || by_sidecar || by_itself
    }
}
