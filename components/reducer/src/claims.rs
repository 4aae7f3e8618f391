//! Claims on idempotency keys: a request under a key is only run by the one who holds the claim, and
//! its answer is kept for whoever repeats it.

use errors::Code;
use fleet::{RequestId, WorkspaceId};
use serde::{Deserialize, Serialize};

/// The answer of a finished request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The type of the body.
    pub content_type: String,
    /// The whole body.
    pub body: Vec<u8>,
}

/// The row that records who may run a request under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// This request holds the claim; it may be running or may have run.
    Held(RequestId),
    /// The request that held it was certainly not run, so the next one may take it.
    Released,
    /// The request ran and was answered.
    Answered(SavedAnswer),
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
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The claim is ours.
    Held,
    /// Another request holds it.
    Taken,
    /// Another request ran under the key; this was its answer.
    Answered(Box<SavedAnswer>),
    /// The table could not be asked, or its answer could not be settled.
    Unavailable,
}

impl ClaimState {
    /// The code for a request that neither holds its claim nor finds an answer.
    pub fn refusal(&self) -> Option<Code> {
        match self {
            ClaimState::Held | ClaimState::Answered(_) => None,
            ClaimState::Taken => Some(Code::InProgress),
            ClaimState::Unavailable => Some(Code::ClaimUnavailable),
        }
    }
}
