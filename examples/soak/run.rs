//! One run under one seed.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use serde_json::json;

use crate::args::Args;
use crate::callers::{self, Shared};
use crate::checker::{check, Violation};
use crate::conductor::Conductor;
use crate::faults::{plan, Sizes, KINDS};
use crate::fleet::Fleet;
use crate::history::{History, Leaving, NamedLimit, Run, TurnedAway};

/// How long the fleet has to get ready.
const WARM_UP: Duration = Duration::from_millis(1500);
/// How long callers go on after the last fault: the bound of recovery and some time to see it.
const CALM: Duration = Duration::from_millis(15_000);

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

/// Plays a run and checks it.
pub fn run(args: &Args, seed: u64) -> eyre::Result<Report> {
    let mut fleet = Fleet::start(args.processes, seed, args.program.clone(), args.old.clone())?;
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
        crashing: Arc::default(),
        over: Arc::new(AtomicBool::new(false)),
        requests: Arc::new(Mutex::new(Vec::new())),
    };
    let calling = {
        let (shared, count) = (shared.clone(), args.callers);
        thread::spawn(move || callers::run(&shared, count, seed))
    };
    let mut conductor = Conductor::new(&mut fleet, shared.clone());
    conductor.note_builds();
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
            life: run.life,
            service: run.service,
            tenant: run.tenant,
            version: run.version,
            saw_key: run.saw_key,
            hall: run.zone,
        });
        history.runs.insert(request, runs.collect());
    }
    let moment = |at: Instant| at.saturating_duration_since(shared.begun);
    history.leaving.extend(fleet.standin.foreign_entries().into_iter().map(|it| Leaving {
        runner: it.runner,
        at: moment(it.from),
        until: it.until.map(moment),
    }));
    history.turned_away = fleet
        .standin
        .turned_away()
        .into_iter()
        .map(|it| TurnedAway {
            runner: it.runner,
            life: it.life,
            request: it.request,
            at: moment(it.at),
            rest: it.rest,
        })
        .collect();
    history.limited = fleet
        .standin
        .limited_arrivals()
        .into_iter()
        .map(|it| {
            let (runner, life, limit, at) = (it.runner, it.life, it.limit, moment(it.at));
            (it.request, NamedLimit { runner, life, limit, at })
        })
        .collect();
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
