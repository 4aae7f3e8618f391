//! Runs the load and collects its results.

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
use reducer::RoutingStrategy;
use standins::EngineOptions;

use crate::args::Args;
use crate::faults::inject_faults;
use crate::load::{send, Kind, PlannedRequest, RequestResult, ANSWER_TOKENS, MODEL};
use crate::overhead;
use crate::report::Report;

/// Number of engines and of ledger services in the fleet.
const ENGINE_COUNT: usize = 12;
const LEDGER_COUNT: usize = 3;
/// Number of requests that an engine runs in one batch.
const BATCH_SIZE: u32 = 4;
/// Time that an engine takes for a token.
const TOKEN_TIME: Duration = Duration::from_millis(15);
/// Time that an engine takes for a prompt block that is not cached.
const BLOCK_TIME: Duration = Duration::from_millis(6);
/// Number of 64-byte blocks in an engine's cache, far fewer than all prompts together have.
const CACHE_BLOCKS: usize = 128;
/// Time of a completion in an engine whose cache holds half of the prompt, in seconds.
const COMPLETION_S: f64 = 0.24 + 0.03;
/// Size of the served weights in bytes; it does not affect the results.
const WEIGHTS_BYTES: usize = 256 * 1024;
/// How long the fleet may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// How long the run waits for answers after the last request.
const ANSWER_WAIT: Duration = Duration::from_secs(12);

/// Runs a load and returns its results.
pub async fn run(
    executor: &Arc<Executor<'static>>,
    args: &Args,
    choice: RoutingStrategy,
) -> eyre::Result<Report> {
    let lab = Lab::start(executor, options(choice)).await?;
    let manifest = lab.publish("assistant", &vec![1; WEIGHTS_BYTES]).await?;
    lab.wait_ready(READY_TIMEOUT).await?;
    lab.deploy(MODEL, manifest.version(), ENGINE_COUNT).await?;
    lab.wait_live(manifest.version(), ENGINE_COUNT, READY_TIMEOUT).await?;
    lab.wait_routed(manifest.version(), ENGINE_COUNT).await?;
    let chats_per_s = ENGINE_COUNT as f64 * f64::from(BATCH_SIZE) / COMPLETION_S * args.load;
    let per_s = chats_per_s / Kind::share(Kind::Chat);
    let entries: Vec<SocketAddr> = lab.entries.iter().map(|it| it.callers()).collect();
    let sending = send_all(executor, args, entries, per_s);
    let (results, observations) = zip(sending, inject_faults(&lab, args)).await;
    let observations = observations?;
    // With faults the fleet is incomplete, so the overhead would not be that of an idle, healthy fleet.
    let overhead = if args.faults.is_empty() { overhead::measure(&lab).await? } else { None };
    let mut report = Report {
        choice: format!("{choice:?}"),
        load: args.load,
        faults: args.faults.clone(),
        capacity_weighted_per_s: capacity(per_s, args.load),
        new_work_after_leave_s: observations.new_work_after_leave_s,
        stop_was_clean: observations.stop_was_clean,
        entry_overhead_p50_us: overhead.as_ref().map(|it| it.p50_us),
        entry_overhead_p99_us: overhead.as_ref().map(|it| it.p99_us),
        entry_overhead_ratio_p50: overhead.as_ref().map(|it| it.ratio_p50),
        ..Report::default()
    };
    report.count(&results, &count_runs(&lab), args.seconds)?;
    lab.stop();
    Ok(report)
}

fn options(choice: RoutingStrategy) -> LabOptions {
    LabOptions {
        engines: ENGINE_COUNT,
        services: vec![("ledger".to_owned(), LEDGER_COUNT)],
        service_work: Duration::ZERO,
        concurrency: BATCH_SIZE,
        engine: EngineOptions {
            batch: BATCH_SIZE,
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

fn kind(name: &str, path: &str, repeatable: bool, priority: u8) -> settings::RequestKind {
    settings::RequestKind {
        name: name.to_owned(),
        path: path.to_owned(),
        service: Some(ServiceName("ledger".to_owned())),
        repeatable,
        priority,
        max_wait_ms: settings::RequestKind::DEFAULT_MAX_WAIT_MS,
    }
}

/// Weighted requests per second that could be answered on time: completions up to the capacity of the engines,
/// and every call to the services, which are far below their limits.
fn capacity(per_s: f64, load: f64) -> f64 {
    let all = [Kind::Chat, Kind::Post, Kind::Payslip];
    let offered = |kind: Kind| per_s * kind.share() * kind.weight();
    let possible = |kind: Kind| match kind {
        Kind::Chat => offered(kind) / load.max(1.0),
        _ => offered(kind),
    };
    all.into_iter().map(possible).sum()
}

/// Sends requests at random times, independent of the outcome of earlier requests.
async fn send_all(
    executor: &Arc<Executor<'static>>,
    args: &Args,
    entries: Vec<SocketAddr>,
    per_s: f64,
) -> Vec<RequestResult> {
    let mut random = StdRng::seed_from_u64(args.seed);
    let results = Arc::new(Mutex::new(Vec::new()));
    let entries = Arc::new(entries);
    let start = Instant::now();
    let mut next_send_s = 0.0;
    let mut sent = 0;
    while next_send_s < args.seconds {
        Timer::at(start + Duration::from_secs_f64(next_send_s)).await;
        let late = start.elapsed().saturating_sub(Duration::from_secs_f64(next_send_s));
        let planned = PlannedRequest::generate(&mut random, sent);
        let (results, entries) = (results.clone(), entries.clone());
        let call = async move {
            let result = send(planned, &entries, sent, late).await;
            results.lock().expect("the lock is never poisoned").push(result);
        };
        executor.spawn(call).detach();
        sent += 1;
        // Requests of independent callers arrive at exponentially distributed intervals.
        next_send_s += -(1.0 - random.random::<f64>()).ln() / per_s;
    }
    let waiting = Instant::now();
    while results.lock().expect("the lock is never poisoned").len() < sent {
        if waiting.elapsed() > ANSWER_WAIT {
            break;
        }
        Timer::after(Duration::from_millis(20)).await;
    }
    let results = results.lock().expect("the lock is never poisoned");
    results.clone()
}

/// How often each request body ran, over all instances of the service.
fn count_runs(lab: &Lab) -> HashMap<String, u64> {
    let mut runs = HashMap::new();
    for service in lab.agents.iter().filter_map(|agent| agent.service.as_ref()) {
        for (body, count) in service.runs() {
            *runs.entry(body).or_insert(0) += count;
        }
    }
    runs
}

/// Checks the 0.24 s of token time in `COMPLETION_S`.
const _: () = assert!(ANSWER_TOKENS as u64 * TOKEN_TIME.as_millis() as u64 == 240);
