//! Log lines about answers of the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use errors::Result;
use fleet::StorePosition;
use platform::store::Table;

/// Summary of an answer of the store.
#[derive(Clone, Copy, Debug)]
pub struct AnswerSummary {
    /// The number of rows.
    pub rows: usize,
    /// The position in the store's history up to which the answer is complete.
    pub position: StorePosition,
}

/// Logs the outcome of a call for a table. `elapsed` is the time since the call was sent, to a reader if
/// `reader` is set, otherwise to the store.
pub fn log_answer(
    table: Table,
    call: &str,
    reader: Option<SocketAddr>,
    elapsed: Duration,
    outcome: &Result<AnswerSummary>,
) {
    let table = format!("{table:?}");
    let reader = reader.map(|it| it.to_string());
    let reader = reader.as_deref();
    let asked_ms = elapsed.as_millis() as u64;
    match outcome {
        Ok(AnswerSummary { rows, position }) => log::info!(
            table = table.as_str(),
            call = call,
            reader = reader,
            asked_ms = asked_ms,
            rows = rows,
            revision = position.revision,
            era = position.era;
            "store answered"
        ),
        Err(error) => {
            let reason = error.to_string();
            log::info!(
                table = table.as_str(),
                call = call,
                reader = reader,
                asked_ms = asked_ms,
                reason = reason.as_str();
                "store not heard"
            );
        }
    }
}
