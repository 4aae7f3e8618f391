//! Maintains the record of quarantined requests in the store.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, RecvError};
use errors::Result;
use futures_lite::future;
use gateway::Event;
use platform::quarantine as rows;
use quarantine::{CrashEvent, QuarantineAnswer, QuarantineCall, QuarantineRecord};
use uptime::Instant;

use super::core::Core;
use crate::http_client::HttpClient;
use crate::http_connection::with_deadline;

/// How long a call may take: three times the slowest usual answer, which leaves time for a new connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long the task sleeps if no call is due.
const IDLE_SLEEP: Duration = Duration::from_secs(3600);

/// What wakes the task.
enum WakeUp {
    /// The status of a request has changed, or the process ends.
    StatusChange(std::result::Result<CrashEvent, RecvError>),
    /// The store was restored from an older copy.
    StoreRestored,
}

/// Maintains the record for as long as the task runs. `has_read` is set after the first call to the store for
/// it.
pub async fn maintain(
    core: Core,
    store: SocketAddr,
    changes: Receiver<CrashEvent>,
    has_read: Rc<Cell<bool>>,
) {
    let mut record = QuarantineRecord::new(core.clock.now());
    let mut client = HttpClient::new(store);
    loop {
        let next = record.next_at().map(|at| core.clock.instant(at));
        let until = next.unwrap_or_else(|| Instant::now() + IDLE_SLEEP);
        let next = future::or(async { WakeUp::StatusChange(changes.recv().await) }, async {
            let _ = core.store_restored.recv().await;
            WakeUp::StoreRestored
        });
        match with_deadline(until, next).await {
            Some(WakeUp::StatusChange(Ok(change))) => {
                record.handle_change(core.clock.now(), rand::random(), &change)
            }
            Some(WakeUp::StatusChange(Err(_))) => return,
            Some(WakeUp::StoreRestored) => {
                let now = core.clock.now();
                let quarantined = core.read(|it| it.quarantined());
                let responsible = quarantined.into_iter();
                let responsible = responsible.filter(|it| core.rewrites_row(now, &it.to_string()));
                record.handle_store_restore(now, rand::random(), responsible);
            }
            None => {}
        }
        let incarnations =
            |digest, unrecorded| core.read(|it| it.crashed_incarnations(digest, unrecorded));
        if let Some(call) = record.due(core.clock.now(), incarnations) {
            perform_call(&core, &mut record, &mut client, call).await;
            has_read.set(true);
        }
    }
}

/// Makes a call and applies its answer.
async fn perform_call(
    core: &Core,
    record: &mut QuarantineRecord,
    client: &mut HttpClient,
    call: QuarantineCall,
) {
    let answer = match send_call(core, client, &call).await {
        Ok(answer) => answer,
        Err(error) => {
            let reason = error.to_string();
            log::warn!(call = call_name(&call), reason = reason.as_str(); "quarantine record cannot be reached");
            QuarantineAnswer::Failed
        }
    };
    core.metrics.count_platform_call(call_name(&call), outcome_name(&answer));
    log_outcome(&call, &answer);
    let recorded = record.handle_answer(core.clock.now(), rand::random(), &call, &answer);
    if let Some(digest) = recorded {
        core.dispatch(Event::QuarantineRecorded(digest));
        // Other gateways need not write it too.
        core.notify_sidecars();
    }
    if let QuarantineAnswer::Rows(list) = answer {
        core.dispatch(Event::Crashes(list));
    }
}

async fn send_call(
    core: &Core,
    client: &mut HttpClient,
    call: &QuarantineCall,
) -> Result<QuarantineAnswer> {
    let answer = client.call(rows::call(call)?, CALL_TIMEOUT).await?;
    core.tables.era.record(&answer.headers)?;
    rows::read(call, answer.status, &answer.body)
}

/// Logs the outcome of a call.
fn log_outcome(call: &QuarantineCall, answer: &QuarantineAnswer) {
    let outcome = outcome_name(answer);
    match call {
        QuarantineCall::Read => {
            let rows = match answer {
                QuarantineAnswer::Rows(list) => list.0.len(),
                QuarantineAnswer::Done | QuarantineAnswer::Failed => 0,
            };
            log::info!(outcome = outcome, rows = rows; "record of the quarantine read");
        }
        QuarantineCall::Write(digest, incarnations) => {
            let digest = digest.to_string();
            log::info!(digest = digest.as_str(), crashes = incarnations.len(), outcome = outcome; "quarantine recorded");
        }
        QuarantineCall::Remove(digest) => {
            let digest = digest.to_string();
            log::info!(digest = digest.as_str(), outcome = outcome; "quarantine removed from the record");
        }
    }
}

/// The name of a call in the metrics.
fn call_name(call: &QuarantineCall) -> &'static str {
    match call {
        QuarantineCall::Read => "quarantine_read",
        QuarantineCall::Write(..) => "quarantine_write",
        QuarantineCall::Remove(_) => "quarantine_remove",
    }
}

fn outcome_name(answer: &QuarantineAnswer) -> &'static str {
    match answer {
        QuarantineAnswer::Rows(_) | QuarantineAnswer::Done => "ok",
        QuarantineAnswer::Failed => "failed",
    }
}
