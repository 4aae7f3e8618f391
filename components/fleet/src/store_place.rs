//! A place in the history of the platform's store.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A place in the history of the platform's store: of two, the one of the higher era is later, and within an era the one of
/// the higher revision. A store that came back from an older copy gives revisions out again, in a higher era.
///
/// It is encoded as its revision alone: messages between processes have it so, and tell the era apart from it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePlace {
    /// How often the store has come back from a copy, by its own count. `None` where nobody told: from a store that has no
    /// eras, or a process that does not know of them. That is older than any.
    pub era: Option<u64>,
    /// Counts transactions.
    pub revision: u64,
}

impl From<u64> for StorePlace {
    /// A place of which no era is told.
    fn from(revision: u64) -> Self {
        Self { era: None, revision }
    }
}

impl StorePlace {
    /// Whether the store came back from a copy between an earlier place and this one.
    pub fn is_of_later_era(self, earlier: Self) -> bool {
        matches!((earlier.era, self.era), (Some(before), Some(now)) if now > before)
    }
}

impl Serialize for StorePlace {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.revision.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for StorePlace {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        u64::deserialize(deserializer).map(Self::from)
    }
}
