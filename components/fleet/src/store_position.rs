//! Positions in the history of the platform's store.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A position in the history of the platform's store. Positions are ordered by era, then by revision. A store
/// that was restored from an older copy assigns revisions again, in a higher era.
///
/// It is serialized as the revision alone. Messages between processes rely on this and carry the era
/// separately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition {
    /// How often the store was restored from a copy, by its own count. `None` if not reported: by a store
    /// without eras, or by a process that does not know them. `None` is older than any era.
    pub era: Option<u64>,
    /// The number of transactions.
    pub revision: u64,
}

impl From<u64> for StorePosition {
    /// A position without an era.
    fn from(revision: u64) -> Self {
        Self { era: None, revision }
    }
}

impl StorePosition {
    /// Returns whether the store was restored from a copy between `earlier` and this position.
    pub fn is_of_later_era(self, earlier: Self) -> bool {
        matches!((earlier.era, self.era), (Some(before), Some(now)) if now > before)
    }
}

impl Serialize for StorePosition {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.revision.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for StorePosition {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        u64::deserialize(deserializer).map(Self::from)
    }
}
