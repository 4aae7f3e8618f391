//! Runs one seed.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use serde_json::json;

use crate::args::Args;
use crate::callers::{self, Shared};
use crate::checker::{check, is_close_race, Violation};
use crate::fault_injector::FaultInjector;
use crate::faults::{plan, FleetSizes, FAULT_KINDS, PLANNED_KINDS};
use crate::fleet::Fleet;
use crate::history::{History, Leaving, LimitNotice, Run, TurnedAway};

/// How long the fleet runs before callers and faults start.
const WARM_UP: Duration = Duration::from_millis(1500);
/// How long callers go on after the last fault: the bound of recovery, and some time in which it is checked.
const RECOVERY_TIME: Duration = Duration::from_millis(15_000);

/// The result of a run.
pub struct Report {
    seed: u64,
    requests: usize,
    /// Requests that crossed the close of their connection.
    close_races: usize,
    whole: usize,
    faults: usize,
    /// The violations of guarantees.
    pub violations: Vec<Violation>,
    replay: String,
}

impl Report {
    /// Prints the report.
    pub fn print(&self, as_json: bool) {
        let violations: Vec<_> =
            self.violations.iter().map(|it| (it.guarantee, &it.details)).collect();
        if as_json {
            let line = json!({
                "seed": self.seed, "requests": self.requests, "whole": self.whole,
                "close_races": self.close_races,
                "faults": self.faults, "violations": violations, "replay": self.replay,
            });
            println!("{line}");
            return;
        }
        let Self { seed, requests, close_races, whole, faults, replay, .. } = self;
        println!(
            "seed {seed}: {faults} faults, {requests} requests, {whole} answered whole, \
             {close_races} crossed a close, {} broken",
            violations.len()
        );
        for (guarantee, details) in violations.iter().take(5) {
            println!("  broken: {guarantee}\n    {details}");
        }
        if !violations.is_empty() {
            println!("  again with: {replay}");
        }
    }
}

/// Runs one seed and checks its history.
pub fn run(args: &Args, seed: u64) -> eyre::Result<Report> {
    let mut fleet = Fleet::start(args.processes, seed, args.program.clone(), args.old.clone())?;
    thread::sleep(WARM_UP);
    let sizes = FleetSizes {
        processes: fleet.gateways.len() + fleet.sidecars.len(),
        models: fleet.sidecars.len(),
        runners: fleet.runners.len(),
    };
    let kinds: Vec<&str> = match args.faults.as_str() {
        "" => FAULT_KINDS.to_vec(),
        "planned" => PLANNED_KINDS.to_vec(),
        text => text.split(',').collect(),
    };
    let span = Duration::from_secs(args.seconds);
    let planned = plan(seed, span, sizes, &kinds);
    let addresses = (0..fleet.gateways.len()).map(|it| fleet.callers_address(it));
    let shared = Shared {
        start: Instant::now(),
        gateways: Arc::new(addresses.map(|it| (it, AtomicU64::new(0))).collect()),
        configuration: Arc::default(),
        crash_request: Arc::default(),
        crash_part: Arc::default(),
        stopped: Arc::new(AtomicBool::new(false)),
        requests: Arc::new(Mutex::new(Vec::new())),
    };
    let caller_thread = {
        let (shared, count) = (shared.clone(), args.callers);
        thread::spawn(move || callers::run(&shared, count, seed))
    };
    let mut fault_injector = FaultInjector::new(&mut fleet, shared.clone());
    fault_injector.record_old_builds();
    fault_injector.run_plan(&planned)?;
    let mut history = fault_injector.history;
    thread::sleep(RECOVERY_TIME);
    shared.stopped.store(true, Ordering::Relaxed);
    caller_thread.join().map_err(|_| eyre::eyre!("the thread of the callers panicked"))?;
    history.ended_processes = fleet.ended_processes();
    fleet.stop();
    collect_observations(&mut history, &fleet, &shared);
    let violations = check(&history);
    if violations.is_empty() {
        std::fs::remove_dir_all(&fleet.directory).wrap_err("failed to remove the logs")?;
    } else {
        keep_logs(&fleet, &args.keep, seed)?;
    }
    let is_close_race = |it: &&crate::history::Request| {
        is_close_race(&history, it, history.runs.get(&it.id).map_or(&[], Vec::as_slice))
    };
    let close_races = history.requests.iter().filter(is_close_race).count();
    let whole = history.requests.iter().filter(|it| {
        matches!(it.outcome, crate::history::Outcome::Answer { status: 200, whole: true, .. })
    });
    Ok(Report {
        seed,
        requests: history.requests.len(),
        close_races,
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

/// Adds what callers and runners observed to the history.
fn collect_observations(history: &mut History, fleet: &Fleet, shared: &Shared) {
    history.model_runners = fleet.sidecars.len();
    history.requests = shared.requests.lock().expect("never poisoned").clone();
    for (request, runs) in fleet.standin.all_runs() {
        let runs = runs.into_iter().map(|run| Run {
            at: run.at.saturating_duration_since(shared.start),
            runner: run.runner,
            life: run.life,
            service: run.service,
            tenant: run.tenant,
            version: run.version,
            saw_key: run.received_api_key,
            hall: run.zone,
            ended: run.ended_at.map(|it| it.saturating_duration_since(shared.start)),
            broken_off: run.is_broken_off,
        });
        history.runs.insert(request, runs.collect());
    }
    let moment = |at: Instant| at.saturating_duration_since(shared.start);
    history.leaving.extend(fleet.standin.foreign_entries().into_iter().map(|it| Leaving {
        runner: it.runner,
        at: moment(it.from),
        until: it.until.map(moment),
    }));
    history.turned_away = fleet
        .standin
        .rejected_requests()
        .into_iter()
        .map(|it| TurnedAway {
            runner: it.runner,
            life: it.life,
            request: it.request,
            at: moment(it.at),
            rest: it.rest,
        })
        .collect();
    history.limited_requests = fleet
        .standin
        .limited_arrivals()
        .into_iter()
        .map(|it| {
            let (runner, life, limit, at) = (it.runner, it.life, it.limit, moment(it.at));
            (it.request, LimitNotice { runner, life, limit, at })
        })
        .collect();
    for runner in &fleet.runners {
        let engine = fleet.standin.runner(runner.engine);
        if engine.is_some_and(|it| it.loaded_mixed_weights) {
            history.mixed_weights.push(runner.id());
        }
    }
}

fn keep_logs(fleet: &Fleet, keep: &str, seed: u64) -> eyre::Result<()> {
    let directory = std::path::Path::new(keep).join(format!("seed-{seed}"));
    std::fs::create_dir_all(&directory)?;
    for file in std::fs::read_dir(&fleet.directory)? {
        let file = file?;
        std::fs::copy(file.path(), directory.join(file.file_name()))?;
    }
    Ok(())
}
