//! Plans that place a version on instances.

use std::collections::{BTreeMap, BTreeSet};

use errors::{Code, Error, Result};
use fleet::{
    Change, Configuration, Deployment, Hall, InstanceId, ModelName, Placement, Release, Role,
    Source, Step,
};

use super::deployed::{describe, holders, withdrawals};
use super::draft::Draft;
use super::{Candidate, Fleet};

/// A `Deploy` intent with its release.
pub(super) struct DeployRequest {
    pub(super) model: ModelName,
    pub(super) release: Release,
    pub(super) replicas: u32,
    pub(super) role: Role,
    pub(super) halls: BTreeSet<Hall>,
    pub(super) adapter_of: Option<ModelName>,
    pub(super) priority: u8,
}

/// Places a release on the requested number of instances.
pub(super) fn deploy(request: &DeployRequest, fleet: &Fleet<'_>) -> Result<Draft> {
    if request.replicas == 0 {
        return Err(Error::new(
            Code::BadIntent,
            "replicas must be at least 1; use remove to stop the model",
        ));
    }
    if let Some(base) = &request.adapter_of {
        if !fleet.configuration.deployments.contains_key(base) {
            return Err(Error::new(
                Code::BadIntent,
                format!("the base model {base} of the adapter is not deployed"),
            ));
        }
    }
    let old = fleet.configuration.deployments.get(&request.model);
    let chosen = choose(request, old, fleet)?;
    let holding = holders(fleet, request.release.version);
    let source = if holding.is_empty() { Source::Origin } else { Source::Peers };
    let mut steps: Vec<Step> = Vec::new();
    let mut receivers = 0;
    for (candidate, reason) in &chosen {
        let is_held = holding.contains(&candidate.id);
        receivers += u32::from(!is_held);
        steps.push(Step::Place {
            instance: candidate.id.clone(),
            hall: candidate.place.hall.clone(),
            version: request.release.version,
            role: request.role,
            source: if is_held { Source::Held } else { source.clone() },
            reason: reason.clone(),
        });
    }
    let placements: BTreeMap<InstanceId, Placement> = chosen
        .iter()
        .map(|(it, _)| {
            let hall = it.place.hall.clone();
            (it.id.clone(), Placement { role: request.role, hall })
        })
        .collect();
    steps.extend(withdrawals(old, &placements));
    let deployment = Deployment {
        model: request.model.clone(),
        release: request.release.clone(),
        previous: previous(old, &request.release),
        epoch: fleet.configuration.revision,
        adapter_of: request.adapter_of.clone(),
        priority: request.priority,
        placements,
    };
    Ok(Draft {
        change: Change::Deploy(deployment),
        steps,
        overrides: old.map(describe).into_iter().collect(),
        bytes: request.release.bytes,
        receivers,
        held_by_peers: !holding.is_empty(),
    })
}

/// Selects the instances and gives a reason for each. Instances that already run the model come first, which
/// minimises the moves, then those in the hall with the fewest replicas, then those with the fewest bytes of
/// weights placed on them.
fn choose<'a>(
    request: &DeployRequest,
    old: Option<&Deployment>,
    fleet: &Fleet<'a>,
) -> Result<Vec<(&'a Candidate, String)>> {
    let mut eligible: Vec<&Candidate> =
        fleet.candidates.iter().filter(|it| is_eligible(it, request, fleet)).collect();
    let wanted = request.replicas as usize;
    if eligible.len() < wanted {
        let detail = format!("{} instances are eligible, {wanted} are required", eligible.len());
        return Err(Error::new(Code::NotEnoughInstances, detail));
    }
    let runs = |it: &Candidate| old.is_some_and(|old| old.placements.contains_key(&it.id));
    let mut per_hall: BTreeMap<Hall, u32> = BTreeMap::new();
    let mut chosen = Vec::new();
    while chosen.len() < wanted {
        let rank = |it: &&Candidate| {
            let in_hall = per_hall.get(&it.place.hall).copied().unwrap_or(0);
            (!runs(it), in_hall, used_bytes(it, fleet.configuration), it.id.clone())
        };
        let Some(index) = (0..eligible.len()).min_by_key(|index| rank(&eligible[*index])) else {
            break;
        };
        let candidate = eligible.swap_remove(index);
        let hall = candidate.place.hall.clone();
        let reason = if runs(candidate) {
            "already runs the model".to_owned()
        } else {
            format!("hall {hall} has the fewest replicas, and the instance has enough free memory")
        };
        *per_hall.entry(hall).or_default() += 1;
        chosen.push((candidate, reason));
    }
    chosen.sort_by(|a, b| a.0.id.cmp(&b.0.id));
    Ok(chosen)
}

fn is_eligible(candidate: &Candidate, request: &DeployRequest, fleet: &Fleet<'_>) -> bool {
    let in_halls = request.halls.is_empty() || request.halls.contains(&candidate.place.hall);
    let used = used_bytes(candidate, fleet.configuration);
    let fits = used + request.release.bytes <= candidate.memory_bytes;
    let runs_base = request.adapter_of.as_ref().is_none_or(|base| {
        let deployment = fleet.configuration.deployments.get(base);
        deployment.is_some_and(|it| it.placements.contains_key(&candidate.id))
    });
    candidate.up && !candidate.leaving && in_halls && fits && runs_base
}

/// Bytes of weights that the configuration places on an instance. The old version stays loaded until the new
/// one is live, so both count during a switch.
fn used_bytes(candidate: &Candidate, configuration: &Configuration) -> u64 {
    configuration.wanted_on(&candidate.id).map(|it| it.release.bytes).sum()
}

/// The release that a rollback restores.
fn previous(old: Option<&Deployment>, release: &Release) -> Option<Release> {
    let old = old?;
    if old.release.version == release.version {
        old.previous.clone()
    } else {
        Some(old.release.clone())
    }
}
