//! Executes the effects of configuration changes: reads and writes the table, and completes the calls of operators.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_channel::{Receiver, Sender};
use errors::{Code, Error, Result};
use externals::Precondition;
use fleet::{Configuration, Plan};
use reducer::{ChangeEffect, ChangeEvent, ConfigurationRow, EntryEvent, Outcome};

use super::Shared;
use crate::control::{decode_configuration, encode_configuration, CONFIGURATION_ROW};

/// The calls of operators that wait for an outcome.
#[derive(Default)]
pub(crate) struct OperatorCalls {
    next_call: AtomicU64,
    waiters: Mutex<HashMap<u64, Sender<Outcome>>>,
}

impl OperatorCalls {
    /// Allocates a number for a call, and the channel on which its outcome will arrive.
    pub(super) fn register(&self) -> (u64, Receiver<Outcome>) {
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = async_channel::bounded(1);
        self.waiters.lock().expect("the lock is never poisoned").insert(call, sender);
        (call, receiver)
    }

    fn complete(&self, call: u64, outcome: Outcome) {
        let waiter = self.waiters.lock().expect("the lock is never poisoned").remove(&call);
        if let Some(sender) = waiter {
            let _ = sender.try_send(outcome);
        }
    }
}

/// The key of the table row of a plan.
fn plan_row_key(id: &str) -> String {
    format!("plans/{id}")
}

/// Executes one effect.
pub(super) fn execute(shared: &Arc<Shared>, effect: ChangeEffect) {
    let tasks = &shared.context.services.tasks;
    let shared = shared.clone();
    match effect {
        ChangeEffect::ReadHead { call } => tasks.clone().spawn(async move {
            let result = read_configuration_row(&shared).await;
            send_event(&shared, ChangeEvent::HeadRead { call, result }).await;
        }),
        ChangeEffect::WriteHead { call, configuration, tag } => tasks.clone().spawn(async move {
            let result = write_configuration_row(&shared, &configuration, tag).await;
            send_event(&shared, ChangeEvent::HeadWritten { call, result }).await;
        }),
        ChangeEffect::SavePlan { call, plan } => tasks.clone().spawn(async move {
            let result = save_plan(&shared, &plan).await;
            send_event(&shared, ChangeEvent::PlanSaved { call, result }).await;
        }),
        ChangeEffect::Reply { call, outcome } => shared.calls.complete(call, *outcome),
        // The reducer handles these effects itself.
        ChangeEffect::MakePlan { .. } | ChangeEffect::Adopt(_) => {}
    }
}

async fn send_event(shared: &Shared, event: ChangeEvent) {
    shared.inbox.send(EntryEvent::Change(event)).await;
}

async fn read_configuration_row(shared: &Shared) -> Result<ConfigurationRow> {
    let row = shared.context.services.platform.table.read(CONFIGURATION_ROW).await?;
    row.map(|row| Ok((Box::new(decode_configuration(&row.value)?), row.tag))).transpose()
}

async fn write_configuration_row(
    shared: &Shared,
    configuration: &Configuration,
    tag: Option<String>,
) -> Result<()> {
    let expected = tag.map_or(Precondition::Absent, Precondition::Tag);
    let table = &shared.context.services.platform.table;
    let result =
        table.write(CONFIGURATION_ROW, &encode_configuration(configuration), &expected).await;
    let outcome = if result.is_ok() { "written" } else { "not_written" };
    shared.context.services.metrics.count_platform_call("table", outcome);
    result.map(drop)
}

/// Saves a plan. The row may exist already, as a repeated intent gives the same plan.
async fn save_plan(shared: &Shared, plan: &Plan) -> Result<()> {
    let table = &shared.context.services.platform.table;
    let bytes =
        serde_json::to_vec(plan).map_err(|error| Error::new(Code::Internal, error.to_string()))?;
    let row = plan_row_key(&plan.id.0);
    let Some(found) = table.read(&row).await? else {
        let result = table.write(&row, &bytes, &Precondition::Absent).await;
        return accept_if_row_exists(shared, &row, result).await;
    };
    // Overwrites the row, so that the plan has the later expiry.
    let result = table.write(&row, &bytes, &Precondition::Tag(found.tag)).await;
    accept_if_row_exists(shared, &row, result).await
}

/// Treats a failed write as successful if the row exists, as only the response to the write may have been lost.
async fn accept_if_row_exists(shared: &Shared, row: &str, result: Result<String>) -> Result<()> {
    let Err(error) = result else {
        return Ok(());
    };
    match shared.context.services.platform.table.read(row).await {
        Ok(Some(_)) => Ok(()),
        _ => Err(error),
    }
}

/// Reads a plan that was saved by any entry.
pub(super) async fn load_plan(shared: &Shared, id: &str) -> Result<Plan> {
    let table = &shared.context.services.platform.table;
    let row = table.read(&plan_row_key(id)).await;
    let row = row.map_err(|error| Error::new(Code::TableUnavailable, error.detail))?;
    let row = row.ok_or_else(|| Error::new(Code::PlanNotFound, format!("no plan {id}")))?;
    serde_json::from_slice(&row.value)
        .map_err(|error| Error::new(Code::Internal, format!("plan {id}: {error}")))
}
