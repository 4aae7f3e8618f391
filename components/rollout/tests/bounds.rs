//! No request starts on a version after its deadline.

mod support;

use fleet::Millis;
use rollout::Denial;
use support::*;

/// How long before a deadline no more slots are granted on an older version, in milliseconds.
const START_MARGIN_MS: u64 = 900;

/// Guards against requests that start on a version after its deadline. Two versions were announced two
/// seconds apart, and the second one was complete first. Runners that still held the version before both were
/// ordered to load the second one on a schedule that ended with its deadline, up to 0.4 s after the deadline
/// of the first, and their sidecars granted slots until then. The deadline of a version was kept with its
/// chunks and was lost when the version was abandoned. Four runners switched from version 1 to version 3
/// after the deadline of version 2.
#[test]
fn deadline_of_a_version_applies_although_a_newer_one_is_loaded_instead() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(3000);
    fleet.announce(2);
    let deadline = fleet.now + VERSION_MS;
    fleet.run(1800);
    fleet.stalled_version = Some(2);
    fleet.announce(3);
    fleet.run(deadline - START_MARGIN_MS - fleet.now);
    let switching = (0..20).filter(|it| fleet.sidecars[*it].target_version() == Some(3)).count();
    assert!(switching > 0, "some sidecar fetches version 3");
    while fleet.now < deadline + 2000 {
        fleet.run(STEP_MS);
        for index in 0..fleet.sidecars.len() {
            if fleet.runners[index].version != Some(1) {
                continue;
            }
            let result = fleet.sidecars[index].reserve(Millis(fleet.now), 10);
            let late_ms = fleet.now.saturating_sub(deadline);
            assert_ne!(result, Ok(()), "a slot on version 1, {late_ms} ms after the deadline");
            assert_ne!(result, Err(Denial::Full), "the version is checked before the free slots");
        }
    }
}

/// The same failure caused by a late report: a gateway knows that the first of two versions was announced
/// earlier than this sidecar assumes. Only the age of the newest version was updated.
#[test]
fn earliest_report_on_an_older_version_applies_after_a_newer_one_was_announced() {
    let mut fleet = Fleet::new(1, Some(1), 0);
    fleet.origin_unavailable_until = u64::MAX;
    fleet.run(3000);
    let announced_at = fleet.now;
    fleet.run(2000);
    fleet.announce(2);
    fleet.run(500);
    fleet.announce(3);
    let event = rollout::Event::Announced {
        version: 2,
        announced_at: Some(Millis(announced_at)),
        after_ms: None,
    };
    fleet.deliver(0, event);
    fleet.run(announced_at + VERSION_MS - START_MARGIN_MS - fleet.now);
    let result = fleet.sidecars[0].reserve(Millis(fleet.now), 10);
    assert_ne!(result, Ok(()), "a slot on version 1 after the deadline of version 2");
}

/// A sidecar whose runner holds version 1, and that cannot fetch any newer version.
fn sidecar_without_chunks() -> Fleet {
    let mut fleet = Fleet::new(1, Some(1), 0);
    fleet.origin_unavailable_until = u64::MAX;
    fleet.run(500);
    fleet
}

#[test]
fn runner_drops_a_version_shortly_before_the_deadline() {
    let mut fleet = sidecar_without_chunks();
    fleet.announce(2);
    let deadline = fleet.now + VERSION_MS;
    fleet.run(VERSION_MS - 500);
    assert!(fleet.retired.is_empty(), "requests with a slot may start until then");
    fleet.run(1000);
    let [(0, 1, at)] = fleet.retired[..] else {
        panic!("{:?}", fleet.retired);
    };
    assert!(at <= deadline - 200, "dropped at {at}, the deadline is {deadline}");
}

#[test]
fn dropped_version_is_replaced_once_the_newer_one_is_complete() {
    let mut fleet = sidecar_without_chunks();
    fleet.origin_unavailable_until = fleet.now + VERSION_MS + 1000;
    fleet.announce(2);
    fleet.run(VERSION_MS);
    assert_eq!(fleet.versions().get(&None), Some(&1), "it holds a part of version 1");
    fleet.run(9000);
    assert_eq!(fleet.versions().get(&Some(2)), Some(&1));
}

#[test]
fn runner_that_loads_the_newer_version_in_time_drops_nothing() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(3000);
    fleet.announce(2);
    fleet.run(VERSION_MS + 2000);
    assert_eq!(fleet.versions().get(&Some(2)), Some(&20));
    assert_eq!(fleet.retired, []);
}

#[test]
fn nothing_is_dropped_for_a_version_of_unknown_age() {
    let mut fleet = sidecar_without_chunks();
    fleet.deliver(0, rollout::Event::Announced { version: 2, announced_at: None, after_ms: None });
    fleet.run(VERSION_MS * 2);
    assert_eq!(fleet.retired, []);
    let result = fleet.sidecars[0].reserve(Millis(fleet.now), 10);
    assert_eq!(result, Err(Denial::TooOld), "but no slots are granted");
}

/// The deadline of the first of two versions applies although the second one is being fetched.
#[test]
fn runner_drops_a_version_by_the_earliest_deadline_of_all_newer_ones() {
    let mut fleet = sidecar_without_chunks();
    fleet.announce(2);
    let deadline = fleet.now + VERSION_MS;
    fleet.run(2000);
    fleet.announce(3);
    fleet.run(VERSION_MS - 2000);
    assert_eq!(fleet.retired.len(), 1);
    assert!(
        fleet.retired[0].2 <= deadline - 200,
        "{:?}, the deadline is {deadline}",
        fleet.retired
    );
}

/// Guards against loading a version that was dropped. A sidecar that had all chunks of the dropped version
/// ordered it again, dropped it again, and so on: eleven orders in four seconds.
#[test]
fn dropped_version_is_not_loaded_again() {
    let mut fleet = Fleet::new(3, Some(1), 0);
    fleet.run(3000);
    fleet.announce(2);
    fleet.run(2000);
    fleet.stalled_version = Some(3);
    fleet.announce(3);
    fleet.run(VERSION_MS + 6000);
    let orders: Vec<u64> = fleet.orders.iter().map(|it| it.1).collect();
    assert_eq!(orders, [2, 2, 2], "each runner loaded version 2 once");
    let retired: Vec<u64> = fleet.retired.iter().map(|it| it.1).collect();
    assert_eq!(retired, [2, 2, 2], "and dropped it once");
}

/// All chunks of the newer version are here, but writing them to the runner always fails. So an order stays
/// pending indefinitely and is never sent.
#[test]
fn version_is_dropped_although_an_order_for_the_newer_one_is_pending() {
    let mut fleet = Fleet::new(3, Some(1), 0);
    fleet.staging_fails = true;
    fleet.run(3000);
    fleet.announce(2);
    let deadline = fleet.now + VERSION_MS;
    fleet.run(VERSION_MS + 1000);
    assert_eq!(fleet.orders, []);
    assert_eq!(fleet.retired.len(), 3, "{:?}", fleet.retired);
    assert!(fleet.retired.iter().all(|it| it.2 < deadline), "{:?} {deadline}", fleet.retired);
}
