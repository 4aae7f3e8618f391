//! Detection of a runner that restarted under the same name.

mod support;

use fleet::{IncarnationChange, Millis};
use rollout::*;
use support::{options, plan};

/// A sidecar whose runner started at 5, has accepted two orders and processes `running` requests.
struct Fixture {
    sidecar: Rollout,
    now: u64,
}

impl Fixture {
    fn new(running: u32) -> Self {
        Self::started_at(Some(5), running)
    }

    fn started_at(born: Option<u64>, running: u32) -> Self {
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
        let mut fixture = Self { sidecar: Rollout::new(options), now: 1_000_000 };
        fixture.deliver(Event::Configured(plan));
        fixture.deliver(Event::VersionsKnown);
        fixture.deliver(Event::Peers(Vec::new()));
        fixture.report(born, 2, running);
        fixture.now += 5000;
        fixture.deliver(Event::ColdFor(0));
        fixture.report(born, 2, running);
        fixture
    }

    fn deliver(&mut self, event: Event) -> Vec<Effect> {
        self.sidecar.reduce(Millis(self.now), event)
    }

    fn report(&mut self, born: Option<u64>, sequence: u64, running: u32) -> Vec<Effect> {
        let status = RunnerStatus {
            started_at_ms: born,
            sequence,
            is_executing_order: false,
            running,
            waiting: 0,
            version: Some(1),
        };
        self.deliver(Event::Status(status))
    }

    fn is_granted(&mut self) -> bool {
        let reservation = ReservationRequest {
            asker: ([10, 0, 0, 2], 7700).into(),
            number: self.now,
            request: String::new(),
            prompt_tokens: 10,
            rank: 0,
            target_left_ms: 400,
            max_wait_ms: 0,
            pinned_ms: None,
        };
        let effects = self.deliver(Event::ReservationRequested(reservation));
        effects.iter().any(|it| matches!(it, Effect::Answer(_, ReservationReply::Granted)))
    }
}

fn life_change(effects: &[Effect]) -> Option<IncarnationChange> {
    effects.iter().find_map(|it| match it {
        Effect::LogIncarnationChange(change, _) => Some(*change),
        _ => None,
    })
}

#[test]
fn restarted_runner_is_cold_despite_an_equal_order_count() {
    let mut fixture = Fixture::new(0);
    assert_eq!(fixture.sidecar.cold().left_ms(Millis(fixture.now)), 0);
    assert_eq!(life_change(&fixture.report(Some(8), 2, 0)), Some(IncarnationChange::Restarted));
    assert!(fixture.sidecar.cold().left_ms(Millis(fixture.now)) > 0);
}

#[test]
fn slots_of_the_earlier_run_are_released() {
    let mut fixture = Fixture::new(0);
    assert!((0..4).all(|_| fixture.is_granted()), "four slots");
    assert!(!fixture.is_granted());
    assert_eq!(fixture.sidecar.slots().used(), 4);
    fixture.report(Some(8), 0, 0);
    assert_eq!(fixture.sidecar.slots().used(), 0);
}

#[test]
fn report_of_an_earlier_or_unknown_run_is_logged_and_ignored() {
    let mut fixture = Fixture::new(1);
    assert_eq!(life_change(&fixture.report(Some(4), 9, 3)), Some(IncarnationChange::Earlier));
    assert_eq!(life_change(&fixture.report(None, 9, 3)), Some(IncarnationChange::StartTimeMissing));
    assert_eq!(fixture.sidecar.status().map(|it| (it.sequence, it.running)), Some((2, 1)));
    assert_eq!(life_change(&fixture.report(Some(5), 2, 2)), None);
}

#[test]
fn restart_of_an_unresponsive_runner_is_detected() {
    let mut fixture = Fixture::new(1);
    fixture.deliver(Event::Unresponsive);
    assert_eq!(life_change(&fixture.report(Some(8), 2, 0)), Some(IncarnationChange::Restarted));
}

#[test]
fn fewer_orders_without_a_start_time_are_a_restart() {
    let mut fixture = Fixture::started_at(None, 1);
    assert_eq!(life_change(&fixture.report(None, 3, 0)), None);
    assert_eq!(life_change(&fixture.report(None, 1, 0)), Some(IncarnationChange::Restarted));
}
