//! Creates a plan from an intent.

mod deploy;
mod deployed;
mod draft;
mod estimate;
mod leave;

use std::collections::BTreeMap;

use errors::{Code, Error, Result};
use fleet::{
    Configuration, InstanceId, Intent, Location, Millis, ModelName, Plan, Release, VersionId,
};

use self::deploy::{deploy, DeployRequest};
use self::deployed::{remove, rollback};
use self::draft::finish;
pub use self::estimate::Estimate;
use self::leave::{leave, return_to_service};

/// An instance with a model engine that the planner can place replicas on.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The instance.
    pub id: InstanceId,
    /// The region and hall of the instance.
    pub place: Location,
    /// Whether its agent responds.
    pub up: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Memory for weights, in bytes.
    pub memory_bytes: u64,
    /// Versions its engine serves.
    pub serving: Vec<(ModelName, VersionId)>,
}

/// The state of the fleet that a plan is based on.
pub struct Fleet<'a> {
    /// The configuration that the plan is based on.
    pub configuration: &'a Configuration,
    /// All instances with a model engine.
    pub candidates: &'a [Candidate],
    /// Link rates for the estimates.
    pub estimate: Estimate,
    /// The instances of plain services, each with the number of other available instances of its service. The
    /// last instance of a service must not leave.
    pub services: &'a BTreeMap<InstanceId, usize>,
}

/// Creates a plan for an intent, or returns the reason why it cannot be carried out. `release` describes the
/// version of a `Deploy` intent.
pub fn plan(
    now: Millis,
    intent: &Intent,
    release: Option<Release>,
    fleet: &Fleet<'_>,
) -> Result<Plan> {
    let draft = match intent {
        Intent::Deploy { model, replicas, role, halls, adapter_of, priority, .. } => {
            let release = release.ok_or_else(|| unknown_version(model))?;
            let request = DeployRequest {
                model: model.clone(),
                release,
                replicas: *replicas,
                role: *role,
                halls: halls.iter().cloned().collect(),
                adapter_of: adapter_of.clone(),
                priority: *priority,
            };
            deploy(&request, fleet)?
        }
        Intent::Rollback { model } => rollback(model, fleet)?,
        Intent::Remove { model } => remove(model, fleet)?,
        Intent::Leave { instance } => leave(instance, fleet)?,
        Intent::Return { instance } => return_to_service(instance, fleet)?,
    };
    Ok(finish(now, intent, draft, fleet))
}

fn unknown_version(model: &ModelName) -> Error {
    Error::new(Code::UnknownVersion, format!("no manifest of the version requested for {model}"))
}

#[cfg(test)]
mod tests;
