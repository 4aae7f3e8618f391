//! How versions reach the runners of a fleet.

mod support;

use std::collections::BTreeMap;

use fleet::Millis;
use proptest::prelude::*;
use reducer::DrawSource;
use rollout::*;
use support::*;

#[test]
fn a_named_version_reaches_every_runner_within_its_bound_from_about_one_copy() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(500);
    fleet.name(2);
    fleet.run(VERSION_MS);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(2), 20)]));
    assert!(
        fleet.origin_chunks <= CHUNKS * 3 / 2,
        "{} chunks from the origin",
        fleet.origin_chunks
    );
}

/// A runner goes on with the older version until its turn, which lies within the bound. Where the bound becomes
/// shorter, the turns that were given before would lie behind it.
#[test]
fn a_bound_that_becomes_shorter_moves_the_turns_that_wait() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(500);
    fleet.name(2);
    fleet.run(3500);
    assert!(fleet.holders(2) < 20, "nobody waits for its turn");
    for index in 0..20 {
        fleet.feed(index, Event::Bounded { version_ms: 5500, evacuate_ms: Some(5000) });
    }
    fleet.run(2000);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(2), 20)]));
}

/// Found on scale-1 of obwwa-flood: one sidecar left with the only copy of one chunk. The others still
/// believed that it held it, so nobody asked the origin before that went out, and the version was never
/// served.
#[test]
fn a_chunk_whose_only_holder_is_gone_is_drawn_from_the_origin_again() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(5000);
    // As over links on which a chunk takes a while to be passed on.
    fleet.chunk_ms = 140;
    fleet.name(2);
    fleet.run(900);
    let only_holder = (0..CHUNKS).find_map(|chunk| {
        let holds = |it: &usize| fleet.sidecars[*it].have(2).is_some_and(|it| it.contains(chunk));
        let mut holders = (0..20).filter(holds);
        holders.next().filter(|_| holders.next().is_none())
    });
    fleet.kill(only_holder.expect("some chunk has one holder by now"));
    fleet.run(1600);
    fleet.origin_out_until = fleet.now + 20_000;
    fleet.run(VERSION_MS - 2500);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(1), 1), (Some(2), 19)]));
}

/// Found on trouble-1 of mizani-tips-now-grown: the origin was back with ten chunks to send. Their turns lay as
/// far apart as those of a whole copy, and others drew them meanwhile: 20 draws in 1.5 s.
#[test]
fn the_last_chunks_after_an_outage_follow_each_other_without_gaps() {
    let mut fleet = Fleet::with_narrow_origin(40, 742_500);
    fleet.run(5000);
    fleet.name(2);
    while fleet.chunks_left_origin(2) < 54 {
        fleet.run(STEP_MS);
    }
    fleet.origin_out_until = fleet.now + 4000;
    fleet.run(4000);
    let (back, drawn) = (fleet.now, fleet.origin_chunks);
    while fleet.chunks_left_origin(2) < CHUNKS as usize {
        fleet.run(STEP_MS);
    }
    let took = fleet.now - back;
    assert!(took <= 900, "the last ten chunks, 0.44 s of the link, left it after {took} ms");
    let drawn = fleet.origin_chunks - drawn;
    assert!(drawn <= 14, "{drawn} draws for ten chunks");
}

/// Found on a day on which the origin was out when a version was named: by the time it was back every
/// sidecar was past its turn, and all of them drew every chunk.
#[test]
fn an_origin_that_was_out_sends_few_copies_when_it_is_back() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(500);
    fleet.origin_out_until = fleet.now + 6000;
    fleet.name(2);
    fleet.run(14_000);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(2), 20)]));
    assert!(fleet.origin_chunks <= 2 * CHUNKS, "{} chunks from the origin", fleet.origin_chunks);
}

/// Found on scale-1 of obwwa-flood: the origin was back at 26.5 s and its link stood idle for most of the
/// next second, for each sidecar went on waiting as after its own last failure.
#[test]
fn the_first_chunk_after_an_outage_tells_everyone_that_the_origin_is_back() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(5000);
    fleet.name(2);
    fleet.run(500);
    let before = fleet.origin_chunks;
    fleet.origin_out_until = fleet.now + 6000;
    fleet.run(6000);
    fleet.run(1200);
    let drawn = fleet.origin_chunks - before;
    assert!(drawn >= 40, "{drawn} of 50 chunks within 1.2 s");
}

/// Found on the quiet day of a grown site: 31 empty runners joined 45 that served, and none of them had
/// the weights sixteen seconds later. Sidecars that held chunks had told them so before they listened.
#[test]
fn empty_runners_that_join_a_large_fleet_soon_serve() {
    let mut fleet = Fleet::new(45, Some(1), 0);
    fleet.run(12_000);
    let (before, told) = (fleet.origin_chunks, fleet.summaries);
    (0..31).for_each(|_| fleet.join(None));
    fleet.run(4000);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(1), 76)]));
    let drawn = fleet.origin_chunks - before;
    assert!(drawn <= CHUNKS / 2, "{drawn} chunks from the origin");
    let told = fleet.summaries - told;
    assert!(told <= 31 * 200, "{told} summaries");
}

/// Found on the same day: all sidecars asked the origin for the manifest of a new version at once, which
/// takes 48 connections. It reset the rest 700 times, and none took the version within five seconds.
#[test]
fn few_sidecars_ask_the_origin_for_a_manifest() {
    let mut fleet = Fleet::new(76, Some(1), 0);
    fleet.run(3000);
    fleet.name(2);
    fleet.run(VERSION_MS);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(2), 76)]));
    assert!(fleet.origin_manifests <= 12, "{} manifests from the origin", fleet.origin_manifests);
}

/// A manifest that arrived spoilt would make every copy of a chunk look corrupt.
#[test]
fn a_manifest_that_no_chunk_fits_is_read_again_from_the_origin() {
    let mut fleet = Fleet::new(4, Some(1), 0);
    fleet.run(500);
    fleet.name(2);
    fleet.run(300);
    let asked = fleet.origin_manifests;
    for _ in 0..3 {
        let source = DrawSource::Origin;
        fleet.feed(0, Event::Arrived { version: 2, index: 7, source, verified: false });
    }
    assert_eq!(fleet.origin_manifests, asked + 1);
}

#[test]
fn runners_that_serve_are_not_all_ordered_at_once() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(500);
    fleet.name(2);
    fleet.run(VERSION_MS);
    let mut times: Vec<u64> = fleet.orders.iter().map(|it| it.2).collect();
    times.sort_unstable();
    let most =
        times.iter().map(|at| times.iter().filter(|it| (*at..at + 400).contains(it)).count());
    let most = most.max().unwrap_or(0);
    assert!(most <= 12, "{most} of 20 runners ordered within 400 ms");
}

#[test]
fn sidecars_whose_runners_serve_keep_one_copy_between_them() {
    let mut fleet = Fleet::new(12, Some(1), 0);
    fleet.run(9000);
    assert_eq!(fleet.origin_chunks, CHUNKS);
    assert!(fleet.orders.is_empty(), "runners that serve the version need no order");
}

/// Found on the same day: sidecars that read the list while it filled up each took a large share of the
/// chunks from the origin, twenty copies together.
#[test]
fn sidecars_that_start_together_wait_for_the_list_before_they_take_their_shares() {
    let mut fleet = Fleet::new(2, Some(1), 0);
    (0..30).for_each(|_| fleet.join(Some(1)));
    fleet.run(9000);
    assert!(fleet.origin_chunks <= CHUNKS + 8, "{} chunks from the origin", fleet.origin_chunks);
}

#[test]
fn a_runner_that_lost_its_weights_gets_them_again() {
    let mut fleet = Fleet::new(6, Some(1), 0);
    fleet.run(9000);
    fleet.runners[2] = Runner::default();
    fleet.run(6000);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(1), 6)]));
}

/// Found on days on which the machine that gave the last order froze with requests that waited at its
/// runner: they started eight seconds later, on a version that was too old.
#[test]
fn the_machine_that_gave_the_last_order_takes_nothing_on_an_older_version() {
    let mut fleet = Fleet::new(6, Some(1), 0);
    fleet.run(5000);
    fleet.runners[2] = Runner::default();
    fleet.run(6000);
    let last = fleet.orders.last().expect("the empty runner was ordered").0;
    let reserve = |fleet: &mut Fleet, index: usize| {
        let now = Millis(fleet.now);
        fleet.sidecars[index].reserve(now, 10)
    };
    assert_eq!(reserve(&mut fleet, last), Ok(()), "no newer version is named");
    fleet.name(2);
    fleet.run(200);
    assert_eq!(reserve(&mut fleet, last), Err(Denial::LastOrder));
    assert_eq!(reserve(&mut fleet, (last + 1) % 6), Ok(()));
    fleet.run(VERSION_MS);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(2), 6)]));
    assert!((0..6).all(|index| reserve(&mut fleet, index).is_ok()));
}

/// Found on a day of a grown site (trouble-2 of qarla-logs-grown, seed 156690214307): the process that gave
/// the last order was killed and forgot it, and then its machine froze with requests that started late.
#[test]
fn a_sidecar_that_starts_again_learns_that_it_gave_the_last_order() {
    let mut fleet = Fleet::new(6, Some(1), 0);
    fleet.run(5000);
    fleet.sidecars[2] = Rollout::new(options(2));
    fleet.introduce(2);
    fleet.tell_peers();
    fleet.feed(2, Event::GaveLastOrder);
    fleet.run(200);
    let now = Millis(fleet.now);
    assert_eq!(fleet.sidecars[2].reserve(now, 10), Ok(()), "no newer version is named");
    fleet.name(2);
    fleet.run(200);
    let now = Millis(fleet.now);
    assert_eq!(fleet.sidecars[2].reserve(now, 10), Err(Denial::LastOrder));
    fleet.feed(2, Event::PeerOrdered);
    let now = Millis(fleet.now);
    assert_eq!(fleet.sidecars[2].reserve(now, 10), Ok(()), "another one gave an order since");
}

/// Found on a day on which a machine froze: the sidecar is the last to say whether a request may start
/// on the version that its runner holds.
#[test]
fn no_place_is_given_on_a_version_that_is_too_old() {
    let mut fleet = Fleet::new(1, Some(1), 0);
    fleet.run(500);
    let reserve = |fleet: &mut Fleet| {
        let now = Millis(fleet.now);
        fleet.sidecars[0].reserve(now, 10).is_ok()
    };
    assert!(reserve(&mut fleet));
    // No chunk arrives, so the runner cannot be moved.
    fleet.loses = 1;
    fleet.name(2);
    fleet.run(300);
    assert!(reserve(&mut fleet));
    fleet.run(VERSION_MS);
    assert!(!reserve(&mut fleet));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Whatever is lost and however names follow each other, every runner ends with the last one.
    #[test]
    fn every_runner_ends_with_the_last_version(
        count in 2..16usize,
        loses in 0..6u64,
        gaps in proptest::collection::vec(100..6000u64, 1..4),
    ) {
        // With a loss of every draw nothing can arrive.
        let mut fleet = Fleet::new(count, Some(1), if loses == 1 { 2 } else { loses });
        fleet.run(300);
        let mut version = 1;
        for gap in gaps {
            version += 1;
            fleet.name(version);
            fleet.run(gap);
        }
        fleet.run(40_000);
        prop_assert_eq!(fleet.versions(), BTreeMap::from([(Some(version), count)]));
    }
}

/// Gateways tell callers by this when to come back.
#[test]
fn a_sidecar_tells_when_its_empty_runner_will_serve() {
    let mut fleet = Fleet::new(12, Some(1), 0);
    // Five chunks at once take what the link, by which the time is told, takes for them.
    fleet.chunk_ms = 170;
    fleet.run(9000);
    assert_eq!(fleet.sidecars[2].serves_in_ms(Millis(fleet.now)), Some(0));
    fleet.runners[2] = Runner::default();
    let mut told = None;
    while fleet.sidecars[2].serves_in_ms(Millis(fleet.now)) != Some(0) || told.is_none() {
        fleet.run(100);
        assert!(fleet.now < 1_020_000, "the runner never serves again");
        let serves_in = fleet.sidecars[2].serves_in_ms(Millis(fleet.now));
        told = told.or(serves_in.filter(|it| *it > 1000).map(|it| fleet.now + u64::from(it)));
    }
    let told = told.expect("a time was told while chunks came");
    let late = told.abs_diff(fleet.now);
    assert!(late < 1000, "told {told}, served at {}", fleet.now);
}

#[test]
fn nobody_is_told_when_a_runner_serves_while_no_chunk_comes() {
    let mut fleet = Fleet::new(4, Some(1), 0);
    fleet.run(300);
    fleet.runners[2] = Runner::default();
    fleet.stalls = Some(1);
    fleet.run(3000);
    assert_eq!(fleet.sidecars[2].serves_in_ms(Millis(fleet.now)), None);
}

/// Links between halls are dear: two of three chunks that went from one to another on obwwa-flood had been
/// there before.
#[test]
fn a_chunk_enters_each_hall_about_once() {
    let mut fleet = Fleet::new(18, Some(1), 0);
    fleet.run(9000);
    fleet.between_halls = 0;
    fleet.name(2);
    fleet.run(VERSION_MS);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(2), 18)]));
    // Each chunk comes from the origin into one of three halls.
    let between = fleet.between_halls;
    assert!(between <= CHUNKS * 2 * 5 / 4, "{between} chunks between halls");
}

/// Found on trouble-3 of mizani-tips-now-grown: the store was out while a version was named, so nobody knew its
/// age. Gateways left the older version 1.8 s after they had heard of it, and the sidecars, who had every chunk
/// 4.3 s after it, gave their orders spread over the four seconds that followed.
#[test]
fn runners_are_ordered_at_once_for_a_version_of_unknown_age_that_comes_late() {
    let mut fleet = Fleet::with_narrow_origin(40, 742_500);
    fleet.run(5000);
    for index in 0..40 {
        fleet.feed(index, Event::Named { version: 2, named_at: None, after_ms: None });
    }
    while !(0..40).all(|it| fleet.sidecars[it].have(2).is_some_and(|it| it.is_full())) {
        fleet.run(STEP_MS);
    }
    fleet.run(800);
    let held = fleet.holders(2);
    assert!(held >= 38, "{held} of 40 runners hold the version 0.8 s after the last chunk came");
}

/// A sidecar that was first told of a version by a process that did not know its age.
#[test]
fn the_age_of_a_version_is_taken_from_whoever_knows_it() {
    let mut fleet = Fleet::new(1, Some(1), 0);
    fleet.run(500);
    fleet.loses = 1;
    let named_at = Some(Millis(fleet.now + 20));
    fleet.feed(0, Event::Named { version: 2, named_at: None, after_ms: None });
    fleet.run(20);
    fleet.feed(0, Event::Named { version: 2, named_at, after_ms: None });
    fleet.run(VERSION_MS - 2000);
    let now = Millis(fleet.now);
    assert_eq!(fleet.sidecars[0].reserve(now, 10), Ok(()), "its bound is the usual one");
    fleet.run(2000);
    let now = Millis(fleet.now);
    assert_eq!(fleet.sidecars[0].reserve(now, 10), Err(Denial::NotServing));
    let bound = named_at.map(|it| it.0 + VERSION_MS);
    let given_up = fleet.retired.iter().map(|it| (it.1, Some(it.2) < bound));
    assert_eq!(given_up.collect::<Vec<_>>(), [(1, true)], "it was given up before its bound");
}
