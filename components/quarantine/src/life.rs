//! One life of a runner, as crashes are counted by.

use fleet::InstanceId;
use serde::{Deserialize, Serialize};

/// One life of a runner, in short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LifeDigest(u32);

impl LifeDigest {
    /// The life of a runner that goes by this id, and says that it was born then.
    pub fn of(id: &InstanceId, born: Option<u64>) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&born.unwrap_or(0).to_le_bytes());
        hasher.update(id.0.as_bytes());
        let mut first = [0; 4];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
        Self(u32::from_le_bytes(first))
    }
}
