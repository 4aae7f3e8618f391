//! A runner that starts again under the name that it had, as its sidecar finds.

mod support;

use fleet::{LifeChange, Millis};
use rollout::*;
use support::{options, plan};

/// A sidecar whose runner, born at 5, has taken two orders and works on so many requests.
struct Bed {
    sidecar: Rollout,
    now: u64,
}

impl Bed {
    fn new(running: u32) -> Self {
        Self::born(Some(5), running)
    }

    fn born(born: Option<u64>, running: u32) -> Self {
        let options = RolloutOptions {
            evacuate_ms: None,
            cold: Some(ColdLimit { overrun: 1.5, slack: 5.0 }),
            ..options(1)
        };
        let plan = WeightsPlan {
            slots: 4,
            prompt_tokens_per_ms: 100.0,
            cold: Some(ColdPlan { start_ms: 3000, requests_per_s: 26.0 }),
            ..plan()
        };
        let mut bed = Self { sidecar: Rollout::new(options), now: 1_000_000 };
        bed.feed(Event::Planned(plan));
        bed.feed(Event::VersionsKnown);
        bed.feed(Event::Peers(Vec::new()));
        bed.report(born, 2, running);
        bed.now += 5000;
        bed.feed(Event::ColdFor(0));
        bed.report(born, 2, running);
        bed
    }

    fn feed(&mut self, event: Event) -> Vec<Effect> {
        self.sidecar.reduce(Millis(self.now), event)
    }

    fn report(&mut self, born: Option<u64>, sequence: u64, running: u32) -> Vec<Effect> {
        let status =
            RunnerStatus { born, sequence, busy: false, running, waiting: 0, version: Some(1) };
        self.feed(Event::Status(status))
    }

    fn is_granted(&mut self) -> bool {
        let question = Question {
            asker: ([10, 0, 0, 2], 7700).into(),
            number: self.now,
            request: String::new(),
            prompt_tokens: 10,
            rank: 0,
            left_ms: 400,
            wait_ms: 0,
        };
        let effects = self.feed(Event::Asked(question));
        effects.iter().any(|it| matches!(it, Effect::Answer(_, Verdict::Granted)))
    }
}

fn life(effects: &[Effect]) -> Option<LifeChange> {
    effects.iter().find_map(|it| match it {
        Effect::Life(change, _) => Some(*change),
        _ => None,
    })
}

#[test]
fn a_life_that_has_taken_as_many_orders_is_cold_all_the_same() {
    let mut bed = Bed::new(0);
    assert_eq!(bed.sidecar.cold().left_ms(Millis(bed.now)), 0);
    assert_eq!(life(&bed.report(Some(8), 2, 0)), Some(LifeChange::Began));
    assert!(bed.sidecar.cold().left_ms(Millis(bed.now)) > 0);
}

#[test]
fn places_of_the_life_before_do_not_count() {
    let mut bed = Bed::new(0);
    assert!((0..4).all(|_| bed.is_granted()), "four places");
    assert!(!bed.is_granted());
    assert_eq!(bed.sidecar.places().taken(), 4);
    bed.report(Some(8), 0, 0);
    assert_eq!(bed.sidecar.places().taken(), 0);
}

#[test]
fn a_word_of_an_earlier_life_or_without_a_birth_is_told_and_changes_nothing() {
    let mut bed = Bed::new(1);
    assert_eq!(life(&bed.report(Some(4), 9, 3)), Some(LifeChange::Earlier));
    assert_eq!(life(&bed.report(None, 9, 3)), Some(LifeChange::Untold));
    assert_eq!(bed.sidecar.status().map(|it| (it.sequence, it.running)), Some((2, 1)));
    assert_eq!(life(&bed.report(Some(5), 2, 2)), None);
}

#[test]
fn a_life_that_began_while_the_runner_was_silent_is_found() {
    let mut bed = Bed::new(1);
    bed.feed(Event::Silent);
    assert_eq!(life(&bed.report(Some(8), 2, 0)), Some(LifeChange::Began));
}

#[test]
fn where_no_birth_is_told_fewer_orders_are_another_life() {
    let mut bed = Bed::born(None, 1);
    assert_eq!(life(&bed.report(None, 3, 0)), None);
    assert_eq!(life(&bed.report(None, 1, 0)), Some(LifeChange::Began));
}
