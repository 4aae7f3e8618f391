//! Faults of runners and of the links to them.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use platform_standin::{RunnerFault, RunnerStandin};
use serde_json::{json, Value};

use super::{DelayedAction, FaultInjector, POLL_INTERVAL, RESTART_DELAY};
use crate::faults::{Silence, StatedLimit, CRASH_PARTS};
use crate::fleet::{hall_name, COLD_START};
use crate::history::{Cold, Leaving, PartPeriod, Target};
use crate::proxy::LinkFault;

/// Minimum time that callers send a request that crashes runners: until all gateways must know of it, and some
/// time in which that is checked.
const MIN_CRASH_REQUESTS: Duration = Duration::from_millis(5000);
/// Minimum time that callers send requests with a part that crashes runners: until sound requests must be served
/// again, and some time in which that is checked.
const MIN_CRASH_PARTS: Duration = Duration::from_millis(10_000);
/// Minimum time that a runner states a rate limit: until the limit must be known, and the window in which
/// requests are counted.
const MIN_LIMIT: Duration = Duration::from_millis(8000);

/// How long a leaving runner may take to finish its requests.
const MAX_LEAVING: Duration = Duration::from_millis(10_000);

impl FaultInjector<'_> {
    /// Changes a runner and its entry in the list of runners.
    pub(super) fn change_runner(&mut self, number: usize, change: impl FnOnce(&mut RunnerStandin)) {
        let engine = self.fleet.runners[number].engine;
        self.fleet.standin.change_runner(engine, change);
    }

    /// Has a runner write its current entry to the list.
    pub(super) fn relist_runner(&mut self, number: usize) {
        self.change_runner(number, |_| {});
    }

    /// Applies a fault to the link to a runner until `until`.
    pub(super) fn break_runner_link(
        &mut self,
        number: usize,
        link_fault: LinkFault,
        until: Duration,
    ) {
        self.fleet.runners[number].proxy.set_fault(link_fault);
        self.record_disruption(Target::Runner(number), until);
        self.schedule(until, DelayedAction::RestoreRunnerLink(number));
    }

    /// Silences the open connections to a runner.
    pub(super) fn silence_runner_connections(&mut self, number: usize) {
        self.fleet.runners[number].proxy.silence_open_connections();
        self.record_disruption(Target::Runner(number), self.now());
    }

    /// Applies a fault to a runner until `until`.
    pub(super) fn set_runner_fault(&mut self, number: usize, fault: RunnerFault, until: Duration) {
        self.change_runner(number, |it| it.fault = fault);
        self.record_disruption(Target::Runner(number), until);
        self.schedule(until, DelayedAction::RestoreRunner(number));
    }

    /// Has a runner fall silent and go on. It is sound all the while, so no disruption is recorded.
    pub(super) fn silence_runner(&mut self, number: usize, silence: Silence, until: Duration) {
        match silence {
            Silence::Complete(millis) => {
                let end = Instant::now() + Duration::from_millis(millis);
                self.change_runner(number, |it| it.silent_until = Some(end));
            }
            Silence::InEachAnswer(events, millis) => {
                let engine = self.fleet.runners[number].engine;
                let is_sound = |it: RunnerStandin| it.fault == RunnerFault::None;
                if self.fleet.standin.runner(engine).is_some_and(is_sound) {
                    // A plain answer can only pause before its head.
                    let events = if number < self.fleet.sidecars.len() { events } else { 0 };
                    let pause = Duration::from_millis(millis);
                    let fault = RunnerFault::PauseAfter { events, pause };
                    self.change_runner(number, |it| it.fault = fault);
                    self.schedule(until, DelayedAction::EndSilence(number));
                }
            }
        }
    }

    /// Ends the pauses in the answers of a runner.
    pub(super) fn end_silence(&mut self, number: usize) {
        self.change_runner(number, |it| {
            if matches!(it.fault, RunnerFault::PauseAfter { .. }) {
                it.fault = RunnerFault::None;
            }
        });
    }

    /// Restarts a runner without weights and under a new id.
    pub(super) fn restart_with_new_id(&mut self, number: usize, until: Duration) {
        self.fleet.runners[number].restarts += 1;
        self.restart_with_same_id(number, until);
    }

    /// Restarts a runner without weights and under the same id.
    pub(super) fn restart_with_same_id(&mut self, number: usize, until: Duration) {
        let id = self.fleet.runners[number].id();
        self.change_runner(number, |it| it.restart(&id));
        self.record_disruption(Target::Runner(number), until);
    }

    /// Has a runner report that it leaves, and schedules its replacement.
    pub(super) fn drain_runner(&mut self, number: usize, until: Duration) {
        self.change_runner(number, |it| it.is_leaving = true);
        let runner = self.fleet.runners[number].id();
        self.history.leaving.push(Leaving { runner, at: self.now(), until: None });
        let at = until + RESTART_DELAY;
        self.schedule(at, DelayedAction::ReplaceRunner(number, at + MAX_LEAVING));
    }

    /// Replaces a runner that left by one with a new id, once it has finished its requests.
    pub(super) fn replace_runner(&mut self, number: usize, latest: Duration) {
        let engine = self.fleet.runners[number].engine;
        let is_busy = self.fleet.standin.runner(engine).is_some_and(|it| it.running > 0);
        if is_busy && self.now() < latest {
            let next = self.now() + POLL_INTERVAL;
            self.schedule(next, DelayedAction::ReplaceRunner(number, latest));
            return;
        }
        self.record_planned_work(format!("replacement of runner {number}"));
        let runner = &mut self.fleet.runners[number];
        let id = runner.id();
        runner.restarts += 1;
        let new_id = runner.id();
        self.change_runner(number, |it| it.restart(&new_id));
        let now = self.now();
        let leaves = self.history.leaving.iter_mut();
        leaves
            .filter(|it| it.runner == id && it.until.is_none())
            .for_each(|it| it.until = Some(now));
    }

    /// Has a runner reject all requests until `until` and ask for a backoff each time.
    pub(super) fn shed_load(&mut self, number: usize, backoff: Duration, until: Duration) {
        self.change_runner(number, |it| it.reject_with_retry_after = Some(backoff));
        self.record_disruption(Target::Runner(number), until);
        self.schedule(until, DelayedAction::EndShedding(number));
    }

    /// Has a runner state a rate limit for a while. No two limits of a run are the same.
    pub(super) fn state_limit(
        &mut self,
        number: usize,
        stated: StatedLimit,
        reported: bool,
        until: Duration,
    ) {
        self.limits_stated += 1;
        let limit = match stated {
            StatedLimit::Thousandths(rate) => {
                format!("{:.3}", f64::from(rate + self.limits_stated) / 1000.0)
            }
            StatedLimit::Unreadable => format!("some {}", self.limits_stated),
        };
        self.change_runner(number, |it| {
            it.limit = Some(limit.clone());
            it.advertises_limit_in_reports = reported;
        });
        self.schedule(until + MIN_LIMIT, DelayedAction::ClearLimit(number, limit));
    }

    /// Clears the rate limit of a runner, unless it states another one by now.
    pub(super) fn clear_limit(&mut self, number: usize, limit: &str) {
        self.change_runner(number, |it| {
            if it.limit.as_deref() == Some(limit) {
                it.limit = None;
            }
        });
    }

    /// Restarts a plain runner that is cold at first.
    pub(super) fn start_cold_runner(&mut self, number: usize) {
        let runner = &mut self.fleet.runners[number];
        runner.restarts += 1;
        let id = runner.id();
        let from = self.shared.start.elapsed();
        self.fleet.standin.change_runner(runner.engine, |it| {
            it.restart(&id);
            it.cold_until = Some(Instant::now() + COLD_START);
        });
        let until = from + COLD_START;
        self.history.cold.push(Cold { runner: id, from, until });
        self.schedule(until, DelayedAction::ReportWarm(number));
    }

    /// Has callers send a request that crashes runners. It can reach any model runner.
    pub(super) fn send_crash_requests(&mut self, until: Duration) {
        if self
            .delayed_actions
            .iter()
            .any(|(_, action)| matches!(action, DelayedAction::EndCrashRequests))
        {
            return;
        }
        self.crash_requests += 1;
        self.shared.crash_request.store(self.crash_requests, Ordering::Relaxed);
        let until = until + MIN_CRASH_REQUESTS;
        for runner in 0..self.fleet.sidecars.len() {
            self.record_disruption(Target::Runner(runner), until);
        }
        self.schedule(until, DelayedAction::EndCrashRequests);
    }

    /// Has callers send requests with a part that crashes runners. They can reach any model runner.
    pub(super) fn send_crash_parts(&mut self, until: Duration) {
        let is_active = |action: &DelayedAction| matches!(action, DelayedAction::EndCrashParts);
        let active = self.delayed_actions.iter().any(|(_, action)| is_active(action));
        if active || self.crash_parts == CRASH_PARTS {
            return;
        }
        self.crash_parts += 1;
        self.shared.crash_part.store(self.crash_parts, Ordering::Relaxed);
        let until = until + MIN_CRASH_PARTS;
        for runner in 0..self.fleet.sidecars.len() {
            self.record_disruption(Target::Runner(runner), until);
        }
        let from = self.history.disruptions.last().map_or(self.action_start, |it| it.from);
        self.history.part_periods.push(PartPeriod { number: self.crash_parts, from, until });
        self.schedule(until, DelayedAction::EndCrashParts);
    }

    /// Writes rows of a foreign writer: a new one, and one in place of a runner's entry. That runner must
    /// receive no requests until its own entry is back, which the stand-in records: runners write theirs
    /// whenever it changes. Every other time the rows are valid and name an unknown service.
    pub(super) fn write_foreign_rows(&mut self, number: usize, until: Duration) {
        let (runner, address) =
            (self.fleet.runners[number].id(), self.fleet.runners[number].engine);
        let rows = [json!({"state": "resting"}), json!([1]), json!("no entry")];
        self.foreign_writes += 1;
        let row = match self.foreign_writes % 2 {
            0 => entry_of_unknown_service(address),
            _ => rows[number % rows.len()].clone(),
        };
        self.fleet.standin.write_row("servers", "foreign", row.clone());
        self.fleet.standin.write_row("servers", &runner, row);
        self.record_disruption(Target::Runner(number), until + RESTART_DELAY);
        self.schedule(until + RESTART_DELAY, DelayedAction::RelistRunner(number));
    }
}

/// A valid entry that lists no runner, because the configuration does not have its service.
fn entry_of_unknown_service(address: SocketAddr) -> Value {
    json!({
        "service": "neither here nor there", "address": address, "zone": hall_name(0), "version": "v1", "slots": 16,
        "state": "ready", "coldRemainingMs": 0, "sequence": 0,
    })
}
