//! Claims on idempotency keys. A request with a key is run only by the holder of the claim, and its answer is
//! kept for repeated requests.

use errors::Code;
use fleet::{RequestId, WorkspaceId};
use serde::{Deserialize, Serialize};

/// The stored answer of a completed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: String,
    /// The whole body.
    pub body: Vec<u8>,
}

/// The table row that records which request may run under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// This request holds the claim; it may be running or have run.
    Held(RequestId),
    /// The request that held the claim has certainly not run, so the next one may claim the key.
    Released,
    /// The request ran; this is its answer.
    Answered(SavedAnswer),
}

impl Claim {
    /// The name of the row for a key. The rows of different workspaces are distinct.
    pub fn row(workspace: &WorkspaceId, key: &str) -> String {
        let digest = blake3::Hasher::new()
            .update(&(workspace.0.len() as u64).to_le_bytes())
            .update(workspace.0.as_bytes())
            .update(key.as_bytes())
            .finalize();
        format!("claims/{}", digest.to_hex())
    }
}

/// The outcome of an attempt to claim a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// This request holds the claim.
    Held,
    /// Another request holds it.
    Taken,
    /// Another request ran under the key; this is its answer.
    Answered(Box<SavedAnswer>),
    /// The table could not be asked, or the outcome of the write could not be determined.
    Unavailable,
}

impl ClaimState {
    /// The code for a request that gets neither the claim nor a stored answer.
    pub fn refusal(&self) -> Option<Code> {
        match self {
            ClaimState::Held | ClaimState::Answered(_) => None,
            ClaimState::Taken => Some(Code::InProgress),
            ClaimState::Unavailable => Some(Code::ClaimUnavailable),
        }
    }
}
