//! Entries of another writer that claim the address of a runner, or values that no runner has.

mod support;

use fleet::{Hall, IncarnationReport, InstanceId, Millis};
use gateway::*;
use support::*;

const PORT: u16 = 1;
const FREE_PORT: u16 = 9;
const FALSE_ID: &str = "false";

/// The false entry in its `write`th state.
type Rewrite = fn(&mut Fixture, u64);

fn false_record(port: u16) -> RunnerRecord {
    RunnerRecord { slots: u32::MAX, ..record(FALSE_ID, PLAIN_SERVICE, port) }
}

fn rewrite_sequence(fixture: &mut Fixture, write: u64) {
    let incarnation = IncarnationReport { born: None, sequence: write };
    fixture.feed(Event::Listed(RunnerRecord { incarnation, ..false_record(PORT) }));
}

fn rewrite_start_time(fixture: &mut Fixture, write: u64) {
    let incarnation = IncarnationReport { born: Some(write), sequence: 0 };
    fixture.feed(Event::Listed(RunnerRecord { incarnation, ..false_record(PORT) }));
}

fn rewrite_address(fixture: &mut Fixture, write: u64) {
    // Both addresses belong to other runners.
    fixture.feed(Event::Listed(false_record(PORT + (write % 2) as u16)));
}

fn rewrite_hall_and_slots(fixture: &mut Fixture, write: u64) {
    let (hall, slots) = (Hall(["a", "b"][write as usize % 2].into()), 1000 + write as u32);
    fixture.feed(Event::Listed(RunnerRecord { hall, slots, ..false_record(PORT) }));
}

fn remove_and_write(fixture: &mut Fixture, _: u64) {
    fixture.feed(Event::Unlisted(FALSE_ID.into()));
    fixture.feed(Event::Listed(false_record(PORT)));
}

/// Sends requests for a minute while the false entry is rewritten twice a second. The runners reject the requests for
/// the false one. Returns how many these were.
fn requests_drawn_away(rewrite: Rewrite, attempts: u32) -> u32 {
    let mut fixture = Fixture::new();
    for number in 0..2 {
        fixture.list(&format!("r{number}"), PLAIN_SERVICE, PORT + number);
    }
    let mut drawn = 0;
    for key in 0..1200 {
        if key % 10 == 0 {
            rewrite(&mut fixture, key / 10);
        }
        let arrival = Arrival { attempts, ..arrival(key, PLAIN_SERVICE, RouteKind::Unsafe) };
        let mut step = fixture.arrive(arrival);
        while let Some(NextStep::Send(target)) = &step {
            let is_false = target.id.0 == FALSE_ID;
            drawn += u32::from(is_false);
            step = if is_false {
                fixture.outcome(key, AttemptOutcome::Misdirected)
            } else {
                fixture.outcome(key, AttemptOutcome::Finished)
            };
        }
        if attempts > 1 {
            assert_eq!(step, None, "a caller is refused while the runners have room");
        }
        fixture.pass(50);
    }
    drawn
}

const REWRITES: [(&str, Rewrite); 5] = [
    ("sequence", rewrite_sequence),
    ("start time", rewrite_start_time),
    ("address", rewrite_address),
    ("hall and slots", rewrite_hall_and_slots),
    ("removed in between", remove_and_write),
];

#[test]
fn a_false_entry_that_is_written_again_and_again_draws_few_requests_away() {
    for (what, rewrite) in REWRITES {
        for attempts in [1, 2] {
            let drawn = requests_drawn_away(rewrite, attempts);
            assert!(drawn <= 20, "{what}, {attempts} attempts: {drawn} of 1200 in a minute");
        }
    }
}

#[test]
fn a_runner_that_rejected_a_request_once_is_used_as_soon_as_its_entry_changes() {
    let mut fixture = Fixture::new();
    fixture.list("r1", PLAIN_SERVICE, PORT);
    let mut key = 0;
    // A runner that serves in between was right to reject single requests.
    for _ in 0..20 {
        for outcome in [AttemptOutcome::Finished, AttemptOutcome::Misdirected] {
            key += 1;
            let step = fixture.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe));
            assert_eq!(sent_to(step).0, "r1");
            fixture.outcome(key, outcome);
            fixture.feed(Event::RequestEnded(RequestKey(key)));
            fixture.pass(50);
        }
        fixture.list("r1", PLAIN_SERVICE, PORT);
    }
}

fn running(fixture: &mut Fixture, id: &str, reported: u32) -> Option<u32> {
    fixture.feed(Event::Load(([127, 0, 0, 1], PORT).into(), load(1, reported)));
    let now = Millis(fixture.now);
    fixture.gateway.pool().runner(&id.into()).and_then(|it| it.load(now).map(|it| it.running))
}

#[test]
fn a_runner_receives_its_reports_again_after_a_false_entry_of_its_service() {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, PORT);
    assert_eq!(running(&mut fixture, "r1", 1), Some(1));
    fixture.list(FALSE_ID, MODEL_SERVICE, PORT);
    fixture.feed(Event::Unlisted(FALSE_ID.into()));
    assert_eq!(running(&mut fixture, "r1", 2), Some(2), "after the false entry was removed");
    fixture.list(FALSE_ID, MODEL_SERVICE, PORT);
    fixture.list(FALSE_ID, MODEL_SERVICE, FREE_PORT);
    assert_eq!(running(&mut fixture, "r1", 3), Some(3), "after the false entry has moved");
    fixture.list(FALSE_ID, MODEL_SERVICE, PORT);
    let is_false = |step| matches!(step, Some(NextStep::Send(it)) if it.id.0 == FALSE_ID);
    let found_out = (0..20).any(|key| {
        let drawn = is_false(fixture.arrive(arrival(key, MODEL_SERVICE, RouteKind::Safe)));
        if drawn {
            fixture.outcome(key, AttemptOutcome::Misdirected);
        }
        drawn
    });
    assert!(found_out, "no request was sent to the false entry");
    assert_eq!(running(&mut fixture, "r1", 4), Some(4), "after the false entry was found out");
}

#[test]
fn an_entry_with_the_largest_values_is_handled_like_any_other() {
    for service in [PLAIN_SERVICE, MODEL_SERVICE] {
        let mut fixture = Fixture::new();
        for born in [None, Some(u64::MAX)] {
            fixture.feed(Event::Listed(RunnerRecord {
                incarnation: IncarnationReport { born, sequence: u64::MAX },
                slots: u32::MAX,
                cold_ms: u64::MAX,
                weights: (service == MODEL_SERVICE).then(|| WeightsHeld {
                    model: model(),
                    version: u64::MAX,
                    whole: true,
                }),
                ..record("r1", service, PORT)
            }));
        }
        let largest = RunnerLoad { running: u32::MAX, waiting: u32::MAX, ..load(u64::MAX, 0) };
        let address = ([127, 0, 0, 1], PORT).into();
        let steps: Vec<Option<InstanceId>> = (0..3)
            .map(|key| {
                let step = fixture.arrive(arrival(key, service, RouteKind::Safe));
                fixture.feed(Event::Load(address, largest.clone()));
                fixture.pass(50);
                matches!(step, Some(NextStep::Send(_))).then(|| sent_to(step))
            })
            .collect();
        assert_eq!(steps[0], Some("r1".into()), "{service}");
    }
}

#[test]
fn the_slots_of_an_entry_draw_no_requests_while_other_runners_have_room() {
    let mut fixture = Fixture::new();
    let mut counts = [0; 4];
    for number in 0..4_u16 {
        let slots = if number == 0 { u32::MAX } else { 4 };
        let record = record(&format!("r{number}"), PLAIN_SERVICE, PORT + number);
        fixture.feed(Event::Listed(RunnerRecord { slots, ..record }));
    }
    for key in 0..2000 {
        let id = sent_to(fixture.arrive(arrival(key, PLAIN_SERVICE, RouteKind::Safe)));
        counts[usize::from(id.0.as_bytes()[1] - b'0')] += 1;
        if let Some(ended) = key.checked_sub(8) {
            fixture.outcome(ended, AttemptOutcome::Finished);
        }
        fixture.pass(5);
    }
    assert!(counts.iter().all(|it| (300..700).contains(it)), "{counts:?}");
}
