//! The rollout of versions to the runners of a fleet.

mod support;

use std::collections::BTreeMap;

use fleet::Millis;
use proptest::prelude::*;
use reducer::FetchSource;
use rollout::*;
use support::*;

#[test]
fn announced_version_reaches_every_runner_before_the_deadline_with_about_one_copy_from_the_origin()
{
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(500);
    fleet.announce(2);
    fleet.run(VERSION_MS);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(2), 20)]));
    assert!(
        fleet.origin_chunks <= CHUNKS * 3 / 2,
        "{} chunks from the origin",
        fleet.origin_chunks
    );
}

/// A runner keeps the older version until its scheduled time, which is before the deadline. If the deadline
/// becomes shorter, times scheduled before would be after it.
#[test]
fn shorter_deadline_moves_scheduled_orders_forward() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(500);
    fleet.announce(2);
    fleet.run(3500);
    assert!(fleet.runners_with(2) < 20, "no runner waits for its scheduled order");
    for index in 0..20 {
        fleet.deliver(index, Event::DeadlinesChanged { version_ms: 5500, evacuate_ms: Some(5000) });
    }
    fleet.run(2000);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(2), 20)]));
}

/// Guards against a lost chunk. The only holder of a chunk left, the other sidecars still counted it as a
/// holder, and nobody fetched the chunk from the origin before that became unavailable. The version was never
/// served.
#[test]
fn chunk_is_fetched_from_the_origin_again_when_its_only_holder_is_lost() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(5000);
    // Simulates links on which it takes a while to pass a chunk on.
    fleet.chunk_ms = 140;
    fleet.announce(2);
    fleet.run(900);
    let only_holder = (0..CHUNKS).find_map(|chunk| {
        let holds =
            |it: &usize| fleet.sidecars[*it].held_chunks(2).is_some_and(|it| it.contains(chunk));
        let mut holders = (0..20).filter(holds);
        holders.next().filter(|_| holders.next().is_none())
    });
    fleet.stop(only_holder.expect("some chunk has one holder by now"));
    fleet.run(1600);
    fleet.origin_unavailable_until = fleet.now + 20_000;
    fleet.run(VERSION_MS - 2500);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(1), 1), (Some(2), 19)]));
}

/// Guards against gaps between the last chunks. The origin was available again with ten chunks left to send.
/// They were scheduled as far apart as those of a whole copy, and other sidecars fetched them in the
/// meantime: 20 fetches in 1.5 s.
#[test]
fn last_chunks_after_an_outage_are_sent_without_gaps() {
    let mut fleet = Fleet::with_narrow_origin(40, 742_500);
    fleet.run(5000);
    fleet.announce(2);
    while fleet.chunks_sent_by_origin(2) < 54 {
        fleet.run(STEP_MS);
    }
    fleet.origin_unavailable_until = fleet.now + 4000;
    fleet.run(4000);
    let (available_at, fetched) = (fleet.now, fleet.origin_chunks);
    while fleet.chunks_sent_by_origin(2) < CHUNKS as usize {
        fleet.run(STEP_MS);
    }
    let took_ms = fleet.now - available_at;
    assert!(took_ms <= 900, "the last ten chunks, 0.44 s of the link, left it after {took_ms} ms");
    let fetched = fleet.origin_chunks - fetched;
    assert!(fetched <= 14, "{fetched} fetches for ten chunks");
}

/// Guards against needless copies from the origin. The origin was unavailable when a version was announced.
/// When it was available again, every sidecar was past its scheduled time, and all of them fetched every
/// chunk.
#[test]
fn origin_sends_few_copies_after_an_outage() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(500);
    fleet.origin_unavailable_until = fleet.now + 6000;
    fleet.announce(2);
    fleet.run(14_000);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(2), 20)]));
    assert!(fleet.origin_chunks <= 2 * CHUNKS, "{} chunks from the origin", fleet.origin_chunks);
}

/// Guards against an idle link of the origin after an outage. The origin was available again, but its link
/// was idle for most of a second, because each sidecar kept waiting as after its own last failure.
#[test]
fn first_chunk_after_an_outage_shows_all_sidecars_that_the_origin_is_available() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(5000);
    fleet.announce(2);
    fleet.run(500);
    let before = fleet.origin_chunks;
    fleet.origin_unavailable_until = fleet.now + 6000;
    fleet.run(6000);
    fleet.run(1200);
    let fetched = fleet.origin_chunks - before;
    assert!(fetched >= 40, "{fetched} of 50 chunks within 1.2 s");
}

/// Guards against empty runners without weights. 31 empty runners joined 45 that served, and none of them had
/// the weights 16 seconds later, because sidecars had sent their summaries before the new ones were
/// listening.
#[test]
fn empty_runners_that_join_a_large_fleet_serve_soon() {
    let mut fleet = Fleet::new(45, Some(1), 0);
    fleet.run(12_000);
    let (before, summaries) = (fleet.origin_chunks, fleet.summaries);
    (0..31).for_each(|_| fleet.add(None));
    fleet.run(4000);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(1), 76)]));
    let fetched = fleet.origin_chunks - before;
    assert!(fetched <= CHUNKS / 2, "{fetched} chunks from the origin");
    let summaries = fleet.summaries - summaries;
    assert!(summaries <= 31 * 200, "{summaries} summaries");
}

/// Guards against an overload of the origin. All sidecars requested the manifest of a new version at once,
/// but the origin accepts 48 connections. It reset the rest 700 times, and no runner loaded the version
/// within five seconds.
#[test]
fn few_sidecars_fetch_a_manifest_from_the_origin() {
    let mut fleet = Fleet::new(76, Some(1), 0);
    fleet.run(3000);
    fleet.announce(2);
    fleet.run(VERSION_MS);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(2), 76)]));
    assert!(fleet.origin_manifests <= 12, "{} manifests from the origin", fleet.origin_manifests);
}

/// With a corrupt manifest, every copy of a chunk would seem to have a wrong digest.
#[test]
fn manifest_is_fetched_again_after_repeated_digest_mismatches() {
    let mut fleet = Fleet::new(4, Some(1), 0);
    fleet.run(500);
    fleet.announce(2);
    fleet.run(300);
    let asked = fleet.origin_manifests;
    for _ in 0..3 {
        let source = FetchSource::Origin;
        fleet.deliver(0, Event::Arrived { version: 2, index: 7, source, verified: false });
    }
    assert_eq!(fleet.origin_manifests, asked + 1);
}

#[test]
fn orders_to_serving_runners_are_spread_over_time() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(500);
    fleet.announce(2);
    fleet.run(VERSION_MS);
    let mut times: Vec<u64> = fleet.orders.iter().map(|it| it.2).collect();
    times.sort_unstable();
    let most =
        times.iter().map(|at| times.iter().filter(|it| (*at..at + 400).contains(it)).count());
    let most = most.max().unwrap_or(0);
    assert!(most <= 12, "{most} of 20 runners ordered within 400 ms");
}

#[test]
fn sidecars_of_serving_runners_keep_one_copy_in_total() {
    let mut fleet = Fleet::new(12, Some(1), 0);
    fleet.run(9000);
    assert_eq!(fleet.origin_chunks, CHUNKS);
    assert!(fleet.orders.is_empty(), "runners that serve the version need no order");
}

/// Guards against needless copies from the origin. Sidecars that read the list while it was still growing
/// each fetched a large share of the chunks, twenty copies in total.
#[test]
fn sidecars_that_start_together_wait_for_the_complete_list_before_they_keep_shares() {
    let mut fleet = Fleet::new(2, Some(1), 0);
    (0..30).for_each(|_| fleet.add(Some(1)));
    fleet.run(9000);
    assert!(fleet.origin_chunks <= CHUNKS + 8, "{} chunks from the origin", fleet.origin_chunks);
}

#[test]
fn runner_that_lost_its_weights_gets_them_again() {
    let mut fleet = Fleet::new(6, Some(1), 0);
    fleet.run(9000);
    fleet.runners[2] = Runner::default();
    fleet.run(6000);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(1), 6)]));
}

/// Guards against requests that start on an outdated version. The machine with the latest order was suspended
/// while requests were waiting at its runner, and they started eight seconds later.
#[test]
fn machine_with_the_latest_order_grants_no_slots_on_an_older_version() {
    let mut fleet = Fleet::new(6, Some(1), 0);
    fleet.run(5000);
    fleet.runners[2] = Runner::default();
    fleet.run(6000);
    let last = fleet.orders.last().expect("the empty runner was ordered").0;
    let reserve = |fleet: &mut Fleet, index: usize| {
        let now = Millis(fleet.now);
        fleet.sidecars[index].reserve(now, 10)
    };
    assert_eq!(reserve(&mut fleet, last), Ok(()), "no newer version is announced");
    fleet.announce(2);
    fleet.run(200);
    assert_eq!(reserve(&mut fleet, last), Err(Denial::LastOrder));
    assert_eq!(reserve(&mut fleet, (last + 1) % 6), Ok(()));
    fleet.run(VERSION_MS);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(2), 6)]));
    assert!((0..6).all(|index| reserve(&mut fleet, index).is_ok()));
}

/// Guards against a lost record of the latest order. The process that had sent it was killed and no longer
/// knew of it; then its machine was suspended, and requests there started late.
#[test]
fn restarted_sidecar_learns_that_it_sent_the_latest_order() {
    let mut fleet = Fleet::new(6, Some(1), 0);
    fleet.run(5000);
    fleet.sidecars[2] = Rollout::new(options(2));
    fleet.configure(2);
    fleet.update_peers();
    fleet.deliver(2, Event::SentLatestOrder);
    fleet.run(200);
    let now = Millis(fleet.now);
    assert_eq!(fleet.sidecars[2].reserve(now, 10), Ok(()), "no newer version is announced");
    fleet.announce(2);
    fleet.run(200);
    let now = Millis(fleet.now);
    assert_eq!(fleet.sidecars[2].reserve(now, 10), Err(Denial::LastOrder));
    fleet.deliver(2, Event::PeerOrdered);
    let now = Millis(fleet.now);
    assert_eq!(
        fleet.sidecars[2].reserve(now, 10),
        Ok(()),
        "another sidecar has sent an order since"
    );
}

/// Guards against requests that start on an outdated version after a machine was suspended: the sidecar makes
/// the last check of whether a request may start on the version at its runner.
#[test]
fn no_slot_is_granted_on_a_version_after_its_deadline() {
    let mut fleet = Fleet::new(1, Some(1), 0);
    fleet.run(500);
    let reserve = |fleet: &mut Fleet| {
        let now = Millis(fleet.now);
        fleet.sidecars[0].reserve(now, 10).is_ok()
    };
    assert!(reserve(&mut fleet));
    // No chunk arrives, so the runner cannot switch.
    fleet.lose_every = 1;
    fleet.announce(2);
    fleet.run(300);
    assert!(reserve(&mut fleet));
    fleet.run(VERSION_MS);
    assert!(!reserve(&mut fleet));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Regardless of losses and of the intervals between announcements, every runner ends with the last
    /// version.
    #[test]
    fn every_runner_ends_with_the_last_version(
        count in 2..16usize,
        lose_every in 0..6u64,
        gaps_ms in proptest::collection::vec(100..6000u64, 1..4),
    ) {
        // If every fetch is lost, nothing can arrive.
        let mut fleet = Fleet::new(count, Some(1), if lose_every == 1 { 2 } else { lose_every });
        fleet.run(300);
        let mut version = 1;
        for gap_ms in gaps_ms {
            version += 1;
            fleet.announce(version);
            fleet.run(gap_ms);
        }
        fleet.run(40_000);
        prop_assert_eq!(fleet.versions(), BTreeMap::from([(Some(version), count)]));
    }
}

/// Gateways derive the retry delay of callers from this estimate.
#[test]
fn sidecar_estimates_when_its_empty_runner_will_serve() {
    let mut fleet = Fleet::new(12, Some(1), 0);
    // At this speed, five concurrent chunks use the bandwidth that the estimate assumes.
    fleet.chunk_ms = 170;
    fleet.run(9000);
    assert_eq!(fleet.sidecars[2].serves_in_ms(Millis(fleet.now)), Some(0));
    fleet.runners[2] = Runner::default();
    let mut estimate = None;
    while fleet.sidecars[2].serves_in_ms(Millis(fleet.now)) != Some(0) || estimate.is_none() {
        fleet.run(100);
        assert!(fleet.now < 1_020_000, "the runner never serves again");
        let serves_in = fleet.sidecars[2].serves_in_ms(Millis(fleet.now));
        estimate =
            estimate.or(serves_in.filter(|it| *it > 1000).map(|it| fleet.now + u64::from(it)));
    }
    let estimate = estimate.expect("an estimate was given while chunks arrived");
    let error_ms = estimate.abs_diff(fleet.now);
    assert!(error_ms < 1000, "estimate {estimate}, served at {}", fleet.now);
}

#[test]
fn no_estimate_is_given_while_no_chunk_arrives() {
    let mut fleet = Fleet::new(4, Some(1), 0);
    fleet.run(300);
    fleet.runners[2] = Runner::default();
    fleet.stalled_version = Some(1);
    fleet.run(3000);
    assert_eq!(fleet.sidecars[2].serves_in_ms(Millis(fleet.now)), None);
}

/// Guards against needless traffic between halls, where links are expensive: two of three chunks that were
/// sent from one hall to another had been there before.
#[test]
fn chunk_enters_each_hall_about_once() {
    let mut fleet = Fleet::new(18, Some(1), 0);
    fleet.run(9000);
    fleet.fetches_between_halls = 0;
    fleet.announce(2);
    fleet.run(VERSION_MS);
    assert_eq!(fleet.versions(), BTreeMap::from([(Some(2), 18)]));
    // The origin sends each chunk to one of three halls.
    let between = fleet.fetches_between_halls;
    assert!(between <= CHUNKS * 2 * 5 / 4, "{between} chunks were sent between halls");
}

/// Guards against late orders. The store was unavailable when a version was announced, so its age was
/// unknown. Gateways stopped using the older version 1.8 s after they had learned of the new one, but the
/// sidecars, which had all chunks after 4.3 s, spread their orders over the following four seconds.
#[test]
fn runners_are_ordered_at_once_for_a_late_version_of_unknown_age() {
    let mut fleet = Fleet::with_narrow_origin(40, 742_500);
    fleet.run(5000);
    for index in 0..40 {
        fleet.deliver(index, Event::Announced { version: 2, announced_at: None, after_ms: None });
    }
    while !(0..40).all(|it| fleet.sidecars[it].held_chunks(2).is_some_and(|it| it.is_full())) {
        fleet.run(STEP_MS);
    }
    fleet.run(800);
    let held = fleet.runners_with(2);
    assert!(held >= 38, "{held} of 40 runners hold the version 0.8 s after the last chunk arrived");
}

/// The sidecar first learns of a version from a process that does not know its age.
#[test]
fn age_of_a_version_is_updated_by_a_later_report() {
    let mut fleet = Fleet::new(1, Some(1), 0);
    fleet.run(500);
    fleet.lose_every = 1;
    let announced_at = Some(Millis(fleet.now + 20));
    fleet.deliver(0, Event::Announced { version: 2, announced_at: None, after_ms: None });
    fleet.run(20);
    fleet.deliver(0, Event::Announced { version: 2, announced_at, after_ms: None });
    fleet.run(VERSION_MS - 2000);
    let now = Millis(fleet.now);
    assert_eq!(fleet.sidecars[0].reserve(now, 10), Ok(()), "its deadline is the usual one");
    fleet.run(2000);
    let now = Millis(fleet.now);
    assert_eq!(fleet.sidecars[0].reserve(now, 10), Err(Denial::NotServing));
    let deadline = announced_at.map(|it| it.0 + VERSION_MS);
    let dropped = fleet.retired.iter().map(|it| (it.1, Some(it.2) < deadline));
    assert_eq!(dropped.collect::<Vec<_>>(), [(1, true)], "it was dropped before the deadline");
}
