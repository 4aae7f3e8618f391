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

/// A `Deploy` intent together with its release.
pub(super) struct Wish {
    pub(super) model: ModelName,
    pub(super) release: Release,
    pub(super) replicas: u32,
    pub(super) role: Role,
    pub(super) halls: BTreeSet<Hall>,
    pub(super) adapter_of: Option<ModelName>,
    pub(super) priority: u8,
}

/// Places a release on as many instances as are wished for.
pub(super) fn deploy(wish: &Wish, fleet: &Fleet<'_>) -> Result<Draft> {
    if wish.replicas == 0 {
        return Err(Error::new(Code::BadIntent, "at least one replica; to stop, use remove"));
    }
    if let Some(base) = &wish.adapter_of {
        if !fleet.configuration.deployments.contains_key(base) {
            return Err(Error::new(Code::BadIntent, format!("no model {base} for the adapter")));
        }
    }
    let old = fleet.configuration.deployments.get(&wish.model);
    let chosen = choose(wish, old, fleet)?;
    let held = holders(fleet, wish.release.version);
    let source = if held.is_empty() { Source::Origin } else { Source::Peers };
    let mut steps: Vec<Step> = Vec::new();
    let mut receivers = 0;
    for (candidate, reason) in &chosen {
        let here = held.contains(&candidate.id);
        receivers += u32::from(!here);
        steps.push(Step::Place {
            instance: candidate.id.clone(),
            hall: candidate.place.hall.clone(),
            version: wish.release.version,
            role: wish.role,
            source: if here { Source::Held } else { source.clone() },
            reason: reason.clone(),
        });
    }
    let placements: BTreeMap<InstanceId, Placement> = chosen
        .iter()
        .map(|(it, _)| {
            let hall = it.place.hall.clone();
            (it.id.clone(), Placement { role: wish.role, hall })
        })
        .collect();
    steps.extend(withdrawals(old, &placements));
    let deployment = Deployment {
        model: wish.model.clone(),
        release: wish.release.clone(),
        previous: previous(old, &wish.release),
        epoch: fleet.configuration.revision,
        adapter_of: wish.adapter_of.clone(),
        priority: wish.priority,
        placements,
    };
    Ok(Draft {
        change: Change::Deploy(deployment),
        steps,
        overrides: old.map(describe).into_iter().collect(),
        bytes: wish.release.bytes,
        receivers,
        held: !held.is_empty(),
    })
}

/// The instances to use and why each: those that run the model already first, so that little
/// moves, then the hall with the fewest replicas, then the most free memory.
fn choose<'a>(
    wish: &Wish,
    old: Option<&Deployment>,
    fleet: &Fleet<'a>,
) -> Result<Vec<(&'a Candidate, String)>> {
    let mut eligible: Vec<&Candidate> =
        fleet.candidates.iter().filter(|it| is_eligible(it, wish, fleet)).collect();
    let wanted = wish.replicas as usize;
    if eligible.len() < wanted {
        let detail = format!("{} instances fit, {wanted} are asked for", eligible.len());
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
            "runs the model already".to_owned()
        } else {
            format!("hall {hall} has the fewest replicas, and the memory is free")
        };
        *per_hall.entry(hall).or_default() += 1;
        chosen.push((candidate, reason));
    }
    chosen.sort_by(|a, b| a.0.id.cmp(&b.0.id));
    Ok(chosen)
}

fn is_eligible(candidate: &Candidate, wish: &Wish, fleet: &Fleet<'_>) -> bool {
    let in_halls = wish.halls.is_empty() || wish.halls.contains(&candidate.place.hall);
    let used = used_bytes(candidate, fleet.configuration);
    let fits = used + wish.release.bytes <= candidate.memory_bytes;
    let runs_base = wish.adapter_of.as_ref().is_none_or(|base| {
        let deployment = fleet.configuration.deployments.get(base);
        deployment.is_some_and(|it| it.placements.contains_key(&candidate.id))
    });
    candidate.up && !candidate.leaving && in_halls && fits && runs_base
}

/// Bytes of weights that the configuration already places on an instance. During a switch the old
/// version stays until the new one is live, so it counts as well.
fn used_bytes(candidate: &Candidate, configuration: &Configuration) -> u64 {
    configuration.wanted_on(&candidate.id).map(|it| it.release.bytes).sum()
}

/// The release to go back to.
fn previous(old: Option<&Deployment>, release: &Release) -> Option<Release> {
    let old = old?;
    if old.release.version == release.version {
        old.previous.clone()
    } else {
        Some(old.release.clone())
    }
}
