//! Completes a draft to a plan.

use std::collections::BTreeSet;

use fleet::{Change, Hall, Intent, Millis, Plan, PlanId, Revision, Step};

use super::Fleet;

/// How long a plan can be confirmed.
const PLAN_VALIDITY_MS: u64 = 10 * 60 * 1000;
/// Time for a revision to come into force and for engines to load the weights.
const ACTIVATION_SECONDS: f64 = 1.0;

/// A plan without its id and its estimates.
pub(super) struct Draft {
    pub(super) change: Change,
    pub(super) steps: Vec<Step>,
    pub(super) overrides: Vec<String>,
    /// Size of the version.
    pub(super) bytes: u64,
    /// Number of instances that have to receive the version.
    pub(super) receivers: u32,
    /// Whether any peer already holds the version.
    pub(super) held_by_peers: bool,
}

/// Adds the id and the estimates to a draft.
pub(super) fn finish(now: Millis, intent: &Intent, draft: Draft, fleet: &Fleet<'_>) -> Plan {
    let base = fleet.configuration.revision;
    let Draft { bytes, receivers, .. } = draft;
    let bound = fleet.estimate.bound_seconds(bytes, receivers);
    // Each group of halls may fetch one copy, so there are never more copies than halls.
    let halls = count_halls(&draft.change) as u32;
    let copies =
        if draft.held_by_peers { 0 } else { fleet.estimate.copies.min(receivers).min(halls) };
    Plan {
        id: derive_plan_id(intent, base),
        base,
        intent: intent.clone(),
        change: draft.change,
        steps: draft.steps,
        overrides: draft.overrides,
        live_seconds: bound + ACTIVATION_SECONDS,
        origin_bytes: bytes * u64::from(copies),
        expires: now.plus(PLAN_VALIDITY_MS),
    }
}

/// The number of halls in which a change places replicas.
fn count_halls(change: &Change) -> usize {
    let Change::Deploy(deployment) = change else {
        return 0;
    };
    let halls: BTreeSet<&Hall> = deployment.placements.values().map(|it| &it.hall).collect();
    halls.len()
}

/// Derives the id of a plan: the same intent based on the same revision has the same id, so that repeated
/// requests get the same plan.
fn derive_plan_id(intent: &Intent, base: Revision) -> PlanId {
    let mut hasher = blake3::Hasher::new();
    hasher.update(format!("{intent:?}").as_bytes());
    hasher.update(&base.0.to_le_bytes());
    PlanId(hasher.finalize().to_hex()[..16].to_owned())
}
