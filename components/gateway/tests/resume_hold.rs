//! A gateway that resumes after its process was stopped, because its machine was suspended or it
//! got no CPU time.
//!
//! Home regions, keys, evacuations, versions and draining runners may have changed meanwhile, and
//! the gateway's data on them seems as recent to its decisions as before.

mod support;

use errors::Code;
use fleet::Millis;
use gateway::*;
use support::*;

const HOLD_MS: u64 = 800;

/// A gateway that has just resumed, with a plain runner.
fn resumed_fixture() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.list("r1", PLAIN_SERVICE, 1);
    fixture.pass(5000);
    fixture.feed(Event::Resumed);
    fixture
}

fn confirm(fixture: &mut Fixture, table: StoreTable) -> Vec<Effect> {
    let asked = Millis(fixture.now);
    fixture.feed(Event::TableConfirmed(table, asked))
}

fn send_request(fixture: &mut Fixture, key: u64) -> Option<NextStep> {
    fixture.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe))
}

#[test]
fn nothing_is_sent_until_the_store_has_confirmed_both_tables() {
    let mut fixture = resumed_fixture();
    assert_eq!(send_request(&mut fixture, 1), None);
    fixture.pass(90);
    assert!(confirm(&mut fixture, StoreTable::Operator).is_empty());
    assert_eq!(send_request(&mut fixture, 2), None);
    let effects = confirm(&mut fixture, StoreTable::Runners);
    assert_eq!(sent_to(step_of(1, &effects)).0, "r1");
    assert_eq!(sent_to(step_of(2, &effects)).0, "r1");
}

#[test]
fn an_answer_to_an_earlier_query_confirms_nothing() {
    let mut fixture = resumed_fixture();
    let before = Millis(fixture.now - 1);
    for table in [StoreTable::Operator, StoreTable::Runners] {
        fixture.feed(Event::TableConfirmed(table, before));
    }
    assert_eq!(send_request(&mut fixture, 1), None);
}

#[test]
fn a_request_with_a_runner_selected_before_the_pause_is_not_sent_either() {
    let mut fixture = Fixture::new();
    fixture.list("r1", PLAIN_SERVICE, 1);
    sent_to(send_request(&mut fixture, 1));
    fixture.feed(Event::Resumed);
    assert!(!fixture.gateway.may_send(Millis(fixture.now), RequestKey(1)));
    confirm(&mut fixture, StoreTable::Operator);
    confirm(&mut fixture, StoreTable::Runners);
    assert!(fixture.gateway.may_send(Millis(fixture.now), RequestKey(1)));
}

#[test]
fn sending_resumes_after_a_timeout_if_the_store_is_unreachable() {
    let mut fixture = resumed_fixture();
    assert_eq!(send_request(&mut fixture, 1), None);
    fixture.pass(HOLD_MS - 1);
    assert_eq!(send_request(&mut fixture, 2), None);
    fixture.now += 1;
    let effects = fixture.feed(Event::Tick);
    assert_eq!(sent_to(step_of(1, &effects)).0, "r1");
}

#[test]
fn a_request_whose_deadline_passes_during_the_hold_is_refused() {
    let mut fixture = resumed_fixture();
    let deadline = Millis(fixture.now + 300);
    let short = Arrival { deadline, ..arrival(1, PLAIN_SERVICE, RouteKind::Safe) };
    assert_eq!(fixture.arrive(short), None);
    fixture.now += 301;
    match fixture.step(1, Event::Tick) {
        Some(NextStep::Refuse { code, .. }) => assert_eq!(code, Code::NotReady),
        other => panic!("{other:?}"),
    }
}
