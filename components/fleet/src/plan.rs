//! Plans: the replies to intents.

use serde::{Deserialize, Serialize};

use crate::{
    Change, Hall, InstanceId, Intent, Millis, ModelName, PlanId, Revision, Role, VersionId,
};

/// The source of the first copy of the weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The instance holds it already.
    Held,
    /// The origin. The fetch is shared among the receivers in the hall.
    Origin,
    /// Replicas that hold the weights or are receiving them.
    Peers,
}

/// One step of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum Step {
    /// Assigns a version and a role to an instance.
    Place {
        /// The instance.
        instance: InstanceId,
        /// Its hall.
        hall: Hall,
        /// The version to run.
        version: VersionId,
        /// The role in the deployment.
        role: Role,
        /// The source of its copy.
        source: Source,
        /// Why this instance was selected.
        reason: String,
    },
    /// Stops a model on an instance.
    Withdraw {
        /// The instance.
        instance: InstanceId,
        /// The model to stop.
        model: ModelName,
        /// Why the model is stopped.
        reason: String,
    },
    /// Drains an instance: it completes its requests and receives no new ones.
    Drain {
        /// The instance.
        instance: InstanceId,
    },
    /// Ends the draining of an instance.
    Resume {
        /// The instance.
        instance: InstanceId,
    },
}

/// The effects of confirming the plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The ID; the same intent on the same revision results in the same plan.
    pub id: PlanId,
    /// The revision the plan is based on. It can only be confirmed while this revision is current.
    pub base: Revision,
    /// The intent of the operator.
    pub intent: Intent,
    /// The change to the configuration.
    pub change: Change,
    /// The steps, in order.
    pub steps: Vec<Step>,
    /// Descriptions of what the change overrides.
    pub overrides: Vec<String>,
    /// Estimated time until every replica is live, in seconds.
    pub live_seconds: f64,
    /// The maximum number of bytes fetched from the origin if nothing fails.
    pub origin_bytes: u64,
    /// The time at which the plan expires, in milliseconds of the Unix epoch.
    pub expires: Millis,
}
