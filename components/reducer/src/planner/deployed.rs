//! Plans for models that are deployed, and helpers that describe deployments.

use std::collections::{BTreeMap, BTreeSet};

use errors::{Code, Error, Result};
use fleet::{Change, Deployment, InstanceId, ModelName, Placement, Source, Step, VersionId};

use super::draft::Draft;
use super::{Candidate, Fleet};

/// Restores the previous version on the instances that run the model.
pub(super) fn rollback(model: &ModelName, fleet: &Fleet<'_>) -> Result<Draft> {
    let old = find_deployment(model, fleet)?;
    let release = old.previous.clone();
    let release = release
        .ok_or_else(|| Error::new(Code::BadIntent, format!("{model} has no previous version")))?;
    let holding = holders(fleet, release.version);
    let mut deployment = old.clone();
    deployment.previous = Some(old.release.clone());
    deployment.release = release.clone();
    let steps = old.placements.iter().map(|(id, placement)| Step::Place {
        instance: id.clone(),
        hall: placement.hall.clone(),
        version: release.version,
        role: placement.role,
        source: if holding.contains(id) { Source::Held } else { Source::Origin },
        reason: "already runs the model".to_owned(),
    });
    let receivers = old.placements.keys().filter(|id| !holding.contains(*id)).count() as u32;
    Ok(Draft {
        steps: steps.collect(),
        overrides: vec![describe(old)],
        bytes: release.bytes,
        receivers,
        held_by_peers: !holding.is_empty(),
        change: Change::Deploy(deployment),
    })
}

/// Removes a model from all instances.
pub(super) fn remove(model: &ModelName, fleet: &Fleet<'_>) -> Result<Draft> {
    let old = find_deployment(model, fleet)?;
    let adapters = fleet.configuration.deployments.values();
    if let Some(adapter) = adapters.into_iter().find(|it| it.adapter_of.as_ref() == Some(model)) {
        let detail = format!("the adapter {} still needs {model}", adapter.model);
        return Err(Error::new(Code::BadIntent, detail));
    }
    Ok(Draft {
        change: Change::Remove(model.clone()),
        steps: withdrawals(Some(old), &BTreeMap::new()),
        overrides: vec![describe(old)],
        bytes: 0,
        receivers: 0,
        held_by_peers: true,
    })
}

/// The deployment of a model.
fn find_deployment<'a>(model: &ModelName, fleet: &Fleet<'a>) -> Result<&'a Deployment> {
    let found = fleet.configuration.deployments.get(model);
    found.ok_or_else(|| Error::new(Code::UnknownTarget, format!("{model} is not deployed")))
}

/// The instances whose engines serve a version.
pub(super) fn holders(fleet: &Fleet<'_>, version: VersionId) -> BTreeSet<InstanceId> {
    let holds = |it: &&Candidate| it.serving.iter().any(|(_, served)| *served == version);
    fleet.candidates.iter().filter(holds).map(|it| it.id.clone()).collect()
}

/// Withdraws the replicas that are not in `kept`.
pub(super) fn withdrawals(
    old: Option<&Deployment>,
    kept: &BTreeMap<InstanceId, Placement>,
) -> Vec<Step> {
    let Some(old) = old else {
        return Vec::new();
    };
    let withdrawn = old.placements.keys().filter(|id| !kept.contains_key(*id));
    withdrawn
        .map(|id| Step::Withdraw {
            instance: id.clone(),
            model: old.model.clone(),
            reason: "no longer among the replicas".to_owned(),
        })
        .collect()
}

/// Describes a deployment that a plan overrides.
pub(super) fn describe(old: &Deployment) -> String {
    format!(
        "{} {} ({}) on {} instances, in force since revision {}",
        old.model,
        old.release.label,
        old.release.version.short(),
        old.placements.len(),
        old.epoch
    )
}
