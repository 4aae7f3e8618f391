//! From when on nothing starts on a version that is too old.

mod support;

use fleet::Millis;
use rollout::Denial;
use support::*;

/// How long before a bound no place is given on an older version any more, in milliseconds.
const MARGIN: u64 = 900;

/// Two versions were named two seconds apart, and the second one was whole first. Runners that still held the version
/// before both were ordered to take the second one in turns that ended with its bound, up to 0.4 s behind that of the
/// first, and until then their sidecars gave places: a request could begin on a version that had been too old for a
/// while. The bound of a version was kept with the chunks that were drawn for it, and went when these were left.
/// Shown by the logs of such a day: four runners went from version 1 to version 3 behind the bound of version 2.
#[test]
fn a_version_binds_although_a_newer_one_is_taken_in_its_place() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(3000);
    fleet.name(2);
    let bound = fleet.now + VERSION_MS;
    fleet.run(1800);
    fleet.stalls = Some(2);
    fleet.name(3);
    fleet.run(bound - MARGIN - fleet.now);
    let turned = (0..20).filter(|it| fleet.sidecars[*it].wanted() == Some(3)).count();
    assert!(turned > 0, "some sidecar has turned to version 3");
    while fleet.now < bound + 2000 {
        fleet.run(STEP_MS);
        for index in 0..fleet.sidecars.len() {
            if fleet.runners[index].version != Some(1) {
                continue;
            }
            let given = fleet.sidecars[index].reserve(Millis(fleet.now), 10);
            let late = fleet.now.saturating_sub(bound);
            assert_ne!(given, Ok(()), "a place on version 1, {late} ms behind the bound");
            assert_ne!(given, Err(Denial::Full), "the version is looked at before the room");
        }
    }
}

/// The same through a word that comes late: a gateway knows that the first of two versions was named earlier than this
/// sidecar believes. Only the newest version's age was taken over.
#[test]
fn the_earliest_word_on_an_older_version_counts_after_a_newer_one_was_named() {
    let mut fleet = Fleet::new(1, Some(1), 0);
    fleet.origin_out_until = u64::MAX;
    fleet.run(3000);
    let named = fleet.now;
    fleet.run(2000);
    fleet.name(2);
    fleet.run(500);
    fleet.name(3);
    let event = rollout::Event::Named { version: 2, named_at: Some(Millis(named)), after_ms: None };
    fleet.feed(0, event);
    fleet.run(named + VERSION_MS - MARGIN - fleet.now);
    let given = fleet.sidecars[0].reserve(Millis(fleet.now), 10);
    assert_ne!(given, Ok(()), "a place on version 1 behind the bound of version 2");
}

/// A sidecar whose runner holds version 1, and that can't get any newer one.
fn sidecar_without_chunks() -> Fleet {
    let mut fleet = Fleet::new(1, Some(1), 0);
    fleet.origin_out_until = u64::MAX;
    fleet.run(500);
    fleet
}

#[test]
fn a_runner_gives_up_a_version_shortly_before_its_bound() {
    let mut fleet = sidecar_without_chunks();
    fleet.name(2);
    let bound = fleet.now + VERSION_MS;
    fleet.run(VERSION_MS - 500);
    assert!(fleet.retired.is_empty(), "requests with a place begin until then");
    fleet.run(1000);
    let [(0, 1, at)] = fleet.retired[..] else {
        panic!("{:?}", fleet.retired);
    };
    assert!(at <= bound - 200, "{at}, the bound is at {bound}");
}

#[test]
fn a_version_that_was_given_up_is_replaced_once_the_newer_one_is_whole() {
    let mut fleet = sidecar_without_chunks();
    fleet.origin_out_until = fleet.now + VERSION_MS + 1000;
    fleet.name(2);
    fleet.run(VERSION_MS);
    assert_eq!(fleet.versions().get(&None), Some(&1), "it holds a part of version 1");
    fleet.run(9000);
    assert_eq!(fleet.versions().get(&Some(2)), Some(&1));
}

#[test]
fn a_runner_that_takes_the_newer_version_in_time_gives_up_nothing() {
    let mut fleet = Fleet::new(20, Some(1), 0);
    fleet.run(3000);
    fleet.name(2);
    fleet.run(VERSION_MS + 2000);
    assert_eq!(fleet.versions().get(&Some(2)), Some(&20));
    assert_eq!(fleet.retired, []);
}

#[test]
fn nothing_is_given_up_for_a_bound_that_nobody_knows() {
    let mut fleet = sidecar_without_chunks();
    fleet.feed(0, rollout::Event::Named { version: 2, named_at: None, after_ms: None });
    fleet.run(VERSION_MS * 2);
    assert_eq!(fleet.retired, []);
    let given = fleet.sidecars[0].reserve(Millis(fleet.now), 10);
    assert_eq!(given, Err(Denial::TooOld), "but it gets nothing");
}

/// The first of two versions binds although the second one is drawn.
#[test]
fn a_runner_gives_up_a_version_by_the_first_bound_of_all_newer_ones() {
    let mut fleet = sidecar_without_chunks();
    fleet.name(2);
    let bound = fleet.now + VERSION_MS;
    fleet.run(2000);
    fleet.name(3);
    fleet.run(VERSION_MS - 2000);
    assert_eq!(fleet.retired.len(), 1);
    assert!(fleet.retired[0].2 <= bound - 200, "{:?}, the bound is at {bound}", fleet.retired);
}

/// Seen on a day with two versions in a row, after runners gave up versions for the first time: a sidecar that had every
/// chunk of the version that was given up ordered it again, gave it up again, and so on, eleven orders in four seconds.
#[test]
fn a_version_that_was_given_up_is_not_taken_again() {
    let mut fleet = Fleet::new(3, Some(1), 0);
    fleet.run(3000);
    fleet.name(2);
    fleet.run(2000);
    fleet.stalls = Some(3);
    fleet.name(3);
    fleet.run(VERSION_MS + 6000);
    let orders: Vec<u64> = fleet.orders.iter().map(|it| it.1).collect();
    assert_eq!(orders, [2, 2, 2], "each runner took version 2 once");
    let retired: Vec<u64> = fleet.retired.iter().map(|it| it.1).collect();
    assert_eq!(retired, [2, 2, 2], "and gave it up once");
}

/// Every chunk of the newer version is here, and what is put at the runner never arrives whole: an order is intended for
/// any time, and none is given.
#[test]
fn a_version_is_given_up_although_an_order_for_the_newer_one_is_intended() {
    let mut fleet = Fleet::new(3, Some(1), 0);
    fleet.spoils_staging = true;
    fleet.run(3000);
    fleet.name(2);
    let bound = fleet.now + VERSION_MS;
    fleet.run(VERSION_MS + 1000);
    assert_eq!(fleet.orders, []);
    assert_eq!(fleet.retired.len(), 3, "{:?}", fleet.retired);
    assert!(fleet.retired.iter().all(|it| it.2 < bound), "{:?} {bound}", fleet.retired);
}
