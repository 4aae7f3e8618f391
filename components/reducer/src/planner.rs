//! From an intent to a plan.

mod deploy;
mod deployed;
mod draft;
mod estimate;
mod leave;

use std::collections::BTreeMap;

use errors::{Code, Error, Result};
use fleet::{
    Configuration, InstanceId, Intent, Millis, ModelName, Place, Plan, Release, VersionId,
};

use self::deploy::{deploy, Wish};
use self::deployed::{remove, rollback};
use self::draft::finish;
pub use self::estimate::Estimate;
use self::leave::{give_back, leave};

/// An instance with a model engine, as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The instance.
    pub id: InstanceId,
    /// Where it stands.
    pub place: Place,
    /// Whether its agent answers.
    pub up: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Memory for weights, in bytes.
    pub memory_bytes: u64,
    /// Versions its engine serves.
    pub serving: Vec<(ModelName, VersionId)>,
}

/// What the planner knows of the fleet.
pub struct Fleet<'a> {
    /// The configuration the plan is based on.
    pub configuration: &'a Configuration,
    /// Every instance with a model engine.
    pub candidates: &'a [Candidate],
    /// Link rates.
    pub estimate: Estimate,
    /// Plain services by instance; one that leaves must not be the last of its service.
    pub services: &'a BTreeMap<InstanceId, usize>,
}

/// Answers an intent with a plan, or says why there is none. `release` describes the version of a
/// `Deploy`.
pub fn plan(
    now: Millis,
    intent: &Intent,
    release: Option<Release>,
    fleet: &Fleet<'_>,
) -> Result<Plan> {
    let draft = match intent {
        Intent::Deploy { model, replicas, role, halls, adapter_of, priority, .. } => {
            let release = release.ok_or_else(|| unknown_version(model))?;
            let wish = Wish {
                model: model.clone(),
                release,
                replicas: *replicas,
                role: *role,
                halls: halls.iter().cloned().collect(),
                adapter_of: adapter_of.clone(),
                priority: *priority,
            };
            deploy(&wish, fleet)?
        }
        Intent::Rollback { model } => rollback(model, fleet)?,
        Intent::Remove { model } => remove(model, fleet)?,
        Intent::Leave { instance } => leave(instance, fleet)?,
        Intent::Return { instance } => give_back(instance, fleet)?,
    };
    Ok(finish(now, intent, draft, fleet))
}

fn unknown_version(model: &ModelName) -> Error {
    Error::new(Code::UnknownVersion, format!("no manifest of the version wanted for {model}"))
}

#[cfg(test)]
mod tests;
