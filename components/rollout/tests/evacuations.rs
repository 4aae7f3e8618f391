//! Sidecars in an evacuated data hall: they deny reservations, and their runners switch versions first.

mod support;

use fleet::{Evacuation, EvacuationList, Millis};
use rollout::*;
use support::*;

/// How long after the acknowledgement slots are still granted in a hall, with the deadline of these tests.
const GRADUAL_MS: u64 = 3000;

fn evacuation_list(revision: u64, halls: &[(&str, Option<u64>)]) -> Event {
    let evacuation =
        |(hall, age_ms): &(&str, Option<u64>)| Evacuation { hall: (*hall).into(), age_ms: *age_ms };
    let evacuated = halls.iter().map(evacuation).collect();
    Event::Evacuations(EvacuationList { place: revision.into(), evacuated })
}

fn deliver_to_all(fleet: &mut Fleet, list: &Event) {
    (0..fleet.sidecars.len()).for_each(|index| fleet.deliver(index, list.clone()));
}

/// Sidecars 0, 3, 6, ... are in hall `h0`.
fn is_in_h0(index: usize) -> bool {
    index.is_multiple_of(3)
}

fn reserve(fleet: &mut Fleet, index: usize) -> Result<(), Denial> {
    let now = Millis(fleet.now);
    fleet.sidecars[index].reserve(now, 10)
}

#[test]
fn sidecar_denies_slots_after_the_evacuation_regardless_of_the_gateway() {
    let mut fleet = Fleet::new(6, Some(1), 0);
    fleet.run(500);
    deliver_to_all(&mut fleet, &evacuation_list(10, &[("h0", Some(0))]));
    assert_eq!(reserve(&mut fleet, 0), Ok(()), "requests may still be sent to the hall");
    fleet.run(GRADUAL_MS);
    assert_eq!(reserve(&mut fleet, 0), Err(Denial::Evacuated));
    assert_eq!(reserve(&mut fleet, 1), Ok(()), "other halls continue to serve");
    assert_eq!(fleet.sidecars[0].serves_in_ms(Millis(fleet.now)), None);
}

#[test]
fn queued_requests_are_denied_at_once_when_the_hall_is_evacuated() {
    let mut fleet = Fleet::new(3, Some(1), 0);
    fleet.runners[0].running = plan().slots;
    fleet.run(500);
    let asker = address(9);
    let reservation = |number| ReservationRequest {
        asker,
        number,
        request: "q".into(),
        prompt_tokens: 10,
        rank: 1,
        target_left_ms: 400,
        max_wait_ms: 500,
        pinned_ms: None,
    };
    let now = Millis(fleet.now);
    for number in 1..4 {
        let asked = fleet.sidecars[0].reduce(now, Event::ReservationRequested(reservation(number)));
        assert_eq!(asked, [Effect::Answer(reservation(number), ReservationReply::Queued)]);
    }
    let effects = fleet.sidecars[0].reduce(now, evacuation_list(10, &[("h0", None)]));
    let denied = |it: &&Effect| match it {
        Effect::Answer(_, ReservationReply::Denied { denial, .. }) => *denial == Denial::Evacuated,
        _ => false,
    };
    assert_eq!(effects.iter().filter(denied).count(), 3);
    assert_eq!(fleet.sidecars[0].queued_requests(), 0);
}

#[test]
fn slots_are_granted_at_once_after_the_end_of_an_evacuation() {
    let mut fleet = Fleet::new(3, Some(1), 0);
    fleet.run(500);
    deliver_to_all(&mut fleet, &evacuation_list(10, &[("h0", None)]));
    assert_eq!(reserve(&mut fleet, 0), Err(Denial::Evacuated));
    deliver_to_all(&mut fleet, &evacuation_list(20, &[]));
    assert_eq!(reserve(&mut fleet, 0), Ok(()));
}

#[test]
fn outdated_list_does_not_end_an_evacuation_and_the_newer_list_is_reported() {
    let mut fleet = Fleet::new(3, Some(1), 0);
    fleet.run(500);
    fleet.deliver(0, evacuation_list(20, &[("h0", None)]));
    fleet.deliver(0, evacuation_list(10, &[]));
    assert_eq!(reserve(&mut fleet, 0), Err(Denial::Evacuated));
    let list = fleet.sidecars[0].evacuations().list(Millis(fleet.now));
    assert_eq!((list.place.revision, list.evacuated.len()), (20, 1));
}

#[test]
fn runners_in_an_evacuated_hall_switch_first() {
    let mut fleet = Fleet::new(12, Some(1), 0);
    fleet.run(9000);
    deliver_to_all(&mut fleet, &evacuation_list(10, &[("h0", None)]));
    fleet.announce(2);
    fleet.run(VERSION_MS);
    assert_eq!(fleet.runners_with(2), 12);
    let first: Vec<usize> = fleet.orders.iter().map(|it| it.0).filter(|it| is_in_h0(*it)).collect();
    assert_eq!(first.len(), 4);
    let last_here = fleet.orders.iter().filter(|it| is_in_h0(it.0)).map(|it| it.2).max();
    let first_elsewhere = fleet.orders.iter().filter(|it| !is_in_h0(it.0)).map(|it| it.2).min();
    let (last_here, first_elsewhere) = (last_here.unwrap(), first_elsewhere.unwrap());
    assert!(last_here <= first_elsewhere + 500, "{last_here} after {first_elsewhere}");
}

#[test]
fn evacuation_ends_the_wait_for_the_scheduled_order() {
    let mut fleet = Fleet::new(12, Some(1), 0);
    fleet.run(9000);
    fleet.announce(2);
    while !(0..12).all(|index| fleet.sidecars[index].held_chunks(2).is_some_and(|it| it.is_full()))
    {
        fleet.run(100);
    }
    let before = fleet.orders.len();
    assert!(before < 12, "some runners have not been ordered yet");
    let at = fleet.now;
    deliver_to_all(&mut fleet, &evacuation_list(10, &[("h0", None)]));
    fleet.run(300);
    let ordered = |index: usize| fleet.orders.iter().any(|it| it.0 == index);
    assert!((0..12).filter(|it| is_in_h0(*it)).all(ordered), "not ordered 300 ms after {at}");
}

/// Number of chunks that leave the origin until a runner that lost its weights has them again.
fn origin_chunks_for_an_empty_runner(list: &Event) -> u32 {
    let mut fleet = Fleet::new(6, Some(1), 0);
    fleet.run(9000);
    deliver_to_all(&mut fleet, list);
    let before = fleet.origin_chunks;
    fleet.runners[1] = Runner::default();
    fleet.run(6000);
    assert_eq!(fleet.runners_with(1), 6);
    fleet.origin_chunks - before
}

#[test]
fn sidecars_in_an_evacuated_hall_continue_to_provide_chunks() {
    let evacuated = origin_chunks_for_an_empty_runner(&evacuation_list(10, &[("h0", None)]));
    let not_evacuated = origin_chunks_for_an_empty_runner(&evacuation_list(10, &[]));
    assert_eq!(evacuated, not_evacuated);
}

#[test]
fn shorter_deadline_applies_to_an_evacuation_in_progress() {
    let mut fleet = Fleet::new(3, Some(1), 0);
    fleet.run(500);
    deliver_to_all(&mut fleet, &evacuation_list(10, &[("h0", Some(1000))]));
    assert_eq!(reserve(&mut fleet, 0), Ok(()));
    fleet.deliver(0, Event::DeadlinesChanged { version_ms: VERSION_MS, evacuate_ms: Some(2000) });
    assert_eq!(reserve(&mut fleet, 0), Err(Denial::Evacuated));
}
