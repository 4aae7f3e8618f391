//! A version of weights that was named, as processes tell each other of it.

use serde::{Deserialize, Serialize};

use crate::id::ModelName;

/// A version of a model's weights that runners are to be moved to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersion {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
    /// How long ago it was named at least, in milliseconds. `None` where it lay in the store when it
    /// was first read, and nobody knows.
    pub age_ms: Option<u64>,
}
