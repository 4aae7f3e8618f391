//! Maintains the record of when versions were first received.

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use errors::Result;
use fleet::ModelName;
use gateway::{Event, RecordAnswer, RecordCall, VersionRecord};
use platform::record;
use uptime::Instant;

use super::core::Core;
use crate::http_client::HttpClient;
use crate::http_connection::with_deadline;

/// How long a call may take: three times the slowest usual answer, which leaves time for a new connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long the task sleeps if no call is due.
const IDLE_SLEEP: Duration = Duration::from_secs(3600);
/// Capacity of the channel of received versions. Operators name one or two at a time.
const UPDATES_CAPACITY: usize = 64;

/// A version that was received from the store.
pub struct ReceivedVersion {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
    /// The store's clock at a time when the version was not yet announced. `None` if no such time is known.
    pub not_before_ms: Option<u64>,
}

/// An update for the task that maintains the record.
pub enum RecordUpdate {
    /// A version was received.
    ReceivedVersion(ReceivedVersion),
    /// The store was restored from an older copy: rows may be lost, and their revisions have changed.
    StoreRestored,
}

/// The channel of updates, in order.
pub fn channel() -> (Sender<RecordUpdate>, Receiver<RecordUpdate>) {
    async_channel::bounded(UPDATES_CAPACITY)
}

/// Maintains the record for as long as the task runs. `version_ms` is how long requests may start on an older
/// version.
pub async fn maintain(
    core: Core,
    store: SocketAddr,
    version_ms: u64,
    updates: Receiver<RecordUpdate>,
) {
    let mut record = VersionRecord::new(version_ms);
    let mut client = HttpClient::new(store);
    loop {
        let next = record.next_at().map(|at| core.clock.instant(at));
        let until = next.unwrap_or_else(|| Instant::now() + IDLE_SLEEP);
        let now = core.clock.now();
        match with_deadline(until, updates.recv()).await {
            Some(Ok(RecordUpdate::ReceivedVersion(ReceivedVersion {
                model,
                version,
                not_before_ms,
            }))) => {
                record.record_version(
                    core.clock.now(),
                    rand::random(),
                    model,
                    version,
                    not_before_ms,
                );
            }
            Some(Ok(RecordUpdate::StoreRestored)) => {
                let is_responsible = |model: &ModelName| core.rewrites_row(now, &model.0);
                record.record_store_restore(core.clock.now(), rand::random(), is_responsible);
            }
            Some(Err(_)) => return,
            None => {}
        }
        record.note_known(&core.read(|it| it.announced_versions(core.clock.now())));
        if let Some(call) = record.due(core.clock.now()) {
            perform_call(&core, &mut record, &mut client, call).await;
        }
    }
}

/// Makes a call and applies its answer.
async fn perform_call(
    core: &Core,
    record: &mut VersionRecord,
    client: &mut HttpClient,
    call: RecordCall,
) {
    let answer = match send_call(core, client, &call).await {
        Ok(answer) => answer,
        Err(error) => {
            let reason = error.to_string();
            log::warn!(call = call_name(&call), reason = reason.as_str(); "version record cannot be reached");
            RecordAnswer::Failed
        }
    };
    core.metrics.count_platform_call(call_name(&call), outcome_name(&answer));
    log_outcome(&call, &answer);
    let announced_versions = record.apply_answer(core.clock.now(), rand::random(), &call, answer);
    for announced in &announced_versions {
        let model = announced.model.0.as_str();
        log::info!(model = model, version = announced.version, age_ms = announced.age_ms; "version's age read");
        core.dispatch(Event::VersionAnnounced(announced.clone()));
    }
    if !announced_versions.is_empty() {
        core.notify_sidecars();
    }
}

async fn send_call(
    core: &Core,
    client: &mut HttpClient,
    call: &RecordCall,
) -> Result<RecordAnswer> {
    let answer = client.call(record::call(call)?, CALL_TIMEOUT).await?;
    core.tables.era.record(&answer.headers)?;
    record::read(call, answer.status, &answer.body)
}

/// Logs the outcome of a call.
fn log_outcome(call: &RecordCall, answer: &RecordAnswer) {
    let outcome = outcome_name(answer);
    match call {
        RecordCall::Read => log::info!(outcome = outcome; "record of versions read"),
        RecordCall::Write(first_seen, revision) => log::info!(
            model = first_seen.model.0.as_str(),
            version = first_seen.version,
            not_before_ms = first_seen.not_before_ms,
            revision = *revision,
            outcome = outcome;
            "version's first hearing recorded"
        ),
    }
}

/// The name of a call in the metrics.
fn call_name(call: &RecordCall) -> &'static str {
    match call {
        RecordCall::Read => "version_record_read",
        RecordCall::Write(..) => "version_record_write",
    }
}

fn outcome_name(answer: &RecordAnswer) -> &'static str {
    match answer {
        RecordAnswer::Rows(..) | RecordAnswer::Written(_) => "ok",
        RecordAnswer::Differs(_) => "differs",
        RecordAnswer::Failed => "failed",
    }
}
