//! From an intent to a plan.

use std::collections::{BTreeMap, BTreeSet};

use errors::{Code, Error, Result};
use fleet::{
    Change, Configuration, Deployment, Hall, InstanceId, Intent, Millis, ModelName, Place,
    Placement, Plan, PlanId, Release, Revision, Role, Source, Step, VersionId,
};

/// How long a plan can be confirmed, in milliseconds.
const PLAN_TIME: u64 = 10 * 60 * 1000;
/// Time for a revision to come into force and for engines to load, in seconds.
const FIXED_SECONDS: f64 = 1.0;

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

/// Link rates for the estimate, in bytes a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The origin's link.
    pub origin_bytes_per_s: f64,
    /// An instance's link, each way.
    pub link_bytes_per_s: f64,
    /// Copies that may be drawn from the origin.
    pub copies: u32,
}

impl Estimate {
    /// The least time for `bytes` to reach `receivers` instances: the origin must send each byte
    /// once, a receiver must take each byte, and all links up together must carry every copy.
    pub fn bound_seconds(&self, bytes: u64, receivers: u32) -> f64 {
        let (bytes, receivers) = (bytes as f64, f64::from(receivers));
        if receivers == 0.0 {
            return 0.0;
        }
        let together = self.origin_bytes_per_s + receivers * self.link_bytes_per_s;
        let by_origin = bytes / self.origin_bytes_per_s;
        let by_receiver = bytes / self.link_bytes_per_s;
        by_origin.max(by_receiver).max(receivers * bytes / together)
    }
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

/// A `Deploy` intent together with its release.
struct Wish {
    model: ModelName,
    release: Release,
    replicas: u32,
    role: Role,
    halls: BTreeSet<Hall>,
    adapter_of: Option<ModelName>,
    priority: u8,
}

/// A plan before its identity and its estimates.
struct Draft {
    change: Change,
    steps: Vec<Step>,
    overrides: Vec<String>,
    /// The bytes of the version and how many instances must get it.
    spread: (u64, u32),
    /// Whether peers hold the version already.
    held: bool,
}

fn finish(now: Millis, intent: &Intent, draft: Draft, fleet: &Fleet<'_>) -> Plan {
    let base = fleet.configuration.revision;
    let (bytes, receivers) = draft.spread;
    let bound = fleet.estimate.bound_seconds(bytes, receivers);
    // Each group of halls may draw a copy, so there are never more copies than halls.
    let halls = count_halls(&draft.change) as u32;
    let copies = if draft.held { 0 } else { fleet.estimate.copies.min(receivers).min(halls) };
    Plan {
        id: identify(intent, base),
        base,
        intent: intent.clone(),
        change: draft.change,
        steps: draft.steps,
        overrides: draft.overrides,
        live_seconds: bound + FIXED_SECONDS,
        origin_bytes: bytes * u64::from(copies),
        expires: now.plus(PLAN_TIME),
    }
}

/// The halls that a change places replicas in.
fn count_halls(change: &Change) -> usize {
    let Change::Deploy(deployment) = change else {
        return 0;
    };
    let halls: BTreeSet<&Hall> = deployment.placements.values().map(|it| &it.hall).collect();
    halls.len()
}

/// The same intent on the same revision is the same plan, however often it is sent.
fn identify(intent: &Intent, base: Revision) -> PlanId {
    let mut hasher = blake3::Hasher::new();
    hasher.update(format!("{intent:?}").as_bytes());
    hasher.update(&base.0.to_le_bytes());
    PlanId(hasher.finalize().to_hex()[..16].to_owned())
}

fn deploy(wish: &Wish, fleet: &Fleet<'_>) -> Result<Draft> {
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
        spread: (wish.release.bytes, receivers),
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

fn holders(fleet: &Fleet<'_>, version: VersionId) -> BTreeSet<InstanceId> {
    let holds = |it: &&Candidate| it.serving.iter().any(|(_, held)| *held == version);
    fleet.candidates.iter().filter(holds).map(|it| it.id.clone()).collect()
}

fn previous(old: Option<&Deployment>, release: &Release) -> Option<Release> {
    let old = old?;
    if old.release.version == release.version {
        old.previous.clone()
    } else {
        Some(old.release.clone())
    }
}

fn withdrawals(old: Option<&Deployment>, kept: &BTreeMap<InstanceId, Placement>) -> Vec<Step> {
    let Some(old) = old else {
        return Vec::new();
    };
    let gone = old.placements.keys().filter(|id| !kept.contains_key(*id));
    gone.map(|id| Step::Withdraw {
        instance: id.clone(),
        model: old.model.clone(),
        reason: "no longer among the replicas".to_owned(),
    })
    .collect()
}

fn describe(old: &Deployment) -> String {
    format!(
        "{} {} ({}) on {} instances, in force since revision {}",
        old.model,
        old.release.label,
        old.release.version.short(),
        old.placements.len(),
        old.epoch
    )
}

fn rollback(model: &ModelName, fleet: &Fleet<'_>) -> Result<Draft> {
    let old = find(model, fleet)?;
    let release = old.previous.clone();
    let release = release
        .ok_or_else(|| Error::new(Code::BadIntent, format!("{model} has no version before")))?;
    let held = holders(fleet, release.version);
    let mut deployment = old.clone();
    deployment.previous = Some(old.release.clone());
    deployment.release = release.clone();
    let steps = old.placements.iter().map(|(id, placement)| Step::Place {
        instance: id.clone(),
        hall: placement.hall.clone(),
        version: release.version,
        role: placement.role,
        source: if held.contains(id) { Source::Held } else { Source::Origin },
        reason: "runs the model already".to_owned(),
    });
    let receivers = old.placements.keys().filter(|id| !held.contains(*id)).count() as u32;
    Ok(Draft {
        steps: steps.collect(),
        overrides: vec![describe(old)],
        spread: (release.bytes, receivers),
        held: !held.is_empty(),
        change: Change::Deploy(deployment),
    })
}

fn remove(model: &ModelName, fleet: &Fleet<'_>) -> Result<Draft> {
    let old = find(model, fleet)?;
    let adapters = fleet.configuration.deployments.values();
    if let Some(adapter) = adapters.into_iter().find(|it| it.adapter_of.as_ref() == Some(model)) {
        let detail = format!("the adapter {} still needs {model}", adapter.model);
        return Err(Error::new(Code::BadIntent, detail));
    }
    Ok(Draft {
        change: Change::Remove(model.clone()),
        steps: withdrawals(Some(old), &BTreeMap::new()),
        overrides: vec![describe(old)],
        spread: (0, 0),
        held: true,
    })
}

fn leave(instance: &InstanceId, fleet: &Fleet<'_>) -> Result<Draft> {
    let service_peers = fleet.services.get(instance).copied();
    let is_engine = fleet.candidates.iter().any(|it| &it.id == instance);
    if !is_engine && service_peers.is_none() {
        return Err(unknown_instance(instance));
    }
    if service_peers == Some(0) {
        let detail = format!("{instance} is the last live replica of its service");
        return Err(Error::new(Code::LastReplica, detail));
    }
    for deployment in fleet.configuration.wanted_on(instance) {
        if !has_other_replica(deployment, instance, fleet) {
            let detail = format!("{instance} has the last live replica of {}", deployment.model);
            return Err(Error::new(Code::LastReplica, detail));
        }
    }
    Ok(Draft {
        change: Change::Leave(instance.clone()),
        steps: vec![Step::Drain { instance: instance.clone() }],
        overrides: Vec::new(),
        spread: (0, 0),
        held: true,
    })
}

fn has_other_replica(deployment: &Deployment, leaver: &InstanceId, fleet: &Fleet<'_>) -> bool {
    fleet.candidates.iter().any(|it| {
        let serves = it.serving.iter().any(|(model, _)| model == &deployment.model);
        &it.id != leaver && it.up && !it.leaving && serves
    })
}

fn give_back(instance: &InstanceId, fleet: &Fleet<'_>) -> Result<Draft> {
    if !fleet.configuration.leaving.contains(instance) {
        let detail = format!("{instance} was not told to leave");
        return Err(Error::new(Code::BadIntent, detail));
    }
    Ok(Draft {
        change: Change::Return(instance.clone()),
        steps: vec![Step::Resume { instance: instance.clone() }],
        overrides: vec![format!("the leave of {instance}")],
        spread: (0, 0),
        held: true,
    })
}

fn find<'a>(model: &ModelName, fleet: &Fleet<'a>) -> Result<&'a Deployment> {
    let found = fleet.configuration.deployments.get(model);
    found.ok_or_else(|| Error::new(Code::UnknownTarget, format!("{model} is not deployed")))
}

fn unknown_version(model: &ModelName) -> Error {
    Error::new(Code::UnknownVersion, format!("no manifest of the version wanted for {model}"))
}

fn unknown_instance(instance: &InstanceId) -> Error {
    Error::new(Code::UnknownInstance, format!("{instance} is no upstream on the list"))
}

#[cfg(test)]
#[path = "planner_tests.rs"]
mod tests;
