//! Evacuated data halls: until when requests are sent there, and which reports about evacuations
//! are accepted.

mod support;

use errors::Code;
use fleet::{Ablation, Evacuation, EvacuationChange, EvacuationList, Mechanism};
use gateway::*;
use support::*;

const STREAM: RouteKind = RouteKind::Stream { resumable: true };
/// The evacuation bound in the tests, and how long requests are still sent to a data hall whose
/// evacuation has just become known, in milliseconds.
const EVACUATE_MS: u64 = 5000;
const LEAVING_MS: u64 = 3000;

fn fixture_with(ablation: Ablation) -> Fixture {
    let mut fixture = Fixture::new();
    let options = GatewayOptions { evacuate_ms: Some(EVACUATE_MS), ablation, ..options() };
    fixture.gateway = Gateway::new(options);
    fixture.feed(Event::Configured(catalog(1)));
    fixture
}

/// A gateway with a plain runner in each of two data halls.
fn fixture() -> Fixture {
    let mut fixture = fixture_with(Ablation::default());
    list_in_hall(&mut fixture, "near", "a", 1);
    list_in_hall(&mut fixture, "far", "b", 2);
    fixture
}

fn list_in_hall(fixture: &mut Fixture, id: &str, hall: &str, port: u16) {
    let record = RunnerRecord { hall: hall.into(), ..record(id, PLAIN_SERVICE, port) };
    fixture.feed(Event::Listed(record));
}

fn evacuation_list(revision: u64, halls: &[(&str, Option<u64>)]) -> Event {
    let evacuation =
        |(hall, age_ms): &(&str, Option<u64>)| Evacuation { hall: (*hall).into(), age_ms: *age_ms };
    let evacuated = halls.iter().map(evacuation).collect();
    Event::Evacuations(EvacuationList { place: revision.into(), evacuated })
}

fn send_request(fixture: &mut Fixture, key: u64) -> Option<NextStep> {
    fixture.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe))
}

fn refusal(step: Option<NextStep>) -> (Code, u64) {
    match step {
        Some(NextStep::Refuse { code, retry_after_ms, .. }) => (code, retry_after_ms),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn an_evacuated_hall_is_used_as_a_last_resort_before_nothing_is_sent_there() {
    let mut fixture = fixture();
    assert_eq!(sent_to(send_request(&mut fixture, 1)), "near".into());
    fixture.feed(evacuation_list(10, &[("a", Some(0))]));
    assert_eq!(sent_to(send_request(&mut fixture, 2)), "near".into(), "the hall is still in use");
    fixture.now += LEAVING_MS / 2;
    assert_eq!(
        sent_to(send_request(&mut fixture, 3)),
        "far".into(),
        "other halls are preferred by now"
    );
    for key in 4..7 {
        assert_eq!(sent_to(send_request(&mut fixture, key)), "far".into());
    }
    assert_eq!(sent_to(send_request(&mut fixture, 7)), "near".into(), "the other halls are full");
    fixture.now += LEAVING_MS / 2;
    assert_eq!(send_request(&mut fixture, 8), None, "nothing is sent to the hall any more");
}

#[test]
fn an_evacuation_of_unknown_age_stops_requests_at_once() {
    let mut fixture = fixture();
    fixture.feed(evacuation_list(10, &[("a", None)]));
    assert_eq!(sent_to(send_request(&mut fixture, 1)), "far".into());
}

#[test]
fn without_gradual_evacuation_nothing_is_sent_to_an_evacuated_hall() {
    let mut fixture = fixture_with(Ablation::without([Mechanism::EvenLeaving]));
    list_in_hall(&mut fixture, "near", "a", 1);
    list_in_hall(&mut fixture, "far", "b", 2);
    fixture.feed(evacuation_list(10, &[("a", Some(0))]));
    assert_eq!(sent_to(send_request(&mut fixture, 1)), "far".into());
}

#[test]
fn a_request_is_not_sent_to_its_selected_runner_after_the_hall_was_evacuated() {
    let mut fixture = fixture();
    fixture.feed(evacuation_list(10, &[("a", Some(0))]));
    assert_eq!(sent_to(send_request(&mut fixture, 1)), "near".into());
    assert!(fixture.gateway.may_send(fleet::Millis(fixture.now), RequestKey(1)));
    // No event arrives meanwhile, because the process was stopped.
    fixture.now += LEAVING_MS;
    assert!(!fixture.gateway.may_send(fleet::Millis(fixture.now), RequestKey(1)));
    assert_eq!(sent_to(fixture.outcome(1, AttemptOutcome::Withdrawn)), "far".into());
}

#[test]
fn a_resumed_stream_is_sent_to_another_hall() {
    let mut fixture = fixture_with(Ablation::default());
    for (id, hall, port) in [("near", "a", 1), ("far", "b", 2), ("other", "a", 3)] {
        let record = RunnerRecord { hall: hall.into(), ..record(id, MODEL_SERVICE, port) };
        fixture.feed(Event::Listed(record));
    }
    let first = sent_to(fixture.arrive(arrival(1, MODEL_SERVICE, STREAM)));
    assert_ne!(first, "far".into());
    fixture.outcome(1, AttemptOutcome::Answered);
    fixture.feed(evacuation_list(10, &[("a", None)]));
    assert_eq!(sent_to(fixture.outcome(1, AttemptOutcome::Cut)), "far".into());
}

#[test]
fn two_evacuations_at_once_leave_the_third_hall() {
    let mut fixture = fixture();
    list_in_hall(&mut fixture, "third", "c", 3);
    fixture.feed(evacuation_list(10, &[("a", None), ("b", None)]));
    for key in 1..4 {
        assert_eq!(sent_to(send_request(&mut fixture, key)), "third".into());
    }
}

#[test]
fn evacuating_another_hall_instead_reopens_the_first() {
    let mut fixture = fixture();
    fixture.feed(evacuation_list(10, &[("a", None)]));
    assert_eq!(sent_to(send_request(&mut fixture, 1)), "far".into());
    fixture.feed(evacuation_list(20, &[("b", None)]));
    assert_eq!(sent_to(send_request(&mut fixture, 2)), "near".into());
}

#[test]
fn a_hall_that_is_evacuated_a_second_time_receives_nothing_again() {
    let mut fixture = fixture();
    fixture.feed(evacuation_list(10, &[("a", Some(0))]));
    fixture.now += LEAVING_MS;
    fixture.feed(evacuation_list(20, &[]));
    assert_eq!(
        sent_to(send_request(&mut fixture, 1)),
        "near".into(),
        "the hall is used as normal at once"
    );
    fixture.feed(evacuation_list(30, &[("a", Some(0))]));
    assert_eq!(
        sent_to(send_request(&mut fixture, 2)),
        "near".into(),
        "the second evacuation has its own bound"
    );
    fixture.now += LEAVING_MS;
    assert_eq!(sent_to(send_request(&mut fixture, 3)), "far".into());
}

#[test]
fn waiting_requests_are_sent_as_soon_as_an_evacuation_ends() {
    let mut fixture = fixture_with(Ablation::default());
    list_in_hall(&mut fixture, "near", "a", 1);
    list_in_hall(&mut fixture, "far", "b", 2);
    fixture.feed(evacuation_list(10, &[("a", None)]));
    for key in 1..5 {
        assert_eq!(sent_to(send_request(&mut fixture, key)), "far".into());
    }
    assert_eq!(send_request(&mut fixture, 5), None, "it waits for a slot");
    assert_eq!(sent_to(fixture.step(5, evacuation_list(20, &[]))), "near".into());
}

#[test]
fn callers_are_refused_at_once_if_every_hall_is_evacuated() {
    let mut fixture = fixture();
    fixture.feed(evacuation_list(10, &[("a", None), ("b", None)]));
    let (code, retry_after_ms) = refusal(send_request(&mut fixture, 1));
    assert_eq!(code, Code::Withdrawn);
    assert!((250..=2000).contains(&retry_after_ms), "{retry_after_ms}");
}

#[test]
fn a_retry_without_any_remaining_hall_is_refused_at_once() {
    let mut fixture = fixture();
    assert_eq!(sent_to(send_request(&mut fixture, 1)), "near".into());
    fixture.feed(evacuation_list(10, &[("a", None), ("b", None)]));
    assert_eq!(refusal(fixture.outcome(1, AttemptOutcome::NotSent)).0, Code::Withdrawn);
}

#[test]
fn the_only_hall_of_a_service_counts_as_all_of_them() {
    let mut fixture = fixture_with(Ablation::default());
    let record = RunnerRecord { hall: "b".into(), ..record("m", MODEL_SERVICE, 1) };
    fixture.feed(Event::Listed(record));
    fixture.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(1, 0)));
    fixture.feed(evacuation_list(10, &[("b", None)]));
    let step = fixture.arrive(arrival(1, MODEL_SERVICE, STREAM));
    assert_eq!(refusal(step).0, Code::Withdrawn);
}

#[test]
fn callers_bound_to_a_home_whose_last_hall_is_evacuated_are_refused_at_once() {
    let mut fixture = fixture();
    fixture.feed(evacuation_list(10, &[("b", None)]));
    let mut bound = arrival(1, PLAIN_SERVICE, RouteKind::Safe);
    bound.homes = fleet::HomeRegions::only(["south".into()]);
    assert_eq!(refusal(fixture.arrive(bound)).0, Code::NoHome);
}

#[test]
fn an_older_evacuation_list_is_ignored_from_any_sender() {
    let mut fixture = fixture();
    fixture.feed(evacuation_list(20, &[("a", None)]));
    fixture.feed(evacuation_list(10, &[]));
    assert_eq!(
        sent_to(send_request(&mut fixture, 1)),
        "far".into(),
        "an older list does not end the evacuation"
    );
    fixture.feed(evacuation_list(30, &[]));
    fixture.feed(evacuation_list(20, &[("a", None)]));
    assert_eq!(
        sent_to(send_request(&mut fixture, 2)),
        "near".into(),
        "an older list does not start the evacuation again"
    );
}

#[test]
fn an_evacuation_remains_in_force_without_further_reports() {
    let mut fixture = fixture();
    fixture.feed(evacuation_list(10, &[("a", Some(0))]));
    fixture.now += 3_600_000;
    assert_eq!(sent_to(send_request(&mut fixture, 1)), "far".into());
}

#[test]
fn an_age_known_to_another_process_is_used_and_the_earliest_start_of_two() {
    let mut fixture = fixture();
    fixture.feed(evacuation_list(10, &[("a", Some(0))]));
    fixture.feed(evacuation_list(10, &[("a", Some(LEAVING_MS - 100))]));
    fixture.now += 100;
    assert_eq!(sent_to(send_request(&mut fixture, 1)), "far".into());
    fixture.feed(evacuation_list(10, &[("a", None)]));
    fixture.feed(evacuation_list(10, &[("a", Some(0))]));
    assert_eq!(sent_to(send_request(&mut fixture, 2)), "far".into());
}

#[test]
fn a_gateway_that_starts_during_an_evacuation_sends_nothing_to_the_hall() {
    let mut fixture = fixture_with(Ablation::default());
    fixture.feed(evacuation_list(40, &[("a", None)]));
    list_in_hall(&mut fixture, "near", "a", 1);
    list_in_hall(&mut fixture, "far", "b", 2);
    assert_eq!(sent_to(send_request(&mut fixture, 1)), "far".into());
}

#[test]
fn each_evacuation_change_is_reported_once() {
    let mut fixture = fixture();
    let list = evacuation_list(10, &[("a", Some(0))]);
    let began = fixture.feed(list.clone());
    assert!(matches!(began[..], [Effect::Evacuation(EvacuationChange::Began { .. })]));
    assert_eq!(fixture.feed(list), []);
    let ended = fixture.feed(evacuation_list(11, &[]));
    assert!(matches!(ended[..], [Effect::Evacuation(EvacuationChange::Ended { .. })]));
}

#[test]
fn a_shorter_bound_applies_to_a_running_evacuation() {
    let mut fixture = fixture();
    fixture.feed(evacuation_list(10, &[("a", Some(500))]));
    assert_eq!(sent_to(send_request(&mut fixture, 1)), "near".into());
    fixture.feed(Event::OptionsChanged(GatewayOptions { evacuate_ms: Some(1500), ..options() }));
    assert_eq!(sent_to(send_request(&mut fixture, 2)), "far".into());
}
