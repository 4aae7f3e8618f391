//! The state that operators want, in numbered revisions.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Hall, InstanceId, ModelName, PlanId, Revision, VersionId};

/// How many past changes a configuration remembers, so that a lost answer can be settled.
const RECENT_CHANGES: usize = 64;

/// What a replica of a model does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Answers requests whole.
    #[default]
    Serve,
    /// Computes prompts and exports their KV cache.
    Prefill,
    /// Imports KV cache and generates tokens.
    Decode,
}

/// What an instance does in a deployment, and where it stands. The hall is kept here so that every
/// receiver of a spread derives the same from the configuration, whatever it has heard of others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// What the replica does.
    pub role: Role,
    /// The instance's hall.
    pub hall: Hall,
}

/// A version together with what planners need to know of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The digest of the manifest.
    pub version: VersionId,
    /// The label in the manifest.
    pub label: String,
    /// The length of the weights in bytes.
    pub bytes: u64,
}

/// A model or adapter and the instances that should run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deployment {
    /// The name callers use.
    pub model: ModelName,
    /// What should run.
    pub release: Release,
    /// What ran before, for a rollback.
    pub previous: Option<Release>,
    /// The revision that made this assignment; orders to engines carry it as their fence.
    pub epoch: Revision,
    /// The model that an adapter belongs to.
    pub adapter_of: Option<ModelName>,
    /// Spreads of a higher priority draw first.
    pub priority: u8,
    /// Which instances should run it and as what.
    pub placements: BTreeMap<InstanceId, Placement>,
}

/// One accepted change to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds a deployment or replaces the one of the same name.
    Deploy(Deployment),
    /// Takes a deployment away.
    Remove(ModelName),
    /// Marks an instance as leaving.
    Leave(InstanceId),
    /// Takes the mark away.
    Return(InstanceId),
}

/// Which plan made which revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The plan that was confirmed.
    pub plan: PlanId,
    /// The revision it made.
    pub revision: Revision,
}

/// The wanted state of the fleet at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// The number of this configuration.
    pub revision: Revision,
    /// Every deployment by name.
    pub deployments: BTreeMap<ModelName, Deployment>,
    /// Instances that operators told to leave.
    pub leaving: BTreeSet<InstanceId>,
    /// The latest changes, oldest first.
    pub recent: Vec<ChangeRecord>,
}

impl Configuration {
    /// The configuration that follows when a plan's change is accepted.
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
        let surplus = next.recent.len().saturating_sub(RECENT_CHANGES);
        next.recent.drain(..surplus);
        next
    }

    /// The revision that a plan made, if it was accepted lately.
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
