//! The run itself.

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
use reducer::Choice;

use crate::args::{Args, Fault, Weights};
use crate::callers::Callers;
use crate::faults::Schedule;
use crate::plot::Moment;
use crate::report::Report;

/// The model's name.
const MODEL: &str = "tips";
/// How long a spread may take, as a multiple of the bound.
const GIVE_UP_FACTOR: f64 = 10.0;
/// When a newer version replaces the one in flight, as a part of the bound.
const REPLACE_AT: f64 = 0.4;
/// How often the progress is looked at.
const POLL: Duration = Duration::from_millis(10);
/// How often the progress is shown.
const SHOW_EVERY: Duration = Duration::from_secs(1);
/// How long callers go on after the last replica is live: entries hear of replicas by gossip before they
/// send requests there.
const AFTERWARDS: Duration = Duration::from_millis(4000);
/// How long a fleet may take to be ready.
const READY: Duration = Duration::from_secs(60);
/// The counter of retries in the metrics.
const RETRIES: &str = "silverdock_retries_total";

/// What a run gives.
pub struct Run {
    /// Its figures.
    pub report: Report,
    /// What was seen over time.
    pub timeline: Vec<Moment>,
}

/// Runs a burst and gives its figures.
pub async fn run(
    executor: &Arc<Executor<'static>>,
    args: &Args,
    choice: Choice,
) -> eyre::Result<Run> {
    let contents = [load(args, args.seed)?, load(args, args.seed + 1)?];
    let options = LabOptions { choice, ..options(args, contents[0].len()) };
    let bound = options.estimate().bound_seconds(contents[0].len() as u64, args.replicas as u32);
    let mut lab = Lab::start(executor, options).await?;
    let mut manifest = lab.publish("weights-1", &contents[0]).await?;
    lab.wait_ready(READY).await?;
    let callers = Callers::start(executor, &lab, MODEL);
    deploy(&lab, args, &manifest).await?;
    if args.faults.has(Fault::Replace) {
        Timer::after(Duration::from_secs_f64(bound * REPLACE_AT)).await;
        manifest = lab.publish("weights-2", &contents[1]).await?;
        deploy(&lab, args, &manifest).await?;
    }
    let sent_before = lab.platform.origin.sent_bytes();
    let (seconds, dead, timeline) = follow(&mut lab, &manifest, args, bound).await?;
    Timer::after(AFTERWARDS).await;
    let rerequests = rerequests(&lab);
    let sent = lab.platform.origin.sent_bytes() - sent_before;
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
        origin_copies: sent as f64 / manifest.bytes as f64,
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

/// The file, or as many bytes as were asked for.
fn load(args: &Args, seed: u64) -> eyre::Result<Vec<u8>> {
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

/// Links in a fixed proportion: in the time in which the origin sends four copies, an instance
/// takes two.
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

/// Plans and confirms, as an operator would.
async fn deploy(lab: &Lab, args: &Args, manifest: &Manifest) -> eyre::Result<()> {
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

/// Follows the spread to its end. Gives the seconds it took, how many instances died, and what was
/// seen on the way.
async fn follow(
    lab: &mut Lab,
    manifest: &Manifest,
    args: &Args,
    bound: f64,
) -> eyre::Result<(f64, usize, Vec<Moment>)> {
    let version = manifest.version();
    let start = Instant::now();
    let sent_before = lab.platform.origin.sent_bytes();
    let mut schedule = Schedule::start(lab, &args.faults, bound);
    let mut timeline = Vec::new();
    let mut next_line = start;
    loop {
        schedule.advance(lab).await?;
        let wanted = args.replicas - schedule.dead;
        let live = lab.live(version).len();
        let seconds = start.elapsed().as_secs_f64();
        let sent = lab.platform.origin.sent_bytes() - sent_before;
        let origin_copies = sent as f64 / manifest.bytes as f64;
        timeline.push(Moment { seconds, live, origin_copies });
        if !args.json && Instant::now() >= next_line {
            next_line += SHOW_EVERY;
            let staged = staged_percent(lab, version);
            println!(
                "{seconds:6.2} s  {staged:3.0} % staged, {live} of {wanted} live, \
                 {origin_copies:.2} copies from the origin"
            );
        }
        if live >= wanted {
            return Ok((seconds, schedule.dead, timeline));
        }
        if seconds > bound * GIVE_UP_FACTOR {
            return Err(eyre!("only {live} of {wanted} replicas are live"));
        }
        Timer::after(POLL).await;
    }
}

/// The share of chunks held, over all agents, in percent.
fn staged_percent(lab: &Lab, version: VersionId) -> f64 {
    let held = |agent: &lab::Agent| {
        agent.node.inspect(|state| {
            let spread = state.spreads().find(|it| it.version == version);
            spread.map_or(0.0, |it| f64::from(it.have().count()) / f64::from(it.have().capacity()))
        })
    };
    lab.agents.iter().map(held).sum::<f64>() * 100.0 / lab.agents.len() as f64
}

/// Chunks drawn again over all agents, by reason.
fn rerequests(lab: &Lab) -> BTreeMap<String, u64> {
    let mut reasons = BTreeMap::new();
    for agent in &lab.agents {
        let text = agent.metrics.render();
        for line in text.lines().filter(|line| line.starts_with(RETRIES)) {
            let reason = line.split("reason=\"").nth(1).and_then(|rest| rest.split('"').next());
            let count = line.rsplit(' ').next().and_then(|number| number.parse::<u64>().ok());
            if let (Some(reason), Some(count)) = (reason, count) {
                *reasons.entry(reason.to_owned()).or_insert(0) += count;
            }
        }
    }
    reasons
}
