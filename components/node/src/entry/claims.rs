//! Claims on idempotency keys in the table.

use std::sync::Arc;

use errors::{Code, Result};
use externals::{Expected, Row};
use fleet::{RequestId, WorkspaceId};
use reducer::{Claim, ClaimState, EntryEvent, SavedAnswer};

use super::Shared;

/// How often a claim is written or read before it is given up.
const CLAIM_TRIES: u32 = 3;
/// The largest answer that is kept, in bytes.
const SAVED_BYTES: usize = 64 * 1024;

/// Takes the claim and reports what became of it.
pub(super) async fn take(
    shared: Arc<Shared>,
    request: RequestId,
    workspace: WorkspaceId,
    key: String,
) {
    let row = Claim::row(&workspace, &key);
    let state = settle(&shared, &row, request).await;
    shared.inbox.send(EntryEvent::ClaimSettled { request, state }).await;
}

/// Gives a claim back after a refusal.
pub(super) async fn release(
    shared: Arc<Shared>,
    request: RequestId,
    workspace: WorkspaceId,
    key: String,
) {
    replace(&shared, request, &Claim::row(&workspace, &key), &Claim::Released).await;
}

/// Keeps the answer of a request for whoever repeats it.
pub(super) async fn save(
    shared: Arc<Shared>,
    request: RequestId,
    workspace: WorkspaceId,
    key: String,
    answer: SavedAnswer,
) {
    if answer.body.len() > SAVED_BYTES {
        return;
    }
    replace(&shared, request, &Claim::row(&workspace, &key), &Claim::Answered(answer)).await;
}

/// Writes the claim if the key is free. A lost answer is settled by looking again.
async fn settle(shared: &Shared, row: &str, request: RequestId) -> ClaimState {
    let table = &shared.surroundings.host.platform.table;
    let held = encode(&Claim::Held(request));
    let mut expected = Expected::Absent;
    for _ in 0..CLAIM_TRIES {
        let error = match table.write(row, &held, &expected).await {
            Ok(_) => return ClaimState::Held,
            Err(error) => error,
        };
        if error.code != Code::RowChanged {
            // Whether a lost write took effect shows at the next one: the row is then there.
            continue;
        }
        match table.read(row).await.map(|found| found.map(decode)) {
            Ok(Some(Ok((Claim::Held(holder), _)))) if holder == request => return ClaimState::Held,
            Ok(Some(Ok((Claim::Held(_), _)))) => return ClaimState::Taken,
            Ok(Some(Ok((Claim::Answered(answer), _)))) => {
                return ClaimState::Answered(Box::new(answer));
            }
            Ok(Some(Ok((Claim::Released, tag)))) => expected = Expected::Tag(tag),
            _ => {}
        }
    }
    ClaimState::Unavailable
}

/// Replaces a claim that this request holds. Best effort: if it does not succeed, the key stays
/// held, and whoever repeats it is told that it may have run.
async fn replace(shared: &Shared, request: RequestId, row: &str, claim: &Claim) {
    let table = &shared.surroundings.host.platform.table;
    for _ in 0..CLAIM_TRIES {
        let found = table.read(row).await.map(|found| found.map(decode));
        match found {
            Ok(Some(Ok((Claim::Held(holder), tag)))) if holder == request => {
                if table.write(row, &encode(claim), &Expected::Tag(tag)).await.is_ok() {
                    return;
                }
            }
            Ok(_) => return,
            Err(error) => log::debug!(request:display; "claim: {error}"),
        }
    }
}

fn encode(claim: &Claim) -> Vec<u8> {
    postcard::to_stdvec(claim).expect("a claim has no type that cannot be encoded")
}

fn decode(row: Row) -> Result<(Claim, String)> {
    let claim = postcard::from_bytes(&row.value)
        .map_err(|error| errors::Error::new(Code::Internal, error.to_string()))?;
    Ok((claim, row.tag))
}
