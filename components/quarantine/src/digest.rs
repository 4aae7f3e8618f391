//! Identifies what crashes are attributed to, independently of the ids that callers give their requests.

use std::fmt;

use fleet::WorkspaceId;
use serde::{Deserialize, Serialize};

/// The upper bits of the digests of prompt parts. A digest of a request has them by chance once in 65,536.
const PART_TAG: u64 = 0xffff << 48;

/// A digest of a whole request or of one part of a prompt. It is the same in every process and build, because
/// gateways compare their digests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SubjectDigest(pub u64);

impl SubjectDigest {
    /// Computes the digest of a request from the method, the path with its query, the workspace and the body. A
    /// caller that retries sends a new id, usually to another gateway, but the digest stays the same.
    pub fn of_request(
        method: &str,
        path: &str,
        workspace: Option<&WorkspaceId>,
        body: &[u8],
    ) -> Self {
        let workspace = workspace.map_or("", |it| it.0.as_str());
        Self::of([method.as_bytes(), path.as_bytes(), workspace.as_bytes(), body])
    }

    /// Computes the digest of a part of a prompt from its id. Requests of any workspace and path share it.
    pub fn of_part(id: &str) -> Self {
        Self(Self::of([id.as_bytes()]).0 | PART_TAG)
    }

    /// Whether this is the digest of a part of a prompt.
    pub fn is_part(self) -> bool {
        self.0 & PART_TAG == PART_TAG
    }

    fn of<const N: usize>(parts: [&[u8]; N]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
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
