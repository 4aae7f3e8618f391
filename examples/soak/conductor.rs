//! Does to a fleet what a plan says.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use platform_standin::{LostRows, RunnerFault, StoreFault};
use rustix::process::Signal;
use serde_json::{json, Value};

use crate::callers::Shared;
use crate::faults::{Fault, Planned, HALLS};
use crate::fleet::{hall_name, region_name, Fleet, Process, COLD_START};
use crate::history::{Cold, Configured, Evacuated, Harmed, History, Homes, Leaving, Stop, Target};
use crate::proxy::Harm;

/// How long a killed process stays away.
const AWAY: Duration = Duration::from_millis(600);
/// How long a stopped process may take to end before it is killed.
const GRACE: Duration = Duration::from_millis(8000);
/// How long a hall is evacuated at least: the bound and some time to see it kept.
const EVACUATED: Duration = Duration::from_millis(3000);
/// How long such a request comes again at least: until all must have heard of it, and some time to see it kept.
const CRASHING: Duration = Duration::from_millis(5000);
/// How long after the store went back what it lost is written again, at most.
const WRITTEN_AGAIN: Duration = Duration::from_millis(1500);
/// Revisions that each copy lacks besides.
const LOST_REVISIONS: usize = 60;
/// How long after a copy every process is held to the bounds again, with some time to spare.
const SETTLED: Duration = Duration::from_millis(4000);
/// Routes that every configuration has.
const LASTING_ROUTES: usize = 4;
/// How often the conductor looks what is due.
const STEP: Duration = Duration::from_millis(10);

/// Something that ends later.
enum End {
    StartAgain(usize),
    Wake(usize),
    StoppedBy(usize, Duration),
    HealStore,
    HealStoreLink(usize),
    HealRunnerLink(usize),
    HealRunner(usize),
    Relist(usize),
    Replace(usize),
    Serve(usize),
    WriteAgain(LostRows),
    EvacuateAfterCopy(usize),
    TakeBack(usize),
    Warm(usize),
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

    fn is_going(&mut self, number: usize) -> bool {
        let leaves = self.ends.iter().any(|(_, end)| {
            matches!(end, End::StartAgain(it) | End::Wake(it) | End::StoppedBy(it, _)
                if *it == number)
        });
        !leaves && !self.process(number).has_ended()
    }

    fn begin(&mut self, Planned { span, fault, .. }: Planned) -> eyre::Result<()> {
        let until = self.now() + span;
        match fault {
            Fault::Kill(number) if self.is_going(number) => {
                self.process(number).signal(Signal::KILL);
                self.note(self.target(number), self.now() + AWAY);
                self.ends.push((self.now() + AWAY, End::StartAgain(number)));
            }
            Fault::Pause(number) if self.is_going(number) => {
                self.process(number).signal(Signal::STOP);
                if let Target::Gateway(gateway) = self.target(number) {
                    self.history.pauses.push(Stop { gateway, at: self.now() });
                }
                self.note(self.target(number), until);
                self.ends.push((until, End::Wake(number)));
            }
            Fault::Stop(number) if self.is_going(number) => self.stop(number),
            Fault::Upgrade(number) if self.is_going(number) => {
                self.process(number).change_build();
                self.stop(number);
            }
            Fault::Kill(_) | Fault::Pause(_) | Fault::Stop(_) | Fault::Upgrade(_) => {}
            Fault::Hup(number) => self.process(number).signal(Signal::HUP),
            Fault::Store(fault) => {
                self.fleet.standin.set_store_fault(fault);
                self.note(Target::Store, until);
                self.ends.push((until, End::HealStore));
            }
            Fault::Forget => self.fleet.standin.forget_history(),
            Fault::StoreLink(number, harm) => {
                self.process(number).store.set(harm);
                self.note(self.target(number), until);
                self.ends.push((until, End::HealStoreLink(number)));
            }
            Fault::RunnerLink(number, harm) => {
                self.fleet.runners[number].proxy.set(harm);
                self.note(Target::Runner(number), until);
                self.ends.push((until, End::HealRunnerLink(number)));
            }
            Fault::StoreSilence(number) => {
                self.process(number).store.silence_open();
                self.note(self.target(number), self.now());
            }
            Fault::RunnerSilence(number) => {
                self.fleet.runners[number].proxy.silence_open();
                self.note(Target::Runner(number), self.now());
            }
            Fault::Runner(number, fault) => {
                let engine = self.fleet.runners[number].engine;
                self.fleet.standin.change_runner(engine, |it| it.fault = fault);
                self.note(Target::Runner(number), until);
                self.ends.push((until, End::HealRunner(number)));
            }
            Fault::Restart(number) => {
                let runner = &mut self.fleet.runners[number];
                runner.restarts += 1;
                let id = runner.id();
                self.fleet.standin.change_runner(runner.engine, |it| it.restart(&id));
                self.note(Target::Runner(number), until);
            }
            Fault::Drain(number) => {
                let runner = &self.fleet.runners[number];
                self.fleet.standin.change_runner(runner.engine, |it| it.draining = true);
                let leaving = Leaving { runner: runner.id(), at: self.now(), until: None };
                self.history.leaving.push(leaving);
                self.ends.push((until + AWAY, End::Replace(number)));
            }
            Fault::Configure => self.configure(),
            Fault::Version => {
                self.version += 1;
                self.fleet.standin.name_version(self.version);
            }
            Fault::Spoil(number, index) => {
                let engine = self.fleet.runners[number].engine;
                self.fleet.standin.change_runner(engine, |it| it.spoil(index));
            }
            Fault::Evacuate(hall) => self.evacuate(hall, until),
            Fault::Homes(hall) => self.bind_streams(hall),
            Fault::ColdStart(number) => self.start_cold(number),
            Fault::Crash => self.send_crashing(until),
            Fault::Reborn(number) => {
                let runner = &self.fleet.runners[number];
                let id = runner.id();
                self.fleet.standin.change_runner(runner.engine, |it| it.restart(&id));
                self.note(Target::Runner(number), until);
            }
            Fault::Foreign(number) => self.write_foreign_rows(number, until),
            Fault::Shed(number, rest_ms) => {
                let engine = self.fleet.runners[number].engine;
                let rest = Duration::from_millis(rest_ms);
                self.fleet.standin.change_runner(engine, |it| it.sheds = Some(rest));
                self.note(Target::Runner(number), until);
                self.ends.push((until, End::Serve(number)));
            }
            Fault::StoreCopy(age_ms) => self.go_back(Duration::from_millis(age_ms), until),
            Fault::Settings(number, told) => {
                self.process(number).rewrite_settings()?;
                if told {
                    self.process(number).signal(Signal::HUP);
                }
            }
        }
        Ok(())
    }

    /// Tells a process to stop. It starts again once it has ended.
    fn stop(&mut self, number: usize) {
        self.process(number).signal(Signal::TERM);
        let by = self.now() + GRACE;
        if let Target::Gateway(gateway) = self.target(number) {
            self.history.stops.push(Stop { gateway, at: self.now() });
        } else {
            self.note(self.target(number), self.now() + AWAY);
        }
        self.ends.push((self.now() + STEP, End::StoppedBy(number, by)));
    }

    /// The store goes back to an older copy. Operators and runners write again what is lost, a while later: until then,
    /// and until all have read it, the store is not itself.
    fn go_back(&mut self, age: Duration, until: Duration) {
        if self.ends.iter().any(|(_, end)| matches!(end, End::WriteAgain(_))) {
            return;
        }
        // Revisions that are lost, so that those given out next were read before.
        let engine = self.fleet.runners[0].engine;
        (0..LOST_REVISIONS).for_each(|_| self.fleet.standin.change_runner(engine, |_| {}));
        let lost = self.fleet.standin.go_back(age);
        let again_at = self.now() + WRITTEN_AGAIN.min(until.saturating_sub(self.now()));
        self.note(Target::Store, again_at);
        self.ends.push((again_at, End::WriteAgain(lost)));
        let hall = age.as_millis() as usize % HALLS;
        self.ends.push((again_at + SETTLED, End::EvacuateAfterCopy(hall)));
    }

    /// Evacuates a hall, unless it is evacuated already, for long enough that the bound passes.
    fn evacuate(&mut self, hall: usize, until: Duration) {
        if self.ends.iter().any(|(_, end)| matches!(end, End::TakeBack(it) if *it == hall)) {
            return;
        }
        let name = hall_name(hall);
        self.fleet.standin.evacuate(name);
        let at = self.now();
        self.history.evacuated.push(Evacuated { hall: name.into(), at, until: None });
        self.ends.push((until + EVACUATED, End::TakeBack(hall)));
    }

    /// Binds the streams to the region of a hall, or to none.
    fn bind_streams(&mut self, hall: Option<usize>) {
        let regions: Vec<&str> = hall.map(region_name).into_iter().collect();
        let sent = self.now();
        self.fleet.standin.reconfigure(|it| it["routes"][0]["homeRegions"] = json!(regions));
        let hall = hall.map(|it| hall_name(it).to_owned());
        self.history.homes.push(Homes { hall, sent, taken: self.now() });
    }

    /// Has callers send a request under which runners crash. Any model runner may be hit.
    fn send_crashing(&mut self, until: Duration) {
        if self.ends.iter().any(|(_, end)| matches!(end, End::Crashing)) {
            return;
        }
        self.crashing += 1;
        self.shared.crashing.store(self.crashing, Ordering::Relaxed);
        let until = until + CRASHING;
        for runner in 0..self.fleet.sidecars.len() {
            self.note(Target::Runner(runner), until);
        }
        self.ends.push((until, End::Crashing));
    }

    /// Writes rows of another writer: a new one, and one in the place of a runner's entry. That runner is to get nothing
    /// until its own entry is back, which the stand-in notes: runners write theirs whenever it changes. Every other time
    /// the rows can be read, and name a service that nobody knows.
    fn write_foreign_rows(&mut self, number: usize, until: Duration) {
        let (runner, address) =
            (self.fleet.runners[number].id(), self.fleet.runners[number].engine);
        let rows = [json!({"state": "resting"}), json!([1]), json!("no entry")];
        self.foreign += 1;
        let row = match self.foreign % 2 {
            0 => entry_of_unknown_service(address),
            _ => rows[number % rows.len()].clone(),
        };
        self.fleet.standin.write_row("servers", "foreign", row.clone());
        self.fleet.standin.write_row("servers", &runner, row);
        self.note(Target::Runner(number), until + AWAY);
        self.ends.push((until + AWAY, End::Relist(number)));
    }

    /// Starts a plain runner anew, cold.
    fn start_cold(&mut self, number: usize) {
        let runner = &mut self.fleet.runners[number];
        runner.restarts += 1;
        let id = runner.id();
        let from = self.shared.begun.elapsed();
        self.fleet.standin.change_runner(runner.engine, |it| {
            it.restart(&id);
            it.cold_until = Some(Instant::now() + COLD_START);
        });
        let until = from + COLD_START;
        self.history.cold.push(Cold { runner: id, from, until });
        self.ends.push((until, End::Warm(number)));
    }

    /// Adds a route that names the version and drops the one that the version before added.
    fn configure(&mut self) {
        let version = self.shared.configuration.load(Ordering::Relaxed) + 1;
        let sent = self.now();
        self.fleet.standin.reconfigure(|it| {
            let Some(routes) = it["routes"].as_array_mut() else {
                return;
            };
            routes.truncate(LASTING_ROUTES);
            let mut route = routes[1].clone();
            route["name"] = json!(format!("v{version}"));
            route["pathPrefix"] = json!(format!("/v{version}/"));
            routes.push(route);
        });
        self.history.configured.push(Configured { version, sent, taken: self.now() });
        self.shared.configuration.store(version, Ordering::Relaxed);
    }

    fn end(&mut self, end: End) -> eyre::Result<()> {
        match end {
            End::StartAgain(number) => self.start_again(number)?,
            End::Wake(number) => self.process(number).signal(Signal::CONT),
            End::StoppedBy(number, by) => {
                if self.process(number).has_ended() {
                    self.start_again(number)?;
                } else if self.now() >= by {
                    self.process(number).signal(Signal::KILL);
                    self.ends.push((self.now() + STEP, End::StartAgain(number)));
                } else {
                    self.ends.push((self.now() + STEP, End::StoppedBy(number, by)));
                }
            }
            End::HealStore => self.fleet.standin.set_store_fault(StoreFault::None),
            End::HealStoreLink(number) => self.process(number).store.set(Harm::None),
            End::HealRunnerLink(number) => self.fleet.runners[number].proxy.set(Harm::None),
            End::HealRunner(number) => {
                let engine = self.fleet.runners[number].engine;
                self.fleet.standin.change_runner(engine, |it| it.fault = RunnerFault::None);
            }
            End::TakeBack(hall) => {
                let now = self.now();
                let name = hall_name(hall);
                let open = self.history.evacuated.iter_mut();
                open.filter(|it| it.hall == name && it.until.is_none())
                    .for_each(|it| it.until = Some(now));
                self.fleet.standin.take_back(name);
            }
            End::Crashing => self.shared.crashing.store(0, Ordering::Relaxed),
            End::Warm(number) => {
                let engine = self.fleet.runners[number].engine;
                self.fleet.standin.change_runner(engine, |_| {});
            }
            End::Relist(number) => {
                let engine = self.fleet.runners[number].engine;
                self.fleet.standin.change_runner(engine, |_| {});
            }
            End::Serve(number) => {
                let engine = self.fleet.runners[number].engine;
                self.fleet.standin.change_runner(engine, |it| it.sheds = None);
            }
            End::WriteAgain(lost) => self.fleet.standin.write_again(lost),
            End::EvacuateAfterCopy(hall) => self.evacuate(hall, self.now()),
            End::Replace(number) => {
                let runner = &mut self.fleet.runners[number];
                let id = runner.id();
                runner.restarts += 1;
                let next = runner.id();
                self.fleet.standin.change_runner(runner.engine, |it| it.restart(&next));
                let now = self.now();
                let open = self.history.leaving.iter_mut();
                open.filter(|it| it.runner == id && it.until.is_none())
                    .for_each(|it| it.until = Some(now));
            }
        }
        Ok(())
    }

    fn start_again(&mut self, number: usize) -> eyre::Result<()> {
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
}

/// An entry that can be read and names no runner, for its service is none of the configuration.
fn entry_of_unknown_service(address: SocketAddr) -> Value {
    json!({
        "service": "neither here nor there", "address": address, "zone": hall_name(0), "version": "v1", "slots": 16,
        "state": "ready", "coldRemainingMs": 0, "sequence": 0,
    })
}
