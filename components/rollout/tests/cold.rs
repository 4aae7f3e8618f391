//! Slots at a cold runner.

mod support;

use fleet::Millis;
use rollout::*;
use support::{options, plan};

const PLAN: ColdPlan = ColdPlan { start_ms: 3000, requests_per_s: 26.0 };
const LIMIT: ColdLimit = ColdLimit { overrun: 1.5, slack: 5.0 };

/// A sidecar with a clock, and the times at which it granted slots.
struct Fixture {
    sidecar: Rollout,
    now: u64,
    sequence: u64,
    granted: Vec<u64>,
}

impl Fixture {
    fn new(limit: Option<ColdLimit>, cold: Option<ColdPlan>) -> Self {
        let options = RolloutOptions { evacuate_ms: None, cold: limit, ..options(1) };
        let plan = WeightsPlan { slots: 500, prompt_tokens_per_ms: 100.0, cold, ..plan() };
        let sidecar = Rollout::new(options);
        let mut fixture = Self { sidecar, now: 1_000_000, sequence: 3, granted: Vec::new() };
        fixture.deliver(Event::Configured(plan));
        fixture.deliver(Event::VersionsKnown);
        fixture
    }

    fn deliver(&mut self, event: Event) -> Vec<Effect> {
        let effects = self.sidecar.reduce(Millis(self.now), event);
        for effect in &effects {
            if matches!(effect, Effect::Answer(_, ReservationReply::Granted)) {
                self.granted.push(self.now);
            }
        }
        effects
    }

    fn report(&mut self) {
        let sequence = self.sequence;
        let status = RunnerStatus {
            started_at_ms: None,
            sequence,
            is_executing_order: false,
            running: 0,
            waiting: 0,
            version: Some(1),
        };
        self.deliver(Event::Status(status));
    }

    fn request_slot(&mut self, max_wait_ms: u64) -> Vec<Effect> {
        let (asker, number) = (([10, 0, 0, 2], 7700).into(), self.now);
        let request = String::new();
        self.deliver(Event::ReservationRequested(ReservationRequest {
            asker,
            number,
            request,
            prompt_tokens: 10,
            rank: 0,
            target_left_ms: 400,
            max_wait_ms,
            pinned_ms: None,
        }))
    }

    /// Requests two reservations every 5 ms. The runner reports every 25 ms.
    fn run(&mut self, span: u64) {
        for _ in 0..span / 5 {
            self.now += 5;
            if self.now.is_multiple_of(25) {
                self.report();
            }
            self.request_slot(0);
            self.request_slot(60);
        }
    }

    /// Number of slots granted in the last second.
    fn granted_last_second(&self) -> usize {
        self.granted.iter().filter(|at| **at + 1000 > self.now).count()
    }

    /// Maximum number of slots granted within one second extended by the time that a grant may take.
    fn max_granted_per_second(&self) -> usize {
        let within =
            |from: u64| self.granted.iter().filter(move |at| (from..=from + 1395).contains(*at));
        self.granted.iter().map(|from| within(*from).count()).max().unwrap_or(0)
    }

    /// A sidecar whose runner has been warm for a while.
    fn warm() -> Self {
        let mut fixture = Self::new(Some(LIMIT), Some(PLAN));
        fixture.report();
        fixture.now += 3000;
        fixture.report();
        fixture
    }

    fn left_ms(&self) -> u64 {
        self.sidecar.cold().left_ms(Millis(self.now))
    }
}

const MAX_PER_SECOND: f64 = 26.0 * 1.5 + 5.0;

#[test]
fn runner_with_its_first_report_counts_as_cold() {
    let mut fixture = Fixture::new(Some(LIMIT), Some(PLAN));
    fixture.run(2500);
    assert!(
        (20..=29).contains(&fixture.granted_last_second()),
        "{} in a second",
        fixture.granted_last_second()
    );
    assert!(fixture.max_granted_per_second() as f64 <= MAX_PER_SECOND);
    fixture.run(2000);
    assert!(
        fixture.granted_last_second() > 200,
        "it is warm after the duration of a start: {}",
        fixture.granted_last_second()
    );
}

#[test]
fn runner_reported_as_cold_is_limited_at_once_and_as_long_as_reported() {
    let mut fixture = Fixture::warm();
    fixture.run(1000);
    assert!(fixture.granted_last_second() > 200);
    fixture.granted.clear();
    fixture.deliver(Event::ColdFor(4000));
    fixture.run(3990);
    let max_granted = fixture.max_granted_per_second();
    assert!((20..=MAX_PER_SECOND as usize).contains(&max_granted), "{max_granted} in a second");
    fixture.run(1000);
    assert!(fixture.granted_last_second() > 200);
}

#[test]
fn restarted_runner_counts_as_cold_before_a_gateway_reports_it() {
    let mut fixture = Fixture::warm();
    fixture.sequence = 0;
    fixture.report();
    assert_eq!(fixture.left_ms(), 3000);
    let mut fixture = Fixture::warm();
    fixture.deliver(Event::Unresponsive);
    fixture.now += 400;
    fixture.report();
    assert_eq!(fixture.left_ms(), 3000);
}

#[test]
fn report_on_an_earlier_run_does_not_end_a_cold_start() {
    let mut fixture = Fixture::new(Some(LIMIT), Some(ColdPlan { start_ms: 8000, ..PLAN }));
    fixture.report();
    fixture.now += 500;
    fixture.deliver(Event::ColdFor(0));
    assert_eq!(fixture.left_ms(), 7500);
    fixture.now += 2500;
    fixture.deliver(Event::ColdFor(0));
    assert_eq!(fixture.left_ms(), 0, "by now the list contains this run");
}

#[test]
fn longest_reported_duration_applies() {
    let mut fixture = Fixture::warm();
    fixture.deliver(Event::ColdFor(2000));
    fixture.deliver(Event::ColdFor(0));
    fixture.deliver(Event::ColdFor(700));
    assert_eq!(fixture.left_ms(), 2000);
}

#[test]
fn reservation_request_is_queued_at_a_cold_runner() {
    let mut fixture = Fixture::warm();
    fixture.deliver(Event::ColdFor(4000));
    let answer = fixture.request_slot(200);
    assert!(matches!(answer[0], Effect::Answer(_, ReservationReply::Queued)));
    fixture.now += 40;
    fixture.report();
    assert_eq!(fixture.granted.len(), 1);
    let answer = fixture.request_slot(0);
    let Effect::Answer(_, ReservationReply::Denied { denial: Denial::Cold, retry_after_ms, .. }) =
        answer[0]
    else {
        panic!("{answer:?}");
    };
    assert!((30..=50).contains(&retry_after_ms), "a slot in {retry_after_ms} ms");
}

#[test]
fn low_limit_lowers_the_rate() {
    let limit = ColdLimit { overrun: 1.0, slack: 1.0 };
    let mut fixture = Fixture::new(Some(limit), Some(ColdPlan { start_ms: 9000, ..PLAN }));
    fixture.run(6000);
    assert!(
        (18..=27).contains(&fixture.max_granted_per_second()),
        "{} in a second",
        fixture.max_granted_per_second()
    );
}

#[test]
fn change_of_the_limit_applies_at_once() {
    let mut fixture = Fixture::new(None, Some(PLAN));
    fixture.deliver(Event::ColdFor(9000));
    fixture.run(1000);
    assert!(fixture.granted_last_second() > 200);
    fixture.deliver(Event::ColdLimitChanged(Some(LIMIT)));
    fixture.granted.clear();
    fixture.run(1500);
    assert!(
        (20..=29).contains(&fixture.granted_last_second()),
        "{}",
        fixture.granted_last_second()
    );
    fixture.deliver(Event::ColdLimitChanged(None));
    fixture.run(1000);
    assert!(fixture.granted_last_second() > 200);
}

#[test]
fn nothing_is_limited_without_a_limit_or_without_a_plan() {
    for (limit, cold) in [(None, Some(PLAN)), (Some(LIMIT), None)] {
        let mut fixture = Fixture::new(limit, cold);
        fixture.deliver(Event::ColdFor(5000));
        fixture.run(1000);
        assert!(fixture.granted_last_second() > 200, "{}", fixture.granted_last_second());
        assert_eq!(fixture.left_ms(), 0);
    }
}
