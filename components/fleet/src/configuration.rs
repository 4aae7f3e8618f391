//! The desired state of the fleet, in numbered revisions.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Hall, InstanceId, ModelName, PlanId, Revision, VersionId};

/// Number of recent changes kept in a configuration. They show whether a change was applied when the reply to
/// it was lost.
const MAX_RECENT_CHANGES: usize = 64;

/// The role of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Processes whole requests.
    #[default]
    Serve,
    /// Processes prompts and exports their KV cache.
    Prefill,
    /// Imports a KV cache and generates tokens.
    Decode,
}

/// The role of an instance in a deployment, and its location. The hall is stored here so that all receivers
/// of a distribution derive the same result from the configuration, independent of their view of the members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The role of the replica.
    pub role: Role,
    /// The instance's hall.
    pub hall: Hall,
}

/// A version with the data that planners need.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The digest of the manifest.
    pub version: VersionId,
    /// The label in the manifest.
    pub label: String,
    /// The size of the weights in bytes.
    pub bytes: u64,
}

/// A model or adapter and the instances that should run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deployment {
    /// The name in requests.
    pub model: ModelName,
    /// The release to run.
    pub release: Release,
    /// The release that ran before, for a rollback.
    pub previous: Option<Release>,
    /// The revision that made this assignment. Orders to engines carry it as a fencing token.
    pub epoch: Revision,
    /// The base model of an adapter.
    pub adapter_of: Option<ModelName>,
    /// Distributions with a higher priority fetch their chunks first.
    pub priority: u8,
    /// The instances that should run the model, and their roles.
    pub placements: BTreeMap<InstanceId, Placement>,
}

/// One accepted change to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds a deployment or replaces the one of the same name.
    Deploy(Deployment),
    /// Removes a deployment.
    Remove(ModelName),
    /// Marks an instance as leaving.
    Leave(InstanceId),
    /// Removes the mark from a leaving instance.
    Return(InstanceId),
}

/// Records which plan created which revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The plan that was confirmed.
    pub plan: PlanId,
    /// The revision that it created.
    pub revision: Revision,
}

/// The desired state of the fleet at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The revision of this configuration.
    pub revision: Revision,
    /// All deployments by model name.
    pub deployments: BTreeMap<ModelName, Deployment>,
    /// Instances marked as leaving by an operator.
    pub leaving: BTreeSet<InstanceId>,
    /// The most recent changes, oldest first.
    pub recent: Vec<ChangeRecord>,
}

impl Configuration {
    /// Returns the configuration that results from a plan's change.
    pub fn apply(&self, plan: &PlanId, change: &Change) -> Configuration {
        let mut next = self.clone();
        next.revision = Revision(self.revision.0 + 1);
        match change {
            Change::Deploy(deployment) => {
                let mut deployment = deployment.clone();
                deployment.epoch = next.revision;
                next.deployments.insert(deployment.model.clone(), deployment);
            }
            Change::Remove(model) => {
                next.deployments.remove(model);
            }
            Change::Leave(instance) => {
                next.leaving.insert(instance.clone());
            }
            Change::Return(instance) => {
                next.leaving.remove(instance);
            }
        }
        next.recent.push(ChangeRecord { plan: plan.clone(), revision: next.revision });
        let surplus = next.recent.len().saturating_sub(MAX_RECENT_CHANGES);
        next.recent.drain(..surplus);
        next
    }

    /// The revision that a plan created, if the change is among the recent ones.
    pub fn revision_of(&self, plan: &PlanId) -> Option<Revision> {
        self.recent.iter().find(|record| &record.plan == plan).map(|record| record.revision)
    }

    /// The deployments that an instance should run.
    pub fn wanted_on<'a>(
        &'a self,
        instance: &'a InstanceId,
    ) -> impl Iterator<Item = &'a Deployment> + 'a {
        self.deployments.values().filter(|it| it.placements.contains_key(instance))
    }
}

#[cfg(test)]
mod tests;
