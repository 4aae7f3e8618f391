//! Takes the claim on an idempotency key in the table.

use std::sync::Arc;

use errors::Code;
use fleet::{RequestId, WorkspaceId};
use platform::Expected;
use reducer::{Claim, ClaimState, EntryEvent};

use super::Shared;

/// How often a claim is written or read before it is given up.
const CLAIM_TRIES: u32 = 3;

/// Writes the claim and reports what became of it. A lost answer is settled by reading back.
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

async fn settle(shared: &Shared, row: &str, request: RequestId) -> ClaimState {
    let table = &shared.surroundings.host.platform.table;
    let claim = serde_json::to_vec(&Claim { request }).expect("a claim can be encoded");
    for _ in 0..CLAIM_TRIES {
        match table.write(row, &claim, &Expected::Absent).await {
            Ok(_) => return ClaimState::Held,
            Err(error) if error.code == Code::RowChanged => {
                return read(shared, row, request).await
            }
            // Whether a lost write took effect shows at the next one: the row is then there.
            Err(_) => {}
        }
    }
    ClaimState::Unavailable
}

async fn read(shared: &Shared, row: &str, request: RequestId) -> ClaimState {
    let table = &shared.surroundings.host.platform.table;
    let Ok(Some(found)) = table.read(row).await else {
        return ClaimState::Unavailable;
    };
    match serde_json::from_slice::<Claim>(&found.value) {
        Ok(claim) if claim.request == request => ClaimState::Held,
        _ => ClaimState::Taken,
    }
}
