//! Identifies one incarnation of a runner. Crashes are counted by incarnation.

use fleet::InstanceId;
use serde::{Deserialize, Serialize};

/// A short digest of one incarnation of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IncarnationDigest(u32);

impl IncarnationDigest {
    /// Computes the digest from the id of a runner and the start time that it reports.
    pub fn of(id: &InstanceId, born: Option<u64>) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&born.unwrap_or(0).to_le_bytes());
        hasher.update(id.0.as_bytes());
        let mut first = [0; 4];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
        Self(u32::from_le_bytes(first))
    }
}
