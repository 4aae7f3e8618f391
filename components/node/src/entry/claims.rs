//! Reads and writes the claims on idempotency keys in the table.

use std::sync::Arc;

use errors::{Code, Result};
use externals::{Precondition, Row};
use fleet::{RequestId, WorkspaceId};
use reducer::{Claim, ClaimState, EntryEvent, SavedAnswer};

use super::Shared;

/// The largest number of attempts to write or read a claim.
const MAX_CLAIM_ATTEMPTS: u32 = 3;
/// The largest body of an answer that is saved under its idempotency key, in bytes.
const MAX_SAVED_ANSWER_BYTES: usize = 64 * 1024;

/// Acquires the claim and reports the result to the reducer.
pub(super) async fn acquire(
    shared: Arc<Shared>,
    request: RequestId,
    workspace: WorkspaceId,
    key: String,
) {
    let row = Claim::row(&workspace, &key);
    let state = acquire_row(&shared, &row, request).await;
    shared.inbox.send(EntryEvent::ClaimSettled { request, state }).await;
}

/// Releases a claim after its request was refused.
pub(super) async fn release(
    shared: Arc<Shared>,
    request: RequestId,
    workspace: WorkspaceId,
    key: String,
) {
    replace_held(&shared, request, &Claim::row(&workspace, &key), &Claim::Released).await;
}

/// Saves the answer of a request for later requests with the same key.
pub(super) async fn save(
    shared: Arc<Shared>,
    request: RequestId,
    workspace: WorkspaceId,
    key: String,
    answer: SavedAnswer,
) {
    if answer.body.len() > MAX_SAVED_ANSWER_BYTES {
        return;
    }
    replace_held(&shared, request, &Claim::row(&workspace, &key), &Claim::Answered(answer)).await;
}

/// Writes the claim if the key is free. If the response to a write is lost, the next attempt finds out whether the
/// write took effect.
async fn acquire_row(shared: &Shared, row: &str, request: RequestId) -> ClaimState {
    let table = &shared.context.services.platform.table;
    let encoded_claim = encode(&Claim::Held(request));
    let mut expected = Precondition::Absent;
    for _ in 0..MAX_CLAIM_ATTEMPTS {
        let error = match table.write(row, &encoded_claim, &expected).await {
            Ok(_) => return ClaimState::Held,
            Err(error) => error,
        };
        if error.code != Code::RowChanged {
            // If the write took effect although it failed, the next one fails with `RowChanged` and the row is read.
            continue;
        }
        match table.read(row).await.map(|found| found.map(decode)) {
            Ok(Some(Ok((Claim::Held(holder), _)))) if holder == request => return ClaimState::Held,
            Ok(Some(Ok((Claim::Held(_), _)))) => return ClaimState::Taken,
            Ok(Some(Ok((Claim::Answered(answer), _)))) => {
                return ClaimState::Answered(Box::new(answer));
            }
            Ok(Some(Ok((Claim::Released, tag)))) => expected = Precondition::Tag(tag),
            _ => {}
        }
    }
    ClaimState::Unavailable
}

/// Replaces a claim that this request holds. Best effort: if it fails, the claim stays held, and a later request with
/// the same key is refused because the first one may have run.
async fn replace_held(shared: &Shared, request: RequestId, row: &str, claim: &Claim) {
    let table = &shared.context.services.platform.table;
    for _ in 0..MAX_CLAIM_ATTEMPTS {
        let found = table.read(row).await.map(|found| found.map(decode));
        match found {
            Ok(Some(Ok((Claim::Held(holder), tag)))) if holder == request => {
                if table.write(row, &encode(claim), &Precondition::Tag(tag)).await.is_ok() {
                    return;
                }
            }
            Ok(_) => return,
            Err(error) => log::debug!(request:display; "cannot read the claim: {error}"),
        }
    }
}

fn encode(claim: &Claim) -> Vec<u8> {
    postcard::to_stdvec(claim).expect("every type in a claim can be encoded")
}

fn decode(row: Row) -> Result<(Claim, String)> {
    let claim = postcard::from_bytes(&row.value)
        .map_err(|error| errors::Error::new(Code::Internal, error.to_string()))?;
    Ok((claim, row.tag))
}
