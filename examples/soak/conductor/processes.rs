//! Gateways and sidecars: killed, paused, stopped and started again.

use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::process::Signal;

use super::{Conductor, End, AWAY, STEP};
use crate::history::{Stop, Target};

/// How long a stopped process may take to end before it is killed.
const GRACE: Duration = Duration::from_millis(8000);

impl Conductor<'_> {
    /// Whether a process runs and nothing is about to be done to it.
    pub(super) fn is_going(&mut self, number: usize) -> bool {
        let leaves = self.ends.iter().any(|(_, end)| {
            matches!(end, End::StartAgain(it) | End::Wake(it) | End::StoppedBy(it, _)
                if *it == number)
        });
        !leaves && !self.process(number).has_ended()
    }

    /// Kills a process. It starts again after a while.
    pub(super) fn kill(&mut self, number: usize) {
        let again_at = self.now() + AWAY;
        self.process(number).signal(Signal::KILL);
        self.note(self.target(number), again_at);
        self.later(again_at, End::StartAgain(number));
    }

    /// Has a process stand still for a while.
    pub(super) fn pause(&mut self, number: usize, until: Duration) {
        self.process(number).signal(Signal::STOP);
        if let Target::Gateway(gateway) = self.target(number) {
            self.history.pauses.push(Stop { gateway, at: self.now() });
        }
        self.note(self.target(number), until);
        self.later(until, End::Wake(number));
    }

    /// Tells a process to stop. It starts again once it has ended.
    pub(super) fn stop(&mut self, number: usize) {
        self.process(number).signal(Signal::TERM);
        let by = self.now() + GRACE;
        if let Target::Gateway(gateway) = self.target(number) {
            self.history.stops.push(Stop { gateway, at: self.now() });
        } else {
            self.note(self.target(number), self.now() + AWAY);
        }
        self.later(self.now() + STEP, End::StoppedBy(number, by));
    }

    /// Tells a process to stop. The other build starts again in its place, where there are two.
    pub(super) fn upgrade(&mut self, number: usize) {
        self.process(number).change_build();
        self.stop(number);
    }

    /// Starts a stopped process again if it has ended, and kills it if it takes too long.
    pub(super) fn see_stopped(&mut self, number: usize, by: Duration) -> eyre::Result<()> {
        if self.process(number).has_ended() {
            return self.start_again(number);
        }
        let next = if self.now() >= by {
            self.process(number).signal(Signal::KILL);
            End::StartAgain(number)
        } else {
            End::StoppedBy(number, by)
        };
        self.later(self.now() + STEP, next);
        Ok(())
    }

    /// Starts a process that has ended.
    pub(super) fn start_again(&mut self, number: usize) -> eyre::Result<()> {
        let programs = self.fleet.programs().to_vec();
        let target = self.target(number);
        let process = self.process(number);
        process.restart(&programs)?;
        let (life, is_old) = (process.life, process.is_old());
        if let Target::Gateway(gateway) = target {
            if is_old {
                self.history.old.insert((gateway, life));
            }
            self.shared.gateways[gateway].1.store(u64::from(life), Ordering::Relaxed);
        }
        // It knows nothing yet.
        self.note(target, self.now() + AWAY);
        Ok(())
    }

    /// Changes the settings file of a process, which may be `told` of that.
    pub(super) fn rewrite_settings(&mut self, number: usize, told: bool) -> eyre::Result<()> {
        let process = self.process(number);
        process.rewrite_settings()?;
        if told {
            process.signal(Signal::HUP);
        }
        Ok(())
    }
}
