//! Evacuations of data halls: nothing new is sent to the runners there until the hall is taken back.

use serde::{Deserialize, Serialize};

use crate::id::Hall;

/// A data hall that is evacuated, as processes tell each other of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The hall.
    pub hall: Hall,
    /// How long ago that was acknowledged, in milliseconds. `None` where nobody knows.
    pub age_ms: Option<u64>,
}

/// Every hall that is evacuated, as one process knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationList {
    /// The version of the store that the list is of. A list of a lower one is old.
    pub revision: u64,
    /// The halls.
    pub evacuated: Vec<Evacuation>,
}
