//! In which order the runners of a fleet are moved to a version.
//!
//! A region may be the only home of some callers, so turns are dealt to all regions alike: whenever a part of all
//! runners has had its turn, about the same part of each region's has.

use std::collections::{BTreeMap, BTreeSet};

use fleet::{InstanceId, Region};

/// Steps in which the turns of one region are compared with those of another: finer than a turn for up to 2,048
/// runners in a region.
const FINE: u64 = 1 << 22;

/// The turn of one of these sidecars, counted from zero, and how many turns there are. Each version starts at other
/// ones, so that none is always the last.
pub fn turn<'a>(
    sidecars: impl IntoIterator<Item = (&'a Region, &'a InstanceId)>,
    me: &InstanceId,
    version: u64,
) -> (u64, u64) {
    let mut regions: BTreeMap<&Region, BTreeSet<&InstanceId>> = BTreeMap::new();
    for (region, id) in sidecars {
        regions.entry(region).or_default().insert(id);
    }
    let mut dealt = BTreeSet::new();
    for ids in regions.values() {
        let count = ids.len() as u64;
        for (place, id) in ids.iter().enumerate() {
            let turn = (place as u64 + version) % count;
            // The middle of its share of the time.
            dealt.insert(((2 * turn + 1) * FINE / count, *id));
        }
    }
    let turn = dealt.iter().position(|(_, id)| *id == me).unwrap_or(0);
    (turn as u64, dealt.len() as u64)
}
