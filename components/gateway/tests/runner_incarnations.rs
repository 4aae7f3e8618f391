//! A runner that restarts under the same name.

mod support;

use errors::Code;
use fleet::IncarnationReport;
use gateway::*;
use proptest::prelude::*;
use support::*;

fn incarnation_at(born: u64, sequence: u64) -> IncarnationReport {
    IncarnationReport { born: Some(born), sequence }
}

/// A list entry of an incarnation of `r1`.
fn entry(incarnation: IncarnationReport) -> RunnerRecord {
    RunnerRecord { incarnation, ..record("r1", MODEL_SERVICE, 1) }
}

fn load_report(incarnation: IncarnationReport, running: u32) -> Event {
    Event::Load(([127, 0, 0, 1], 1).into(), RunnerLoad { life: incarnation, ..load(1, running) })
}

/// A gateway that knows an incarnation of `r1` with start time 5, and has sent this number of
/// requests to it.
fn fixture(requests: u64) -> Fixture {
    let mut fixture = Fixture::new();
    fixture.feed(Event::Listed(entry(incarnation_at(5, 2))));
    fixture.feed(load_report(incarnation_at(5, 2), 0));
    for key in 0..requests {
        sent_to(fixture.arrive(arrival(key, MODEL_SERVICE, RouteKind::Safe)));
    }
    fixture
}

fn occupancy(fixture: &mut Fixture, key: u64) -> u32 {
    target_of(fixture.arrive(arrival(key, MODEL_SERVICE, RouteKind::Safe))).selection.occupancy
}

#[test]
fn a_new_life_starts_without_the_load_and_pauses_of_the_previous_one() {
    let mut fixture = fixture(3);
    fixture.outcome(0, AttemptOutcome::Lost);
    assert_eq!(
        fixture.arrive(arrival(9, MODEL_SERVICE, RouteKind::Safe)),
        None,
        "the runner is paused"
    );
    let step = fixture.step(9, Event::Listed(entry(incarnation_at(8, 2))));
    assert_eq!(target_of(step).selection.occupancy, 0);
}

#[test]
fn a_report_can_show_a_new_life_before_the_list() {
    let mut fixture = fixture(3);
    fixture.feed(load_report(incarnation_at(8, 2), 0));
    assert_eq!(occupancy(&mut fixture, 9), 0);
    // The list still has the entry of the previous incarnation, and is updated later.
    fixture.feed(Event::Listed(entry(incarnation_at(5, 2))));
    fixture.feed(Event::Listed(entry(incarnation_at(8, 0))));
    assert_eq!(occupancy(&mut fixture, 10), 1);
}

#[test]
fn requests_of_an_earlier_life_do_not_affect_the_later_one() {
    let mut fixture = fixture(2);
    fixture.feed(load_report(incarnation_at(8, 0), 0));
    assert_eq!(occupancy(&mut fixture, 9), 0);
    fixture.outcome(0, AttemptOutcome::Cut);
    fixture.feed(Event::RequestEnded(RequestKey(1)));
    assert_eq!(occupancy(&mut fixture, 10), 1, "only the request sent to this life counts");
}

#[test]
fn reports_of_an_earlier_life_are_ignored() {
    let mut fixture = fixture(0);
    fixture.feed(load_report(incarnation_at(8, 0), 0));
    let effects = fixture.feed(load_report(incarnation_at(5, 9), 4));
    assert!(matches!(effects[..], [Effect::LogIncarnationChange(_)]), "{effects:?}");
    let leaving = RunnerRecord { state: RunnerState::Draining, ..entry(incarnation_at(5, 9)) };
    fixture.feed(Event::Listed(leaving));
    assert_eq!(occupancy(&mut fixture, 9), 0);
}

#[test]
fn an_entry_that_omits_a_known_start_time_is_reported_with_the_runner() {
    let mut fixture = fixture(0);
    let without_birth = IncarnationReport { born: None, sequence: 9 };
    let leaving = RunnerRecord { state: RunnerState::Draining, ..entry(without_birth) };
    let effects = fixture.feed(Event::Listed(leaving));
    let fault = |it: &Effect| matches!(it, Effect::LogIncarnationChange(event) if event.runner == "r1".into());
    assert!(effects.iter().any(fault), "{effects:?}");
    assert_eq!(occupancy(&mut fixture, 9), 0, "the entry has not changed");
}

#[test]
fn lives_of_a_runner_without_start_time_are_distinguished_by_its_order_count() {
    let mut fixture = Fixture::new();
    let without_birth = |sequence| IncarnationReport { born: None, sequence };
    fixture.feed(Event::Listed(entry(without_birth(3))));
    fixture.feed(load_report(without_birth(3), 2));
    assert_eq!(occupancy(&mut fixture, 1), 2);
    // An entry that is older than the report is not another incarnation.
    fixture.feed(Event::Listed(entry(without_birth(3))));
    fixture.feed(load_report(without_birth(4), 2));
    fixture.feed(Event::Listed(entry(without_birth(3))));
    assert_eq!(occupancy(&mut fixture, 2), 2);
    fixture.feed(load_report(without_birth(0), 0));
    assert_eq!(occupancy(&mut fixture, 3), 0);
}

#[test]
fn reports_without_a_start_time_apply_to_a_runner_whose_entry_has_one() {
    let mut fixture = Fixture::new();
    let without_birth = |sequence| IncarnationReport { born: None, sequence };
    fixture.feed(Event::Listed(entry(incarnation_at(5, 2))));
    assert!(
        fixture.feed(load_report(without_birth(2), 3)).is_empty(),
        "the report causes no effects"
    );
    assert_eq!(occupancy(&mut fixture, 1), 3);
    fixture.feed(Event::Listed(entry(incarnation_at(5, 3))));
    fixture.feed(load_report(without_birth(3), 2));
    assert_eq!(occupancy(&mut fixture, 2), 2);
    // A lower order count than before means another incarnation; the list shows it later.
    fixture.feed(load_report(without_birth(0), 0));
    assert_eq!(occupancy(&mut fixture, 3), 0);
    let late = fixture.feed(Event::Listed(entry(incarnation_at(5, 4))));
    assert!(
        matches!(late[..], [Effect::LogIncarnationChange(_)]),
        "an entry of the previous life: {late:?}"
    );
    fixture.feed(Event::Listed(entry(incarnation_at(8, 0))));
    fixture.feed(load_report(without_birth(0), 1));
    assert_eq!(occupancy(&mut fixture, 4), 1);
}

#[test]
fn a_report_that_omits_a_start_time_reported_before_is_ignored() {
    let mut fixture = fixture(0);
    let effects = fixture.feed(load_report(IncarnationReport { born: None, sequence: 2 }, 4));
    assert!(matches!(effects[..], [Effect::LogIncarnationChange(_)]), "{effects:?}");
    assert_eq!(occupancy(&mut fixture, 9), 0);
}

#[test]
fn a_request_is_not_sent_to_another_life_than_the_selected_one() {
    let mut fixture = fixture(1);
    let now = fleet::Millis(fixture.now);
    assert!(fixture.gateway.may_send(now, RequestKey(0)));
    fixture.feed(load_report(incarnation_at(8, 0), 0));
    assert!(!fixture.gateway.may_send(now, RequestKey(0)));
}

#[test]
fn each_life_that_a_request_crashes_counts() {
    let mut fixture = Fixture::new();
    let digest = quarantine::SubjectDigest(77);
    for incarnation in 1..=3 {
        fixture.feed(Event::Listed(entry(incarnation_at(incarnation, 0))));
        fixture.pass(5000);
        let single = Arrival {
            attempts: 1,
            subjects: digest.into(),
            ..arrival(incarnation, MODEL_SERVICE, RouteKind::Safe)
        };
        sent_to(fixture.arrive(single));
        fixture.outcome(incarnation, AttemptOutcome::Cut);
        fixture.feed(load_report(incarnation_at(incarnation + 1, 0), 0));
        fixture.pass(20);
    }
    let step = fixture
        .arrive(Arrival { subjects: digest.into(), ..arrival(9, MODEL_SERVICE, RouteKind::Safe) });
    assert!(matches!(step, Some(NextStep::Refuse { code: Code::Quarantined, .. })), "{step:?}");
}

/// A report of an incarnation of `r1` from its list entry or its sidecar. Reports that pass through
/// other processes arrive in any order.
#[derive(Clone, Debug)]
struct LifeReport {
    born: u64,
    is_entry: bool,
    running: u32,
}

fn life_reports() -> impl Strategy<Value = Vec<LifeReport>> {
    let one = (1..6_u64, any::<bool>(), 0..4_u32)
        .prop_map(|(born, is_entry, running)| LifeReport { born, is_entry, running });
    prop::collection::vec(one, 1..40)
}

proptest! {
    /// The known state is that of the latest incarnation in any report, according to the reports of
    /// that incarnation alone.
    #[test]
    fn reports_of_earlier_lives_are_ignored_in_any_order_of_arrival(life_reports in life_reports()) {
        let mut fixture = Fixture::new();
        fixture.feed(Event::Listed(entry(incarnation_at(0, 0))));
        let (mut latest, mut running) = (0, None);
        for LifeReport { born, is_entry, running: reported_running } in life_reports {
            if born > latest {
                (latest, running) = (born, None);
            }
            if !is_entry && born == latest {
                running = Some(reported_running);
            }
            fixture.feed(match is_entry {
                true => Event::Listed(entry(incarnation_at(born, 0))),
                false => load_report(incarnation_at(born, 0), reported_running),
            });
            let runner = fixture.gateway.pool().runner(&"r1".into()).expect("it is listed");
            prop_assert_eq!(runner.born, Some(latest));
            let known = runner.load(fleet::Millis(fixture.now)).map(|it| it.running);
            prop_assert_eq!(known, running);
        }
    }
}
