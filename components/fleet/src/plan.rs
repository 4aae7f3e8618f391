//! The reply to an intent.

use serde::{Deserialize, Serialize};

use crate::{
    Change, Hall, InstanceId, Intent, Millis, ModelName, PlanId, Revision, Role, VersionId,
};

/// Where the first copy of the weights comes from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// It is there already.
    Held,
    /// From the origin, shared among the receivers of the hall.
    Origin,
    /// From replicas that hold it or are getting it.
    Peers,
}

/// One step of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum Step {
    /// An instance gets a version and a role.
    Place {
        /// The instance.
        instance: InstanceId,
        /// Its hall.
        hall: Hall,
        /// What it will run.
        version: VersionId,
        /// What it will do.
        role: Role,
        /// Where its copy comes from.
        source: Source,
        /// Why this instance was chosen.
        reason: String,
    },
    /// An instance stops running a model.
    Withdraw {
        /// The instance.
        instance: InstanceId,
        /// The model it stops running.
        model: ModelName,
        /// Why.
        reason: String,
    },
    /// An instance finishes its requests and takes no new ones.
    Drain {
        /// The instance.
        instance: InstanceId,
    },
    /// An instance takes requests again.
    Resume {
        /// The instance.
        instance: InstanceId,
    },
}

/// What will happen if the operator confirms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The identity; the same intent on the same revision gives the same plan.
    pub id: PlanId,
    /// The revision it is based on; it can only be confirmed on this one.
    pub base: Revision,
    /// What the operator asked for.
    pub intent: Intent,
    /// What will be written.
    pub change: Change,
    /// What will happen, in order.
    pub steps: Vec<Step>,
    /// What the change overrides, in words.
    pub overrides: Vec<String>,
    /// Estimated time until every replica is live, in seconds.
    pub live_seconds: f64,
    /// The most bytes that may be drawn from the origin while nothing fails.
    pub origin_bytes: u64,
    /// When it can no longer be confirmed, in milliseconds of the Unix epoch.
    pub expires: Millis,
}
