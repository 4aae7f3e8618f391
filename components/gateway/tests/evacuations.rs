//! Data halls that are evacuated: until when requests go there, and who is believed about it.

mod support;

use errors::Code;
use fleet::{Ablation, Evacuation, EvacuationChange, EvacuationList, Mechanism};
use gateway::*;
use support::*;

const STREAM: RouteKind = RouteKind::Stream { resumable: true };
/// The bound of the tests, and how long requests still go to a hall that is known to be evacuated just now.
const EVACUATE_MS: u64 = 5000;
const LEAVING_MS: u64 = 3000;

fn bed_with(ablation: Ablation) -> Bed {
    let mut bed = Bed::new();
    let options = GatewayOptions { evacuate_ms: Some(EVACUATE_MS), ablation, ..options() };
    bed.gateway = Gateway::new(options);
    bed.feed(Event::Configured(catalog(1)));
    bed
}

/// A gateway with a plain runner in each of two halls.
fn bed() -> Bed {
    let mut bed = bed_with(Ablation::default());
    list_in(&mut bed, "near", "a", 1);
    list_in(&mut bed, "far", "b", 2);
    bed
}

fn list_in(bed: &mut Bed, id: &str, hall: &str, port: u16) {
    let record = RunnerRecord { hall: hall.into(), ..record(id, PLAIN_SERVICE, port) };
    bed.feed(Event::Listed(record));
}

fn told(revision: u64, halls: &[(&str, Option<u64>)]) -> Event {
    let evacuation =
        |(hall, age_ms): &(&str, Option<u64>)| Evacuation { hall: (*hall).into(), age_ms: *age_ms };
    let evacuated = halls.iter().map(evacuation).collect();
    Event::Evacuations(EvacuationList { place: revision.into(), evacuated })
}

fn call(bed: &mut Bed, key: u64) -> Option<NextStep> {
    bed.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe))
}

fn refusal_of(step: Option<NextStep>) -> (Code, u64) {
    match step {
        Some(NextStep::Refuse { code, retry_after_ms, .. }) => (code, retry_after_ms),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn a_hall_becomes_a_last_resort_before_nothing_goes_there() {
    let mut bed = bed();
    assert_eq!(sent_to(call(&mut bed, 1)), "near".into());
    bed.feed(told(10, &[("a", Some(0))]));
    assert_eq!(sent_to(call(&mut bed, 2)), "near".into(), "it is not left yet");
    bed.now += LEAVING_MS / 2;
    assert_eq!(sent_to(call(&mut bed, 3)), "far".into(), "others come first by now");
    for key in 4..7 {
        assert_eq!(sent_to(call(&mut bed, key)), "far".into());
    }
    assert_eq!(sent_to(call(&mut bed, 7)), "near".into(), "where the others have no room");
    bed.now += LEAVING_MS / 2;
    assert_eq!(call(&mut bed, 8), None, "it has been left");
}

#[test]
fn an_evacuation_of_unknown_age_is_left_at_once() {
    let mut bed = bed();
    bed.feed(told(10, &[("a", None)]));
    assert_eq!(sent_to(call(&mut bed, 1)), "far".into());
}

#[test]
fn where_halls_are_left_at_once_nothing_goes_there() {
    let mut bed = bed_with(Ablation::without([Mechanism::EvenLeaving]));
    list_in(&mut bed, "near", "a", 1);
    list_in(&mut bed, "far", "b", 2);
    bed.feed(told(10, &[("a", Some(0))]));
    assert_eq!(sent_to(call(&mut bed, 1)), "far".into());
}

#[test]
fn a_request_that_was_chosen_before_is_not_sent_after_the_hall_was_left() {
    let mut bed = bed();
    bed.feed(told(10, &[("a", Some(0))]));
    assert_eq!(sent_to(call(&mut bed, 1)), "near".into());
    assert!(bed.gateway.may_send(fleet::Millis(bed.now), RequestKey(1)));
    // No event comes meanwhile: the process stood still.
    bed.now += LEAVING_MS;
    assert!(!bed.gateway.may_send(fleet::Millis(bed.now), RequestKey(1)));
    assert_eq!(sent_to(bed.outcome(1, AttemptOutcome::Withdrawn)), "far".into());
}

#[test]
fn a_stream_that_is_resumed_goes_elsewhere() {
    let mut bed = bed_with(Ablation::default());
    for (id, hall, port) in [("near", "a", 1), ("far", "b", 2), ("other", "a", 3)] {
        let record = RunnerRecord { hall: hall.into(), ..record(id, MODEL_SERVICE, port) };
        bed.feed(Event::Listed(record));
    }
    let first = sent_to(bed.arrive(arrival(1, MODEL_SERVICE, STREAM)));
    assert_ne!(first, "far".into());
    bed.outcome(1, AttemptOutcome::Answered);
    bed.feed(told(10, &[("a", None)]));
    assert_eq!(sent_to(bed.outcome(1, AttemptOutcome::Cut)), "far".into());
}

#[test]
fn two_halls_at_once_leave_the_third() {
    let mut bed = bed();
    list_in(&mut bed, "third", "c", 3);
    bed.feed(told(10, &[("a", None), ("b", None)]));
    for key in 1..4 {
        assert_eq!(sent_to(call(&mut bed, key)), "third".into());
    }
}

#[test]
fn one_hall_in_series_with_another_opens_the_first_again() {
    let mut bed = bed();
    bed.feed(told(10, &[("a", None)]));
    assert_eq!(sent_to(call(&mut bed, 1)), "far".into());
    bed.feed(told(20, &[("b", None)]));
    assert_eq!(sent_to(call(&mut bed, 2)), "near".into());
}

#[test]
fn a_hall_that_was_taken_back_and_is_evacuated_again_is_left_again() {
    let mut bed = bed();
    bed.feed(told(10, &[("a", Some(0))]));
    bed.now += LEAVING_MS;
    bed.feed(told(20, &[]));
    assert_eq!(sent_to(call(&mut bed, 1)), "near".into(), "at normal choice at once");
    bed.feed(told(30, &[("a", Some(0))]));
    assert_eq!(sent_to(call(&mut bed, 2)), "near".into(), "the second one has its own bound");
    bed.now += LEAVING_MS;
    assert_eq!(sent_to(call(&mut bed, 3)), "far".into());
}

#[test]
fn what_waits_is_sent_as_soon_as_a_hall_is_taken_back() {
    let mut bed = bed_with(Ablation::default());
    list_in(&mut bed, "near", "a", 1);
    list_in(&mut bed, "far", "b", 2);
    bed.feed(told(10, &[("a", None)]));
    for key in 1..5 {
        assert_eq!(sent_to(call(&mut bed, key)), "far".into());
    }
    assert_eq!(call(&mut bed, 5), None, "it waits for a place");
    assert_eq!(sent_to(bed.step(5, told(20, &[]))), "near".into());
}

#[test]
fn where_every_hall_is_evacuated_callers_are_refused_at_once() {
    let mut bed = bed();
    bed.feed(told(10, &[("a", None), ("b", None)]));
    let (code, retry_after_ms) = refusal_of(call(&mut bed, 1));
    assert_eq!(code, Code::Withdrawn);
    assert!((250..=2000).contains(&retry_after_ms), "{retry_after_ms}");
}

#[test]
fn a_second_try_that_no_hall_is_left_for_is_refused_at_once() {
    let mut bed = bed();
    assert_eq!(sent_to(call(&mut bed, 1)), "near".into());
    bed.feed(told(10, &[("a", None), ("b", None)]));
    assert_eq!(refusal_of(bed.outcome(1, AttemptOutcome::NotSent)).0, Code::Withdrawn);
}

#[test]
fn the_only_hall_of_a_service_counts_as_all_of_them() {
    let mut bed = bed_with(Ablation::default());
    let record = RunnerRecord { hall: "b".into(), ..record("m", MODEL_SERVICE, 1) };
    bed.feed(Event::Listed(record));
    bed.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(1, 0)));
    bed.feed(told(10, &[("b", None)]));
    let step = bed.arrive(arrival(1, MODEL_SERVICE, STREAM));
    assert_eq!(refusal_of(step).0, Code::Withdrawn);
}

#[test]
fn callers_bound_to_a_home_whose_last_hall_is_evacuated_are_refused_at_once() {
    let mut bed = bed();
    bed.feed(told(10, &[("b", None)]));
    let mut bound = arrival(1, PLAIN_SERVICE, RouteKind::Safe);
    bound.homes = fleet::HomeRegions::only(["south".into()]);
    assert_eq!(refusal_of(bed.arrive(bound)).0, Code::NoHome);
}

#[test]
fn an_older_list_is_never_believed_whoever_tells_it() {
    let mut bed = bed();
    bed.feed(told(20, &[("a", None)]));
    bed.feed(told(10, &[]));
    assert_eq!(sent_to(call(&mut bed, 1)), "far".into(), "an old word does not take it back");
    bed.feed(told(30, &[]));
    bed.feed(told(20, &[("a", None)]));
    assert_eq!(sent_to(call(&mut bed, 2)), "near".into(), "nor does it evacuate it again");
}

#[test]
fn without_news_an_evacuation_is_believed_on() {
    let mut bed = bed();
    bed.feed(told(10, &[("a", Some(0))]));
    bed.now += 3_600_000;
    assert_eq!(sent_to(call(&mut bed, 1)), "far".into());
}

#[test]
fn an_age_that_another_process_knows_is_believed_and_the_earliest_of_two() {
    let mut bed = bed();
    bed.feed(told(10, &[("a", Some(0))]));
    bed.feed(told(10, &[("a", Some(LEAVING_MS - 100))]));
    bed.now += 100;
    assert_eq!(sent_to(call(&mut bed, 1)), "far".into());
    bed.feed(told(10, &[("a", None)]));
    bed.feed(told(10, &[("a", Some(0))]));
    assert_eq!(sent_to(call(&mut bed, 2)), "far".into());
}

#[test]
fn a_gateway_that_starts_in_the_middle_leaves_the_hall_at_once() {
    let mut bed = bed_with(Ablation::default());
    bed.feed(told(40, &[("a", None)]));
    list_in(&mut bed, "near", "a", 1);
    list_in(&mut bed, "far", "b", 2);
    assert_eq!(sent_to(call(&mut bed, 1)), "far".into());
}

#[test]
fn a_change_is_told_once() {
    let mut bed = bed();
    let list = told(10, &[("a", Some(0))]);
    let began = bed.feed(list.clone());
    assert!(matches!(began[..], [Effect::Evacuation(EvacuationChange::Began { .. })]));
    assert_eq!(bed.feed(list), []);
    let ended = bed.feed(told(11, &[]));
    assert!(matches!(ended[..], [Effect::Evacuation(EvacuationChange::Ended { .. })]));
}

#[test]
fn a_bound_that_becomes_shorter_counts_for_a_hall_that_is_being_left() {
    let mut bed = bed();
    bed.feed(told(10, &[("a", Some(500))]));
    assert_eq!(sent_to(call(&mut bed, 1)), "near".into());
    bed.feed(Event::Bounded(GatewayOptions { evacuate_ms: Some(1500), ..options() }));
    assert_eq!(sent_to(call(&mut bed, 2)), "far".into());
}
