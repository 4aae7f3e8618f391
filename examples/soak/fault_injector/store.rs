//! Faults of the store and of the links between processes and the store.

use std::time::Duration;

use platform_standin::StoreFault;

use super::{DelayedAction, FaultInjector};
use crate::faults::HALLS;
use crate::history::Target;
use crate::proxy::LinkFault;

/// Maximum delay between a rollback of the store and the rewrite of the lost rows.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(1500);
/// Number of additional revisions that each rollback loses.
const LOST_REVISIONS: usize = 60;
/// How long after a rollback the bounds apply to every process again, with a margin.
const SETTLE_TIME: Duration = Duration::from_millis(4000);

impl FaultInjector<'_> {
    /// Applies a fault to the store until `until`.
    pub(super) fn set_store_fault(&mut self, fault: StoreFault, until: Duration) {
        self.fleet.standin.set_store_fault(fault);
        self.record_disruption(Target::Store, until);
        self.schedule(until, DelayedAction::RestoreStore);
    }

    /// Makes the store slow until `until`, unless another fault of the store is active.
    pub(super) fn slow_store(&mut self, least_ms: u64, most_ms: u64, until: Duration) {
        if self
            .delayed_actions
            .iter()
            .any(|(_, action)| matches!(action, DelayedAction::RestoreStore))
        {
            return;
        }
        self.fleet.standin.set_store_fault(StoreFault::Slow { least_ms, most_ms });
        self.record_disruption(Target::SlowStore, until);
        self.schedule(until, DelayedAction::RestoreStore);
    }

    /// Applies a fault to the link between a process and the store until `until`.
    pub(super) fn break_store_link(
        &mut self,
        number: usize,
        link_fault: LinkFault,
        until: Duration,
    ) {
        self.process(number).store_proxy.set_fault(link_fault);
        self.record_disruption(self.target(number), until);
        self.schedule(until, DelayedAction::RestoreStoreLink(number));
    }

    /// Silences the open connections between a process and the store.
    pub(super) fn silence_store_connections(&mut self, number: usize) {
        self.process(number).store_proxy.silence_open_connections();
        self.record_disruption(self.target(number), self.now());
    }

    /// Rolls the store back to an older copy. Operators and runners write the lost rows again later; until
    /// then, and until all processes have read them, the store counts as disrupted.
    pub(super) fn roll_back_store(&mut self, age: Duration, until: Duration) {
        if self
            .delayed_actions
            .iter()
            .any(|(_, action)| matches!(action, DelayedAction::RewriteLostRows(_)))
        {
            return;
        }
        // Creates revisions that are lost, so that revisions issued after the rollback have been read before.
        let engine = self.fleet.runners[0].engine;
        (0..LOST_REVISIONS).for_each(|_| self.fleet.standin.change_runner(engine, |_| {}));
        let lost = self.fleet.standin.restore_older_copy(age);
        let rewrite_at = self.now() + MAX_REWRITE_DELAY.min(until.saturating_sub(self.now()));
        self.record_disruption(Target::Store, rewrite_at);
        self.schedule(rewrite_at, DelayedAction::RewriteLostRows(lost));
        let hall = age.as_millis() as usize % HALLS;
        self.schedule(rewrite_at + SETTLE_TIME, DelayedAction::EvacuateAfterRollback(hall));
    }
}
