//! Detection of data halls that do not respond.

mod support;

use fleet::InstanceId;
use gateway::*;
use support::*;

/// Idle runners 1 to 4 in hall `a`, where the gateway is, and 5 to 8 in hall `b`.
fn two_halls() -> Fixture {
    let mut fixture = Fixture::new();
    for port in 1..=8 {
        let hall = if port <= 4 { "a" } else { "b" };
        let id = format!("r{port}");
        let record = RunnerRecord { hall: hall.into(), ..record(&id, MODEL_SERVICE, port) };
        fixture.feed(Event::Listed(record));
        fixture.feed(Event::Load(([127, 0, 0, 1], port).into(), load(1, 0)));
    }
    fixture
}

/// Sends requests until two runners of hall `a` have not answered.
fn make_hall_silent(fixture: &mut Fixture) {
    for key in 1..=2 {
        let first = sent_to(fixture.arrive(arrival(key, MODEL_SERVICE, RouteKind::Safe)));
        assert!(is_in_first_hall(&first), "runners of the local hall are preferred: {first:?}");
        fixture.outcome(key, AttemptOutcome::Silent);
    }
}

fn is_in_first_hall(id: &InstanceId) -> bool {
    ["r1", "r2", "r3", "r4"].contains(&id.0.as_str())
}

/// The runner that the next request is sent to.
fn next_runner(fixture: &mut Fixture, key: u64) -> InstanceId {
    sent_to(fixture.arrive(arrival(key, MODEL_SERVICE, RouteKind::Safe)))
}

#[test]
fn two_silent_runners_cause_their_whole_hall_to_be_skipped() {
    let mut fixture = two_halls();
    fixture.now += 700;
    make_hall_silent(&mut fixture);
    assert!(!is_in_first_hall(&next_runner(&mut fixture, 3)));
}

#[test]
fn one_silent_runner_does_not_make_its_hall_silent() {
    let mut fixture = two_halls();
    fixture.now += 700;
    assert!(is_in_first_hall(&next_runner(&mut fixture, 1)));
    fixture.outcome(1, AttemptOutcome::Silent);
    assert!(is_in_first_hall(&next_runner(&mut fixture, 2)));
}

#[test]
fn a_hall_with_a_new_report_is_not_silent() {
    let mut fixture = two_halls();
    fixture.now += 700;
    make_hall_silent(&mut fixture);
    fixture.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(1, 0)));
    assert!(is_in_first_hall(&next_runner(&mut fixture, 3)));
}

#[test]
fn a_runner_with_a_recent_report_is_selected_in_a_silent_hall() {
    let mut fixture = two_halls();
    fixture.now += 300;
    make_hall_silent(&mut fixture);
    assert!(is_in_first_hall(&next_runner(&mut fixture, 3)));
}

#[test]
fn a_silent_hall_is_tried_if_there_are_no_other_runners() {
    let mut fixture = two_halls();
    fixture.now += 700;
    make_hall_silent(&mut fixture);
    (5..=8).for_each(|port| {
        fixture.feed(Event::Unlisted(format!("r{port}").as_str().into()));
    });
    assert!(is_in_first_hall(&next_runner(&mut fixture, 3)));
}

/// While the other runners were full, gateways queried the silent ones, which cost 45 ms each: 158
/// queries within one second.
#[test]
fn a_silent_hall_is_not_tried_because_the_others_are_full() {
    let mut fixture = two_halls();
    fixture.now += 700;
    make_hall_silent(&mut fixture);
    for port in 5..=8 {
        fixture.feed(Event::Load(([127, 0, 0, 1], port).into(), load(1, 8)));
    }
    assert_eq!(
        fixture.arrive(arrival(3, MODEL_SERVICE, RouteKind::Safe)),
        None,
        "the request waits"
    );
}

#[test]
fn a_hall_is_silent_only_for_a_limited_time() {
    let mut fixture = two_halls();
    fixture.now += 700;
    make_hall_silent(&mut fixture);
    fixture.now += 4100;
    assert!(is_in_first_hall(&next_runner(&mut fixture, 3)));
}

/// Runners without sidecars send no reports: only their responses show that their data hall is
/// reachable.
#[test]
fn a_hall_with_a_responding_runner_is_not_silent() {
    let mut fixture = Fixture::new();
    for port in 1..=8 {
        let hall = if port <= 4 { "a" } else { "b" };
        let id = format!("r{port}");
        let record = RunnerRecord { hall: hall.into(), ..record(&id, PLAIN_SERVICE, port) };
        fixture.feed(Event::Listed(record));
    }
    fixture.arrive(arrival(9, PLAIN_SERVICE, RouteKind::Safe));
    for key in 1..=2 {
        let first = sent_to(fixture.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe)));
        assert!(is_in_first_hall(&first), "runners of the local hall are preferred: {first:?}");
        fixture.outcome(key, AttemptOutcome::NotSent);
    }
    fixture.outcome(9, AttemptOutcome::Answered);
    let next_runner = sent_to(fixture.arrive(arrival(3, PLAIN_SERVICE, RouteKind::Safe)));
    assert!(is_in_first_hall(&next_runner));
}

#[test]
fn a_silent_hall_is_tried_if_all_other_runners_were_tried() {
    let mut fixture = two_halls();
    fixture.now += 700;
    make_hall_silent(&mut fixture);
    (6..=8).for_each(|port| {
        fixture.feed(Event::Unlisted(format!("r{port}").as_str().into()));
    });
    assert_eq!(next_runner(&mut fixture, 3), "r5".into());
    let again = sent_to(fixture.outcome(3, AttemptOutcome::Failed));
    assert!(is_in_first_hall(&again));
}
