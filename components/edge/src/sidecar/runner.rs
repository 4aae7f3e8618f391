//! Calls of a sidecar to its runner.

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use bytes::Bytes;
use errors::{Code, Error, Result};
use fleet::{Bitmap, ModelName};
use gateway::RunnerLoad;
use platform::headers::ResponseHeaders;
use platform::{headers, runner, weights, Call};
use quarantine::ListScope;
use rollout::{Event, LoadOrder, OrderOutcome, Recipients, Reports, Subscribers};
use uptime::Instant;

use super::core::Core;
use crate::datagram_socket::DatagramSocket;
use crate::http_client::HttpClient;
use crate::http_connection::with_deadline;
use crate::message::Datagram;

/// How often the runner is asked for its report while requests wait for a slot.
const FAST_REPORT_INTERVAL: Duration = Duration::from_millis(25);
/// How often it is asked otherwise.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// How long a call to the runner may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// How long staging the chunks of a version may take. After a longer time the first ones may be corrupt
/// again.
const MAX_STAGING_TIME: Duration = Duration::from_millis(2500);

/// A job at the runner. Jobs are executed one after the other.
pub enum Job {
    /// Read the chunks that are staged there.
    Find(u64),
    /// Stage every chunk of a version there.
    Stage(u64),
    /// Order the runner to load a version.
    Order(LoadOrder),
}

/// Polls the runner's report and sends its load to the gateways.
pub async fn poll_reports(core: Core, socket: DatagramSocket) {
    let mut client = HttpClient::new(core.settings.runner);
    let mut is_answering = false;
    let mut reports = Reports::default();
    let mut last_sent = None;
    let mut is_leaving = false;
    loop {
        let sent_at = core.clock.now();
        let report = read_report(&core, &mut client).await;
        if report.is_ok() != is_answering {
            is_answering = report.is_ok();
            log::info!(heard = is_answering; "runner");
        }
        match report {
            Ok((report, response_headers)) => {
                core.dispatch(Event::Status(report.status));
                record_leaving(&core, &mut is_leaving, response_headers.is_leaving);
                core.dispatch(Event::LimitAdvertised(sent_at, response_headers.limit));
                *core.load.borrow_mut() = Some(report.load);
                if let Some(load) = core.current_load() {
                    send_due_report(&core, &socket, &mut reports, &mut last_sent, load).await;
                }
            }
            Err(_) => core.dispatch(Event::Unresponsive),
        }
        Timer::after(FAST_REPORT_INTERVAL).await;
        if core.rollout.borrow().queued_requests() == 0 {
            with_deadline(
                Instant::now() + REPORT_INTERVAL - FAST_REPORT_INTERVAL,
                core.report_requested.recv(),
            )
            .await;
        }
    }
}

/// Sends the load to the gateways that are due for a report. `last_sent` is the load that was last sent.
async fn send_due_report(
    core: &Core,
    socket: &DatagramSocket,
    reports: &mut Reports,
    last_sent: &mut Option<RunnerLoad>,
    load: RunnerLoad,
) {
    let is_unchanged =
        last_sent.as_ref().is_some_and(|it| (it.busy, &it.weights) == (load.busy, &load.weights));
    let near = core.same_hall_subscribers().len();
    let subscribers = Subscribers { near, far: core.subscribers().len() - near };
    let gateways = match reports.recipients(core.clock.now(), !is_unchanged, subscribers) {
        Recipients::Nobody => return,
        Recipients::Hall => core.same_hall_subscribers(),
        Recipients::Everyone => core.subscribers(),
    };
    *last_sent = Some(load.clone());
    send_load(core, socket, &gateways, load).await;
}

async fn send_load(
    core: &Core,
    socket: &DatagramSocket,
    gateways: &[SocketAddr],
    load: RunnerLoad,
) {
    let clock_ms = core.time.borrow().clock_ms_to_report(Instant::now());
    let datagram = Datagram::Load {
        runner: core.settings.runner,
        clock_ms: clock_ms.filter(|_| load.named.is_some()),
        load,
        evacuations: core.evacuations(),
        crashes: core.crash_list(ListScope::FreshSuspects),
    };
    for gateway in gateways {
        socket.send(*gateway, &datagram).await;
    }
}

/// Reads the runner's report and the response_headers in the headers of its answer.
async fn read_report(
    core: &Core,
    client: &mut HttpClient,
) -> Result<(runner::Report, ResponseHeaders)> {
    let answer = client.call(runner::report(), CALL_TIMEOUT).await?;
    let response_headers = headers::read_response(&answer.headers);
    let report = runner::read_report(&answer.success()?, *core.layers.borrow());
    if report.is_err() {
        core.metrics.count_malformed_answer("report", "content");
    }
    Ok((report?, response_headers))
}

/// Records whether the runner is leaving. `known` is its previous statement.
fn record_leaving(core: &Core, known: &mut bool, is_leaving: bool) {
    if std::mem::replace(known, is_leaving) != is_leaving {
        log::info!(leaves = is_leaving; "the runner says whether it leaves");
        core.dispatch(Event::RunnerLeaves(is_leaving));
    }
}

/// Executes jobs at the runner for as long as the task runs.
pub async fn run_jobs(core: Core, jobs: Receiver<Job>) {
    let mut client = HttpClient::new(core.settings.runner);
    while let Ok(job) = jobs.recv().await {
        let Some(model) = core.rollout.borrow().plan().map(|it| it.model.clone()) else {
            continue;
        };
        let mut worker = Worker { core: &core, client: &mut client, model };
        match job {
            Job::Find(version) => worker.find_staged(version).await,
            Job::Stage(version) => worker.stage(version).await,
            Job::Order(order) => worker.order(order).await,
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
    let outcome = send_order(&mut client, runner::retire(&model, version, sequence, layers)).await;
    let outcome_text = format!("{outcome:?}");
    log::warn!(version = version, sequence = sequence, outcome = outcome_text.as_str(); "version given up at its bound");
}

/// Sends an order to the runner.
async fn send_order(client: &mut HttpClient, order: Result<Call>) -> OrderOutcome {
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
    async fn find_staged(&mut self, version: u64) {
        let mut found = self.core.chunks.borrow().stored(version);
        let listed = self.list_staged(found.capacity()).await;
        let wanted: Vec<u32> = found.missing().filter(|index| listed.contains(*index)).collect();
        for index in wanted {
            let Ok(bytes) = self.read_staged(index).await else {
                break;
            };
            let is_valid = self.core.chunks.borrow_mut().insert(version, index, bytes);
            if !is_valid && found.count() == 0 {
                // These are chunks of another version, so the rest need not be read.
                break;
            }
            if is_valid {
                found.insert(index);
            }
        }
        log::info!(version = version, chunks = found.count(); "chunks found at the runner");
        self.core.dispatch(Event::StoredChunksRead(version, found));
    }

    async fn list_staged(&mut self, chunks: u32) -> Bitmap {
        let answer = self.client.call(weights::staged(&self.model), CALL_TIMEOUT).await;
        let body = answer.and_then(|it| it.success());
        body.and_then(|body| weights::read_staged(&body, chunks))
            .unwrap_or_else(|_| Bitmap::new(chunks))
    }

    async fn read_staged(&mut self, index: u32) -> Result<Bytes> {
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
        let started = Instant::now();
        let mut is_valid = chunks > 0;
        for index in 0..chunks {
            is_valid &= self.stage_chunk(version, index).await.is_ok();
        }
        let took = started.elapsed();
        log::info!(version = version, sound = is_valid, ms = took.as_millis() as u64; "staged");
        self.core.dispatch(Event::Staged(version, is_valid && took <= MAX_STAGING_TIME));
    }

    async fn stage_chunk(&mut self, version: u64, index: u32) -> Result<()> {
        let chunk = self.core.chunks.borrow().get(version, index);
        let bytes =
            chunk.ok_or_else(|| Error::new(Code::ChunkMissing, "the chunk is not stored"))?;
        let call = weights::stage(&self.model, index, bytes.to_vec());
        let answer = self.client.call(call, CALL_TIMEOUT).await?;
        if (200..300).contains(&answer.status) {
            return Ok(());
        }
        Err(Error::new(Code::UpstreamFailed, format!("status {}", answer.status)))
    }

    async fn order(&mut self, order: LoadOrder) {
        let LoadOrder { version, sequence, running, abort_running, reason } = order;
        let call = runner::start(&self.model, version, sequence, abort_running);
        let outcome = send_order(self.client, call).await;
        let outcome_text = format!("{outcome:?}");
        log::info!(version = version, sequence = sequence, running = running, cut = abort_running, reason = reason.name(), outcome = outcome_text.as_str(); "ordered");
        self.core.metrics.count_order(reason.name());
        self.core.dispatch(Event::Ordered(version, outcome));
    }
}
