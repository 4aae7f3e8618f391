//! Cold plain runners: what the responsible gateways send to them, and what is reported to sidecars
//! about cold runners.

mod support;

use std::net::SocketAddr;

use fleet::{Evacuation, EvacuationList, Millis};
use gateway::*;
use support::network::{address, BOUNDS, PROFILE};
use support::*;

/// A gateway with a plain service whose runners start cold. It knows itself as a member if
/// `reported` is set.
fn fixture_with_cold_services(reported: bool) -> Fixture {
    let mut fixture = Fixture::with(GatewayOptions { cold: Some(BOUNDS), ..options() });
    let mut services: Vec<Service> = catalog(1).services().cloned().collect();
    services.iter_mut().for_each(|it| it.cold = Some(PROFILE));
    let parts = CatalogParts { version: 2, services, ..CatalogParts::default() };
    fixture.feed(Event::Configured(std::sync::Arc::new(Catalog::new(parts))));
    fixture.list("m1", MODEL_SERVICE, 100);
    if reported {
        for _ in 0..6 {
            let gateways = vec![KnownGateway { address: address(0), tenths: 0 }];
            fixture.feed(Event::Gateways(GatewayList { asker: address(0), gateways }));
            fixture.feed(Event::Load(record("m1", MODEL_SERVICE, 100).address, load(1, 0)));
            (0..50).for_each(|_| fixture.pass(20));
        }
    }
    fixture
}

fn list_cold(fixture: &mut Fixture, id: &str, port: u16, cold_ms: u64) {
    fixture.feed(Event::Listed(RunnerRecord { cold_ms, ..record(id, PLAIN_SERVICE, port) }));
}

#[test]
fn cold_times_are_reported_to_sidecars_only_if_runners_start_cold() {
    let mut fixture = fixture_with_cold_services(false);
    let cold = RunnerRecord { cold_ms: 2500, ..record("m2", MODEL_SERVICE, 101) };
    let machine = SocketAddr::from(([10, 9, 9, 9], 101));
    fixture.feed(Event::Listed(RunnerRecord { address: machine, ..cold.clone() }));
    fixture.pass(1000);
    let reported = fixture.gateway.cold_machines(Millis(fixture.now));
    assert_eq!(reported.get(&machine.ip()), Some(&1500));
    assert_eq!(reported.len(), 2, "the warm runner is included");
    let mut fixture = Fixture::new();
    fixture.feed(Event::Listed(cold));
    assert!(fixture.gateway.cold_machines(Millis(fixture.now)).is_empty());
}

/// Sends 200 requests per second for one second, each answered at once, and counts those sent to a
/// runner.
fn sent_in_a_second(fixture: &mut Fixture, runner: &str) -> usize {
    let mut sent = 0;
    for key in 0..200 {
        let key = 1000 + fixture.now + key;
        let step = fixture.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe));
        if let Some(NextStep::Send(target)) = step {
            sent += usize::from(target.id.0 == runner);
            fixture.outcome(key, AttemptOutcome::Answered);
            fixture.outcome(key, AttemptOutcome::Finished);
        } else {
            fixture.feed(Event::RequestEnded(RequestKey(key)));
        }
        fixture.now += 5;
        fixture.feed(Event::Tick);
    }
    sent
}

#[test]
fn a_cold_plain_runner_receives_at_most_its_cold_rate_and_a_warm_one_the_rest() {
    let mut fixture = fixture_with_cold_services(true);
    list_cold(&mut fixture, "cold", 1, 5000);
    list_cold(&mut fixture, "warm", 2, 0);
    fixture.feed(Event::Tick);
    let sent = sent_in_a_second(&mut fixture, "cold");
    assert!((10..=31).contains(&sent), "{sent} in a second");
}

#[test]
fn a_gateway_without_known_members_sends_nothing_to_a_cold_plain_runner() {
    let mut fixture = fixture_with_cold_services(false);
    list_cold(&mut fixture, "cold", 1, 5000);
    list_cold(&mut fixture, "warm", 2, 0);
    fixture.feed(Event::Tick);
    assert_eq!(sent_in_a_second(&mut fixture, "cold"), 0);
}

#[test]
fn a_hall_counts_as_cold_after_its_evacuation_until_the_list_shows_otherwise() {
    let mut fixture = fixture_with_cold_services(false);
    list_cold(&mut fixture, "back", 1, 0);
    let evacuated = vec![Evacuation { hall: "a".into(), age_ms: None }];
    fixture.feed(Event::Evacuations(EvacuationList { place: 1.into(), evacuated }));
    fixture.feed(Event::Evacuations(EvacuationList { place: 2.into(), evacuated: Vec::new() }));
    assert_eq!(sent_in_a_second(&mut fixture, "back"), 0);
    fixture.now += 1000;
    fixture.feed(Event::ListConfirmed);
    assert!(sent_in_a_second(&mut fixture, "back") > 50, "the list shows that it is warm");
}

#[test]
fn a_hall_counts_as_cold_for_a_whole_start_after_its_evacuation_while_no_list_is_received() {
    let mut fixture = fixture_with_cold_services(false);
    list_cold(&mut fixture, "back", 1, 0);
    fixture.feed(Event::ListConfirmed);
    let evacuated = vec![Evacuation { hall: "a".into(), age_ms: None }];
    fixture.feed(Event::Evacuations(EvacuationList { place: 1.into(), evacuated }));
    fixture.feed(Event::Evacuations(EvacuationList { place: 2.into(), evacuated: Vec::new() }));
    let reported =
        |fixture: &Fixture| fixture.gateway.cold_machines(Millis(fixture.now)).into_values().max();
    assert_eq!(
        reported(&fixture),
        Some(2000),
        "the reported time is limited to the delay of the list"
    );
    fixture.now += 1990;
    assert_eq!(
        sent_in_a_second(&mut fixture, "back"),
        0,
        "the list is older than the end of the evacuation"
    );
    assert!(sent_in_a_second(&mut fixture, "back") > 50, "no cold start takes longer");
}

#[test]
fn without_cold_bounds_a_cold_runner_is_treated_like_any_other() {
    let mut fixture = Fixture::new();
    list_cold(&mut fixture, "cold", 1, 5000);
    assert!(sent_in_a_second(&mut fixture, "cold") > 100);
}
