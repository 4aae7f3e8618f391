//! Places at a runner that names the rate of requests that it takes.

mod support;

use fleet::{Millis, Rate, RateWord, ToldLimit};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rollout::*;
use support::{options, plan};

/// How many times its rate a runner may get in a window, how many requests on top, and the window in milliseconds.
const OVERRUN: f64 = 1.5;
const SLACK: f64 = 5.0;
const WINDOW: u64 = 4000;
/// How long after it was given a place may be used, in milliseconds.
const LATEST_USE: u64 = 400;

/// A sidecar with a clock, and the moments when it gave places.
struct Bed {
    sidecar: Rollout,
    now: u64,
    born: u64,
    granted: Vec<u64>,
    denied: usize,
}

impl Bed {
    fn new() -> Self {
        let options = RolloutOptions { evacuate_ms: None, ..options(1) };
        let plan = WeightsPlan { slots: 500, prompt_tokens_per_ms: 100.0, ..plan() };
        let sidecar = Rollout::new(options);
        let mut bed = Self { sidecar, now: 1_000_000, born: 9, granted: Vec::new(), denied: 0 };
        bed.feed(Event::Planned(plan));
        bed.feed(Event::VersionsKnown);
        bed.report(RateWord::Unlimited);
        bed
    }

    fn feed(&mut self, event: Event) -> Vec<Effect> {
        let effects = self.sidecar.reduce(Millis(self.now), event);
        for effect in &effects {
            match effect {
                Effect::Answer(_, Verdict::Granted) => self.granted.push(self.now),
                Effect::Answer(_, Verdict::Denied { denial: Denial::Limited, .. }) => {
                    self.denied += 1;
                }
                _ => {}
            }
        }
        effects
    }

    fn report(&mut self, word: RateWord) {
        self.feed(Event::Status(RunnerStatus {
            born: Some(self.born),
            sequence: 3,
            busy: false,
            running: 0,
            waiting: 0,
            version: Some(1),
        }));
        self.feed(Event::LimitReported(Millis(self.now - 2), word));
    }

    /// What a gateway tells that heard of a limit so long ago.
    fn tell(&mut self, per_s: Option<f64>, age_ms: u32) {
        let rate = per_s.map(rate);
        self.feed(Event::LimitTold(ToldLimit { born: Some(self.born), rate, age_ms }));
    }

    fn ask(&mut self, wait_ms: u64) -> Vec<Effect> {
        let (asker, number) = (([10, 0, 0, 2], 7700).into(), self.now);
        self.feed(Event::Asked(Question {
            asker,
            number,
            request: String::new(),
            prompt_tokens: 10,
            rank: 0,
            left_ms: 400,
            wait_ms,
        }))
    }

    /// Asks for two places every ten milliseconds; the runner's report says this every 50.
    fn run(&mut self, span: u64, word: RateWord) {
        for _ in 0..span / 10 {
            self.now += 10;
            if self.now.is_multiple_of(50) {
                self.report(word);
            }
            self.ask(0);
            self.ask(60);
        }
    }

    /// Places given in the last so many milliseconds.
    fn given(&self, span: u64) -> usize {
        self.granted.iter().filter(|at| **at + span > self.now).count()
    }

    /// The most requests that may reach the runner in a window, from a moment on.
    fn most_in_window(&self, since: u64) -> usize {
        let of = |from: u64| from..from + WINDOW + LATEST_USE;
        let starts = self.granted.iter().filter(|at| **at >= since);
        let count = |from: &u64| self.granted.iter().filter(|at| of(*from).contains(at)).count();
        starts.map(count).max().unwrap_or(0)
    }

    fn rate(&self) -> Option<Rate> {
        self.sidecar.rate().rate()
    }
}

fn rate(per_s: f64) -> Rate {
    Rate::from_per_s(per_s).unwrap()
}

fn limited(per_s: f64) -> RateWord {
    RateWord::Limited(rate(per_s))
}

#[test]
fn places_are_given_at_the_rate_that_gateways_heard_of() {
    for per_s in [0.3, 1.0, 1.6, 7.0, 40.0] {
        let mut bed = Bed::new();
        bed.run(2000, RateWord::Unlimited);
        bed.tell(Some(per_s), 0);
        let from = bed.now;
        bed.run(20_000, RateWord::Unlimited);
        let most = bed.most_in_window(from);
        assert!(most as f64 <= per_s * OVERRUN * 4.0 + SLACK, "{most} at {per_s} a second");
        let given = bed.given(20_000) as f64;
        assert!(given >= 0.8 * per_s * 20.0, "{given} places in 20 s at {per_s} a second");
    }
}

#[test]
fn a_limit_that_reports_name_ends_with_them() {
    let mut bed = Bed::new();
    bed.run(3000, limited(2.0));
    assert!(bed.given(2000) <= 6);
    bed.run(1000, RateWord::Unlimited);
    assert_eq!(bed.rate(), None);
    assert!(bed.given(500) > 50);
}

#[test]
fn reports_that_never_named_a_limit_do_not_end_the_one_that_gateways_heard_of() {
    let mut bed = Bed::new();
    bed.tell(Some(2.0), 0);
    bed.run(5000, RateWord::Unlimited);
    assert_eq!(bed.rate(), Some(rate(2.0)));
}

#[test]
fn reports_end_only_the_limit_that_they_have_named() {
    for until_told in [10, 200] {
        let mut bed = Bed::new();
        bed.run(500, limited(8.0));
        bed.run(until_told, RateWord::Unlimited);
        bed.now += 10;
        bed.tell(Some(0.5), 0);
        bed.run(8000, RateWord::Unlimited);
        assert_eq!(bed.rate(), Some(rate(0.5)), "reports never named this one");
        assert!(bed.given(7500) <= 5, "{} places", bed.given(7500));
    }
}

#[test]
fn the_newest_word_of_any_gateway_counts() {
    let mut bed = Bed::new();
    bed.tell(Some(2.0), 100);
    bed.tell(None, 300);
    assert_eq!(bed.rate(), Some(rate(2.0)), "an end from before");
    bed.tell(Some(5.0), 50);
    bed.tell(Some(3.0), 80);
    assert_eq!(bed.rate(), Some(rate(5.0)));
    bed.now += 10;
    bed.tell(None, 0);
    assert_eq!(bed.rate(), None);
}

#[test]
fn another_life_of_the_runner_is_free_of_the_limit_and_of_words_on_the_one_before() {
    let mut bed = Bed::new();
    bed.tell(Some(2.0), 0);
    let before = bed.born;
    bed.born += 1;
    bed.run(100, RateWord::Unlimited);
    assert_eq!(bed.rate(), None);
    bed.feed(Event::LimitTold(ToldLimit { born: Some(before), rate: Some(rate(2.0)), age_ms: 0 }));
    assert_eq!(bed.rate(), None);
}

#[test]
fn a_runner_that_takes_nothing_gets_a_request_now_and_then_to_hear_when_that_ends() {
    let mut bed = Bed::new();
    bed.tell(Some(0.0), 0);
    bed.run(60_000, RateWord::Unlimited);
    assert!((10..=13).contains(&bed.given(60_000)), "{}", bed.given(60_000));
    let mut bed = Bed::new();
    bed.run(60_000, limited(0.0));
    assert_eq!(bed.given(59_000), 0, "its reports tell when it ends");
}

#[test]
fn a_question_waits_only_for_a_place_that_comes_in_time() {
    let mut bed = Bed::new();
    bed.tell(Some(1.0), 0);
    let answer = bed.ask(60);
    let Some(Effect::Answer(_, Verdict::Denied { denial, again_ms, short_ms })) = answer.first()
    else {
        panic!("denied at once, got {answer:?}");
    };
    assert_eq!((*denial, *short_ms), (Denial::Limited, 0));
    assert!((900..=1100).contains(again_ms), "{again_ms}");
    bed.now += 950;
    bed.report(RateWord::Unlimited);
    let waits = |effects: Vec<Effect>| matches!(effects[0], Effect::Answer(_, Verdict::Queued));
    assert!(waits(bed.ask(60)));
    assert!(!waits(bed.ask(60)), "the next place comes a second later");
}

#[test]
fn places_stay_within_the_rate_whatever_is_said_in_between() {
    for seed in 0..40 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut bed = Bed::new();
        let per_s = random.random_range(0.2..20.0);
        bed.tell(Some(per_s), 0);
        let from = bed.now;
        for _ in 0..200 {
            bed.run(random.random_range(10..300), RateWord::Unlimited);
            match random.random_range(0..4) {
                0 => bed.tell(Some(per_s), random.random_range(0..5000)),
                1 => bed.tell(None, random.random_range(70_000..90_000)),
                2 => {
                    bed.feed(Event::Silent);
                }
                _ => {
                    bed.feed(Event::Woke);
                    bed.now += 200;
                    bed.feed(Event::VersionsKnown);
                }
            }
        }
        let most = bed.most_in_window(from) as f64;
        assert!(most <= per_s * OVERRUN * 4.0 + SLACK, "seed {seed}: {most} at {per_s} a second");
    }
}
