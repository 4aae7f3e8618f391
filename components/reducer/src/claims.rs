//! Claims on idempotency keys: a request under a key is only run by the one who holds the claim.

use errors::Code;
use fleet::{RequestId, WorkspaceId};
use serde::{Deserialize, Serialize};

/// The row that records who may run a request under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request that holds the claim.
    pub request: RequestId,
}

impl Claim {
    /// The name of the row for a key. Keys of different workspaces never meet.
    pub fn row(workspace: &WorkspaceId, key: &str) -> String {
        let digest = blake3::Hasher::new()
            .update(&(workspace.0.len() as u64).to_le_bytes())
            .update(workspace.0.as_bytes())
            .update(key.as_bytes())
            .finalize();
        format!("claims/{}", digest.to_hex())
    }
}

/// What became of an attempt to take a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The claim is ours.
    Held,
    /// Another request holds it.
    Taken,
    /// The table could not be asked, or its answer could not be settled.
    Unavailable,
}

impl ClaimState {
    /// The code for a request that does not hold its claim; it has not run.
    pub fn refusal(self) -> Option<Code> {
        match self {
            ClaimState::Held => None,
            ClaimState::Taken => Some(Code::AlreadyRun),
            ClaimState::Unavailable => Some(Code::ClaimUnavailable),
        }
    }
}
