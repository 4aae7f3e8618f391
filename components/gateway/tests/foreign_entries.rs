//! Valid list entries that another writer has written in place of correct ones.
//!
//! A runner keeps its service and its address for the whole incarnation. Guards against gateways
//! that find runners by the service of the first entry they read: a runner whose entry was
//! overwritten with an unknown service was still used, at whatever address that entry had.

mod support;

use fleet::{IncarnationReport, InstanceId};
use gateway::*;
use proptest::prelude::*;
use support::*;

const UNKNOWN_SERVICE: &str = "neither here nor there";
const PORT: u16 = 1;
const OTHER_PORT: u16 = 9;

fn send_request(fixture: &mut Fixture, key: u64, service: &str) -> Option<NextStep> {
    fixture.arrive(arrival(key, service, RouteKind::Safe))
}

/// A gateway that knows `r1` from a correct entry.
fn fixture(service: &str) -> Fixture {
    let mut fixture = Fixture::new();
    fixture.list("r1", service, PORT);
    fixture
}

#[test]
fn a_runner_whose_entry_has_an_unknown_service_receives_nothing_until_the_entry_is_corrected() {
    for service in [PLAIN_SERVICE, MODEL_SERVICE] {
        let mut fixture = fixture(service);
        fixture.list("r1", UNKNOWN_SERVICE, PORT);
        assert_eq!(send_request(&mut fixture, 1, service), None, "{service}");
        fixture.pass(50);
        let step = fixture.step(1, Event::Listed(record("r1", service, PORT)));
        assert_eq!(sent_to(step).0, "r1", "{service}");
    }
}

#[test]
fn an_entry_with_an_unknown_service_and_no_start_time_is_not_used_either() {
    let born = |born| IncarnationReport { born, sequence: 2 };
    for incarnation in [born(None), born(Some(3)), born(Some(9))] {
        let mut fixture = Fixture::new();
        let good = RunnerRecord { incarnation: born(Some(5)), ..record("r1", PLAIN_SERVICE, PORT) };
        fixture.feed(Event::Listed(good));
        let foreign = RunnerRecord { incarnation, ..record("r1", UNKNOWN_SERVICE, PORT) };
        fixture.feed(Event::Listed(foreign));
        assert_eq!(send_request(&mut fixture, 1, PLAIN_SERVICE), None, "{incarnation:?}");
    }
}

#[test]
fn a_request_is_not_sent_to_its_selected_runner_after_a_foreign_entry() {
    let mut fixture = fixture(PLAIN_SERVICE);
    sent_to(send_request(&mut fixture, 1, PLAIN_SERVICE));
    let now = fleet::Millis(fixture.now);
    assert!(fixture.gateway.may_send(now, RequestKey(1)));
    fixture.list("r1", UNKNOWN_SERVICE, PORT);
    assert!(!fixture.gateway.may_send(now, RequestKey(1)));
}

#[test]
fn a_report_applies_to_the_runner_whose_entry_has_its_address_now() {
    let mut fixture = fixture(MODEL_SERVICE);
    fixture.list("r1", MODEL_SERVICE, OTHER_PORT);
    let report = |port| Event::Load(([127, 0, 0, 1], port).into(), load(1, 3));
    let mut running = |port| {
        fixture.feed(report(port));
        let now = fleet::Millis(fixture.now);
        fixture.gateway.pool().runner(&"r1".into()).and_then(|it| it.load(now).map(|it| it.running))
    };
    assert_eq!(running(PORT), None);
    assert_eq!(running(OTHER_PORT), Some(3));
}

/// A written entry: the number of its runner, and its service, or `None` if it is removed.
type EntryWrite = (usize, Option<&'static str>);

fn entry_writes() -> impl Strategy<Value = Vec<EntryWrite>> {
    let service = prop::sample::select(vec![
        Some(PLAIN_SERVICE),
        Some(PLAIN_SERVICE),
        Some(UNKNOWN_SERVICE),
        None,
    ]);
    prop::collection::vec((0..4_usize, service), 1..30)
}

proptest! {
    /// Only the last entry of each runner decides whether the runner is used.
    #[test]
    fn only_runners_whose_last_entry_is_correct_are_used(entry_writes in entry_writes()) {
        let mut fixture = Fixture::new();
        let mut last = [None; 4];
        for (key, (number, service)) in entry_writes.into_iter().enumerate() {
            let id = format!("r{number}");
            last[number] = service;
            match service {
                Some(service) => drop(fixture.list(&id, service, 1 + number as u16)),
                None => drop(fixture.feed(Event::Unlisted(id.as_str().into()))),
            }
            let is_good = |id: &InstanceId| {
                (0..4).any(|it| id.0 == format!("r{it}") && last[it] == Some(PLAIN_SERVICE))
            };
            match send_request(&mut fixture, key as u64, PLAIN_SERVICE) {
                Some(NextStep::Send(target)) => prop_assert!(is_good(&target.id), "{}", target.id.0),
                _ => prop_assert!(!last.contains(&Some(PLAIN_SERVICE)), "{last:?}"),
            }
            // No request waits for the next write or holds a slot until then.
            fixture.feed(Event::RequestEnded(RequestKey(key as u64)));
        }
    }
}

#[test]
fn an_entry_with_the_address_of_another_runner_receives_none_of_its_reports() {
    let mut fixture = fixture(MODEL_SERVICE);
    let running = |fixture: &mut Fixture, reported| {
        fixture.feed(Event::Load(([127, 0, 0, 1], PORT).into(), load(1, reported)));
        let now = fleet::Millis(fixture.now);
        fixture.gateway.pool().runner(&"r1".into()).and_then(|it| it.load(now).map(|it| it.running))
    };
    fixture.list("foreign", UNKNOWN_SERVICE, PORT);
    assert_eq!(running(&mut fixture, 1), Some(1), "while the other runner is listed");
    fixture.feed(Event::Unlisted("foreign".into()));
    assert_eq!(running(&mut fixture, 2), Some(2), "after the other runner was removed");
}
