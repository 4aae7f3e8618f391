//! Intents: the changes that operators request.

use serde::{Deserialize, Serialize};

use crate::{Hall, InstanceId, ModelName, Role, VersionId};

/// A change requested by an operator or by automation. The reply is a plan; nothing changes before the plan
/// is confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Intent {
    /// Runs a version of a model or adapter on a number of instances.
    Deploy {
        /// The name in requests.
        model: ModelName,
        /// The version to run.
        version: VersionId,
        /// The number of replicas.
        replicas: u32,
        /// The role of the replicas.
        role: Role,
        /// The halls in which replicas may run; empty allows all.
        halls: Vec<Hall>,
        /// The base model of an adapter.
        adapter_of: Option<ModelName>,
        /// Distributions with a higher priority fetch their chunks first.
        priority: u8,
    },
    /// Reverts a model to the version before the last change.
    Rollback {
        /// The name in requests.
        model: ModelName,
    },
    /// Stops serving a model.
    Remove {
        /// The name in requests.
        model: ModelName,
    },
    /// Drains an upstream: it completes its requests and receives no new ones.
    Leave {
        /// The instance to drain.
        instance: InstanceId,
    },
    /// Ends the draining of an upstream: it receives requests again.
    Return {
        /// The instance that receives requests again.
        instance: InstanceId,
    },
}
