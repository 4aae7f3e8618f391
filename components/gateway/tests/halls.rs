//! What a gateway makes of a data hall that falls silent.

mod support;

use fleet::InstanceId;
use gateway::*;
use support::*;

/// Runners 1 to 4 in hall `a`, where the gateway stands, and 5 to 8 in hall `b`, all idle.
fn two_halls() -> Bed {
    let mut bed = Bed::new();
    for port in 1..=8 {
        let hall = if port <= 4 { "a" } else { "b" };
        let id = format!("r{port}");
        let record = RunnerRecord { hall: hall.into(), ..record(&id, MODEL_SERVICE, port) };
        bed.feed(Event::Listed(record));
        bed.feed(Event::Load(([127, 0, 0, 1], port).into(), load(1, 0)));
    }
    bed
}

/// Sends requests until two runners of hall `a` did not answer.
fn lose_hall(bed: &mut Bed) {
    for key in 1..=2 {
        let first = sent_to(bed.arrive(arrival(key, MODEL_SERVICE, RouteKind::Safe)));
        assert!(is_in_first_hall(&first), "near runners go first: {first:?}");
        bed.outcome(key, AttemptOutcome::Silent);
    }
}

fn is_in_first_hall(id: &InstanceId) -> bool {
    ["r1", "r2", "r3", "r4"].contains(&id.0.as_str())
}

/// Where the next request goes.
fn next(bed: &mut Bed, key: u64) -> InstanceId {
    sent_to(bed.arrive(arrival(key, MODEL_SERVICE, RouteKind::Safe)))
}

#[test]
fn two_silent_runners_have_the_rest_of_their_hall_passed_over() {
    let mut bed = two_halls();
    bed.now += 700;
    lose_hall(&mut bed);
    assert!(!is_in_first_hall(&next(&mut bed, 3)));
}

#[test]
fn one_silent_runner_says_nothing_of_its_hall() {
    let mut bed = two_halls();
    bed.now += 700;
    assert!(is_in_first_hall(&next(&mut bed, 1)));
    bed.outcome(1, AttemptOutcome::Silent);
    assert!(is_in_first_hall(&next(&mut bed, 2)));
}

#[test]
fn a_hall_of_which_something_is_heard_is_not_silent() {
    let mut bed = two_halls();
    bed.now += 700;
    lose_hall(&mut bed);
    bed.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(1, 0)));
    assert!(is_in_first_hall(&next(&mut bed, 3)));
}

#[test]
fn a_runner_whose_report_is_fresh_is_chosen_in_a_silent_hall() {
    let mut bed = two_halls();
    bed.now += 300;
    lose_hall(&mut bed);
    assert!(is_in_first_hall(&next(&mut bed, 3)));
}

#[test]
fn a_silent_hall_is_tried_where_nothing_else_is_left() {
    let mut bed = two_halls();
    bed.now += 700;
    lose_hall(&mut bed);
    (5..=8).for_each(|port| {
        bed.feed(Event::Unlisted(format!("r{port}").as_str().into()));
    });
    assert!(is_in_first_hall(&next(&mut bed, 3)));
}

/// While the others were full gateways asked the silent ones, 45 ms each: 158 questions in a second's logs.
#[test]
fn a_silent_hall_is_not_tried_because_the_others_are_full() {
    let mut bed = two_halls();
    bed.now += 700;
    lose_hall(&mut bed);
    for port in 5..=8 {
        bed.feed(Event::Load(([127, 0, 0, 1], port).into(), load(1, 8)));
    }
    assert_eq!(bed.arrive(arrival(3, MODEL_SERVICE, RouteKind::Safe)), None, "it waits");
}

#[test]
fn silence_is_forgotten() {
    let mut bed = two_halls();
    bed.now += 700;
    lose_hall(&mut bed);
    bed.now += 4100;
    assert!(is_in_first_hall(&next(&mut bed, 3)));
}

/// Runners without sidecars report nothing: only their answers tell that their hall is there.
#[test]
fn a_hall_of_which_a_runner_answers_is_not_silent() {
    let mut bed = Bed::new();
    for port in 1..=8 {
        let hall = if port <= 4 { "a" } else { "b" };
        let id = format!("r{port}");
        let record = RunnerRecord { hall: hall.into(), ..record(&id, PLAIN_SERVICE, port) };
        bed.feed(Event::Listed(record));
    }
    bed.arrive(arrival(9, PLAIN_SERVICE, RouteKind::Safe));
    for key in 1..=2 {
        let first = sent_to(bed.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe)));
        assert!(is_in_first_hall(&first), "near runners go first: {first:?}");
        bed.outcome(key, AttemptOutcome::NotSent);
    }
    bed.outcome(9, AttemptOutcome::Answered);
    let next = sent_to(bed.arrive(arrival(3, PLAIN_SERVICE, RouteKind::Safe)));
    assert!(is_in_first_hall(&next));
}

#[test]
fn a_silent_hall_is_tried_where_all_others_were_tried() {
    let mut bed = two_halls();
    bed.now += 700;
    lose_hall(&mut bed);
    (6..=8).for_each(|port| {
        bed.feed(Event::Unlisted(format!("r{port}").as_str().into()));
    });
    assert_eq!(next(&mut bed, 3), "r5".into());
    let again = sent_to(bed.outcome(3, AttemptOutcome::Failed));
    assert!(is_in_first_hall(&again));
}
