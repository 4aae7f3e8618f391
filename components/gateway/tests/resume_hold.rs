//! A gateway that goes on after it stood still: its machine was suspended, or it got no processor.
//!
//! Homes, keys, evacuations, versions and leaving runners may have changed meanwhile, and what it knows of them looks as
//! fresh as before to its decisions.

mod support;

use errors::Code;
use fleet::Millis;
use gateway::*;
use support::*;

const HOLD: u64 = 800;

/// A gateway that has just gone on, with a plain runner.
fn woken() -> Bed {
    let mut bed = Bed::new();
    bed.list("r1", PLAIN_SERVICE, 1);
    bed.pass(5000);
    bed.feed(Event::Woke);
    bed
}

fn confirm(bed: &mut Bed, table: StoreTable) -> Vec<Effect> {
    let asked = Millis(bed.now);
    bed.feed(Event::Confirmed(table, asked))
}

fn call(bed: &mut Bed, key: u64) -> Option<NextStep> {
    bed.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe))
}

#[test]
fn nothing_is_sent_until_the_store_has_confirmed_both_tables() {
    let mut bed = woken();
    assert_eq!(call(&mut bed, 1), None);
    bed.pass(90);
    assert!(confirm(&mut bed, StoreTable::Operator).is_empty());
    assert_eq!(call(&mut bed, 2), None);
    let effects = confirm(&mut bed, StoreTable::Runners);
    assert_eq!(sent_to(step_of(1, &effects)).0, "r1");
    assert_eq!(sent_to(step_of(2, &effects)).0, "r1");
}

#[test]
fn an_answer_to_a_question_from_before_confirms_nothing() {
    let mut bed = woken();
    let before = Millis(bed.now - 1);
    for table in [StoreTable::Operator, StoreTable::Runners] {
        bed.feed(Event::Confirmed(table, before));
    }
    assert_eq!(call(&mut bed, 1), None);
}

#[test]
fn what_was_chosen_before_is_not_sent_either() {
    let mut bed = Bed::new();
    bed.list("r1", PLAIN_SERVICE, 1);
    sent_to(call(&mut bed, 1));
    bed.feed(Event::Woke);
    assert!(!bed.gateway.may_send(Millis(bed.now), RequestKey(1)));
    confirm(&mut bed, StoreTable::Operator);
    confirm(&mut bed, StoreTable::Runners);
    assert!(bed.gateway.may_send(Millis(bed.now), RequestKey(1)));
}

#[test]
fn where_the_store_is_away_it_goes_on_with_what_it_knows_after_a_while() {
    let mut bed = woken();
    assert_eq!(call(&mut bed, 1), None);
    bed.pass(HOLD - 1);
    assert_eq!(call(&mut bed, 2), None);
    bed.now += 1;
    let effects = bed.feed(Event::Tick);
    assert_eq!(sent_to(step_of(1, &effects)).0, "r1");
}

#[test]
fn a_request_whose_time_is_over_meanwhile_is_refused() {
    let mut bed = woken();
    let limit = Millis(bed.now + 300);
    let short = Arrival { limit, ..arrival(1, PLAIN_SERVICE, RouteKind::Safe) };
    assert_eq!(bed.arrive(short), None);
    bed.now += 301;
    match bed.step(1, Event::Tick) {
        Some(NextStep::Refuse { code, .. }) => assert_eq!(code, Code::NotReady),
        other => panic!("{other:?}"),
    }
}
