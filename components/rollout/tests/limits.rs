//! Slots at a runner that advertises a rate limit.

mod support;

use fleet::{AdvertisedLimit, Millis, Rate, ReportedLimit};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rollout::*;
use support::{options, plan};

/// The requests that a runner may receive in a window: this multiple of its rate, this many on top, and the
/// window in milliseconds.
const OVERRUN: f64 = 1.5;
const SLACK: f64 = 5.0;
const WINDOW_MS: u64 = 4000;
/// How long after the grant a slot may be used, in milliseconds.
const MAX_SLOT_AGE_MS: u64 = 400;

/// A sidecar with a clock, and the times at which it granted slots.
struct Fixture {
    sidecar: Rollout,
    now: u64,
    born: u64,
    granted: Vec<u64>,
    denied: usize,
}

impl Fixture {
    fn new() -> Self {
        let options = RolloutOptions { evacuate_ms: None, ..options(1) };
        let plan = WeightsPlan { slots: 500, prompt_tokens_per_ms: 100.0, ..plan() };
        let sidecar = Rollout::new(options);
        let mut fixture = Self { sidecar, now: 1_000_000, born: 9, granted: Vec::new(), denied: 0 };
        fixture.deliver(Event::Configured(plan));
        fixture.deliver(Event::VersionsKnown);
        fixture.report(AdvertisedLimit::Unlimited);
        fixture
    }

    fn deliver(&mut self, event: Event) -> Vec<Effect> {
        let effects = self.sidecar.reduce(Millis(self.now), event);
        for effect in &effects {
            match effect {
                Effect::Answer(_, ReservationReply::Granted) => self.granted.push(self.now),
                Effect::Answer(_, ReservationReply::Denied { denial: Denial::Limited, .. }) => {
                    self.denied += 1;
                }
                _ => {}
            }
        }
        effects
    }

    fn report(&mut self, reported: AdvertisedLimit) {
        self.deliver(Event::Status(RunnerStatus {
            started_at_ms: Some(self.born),
            sequence: 3,
            is_executing_order: false,
            running: 0,
            waiting: 0,
            version: Some(1),
        }));
        self.deliver(Event::LimitAdvertised(Millis(self.now - 2), reported));
    }

    /// Delivers a gateway's report of a limit that is `age_ms` old.
    fn report_from_gateway(&mut self, per_s: Option<f64>, age_ms: u32) {
        let rate = per_s.map(rate);
        self.deliver(Event::LimitReported(ReportedLimit { born: Some(self.born), rate, age_ms }));
    }

    fn request_slot(&mut self, max_wait_ms: u64) -> Vec<Effect> {
        let (asker, number) = (([10, 0, 0, 2], 7700).into(), self.now);
        self.deliver(Event::ReservationRequested(ReservationRequest {
            asker,
            number,
            request: String::new(),
            prompt_tokens: 10,
            rank: 0,
            target_left_ms: 400,
            max_wait_ms,
            pinned_ms: None,
        }))
    }

    /// Requests two reservations every 10 ms. The runner reports `reported` every 50 ms.
    fn run(&mut self, span: u64, reported: AdvertisedLimit) {
        for _ in 0..span / 10 {
            self.now += 10;
            if self.now.is_multiple_of(50) {
                self.report(reported);
            }
            self.request_slot(0);
            self.request_slot(60);
        }
    }

    /// Number of slots granted in the last `span` milliseconds.
    fn granted_within(&self, span: u64) -> usize {
        self.granted.iter().filter(|at| **at + span > self.now).count()
    }

    /// Maximum number of requests that may reach the runner within a window that starts at `since` or later.
    fn max_in_window(&self, since: u64) -> usize {
        let window = |start: u64| start..start + WINDOW_MS + MAX_SLOT_AGE_MS;
        let starts = self.granted.iter().filter(|at| **at >= since);
        let count =
            |start: &u64| self.granted.iter().filter(|at| window(*start).contains(at)).count();
        starts.map(count).max().unwrap_or(0)
    }

    fn rate(&self) -> Option<Rate> {
        self.sidecar.rate().rate()
    }
}

fn rate(per_s: f64) -> Rate {
    Rate::from_per_s(per_s).unwrap()
}

fn limited(per_s: f64) -> AdvertisedLimit {
    AdvertisedLimit::Limited(rate(per_s))
}

#[test]
fn slots_are_granted_at_the_rate_reported_by_gateways() {
    for per_s in [0.3, 1.0, 1.6, 7.0, 40.0] {
        let mut fixture = Fixture::new();
        fixture.run(2000, AdvertisedLimit::Unlimited);
        fixture.report_from_gateway(Some(per_s), 0);
        let start = fixture.now;
        fixture.run(20_000, AdvertisedLimit::Unlimited);
        let max_granted = fixture.max_in_window(start);
        assert!(
            max_granted as f64 <= per_s * OVERRUN * 4.0 + SLACK,
            "{max_granted} at {per_s} a second"
        );
        let granted = fixture.granted_within(20_000) as f64;
        assert!(granted >= 0.8 * per_s * 20.0, "{granted} slots in 20 s at {per_s} a second");
    }
}

#[test]
fn limit_in_status_reports_ends_when_the_reports_omit_it() {
    let mut fixture = Fixture::new();
    fixture.run(3000, limited(2.0));
    assert!(fixture.granted_within(2000) <= 6);
    fixture.run(1000, AdvertisedLimit::Unlimited);
    assert_eq!(fixture.rate(), None);
    assert!(fixture.granted_within(500) > 50);
}

#[test]
fn reports_without_a_limit_do_not_end_a_limit_reported_by_gateways() {
    let mut fixture = Fixture::new();
    fixture.report_from_gateway(Some(2.0), 0);
    fixture.run(5000, AdvertisedLimit::Unlimited);
    assert_eq!(fixture.rate(), Some(rate(2.0)));
}

#[test]
fn reports_end_only_a_limit_that_they_contained() {
    for unlimited_ms in [10, 200] {
        let mut fixture = Fixture::new();
        fixture.run(500, limited(8.0));
        fixture.run(unlimited_ms, AdvertisedLimit::Unlimited);
        fixture.now += 10;
        fixture.report_from_gateway(Some(0.5), 0);
        fixture.run(8000, AdvertisedLimit::Unlimited);
        assert_eq!(fixture.rate(), Some(rate(0.5)), "the reports never contained this limit");
        assert!(fixture.granted_within(7500) <= 5, "{} slots", fixture.granted_within(7500));
    }
}

#[test]
fn newest_report_of_any_gateway_applies() {
    let mut fixture = Fixture::new();
    fixture.report_from_gateway(Some(2.0), 100);
    fixture.report_from_gateway(None, 300);
    assert_eq!(fixture.rate(), Some(rate(2.0)), "the reported end is older");
    fixture.report_from_gateway(Some(5.0), 50);
    fixture.report_from_gateway(Some(3.0), 80);
    assert_eq!(fixture.rate(), Some(rate(5.0)));
    fixture.now += 10;
    fixture.report_from_gateway(None, 0);
    assert_eq!(fixture.rate(), None);
}

#[test]
fn restarted_runner_has_no_limit_and_ignores_reports_on_the_earlier_run() {
    let mut fixture = Fixture::new();
    fixture.report_from_gateway(Some(2.0), 0);
    let before = fixture.born;
    fixture.born += 1;
    fixture.run(100, AdvertisedLimit::Unlimited);
    assert_eq!(fixture.rate(), None);
    fixture.deliver(Event::LimitReported(ReportedLimit {
        born: Some(before),
        rate: Some(rate(2.0)),
        age_ms: 0,
    }));
    assert_eq!(fixture.rate(), None);
}

#[test]
fn runner_with_a_zero_rate_is_probed_to_detect_the_end_of_the_limit() {
    let mut fixture = Fixture::new();
    fixture.report_from_gateway(Some(0.0), 0);
    fixture.run(60_000, AdvertisedLimit::Unlimited);
    assert!(
        (10..=13).contains(&fixture.granted_within(60_000)),
        "{}",
        fixture.granted_within(60_000)
    );
    let mut fixture = Fixture::new();
    fixture.run(60_000, limited(0.0));
    assert_eq!(fixture.granted_within(59_000), 0, "its reports show when the limit ends");
}

#[test]
fn reservation_request_is_queued_only_if_a_slot_is_available_in_time() {
    let mut fixture = Fixture::new();
    fixture.report_from_gateway(Some(1.0), 0);
    let answer = fixture.request_slot(60);
    let Some(Effect::Answer(_, ReservationReply::Denied { denial, retry_after_ms, shortage_ms })) =
        answer.first()
    else {
        panic!("expected a denial, got {answer:?}");
    };
    assert_eq!((*denial, *shortage_ms), (Denial::Limited, 0));
    assert!((900..=1100).contains(retry_after_ms), "{retry_after_ms}");
    fixture.now += 950;
    fixture.report(AdvertisedLimit::Unlimited);
    let waits =
        |effects: Vec<Effect>| matches!(effects[0], Effect::Answer(_, ReservationReply::Queued));
    assert!(waits(fixture.request_slot(60)));
    assert!(!waits(fixture.request_slot(60)), "the next slot is available a second later");
}

#[test]
fn slots_stay_within_the_rate_with_random_reports() {
    for seed in 0..40 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut fixture = Fixture::new();
        let per_s = random.random_range(0.2..20.0);
        fixture.report_from_gateway(Some(per_s), 0);
        let start = fixture.now;
        for _ in 0..200 {
            fixture.run(random.random_range(10..300), AdvertisedLimit::Unlimited);
            match random.random_range(0..4) {
                0 => fixture.report_from_gateway(Some(per_s), random.random_range(0..5000)),
                1 => fixture.report_from_gateway(None, random.random_range(70_000..90_000)),
                2 => {
                    fixture.deliver(Event::Unresponsive);
                }
                _ => {
                    fixture.deliver(Event::Resumed);
                    fixture.now += 200;
                    fixture.deliver(Event::VersionsKnown);
                }
            }
        }
        let max_granted = fixture.max_in_window(start) as f64;
        assert!(
            max_granted <= per_s * OVERRUN * 4.0 + SLACK,
            "seed {seed}: {max_granted} at {per_s} a second"
        );
    }
}
