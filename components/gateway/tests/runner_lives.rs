//! A runner that starts again under the name that it had.

mod support;

use errors::Code;
use fleet::LifeWord;
use gateway::*;
use proptest::prelude::*;
use support::*;

fn word(born: u64, sequence: u64) -> LifeWord {
    LifeWord { born: Some(born), sequence }
}

/// An entry of a life of `r1`.
fn entry(life: LifeWord) -> RunnerRecord {
    RunnerRecord { life, ..record("r1", MODEL_SERVICE, 1) }
}

fn report(life: LifeWord, running: u32) -> Event {
    Event::Load(([127, 0, 0, 1], 1).into(), RunnerLoad { life, ..load(1, running) })
}

/// A gateway that knows a life of `r1`, born at 5, with so many requests of its own there.
fn bed(requests: u64) -> Bed {
    let mut bed = Bed::new();
    bed.feed(Event::Listed(entry(word(5, 2))));
    bed.feed(report(word(5, 2), 0));
    for key in 0..requests {
        sent_to(bed.arrive(arrival(key, MODEL_SERVICE, RouteKind::Safe)));
    }
    bed
}

fn occupancy(bed: &mut Bed, key: u64) -> u32 {
    target_of(bed.arrive(arrival(key, MODEL_SERVICE, RouteKind::Safe))).seen.occupancy
}

#[test]
fn the_next_life_has_none_of_the_load_and_pauses_of_the_one_before() {
    let mut bed = bed(3);
    bed.outcome(0, AttemptOutcome::Lost);
    assert_eq!(bed.arrive(arrival(9, MODEL_SERVICE, RouteKind::Safe)), None, "it is left alone");
    let step = bed.step(9, Event::Listed(entry(word(8, 2))));
    assert_eq!(target_of(step).seen.occupancy, 0);
}

#[test]
fn a_report_tells_of_the_next_life_before_the_list_does() {
    let mut bed = bed(3);
    bed.feed(report(word(8, 2), 0));
    assert_eq!(occupancy(&mut bed, 9), 0);
    // The list still has the entry of the life before, and then catches up.
    bed.feed(Event::Listed(entry(word(5, 2))));
    bed.feed(Event::Listed(entry(word(8, 0))));
    assert_eq!(occupancy(&mut bed, 10), 1);
}

#[test]
fn requests_of_an_earlier_life_end_without_a_trace_at_the_later_one() {
    let mut bed = bed(2);
    bed.feed(report(word(8, 0), 0));
    assert_eq!(occupancy(&mut bed, 9), 0);
    bed.outcome(0, AttemptOutcome::Cut);
    bed.feed(Event::Gone(RequestKey(1)));
    assert_eq!(occupancy(&mut bed, 10), 1, "only the one that was sent to this life");
}

#[test]
fn a_word_of_an_earlier_life_changes_nothing() {
    let mut bed = bed(0);
    bed.feed(report(word(8, 0), 0));
    let effects = bed.feed(report(word(5, 9), 4));
    assert!(matches!(effects[..], [Effect::Life(_)]), "{effects:?}");
    let leaving = RunnerRecord { state: RunnerState::Draining, ..entry(word(5, 9)) };
    bed.feed(Event::Listed(leaving));
    assert_eq!(occupancy(&mut bed, 9), 0);
}

#[test]
fn a_birth_that_is_left_out_is_an_error_that_names_the_runner() {
    let mut bed = bed(0);
    let untold = LifeWord { born: None, sequence: 9 };
    let leaving = RunnerRecord { state: RunnerState::Draining, ..entry(untold) };
    let effects = bed.feed(Event::Listed(leaving));
    let fault = |it: &Effect| matches!(it, Effect::Life(news) if news.runner == "r1".into());
    assert!(effects.iter().any(fault), "{effects:?}");
    assert_eq!(occupancy(&mut bed, 9), 0, "the entry is as it was");
}

#[test]
fn a_runner_that_never_tells_its_birth_is_served_and_its_lives_told_apart_by_orders() {
    let mut bed = Bed::new();
    let untold = |sequence| LifeWord { born: None, sequence };
    bed.feed(Event::Listed(entry(untold(3))));
    bed.feed(report(untold(3), 2));
    assert_eq!(occupancy(&mut bed, 1), 2);
    // The list is older than the report: that is no other life.
    bed.feed(Event::Listed(entry(untold(3))));
    bed.feed(report(untold(4), 2));
    bed.feed(Event::Listed(entry(untold(3))));
    assert_eq!(occupancy(&mut bed, 2), 2);
    bed.feed(report(untold(0), 0));
    assert_eq!(occupancy(&mut bed, 3), 0);
}

#[test]
fn reports_without_a_birth_count_for_a_runner_whose_entry_tells_one() {
    let mut bed = Bed::new();
    let untold = |sequence| LifeWord { born: None, sequence };
    bed.feed(Event::Listed(entry(word(5, 2))));
    assert!(bed.feed(report(untold(2), 3)).is_empty(), "nothing is wrong with it");
    assert_eq!(occupancy(&mut bed, 1), 3);
    bed.feed(Event::Listed(entry(word(5, 3))));
    bed.feed(report(untold(3), 2));
    assert_eq!(occupancy(&mut bed, 2), 2);
    // It has taken fewer orders than before: another life, which the list tells of later.
    bed.feed(report(untold(0), 0));
    assert_eq!(occupancy(&mut bed, 3), 0);
    let late = bed.feed(Event::Listed(entry(word(5, 4))));
    assert!(matches!(late[..], [Effect::Life(_)]), "an entry of the life before: {late:?}");
    bed.feed(Event::Listed(entry(word(8, 0))));
    bed.feed(report(untold(0), 1));
    assert_eq!(occupancy(&mut bed, 4), 1);
}

#[test]
fn a_report_that_leaves_out_the_birth_it_told_before_is_of_no_life() {
    let mut bed = bed(0);
    let effects = bed.feed(report(LifeWord { born: None, sequence: 2 }, 4));
    assert!(matches!(effects[..], [Effect::Life(_)]), "{effects:?}");
    assert_eq!(occupancy(&mut bed, 9), 0);
}

#[test]
fn nothing_is_sent_to_a_life_that_was_not_chosen() {
    let mut bed = bed(1);
    let now = fleet::Millis(bed.now);
    assert!(bed.gateway.may_send(now, RequestKey(0)));
    bed.feed(report(word(8, 0), 0));
    assert!(!bed.gateway.may_send(now, RequestKey(0)));
}

#[test]
fn each_life_that_ends_under_a_request_counts() {
    let mut bed = Bed::new();
    let digest = quarantine::RequestDigest(77);
    for life in 1..=3 {
        bed.feed(Event::Listed(entry(word(life, 0))));
        bed.pass(5000);
        let single =
            Arrival { attempts: 1, digest, ..arrival(life, MODEL_SERVICE, RouteKind::Safe) };
        sent_to(bed.arrive(single));
        bed.outcome(life, AttemptOutcome::Cut);
        bed.feed(report(word(life + 1, 0), 0));
        bed.pass(20);
    }
    let step = bed.arrive(Arrival { digest, ..arrival(9, MODEL_SERVICE, RouteKind::Safe) });
    assert!(matches!(step, Some(NextStep::Refuse { code: Code::Quarantined, .. })), "{step:?}");
}

/// A word of a life of `r1`, told by its entry or by its sidecar, in whatever order words arrive by way of other processes.
#[derive(Clone, Debug)]
struct Word {
    born: u64,
    is_entry: bool,
    running: u32,
}

fn words() -> impl Strategy<Value = Vec<Word>> {
    let one = (1..6_u64, any::<bool>(), 0..4_u32).prop_map(|(born, is_entry, running)| Word {
        born,
        is_entry,
        running,
    });
    prop::collection::vec(one, 1..40)
}

proptest! {
    /// What is known is of the latest life that any word told of, by the words of that life alone.
    #[test]
    fn words_of_earlier_lives_change_nothing_in_whatever_order_they_arrive(words in words()) {
        let mut bed = Bed::new();
        bed.feed(Event::Listed(entry(word(0, 0))));
        let (mut latest, mut running) = (0, None);
        for Word { born, is_entry, running: told } in words {
            if born > latest {
                (latest, running) = (born, None);
            }
            if !is_entry && born == latest {
                running = Some(told);
            }
            bed.feed(match is_entry {
                true => Event::Listed(entry(word(born, 0))),
                false => report(word(born, 0), told),
            });
            let runner = bed.gateway.pool().runner(&"r1".into()).expect("it is listed");
            prop_assert_eq!(runner.born, Some(latest));
            let known = runner.load(fleet::Millis(bed.now)).map(|it| it.running);
            prop_assert_eq!(known, running);
        }
    }
}
