//! The order in which runners switch to a version.

use fleet::{InstanceId, Region};
use rollout::turn;

/// Sidecars in regions of these sizes. Their IDs are sorted by region, like addresses.
fn fleet(sizes: &[usize]) -> Vec<(Region, InstanceId)> {
    let member = |region: usize, index: usize| {
        let id = InstanceId(format!("10.{region}.0.{index:03}"));
        (Region(format!("region {region}")), id)
    };
    let regions = sizes.iter().enumerate();
    regions.flat_map(|(region, size)| (0..*size).map(move |index| member(region, index))).collect()
}

/// The region of each turn.
fn regions_by_turn(fleet: &[(Region, InstanceId)], version: u64) -> Vec<Region> {
    let turn_of = |me: &InstanceId| {
        let all = fleet.iter().map(|(region, id)| (region, id));
        turn(all, me, version)
    };
    let mut turns: Vec<_> =
        fleet.iter().map(|(region, id)| (turn_of(id).0, region.clone())).collect();
    turns.sort();
    let positions: Vec<u64> = turns.iter().map(|(turn, _)| *turn).collect();
    assert_eq!(
        positions,
        (0..fleet.len() as u64).collect::<Vec<_>>(),
        "each turn belongs to one sidecar"
    );
    turns.into_iter().map(|(_, region)| region).collect()
}

/// At any time about a third of the runners may be out of service: those with a third of the turns in a row.
#[test]
fn each_region_always_keeps_runners_in_service() {
    for sizes in [vec![12, 11, 11], vec![2, 20, 12], vec![15, 15, 15], vec![3, 30], vec![40]] {
        let fleet = fleet(&sizes);
        for version in 1..8 {
            let turns = regions_by_turn(&fleet, version);
            for window in turns.windows(fleet.len() / 3) {
                for (index, size) in sizes.iter().enumerate() {
                    let region = Region(format!("region {index}"));
                    let out_of_service = window.iter().filter(|it| **it == region).count();
                    let max_out_of_service = size.div_ceil(3) + 1;
                    assert!(
                        out_of_service <= max_out_of_service,
                        "{out_of_service} of {size} runners of a region are out of service at once"
                    );
                    assert!(out_of_service < *size, "none of {size} runners of a region serves");
                }
            }
        }
    }
}

#[test]
fn each_version_starts_with_another_runner_of_a_region() {
    let fleet = fleet(&[1, 5, 5]);
    let first = fleet[1].1.clone();
    let positions = (0..5)
        .map(|version| turn(fleet.iter().map(|(region, id)| (region, id)), &first, version).0);
    let positions: std::collections::BTreeSet<u64> = positions.collect();
    assert_eq!(positions.len(), 5, "each version starts with another runner: {positions:?}");
}
