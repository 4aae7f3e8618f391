//! The order in which the runners of a fleet switch to a version.
//!
//! A region may be the only home region of some callers, so turns are distributed evenly over the regions:
//! whenever a fraction of all runners has switched, about the same fraction of each region's runners has.

use std::collections::{BTreeMap, BTreeSet};

use fleet::{InstanceId, Region};

/// Resolution for comparing the turns of different regions. It is finer than one turn for up to 2,048 runners
/// in a region.
const RESOLUTION: u64 = 1 << 22;

/// The turn of sidecar `me`, counted from zero, and the number of turns. Each version starts with a different
/// runner, so that no runner is always the last.
pub fn turn<'a>(
    sidecars: impl IntoIterator<Item = (&'a Region, &'a InstanceId)>,
    me: &InstanceId,
    version: u64,
) -> (u64, u64) {
    let mut regions: BTreeMap<&Region, BTreeSet<&InstanceId>> = BTreeMap::new();
    for (region, id) in sidecars {
        regions.entry(region).or_default().insert(id);
    }
    let mut ordered = BTreeSet::new();
    for ids in regions.values() {
        let count = ids.len() as u64;
        for (index, id) in ids.iter().enumerate() {
            let turn = (index as u64 + version) % count;
            // The middle of the runner's share of the time.
            ordered.insert(((2 * turn + 1) * RESOLUTION / count, *id));
        }
    }
    let turn = ordered.iter().position(|(_, id)| *id == me).unwrap_or(0);
    (turn as u64, ordered.len() as u64)
}
