//! Versions that are named one soon after the other: which one the origin sends, and which one runners take.

mod support;

use std::collections::BTreeMap;

use support::*;

/// The link of an origin that takes 26 ms for a chunk, in bytes a second.
const ORIGIN_BYTES_PER_S: u64 = 1_240_000;

/// Found on a quiet day: a version named four seconds after another kept runners from ever taking
/// the first, and its bound passed.
#[test]
fn a_version_whose_chunks_are_here_is_taken_although_a_newer_one_is_named() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(500);
    fleet.name(2);
    fleet.run(5000);
    fleet.name(3);
    fleet.run(3000);
    let old = fleet.versions().get(&Some(1)).copied().unwrap_or(0);
    assert!(old <= 2, "{old} runners still serve version 1");
    fleet.run(5000);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(3), 20)]));
}

/// Found on a day on which the origin went out half a second after a second version was named: the first
/// one was given up although every chunk of it was somewhere, and for three seconds nothing was served.
#[test]
fn a_version_that_the_fleet_holds_together_is_finished_before_a_newer_one() {
    let mut fleet = Fleet::new(40, Some(1), 0);
    // As over the narrow links of that day: less than half of the chunks are everywhere by then.
    fleet.chunk_ms = 140;
    fleet.run(3000);
    fleet.name(2);
    fleet.run(1650);
    fleet.name(3);
    fleet.run(500);
    fleet.origin_out_until = fleet.now + 6000;
    fleet.run(VERSION_MS - 2150);
    let old = fleet.versions().get(&Some(1)).copied().unwrap_or(0);
    assert!(old <= 4, "{old} of 40 runners still serve version 1");
    fleet.run(7000);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(3), 40)]));
}

/// Found on the same day: chunks of a version that was named while the one before still left the origin
/// took its link, and the first version was not whole when the origin went out.
#[test]
fn a_newer_version_leaves_the_origin_after_the_one_before() {
    let mut fleet = Fleet::with_narrow_origin(20, ORIGIN_BYTES_PER_S);
    fleet.run(5000);
    fleet.name(2);
    fleet.run(1500);
    fleet.name(3);
    while fleet.chunks_left_origin(3) == 0 {
        fleet.run(STEP_MS);
    }
    let left = CHUNKS as usize - fleet.chunks_left_origin(2);
    assert!(left <= 2, "{left} chunks of the older version have yet to leave the origin");
    fleet.run(12_000);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(3), 20)]));
}

/// Found on scale-1 and trouble-3 of mizani-tips-now-grown: two versions were named 2.0 s apart, and the origin,
/// whose link takes 2.8 s for a copy, went out 0.5 s later. The first version was given up with most of its
/// chunks drawn, and runners served nothing from its bound on until the second one came, three seconds later.
#[test]
fn a_version_of_which_most_has_left_the_origin_is_finished_when_the_origin_goes_out() {
    let mut fleet = Fleet::with_narrow_origin(40, 742_500);
    fleet.run(5000);
    fleet.name(2);
    fleet.run(2000);
    fleet.name(3);
    fleet.run(500);
    fleet.origin_out_until = fleet.now + 3000;
    fleet.run(VERSION_MS - 2500);
    let held = fleet.holders(2);
    assert!(held >= 36, "{held} of 40 runners hold version 2 before its bound");
    fleet.run(3000);
    let held = fleet.holders(3);
    assert!(held >= 36, "{held} of 40 runners hold version 3");
    let copies = fleet.origin_chunks;
    // Two copies, and a third of one for what was under way when the origin went out and what was drawn twice.
    assert!(copies <= CHUNKS * 2 * 4 / 3, "{copies} chunks from the origin for two versions");
}

/// The other way round: a version that cannot be finished does not hold up the newer one.
#[test]
fn a_version_that_stands_still_gives_way_to_a_newer_one() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(3000);
    fleet.name(2);
    fleet.run(1800);
    // Nothing more of any version comes until the newer one has been named for a while.
    fleet.stalls = Some(2);
    fleet.name(3);
    fleet.run(VERSION_MS);
    let late = fleet.versions();
    assert!(late.get(&Some(3)).copied().unwrap_or(0) >= 18, "{late:?}");
}
