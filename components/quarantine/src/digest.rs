//! What makes two requests the same, whatever ids their callers gave them.

use std::fmt;

use fleet::WorkspaceId;
use serde::{Deserialize, Serialize};

/// A digest of what a request is made of. A caller that tries again sends another id, mostly to another gateway; the
/// digest stays. The same in every process and build: gateways compare theirs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// The digest of a request: its method, its path with the query, whose it is, and its body.
    pub fn of(method: &str, path: &str, workspace: Option<&WorkspaceId>, body: &[u8]) -> Self {
        let workspace = workspace.map_or("", |it| it.0.as_str());
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), path.as_bytes(), workspace.as_bytes(), body] {
            // The length before each part: no two requests run together into the same bytes.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
