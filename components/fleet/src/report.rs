//! What daemons tell operators.

use serde::{Deserialize, Serialize};

use crate::{Hall, InstanceId, ModelName, Plan, Process, Revision};

/// One daemon as another one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The instance.
    pub instance: InstanceId,
    /// Its hall.
    pub hall: Hall,
    /// What runs there.
    pub process: Process,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
    /// The starts of the versions that its engine serves.
    pub serving: Vec<String>,
}

/// One deployment and how far it has come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeploymentStatus {
    /// The model.
    pub model: ModelName,
    /// The label of the version wanted.
    pub label: String,
    /// The version wanted, in hex.
    pub version: String,
    /// Replicas wanted.
    pub wanted: usize,
    /// Replicas that serve the version.
    pub live: usize,
}

/// What `silverdock status` shows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The instance that answers.
    pub instance: InstanceId,
    /// The revision in force there.
    pub revision: Revision,
    /// Whether it knows that this revision is not behind.
    pub current: bool,
    /// Every deployment.
    pub deployments: Vec<DeploymentStatus>,
    /// Instances that operators told to leave.
    pub leaving: Vec<InstanceId>,
    /// Every other daemon.
    pub members: Vec<MemberStatus>,
}

/// What `silverdock watch` shows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The model.
    pub model: ModelName,
    /// The label of the version wanted.
    pub label: String,
    /// Replicas wanted.
    pub wanted: usize,
    /// Replicas that serve the version.
    pub live: usize,
    /// The share of chunks that a sample of the other replicas holds, from 0 to 1.
    pub staged: f64,
}

/// The answer to a confirmation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanReply {
    /// The plan.
    Planned(Box<Plan>),
    /// The plan is in force as of this revision.
    Accepted(Revision),
}
