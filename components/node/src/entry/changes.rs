//! Carries out what changes ask of the table, and answers operators.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_channel::{Receiver, Sender};
use errors::{Code, Error, Result};
use externals::Expected;
use fleet::{Configuration, Plan};
use reducer::{ChangeEffect, ChangeEvent, EntryEvent, Head, Outcome};

use super::Shared;
use crate::control::{decode, encode, HEAD_ROW};

/// The operators' calls that wait for an outcome.
#[derive(Default)]
pub(crate) struct Calls {
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, Sender<Outcome>>>,
}

impl Calls {
    /// A number for a call, and where its outcome will come.
    pub(super) fn begin(&self) -> (u64, Receiver<Outcome>) {
        let call = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = async_channel::bounded(1);
        self.waiting.lock().expect("the lock is never poisoned").insert(call, sender);
        (call, receiver)
    }

    fn end(&self, call: u64, outcome: Outcome) {
        let waiting = self.waiting.lock().expect("the lock is never poisoned").remove(&call);
        if let Some(sender) = waiting {
            let _ = sender.try_send(outcome);
        }
    }
}

/// The row of a plan.
fn plan_row(id: &str) -> String {
    format!("plans/{id}")
}

/// Carries out one effect.
pub(super) fn carry_out(shared: &Arc<Shared>, effect: ChangeEffect) {
    let tasks = &shared.surroundings.host.tasks;
    let shared = shared.clone();
    match effect {
        ChangeEffect::ReadHead { call } => tasks.clone().spawn(async move {
            let result = read_head(&shared).await;
            tell(&shared, ChangeEvent::HeadRead { call, result }).await;
        }),
        ChangeEffect::WriteHead { call, configuration, tag } => tasks.clone().spawn(async move {
            let result = write_head(&shared, &configuration, tag).await;
            tell(&shared, ChangeEvent::HeadWritten { call, result }).await;
        }),
        ChangeEffect::SavePlan { call, plan } => tasks.clone().spawn(async move {
            let result = save_plan(&shared, &plan).await;
            tell(&shared, ChangeEvent::PlanSaved { call, result }).await;
        }),
        ChangeEffect::Reply { call, outcome } => shared.calls.end(call, *outcome),
        // The reducer itself does these.
        ChangeEffect::MakePlan { .. } | ChangeEffect::Adopt(_) => {}
    }
}

async fn tell(shared: &Shared, event: ChangeEvent) {
    shared.inbox.send(EntryEvent::Change(event)).await;
}

async fn read_head(shared: &Shared) -> Result<Head> {
    let row = shared.surroundings.host.platform.table.read(HEAD_ROW).await?;
    row.map(|row| Ok((Box::new(decode(&row.value)?), row.tag))).transpose()
}

async fn write_head(
    shared: &Shared,
    configuration: &Configuration,
    tag: Option<String>,
) -> Result<()> {
    let expected = tag.map_or(Expected::Absent, Expected::Tag);
    let table = &shared.surroundings.host.platform.table;
    let result = table.write(HEAD_ROW, &encode(configuration), &expected).await;
    let outcome = if result.is_ok() { "written" } else { "not_written" };
    shared.surroundings.host.metrics.count_platform("table", outcome);
    result.map(drop)
}

/// Saves a plan. The same plan may be there already; a repeated intent is one plan.
async fn save_plan(shared: &Shared, plan: &Plan) -> Result<()> {
    let table = &shared.surroundings.host.platform.table;
    let bytes =
        serde_json::to_vec(plan).map_err(|error| Error::new(Code::Internal, error.to_string()))?;
    let row = plan_row(&plan.id.0);
    let Some(found) = table.read(&row).await? else {
        let written = table.write(&row, &bytes, &Expected::Absent).await;
        return accept_lost(shared, &row, written).await;
    };
    // The later expiry counts.
    let written = table.write(&row, &bytes, &Expected::Tag(found.tag)).await;
    accept_lost(shared, &row, written).await
}

/// A write whose answer was lost is settled by looking for the row.
async fn accept_lost(shared: &Shared, row: &str, written: Result<String>) -> Result<()> {
    let Err(error) = written else {
        return Ok(());
    };
    match shared.surroundings.host.platform.table.read(row).await {
        Ok(Some(_)) => Ok(()),
        _ => Err(error),
    }
}

/// Reads a plan that was saved by any entry.
pub(super) async fn load_plan(shared: &Shared, id: &str) -> Result<Plan> {
    let table = &shared.surroundings.host.platform.table;
    let row = table.read(&plan_row(id)).await;
    let row = row.map_err(|error| Error::new(Code::TableUnavailable, error.detail))?;
    let row = row.ok_or_else(|| Error::new(Code::PlanNotFound, format!("no plan {id}")))?;
    serde_json::from_slice(&row.value)
        .map_err(|error| Error::new(Code::Internal, format!("plan {id}: {error}")))
}
