//! Entries that another writer has put in the place of good ones, and that can be read.
//!
//! A runner keeps its service and its address for life. Gateways found runners by the service of the first entry that
//! they read: one that another writer gave a service which nobody knows was used on, at whatever address that entry had.

mod support;

use fleet::{InstanceId, LifeWord};
use gateway::*;
use proptest::prelude::*;
use support::*;

const UNKNOWN_SERVICE: &str = "neither here nor there";
const PORT: u16 = 1;
const OTHER_PORT: u16 = 9;

fn call(bed: &mut Bed, key: u64, service: &str) -> Option<NextStep> {
    bed.arrive(arrival(key, service, RouteKind::Safe))
}

/// A gateway that knows `r1` by a good entry.
fn bed(service: &str) -> Bed {
    let mut bed = Bed::new();
    bed.list("r1", service, PORT);
    bed
}

#[test]
fn a_runner_whose_entry_names_an_unknown_service_gets_nothing_until_it_is_good_again() {
    for service in [PLAIN_SERVICE, MODEL_SERVICE] {
        let mut bed = bed(service);
        bed.list("r1", UNKNOWN_SERVICE, PORT);
        assert_eq!(call(&mut bed, 1, service), None, "{service}");
        bed.pass(50);
        let step = bed.step(1, Event::Listed(record("r1", service, PORT)));
        assert_eq!(sent_to(step).0, "r1", "{service}");
    }
}

#[test]
fn it_names_no_runner_either_where_its_life_cannot_be_told() {
    let born = |born| LifeWord { born, sequence: 2 };
    for life in [born(None), born(Some(3)), born(Some(9))] {
        let mut bed = Bed::new();
        let good = RunnerRecord { life: born(Some(5)), ..record("r1", PLAIN_SERVICE, PORT) };
        bed.feed(Event::Listed(good));
        let foreign = RunnerRecord { life, ..record("r1", UNKNOWN_SERVICE, PORT) };
        bed.feed(Event::Listed(foreign));
        assert_eq!(call(&mut bed, 1, PLAIN_SERVICE), None, "{life:?}");
    }
}

#[test]
fn a_request_that_was_chosen_before_is_not_sent_after_it() {
    let mut bed = bed(PLAIN_SERVICE);
    sent_to(call(&mut bed, 1, PLAIN_SERVICE));
    let now = fleet::Millis(bed.now);
    assert!(bed.gateway.may_send(now, RequestKey(1)));
    bed.list("r1", UNKNOWN_SERVICE, PORT);
    assert!(!bed.gateway.may_send(now, RequestKey(1)));
}

#[test]
fn a_report_is_of_the_runner_whose_entry_has_its_address_now() {
    let mut bed = bed(MODEL_SERVICE);
    bed.list("r1", MODEL_SERVICE, OTHER_PORT);
    let report = |port| Event::Load(([127, 0, 0, 1], port).into(), load(1, 3));
    let mut running = |port| {
        bed.feed(report(port));
        let now = fleet::Millis(bed.now);
        bed.gateway.pool().runner(&"r1".into()).and_then(|it| it.load(now).map(|it| it.running))
    };
    assert_eq!(running(PORT), None);
    assert_eq!(running(OTHER_PORT), Some(3));
}

/// An entry that is written, by the number of its runner: its service, or none where it is removed.
type Write = (usize, Option<&'static str>);

fn writes() -> impl Strategy<Value = Vec<Write>> {
    let service = prop::sample::select(vec![
        Some(PLAIN_SERVICE),
        Some(PLAIN_SERVICE),
        Some(UNKNOWN_SERVICE),
        None,
    ]);
    prop::collection::vec((0..4_usize, service), 1..30)
}

proptest! {
    /// The last entry of each runner decides alone whether it is used.
    #[test]
    fn only_runners_whose_last_entry_is_good_are_used(writes in writes()) {
        let mut bed = Bed::new();
        let mut last = [None; 4];
        for (key, (number, service)) in writes.into_iter().enumerate() {
            let id = format!("r{number}");
            last[number] = service;
            match service {
                Some(service) => drop(bed.list(&id, service, 1 + number as u16)),
                None => drop(bed.feed(Event::Unlisted(id.as_str().into()))),
            }
            let is_good = |id: &InstanceId| {
                (0..4).any(|it| id.0 == format!("r{it}") && last[it] == Some(PLAIN_SERVICE))
            };
            match call(&mut bed, key as u64, PLAIN_SERVICE) {
                Some(NextStep::Send(target)) => prop_assert!(is_good(&target.id), "{}", target.id.0),
                _ => prop_assert!(!last.contains(&Some(PLAIN_SERVICE)), "{last:?}"),
            }
            // Nobody waits for the next write, nor keeps a place until then.
            bed.feed(Event::Gone(RequestKey(key as u64)));
        }
    }
}

#[test]
fn an_entry_with_the_address_of_another_runner_takes_none_of_its_reports() {
    let mut bed = bed(MODEL_SERVICE);
    let running = |bed: &mut Bed, told| {
        bed.feed(Event::Load(([127, 0, 0, 1], PORT).into(), load(1, told)));
        let now = fleet::Millis(bed.now);
        bed.gateway.pool().runner(&"r1".into()).and_then(|it| it.load(now).map(|it| it.running))
    };
    bed.list("foreign", UNKNOWN_SERVICE, PORT);
    assert_eq!(running(&mut bed, 1), Some(1), "beside it");
    bed.feed(Event::Unlisted("foreign".into()));
    assert_eq!(running(&mut bed, 2), Some(2), "after it");
}
