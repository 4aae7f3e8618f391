//! The run itself.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use fleet::ServiceName;
use futures_lite::future::zip;
use lab::{Lab, LabOptions};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use reducer::RouteChoice;
use standins::EngineOptions;

use crate::args::Args;
use crate::faults::bring_about;
use crate::load::{send, Kind, Outcome, Planned, MODEL, TOKENS};
use crate::overhead;
use crate::report::Report;

/// Engines of the fleet.
const ENGINES: usize = 12;
const LEDGERS: usize = 3;
/// Requests that an engine batches.
const BATCH: u32 = 4;
/// Time between two tokens.
const TOKEN_TIME: Duration = Duration::from_millis(15);
/// Time for one block of a prompt that is not cached.
const BLOCK_TIME: Duration = Duration::from_millis(6);
/// Blocks of 64 bytes that an engine's cache holds; far fewer than all prompts together have.
const CACHE_BLOCKS: usize = 128;
/// The time a completion takes in an engine with a prompt that is half cached, in seconds.
const COMPLETION_S: f64 = 0.24 + 0.03;
/// The weights that are served; their size does not matter here.
const WEIGHTS: usize = 256 * 1024;
/// How long the fleet may take to be ready.
const READY: Duration = Duration::from_secs(60);
/// How long answers are waited for after the last request.
const AFTERWARDS: Duration = Duration::from_secs(12);

/// Runs a load and gives its figures.
pub async fn run(
    executor: &Arc<Executor<'static>>,
    args: &Args,
    choice: RouteChoice,
) -> eyre::Result<Report> {
    let lab = Lab::start(executor, options(choice)).await?;
    let manifest = lab.publish("assistant", &vec![1; WEIGHTS]).await?;
    lab.wait_ready(READY).await?;
    lab.deploy(MODEL, manifest.version(), ENGINES).await?;
    lab.wait_live(manifest.version(), ENGINES, READY).await?;
    lab.wait_routed(manifest.version(), ENGINES).await?;
    let chats_per_s = ENGINES as f64 * f64::from(BATCH) / COMPLETION_S * args.load;
    let per_s = chats_per_s / Kind::share(Kind::Chat);
    let entries: Vec<SocketAddr> = lab.entries.iter().map(|it| it.callers()).collect();
    let sending = send_all(executor, args, entries, per_s);
    let (outcomes, seen) = zip(sending, bring_about(&lab, args)).await;
    let seen = seen?;
    // Under faults the fleet is no longer whole, and the figure would be of something else.
    let overhead = if args.faults.is_empty() { overhead::measure(&lab).await? } else { None };
    let mut report = Report {
        choice: format!("{choice:?}"),
        load: args.load,
        faults: args.faults.clone(),
        capacity_weighted_per_s: capacity(per_s, args.load),
        new_work_after_leave_s: seen.new_work_after_leave_s,
        stop_was_clean: seen.stop_was_clean,
        entry_overhead_p50_us: overhead.as_ref().map(|it| it.p50_us),
        entry_overhead_p99_us: overhead.as_ref().map(|it| it.p99_us),
        entry_overhead_ratio_p50: overhead.as_ref().map(|it| it.ratio_p50),
        ..Report::default()
    };
    report.count(&outcomes, &true_runs(&lab), args.seconds)?;
    lab.stop();
    Ok(report)
}

fn options(choice: RouteChoice) -> LabOptions {
    LabOptions {
        engines: ENGINES,
        services: vec![("ledger".to_owned(), LEDGERS)],
        service_work: Duration::ZERO,
        concurrency: BATCH,
        engine: EngineOptions {
            batch: BATCH,
            token_time: TOKEN_TIME,
            block_time: BLOCK_TIME,
            cache_blocks: CACHE_BLOCKS,
            ..EngineOptions::default()
        },
        kinds: vec![kind("till", "/till/", false, 8), kind("payslip", "/till/payslip/", true, 7)],
        route_choice: choice,
        ..LabOptions::default()
    }
}

fn kind(name: &str, path: &str, repeatable: bool, priority: u8) -> settings::Kind {
    settings::Kind {
        name: name.to_owned(),
        path: path.to_owned(),
        service: Some(ServiceName("ledger".to_owned())),
        repeatable,
        priority,
        max_wait_ms: settings::Kind::USUAL_WAIT_MS,
    }
}

/// What could be answered on time a second: completions up to what the engines can do, and every
/// call to the services, which are far from their limits.
fn capacity(per_s: f64, load: f64) -> f64 {
    let all = [Kind::Chat, Kind::Post, Kind::Payslip];
    let offered = |kind: Kind| per_s * kind.share() * kind.weight();
    let possible = |kind: Kind| match kind {
        Kind::Chat => offered(kind) / load.max(1.0),
        _ => offered(kind),
    };
    all.into_iter().map(possible).sum()
}

/// Sends requests at random moments, whatever becomes of the ones before.
async fn send_all(
    executor: &Arc<Executor<'static>>,
    args: &Args,
    entries: Vec<SocketAddr>,
    per_s: f64,
) -> Vec<Outcome> {
    let mut random = StdRng::seed_from_u64(args.seed);
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let entries = Arc::new(entries);
    let start = Instant::now();
    let mut due = 0.0;
    let mut sent = 0;
    while due < args.seconds {
        Timer::at(start + Duration::from_secs_f64(due)).await;
        let late = start.elapsed().saturating_sub(Duration::from_secs_f64(due));
        let planned = Planned::draw(&mut random, sent);
        let (outcomes, entries) = (outcomes.clone(), entries.clone());
        let call = async move {
            let outcome = send(planned, &entries, sent, late).await;
            outcomes.lock().expect("the lock is never poisoned").push(outcome);
        };
        executor.spawn(call).detach();
        sent += 1;
        // Independent callers arrive with exponential gaps.
        due += -(1.0 - random.random::<f64>()).ln() / per_s;
    }
    let waiting = Instant::now();
    while outcomes.lock().expect("the lock is never poisoned").len() < sent {
        if waiting.elapsed() > AFTERWARDS {
            break;
        }
        Timer::after(Duration::from_millis(20)).await;
    }
    let outcomes = outcomes.lock().expect("the lock is never poisoned");
    outcomes.clone()
}

/// How often each body truly ran, over all instances of the service.
fn true_runs(lab: &Lab) -> HashMap<String, u64> {
    let mut runs = HashMap::new();
    for service in lab.agents.iter().filter_map(|agent| agent.service.as_ref()) {
        for (body, count) in service.runs() {
            *runs.entry(body).or_insert(0) += count;
        }
    }
    runs
}

/// Kept next to the load it describes.
const _: () = assert!(TOKENS as u64 * TOKEN_TIME.as_millis() as u64 == 240);
