//! Requests that are bound to regions: where they are sent, and how they end if no runner may run
//! them.

mod support;

use std::collections::HashMap;
use std::sync::Arc;

use errors::Code;
use fleet::{Evacuation, EvacuationList, HomeRegions, Millis};
use gateway::*;
use support::*;

const STREAM: RouteKind = RouteKind::Stream { resumable: true };
const KINDS: [(&str, RouteKind); 4] = [
    (PLAIN_SERVICE, RouteKind::Safe),
    (PLAIN_SERVICE, RouteKind::Unsafe),
    (MODEL_SERVICE, STREAM),
    (MODEL_SERVICE, RouteKind::Stream { resumable: false }),
];

fn homes(names: &[&str]) -> HomeRegions {
    HomeRegions::only(names.iter().map(|it| (*it).into()))
}

/// A configuration with one route and one workspace.
fn configuration(version: u64, of_route: &[&str], of_workspace: &[&str]) -> Event {
    let workspace = Workspace { name: "w".into(), priority: 0, homes: homes(of_workspace) };
    Event::Configured(Arc::new(Catalog::new(CatalogParts {
        version,
        routes: vec![route(homes(of_route))],
        workspaces: Some(HashMap::from([("k".into(), workspace)])),
        ..CatalogParts::default()
    })))
}

fn of_workspace(key: u64, service: &str, kind: RouteKind) -> Arrival {
    Arrival { workspace: Some("w".into()), ..arrival(key, service, kind) }
}

/// Lists a runner: `n` is in the north, `s` in the south.
fn list(fixture: &mut Fixture, id: &str, service: &str) {
    let (hall, port) = if id.starts_with('n') { ("a", 1) } else { ("b", 2) };
    fixture.feed(Event::Listed(RunnerRecord { hall: hall.into(), ..record(id, service, port) }));
}

fn refusal(step: Option<NextStep>) -> (Code, u64) {
    match step {
        Some(NextStep::Refuse { code, retry_after_ms, .. }) => (code, retry_after_ms),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

#[test]
fn the_home_regions_of_both_route_and_workspace_apply() {
    for (service, kind) in KINDS {
        let mut fixture = Fixture::new();
        list(&mut fixture, "n", service);
        list(&mut fixture, "s", service);
        fixture.feed(configuration(2, &["north", "south"], &["south"]));
        assert_eq!(sent_to(fixture.arrive(of_workspace(1, service, kind))), "s".into());
        fixture.feed(configuration(3, &["north"], &["south"]));
        let (code, _) = refusal(fixture.arrive(of_workspace(2, service, kind)));
        assert_eq!(code, Code::NoHome, "they have no region in common");
    }
}

#[test]
fn a_request_is_refused_at_once_if_no_runner_in_its_homes_may_run_it() {
    for (service, kind) in KINDS {
        let mut fixture = Fixture::new();
        list(&mut fixture, "s", service);
        for (version, home) in [(2, "north"), (3, "a region of no hall")] {
            fixture.feed(configuration(version, &[home], &[]));
            assert_eq!(refusal(fixture.arrive(arrival(version, service, kind))).0, Code::NoHome);
        }
        fixture.feed(configuration(4, &["south"], &[]));
        sent_to(fixture.arrive(arrival(4, service, kind)));
        let evacuation = Evacuation { hall: "b".into(), age_ms: Some(0) };
        fixture.feed(Event::Evacuations(EvacuationList {
            place: 1.into(),
            evacuated: vec![evacuation],
        }));
        assert_eq!(refusal(fixture.arrive(arrival(5, service, kind))).0, Code::NoHome);
        fixture.feed(Event::Evacuations(EvacuationList { place: 2.into(), evacuated: Vec::new() }));
        sent_to(fixture.arrive(arrival(6, service, kind)));
        fixture.feed(Event::Unlisted("s".into()));
        list(&mut fixture, "n", service);
        assert_eq!(refusal(fixture.arrive(arrival(7, service, kind))).0, Code::NoHome);
    }
}

/// A request that waits because its home region has one runner, which is full.
fn waiting_request(service: &str, kind: RouteKind) -> Fixture {
    let mut fixture = Fixture::new();
    list(&mut fixture, "n", service);
    list(&mut fixture, "s", service);
    fixture.feed(configuration(2, &["north"], &[]));
    let capacity = if service == MODEL_SERVICE { 8 } else { 4 };
    for key in 1..=capacity {
        assert_eq!(sent_to(fixture.arrive(arrival(key, service, kind))), "n".into());
    }
    assert_eq!(fixture.arrive(arrival(9, service, kind)), None);
    fixture
}

#[test]
fn waiting_requests_are_sent_to_an_added_home() {
    for (service, kind) in KINDS {
        let mut fixture = waiting_request(service, kind);
        let step = fixture.step(9, configuration(3, &["north", "south"], &[]));
        assert_eq!(sent_to(step), "s".into());
        assert!(
            fixture.gateway.may_send(Millis(fixture.now), RequestKey(9))
                && fixture.gateway.may_send(Millis(fixture.now), RequestKey(1))
        );
    }
}

#[test]
fn changed_homes_apply_to_waiting_and_unsent_requests() {
    for (service, kind) in KINDS {
        let mut fixture = waiting_request(service, kind);
        assert_eq!(sent_to(fixture.step(9, configuration(3, &["south"], &[]))), "s".into());
        assert!(fixture.gateway.may_send(Millis(fixture.now), RequestKey(9)));
        assert!(
            !fixture.gateway.may_send(Millis(fixture.now), RequestKey(1)),
            "it was selected for the north"
        );
        assert_eq!(sent_to(fixture.outcome(1, AttemptOutcome::Withdrawn)), "s".into());
    }
}

#[test]
fn waiting_requests_are_refused_when_their_home_has_no_more_runners() {
    for (service, kind) in KINDS {
        let mut fixture = waiting_request(service, kind);
        let step = fixture.step(9, configuration(3, &["a region of no hall"], &[]));
        assert_eq!(refusal(step).0, Code::NoHome);
        assert_eq!(refusal(fixture.outcome(1, AttemptOutcome::Withdrawn)).0, Code::NoHome);
        assert_eq!(refusal(fixture.outcome(2, AttemptOutcome::Full)).0, Code::NoHome);
    }
}

#[test]
fn a_stream_is_resumed_in_the_homes_of_the_newer_configuration() {
    let mut fixture = Fixture::new();
    for id in ["n1", "s"] {
        list(&mut fixture, id, MODEL_SERVICE);
    }
    fixture.feed(configuration(2, &["north"], &[]));
    assert_eq!(sent_to(fixture.arrive(arrival(1, MODEL_SERVICE, STREAM))), "n1".into());
    fixture.outcome(1, AttemptOutcome::Answered);
    fixture.feed(configuration(3, &["south"], &[]));
    assert_eq!(sent_to(fixture.outcome(1, AttemptOutcome::Cut)), "s".into());
    fixture.outcome(1, AttemptOutcome::Answered);
    fixture.feed(configuration(4, &["north"], &[]));
    list(&mut fixture, "s2", MODEL_SERVICE);
    assert!(!matches!(fixture.outcome(1, AttemptOutcome::Cut), Some(NextStep::Send(_))));
}

#[test]
fn a_request_uses_the_configuration_received_while_its_body_was_read() {
    let mut fixture = Fixture::new();
    list(&mut fixture, "n", PLAIN_SERVICE);
    list(&mut fixture, "s", PLAIN_SERVICE);
    fixture.feed(configuration(2, &["south"], &[]));
    let routed_before =
        Arrival { homes: homes(&["north"]), ..arrival(1, PLAIN_SERVICE, RouteKind::Unsafe) };
    assert_eq!(sent_to(fixture.arrive(routed_before)), "s".into());
}

#[test]
fn a_request_whose_route_was_removed_keeps_its_homes() {
    let mut fixture = waiting_request(MODEL_SERVICE, STREAM);
    fixture.feed(Event::Configured(catalog(3)));
    assert!(fixture.gateway.may_send(Millis(fixture.now), RequestKey(1)));
    fixture.feed(Event::Unlisted("n".into()));
    assert_eq!(refusal(fixture.step(9, Event::Tick)).0, Code::NoHome);
}

#[test]
fn a_request_whose_workspace_was_removed_keeps_its_homes() {
    for (service, kind) in KINDS {
        let mut fixture = Fixture::new();
        list(&mut fixture, "n", service);
        list(&mut fixture, "s", service);
        fixture.feed(configuration(2, &[], &["north"]));
        assert_eq!(sent_to(fixture.arrive(of_workspace(1, service, kind))), "n".into());
        fixture.feed(bound(3, &HomeRegions::anywhere()));
        assert!(fixture.gateway.may_send(Millis(fixture.now), RequestKey(1)));
        fixture.feed(Event::Unlisted("n".into()));
        assert_eq!(refusal(fixture.outcome(1, AttemptOutcome::Withdrawn)).0, Code::NoHome);
    }
}

#[test]
fn a_runner_in_an_unknown_region_receives_only_unbound_requests() {
    for (service, kind) in KINDS {
        let mut fixture = Fixture::new();
        let nowhere =
            RunnerRecord { hall: "a hall of no region".into(), ..record("x", service, 1) };
        fixture.feed(Event::Listed(nowhere));
        assert_eq!(sent_to(fixture.arrive(arrival(1, service, kind))), "x".into());
        fixture.feed(configuration(2, &["north", "south"], &[]));
        assert!(!fixture.gateway.may_send(Millis(fixture.now), RequestKey(1)), "it is bound now");
        assert_eq!(refusal(fixture.arrive(arrival(2, service, kind))).0, Code::NoHome);
    }
}

#[test]
fn a_full_home_and_the_other_homes_of_its_service_do_not_block_each_other() {
    let mut fixture = waiting_request(MODEL_SERVICE, STREAM);
    fixture.feed(configuration(3, &["north"], &[]));
    let free = |key| Arrival { route: "other".into(), ..arrival(key, MODEL_SERVICE, STREAM) };
    assert_eq!(sent_to(fixture.arrive(free(10))), "s".into());
    // The reverse case: all regions except the north are full.
    for key in 11..=17 {
        assert_eq!(sent_to(fixture.arrive(free(key))), "s".into());
    }
    assert_eq!(fixture.arrive(free(18)), None);
    fixture.outcome(1, AttemptOutcome::Finished);
    let in_south = Arrival { homes: homes(&["south"]), ..free(19) };
    assert_eq!(fixture.arrive(in_south), None);
}

#[test]
fn the_retry_delay_lasts_until_a_runner_in_the_home_serves() {
    let mut fixture = Fixture::new();
    list(&mut fixture, "n", MODEL_SERVICE);
    list(&mut fixture, "s", MODEL_SERVICE);
    fixture.feed(configuration(2, &["north"], &[]));
    let moving = RunnerLoad { busy: true, serves_in_ms: Some(1500), ..load(1, 0) };
    fixture.feed(Event::Load(([127, 0, 0, 1], 1).into(), moving));
    fixture.feed(Event::Load(([127, 0, 0, 1], 2).into(), load(1, 0)));
    let (code, back) = refusal(fixture.arrive(arrival(1, MODEL_SERVICE, STREAM)));
    assert_eq!(code, Code::NoHome);
    assert!((1500..2500).contains(&back), "{back}");
}

#[test]
fn the_retry_delay_ignores_a_draining_runner_in_the_home() {
    let mut fixture = Fixture::new();
    fixture.feed(configuration(2, &["north"], &[]));
    for (id, port, state, serves_in_ms) in
        [("n1", 1, RunnerState::Draining, 100), ("n2", 2, RunnerState::Ready, 1500)]
    {
        fixture.feed(Event::Listed(RunnerRecord { state, ..record(id, MODEL_SERVICE, port) }));
        let moving = RunnerLoad { busy: true, serves_in_ms: Some(serves_in_ms), ..load(1, 0) };
        fixture.feed(Event::Load(([127, 0, 0, 1], port).into(), moving));
    }
    let (code, back) = refusal(fixture.arrive(arrival(1, MODEL_SERVICE, STREAM)));
    assert_eq!(code, Code::NoHome);
    assert!((1500..2500).contains(&back), "{back}");
}

#[test]
fn the_retry_delay_lasts_until_a_paused_plain_runner_serves() {
    let mut fixture = Fixture::new();
    list(&mut fixture, "n", PLAIN_SERVICE);
    list(&mut fixture, "s", PLAIN_SERVICE);
    fixture.feed(configuration(2, &["north"], &[]));
    assert_eq!(sent_to(fixture.arrive(arrival(1, PLAIN_SERVICE, RouteKind::Unsafe))), "n".into());
    assert_eq!(refusal(fixture.outcome(1, AttemptOutcome::NotSent)).0, Code::Unreachable);
    let (code, back) = refusal(fixture.arrive(arrival(2, PLAIN_SERVICE, RouteKind::Unsafe)));
    assert_eq!(code, Code::NoHome);
    assert!((300..1300).contains(&back), "it is paused for 300 ms: {back}");
}

#[test]
fn a_gateway_without_known_runners_lets_bound_requests_wait_like_others() {
    let mut fixture = Fixture::new();
    fixture.feed(configuration(2, &["north"], &[]));
    assert_eq!(fixture.arrive(arrival(1, MODEL_SERVICE, STREAM)), None);
    list(&mut fixture, "s", PLAIN_SERVICE);
    fixture.feed(Event::Listed(record("n", MODEL_SERVICE, 1)));
    fixture.now += 10;
    assert!(fixture.gateway.load().1 == 0, "it was sent when its runner was listed");
}

#[test]
fn a_gateway_without_known_runners_does_not_report_a_home_without_runners() {
    for (service, kind) in KINDS {
        let mut fixture = Fixture::new();
        fixture.feed(configuration(2, &["north"], &[]));
        assert_eq!(fixture.arrive(arrival(1, service, kind)), None);
        fixture.now += 100;
        assert_eq!(refusal(fixture.step(1, Event::Tick)).0, Code::Overloaded);
    }
}

#[test]
fn homes_in_which_nothing_can_be_served_are_reported_once_per_configuration() {
    let mut fixture = Fixture::new();
    let effects = fixture.feed(configuration(2, &["north", "nowhere"], &["south"]));
    let [Effect::ReportHomeFaults(faults)] = &effects[..] else {
        panic!("{effects:?}");
    };
    let unknown = HomeFault::Unknown { region: "nowhere".into(), example: "r".into(), count: 1 };
    let apart = HomeFault::Disjoint {
        route: "r".into(),
        route_homes: homes(&["north", "nowhere"]),
        workspace: "w".into(),
        workspace_homes: homes(&["south"]),
        count: 1,
    };
    assert_eq!(faults, &[unknown, apart]);
    assert_eq!(fixture.gateway.home_faults().len(), 2);
    assert_eq!(
        fixture.feed(configuration(2, &["nowhere"], &[])),
        [],
        "the same configuration again"
    );
    assert_eq!(fixture.feed(configuration(3, &["north"], &["north"])), []);
    assert!(fixture.gateway.home_faults().is_empty());
}

/// A full home region is not a missing one: its callers wait like others, and are told that
/// capacity is short.
#[test]
fn a_home_that_is_full_or_paused_is_overloaded_and_not_missing() {
    for (service, outcome) in [
        (PLAIN_SERVICE, AttemptOutcome::Full),
        (MODEL_SERVICE, AttemptOutcome::Denied { retry_after_ms: 400, shortage_ms: 0 }),
    ] {
        let mut fixture = Fixture::new();
        list(&mut fixture, "n", service);
        list(&mut fixture, "s", service);
        fixture.feed(configuration(2, &["north"], &[]));
        if service == MODEL_SERVICE {
            fixture.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(1, 4)));
        }
        sent_to(fixture.arrive(arrival(1, service, RouteKind::Safe)));
        fixture.outcome(1, outcome);
        let next = Arrival { target_latency_ms: 200, ..arrival(2, service, RouteKind::Safe) };
        assert_eq!(fixture.arrive(next), None, "it waits for a slot");
        fixture.now += 45;
        assert_eq!(refusal(fixture.step(2, Event::Tick)).0, Code::Overloaded);
    }
}

#[test]
fn a_home_whose_model_runners_are_lost_is_refused_at_once() {
    let mut fixture = Fixture::new();
    list(&mut fixture, "n", MODEL_SERVICE);
    list(&mut fixture, "s", MODEL_SERVICE);
    fixture.feed(configuration(2, &["north"], &[]));
    sent_to(fixture.arrive(arrival(1, MODEL_SERVICE, STREAM)));
    fixture.outcome(1, AttemptOutcome::Silent);
    let (code, back) = refusal(fixture.arrive(arrival(2, MODEL_SERVICE, STREAM)));
    assert_eq!(code, Code::NoHome);
    assert!((300..1300).contains(&back), "it is paused for 300 ms: {back}");
}

/// The pause of a full runner does not count as a failure pause, also after an earlier failure.
#[test]
fn a_home_that_is_full_after_a_failure_is_not_missing() {
    for (service, outcome) in [
        (PLAIN_SERVICE, AttemptOutcome::Full),
        (MODEL_SERVICE, AttemptOutcome::Denied { retry_after_ms: 400, shortage_ms: 0 }),
    ] {
        let mut fixture = Fixture::new();
        list(&mut fixture, "n", service);
        list(&mut fixture, "s", service);
        fixture.feed(configuration(2, &["north"], &[]));
        sent_to(fixture.arrive(arrival(1, service, RouteKind::Safe)));
        fixture.outcome(1, AttemptOutcome::Silent);
        fixture.pass(400);
        sent_to(fixture.arrive(arrival(2, service, RouteKind::Safe)));
        fixture.outcome(2, outcome);
        let next = Arrival { target_latency_ms: 200, ..arrival(3, service, RouteKind::Safe) };
        assert_eq!(fixture.arrive(next), None, "it waits for a slot");
        fixture.now += 45;
        assert_eq!(refusal(fixture.step(3, Event::Tick)).0, Code::Overloaded);
    }
}
