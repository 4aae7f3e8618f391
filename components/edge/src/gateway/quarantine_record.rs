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
use quarantine::{CrashNews, QuarantineAnswer, QuarantineCall, QuarantineRecord};
use uptime::Instant;

use super::core::Core;
use crate::http_client::HttpClient;
use crate::http_connection::with_deadline;

/// How long a call may take: three times the slowest usual answer, which leaves time for a new connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long the task sleeps if no call is due.
const REST: Duration = Duration::from_secs(3600);

/// What wakes the task.
enum Next {
    /// The status of a request has changed, or the process ends.
    StatusChange(std::result::Result<CrashNews, RecvError>),
    /// The store was restored from an older copy.
    StoreWentBack,
}

/// Maintains the record for as long as the task runs. `has_read` is set after the first call to the store for
/// it.
pub async fn keep(
    core: Core,
    store: SocketAddr,
    news: Receiver<CrashNews>,
    was_asked: Rc<Cell<bool>>,
) {
    let mut record = QuarantineRecord::new(core.clock.now());
    let mut client = HttpClient::new(store);
    loop {
        let next = record.next_at().map(|at| core.clock.instant(at));
        let until = next.unwrap_or_else(|| Instant::now() + REST);
        let next = future::or(async { Next::StatusChange(news.recv().await) }, async {
            let _ = core.went_back.recv().await;
            Next::StoreWentBack
        });
        match with_deadline(until, next).await {
            Some(Next::StatusChange(Ok(news))) => {
                record.hear(core.clock.now(), rand::random(), &news)
            }
            Some(Next::StatusChange(Err(_))) => return,
            Some(Next::StoreWentBack) => {
                let now = core.clock.now();
                let quarantined = core.read(|it| it.quarantined());
                let mine = quarantined.into_iter();
                let mine = mine.filter(|it| core.writes_again(now, &it.to_string()));
                record.note_went_back(now, rand::random(), mine);
            }
            None => {}
        }
        let lives = |digest, unrecorded| core.read(|it| it.lives_under(digest, unrecorded));
        if let Some(call) = record.due(core.clock.now(), lives) {
            make(&core, &mut record, &mut client, call).await;
            was_asked.set(true);
        }
    }
}

/// Makes a call and applies its answer.
async fn make(
    core: &Core,
    record: &mut QuarantineRecord,
    client: &mut HttpClient,
    call: QuarantineCall,
) {
    let answer = match ask(core, client, &call).await {
        Ok(answer) => answer,
        Err(error) => {
            let reason = error.to_string();
            log::warn!(call = name(&call), reason = reason.as_str(); "record of the quarantine not reached");
            QuarantineAnswer::Failed
        }
    };
    core.metrics.count_platform(name(&call), outcome(&answer));
    tell(&call, &answer);
    let recorded = record.take(core.clock.now(), rand::random(), &call, &answer);
    if let Some(digest) = recorded {
        core.feed(Event::Recorded(digest));
        // Other gateways need not write it too.
        core.tell_sidecars();
    }
    if let QuarantineAnswer::Rows(list) = answer {
        core.feed(Event::Crashes(list));
    }
}

async fn ask(
    core: &Core,
    client: &mut HttpClient,
    call: &QuarantineCall,
) -> Result<QuarantineAnswer> {
    let answer = client.call(rows::call(call)?, CALL_TIMEOUT).await?;
    core.tables.era.record(&answer.headers)?;
    rows::read(call, answer.status, &answer.body)
}

/// Logs the outcome of a call.
fn tell(call: &QuarantineCall, answer: &QuarantineAnswer) {
    let outcome = outcome(answer);
    match call {
        QuarantineCall::Read => {
            let rows = match answer {
                QuarantineAnswer::Rows(list) => list.0.len(),
                QuarantineAnswer::Done | QuarantineAnswer::Failed => 0,
            };
            log::info!(outcome = outcome, rows = rows; "record of the quarantine read");
        }
        QuarantineCall::Write(digest, lives) => {
            let digest = digest.to_string();
            log::info!(digest = digest.as_str(), crashes = lives.len(), outcome = outcome; "quarantine recorded");
        }
        QuarantineCall::Remove(digest) => {
            let digest = digest.to_string();
            log::info!(digest = digest.as_str(), outcome = outcome; "quarantine taken off the record");
        }
    }
}

/// The name of a call in the metrics.
fn name(call: &QuarantineCall) -> &'static str {
    match call {
        QuarantineCall::Read => "quarantine_read",
        QuarantineCall::Write(..) => "quarantine_write",
        QuarantineCall::Remove(_) => "quarantine_remove",
    }
}

fn outcome(answer: &QuarantineAnswer) -> &'static str {
    match answer {
        QuarantineAnswer::Rows(_) | QuarantineAnswer::Done => "ok",
        QuarantineAnswer::Failed => "failed",
    }
}
