//! The store, and the ways of processes to it.

use std::time::Duration;

use platform_standin::StoreFault;

use super::{Conductor, End};
use crate::faults::HALLS;
use crate::history::Target;
use crate::proxy::Harm;

/// How long after the store went back what it lost is written again, at most.
const WRITTEN_AGAIN: Duration = Duration::from_millis(1500);
/// Revisions that each copy lacks besides.
const LOST_REVISIONS: usize = 60;
/// How long after a copy every process is held to the bounds again, with some time to spare.
const SETTLED: Duration = Duration::from_millis(4000);

impl Conductor<'_> {
    /// Has the store misbehave for a while.
    pub(super) fn harm_store(&mut self, fault: StoreFault, until: Duration) {
        self.fleet.standin.set_store_fault(fault);
        self.note(Target::Store, until);
        self.later(until, End::HealStore);
    }

    /// Has the store take a while for each call, unless it misbehaves otherwise.
    pub(super) fn slow_store(&mut self, least_ms: u64, most_ms: u64, until: Duration) {
        if self.ends.iter().any(|(_, end)| matches!(end, End::HealStore)) {
            return;
        }
        self.fleet.standin.set_store_fault(StoreFault::Slow { least_ms, most_ms });
        self.note(Target::SlowStore, until);
        self.later(until, End::HealStore);
    }

    /// Harms the way of a process to the store for a while.
    pub(super) fn harm_store_link(&mut self, number: usize, harm: Harm, until: Duration) {
        self.process(number).store.set(harm);
        self.note(self.target(number), until);
        self.later(until, End::HealStoreLink(number));
    }

    /// Silences the connections of a process to the store that are open.
    pub(super) fn silence_store_link(&mut self, number: usize) {
        self.process(number).store.silence_open();
        self.note(self.target(number), self.now());
    }

    /// The store goes back to an older copy. Operators and runners write again what is lost, a while later: until then,
    /// and until all have read it, the store is not itself.
    pub(super) fn go_back(&mut self, age: Duration, until: Duration) {
        if self.ends.iter().any(|(_, end)| matches!(end, End::WriteAgain(_))) {
            return;
        }
        // Revisions that are lost, so that those given out next were read before.
        let engine = self.fleet.runners[0].engine;
        (0..LOST_REVISIONS).for_each(|_| self.fleet.standin.change_runner(engine, |_| {}));
        let lost = self.fleet.standin.go_back(age);
        let again_at = self.now() + WRITTEN_AGAIN.min(until.saturating_sub(self.now()));
        self.note(Target::Store, again_at);
        self.later(again_at, End::WriteAgain(lost));
        let hall = age.as_millis() as usize % HALLS;
        self.later(again_at + SETTLED, End::EvacuateAfterCopy(hall));
    }
}
