//! The run itself.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::{Executor, Task};
use async_io::Timer;
use eyre::{eyre, Context};
use fleet::VersionId;
use lab::{ChatCaller, Lab, LabOptions};
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};

use crate::args::{Args, Weights};
use crate::report::Report;

/// The model's name.
const MODEL: &str = "tips";
/// Time between two requests.
const REQUEST_EVERY: Duration = Duration::from_millis(50);
/// How long a spread may take, as a multiple of the bound.
const GIVE_UP_FACTOR: f64 = 10.0;
/// How often the progress is looked at.
const POLL: Duration = Duration::from_millis(10);
/// How often the progress is shown.
const SHOW_EVERY: Duration = Duration::from_secs(1);
/// How long callers go on after the last replica is live.
const AFTERWARDS: Duration = Duration::from_millis(500);
/// The name of the counter of chunks and retries in the metrics.
const RETRIES: &str = "silverdock_retries_total";

/// Runs a burst and gives its figures.
pub async fn run(executor: &Arc<Executor<'static>>, args: &Args) -> eyre::Result<Report> {
    let content = load(args)?;
    let options = options(args, content.len());
    let bound = options.estimate().bound_seconds(content.len() as u64, args.replicas as u32);
    let lab = Lab::start(executor, options).await?;
    let manifest = lab.publish("weights", &content).await?;
    lab.wait_ready(Duration::from_secs(60)).await?;
    let version = manifest.version();
    let mut report = Report {
        replicas: args.replicas,
        profile: format!("{:?}", args.profile).to_lowercase(),
        faults: args.faults.names(),
        bytes: manifest.bytes,
        chunks: manifest.chunks(),
        bound_seconds: bound,
        ..Report::default()
    };
    let plan = lab.operator(0).plan(&lab::deploy_intent(MODEL, version, args.replicas)).await?;
    if !args.json {
        println!(
            "plan {}: {} steps, live in about {:.1} s, {} bytes from the origin",
            plan.id,
            plan.steps.len(),
            plan.live_seconds,
            plan.origin_bytes
        );
    }
    let known = vec![blake3::hash(&content).to_hex().to_string()];
    let callers = start_callers(executor, &lab);
    let start = Instant::now();
    lab.operator(0).confirm(&plan.id).await?;
    let give_up = Duration::from_secs_f64(bound * GIVE_UP_FACTOR + 10.0);
    report.seconds = follow(&lab, version, args, start, give_up).await?;
    report.live = lab.live(version).len();
    report.ratio = report.seconds / bound;
    Timer::after(AFTERWARDS).await;
    for answer in callers.stop().await {
        report.count(&answer, &known);
    }
    report.origin_copies = lab.platform.origin.sent_bytes() as f64 / manifest.bytes as f64;
    report.rerequests = rerequests(&lab);
    report.chunks_corrupt_caught = report.rerequests.get("ChunkCorrupt").copied().unwrap_or(0);
    Ok(report)
}

fn load(args: &Args) -> eyre::Result<Vec<u8>> {
    match &args.weights {
        Weights::File(path) => std::fs::read(path).wrap_err_with(|| format!("{}", path.display())),
        Weights::Size(size) => {
            let mut content = vec![0; *size];
            StdRng::seed_from_u64(args.seed).fill_bytes(&mut content);
            Ok(content)
        }
    }
}

/// Links in the brief's proportion: in the time in which the origin sends four copies, an instance
/// takes two.
fn options(args: &Args, bytes: usize) -> LabOptions {
    let link = (bytes as f64 / args.seconds).ceil() as u64;
    LabOptions {
        engines: args.replicas,
        link_bytes_per_s: link,
        origin_bytes_per_s: link * 2,
        copies: args.profile.copies(),
        ..LabOptions::default()
    }
}

/// Follows the spread to its end and gives the seconds it took.
async fn follow(
    lab: &Lab,
    version: VersionId,
    args: &Args,
    start: Instant,
    give_up: Duration,
) -> eyre::Result<f64> {
    let mut next_line = start;
    loop {
        let live = lab.live(version).len();
        if !args.json && Instant::now() >= next_line {
            next_line += SHOW_EVERY;
            let seconds = start.elapsed().as_secs_f64();
            let staged = staged_percent(lab, version);
            println!("{seconds:6.2} s  {staged:3.0} % staged, {live} of {} live", args.replicas);
        }
        if live >= args.replicas {
            return Ok(start.elapsed().as_secs_f64());
        }
        if start.elapsed() > give_up {
            return Err(eyre!("only {live} of {} replicas are live", args.replicas));
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

/// Callers that run until they are stopped.
struct Callers {
    task: Task<()>,
    answers: Arc<Mutex<Vec<lab::ChatAnswer>>>,
}

impl Callers {
    async fn stop(self) -> Vec<lab::ChatAnswer> {
        self.task.cancel().await;
        self.answers.lock().expect("the lock is never poisoned").clone()
    }
}

/// Calls every entry in turn, whether the model is there already or not.
fn start_callers(executor: &Arc<Executor<'static>>, lab: &Lab) -> Callers {
    let entries: Vec<_> = lab.entries.iter().map(|entry| entry.callers()).collect();
    let answers = Arc::new(Mutex::new(Vec::new()));
    let kept = answers.clone();
    let inner = executor.clone();
    let task = executor.spawn(async move {
        for number in 0_usize.. {
            let caller = ChatCaller {
                address: entries[number % entries.len()],
                model: MODEL.to_owned(),
                tokens: 8,
                stream: number % 2 == 0,
                patience: Duration::from_secs(30),
            };
            let kept = kept.clone();
            let call = async move {
                let answer = caller.chat(&format!("How is tip {number} split?")).await;
                kept.lock().expect("the lock is never poisoned").push(answer);
            };
            inner.spawn(call).detach();
            Timer::after(REQUEST_EVERY).await;
        }
    });
    Callers { task, answers }
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
