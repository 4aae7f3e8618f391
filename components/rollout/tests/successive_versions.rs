//! Versions that are announced in quick succession: which one the origin sends, and which one runners load.

mod support;

use std::collections::BTreeMap;

use support::*;

/// The bandwidth of an origin that needs 26 ms per chunk, in bytes per second.
const ORIGIN_BYTES_PER_S: u64 = 1_240_000;

/// Guards against abandoned versions. A version announced four seconds after another prevented runners from
/// ever loading the first, and its deadline passed.
#[test]
fn complete_version_is_loaded_although_a_newer_one_is_announced() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(500);
    fleet.announce(2);
    fleet.run(5000);
    fleet.announce(3);
    fleet.run(3000);
    let old = fleet.versions().get(&Some(1)).copied().unwrap_or(0);
    assert!(old <= 2, "{old} runners still serve version 1");
    fleet.run(5000);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(3), 20)]));
}

/// Guards against abandoned versions. The origin became unavailable half a second after a second version was
/// announced. The first was abandoned although the fleet held every chunk of it, and nothing was served for
/// three seconds.
#[test]
fn version_held_by_the_fleet_as_a_whole_is_completed_before_a_newer_one() {
    let mut fleet = Fleet::new(40, Some(1), 0);
    // Simulates slow links: less than half of the chunks are everywhere by then.
    fleet.chunk_ms = 140;
    fleet.run(3000);
    fleet.announce(2);
    fleet.run(1650);
    fleet.announce(3);
    fleet.run(500);
    fleet.origin_unavailable_until = fleet.now + 6000;
    fleet.run(VERSION_MS - 2150);
    let old = fleet.versions().get(&Some(1)).copied().unwrap_or(0);
    assert!(old <= 4, "{old} of 40 runners still serve version 1");
    fleet.run(7000);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(3), 40)]));
}

/// Guards against sharing the origin's link. Chunks of a version that was announced while the origin was
/// still sending the previous one used its link, and the first version was not complete when the origin
/// became unavailable.
#[test]
fn origin_sends_a_newer_version_after_the_previous_one() {
    let mut fleet = Fleet::with_narrow_origin(20, ORIGIN_BYTES_PER_S);
    fleet.run(5000);
    fleet.announce(2);
    fleet.run(1500);
    fleet.announce(3);
    while fleet.chunks_sent_by_origin(3) == 0 {
        fleet.run(STEP_MS);
    }
    let remaining = CHUNKS as usize - fleet.chunks_sent_by_origin(2);
    assert!(remaining <= 2, "{remaining} chunks of the older version have yet to leave the origin");
    fleet.run(12_000);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(3), 20)]));
}

/// Guards against abandoned versions. Two versions were announced 2.0 s apart, and the origin, whose link
/// needs 2.8 s for a copy, became unavailable 0.5 s later. The first version was abandoned with most of its
/// chunks fetched, and runners served nothing from its deadline until the second version was complete, three
/// seconds later.
#[test]
fn version_mostly_sent_by_the_origin_is_completed_during_an_outage() {
    let mut fleet = Fleet::with_narrow_origin(40, 742_500);
    fleet.run(5000);
    fleet.announce(2);
    fleet.run(2000);
    fleet.announce(3);
    fleet.run(500);
    fleet.origin_unavailable_until = fleet.now + 3000;
    fleet.run(VERSION_MS - 2500);
    let held = fleet.runners_with(2);
    assert!(held >= 36, "{held} of 40 runners hold version 2 before the deadline");
    fleet.run(3000);
    let held = fleet.runners_with(3);
    assert!(held >= 36, "{held} of 40 runners hold version 3");
    let origin_chunks = fleet.origin_chunks;
    // Two copies, and a third of one for fetches that were in flight when the origin became unavailable and
    // for chunks fetched twice.
    assert!(
        origin_chunks <= CHUNKS * 2 * 4 / 3,
        "{origin_chunks} chunks from the origin for two versions"
    );
}

/// The opposite case: a version that cannot be completed does not delay the newer one.
#[test]
fn stalled_version_is_abandoned_for_a_newer_one() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(3000);
    fleet.announce(2);
    fleet.run(1800);
    // No more chunks of version 2 arrive.
    fleet.stalled_version = Some(2);
    fleet.announce(3);
    fleet.run(VERSION_MS);
    let late = fleet.versions();
    assert!(late.get(&Some(3)).copied().unwrap_or(0) >= 18, "{late:?}");
}
