//! Plain runners that start cold: what gateways that are responsible for them send, and what sidecars are told.

mod support;

use std::net::SocketAddr;

use fleet::{Evacuation, EvacuationList, Millis};
use gateway::*;
use support::town::{address, BOUNDS, PROFILE};
use support::*;

/// A gateway that knows itself, with a plain service whose runners start cold.
fn bed_with_cold_services(told: bool) -> Bed {
    let mut bed = Bed::with(GatewayOptions { cold: Some(BOUNDS), ..options() });
    let mut services: Vec<Service> = catalog(1).services().cloned().collect();
    services.iter_mut().for_each(|it| it.cold = Some(PROFILE));
    let parts = CatalogParts { version: 2, services, ..CatalogParts::default() };
    bed.feed(Event::Configured(std::sync::Arc::new(Catalog::new(parts))));
    bed.list("m1", MODEL_SERVICE, 100);
    if told {
        for _ in 0..6 {
            let gateways = vec![HeardGateway { address: address(0), tenths: 0 }];
            bed.feed(Event::Gateways(GatewayList { asker: address(0), gateways }));
            bed.feed(Event::Load(record("m1", MODEL_SERVICE, 100).address, load(1, 0)));
            (0..50).for_each(|_| bed.pass(20));
        }
    }
    bed
}

fn list_cold(bed: &mut Bed, id: &str, port: u16, cold_ms: u64) {
    bed.feed(Event::Listed(RunnerRecord { cold_ms, ..record(id, PLAIN_SERVICE, port) }));
}

#[test]
fn sidecars_are_told_how_cold_their_runners_are_and_nothing_where_none_starts_cold() {
    let mut bed = bed_with_cold_services(false);
    let cold = RunnerRecord { cold_ms: 2500, ..record("m2", MODEL_SERVICE, 101) };
    let machine = SocketAddr::from(([10, 9, 9, 9], 101));
    bed.feed(Event::Listed(RunnerRecord { address: machine, ..cold.clone() }));
    bed.pass(1000);
    let told = bed.gateway.cold_machines(Millis(bed.now));
    assert_eq!(told.get(&machine.ip()), Some(&1500));
    assert_eq!(told.len(), 2, "the warm one too");
    let mut bed = Bed::new();
    bed.feed(Event::Listed(cold));
    assert!(bed.gateway.cold_machines(Millis(bed.now)).is_empty());
}

/// Sends two hundred requests a second for a second, each answered at once, and counts those sent to a runner.
fn sent_in_a_second(bed: &mut Bed, runner: &str) -> usize {
    let mut sent = 0;
    for key in 0..200 {
        let key = 1000 + bed.now + key;
        let step = bed.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe));
        if let Some(NextStep::Send(target)) = step {
            sent += usize::from(target.id.0 == runner);
            bed.outcome(key, AttemptOutcome::Answered);
            bed.outcome(key, AttemptOutcome::Finished);
        } else {
            bed.feed(Event::Gone(RequestKey(key)));
        }
        bed.now += 5;
        bed.feed(Event::Tick);
    }
    sent
}

#[test]
fn a_cold_plain_runner_gets_what_it_bears_and_a_warm_one_the_rest() {
    let mut bed = bed_with_cold_services(true);
    list_cold(&mut bed, "cold", 1, 5000);
    list_cold(&mut bed, "warm", 2, 0);
    bed.feed(Event::Tick);
    let sent = sent_in_a_second(&mut bed, "cold");
    assert!((10..=31).contains(&sent), "{sent} in a second");
}

#[test]
fn a_cold_plain_runner_gets_nothing_from_a_gateway_that_knows_nobody() {
    let mut bed = bed_with_cold_services(false);
    list_cold(&mut bed, "cold", 1, 5000);
    list_cold(&mut bed, "warm", 2, 0);
    bed.feed(Event::Tick);
    assert_eq!(sent_in_a_second(&mut bed, "cold"), 0);
}

#[test]
fn a_hall_that_is_taken_back_counts_as_cold_until_the_list_can_tell() {
    let mut bed = bed_with_cold_services(false);
    list_cold(&mut bed, "back", 1, 0);
    let evacuated = vec![Evacuation { hall: "a".into(), age_ms: None }];
    bed.feed(Event::Evacuations(EvacuationList { place: 1.into(), evacuated }));
    bed.feed(Event::Evacuations(EvacuationList { place: 2.into(), evacuated: Vec::new() }));
    assert_eq!(sent_in_a_second(&mut bed, "back"), 0);
    bed.now += 1000;
    bed.feed(Event::ListHeard);
    assert!(sent_in_a_second(&mut bed, "back") > 50, "the list says that it is warm");
}

#[test]
fn a_hall_that_is_taken_back_counts_as_cold_for_a_whole_start_while_the_list_is_not_heard() {
    let mut bed = bed_with_cold_services(false);
    list_cold(&mut bed, "back", 1, 0);
    bed.feed(Event::ListHeard);
    let evacuated = vec![Evacuation { hall: "a".into(), age_ms: None }];
    bed.feed(Event::Evacuations(EvacuationList { place: 1.into(), evacuated }));
    bed.feed(Event::Evacuations(EvacuationList { place: 2.into(), evacuated: Vec::new() }));
    let told = |bed: &Bed| bed.gateway.cold_machines(Millis(bed.now)).into_values().max();
    assert_eq!(told(&bed), Some(2000), "a sidecar is not told more than the list takes");
    bed.now += 1990;
    assert_eq!(sent_in_a_second(&mut bed, "back"), 0, "the list is of before");
    assert!(sent_in_a_second(&mut bed, "back") > 50, "no start takes longer");
}

#[test]
fn without_bounds_a_cold_runner_is_like_any_other() {
    let mut bed = Bed::new();
    list_cold(&mut bed, "cold", 1, 5000);
    assert!(sent_in_a_second(&mut bed, "cold") > 100);
}
