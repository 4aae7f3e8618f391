//! What operators declare.

use serde::{Deserialize, Serialize};

use crate::{Hall, InstanceId, ModelName, Role, VersionId};

/// One wish of an operator or of automation. A plan answers it; nothing changes before the plan
/// is confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Intent {
    /// A model or adapter runs in a version on a number of instances.
    Deploy {
        /// The name callers use.
        model: ModelName,
        /// The version to run.
        version: VersionId,
        /// How many replicas to run.
        replicas: u32,
        /// What the replicas do.
        role: Role,
        /// Where replicas may stand; empty means everywhere.
        halls: Vec<Hall>,
        /// The model that an adapter belongs to.
        adapter_of: Option<ModelName>,
        /// Spreads of a higher priority draw first.
        priority: u8,
    },
    /// A model goes back to the version it had before the last change.
    Rollback {
        /// The name callers use.
        model: ModelName,
    },
    /// A model stops being served.
    Remove {
        /// The name callers use.
        model: ModelName,
    },
    /// An upstream finishes what it has and takes no new work.
    Leave {
        /// The instance that leaves.
        instance: InstanceId,
    },
    /// An upstream that was told to leave takes work again.
    Return {
        /// The instance that returns.
        instance: InstanceId,
    },
}
