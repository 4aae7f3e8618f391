//! Sidecars in a data hall that is evacuated: the last gate before its runners, and the first to move.

mod support;

use fleet::{Evacuation, EvacuationList, Millis};
use rollout::*;
use support::*;

/// How long after its acknowledgement places are still given in a hall, with the bound of the tests.
const LEAVING_MS: u64 = 3000;

fn told(revision: u64, halls: &[(&str, Option<u64>)]) -> Event {
    let evacuation =
        |(hall, age_ms): &(&str, Option<u64>)| Evacuation { hall: (*hall).into(), age_ms: *age_ms };
    let evacuated = halls.iter().map(evacuation).collect();
    Event::Evacuations(EvacuationList { place: revision.into(), evacuated })
}

fn tell_all(fleet: &mut Fleet, list: &Event) {
    (0..fleet.sidecars.len()).for_each(|index| fleet.feed(index, list.clone()));
}

/// Sidecars 0, 3, 6, ... stand in the hall `h0`.
fn is_in_h0(index: usize) -> bool {
    index.is_multiple_of(3)
}

fn reserve(fleet: &mut Fleet, index: usize) -> Result<(), Denial> {
    let now = Millis(fleet.now);
    fleet.sidecars[index].reserve(now, 10)
}

#[test]
fn a_sidecar_gives_no_place_once_its_hall_is_left_whatever_its_asker_knows() {
    let mut fleet = Fleet::new(6, Some(1), 0);
    fleet.run(500);
    tell_all(&mut fleet, &told(10, &[("h0", Some(0))]));
    assert_eq!(reserve(&mut fleet, 0), Ok(()), "there is time yet");
    fleet.run(LEAVING_MS);
    assert_eq!(reserve(&mut fleet, 0), Err(Denial::Evacuated));
    assert_eq!(reserve(&mut fleet, 1), Ok(()), "other halls serve on");
    assert_eq!(fleet.sidecars[0].serves_in_ms(Millis(fleet.now)), None);
}

#[test]
fn questions_that_wait_are_answered_at_once() {
    let mut fleet = Fleet::new(3, Some(1), 0);
    fleet.runners[0].running = plan().slots;
    fleet.run(500);
    let asker = address(9);
    let question = |number| Question {
        asker,
        number,
        request: "q".into(),
        prompt_tokens: 10,
        rank: 1,
        left_ms: 400,
        wait_ms: 500,
    };
    let now = Millis(fleet.now);
    for number in 1..4 {
        let asked = fleet.sidecars[0].reduce(now, Event::Asked(question(number)));
        assert_eq!(asked, [Effect::Answer(question(number), Verdict::Queued)]);
    }
    let effects = fleet.sidecars[0].reduce(now, told(10, &[("h0", None)]));
    let denied = |it: &&Effect| match it {
        Effect::Answer(_, Verdict::Denied { denial, .. }) => *denial == Denial::Evacuated,
        _ => false,
    };
    assert_eq!(effects.iter().filter(denied).count(), 3);
    assert_eq!(fleet.sidecars[0].waiting(), 0);
}

#[test]
fn a_hall_that_is_taken_back_gives_places_at_once() {
    let mut fleet = Fleet::new(3, Some(1), 0);
    fleet.run(500);
    tell_all(&mut fleet, &told(10, &[("h0", None)]));
    assert_eq!(reserve(&mut fleet, 0), Err(Denial::Evacuated));
    tell_all(&mut fleet, &told(20, &[]));
    assert_eq!(reserve(&mut fleet, 0), Ok(()));
}

#[test]
fn a_gateway_without_news_does_not_take_a_hall_back_and_hears_the_newer_list() {
    let mut fleet = Fleet::new(3, Some(1), 0);
    fleet.run(500);
    fleet.feed(0, told(20, &[("h0", None)]));
    fleet.feed(0, told(10, &[]));
    assert_eq!(reserve(&mut fleet, 0), Err(Denial::Evacuated));
    let list = fleet.sidecars[0].evacuations().list(Millis(fleet.now));
    assert_eq!((list.place.revision, list.evacuated.len()), (20, 1));
}

#[test]
fn runners_of_an_evacuated_hall_take_a_version_first() {
    let mut fleet = Fleet::new(12, Some(1), 0);
    fleet.run(9000);
    tell_all(&mut fleet, &told(10, &[("h0", None)]));
    fleet.name(2);
    fleet.run(VERSION_MS);
    assert_eq!(fleet.holders(2), 12);
    let first: Vec<usize> = fleet.orders.iter().map(|it| it.0).filter(|it| is_in_h0(*it)).collect();
    assert_eq!(first.len(), 4);
    let last_here = fleet.orders.iter().filter(|it| is_in_h0(it.0)).map(|it| it.2).max();
    let first_elsewhere = fleet.orders.iter().filter(|it| !is_in_h0(it.0)).map(|it| it.2).min();
    let (last_here, first_elsewhere) = (last_here.unwrap(), first_elsewhere.unwrap());
    assert!(last_here <= first_elsewhere + 500, "{last_here} after {first_elsewhere}");
}

#[test]
fn an_evacuation_during_a_spread_ends_the_wait_for_a_turn() {
    let mut fleet = Fleet::new(12, Some(1), 0);
    fleet.run(9000);
    fleet.name(2);
    while !(0..12).all(|index| fleet.sidecars[index].have(2).is_some_and(|it| it.is_full())) {
        fleet.run(100);
    }
    let before = fleet.orders.len();
    assert!(before < 12, "some wait for their turn");
    let at = fleet.now;
    tell_all(&mut fleet, &told(10, &[("h0", None)]));
    fleet.run(300);
    let ordered = |index: usize| fleet.orders.iter().any(|it| it.0 == index);
    assert!((0..12).filter(|it| is_in_h0(*it)).all(ordered), "not ordered 300 ms after {at}");
}

/// Chunks that leave the origin until a runner that lost its weights has them again.
fn origin_chunks_for_an_empty_runner(list: &Event) -> u32 {
    let mut fleet = Fleet::new(6, Some(1), 0);
    fleet.run(9000);
    tell_all(&mut fleet, list);
    let before = fleet.origin_chunks;
    fleet.runners[1] = Runner::default();
    fleet.run(6000);
    assert_eq!(fleet.holders(1), 6);
    fleet.origin_chunks - before
}

#[test]
fn sidecars_of_an_evacuated_hall_go_on_giving_chunks() {
    let evacuated = origin_chunks_for_an_empty_runner(&told(10, &[("h0", None)]));
    let usual = origin_chunks_for_an_empty_runner(&told(10, &[]));
    assert_eq!(evacuated, usual);
}

#[test]
fn a_bound_that_becomes_shorter_counts_for_a_hall_that_is_being_left() {
    let mut fleet = Fleet::new(3, Some(1), 0);
    fleet.run(500);
    tell_all(&mut fleet, &told(10, &[("h0", Some(1000))]));
    assert_eq!(reserve(&mut fleet, 0), Ok(()));
    fleet.feed(0, Event::Bounded { version_ms: VERSION_MS, evacuate_ms: Some(2000) });
    assert_eq!(reserve(&mut fleet, 0), Err(Denial::Evacuated));
}
