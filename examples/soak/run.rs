//! One run under one seed.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use platform_standin::{RunnerFault, StoreFault};
use rustix::process::Signal;
use serde_json::json;

use crate::args::Args;
use crate::callers::{self, Shared};
use crate::checker::{check, Violation};
use crate::faults::{plan, Fault, Planned, Sizes, KINDS};
use crate::fleet::{hall_name, region_name, Fleet, Process, COLD_START};
use crate::history::{
    Cold, Configured, Evacuated, Harmed, History, Homes, Leaving, Run, Stop, Target,
};
use crate::proxy::Harm;

/// How long the fleet has to get ready.
const WARM_UP: Duration = Duration::from_millis(1500);
/// How long a killed process stays away.
const AWAY: Duration = Duration::from_millis(600);
/// How long a stopped process may take to end before it is killed.
const GRACE: Duration = Duration::from_millis(8000);
/// How long callers go on after the last fault: the bound of recovery and some time to see it.
const CALM: Duration = Duration::from_millis(15_000);
/// How long a hall is evacuated at least: the bound and some time to see it kept.
const EVACUATED: Duration = Duration::from_millis(3000);
/// Routes that every configuration has.
const LASTING_ROUTES: usize = 4;
/// How often the conductor looks what is due.
const STEP: Duration = Duration::from_millis(10);

/// What became of a run.
pub struct Report {
    seed: u64,
    requests: usize,
    whole: usize,
    faults: usize,
    /// The promises that were broken.
    pub violations: Vec<Violation>,
    replay: String,
}

impl Report {
    /// Prints it.
    pub fn print(&self, as_json: bool) {
        let violations: Vec<_> = self.violations.iter().map(|it| (it.promise, &it.seen)).collect();
        if as_json {
            let line = json!({
                "seed": self.seed, "requests": self.requests, "whole": self.whole,
                "faults": self.faults, "violations": violations, "replay": self.replay,
            });
            println!("{line}");
            return;
        }
        let Self { seed, requests, whole, faults, replay, .. } = self;
        println!(
            "seed {seed}: {faults} faults, {requests} requests, {whole} answered whole, {} broken",
            violations.len()
        );
        for (promise, seen) in violations.iter().take(5) {
            println!("  broken: {promise}\n    {seen}");
        }
        if !violations.is_empty() {
            println!("  again with: {replay}");
        }
    }
}

/// Something that ends later.
enum End {
    StartAgain(usize),
    Wake(usize),
    StoppedBy(usize, Duration),
    HealStore,
    HealStoreLink(usize),
    HealRunnerLink(usize),
    HealRunner(usize),
    Stay(usize),
    TakeBack(usize),
    Warm(usize),
}

/// Plays a run and checks it.
pub fn run(args: &Args, seed: u64) -> eyre::Result<Report> {
    let mut fleet = Fleet::start(args.processes, seed, args.program.clone())?;
    thread::sleep(WARM_UP);
    let sizes = Sizes {
        processes: fleet.gateways.len() + fleet.sidecars.len(),
        models: fleet.sidecars.len(),
        runners: fleet.runners.len(),
    };
    let kinds: Vec<&str> = match args.faults.as_str() {
        "" => KINDS.to_vec(),
        text => text.split(',').collect(),
    };
    let span = Duration::from_secs(args.seconds);
    let planned = plan(seed, span, sizes, &kinds);
    let addresses = (0..fleet.gateways.len()).map(|it| fleet.callers_address(it));
    let shared = Shared {
        begun: Instant::now(),
        gateways: Arc::new(addresses.map(|it| (it, AtomicU64::new(0))).collect()),
        configuration: Arc::default(),
        over: Arc::new(AtomicBool::new(false)),
        requests: Arc::new(Mutex::new(Vec::new())),
    };
    let calling = {
        let (shared, count) = (shared.clone(), args.callers);
        thread::spawn(move || callers::run(&shared, count, seed))
    };
    let mut conductor = Conductor::new(&mut fleet, shared.clone());
    conductor.play(&planned)?;
    let mut history = conductor.history;
    thread::sleep(CALM);
    shared.over.store(true, Ordering::Relaxed);
    calling.join().map_err(|_| eyre::eyre!("the callers ended badly"))?;
    fleet.stop();
    complete(&mut history, &fleet, &shared);
    let violations = check(&history);
    if violations.is_empty() {
        std::fs::remove_dir_all(&fleet.folder).wrap_err("the logs cannot be removed")?;
    } else {
        keep_logs(&fleet, &args.keep, seed)?;
    }
    let whole = history.requests.iter().filter(|it| {
        matches!(it.seen, crate::history::Seen::Answer { status: 200, whole: true, .. })
    });
    Ok(Report {
        seed,
        requests: history.requests.len(),
        whole: whole.count(),
        faults: planned.len(),
        violations,
        replay: format!(
            "cargo run --release --example soak -- --seed {seed} --seconds {} --processes {} \
             --callers {} --faults {}",
            args.seconds,
            args.processes,
            args.callers,
            kinds.join(",")
        ),
    })
}

/// Takes in what callers and runners saw.
fn complete(history: &mut History, fleet: &Fleet, shared: &Shared) {
    history.requests = shared.requests.lock().expect("never poisoned").clone();
    for (request, runs) in fleet.standin.all_runs() {
        let runs = runs.into_iter().map(|run| Run {
            at: run.at.saturating_duration_since(shared.begun),
            runner: run.runner,
            service: run.service,
            tenant: run.tenant,
            saw_key: run.saw_key,
            hall: run.zone,
        });
        history.runs.insert(request, runs.collect());
    }
    for runner in &fleet.runners {
        let engine = fleet.standin.runner(runner.engine);
        if engine.is_some_and(|it| it.took_mixture) {
            history.mixtures.push(runner.id());
        }
    }
}

fn keep_logs(fleet: &Fleet, keep: &str, seed: u64) -> eyre::Result<()> {
    let folder = std::path::Path::new(keep).join(format!("seed-{seed}"));
    std::fs::create_dir_all(&folder)?;
    for file in std::fs::read_dir(&fleet.folder)? {
        let file = file?;
        std::fs::copy(file.path(), folder.join(file.file_name()))?;
    }
    Ok(())
}

/// Does what the plan says and notes whom it concerned.
struct Conductor<'a> {
    fleet: &'a mut Fleet,
    shared: Shared,
    history: History,
    ends: Vec<(Duration, End)>,
    version: u64,
}

impl<'a> Conductor<'a> {
    fn new(fleet: &'a mut Fleet, shared: Shared) -> Self {
        Self { fleet, shared, history: History::default(), ends: Vec::new(), version: 1 }
    }

    fn now(&self) -> Duration {
        self.shared.begun.elapsed()
    }

    fn play(&mut self, planned: &[Planned]) -> eyre::Result<()> {
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
                self.note(self.target(number), until);
                self.ends.push((until, End::Wake(number)));
            }
            Fault::Stop(number) if self.is_going(number) => {
                self.process(number).signal(Signal::TERM);
                let by = self.now() + GRACE;
                if let Target::Gateway(gateway) = self.target(number) {
                    self.history.stops.push(Stop { gateway, at: self.now() });
                } else {
                    self.note(self.target(number), self.now() + AWAY);
                }
                self.ends.push((self.now() + STEP, End::StoppedBy(number, by)));
            }
            Fault::Kill(_) | Fault::Pause(_) | Fault::Stop(_) => {}
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
                self.ends.push((until + AWAY, End::Stay(number)));
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
            Fault::Settings(number, told) => {
                self.process(number).rewrite_settings()?;
                if told {
                    self.process(number).signal(Signal::HUP);
                }
            }
        }
        Ok(())
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
            End::Warm(number) => {
                let engine = self.fleet.runners[number].engine;
                self.fleet.standin.change_runner(engine, |_| {});
            }
            End::Stay(number) => {
                let runner = &self.fleet.runners[number];
                let id = runner.id();
                self.fleet.standin.change_runner(runner.engine, |it| it.draining = false);
                let now = self.now();
                let open = self.history.leaving.iter_mut();
                open.filter(|it| it.runner == id && it.until.is_none())
                    .for_each(|it| it.until = Some(now));
            }
        }
        Ok(())
    }

    fn start_again(&mut self, number: usize) -> eyre::Result<()> {
        let program = self.fleet.program().to_owned();
        let target = self.target(number);
        let process = self.process(number);
        process.restart(&program)?;
        let life = process.life;
        if let Target::Gateway(gateway) = target {
            self.shared.gateways[gateway].1.store(u64::from(life), Ordering::Relaxed);
        }
        // It knows nothing yet.
        self.note(target, self.now() + AWAY);
        Ok(())
    }
}
