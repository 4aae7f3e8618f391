//! Questions of gateways for a place at the runner, and those that wait for one.

use std::collections::BTreeMap;

use fleet::{Ablation, InstanceId, Millis, Place};
use proptest::prelude::*;
use rollout::*;

const SLOTS: u32 = 4;

fn options() -> RolloutOptions {
    RolloutOptions {
        ablation: Ablation::default(),
        me: InstanceId("10.0.0.1".into()),
        place: Place { region: "r".into(), hall: "h".into() },
        link_bytes_per_s: 950_000,
        control_bytes_per_s: 6000,
        version_ms: 8000,
        evacuate_ms: Some(5000),
        cold: None,
    }
}

fn plan() -> WeightsPlan {
    WeightsPlan {
        model: "m".into(),
        warm_ms: 300,
        origin_bytes_per_s: 1_240_000,
        slots: SLOTS,
        prompt_tokens_per_ms: 19.0,
        cold: None,
    }
}

fn question(number: u64, rank: u8, wait_ms: u64) -> Question {
    let asker = ([10, 0, 0, 2], 7700).into();
    let request = format!("q{number}");
    Question { asker, number, request, prompt_tokens: 10, rank, left_ms: 400, wait_ms }
}

/// A question for a later try of a caller that was refused.
fn later(number: u64, rank: u8) -> Question {
    Question { left_ms: 0, ..question(number, rank, 100) }
}

/// A sidecar whose runner has one place left, and where a first try of this rank has found none.
fn short_sidecar(rank: u8) -> Rollout {
    let mut sidecar = sidecar(1000, SLOTS);
    ask(&mut sidecar, 1000, question(900, rank, 0));
    report(&mut sidecar, 1030, SLOTS - 1);
    sidecar
}

/// A sidecar whose runner serves version 1 and works on `running` requests.
fn sidecar(now: u64, running: u32) -> Rollout {
    let mut sidecar = Rollout::new(options());
    sidecar.reduce(Millis(now), Event::Planned(plan()));
    sidecar.reduce(Millis(now), Event::VersionsKnown);
    report(&mut sidecar, now, running);
    sidecar
}

fn report(sidecar: &mut Rollout, now: u64, running: u32) -> Vec<(u64, Verdict)> {
    let status = RunnerStatus {
        born: None,
        sequence: 0,
        busy: false,
        running,
        waiting: 0,
        version: Some(1),
    };
    answers(sidecar.reduce(Millis(now), Event::Status(status)))
}

fn ask(sidecar: &mut Rollout, now: u64, question: Question) -> Verdict {
    let answers = answers(sidecar.reduce(Millis(now), Event::Asked(question)));
    assert_eq!(answers.len(), 1);
    answers[0].1
}

fn answers(effects: Vec<Effect>) -> Vec<(u64, Verdict)> {
    let answer = |effect| match effect {
        Effect::Answer(question, verdict) => Some((question.number, verdict)),
        _ => None,
    };
    effects.into_iter().filter_map(answer).collect()
}

fn is_denied(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::Denied { .. })
}

#[test]
fn a_question_that_may_not_wait_is_denied_when_every_place_is_taken() {
    let mut sidecar = sidecar(1000, SLOTS);
    assert!(is_denied(ask(&mut sidecar, 1001, question(1, 1, 0))));
    assert_eq!(sidecar.waiting(), 0);
}

#[test]
fn a_question_waits_until_a_place_comes_free() {
    let mut sidecar = sidecar(1000, SLOTS);
    assert_eq!(ask(&mut sidecar, 1001, question(1, 1, 100)), Verdict::Queued);
    assert_eq!(report(&mut sidecar, 1025, SLOTS), vec![]);
    assert_eq!(report(&mut sidecar, 1050, SLOTS - 1), vec![(1, Verdict::Granted)]);
    assert_eq!(sidecar.waiting(), 0);
}

#[test]
fn a_question_whose_time_is_over_is_denied() {
    let mut sidecar = sidecar(1000, SLOTS);
    ask(&mut sidecar, 1001, question(1, 1, 50));
    let answers = report(&mut sidecar, 1060, SLOTS);
    assert_eq!(answers.len(), 1);
    assert!(is_denied(answers[0].1));
}

#[test]
fn the_more_urgent_rank_is_answered_first_and_equals_in_turn() {
    let mut sidecar = sidecar(1000, SLOTS);
    for (number, rank) in [(1, 2), (2, 1), (3, 2), (4, 1)] {
        ask(&mut sidecar, 1001, question(number, rank, 100));
    }
    let granted: Vec<u64> = report(&mut sidecar, 1050, 0).iter().map(|it| it.0).collect();
    assert_eq!(granted, [2, 4, 1, 3]);
}

#[test]
fn a_question_does_not_overtake_those_that_wait() {
    let mut sidecar = sidecar(1000, SLOTS);
    ask(&mut sidecar, 1001, question(1, 1, 200));
    // The place that came free goes to the one that waits.
    assert_eq!(report(&mut sidecar, 1030, SLOTS - 1), vec![(1, Verdict::Granted)]);
    assert_eq!(ask(&mut sidecar, 1031, question(2, 1, 100)), Verdict::Queued);
}

#[test]
fn questions_that_wait_at_a_runner_that_falls_silent_go_elsewhere_at_once() {
    let mut sidecar = sidecar(1000, SLOTS);
    ask(&mut sidecar, 1001, question(1, 1, 100));
    let answers = answers(sidecar.reduce(Millis(1030), Event::Silent));
    assert_eq!(answers.len(), 1);
    assert!(is_denied(answers[0].1));
}

#[test]
fn few_questions_wait_at_once() {
    let mut sidecar = sidecar(1000, SLOTS);
    let verdicts: Vec<Verdict> =
        (0..30).map(|number| ask(&mut sidecar, 1001, question(number, 1, 100))).collect();
    let queued = verdicts.iter().filter(|it| **it == Verdict::Queued).count();
    assert!(queued <= 8, "{queued} wait");
    assert!(verdicts[20..].iter().all(|it| is_denied(*it)));
}

#[derive(Clone, Debug)]
enum Step {
    Ask { rank: u8, wait_ms: u64 },
    Report { running: u32 },
    Silent,
    Tick,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3u8, prop_oneof![Just(0), 20..200u64])
            .prop_map(|(rank, wait_ms)| Step::Ask { rank, wait_ms }),
        4 => (0..=SLOTS).prop_map(|running| Step::Report { running }),
        1 => Just(Step::Silent),
        3 => Just(Step::Tick),
    ]
}

proptest! {
    /// Each question gets one final answer, no later than its time and the next report, and between two
    /// reports no more places are given than there are.
    #[test]
    fn each_question_is_answered_once_and_in_time(
        steps in proptest::collection::vec((step(), 1..40u64), 1..80),
    ) {
        let mut sidecar = sidecar(1000, 0);
        let (mut now, mut next) = (1000, 0);
        let mut open: BTreeMap<u64, u64> = BTreeMap::new();
        let (mut running, mut given) = (0, 0);
        for (step, pause) in steps {
            now += pause;
            let effects = match step {
                Step::Ask { rank, wait_ms } => {
                    next += 1;
                    open.insert(next, now + wait_ms);
                    sidecar.reduce(Millis(now), Event::Asked(question(next, rank, wait_ms)))
                }
                Step::Report { running: reported } => {
                    (running, given) = (reported, 0);
                    let status =
                        RunnerStatus { born: None, sequence: 0, busy: false, running, waiting: 0, version: Some(1) };
                    sidecar.reduce(Millis(now), Event::Status(status))
                }
                Step::Silent => sidecar.reduce(Millis(now), Event::Silent),
                Step::Tick => sidecar.reduce(Millis(now), Event::Tick),
            };
            let may_settle = !matches!(step, Step::Ask { .. });
            for (number, verdict) in answers(effects) {
                match verdict {
                    Verdict::Queued => prop_assert!(open.contains_key(&number)),
                    Verdict::Granted => {
                        given += 1;
                        prop_assert!(running + given <= SLOTS, "{running} + {given} places");
                        prop_assert!(open.remove(&number).is_some(), "answered twice");
                    }
                    Verdict::Denied { .. } => {
                        prop_assert!(open.remove(&number).is_some(), "answered twice");
                    }
                }
            }
            if may_settle {
                let late = open.values().any(|until| *until <= now);
                prop_assert!(!late, "a question is late at {now}: {open:?}");
            }
        }
    }
}

/// The moment at which a version was named, and by when requests may not start on the one before.
const NAMED_AT: u64 = 10_000;
const BOUND: u64 = NAMED_AT + 8000;

fn name(sidecar: &mut Rollout, now: u64, named_at: Option<Millis>) {
    sidecar.reduce(Millis(now), Event::Named { version: 2, named_at, after_ms: None });
    sidecar.reduce(Millis(now), Event::Peers(Vec::new()));
    sidecar.reduce(Millis(now), Event::Tick);
}

/// A sidecar that was killed while a version moved took the version for newly named when it was back,
/// and gave places on the old one past its bound.
#[test]
fn a_sidecar_that_starts_again_keeps_to_the_bound_that_others_know() {
    let started = NAMED_AT + 2000;
    let mut sidecar = sidecar(started, 0);
    name(&mut sidecar, started, None);
    name(&mut sidecar, started + 100, Some(Millis(NAMED_AT)));
    report(&mut sidecar, BOUND - 500, 0);
    assert!(is_denied(ask(&mut sidecar, BOUND - 499, question(1, 1, 0))));
}

#[test]
fn a_later_word_on_when_a_version_was_named_changes_nothing() {
    let mut sidecar = sidecar(NAMED_AT, 0);
    name(&mut sidecar, NAMED_AT, Some(Millis(NAMED_AT)));
    name(&mut sidecar, NAMED_AT + 3000, Some(Millis(NAMED_AT + 2000)));
    report(&mut sidecar, BOUND - 500, 0);
    assert!(is_denied(ask(&mut sidecar, BOUND - 499, question(1, 1, 0))));
}

#[test]
fn no_place_is_given_on_an_old_version_where_requests_wait_to_start() {
    for (waiting, denied) in [(0, false), (2, true)] {
        let mut sidecar = sidecar(NAMED_AT, 0);
        name(&mut sidecar, NAMED_AT, Some(Millis(NAMED_AT)));
        for now in [BOUND - 1800, BOUND - 1400, BOUND - 1000] {
            let status = RunnerStatus {
                born: None,
                sequence: 0,
                busy: false,
                running: 2,
                waiting,
                version: Some(1),
            };
            sidecar.reduce(Millis(now), Event::Status(status));
        }
        assert_eq!(is_denied(ask(&mut sidecar, BOUND - 990, question(1, 1, 0))), denied);
    }
}

#[test]
fn a_bound_that_becomes_shorter_holds_for_the_next_question() {
    let mut sidecar = sidecar(NAMED_AT, 0);
    name(&mut sidecar, NAMED_AT, Some(Millis(NAMED_AT)));
    report(&mut sidecar, NAMED_AT + 4000, 0);
    assert!(!is_denied(ask(&mut sidecar, NAMED_AT + 4001, question(1, 1, 0))));
    sidecar.reduce(
        Millis(NAMED_AT + 4002),
        Event::Bounded { version_ms: 4100, evacuate_ms: Some(5000) },
    );
    assert!(is_denied(ask(&mut sidecar, NAMED_AT + 4003, question(2, 1, 0))));
}

#[test]
fn a_later_try_leaves_the_last_place_to_first_ones() {
    let mut sidecar = short_sidecar(1);
    let verdict = ask(&mut sidecar, 1031, later(1, 1));
    assert!(
        matches!(verdict, Verdict::Denied { denial: Denial::RepeatedAttempt, .. }),
        "{verdict:?}"
    );
    assert_eq!(ask(&mut sidecar, 1032, question(2, 1, 0)), Verdict::Granted);
}

#[test]
fn a_later_try_gets_a_place_where_another_one_stays_free() {
    let mut sidecar = short_sidecar(1);
    report(&mut sidecar, 1060, SLOTS - 2);
    assert_eq!(ask(&mut sidecar, 1061, later(1, 1)), Verdict::Granted);
}

#[test]
fn a_later_try_gets_the_last_place_where_no_first_try_was_denied_lately() {
    let mut sidecar = short_sidecar(1);
    report(&mut sidecar, 1400, SLOTS - 1);
    assert_eq!(ask(&mut sidecar, 1401, later(1, 1)), Verdict::Granted);
}

#[test]
fn a_later_try_is_not_held_back_by_first_tries_that_are_less_urgent() {
    let mut sidecar = short_sidecar(2);
    assert_eq!(ask(&mut sidecar, 1031, later(1, 1)), Verdict::Granted);
}

/// Callers whose deadlines are unusual look like later tries.
#[test]
fn one_place_in_twenty_five_goes_to_later_tries_however_short_places_are() {
    let mut sidecar = short_sidecar(1);
    let mut granted = 0;
    for turn in 0..250 {
        let now = 1100 + turn * 100;
        report(&mut sidecar, now, SLOTS - 1);
        if ask(&mut sidecar, now, later(2 * turn, 1)) == Verdict::Granted {
            granted += 1;
        } else {
            assert_eq!(ask(&mut sidecar, now, question(2 * turn + 1, 1, 0)), Verdict::Granted);
        }
        ask(&mut sidecar, now, question(900 + turn, 1, 0));
    }
    assert_eq!(granted, 10);
}

#[test]
fn places_given_while_there_was_room_bring_no_later_try_before_first_ones() {
    let mut sidecar = sidecar(1000, 0);
    for turn in 0..60 {
        report(&mut sidecar, 1000 + turn * 100, 0);
        ask(&mut sidecar, 1001 + turn * 100, question(turn, 1, 0));
    }
    report(&mut sidecar, 7100, SLOTS);
    assert!(is_denied(ask(&mut sidecar, 7101, question(100, 1, 0))));
    report(&mut sidecar, 7130, SLOTS - 1);
    assert!(is_denied(ask(&mut sidecar, 7131, later(101, 1))));
}

#[test]
fn a_denial_tells_for_how_long_places_have_been_short() {
    let mut sidecar = sidecar(1000, SLOTS);
    let mut short_ms = |now, number| {
        report(&mut sidecar, now, SLOTS);
        match ask(&mut sidecar, now, question(number, 1, 0)) {
            Verdict::Denied { short_ms, .. } => short_ms,
            verdict => panic!("expected a denial, got {verdict:?}"),
        }
    };
    assert_eq!(short_ms(1000, 1), 0);
    assert_eq!(short_ms(2500, 2), 1500);
    assert_eq!(short_ms(4000, 3), 3000);
    assert_eq!(short_ms(6500, 4), 0, "nobody found it full for more than two seconds");
}

#[test]
fn what_has_least_left_of_its_aim_goes_first_among_equal_ranks() {
    let mut sidecar = sidecar(1000, SLOTS);
    ask(&mut sidecar, 1001, question(1, 1, 100));
    ask(&mut sidecar, 1002, Question { left_ms: 320, ..question(2, 1, 100) });
    ask(&mut sidecar, 1003, Question { left_ms: 0, ..question(3, 0, 100) });
    let order: Vec<u64> = (0..3)
        .flat_map(|turn| {
            // One place comes free with each report, and what was granted takes it.
            report(&mut sidecar, 1030 + turn * 30, SLOTS - 1)
        })
        .map(|(number, _)| number)
        .collect();
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn a_sidecar_that_stood_still_gives_no_place_until_a_gateway_has_told_it_again() {
    let mut sidecar = sidecar(1000, 0);
    assert_eq!(ask(&mut sidecar, 1001, question(1, 1, 0)), Verdict::Granted);
    sidecar.reduce(Millis(5000), Event::Woke);
    report(&mut sidecar, 5010, 0);
    assert!(is_denied(ask(&mut sidecar, 5011, question(2, 1, 0))));
    // What a gateway said meanwhile waits in the socket.
    sidecar.reduce(Millis(5020), Event::VersionsKnown);
    assert!(is_denied(ask(&mut sidecar, 5021, question(3, 1, 0))));
    sidecar.reduce(Millis(5400), Event::VersionsKnown);
    report(&mut sidecar, 5410, 0);
    assert_eq!(ask(&mut sidecar, 5411, question(4, 1, 0)), Verdict::Granted);
}

#[test]
fn a_runner_that_leaves_gives_no_place_and_those_who_wait_are_told() {
    let mut sidecar = sidecar(1000, SLOTS);
    assert_eq!(ask(&mut sidecar, 1001, question(1, 1, 400)), Verdict::Queued);
    let told = answers(sidecar.reduce(Millis(1010), Event::RunnerLeaves(true)));
    assert!(
        matches!(told[..], [(1, Verdict::Denied { denial: Denial::RunnerLeaves, .. })]),
        "{told:?}"
    );
    report(&mut sidecar, 1020, 0);
    assert!(is_denied(ask(&mut sidecar, 1021, question(2, 1, 400))));
}
