//! Reservation requests of gateways, and the queue of those that wait for a slot.

use std::collections::BTreeMap;

use fleet::{Ablation, InstanceId, Location, Millis};
use proptest::prelude::*;
use rollout::*;

const SLOTS: u32 = 4;

fn options() -> RolloutOptions {
    RolloutOptions {
        ablation: Ablation::default(),
        me: InstanceId("10.0.0.1".into()),
        place: Location { region: "r".into(), hall: "h".into() },
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

fn reservation(number: u64, rank: u8, max_wait_ms: u64) -> ReservationRequest {
    let asker = ([10, 0, 0, 2], 7700).into();
    let request = format!("q{number}");
    ReservationRequest {
        asker,
        number,
        request,
        prompt_tokens: 10,
        rank,
        target_left_ms: 400,
        max_wait_ms,
        pinned_ms: None,
    }
}

/// A reservation request for a repeated attempt of a rejected caller.
fn repeated(number: u64, rank: u8) -> ReservationRequest {
    ReservationRequest { target_left_ms: 0, ..reservation(number, rank, 100) }
}

/// A sidecar whose runner has one free slot, and which has rejected a first attempt of this rank.
fn sidecar_short_of_slots(rank: u8) -> Rollout {
    let mut sidecar = sidecar(1000, SLOTS);
    ask(&mut sidecar, 1000, reservation(900, rank, 0));
    report(&mut sidecar, 1030, SLOTS - 1);
    sidecar
}

/// A sidecar whose runner serves version 1 and works on `running` requests.
fn sidecar(now: u64, running: u32) -> Rollout {
    let mut sidecar = Rollout::new(options());
    sidecar.reduce(Millis(now), Event::Configured(plan()));
    sidecar.reduce(Millis(now), Event::VersionsKnown);
    report(&mut sidecar, now, running);
    sidecar
}

fn report(sidecar: &mut Rollout, now: u64, running: u32) -> Vec<(u64, ReservationReply)> {
    let status = RunnerStatus {
        started_at_ms: None,
        sequence: 0,
        is_executing_order: false,
        running,
        waiting: 0,
        version: Some(1),
    };
    answers(sidecar.reduce(Millis(now), Event::Status(status)))
}

fn ask(sidecar: &mut Rollout, now: u64, reservation: ReservationRequest) -> ReservationReply {
    let answers = answers(sidecar.reduce(Millis(now), Event::ReservationRequested(reservation)));
    assert_eq!(answers.len(), 1);
    answers[0].1
}

fn answers(effects: Vec<Effect>) -> Vec<(u64, ReservationReply)> {
    let answer = |effect| match effect {
        Effect::Answer(reservation, reply) => Some((reservation.number, reply)),
        _ => None,
    };
    effects.into_iter().filter_map(answer).collect()
}

fn is_denied(reply: ReservationReply) -> bool {
    matches!(reply, ReservationReply::Denied { .. })
}

#[test]
fn request_that_may_not_wait_is_denied_without_free_slots() {
    let mut sidecar = sidecar(1000, SLOTS);
    assert!(is_denied(ask(&mut sidecar, 1001, reservation(1, 1, 0))));
    assert_eq!(sidecar.queued_requests(), 0);
}

#[test]
fn request_waits_until_a_slot_is_free() {
    let mut sidecar = sidecar(1000, SLOTS);
    assert_eq!(ask(&mut sidecar, 1001, reservation(1, 1, 100)), ReservationReply::Queued);
    assert_eq!(report(&mut sidecar, 1025, SLOTS), vec![]);
    assert_eq!(report(&mut sidecar, 1050, SLOTS - 1), vec![(1, ReservationReply::Granted)]);
    assert_eq!(sidecar.queued_requests(), 0);
}

#[test]
fn request_is_denied_when_its_waiting_time_expires() {
    let mut sidecar = sidecar(1000, SLOTS);
    ask(&mut sidecar, 1001, reservation(1, 1, 50));
    let answers = report(&mut sidecar, 1060, SLOTS);
    assert_eq!(answers.len(), 1);
    assert!(is_denied(answers[0].1));
}

#[test]
fn requests_are_answered_by_rank_and_then_in_order_of_arrival() {
    let mut sidecar = sidecar(1000, SLOTS);
    for (number, rank) in [(1, 2), (2, 1), (3, 2), (4, 1)] {
        ask(&mut sidecar, 1001, reservation(number, rank, 100));
    }
    let granted: Vec<u64> = report(&mut sidecar, 1050, 0).iter().map(|it| it.0).collect();
    assert_eq!(granted, [2, 4, 1, 3]);
}

#[test]
fn request_does_not_overtake_queued_ones() {
    let mut sidecar = sidecar(1000, SLOTS);
    ask(&mut sidecar, 1001, reservation(1, 1, 200));
    // The slot that becomes free goes to the queued request.
    assert_eq!(report(&mut sidecar, 1030, SLOTS - 1), vec![(1, ReservationReply::Granted)]);
    assert_eq!(ask(&mut sidecar, 1031, reservation(2, 1, 100)), ReservationReply::Queued);
}

#[test]
fn queued_requests_are_denied_at_once_when_the_runner_stops_responding() {
    let mut sidecar = sidecar(1000, SLOTS);
    ask(&mut sidecar, 1001, reservation(1, 1, 100));
    let answers = answers(sidecar.reduce(Millis(1030), Event::Unresponsive));
    assert_eq!(answers.len(), 1);
    assert!(is_denied(answers[0].1));
}

#[test]
fn length_of_the_queue_is_limited() {
    let mut sidecar = sidecar(1000, SLOTS);
    let verdicts: Vec<ReservationReply> =
        (0..30).map(|number| ask(&mut sidecar, 1001, reservation(number, 1, 100))).collect();
    let queued = verdicts.iter().filter(|it| **it == ReservationReply::Queued).count();
    assert!(queued <= 8, "{queued} requests are queued");
    assert!(verdicts[20..].iter().all(|it| is_denied(*it)));
}

#[derive(Clone, Debug)]
enum Step {
    Ask { rank: u8, max_wait_ms: u64 },
    Report { running: u32 },
    Silent,
    Tick,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3u8, prop_oneof![Just(0), 20..200u64])
            .prop_map(|(rank, max_wait_ms)| Step::Ask { rank, max_wait_ms }),
        4 => (0..=SLOTS).prop_map(|running| Step::Report { running }),
        1 => Just(Step::Silent),
        3 => Just(Step::Tick),
    ]
}

proptest! {
    /// Each request gets exactly one final answer, at the latest with the next report after its waiting time,
    /// and no more slots are granted between two reports than are free.
    #[test]
    fn each_request_is_answered_once_and_in_time(
        steps in proptest::collection::vec((step(), 1..40u64), 1..80),
    ) {
        let mut sidecar = sidecar(1000, 0);
        let (mut now, mut next) = (1000, 0);
        let mut open: BTreeMap<u64, u64> = BTreeMap::new();
        let (mut running, mut granted_count) = (0, 0);
        for (step, pause) in steps {
            now += pause;
            let effects = match step {
                Step::Ask { rank, max_wait_ms } => {
                    next += 1;
                    open.insert(next, now + max_wait_ms);
                    sidecar.reduce(Millis(now), Event::ReservationRequested(reservation(next, rank, max_wait_ms)))
                }
                Step::Report { running: reported } => {
                    (running, granted_count) = (reported, 0);
                    let status =
                        RunnerStatus { started_at_ms: None, sequence: 0, is_executing_order: false, running, waiting: 0, version: Some(1) };
                    sidecar.reduce(Millis(now), Event::Status(status))
                }
                Step::Silent => sidecar.reduce(Millis(now), Event::Unresponsive),
                Step::Tick => sidecar.reduce(Millis(now), Event::Tick),
            };
            let answers_expired = !matches!(step, Step::Ask { .. });
            for (number, reply) in answers(effects) {
                match reply {
                    ReservationReply::Queued => prop_assert!(open.contains_key(&number)),
                    ReservationReply::Granted => {
                        granted_count += 1;
                        prop_assert!(running + granted_count <= SLOTS, "{running} running and {granted_count} granted");
                        prop_assert!(open.remove(&number).is_some(), "answered twice");
                    }
                    ReservationReply::Denied { .. } => {
                        prop_assert!(open.remove(&number).is_some(), "answered twice");
                    }
                }
            }
            if answers_expired {
                let late = open.values().any(|until| *until <= now);
                prop_assert!(!late, "an answer is late at {now}: {open:?}");
            }
        }
    }
}

/// The time of an announcement, and the deadline of the version before, in milliseconds.
const ANNOUNCED_AT_MS: u64 = 10_000;
const DEADLINE_MS: u64 = ANNOUNCED_AT_MS + 8000;

fn announce(sidecar: &mut Rollout, now: u64, announced_at: Option<Millis>) {
    sidecar.reduce(Millis(now), Event::Announced { version: 2, announced_at, after_ms: None });
    sidecar.reduce(Millis(now), Event::Peers(Vec::new()));
    sidecar.reduce(Millis(now), Event::Tick);
}

/// Guards against slots granted after the deadline. A sidecar that was killed during a rollout assumed after
/// its restart that the version had just been announced.
#[test]
fn restarted_sidecar_uses_the_deadline_reported_by_others() {
    let started = ANNOUNCED_AT_MS + 2000;
    let mut sidecar = sidecar(started, 0);
    announce(&mut sidecar, started, None);
    announce(&mut sidecar, started + 100, Some(Millis(ANNOUNCED_AT_MS)));
    report(&mut sidecar, DEADLINE_MS - 500, 0);
    assert!(is_denied(ask(&mut sidecar, DEADLINE_MS - 499, reservation(1, 1, 0))));
}

#[test]
fn report_with_a_later_announcement_time_changes_nothing() {
    let mut sidecar = sidecar(ANNOUNCED_AT_MS, 0);
    announce(&mut sidecar, ANNOUNCED_AT_MS, Some(Millis(ANNOUNCED_AT_MS)));
    announce(&mut sidecar, ANNOUNCED_AT_MS + 3000, Some(Millis(ANNOUNCED_AT_MS + 2000)));
    report(&mut sidecar, DEADLINE_MS - 500, 0);
    assert!(is_denied(ask(&mut sidecar, DEADLINE_MS - 499, reservation(1, 1, 0))));
}

#[test]
fn no_slot_is_granted_on_an_old_version_if_requests_wait_at_the_runner() {
    for (waiting, denied) in [(0, false), (2, true)] {
        let mut sidecar = sidecar(ANNOUNCED_AT_MS, 0);
        announce(&mut sidecar, ANNOUNCED_AT_MS, Some(Millis(ANNOUNCED_AT_MS)));
        for now in [DEADLINE_MS - 1800, DEADLINE_MS - 1400, DEADLINE_MS - 1000] {
            let status = RunnerStatus {
                started_at_ms: None,
                sequence: 0,
                is_executing_order: false,
                running: 2,
                waiting,
                version: Some(1),
            };
            sidecar.reduce(Millis(now), Event::Status(status));
        }
        assert_eq!(is_denied(ask(&mut sidecar, DEADLINE_MS - 990, reservation(1, 1, 0))), denied);
    }
}

#[test]
fn shorter_deadline_applies_to_the_next_request() {
    let mut sidecar = sidecar(ANNOUNCED_AT_MS, 0);
    announce(&mut sidecar, ANNOUNCED_AT_MS, Some(Millis(ANNOUNCED_AT_MS)));
    report(&mut sidecar, ANNOUNCED_AT_MS + 4000, 0);
    assert!(!is_denied(ask(&mut sidecar, ANNOUNCED_AT_MS + 4001, reservation(1, 1, 0))));
    sidecar.reduce(
        Millis(ANNOUNCED_AT_MS + 4002),
        Event::DeadlinesChanged { version_ms: 4100, evacuate_ms: Some(5000) },
    );
    assert!(is_denied(ask(&mut sidecar, ANNOUNCED_AT_MS + 4003, reservation(2, 1, 0))));
}

#[test]
fn repeated_attempt_leaves_the_last_slot_to_first_attempts() {
    let mut sidecar = sidecar_short_of_slots(1);
    let reply = ask(&mut sidecar, 1031, repeated(1, 1));
    assert!(
        matches!(reply, ReservationReply::Denied { denial: Denial::RepeatedAttempt, .. }),
        "{reply:?}"
    );
    assert_eq!(ask(&mut sidecar, 1032, reservation(2, 1, 0)), ReservationReply::Granted);
}

#[test]
fn repeated_attempt_gets_a_slot_if_another_one_stays_free() {
    let mut sidecar = sidecar_short_of_slots(1);
    report(&mut sidecar, 1060, SLOTS - 2);
    assert_eq!(ask(&mut sidecar, 1061, repeated(1, 1)), ReservationReply::Granted);
}

#[test]
fn repeated_attempt_gets_the_last_slot_if_no_first_attempt_was_denied_recently() {
    let mut sidecar = sidecar_short_of_slots(1);
    report(&mut sidecar, 1400, SLOTS - 1);
    assert_eq!(ask(&mut sidecar, 1401, repeated(1, 1)), ReservationReply::Granted);
}

#[test]
fn repeated_attempt_does_not_yield_to_less_urgent_first_attempts() {
    let mut sidecar = sidecar_short_of_slots(2);
    assert_eq!(ask(&mut sidecar, 1031, repeated(1, 1)), ReservationReply::Granted);
}

/// Callers with unusual deadlines look like repeated attempts.
#[test]
fn one_slot_in_twenty_five_goes_to_repeated_attempts_during_a_shortage() {
    let mut sidecar = sidecar_short_of_slots(1);
    let mut granted = 0;
    for turn in 0..250 {
        let now = 1100 + turn * 100;
        report(&mut sidecar, now, SLOTS - 1);
        if ask(&mut sidecar, now, repeated(2 * turn, 1)) == ReservationReply::Granted {
            granted += 1;
        } else {
            assert_eq!(
                ask(&mut sidecar, now, reservation(2 * turn + 1, 1, 0)),
                ReservationReply::Granted
            );
        }
        ask(&mut sidecar, now, reservation(900 + turn, 1, 0));
    }
    assert_eq!(granted, 10);
}

#[test]
fn slots_granted_before_a_shortage_do_not_count_for_repeated_attempts() {
    let mut sidecar = sidecar(1000, 0);
    for turn in 0..60 {
        report(&mut sidecar, 1000 + turn * 100, 0);
        ask(&mut sidecar, 1001 + turn * 100, reservation(turn, 1, 0));
    }
    report(&mut sidecar, 7100, SLOTS);
    assert!(is_denied(ask(&mut sidecar, 7101, reservation(100, 1, 0))));
    report(&mut sidecar, 7130, SLOTS - 1);
    assert!(is_denied(ask(&mut sidecar, 7131, repeated(101, 1))));
}

#[test]
fn denial_contains_the_duration_of_the_shortage() {
    let mut sidecar = sidecar(1000, SLOTS);
    let mut short_ms = |now, number| {
        report(&mut sidecar, now, SLOTS);
        match ask(&mut sidecar, now, reservation(number, 1, 0)) {
            ReservationReply::Denied { shortage_ms, .. } => shortage_ms,
            reply => panic!("expected a denial, got {reply:?}"),
        }
    };
    assert_eq!(short_ms(1000, 1), 0);
    assert_eq!(short_ms(2500, 2), 1500);
    assert_eq!(short_ms(4000, 3), 3000);
    assert_eq!(short_ms(6500, 4), 0, "no first attempt was denied for more than two seconds");
}

#[test]
fn request_with_the_least_time_left_is_answered_first_within_a_rank() {
    let mut sidecar = sidecar(1000, SLOTS);
    ask(&mut sidecar, 1001, reservation(1, 1, 100));
    ask(&mut sidecar, 1002, ReservationRequest { target_left_ms: 320, ..reservation(2, 1, 100) });
    ask(&mut sidecar, 1003, ReservationRequest { target_left_ms: 0, ..reservation(3, 0, 100) });
    let order: Vec<u64> = (0..3)
        .flat_map(|turn| {
            // One slot becomes free with each report, and the granted request uses it.
            report(&mut sidecar, 1030 + turn * 30, SLOTS - 1)
        })
        .map(|(number, _)| number)
        .collect();
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn resumed_sidecar_grants_no_slot_until_a_gateway_has_reported_again() {
    let mut sidecar = sidecar(1000, 0);
    assert_eq!(ask(&mut sidecar, 1001, reservation(1, 1, 0)), ReservationReply::Granted);
    sidecar.reduce(Millis(5000), Event::Resumed);
    report(&mut sidecar, 5010, 0);
    assert!(is_denied(ask(&mut sidecar, 5011, reservation(2, 1, 0))));
    // Messages that a gateway sent during the suspension are still in the socket buffer.
    sidecar.reduce(Millis(5020), Event::VersionsKnown);
    assert!(is_denied(ask(&mut sidecar, 5021, reservation(3, 1, 0))));
    sidecar.reduce(Millis(5400), Event::VersionsKnown);
    report(&mut sidecar, 5410, 0);
    assert_eq!(ask(&mut sidecar, 5411, reservation(4, 1, 0)), ReservationReply::Granted);
}

#[test]
fn leaving_runner_gets_no_requests_and_queued_ones_are_denied() {
    let mut sidecar = sidecar(1000, SLOTS);
    assert_eq!(ask(&mut sidecar, 1001, reservation(1, 1, 400)), ReservationReply::Queued);
    let denied_answers = answers(sidecar.reduce(Millis(1010), Event::RunnerLeaves(true)));
    assert!(
        matches!(
            denied_answers[..],
            [(1, ReservationReply::Denied { denial: Denial::RunnerLeaves, .. })]
        ),
        "{denied_answers:?}"
    );
    report(&mut sidecar, 1020, 0);
    assert!(is_denied(ask(&mut sidecar, 1021, reservation(2, 1, 400))));
}
