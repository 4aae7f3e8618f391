//! Calls of a sidecar to its runner.

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use bytes::Bytes;
use errors::{Code, Error, Result};
use fleet::{Bitmap, ModelName};
use gateway::RunnerLoad;
use platform::headers::AnswerFacts;
use platform::{headers, runner, weights, Call};
use quarantine::Told;
use rollout::{Audience, Event, Followers, OrderOutcome, Reports};
use uptime::Instant;

use super::core::Core;
use crate::datagram_socket::DatagramSocket;
use crate::http_client::HttpClient;
use crate::http_connection::with_deadline;
use crate::message::Datagram;

/// How often the runner is asked for its report while requests wait for a slot.
const REPORT_SPACING: Duration = Duration::from_millis(25);
/// How often it is asked otherwise.
const REPORT_EVERY: Duration = Duration::from_millis(100);
/// How long a call to the runner may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// How long staging the chunks of a version may take. After a longer time the first ones may be corrupt
/// again.
const MAX_STAGING: Duration = Duration::from_millis(2500);

/// A job at the runner. Jobs are executed one after the other.
pub enum Job {
    /// Read the chunks that are staged there.
    Find(u64),
    /// Stage every chunk of a version there.
    Stage(u64),
    /// Order the runner to start a version.
    Order {
        /// The version.
        version: u64,
        /// The number of orders that the runner is expected to have taken.
        sequence: u64,
        /// Whether running requests are interrupted.
        cut: bool,
    },
}

/// Polls the runner's report and sends its load to the gateways.
pub async fn report(core: Core, news: DatagramSocket) {
    let mut client = HttpClient::new(core.settings.runner);
    let mut heard = false;
    let mut reports = Reports::default();
    let mut told = None;
    let mut leaves = false;
    loop {
        let asked_at = core.clock.now();
        let report = read_report(&core, &mut client).await;
        if report.is_ok() != heard {
            heard = report.is_ok();
            log::info!(heard = heard; "runner");
        }
        match report {
            Ok((report, facts)) => {
                core.feed(Event::Status(report.status));
                note_leaving(&core, &mut leaves, facts.is_leaving);
                core.feed(Event::LimitReported(asked_at, facts.limit));
                *core.load.borrow_mut() = Some(report.load);
                if let Some(load) = core.load_now() {
                    tell_due(&core, &news, &mut reports, &mut told, load).await;
                }
            }
            Err(_) => core.feed(Event::Silent),
        }
        Timer::after(REPORT_SPACING).await;
        if core.rollout.borrow().waiting() == 0 {
            with_deadline(Instant::now() + REPORT_EVERY - REPORT_SPACING, core.look.recv()).await;
        }
    }
}

/// Sends the load to the gateways that are due for a report. `last_sent` is the load that was last sent.
async fn tell_due(
    core: &Core,
    news: &DatagramSocket,
    reports: &mut Reports,
    told: &mut Option<RunnerLoad>,
    load: RunnerLoad,
) {
    let same = told.as_ref().is_some_and(|it| (it.busy, &it.weights) == (load.busy, &load.weights));
    let near = core.near_subscribers().len();
    let followers = Followers { near, far: core.subscribers().len() - near };
    let gateways = match reports.audience(core.clock.now(), !same, followers) {
        Audience::Nobody => return,
        Audience::Hall => core.near_subscribers(),
        Audience::Everyone => core.subscribers(),
    };
    *told = Some(load.clone());
    tell_gateways(core, news, &gateways, load).await;
}

async fn tell_gateways(
    core: &Core,
    news: &DatagramSocket,
    gateways: &[SocketAddr],
    load: RunnerLoad,
) {
    let clock_ms = core.time.borrow().clock_ms_to_report(Instant::now());
    let datagram = Datagram::Load {
        runner: core.settings.runner,
        clock_ms: clock_ms.filter(|_| load.named.is_some()),
        load,
        evacuations: core.evacuations(),
        crashes: core.crash_list(Told::FreshSuspects),
    };
    for gateway in gateways {
        news.send(*gateway, &datagram).await;
    }
}

/// Reads the runner's report and the facts in the headers of its answer.
async fn read_report(
    core: &Core,
    client: &mut HttpClient,
) -> Result<(runner::Report, AnswerFacts)> {
    let answer = client.call(runner::report(), CALL_TIMEOUT).await?;
    let facts = headers::read_answer(&answer.headers);
    let report = runner::read_report(&answer.success()?, *core.layers.borrow())?;
    Ok((report, facts))
}

/// Records whether the runner is leaving. `known` is its previous statement.
fn note_leaving(core: &Core, known: &mut bool, is_leaving: bool) {
    if std::mem::replace(known, is_leaving) != is_leaving {
        log::info!(leaves = is_leaving; "the runner says whether it leaves");
        core.feed(Event::RunnerLeaves(is_leaving));
    }
}

/// Executes jobs at the runner for as long as the task runs.
pub async fn work(core: Core, jobs: Receiver<Job>) {
    let mut client = HttpClient::new(core.settings.runner);
    while let Ok(job) = jobs.recv().await {
        let Some(model) = core.rollout.borrow().plan().map(|it| it.model.clone()) else {
            continue;
        };
        let mut worker = Worker { core: &core, client: &mut client, model };
        match job {
            Job::Find(version) => worker.find(version).await,
            Job::Stage(version) => worker.stage(version).await,
            Job::Order { version, sequence, cut } => worker.order(version, sequence, cut).await,
        }
    }
}

/// Orders the runner to retire the version that it holds. The deadline does not wait for other jobs at the
/// runner, so this call bypasses the job queue; the runner accepts an order only if it has taken as many as
/// expected.
pub async fn retire(core: Core, version: u64, sequence: u64) {
    let Some(model) = core.rollout.borrow().plan().map(|it| it.model.clone()) else {
        return;
    };
    let layers = *core.layers.borrow();
    let mut client = HttpClient::new(core.settings.runner);
    let outcome = give(&mut client, runner::retire(&model, version, sequence, layers)).await;
    let word = format!("{outcome:?}");
    log::warn!(version = version, sequence = sequence, outcome = word.as_str(); "version given up at its bound");
}

/// Sends an order to the runner.
async fn give(client: &mut HttpClient, order: Result<Call>) -> OrderOutcome {
    let Ok(call) = order else {
        return OrderOutcome::Refused;
    };
    match client.call(call, CALL_TIMEOUT).await {
        Ok(answer) => runner::order_outcome(answer.status),
        Err(_) => OrderOutcome::Unanswered,
    }
}

struct Worker<'a> {
    core: &'a Core,
    client: &'a mut HttpClient,
    model: ModelName,
}

impl Worker<'_> {
    async fn find(&mut self, version: u64) {
        let mut found = self.core.chunks.borrow().held(version);
        let listed = self.listed(found.capacity()).await;
        let wanted: Vec<u32> = found.missing().filter(|index| listed.contains(*index)).collect();
        for index in wanted {
            let Ok(bytes) = self.staged(index).await else {
                break;
            };
            let sound = self.core.chunks.borrow_mut().insert(version, index, bytes);
            if !sound && found.count() == 0 {
                // These are chunks of another version, so the rest need not be read.
                break;
            }
            if sound {
                found.insert(index);
            }
        }
        log::info!(version = version, chunks = found.count(); "chunks found at the runner");
        self.core.feed(Event::Found(version, found));
    }

    async fn listed(&mut self, chunks: u32) -> Bitmap {
        let answer = self.client.call(weights::staged(&self.model), CALL_TIMEOUT).await;
        let body = answer.and_then(|it| it.success());
        body.and_then(|body| weights::read_staged(&body, chunks))
            .unwrap_or_else(|_| Bitmap::new(chunks))
    }

    async fn staged(&mut self, index: u32) -> Result<Bytes> {
        let call = weights::staged_chunk(&self.model, index);
        let answer = self.client.call(call, CALL_TIMEOUT).await?;
        if answer.status == 404 {
            return Ok(Bytes::new());
        }
        answer.success().map(Bytes::from)
    }

    /// Stages all chunks again right before an order, since staged chunks may become corrupt.
    async fn stage(&mut self, version: u64) {
        let chunks = self.core.chunks.borrow().manifest(version).map_or(0, |it| it.chunks());
        let begun = Instant::now();
        let mut sound = chunks > 0;
        for index in 0..chunks {
            sound &= self.put(version, index).await.is_ok();
        }
        let took = begun.elapsed();
        log::info!(version = version, sound = sound, ms = took.as_millis() as u64; "staged");
        self.core.feed(Event::Staged(version, sound && took <= MAX_STAGING));
    }

    async fn put(&mut self, version: u64, index: u32) -> Result<()> {
        let chunk = self.core.chunks.borrow().get(version, index);
        let bytes = chunk.ok_or_else(|| Error::new(Code::ChunkMissing, "not here"))?;
        let call = weights::stage(&self.model, index, bytes.to_vec());
        let answer = self.client.call(call, CALL_TIMEOUT).await?;
        if (200..300).contains(&answer.status) {
            return Ok(());
        }
        Err(Error::new(Code::UpstreamFailed, format!("status {}", answer.status)))
    }

    async fn order(&mut self, version: u64, sequence: u64, cut: bool) {
        let outcome = give(self.client, runner::start(&self.model, version, sequence, cut)).await;
        let word = format!("{outcome:?}");
        log::info!(version = version, sequence = sequence, cut = cut, outcome = word.as_str(); "ordered");
        self.core.feed(Event::Ordered(version, outcome));
    }
}
