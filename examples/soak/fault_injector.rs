//! Injects the planned faults into a fleet.

mod garbage;
mod operators;
mod processes;
mod runners;
mod series;
mod store;

use std::collections::BTreeSet;
use std::fs::OpenOptions;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use platform_standin::{LostRows, RunnerFault, StoreFault};

use crate::callers::Shared;
use crate::faults::{Fault, PlannedFault};
use crate::fleet::{Fleet, Process};
use crate::history::{Disruption, History, PlannedWork, Target};
use crate::proxy::LinkFault;

/// Delay until a killed process is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Bytes of padding in a large plain answer, and in each event of a stream.
const LARGE_PADDING_BYTES: usize = 60_000;
/// Minimum time that a runner reads slowly: until the deadline of a target version set before has passed.
const MIN_SLOW_READING: Duration = Duration::from_millis(9000);
/// Interval at which due actions are run.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// An action that runs at a later time, usually the end of a fault.
enum DelayedAction {
    /// Restarts a process that was killed.
    RestartProcess(usize),
    /// Restarts a process that was asked to stop and killed at the end of its grace period.
    RestartStoppedProcess(usize),
    /// Resumes a paused process.
    ResumeProcess(usize),
    /// Restarts a process that was asked to stop and has ended, and kills it if it has not ended by this time.
    CheckStopped(usize, Duration),
    /// Ends the fault of the store.
    RestoreStore,
    /// Sets a new target version of the weights.
    SetTargetVersion,
    /// Ends the rate limit of the origin.
    RestoreOrigin,
    /// Ends the fault of the link between a process and the store.
    RestoreStoreLink(usize),
    /// Ends the fault of the link to a runner.
    RestoreRunnerLink(usize),
    /// Ends the fault of a runner.
    RestoreRunner(usize),
    /// Ends the garbage in the answers of a model runner to its sidecar.
    EndGarbageForSidecar(usize),
    /// Ends the garbage of the origin.
    EndGarbageOfOrigin,
    /// Records what a flood that began at this time has cost the gateways.
    RecordFloodCost(Duration, Vec<ProcessorTime>),
    /// Deletes a row of a foreign writer.
    DeleteRow(&'static str, String),
    /// Stops a process, and restarts it with the other build if the flag is set.
    StopProcess(usize, bool),
    /// Changes the settings of a process or not, and sends it SIGHUP.
    ReloadProcess(usize, bool),
    /// Changes the configuration for the given time in a series.
    ChangeConfiguration(u64),
    /// Ends the pauses in the answers of a runner.
    EndSilence(usize),
    /// Has a runner overwrite the row of a foreign writer with its own entry.
    RelistRunner(usize),
    /// Replaces a leaving runner by a new one once it is idle, or at the latest at this time.
    ReplaceRunner(usize, Duration),
    /// Ends the slow reading of a runner.
    EndSlowReading(usize),
    /// Ends the load shedding of a runner.
    EndShedding(usize),
    /// Clears the rate limit of a runner, if it is still this one.
    ClearLimit(usize, String),
    /// Has operators and runners write the lost rows again.
    RewriteLostRows(LostRows),
    /// Evacuates a hall after the store was rolled back.
    EvacuateAfterRollback(usize),
    /// Ends the evacuation of a hall.
    EndEvacuation(usize),
    /// Has a cold runner report that it is warm.
    ReportWarm(usize),
    /// Ends the large answers of a runner.
    EndLargeAnswers(usize),
    /// Has callers stop sending the request that crashes runners.
    EndCrashRequests,
    /// Has callers stop sending requests with a part that crashes runners.
    EndCrashParts,
}

/// How often a gateway was restarted, and the processor time that it has used since.
type ProcessorTime = (u32, Duration);

/// Injects the planned faults and records whom they affect.
pub struct FaultInjector<'a> {
    fleet: &'a mut Fleet,
    shared: Shared,
    /// The recorded events.
    pub history: History,
    delayed_actions: Vec<(Duration, DelayedAction)>,
    /// Processes that are killed, paused or being stopped.
    unavailable_processes: BTreeSet<usize>,
    /// When the fault or action began that is being carried out. Callers may see its effect before it is recorded.
    action_start: Duration,
    version: u64,
    /// Number of requests that crash runners so far.
    crash_requests: u64,
    /// Number of parts that crash runners so far.
    crash_parts: u64,
    /// Number of rate limits that runners have stated so far.
    limits_stated: u32,
    /// Number of odd rows that were written so far.
    odd_rows: u64,
    /// Number of times that foreign rows were written so far.
    foreign_writes: u64,
}

impl<'a> FaultInjector<'a> {
    /// Creates an injector without recorded events.
    pub fn new(fleet: &'a mut Fleet, shared: Shared) -> Self {
        Self {
            fleet,
            shared,
            history: History::default(),
            delayed_actions: Vec::new(),
            unavailable_processes: BTreeSet::new(),
            action_start: Duration::ZERO,
            version: 1,
            crash_requests: 0,
            crash_parts: 0,
            limits_stated: 0,
            odd_rows: 0,
            foreign_writes: 0,
        }
    }

    /// Records which gateways run an earlier build at the start of the run.
    pub fn record_old_builds(&mut self) {
        let gateways = self.fleet.gateways.iter().enumerate();
        self.history
            .old_builds
            .extend(gateways.filter(|(_, it)| it.runs_old_build()).map(|it| (it.0, 0)));
    }

    fn now(&self) -> Duration {
        self.shared.start.elapsed()
    }

    /// Injects the planned faults and runs the delayed actions, each at its time.
    pub fn run_plan(&mut self, planned: &[PlannedFault]) -> eyre::Result<()> {
        let mut next = planned.iter().peekable();
        while next.peek().is_some() || !self.delayed_actions.is_empty() {
            let now = self.now();
            while let Some(due) = next.next_if(|it| it.at <= now) {
                self.inject(*due)?;
            }
            let (due, not_due) =
                std::mem::take(&mut self.delayed_actions).into_iter().partition(|it| it.0 <= now);
            self.delayed_actions = not_due;
            let due: Vec<(Duration, DelayedAction)> = due;
            for (_, action) in due {
                self.run_delayed(action)?;
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.history.faults_ended_at = self.now();
        Ok(())
    }

    fn process(&mut self, number: usize) -> &mut Process {
        let gateways = self.fleet.gateways.len();
        match number.checked_sub(gateways) {
            None => &mut self.fleet.gateways[number],
            Some(sidecar) => &mut self.fleet.sidecars[sidecar],
        }
    }

    fn target(&self, number: usize) -> Target {
        match number.checked_sub(self.fleet.gateways.len()) {
            None => Target::Gateway(number),
            Some(sidecar) => Target::Runner(sidecar),
        }
    }

    fn record_disruption(&mut self, target: Target, until: Duration) {
        let from = self.action_start;
        self.history.disruptions.push(Disruption { target, from, until, planned: false });
    }

    /// Records a disruption by planned work.
    fn record_planned_disruption(&mut self, target: Target, until: Duration) {
        let from = self.action_start;
        self.history.disruptions.push(Disruption { target, from, until, planned: true });
    }

    fn record_planned_work(&mut self, what: String) {
        let at = self.now();
        self.history.planned_work.push(PlannedWork { what, at });
    }

    /// Writes a fault to a log beside those of the processes.
    fn log_fault(&self, fault: Fault, until: Duration) -> eyre::Result<()> {
        let path = self.fleet.directory.join("faults.log");
        let mut log = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(writeln!(log, "{:?} to {until:?}: {fault:?}", self.action_start)?)
    }

    /// Schedules an action.
    fn schedule(&mut self, at: Duration, action: DelayedAction) {
        self.delayed_actions.push((at, action));
    }

    /// Injects a fault. A fault that kills, pauses or stops a process is skipped while another one of these is
    /// active there.
    fn inject(&mut self, PlannedFault { span, fault, .. }: PlannedFault) -> eyre::Result<()> {
        self.action_start = self.now();
        let until = self.now() + span;
        self.log_fault(fault, until)?;
        if fault.is_planned_work() {
            self.record_planned_work(format!("{fault:?}"));
        }
        match fault {
            Fault::Kill(number) if self.is_available(number) => self.kill_process(number),
            Fault::Pause(number) if self.is_available(number) => self.pause_process(number, until),
            Fault::Stop(number) if self.is_available(number) => self.stop_process(number),
            Fault::Upgrade(number) if self.is_available(number) => self.upgrade_process(number),
            Fault::Kill(_) | Fault::Pause(_) | Fault::Stop(_) | Fault::Upgrade(_) => {}
            Fault::Reload(number) => self.process(number).reload(),
            Fault::Settings(number, signalled) => self.rewrite_settings(number, signalled)?,
            Fault::Store(fault) => self.set_store_fault(fault, until),
            Fault::ForgetHistory => self.fleet.standin.discard_history(),
            Fault::RollBackStore(age_ms) => {
                self.roll_back_store(Duration::from_millis(age_ms), until)
            }
            Fault::StoreLink(number, link_fault) => {
                self.break_store_link(number, link_fault, until)
            }
            Fault::SilentStoreConnections(number) => self.silence_store_connections(number),
            Fault::RunnerLink(number, link_fault) => {
                self.break_runner_link(number, link_fault, until)
            }
            Fault::SilentRunnerConnections(number) => self.silence_runner_connections(number),
            Fault::Runner(number, fault) => self.set_runner_fault(number, fault, until),
            Fault::Rolling(rolling) => self.schedule_rolling(rolling, false),
            Fault::ReloadStorm(series) => self.schedule_reloads(series),
            Fault::ConfigurationStorm(series) => self.schedule_configurations(series),
            Fault::Release(rolling, series) => {
                self.schedule_rolling(rolling, true);
                self.schedule_configurations(series);
                self.schedule_reloads(series);
                self.set_target_version();
            }
            Fault::Silence(number, silence) => self.silence_runner(number, silence, until),
            Fault::RestartWithNewId(number) => self.restart_with_new_id(number, until),
            Fault::RestartWithSameId(number) => self.restart_with_same_id(number, until),
            Fault::ColdStart(number) => self.start_cold_runner(number),
            Fault::Drain(number) => self.drain_runner(number, until),
            Fault::CorruptChunk(number, index) => {
                self.change_runner(number, |it| it.corrupt_chunk(index))
            }
            Fault::CrashRequests => self.send_crash_requests(until),
            Fault::CrashParts => self.send_crash_parts(until),
            Fault::ForeignRows(number) => self.write_foreign_rows(number, until),
            Fault::Shed(number, backoff_ms) => {
                self.shed_load(number, Duration::from_millis(backoff_ms), until);
            }
            Fault::RateLimit(number, limit, reported) => {
                self.state_limit(number, limit, reported, until);
            }
            Fault::Garbage(number, garbage) => self.send_garbage(number, garbage, until),
            Fault::GarbageForSidecar(number, garbage) => {
                self.send_garbage_to_sidecar(number, garbage, until);
            }
            Fault::GarbageOfStore(garbage) => {
                self.set_store_fault(StoreFault::Garbage(garbage), until)
            }
            Fault::GarbageOfOrigin(garbage) => self.send_garbage_from_origin(garbage, until),
            Fault::OddRow(row, stays) => self.write_odd_row(row, stays, until),
            Fault::LargeAnswers(number) => {
                self.change_runner(number, |it| it.padding = LARGE_PADDING_BYTES);
                self.schedule(until, DelayedAction::EndLargeAnswers(number));
            }
            Fault::ConfigurationThenVersion(millis) => {
                self.add_configuration();
                self.schedule(
                    self.now() + Duration::from_millis(millis),
                    DelayedAction::SetTargetVersion,
                );
            }
            Fault::SlowReading(number, millis) => {
                self.change_runner(number, |it| {
                    it.prompt_read_time = Duration::from_millis(millis)
                });
                self.schedule(until + MIN_SLOW_READING, DelayedAction::EndSlowReading(number));
            }
            Fault::Configure => self.add_configuration(),
            Fault::BindStreams(hall) => self.bind_streams(hall),
            Fault::TargetVersion => self.set_target_version(),
            Fault::SlowOrigin => self.slow_origin(until),
            Fault::SlowStore { least_ms, most_ms } => self.slow_store(least_ms, most_ms, until),
            Fault::UnreliableStoreLink(number, link_fault) => {
                self.process(number).store_proxy.set_fault(link_fault);
                self.schedule(until, DelayedAction::RestoreStoreLink(number));
            }
            Fault::VersionAndGatewayRestart(number) => {
                self.set_target_version();
                if self.is_available(number) {
                    self.kill_process(number);
                }
            }
            Fault::Evacuate(hall) => self.evacuate_hall(hall, until),
        }
        Ok(())
    }

    /// Runs a delayed action.
    fn run_delayed(&mut self, action: DelayedAction) -> eyre::Result<()> {
        self.action_start = self.now();
        match action {
            DelayedAction::RestartProcess(number) => self.restart_killed_process(number)?,
            DelayedAction::RestartStoppedProcess(number) => self.restart_stopped_process(number)?,
            DelayedAction::ResumeProcess(number) => self.resume_process(number),
            DelayedAction::CheckStopped(number, deadline) => {
                self.check_stopped(number, deadline)?
            }
            DelayedAction::RestoreStore => self.fleet.standin.set_store_fault(StoreFault::None),
            DelayedAction::SetTargetVersion => self.set_target_version(),
            DelayedAction::RestoreOrigin => self.fleet.standin.set_origin_rate(None),
            DelayedAction::RestoreStoreLink(number) => {
                self.process(number).store_proxy.set_fault(LinkFault::None)
            }
            DelayedAction::RestoreRunnerLink(number) => {
                self.fleet.runners[number].proxy.set_fault(LinkFault::None)
            }
            DelayedAction::RestoreRunner(number) => {
                self.change_runner(number, |it| it.fault = RunnerFault::None);
            }
            DelayedAction::EndGarbageForSidecar(number) => {
                self.change_runner(number, |it| it.garbage_for_sidecar = None)
            }
            DelayedAction::EndGarbageOfOrigin => self.fleet.standin.set_origin_garbage(None),
            DelayedAction::RecordFloodCost(from, before) => self.record_flood_cost(from, &before),
            DelayedAction::DeleteRow(table, key) => self.fleet.standin.delete_row(table, &key),
            DelayedAction::StopProcess(number, upgrade) => self.stop_in_turn(number, upgrade),
            DelayedAction::ReloadProcess(number, rewrite) => {
                self.reload_in_turn(number, rewrite)?
            }
            DelayedAction::ChangeConfiguration(time) => self.change_configuration(time),
            DelayedAction::EndSilence(number) => self.end_silence(number),
            DelayedAction::ReportWarm(number) | DelayedAction::RelistRunner(number) => {
                self.relist_runner(number)
            }
            DelayedAction::EndLargeAnswers(number) => {
                self.change_runner(number, |it| it.padding = 0)
            }
            DelayedAction::EndSlowReading(number) => {
                self.change_runner(number, |it| it.prompt_read_time = Duration::ZERO)
            }
            DelayedAction::EndShedding(number) => {
                self.change_runner(number, |it| it.reject_with_retry_after = None)
            }
            DelayedAction::ClearLimit(number, limit) => self.clear_limit(number, &limit),
            DelayedAction::ReplaceRunner(number, latest) => self.replace_runner(number, latest),
            DelayedAction::EndCrashRequests => {
                self.shared.crash_request.store(0, Ordering::Relaxed)
            }
            DelayedAction::EndCrashParts => self.shared.crash_part.store(0, Ordering::Relaxed),
            DelayedAction::RewriteLostRows(lost) => self.fleet.standin.rewrite_lost_rows(lost),
            DelayedAction::EvacuateAfterRollback(hall) => self.evacuate_hall(hall, self.now()),
            DelayedAction::EndEvacuation(hall) => self.end_evacuation(hall),
        }
        Ok(())
    }
}
