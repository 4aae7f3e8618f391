//! Replies to operators.

use serde::{Deserialize, Serialize};

use crate::{Hall, InstanceId, ModelName, Plan, Process, Revision};

/// The state of a daemon as seen by another one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The instance.
    pub instance: InstanceId,
    /// Its hall.
    pub hall: Hall,
    /// The silverdock process on the instance.
    pub process: Process,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
    /// Prefixes of the version IDs that its engine serves.
    pub serving: Vec<String>,
}

/// A deployment and the progress of its rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeploymentStatus {
    /// The model.
    pub model: ModelName,
    /// The label of the desired version.
    pub label: String,
    /// The ID of the desired version, in hex.
    pub version: String,
    /// The desired number of replicas.
    pub wanted: usize,
    /// The number of replicas that serve the version.
    pub live: usize,
}

/// The output of `silverdock status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The instance that replies.
    pub instance: InstanceId,
    /// The revision in effect on that instance.
    pub revision: Revision,
    /// Whether the instance knows that this revision is current.
    pub current: bool,
    /// Every deployment.
    pub deployments: Vec<DeploymentStatus>,
    /// Instances marked as leaving by an operator.
    pub leaving: Vec<InstanceId>,
    /// All other daemons.
    pub members: Vec<MemberStatus>,
}

/// The output of `silverdock watch`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The model.
    pub model: ModelName,
    /// The label of the desired version.
    pub label: String,
    /// The desired number of replicas.
    pub wanted: usize,
    /// The number of replicas that serve the version.
    pub live: usize,
    /// The fraction of chunks held by a sample of the other replicas, from 0 to 1.
    pub staged: f64,
}

/// The reply of a daemon to an intent or a confirmation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanReply {
    /// The plan for an intent.
    Planned(Box<Plan>),
    /// The plan was accepted and is in effect as of this revision.
    Accepted(Revision),
}
