//! The lives of a runner: it may start again under the name that it had, and then holds and knows nothing of before.

use serde::{Deserialize, Serialize};

/// What a word about a runner tells of the life that it is from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LifeWord {
    /// When that life began, in milliseconds of Unix time by the runner's own clock. `None` from a runner that does
    /// not tell it.
    pub born: Option<u64>,
    /// Orders that the runner has taken since then.
    pub sequence: u64,
}

/// How a word stands to the one that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeChange {
    /// It is of the same life.
    Same,
    /// It is of a later one: what was known of the runner is past.
    Began,
    /// It is of an earlier one and says nothing of the runner as it is.
    Earlier,
    /// The runner has told when it began before, and this word does not: nobody knows what it is of.
    Untold,
}

impl LifeWord {
    /// How a newer word of the same source stands to this one. Where no birth is told a life ends where the orders
    /// taken become fewer.
    pub fn compare(self, newer: LifeWord) -> LifeChange {
        match (self.born, newer.born) {
            (Some(known), Some(told)) if told > known => LifeChange::Began,
            (Some(known), Some(told)) if told < known => LifeChange::Earlier,
            (Some(_), Some(_)) => LifeChange::Same,
            (Some(_), None) => LifeChange::Untold,
            // Every life tells it or none: this one is another.
            (None, Some(_)) => LifeChange::Began,
            (None, None) if newer.sequence < self.sequence => LifeChange::Began,
            (None, None) => LifeChange::Same,
        }
    }
}
