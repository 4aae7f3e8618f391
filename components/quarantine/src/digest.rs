//! Identifies requests by their content, independently of the ids that callers give them.

use std::fmt;

use fleet::WorkspaceId;
use serde::{Deserialize, Serialize};

/// A digest of the content of a request. A caller that retries sends a new id, usually to another gateway,
/// but the digest stays the same. It is the same in every process and build, because gateways compare their
/// digests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SubjectDigest(pub u64);

impl SubjectDigest {
    /// Computes the digest from the method, the path with its query, the workspace and the body.
    pub fn of(method: &str, path: &str, workspace: Option<&WorkspaceId>, body: &[u8]) -> Self {
        let workspace = workspace.map_or("", |it| it.0.as_str());
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), path.as_bytes(), workspace.as_bytes(), body] {
            // Each part is prefixed with its length, so that different requests cannot produce the same
            // bytes.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

impl fmt::Display for SubjectDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
