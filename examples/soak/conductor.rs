//! Does to a fleet what a plan says.

mod operators;
mod processes;
mod runners;
mod store;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use platform_standin::{LostRows, RunnerFault, StoreFault};
use rustix::process::Signal;

use crate::callers::Shared;
use crate::faults::{Fault, Planned};
use crate::fleet::{Fleet, Process};
use crate::history::{Harmed, History, Target};
use crate::proxy::Harm;

/// How long a killed process stays away.
const AWAY: Duration = Duration::from_millis(600);
/// Bytes of padding in a large answer, and in each event of a stream.
const BULK: usize = 60_000;
/// How long a runner reads slowly at least: until the bound of a version that was named before.
const READS_FOR: Duration = Duration::from_millis(9000);
/// How often the conductor looks what is due.
const STEP: Duration = Duration::from_millis(10);

/// What is to be done later.
enum End {
    /// A process starts again.
    StartAgain(usize),
    /// A process goes on.
    Wake(usize),
    /// A process that was told to stop is looked at, and killed if it has not ended by then.
    StoppedBy(usize, Duration),
    /// The store works again.
    HealStore,
    /// A version of the weights is named.
    NameVersion,
    /// The origin of weights is quick again.
    HealOrigin,
    /// The way of a process to the store works again.
    HealStoreLink(usize),
    /// The way to a runner works again.
    HealRunnerLink(usize),
    /// A runner behaves again.
    HealRunner(usize),
    /// A runner writes its entry in place of another writer's.
    Relist(usize),
    /// A runner that leaves is replaced by another one.
    Replace(usize),
    /// A runner reads requests quickly again.
    Read(usize),
    /// A runner that asked for rest serves again.
    Serve(usize),
    /// A runner names no rate limit any more, if it still names this one.
    Unlimit(usize, String),
    /// Operators and runners write again what the store lost.
    WriteAgain(LostRows),
    /// A hall is evacuated after the store came back from a copy.
    EvacuateAfterCopy(usize),
    /// The evacuation of a hall is taken back.
    TakeBack(usize),
    /// A cold runner writes that it is warm.
    Warm(usize),
    /// The answers of a runner are small again.
    Slim(usize),
    /// Callers stop sending the request that crashes runners.
    Crashing,
}

/// Does what the plan says and notes whom it concerned.
pub struct Conductor<'a> {
    fleet: &'a mut Fleet,
    shared: Shared,
    /// What was done to whom.
    pub history: History,
    ends: Vec<(Duration, End)>,
    version: u64,
    /// How many requests that crash runners callers have sent.
    crashing: u64,
    /// How many rate limits runners have named.
    limits: u32,
    /// How often rows of another writer were put in the place of an entry.
    foreign: u64,
}

impl<'a> Conductor<'a> {
    /// Starts with nothing done.
    pub fn new(fleet: &'a mut Fleet, shared: Shared) -> Self {
        Self {
            fleet,
            shared,
            history: History::default(),
            ends: Vec::new(),
            version: 1,
            crashing: 0,
            limits: 0,
            foreign: 0,
        }
    }

    /// Notes which gateways run an earlier build as the run begins.
    pub fn note_builds(&mut self) {
        let gateways = self.fleet.gateways.iter().enumerate();
        self.history.old.extend(gateways.filter(|(_, it)| it.is_old()).map(|it| (it.0, 0)));
    }

    fn now(&self) -> Duration {
        self.shared.begun.elapsed()
    }

    /// Does everything, each thing at its time.
    pub fn play(&mut self, planned: &[Planned]) -> eyre::Result<()> {
        let mut next = planned.iter().peekable();
        while next.peek().is_some() || !self.ends.is_empty() {
            let now = self.now();
            while let Some(due) = next.next_if(|it| it.at <= now) {
                self.begin(*due)?;
            }
            let (due, later) =
                std::mem::take(&mut self.ends).into_iter().partition(|it| it.0 <= now);
            self.ends = later;
            let due: Vec<(Duration, End)> = due;
            for (_, end) in due {
                self.end(end)?;
            }
            thread::sleep(STEP);
        }
        self.history.calm_from = self.now();
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

    fn note(&mut self, target: Target, until: Duration) {
        let from = self.now();
        self.history.harmed.push(Harmed { target, from, until });
    }

    /// Has something done at that time.
    fn later(&mut self, at: Duration, end: End) {
        self.ends.push((at, end));
    }

    /// Begins a fault. One of a process that another fault has under way is left out.
    fn begin(&mut self, Planned { span, fault, .. }: Planned) -> eyre::Result<()> {
        let until = self.now() + span;
        match fault {
            Fault::Kill(number) if self.is_going(number) => self.kill(number),
            Fault::Pause(number) if self.is_going(number) => self.pause(number, until),
            Fault::Stop(number) if self.is_going(number) => self.stop(number),
            Fault::Upgrade(number) if self.is_going(number) => self.upgrade(number),
            Fault::Kill(_) | Fault::Pause(_) | Fault::Stop(_) | Fault::Upgrade(_) => {}
            Fault::Hup(number) => self.process(number).signal(Signal::HUP),
            Fault::Settings(number, told) => self.rewrite_settings(number, told)?,
            Fault::Store(fault) => self.harm_store(fault, until),
            Fault::Forget => self.fleet.standin.forget_history(),
            Fault::StoreCopy(age_ms) => self.go_back(Duration::from_millis(age_ms), until),
            Fault::StoreLink(number, harm) => self.harm_store_link(number, harm, until),
            Fault::StoreSilence(number) => self.silence_store_link(number),
            Fault::RunnerLink(number, harm) => self.harm_runner_link(number, harm, until),
            Fault::RunnerSilence(number) => self.silence_runner_link(number),
            Fault::Runner(number, fault) => self.harm_runner(number, fault, until),
            Fault::Restart(number) => self.restart(number, until),
            Fault::Reborn(number) => self.bear_again(number, until),
            Fault::ColdStart(number) => self.start_cold(number),
            Fault::Drain(number) => self.drain(number, until),
            Fault::Spoil(number, index) => self.change_runner(number, |it| it.spoil(index)),
            Fault::Crash => self.send_crashing(until),
            Fault::Foreign(number) => self.write_foreign_rows(number, until),
            Fault::Shed(number, rest_ms) => {
                self.shed(number, Duration::from_millis(rest_ms), until);
            }
            Fault::Limit(number, word, reported) => {
                self.name_limit(number, word, reported, until);
            }
            Fault::Bulk(number) => {
                self.change_runner(number, |it| it.padding = BULK);
                self.later(until, End::Slim(number));
            }
            Fault::BusyVersion(millis) => {
                self.configure();
                self.later(self.now() + Duration::from_millis(millis), End::NameVersion);
            }
            Fault::Reading(number, millis) => {
                self.change_runner(number, |it| it.reading = Duration::from_millis(millis));
                self.later(until + READS_FOR, End::Read(number));
            }
            Fault::Configure => self.configure(),
            Fault::Homes(hall) => self.bind_streams(hall),
            Fault::Version => self.name_version(),
            Fault::SlowOrigin => self.slow_origin(until),
            Fault::SlowStore { least_ms, most_ms } => self.slow_store(least_ms, most_ms, until),
            Fault::UnevenStoreLink(number, harm) => {
                self.process(number).store.set(harm);
                self.later(until, End::HealStoreLink(number));
            }
            Fault::NewGateway(number) => {
                self.name_version();
                if self.is_going(number) {
                    self.kill(number);
                }
            }
            Fault::Evacuate(hall) => self.evacuate(hall, until),
        }
        Ok(())
    }

    /// Does what was to be done later.
    fn end(&mut self, end: End) -> eyre::Result<()> {
        match end {
            End::StartAgain(number) => self.start_again(number)?,
            End::Wake(number) => self.process(number).signal(Signal::CONT),
            End::StoppedBy(number, by) => self.see_stopped(number, by)?,
            End::HealStore => self.fleet.standin.set_store_fault(StoreFault::None),
            End::NameVersion => self.name_version(),
            End::HealOrigin => self.fleet.standin.set_origin_rate(None),
            End::HealStoreLink(number) => self.process(number).store.set(Harm::None),
            End::HealRunnerLink(number) => self.fleet.runners[number].proxy.set(Harm::None),
            End::HealRunner(number) => {
                self.change_runner(number, |it| it.fault = RunnerFault::None);
            }
            End::Warm(number) | End::Relist(number) => self.list_again(number),
            End::Slim(number) => self.change_runner(number, |it| it.padding = 0),
            End::Read(number) => self.change_runner(number, |it| it.reading = Duration::ZERO),
            End::Serve(number) => self.change_runner(number, |it| it.sheds = None),
            End::Unlimit(number, limit) => self.end_limit(number, &limit),
            End::Replace(number) => self.replace(number),
            End::Crashing => self.shared.crashing.store(0, Ordering::Relaxed),
            End::WriteAgain(lost) => self.fleet.standin.write_again(lost),
            End::EvacuateAfterCopy(hall) => self.evacuate(hall, self.now()),
            End::TakeBack(hall) => self.take_back(hall),
        }
        Ok(())
    }
}
