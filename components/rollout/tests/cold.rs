//! Places at a runner that is cold.

mod support;

use fleet::Millis;
use rollout::*;
use support::{options, plan};

const PLAN: ColdPlan = ColdPlan { start_ms: 3000, requests_per_s: 26.0 };
const LIMIT: ColdLimit = ColdLimit { overrun: 1.5, slack: 5.0 };

/// A sidecar with a clock, and the moments when it gave places.
struct Bed {
    sidecar: Rollout,
    now: u64,
    sequence: u64,
    granted: Vec<u64>,
}

impl Bed {
    fn new(limit: Option<ColdLimit>, cold: Option<ColdPlan>) -> Self {
        let options = RolloutOptions { evacuate_ms: None, cold: limit, ..options(1) };
        let plan = WeightsPlan { slots: 500, prompt_tokens_per_ms: 100.0, cold, ..plan() };
        let sidecar = Rollout::new(options);
        let mut bed = Self { sidecar, now: 1_000_000, sequence: 3, granted: Vec::new() };
        bed.feed(Event::Planned(plan));
        bed.feed(Event::VersionsKnown);
        bed
    }

    fn feed(&mut self, event: Event) -> Vec<Effect> {
        let effects = self.sidecar.reduce(Millis(self.now), event);
        for effect in &effects {
            if matches!(effect, Effect::Answer(_, Verdict::Granted)) {
                self.granted.push(self.now);
            }
        }
        effects
    }

    fn report(&mut self) {
        let sequence = self.sequence;
        let status = RunnerStatus {
            born: None,
            sequence,
            busy: false,
            running: 0,
            waiting: 0,
            version: Some(1),
        };
        self.feed(Event::Status(status));
    }

    fn ask(&mut self, wait_ms: u64) -> Vec<Effect> {
        let (asker, number) = (([10, 0, 0, 2], 7700).into(), self.now);
        let request = String::new();
        self.feed(Event::Asked(Question {
            asker,
            number,
            request,
            prompt_tokens: 10,
            rank: 0,
            left_ms: 400,
            wait_ms,
        }))
    }

    /// Asks twice every five milliseconds; the runner reports every 25.
    fn run(&mut self, span: u64) {
        for _ in 0..span / 5 {
            self.now += 5;
            if self.now.is_multiple_of(25) {
                self.report();
            }
            self.ask(0);
            self.ask(60);
        }
    }

    /// Places given in the last second.
    fn given(&self) -> usize {
        self.granted.iter().filter(|at| **at + 1000 > self.now).count()
    }

    /// The most places given in any second and the time that a grant may take.
    fn most_given(&self) -> usize {
        let within =
            |from: u64| self.granted.iter().filter(move |at| (from..=from + 1395).contains(*at));
        self.granted.iter().map(|from| within(*from).count()).max().unwrap_or(0)
    }

    /// A sidecar whose runner has been warm for a while.
    fn warm() -> Self {
        let mut bed = Self::new(Some(LIMIT), Some(PLAN));
        bed.report();
        bed.now += 3000;
        bed.report();
        bed
    }

    fn left_ms(&self) -> u64 {
        self.sidecar.cold().left_ms(Millis(self.now))
    }
}

const BOUND: f64 = 26.0 * 1.5 + 5.0;

#[test]
fn a_runner_that_was_just_heard_for_the_first_time_gets_what_a_cold_one_bears() {
    let mut bed = Bed::new(Some(LIMIT), Some(PLAN));
    bed.run(2500);
    assert!((20..=29).contains(&bed.given()), "{} in a second", bed.given());
    assert!(bed.most_given() as f64 <= BOUND);
    bed.run(2000);
    assert!(bed.given() > 200, "it is warm after the length of a start: {}", bed.given());
}

#[test]
fn a_runner_that_is_told_to_be_cold_gets_less_at_once_and_as_long_as_it_is_told() {
    let mut bed = Bed::warm();
    bed.run(1000);
    assert!(bed.given() > 200);
    bed.granted.clear();
    bed.feed(Event::ColdFor(4000));
    bed.run(3990);
    let most = bed.most_given();
    assert!((20..=BOUND as usize).contains(&most), "{most} in a second");
    bed.run(1000);
    assert!(bed.given() > 200);
}

#[test]
fn a_runner_that_restarts_is_cold_before_anybody_tells() {
    let mut bed = Bed::warm();
    bed.sequence = 0;
    bed.report();
    assert_eq!(bed.left_ms(), 3000);
    let mut bed = Bed::warm();
    bed.feed(Event::Silent);
    bed.now += 400;
    bed.report();
    assert_eq!(bed.left_ms(), 3000);
}

#[test]
fn a_word_of_an_earlier_life_does_not_end_a_start() {
    let mut bed = Bed::new(Some(LIMIT), Some(ColdPlan { start_ms: 8000, ..PLAN }));
    bed.report();
    bed.now += 500;
    bed.feed(Event::ColdFor(0));
    assert_eq!(bed.left_ms(), 7500);
    bed.now += 2500;
    bed.feed(Event::ColdFor(0));
    assert_eq!(bed.left_ms(), 0, "by now the list tells of this life");
}

#[test]
fn the_longest_word_counts() {
    let mut bed = Bed::warm();
    bed.feed(Event::ColdFor(2000));
    bed.feed(Event::ColdFor(0));
    bed.feed(Event::ColdFor(700));
    assert_eq!(bed.left_ms(), 2000);
}

#[test]
fn a_question_waits_for_its_turn_at_a_cold_runner() {
    let mut bed = Bed::warm();
    bed.feed(Event::ColdFor(4000));
    let answer = bed.ask(200);
    assert!(matches!(answer[0], Effect::Answer(_, Verdict::Queued)));
    bed.now += 40;
    bed.report();
    assert_eq!(bed.granted.len(), 1);
    let answer = bed.ask(0);
    let Effect::Answer(_, Verdict::Denied { denial: Denial::Cold, again_ms, .. }) = answer[0]
    else {
        panic!("{answer:?}");
    };
    assert!((30..=50).contains(&again_ms), "a place in {again_ms} ms");
}

#[test]
fn a_tight_bound_lowers_the_rate() {
    let limit = ColdLimit { overrun: 1.0, slack: 1.0 };
    let mut bed = Bed::new(Some(limit), Some(ColdPlan { start_ms: 9000, ..PLAN }));
    bed.run(6000);
    assert!((18..=27).contains(&bed.most_given()), "{} in a second", bed.most_given());
}

#[test]
fn a_limit_that_comes_and_goes_while_the_process_runs_counts_at_once() {
    let mut bed = Bed::new(None, Some(PLAN));
    bed.feed(Event::ColdFor(9000));
    bed.run(1000);
    assert!(bed.given() > 200);
    bed.feed(Event::ColdBounded(Some(LIMIT)));
    bed.granted.clear();
    bed.run(1500);
    assert!((20..=29).contains(&bed.given()), "{}", bed.given());
    bed.feed(Event::ColdBounded(None));
    bed.run(1000);
    assert!(bed.given() > 200);
}

#[test]
fn nothing_is_held_back_without_bounds_or_without_a_profile() {
    for (limit, cold) in [(None, Some(PLAN)), (Some(LIMIT), None)] {
        let mut bed = Bed::new(limit, cold);
        bed.feed(Event::ColdFor(5000));
        bed.run(1000);
        assert!(bed.given() > 200, "{}", bed.given());
        assert_eq!(bed.left_ms(), 0);
    }
}
