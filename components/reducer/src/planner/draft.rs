//! From a draft to a plan.

use std::collections::BTreeSet;

use fleet::{Change, Hall, Intent, Millis, Plan, PlanId, Revision, Step};

use super::Fleet;

/// How long a plan can be confirmed, in milliseconds.
const PLAN_TIME: u64 = 10 * 60 * 1000;
/// Time for a revision to come into force and for engines to load, in seconds.
const FIXED_SECONDS: f64 = 1.0;

/// A plan before its identity and its estimates.
pub(super) struct Draft {
    pub(super) change: Change,
    pub(super) steps: Vec<Step>,
    pub(super) overrides: Vec<String>,
    /// The bytes of the version.
    pub(super) bytes: u64,
    /// How many instances must get it.
    pub(super) receivers: u32,
    /// Whether peers hold the version already.
    pub(super) held: bool,
}

/// Adds identity and estimates to a draft.
pub(super) fn finish(now: Millis, intent: &Intent, draft: Draft, fleet: &Fleet<'_>) -> Plan {
    let base = fleet.configuration.revision;
    let Draft { bytes, receivers, .. } = draft;
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
