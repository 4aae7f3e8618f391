//! Runs one distribution and collects its results.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use eyre::{eyre, Context};
use fleet::{Manifest, VersionId};
use lab::{Lab, LabOptions};
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};
use reducer::FetchStrategy;

use crate::args::{Args, Fault, Weights};
use crate::callers::Callers;
use crate::faults::Schedule;
use crate::plot::Sample;
use crate::report::Report;

/// Name of the deployed model.
const MODEL: &str = "tips";
/// How long a distribution may take before the run fails, as a multiple of the lower bound.
const TIMEOUT_FACTOR: f64 = 10.0;
/// When a newer version replaces the one that is being distributed, as a fraction of the lower bound.
const REPLACE_AT: f64 = 0.4;
/// Interval at which the progress is sampled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the progress is printed.
const PRINT_INTERVAL: Duration = Duration::from_secs(1);
/// How long callers go on after the last replica is live. Entries learn of replicas by gossip before they route
/// requests to them.
const CALLS_AFTER_LIVE: Duration = Duration::from_millis(4000);
/// How long the fleet may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Name of the metric that counts retries.
const RETRIES_METRIC: &str = "silverdock_retries_total";

/// The output of a run.
pub struct Run {
    /// The results.
    pub report: Report,
    /// The state of the fleet over time.
    pub timeline: Vec<Sample>,
}

/// Runs one distribution and returns its results.
pub async fn run(
    executor: &Arc<Executor<'static>>,
    args: &Args,
    choice: FetchStrategy,
) -> eyre::Result<Run> {
    let contents = [load_weights(args, args.seed)?, load_weights(args, args.seed + 1)?];
    let options = LabOptions { choice, ..options(args, contents[0].len()) };
    let bound = options.estimate().bound_seconds(contents[0].len() as u64, args.replicas as u32);
    let mut lab = Lab::start(executor, options).await?;
    let mut manifest = lab.publish("weights-1", &contents[0]).await?;
    lab.wait_ready(READY_TIMEOUT).await?;
    let callers = Callers::start(executor, &lab, MODEL);
    plan_and_confirm(&lab, args, &manifest).await?;
    if args.faults.has(Fault::Replace) {
        Timer::after(Duration::from_secs_f64(bound * REPLACE_AT)).await;
        manifest = lab.publish("weights-2", &contents[1]).await?;
        plan_and_confirm(&lab, args, &manifest).await?;
    }
    let sent_before = lab.platform.origin.sent_bytes();
    let (seconds, dead, timeline) = follow_distribution(&mut lab, &manifest, args, bound).await?;
    Timer::after(CALLS_AFTER_LIVE).await;
    let rerequests = rerequests(&lab);
    let origin_sent = lab.platform.origin.sent_bytes() - sent_before;
    let mut report = Report {
        replicas: args.replicas - dead,
        live: lab.live(manifest.version()).len(),
        profile: format!("{:?}", args.profile).to_lowercase(),
        choice: format!("{choice:?}").to_lowercase(),
        faults: args.faults.names(),
        bytes: manifest.bytes,
        chunks: manifest.chunks(),
        seconds,
        bound_seconds: bound,
        ratio: seconds / bound,
        origin_copies: origin_sent as f64 / manifest.bytes as f64,
        chunks_corrupt_caught: rerequests.get("ChunkCorrupt").copied().unwrap_or(0),
        rerequests,
        ..Report::default()
    };
    let known = contents.map(|content| blake3::hash(&content).to_hex().to_string());
    for answer in callers.stop().await {
        report.count(&answer, &known);
    }
    lab.stop();
    Ok(Run { report, timeline })
}

/// Reads the weights file, or generates the requested number of bytes.
fn load_weights(args: &Args, seed: u64) -> eyre::Result<Vec<u8>> {
    match &args.weights {
        Weights::File(path) => {
            let mut content =
                std::fs::read(path).wrap_err_with(|| format!("{}", path.display()))?;
            // The second version of a file differs in its first byte.
            if let (Some(first), true) = (content.first_mut(), seed != args.seed) {
                *first ^= 1;
            }
            Ok(content)
        }
        Weights::Size(size) => {
            let mut content = vec![0; *size];
            StdRng::seed_from_u64(seed).fill_bytes(&mut content);
            Ok(content)
        }
    }
}

/// Sets the link rates in a fixed proportion: while the origin sends four copies, an instance receives two.
fn options(args: &Args, bytes: usize) -> LabOptions {
    let link = (bytes as f64 / args.seconds).ceil() as u64;
    LabOptions {
        engines: args.replicas,
        link_bytes_per_s: link,
        origin_bytes_per_s: link * 2,
        copies: args.profile.copies(),
        control_bytes_per_s: args.control_bytes,
        ..LabOptions::default()
    }
}

/// Plans and confirms a deployment as an operator does.
async fn plan_and_confirm(lab: &Lab, args: &Args, manifest: &Manifest) -> eyre::Result<()> {
    let operator = lab.operator(0);
    let intent = lab::deploy_intent(MODEL, manifest.version(), args.replicas);
    let plan = operator.plan(&intent).await?;
    if !args.json {
        println!(
            "plan {}: {} steps, live in about {:.1} s, at most {} bytes from the origin",
            plan.id,
            plan.steps.len(),
            plan.live_seconds,
            plan.origin_bytes
        );
    }
    operator.confirm(&plan.id).await?;
    Ok(())
}

/// Samples the distribution until it has finished. Returns its duration in seconds, the number of killed
/// instances and the samples.
async fn follow_distribution(
    lab: &mut Lab,
    manifest: &Manifest,
    args: &Args,
    bound: f64,
) -> eyre::Result<(f64, usize, Vec<Sample>)> {
    let version = manifest.version();
    let start = Instant::now();
    let sent_before = lab.platform.origin.sent_bytes();
    let mut schedule = Schedule::start(lab, &args.faults, bound);
    let mut timeline = Vec::new();
    let mut next_print = start;
    loop {
        schedule.advance(lab).await?;
        let wanted = args.replicas - schedule.dead;
        let live = lab.live(version).len();
        let seconds = start.elapsed().as_secs_f64();
        let origin_sent = lab.platform.origin.sent_bytes() - sent_before;
        let origin_copies = origin_sent as f64 / manifest.bytes as f64;
        timeline.push(Sample { seconds, live, origin_copies });
        if !args.json && Instant::now() >= next_print {
            next_print += PRINT_INTERVAL;
            let staged = staged_percent(lab, version);
            println!(
                "{seconds:6.2} s  {staged:3.0} % staged, {live} of {wanted} live, \
                 {origin_copies:.2} copies from the origin"
            );
        }
        if live >= wanted {
            return Ok((seconds, schedule.dead, timeline));
        }
        if seconds > bound * TIMEOUT_FACTOR {
            return Err(eyre!("only {live} of {wanted} replicas are live"));
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Percentage of chunks held, over all agents.
fn staged_percent(lab: &Lab, version: VersionId) -> f64 {
    let held_fraction = |agent: &lab::Agent| {
        agent.node.with_state(|state| {
            let spread = state.spreads().find(|it| it.version == version);
            spread.map_or(0.0, |it| f64::from(it.have().count()) / f64::from(it.have().capacity()))
        })
    };
    lab.agents.iter().map(held_fraction).sum::<f64>() * 100.0 / lab.agents.len() as f64
}

/// Number of chunks fetched again over all agents, by reason.
fn rerequests(lab: &Lab) -> BTreeMap<String, u64> {
    let mut reasons = BTreeMap::new();
    for agent in &lab.agents {
        let text = agent.metrics.render();
        for line in text.lines().filter(|line| line.starts_with(RETRIES_METRIC)) {
            let reason = line.split("reason=\"").nth(1).and_then(|rest| rest.split('"').next());
            let count = line.rsplit(' ').next().and_then(|number| number.parse::<u64>().ok());
            if let (Some(reason), Some(count)) = (reason, count) {
                *reasons.entry(reason.to_owned()).or_insert(0) += count;
            }
        }
    }
    reasons
}
