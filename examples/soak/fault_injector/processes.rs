//! Faults of gateway and sidecar processes: kill, pause, stop, upgrade and changed settings.

use std::sync::atomic::Ordering;
use std::time::Duration;

use rustix::process::Signal;

use super::{DelayedAction, FaultInjector, POLL_INTERVAL, RESTART_DELAY};
use crate::history::{Stop, Target};

/// How long a process may take to end after SIGTERM before it is killed.
const STOP_TIMEOUT: Duration = Duration::from_millis(8000);

impl FaultInjector<'_> {
    /// Whether a process runs and no fault that kills, pauses or stops it is active.
    pub(super) fn is_available(&mut self, number: usize) -> bool {
        let is_busy = self.unavailable_processes.contains(&number);
        !is_busy && !self.process(number).has_ended()
    }

    /// Kills a process and schedules its restart.
    pub(super) fn kill_process(&mut self, number: usize) {
        let restart_at = self.now() + RESTART_DELAY;
        self.unavailable_processes.insert(number);
        self.process(number).signal(Signal::KILL);
        self.record_disruption(self.target(number), restart_at);
        self.schedule(restart_at, DelayedAction::RestartProcess(number));
    }

    /// Pauses a process with SIGSTOP until `until`.
    pub(super) fn pause_process(&mut self, number: usize, until: Duration) {
        self.unavailable_processes.insert(number);
        self.process(number).signal(Signal::STOP);
        if let Target::Gateway(gateway) = self.target(number) {
            self.history.pauses.push(Stop { gateway, at: self.now() });
        }
        self.record_disruption(self.target(number), until);
        self.schedule(until, DelayedAction::ResumeProcess(number));
    }

    /// Resumes a paused process.
    pub(super) fn resume_process(&mut self, number: usize) {
        self.process(number).signal(Signal::CONT);
        self.unavailable_processes.remove(&number);
    }

    /// Sends SIGTERM to a process, which is restarted once it has ended.
    pub(super) fn stop_process(&mut self, number: usize) {
        self.unavailable_processes.insert(number);
        self.process(number).signal(Signal::TERM);
        let deadline = self.now() + STOP_TIMEOUT;
        if let Target::Gateway(gateway) = self.target(number) {
            self.history.stops.push(Stop { gateway, at: self.action_start });
        } else {
            self.record_planned_disruption(self.target(number), self.now() + RESTART_DELAY);
        }
        self.schedule(self.now() + POLL_INTERVAL, DelayedAction::CheckStopped(number, deadline));
    }

    /// Stops a process and restarts it with the other build, if there are two.
    pub(super) fn upgrade_process(&mut self, number: usize) {
        self.process(number).switch_build();
        self.stop_process(number);
    }

    /// Restarts a stopped process if it has ended. Kills it if it has not ended by `deadline`.
    pub(super) fn check_stopped(&mut self, number: usize, deadline: Duration) -> eyre::Result<()> {
        if self.process(number).has_ended() {
            let failure = self.process(number).failure();
            self.history.ended_processes.extend(failure);
            return self.restart_stopped_process(number);
        }
        let next_action = if self.now() >= deadline {
            self.process(number).signal(Signal::KILL);
            self.record_planned_work(format!("end of the grace period of {number}"));
            DelayedAction::RestartStoppedProcess(number)
        } else {
            DelayedAction::CheckStopped(number, deadline)
        };
        self.schedule(self.now() + POLL_INTERVAL, next_action);
        Ok(())
    }

    /// Restarts a process that was killed.
    pub(super) fn restart_killed_process(&mut self, number: usize) -> eyre::Result<()> {
        self.restart_process(number)?;
        self.record_disruption(self.target(number), self.now() + RESTART_DELAY);
        Ok(())
    }

    /// Restarts a process that was asked to stop.
    pub(super) fn restart_stopped_process(&mut self, number: usize) -> eyre::Result<()> {
        self.restart_process(number)?;
        self.record_planned_work(format!("start of {number}"));
        self.record_planned_disruption(self.target(number), self.now() + RESTART_DELAY);
        Ok(())
    }

    /// Restarts a process that has ended. The new one has no state yet, so the caller records a disruption.
    fn restart_process(&mut self, number: usize) -> eyre::Result<()> {
        let programs = self.fleet.programs().to_vec();
        let target = self.target(number);
        let process = self.process(number);
        process.restart(&programs)?;
        self.unavailable_processes.remove(&number);
        let process = self.process(number);
        let (restarts, runs_old_build) = (process.restarts, process.runs_old_build());
        if let Target::Gateway(gateway) = target {
            if runs_old_build {
                self.history.old_builds.insert((gateway, restarts));
            }
            self.shared.gateways[gateway].1.store(u64::from(restarts), Ordering::Relaxed);
        }
        Ok(())
    }

    /// Changes the settings file of a process, and sends it SIGHUP if `signalled` is set.
    pub(super) fn rewrite_settings(&mut self, number: usize, signalled: bool) -> eyre::Result<()> {
        let process = self.process(number);
        process.rewrite_settings()?;
        if signalled {
            process.reload();
        }
        Ok(())
    }
}
