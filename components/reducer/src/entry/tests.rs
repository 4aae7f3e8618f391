use std::net::SocketAddr;

use super::*;
use crate::control::ControlEffect;
use crate::planner::Estimate;
use crate::routing::RoutingStrategy;
use errors::{Code, Ran};
use fleet::{Incarnation, Instance, InstanceId, ListedState, Location, Process};
use quarantine::{SubjectDigest, Subjects};
use wire::{DatagramBody, Load, MemberState};

const NOW: Millis = Millis(1_000);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn record(id: &str, process: Process) -> MemberRecord {
    MemberRecord {
        id: id.into(),
        incarnation: Incarnation(1),
        serial: 0,
        state: MemberState::Alive,
        place: Location::default(),
        process,
        address: address(1),
        serving: Vec::new(),
    }
}

/// An entry that accepts requests and knows `count` instances of a plain service.
fn entry(count: u16, queue_limit: u32) -> Entry {
    let estimate = Estimate { origin_bytes_per_s: 1.0, link_bytes_per_s: 1.0, copies: 1 };
    let options = EntryOptions {
        queue_limit,
        retry_share: 0.1,
        control_bytes_per_s: 1000,
        estimate,
        choice: RoutingStrategy::Weighted,
    };
    let mut entry = Entry::new(record("entry", Process::Entry), options);
    let list = (0..count).map(|number| Instance {
        id: InstanceId(format!("till-{number}")),
        place: Location::default(),
        process: Process::Service("till".into()),
        address: address(100 + number),
        memory_bytes: 0,
        state: ListedState::Live,
    });
    entry.reduce(NOW, 0, EntryEvent::Control(ControlEvent::Listed(list.collect())));
    entry.reduce(NOW, 0, EntryEvent::Control(ControlEvent::TableRead(None)));
    entry
}

fn arrival(serial: u64, repeatable: bool) -> Arrival {
    Arrival {
        request: RequestId { entry: Incarnation(1), serial },
        subjects: SubjectDigest(serial).into(),
        target: Target::Service("till".into()),
        workspace: "w".into(),
        prefix: 0,
        deadline: NOW.plus(10_000),
        max_wait_ms: 10_000,
        repeatable,
        priority: 1,
        key: None,
    }
}

fn arrive(entry: &mut Entry, arrival: Arrival) -> Vec<EntryEffect> {
    entry.reduce(NOW, 0, EntryEvent::Arrived(Box::new(arrival)))
}

fn attempt_of(effects: &[EntryEffect]) -> AttemptId {
    let sent = effects.iter().find_map(|it| match it {
        EntryEffect::Send { attempt, .. } => Some(*attempt),
        _ => None,
    });
    sent.expect("an attempt was sent")
}

fn refusal_of(effects: &[EntryEffect]) -> Option<Code> {
    effects.iter().find_map(|it| match it {
        EntryEffect::Refuse { error, .. } => Some(error.code),
        _ => None,
    })
}

fn fail(entry: &mut Entry, attempt: AttemptId, code: Code) -> Vec<EntryEffect> {
    let failure = Failure { code, load: None, retry_after_ms: 0 };
    entry.reduce(NOW, 0, EntryEvent::Failed { attempt, failure })
}

#[test]
fn never_reports_not_run_after_an_attempt_that_may_have_run() {
    // Guards against a false "not run": an agent is killed in the middle of a stream, the next attempt finds
    // no listener, and the caller must not be told that the request was not run.
    let mut entry = entry(2, 10);
    let sent = arrive(&mut entry, arrival(1, true));
    let second = fail(&mut entry, attempt_of(&sent), Code::ConnectionLost);
    // The second upstream is excluded now; the first one is tried again and excluded as well.
    let third = fail(&mut entry, attempt_of(&second), Code::Unreachable);
    let waiting = fail(&mut entry, attempt_of(&third), Code::Unreachable);
    assert_eq!((refusal_of(&waiting), entry.load()), (None, (1, 1)));
    let effects = entry.reduce(NOW.plus(10_000), 0, EntryEvent::Tick);
    assert_eq!(refusal_of(&effects), Some(Code::ConnectionLost));
}

#[test]
fn never_retries_an_unrepeatable_request_that_may_have_run() {
    let mut entry = entry(2, 10);
    let sent = arrive(&mut entry, arrival(1, false));
    let effects = fail(&mut entry, attempt_of(&sent), Code::ConnectionLost);
    assert_eq!(refusal_of(&effects), Some(Code::ConnectionLost));
}

#[test]
fn retries_an_unrepeatable_request_that_certainly_did_not_run() {
    let mut entry = entry(2, 10);
    let sent = arrive(&mut entry, arrival(1, false));
    let effects = fail(&mut entry, attempt_of(&sent), Code::Leaving);
    assert_eq!(attempt_of(&effects).number, 2);
}

#[test]
fn ignores_answers_of_earlier_attempts() {
    let mut entry = entry(2, 10);
    let sent = arrive(&mut entry, arrival(1, true));
    let first = attempt_of(&sent);
    let second = attempt_of(&fail(&mut entry, first, Code::Leaving));
    let load = Load { running: 0, limit: 4, uploads: 0 };
    entry.reduce(NOW, 0, EntryEvent::AttemptCompleted { attempt: first, load });
    assert_eq!(entry.load().0, 1);
    entry.reduce(NOW, 0, EntryEvent::AttemptCompleted { attempt: second, load });
    assert_eq!(entry.load().0, 0);
}

#[test]
fn rejects_requests_when_the_queue_is_full_and_when_the_deadline_passes() {
    let mut entry = entry(1, 1);
    let mut sent = 0;
    let mut refused = Vec::new();
    for serial in 0..20 {
        let effects = arrive(&mut entry, arrival(serial, true));
        sent += effects.iter().filter(|it| matches!(it, EntryEffect::Send { .. })).count();
        refused.extend(refusal_of(&effects));
    }
    // An upstream that has not answered yet gets half of the default limit.
    assert_eq!((sent, refused.len()), (8, 11));
    assert!(refused.iter().all(|code| *code == Code::Overloaded));
    let late = entry.reduce(NOW.plus(10_000), 0, EntryEvent::Tick);
    assert_eq!(refusal_of(&late), Some(Code::TooLate));
}

#[test]
fn rejects_a_request_that_has_waited_longer_than_its_limit() {
    let mut entry = entry(1, 100);
    for serial in 0..9 {
        let mut arrival = arrival(serial, true);
        arrival.max_wait_ms = 200;
        arrive(&mut entry, arrival);
    }
    assert!(entry.reduce(NOW.plus(199), 0, EntryEvent::Tick).is_empty() || entry.load().1 == 1);
    let effects = entry.reduce(NOW.plus(200), 0, EntryEvent::Tick);
    assert_eq!(refusal_of(&effects), Some(Code::Overloaded));
}

#[test]
fn rejects_unknown_targets_and_work_after_a_stop() {
    let mut entry = entry(1, 1);
    let mut unknown = arrival(1, true);
    unknown.target = Target::Model("nothing".into());
    assert_eq!(refusal_of(&arrive(&mut entry, unknown)), Some(Code::UnknownTarget));
    let effects = entry.reduce(NOW, 0, EntryEvent::Stop);
    assert!(effects.iter().any(|it| matches!(it, EntryEffect::Drained)));
    assert_eq!(refusal_of(&arrive(&mut entry, arrival(2, true))), Some(Code::Stopping));
}

/// A request of a workspace.
fn arrival_of(workspace: &str, serial: u64) -> Arrival {
    let mut arrival = arrival(serial, true);
    arrival.workspace = workspace.into();
    arrival
}

#[test]
fn dispatches_the_workspace_with_the_fewest_running_requests_first() {
    let mut entry = entry(1, 100);
    let mut first = Vec::new();
    for serial in 0..40 {
        first.extend(arrive(&mut entry, arrival_of("large", serial)));
    }
    arrive(&mut entry, arrival_of("small", 100));
    let load = Load { running: 7, limit: 8, uploads: 0 };
    let ended = EntryEvent::AttemptCompleted { attempt: attempt_of(&first), load };
    let next = attempt_of(&entry.reduce(NOW, 0, ended));
    assert_eq!(next.request.serial, 100);
}

#[test]
fn full_queue_drops_a_request_of_the_workspace_with_most_waiting() {
    let mut entry = entry(1, 10);
    for serial in 0..18 {
        arrive(&mut entry, arrival_of("large", serial));
    }
    let effects = arrive(&mut entry, arrival_of("small", 100));
    assert_eq!(refusal_of(&effects), Some(Code::WorkspaceLimit));
    assert_eq!(entry.load().1, 10);
    let effects = arrive(&mut entry, arrival_of("large", 101));
    assert_eq!(refusal_of(&effects), Some(Code::Overloaded));
}

/// What happens to an attempt at an agent, chosen by the test.
#[derive(Clone, Copy, Debug)]
enum AttemptOutcome {
    /// It runs and the answer is complete.
    Complete,
    /// It runs and the answer is cut short.
    Truncated,
    /// It runs and the connection is lost.
    Lost,
    /// The agent rejects it before it runs.
    Refused,
    /// No connection could be made.
    Unreachable,
}

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn attempt_outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        3 => Just(AttemptOutcome::Complete),
        1 => Just(AttemptOutcome::Truncated),
        1 => Just(AttemptOutcome::Lost),
        2 => Just(AttemptOutcome::Refused),
        1 => Just(AttemptOutcome::Unreachable),
    ]
}

/// The oracle: how often each request ran, and what its caller was told.
#[derive(Default)]
struct Oracle {
    ran: BTreeMap<u64, u32>,
    replies: BTreeMap<u64, Vec<Option<Code>>>,
    pending: Vec<AttemptId>,
}

impl Oracle {
    fn record(&mut self, effects: Vec<EntryEffect>) {
        for effect in effects {
            match effect {
                EntryEffect::Send { attempt, .. } => self.pending.push(attempt),
                EntryEffect::Refuse { request, error } => {
                    self.replies.entry(request.serial).or_default().push(Some(error.code));
                }
                _ => {}
            }
        }
    }

    /// Ends one of the pending attempts.
    fn end(
        &mut self,
        entry: &mut Entry,
        now: Millis,
        which: usize,
        attempt_outcome: AttemptOutcome,
    ) {
        if self.pending.is_empty() {
            return;
        }
        let attempt = self.pending.remove(which % self.pending.len());
        let serial = attempt.request.serial;
        if matches!(
            attempt_outcome,
            AttemptOutcome::Complete | AttemptOutcome::Truncated | AttemptOutcome::Lost
        ) {
            *self.ran.entry(serial).or_default() += 1;
        }
        let load = Load { running: 1, limit: 4, uploads: 0 };
        let code = match attempt_outcome {
            AttemptOutcome::Complete => {
                self.replies.entry(serial).or_default().push(None);
                self.record(entry.reduce(now, 0, EntryEvent::AttemptCompleted { attempt, load }));
                return;
            }
            AttemptOutcome::Truncated => Code::CutShort,
            AttemptOutcome::Lost => Code::ConnectionLost,
            AttemptOutcome::Refused => Code::Overloaded,
            AttemptOutcome::Unreachable => Code::Unreachable,
        };
        let failure = Failure { code, load: None, retry_after_ms: 0 };
        self.record(entry.reduce(now, 0, EntryEvent::Failed { attempt, failure }));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..Default::default() })]

    #[test]
    fn callers_get_true_answers_and_unrepeatable_requests_run_once(
        steps in proptest::collection::vec((any::<bool>(), any::<usize>(), attempt_outcome(), 0u64..400), 1..150),
    ) {
        let mut entry = entry(3, 6);
        let mut oracle = Oracle::default();
        let mut now = NOW;
        let repeatable = |serial: u64| serial.is_multiple_of(2);
        for (serial, (arrives, which, attempt_outcome, span)) in steps.iter().enumerate() {
            now = now.plus(*span);
            if *arrives {
                let mut arrival = arrival(serial as u64, repeatable(serial as u64));
                arrival.deadline = now.plus(2_000);
                oracle.record(entry.reduce(now, 0, EntryEvent::Arrived(Box::new(arrival))));
            } else {
                oracle.end(&mut entry, now, *which, *attempt_outcome);
            }
            oracle.record(entry.reduce(now, 0, EntryEvent::Tick));
        }
        while !oracle.pending.is_empty() {
            oracle.end(&mut entry, now, 0, AttemptOutcome::Complete);
        }
        oracle.record(entry.reduce(now.plus(10_000), 0, EntryEvent::Tick));
        for (serial, answers) in &oracle.replies {
            let ran = oracle.ran.get(serial).copied().unwrap_or(0);
            prop_assert_eq!(answers.len(), 1, "request {} ended {:?}", serial, answers);
            let not_run = answers[0].is_some_and(|code| code.ran() == Ran::NotRun);
            prop_assert!(!not_run || ran == 0, "{} was told {:?} and ran", serial, answers);
            prop_assert!(repeatable(*serial) || ran <= 1, "{} ran {} times", serial, ran);
        }
        prop_assert_eq!(entry.load(), (0, 0));
    }
}

/// A request that its caller sends repeatedly, each time with a new id.
fn repeated(serial: u64) -> Arrival {
    Arrival { subjects: SubjectDigest(77).into(), ..arrival(serial, true) }
}

/// Lets a request crash three upstreams.
fn crash_three_upstreams(entry: &mut Entry) {
    let mut sent = arrive(entry, repeated(1));
    for _ in 0..3 {
        sent = fail(entry, attempt_of(&sent), Code::ConnectionLost);
        if refusal_of(&sent).is_some() {
            return;
        }
    }
}

#[test]
fn a_request_that_crashed_three_upstreams_is_rejected_and_others_are_served() {
    let mut entry = entry(6, 10);
    crash_three_upstreams(&mut entry);
    assert_eq!(refusal_of(&arrive(&mut entry, repeated(2))), Some(Code::Quarantined));
    attempt_of(&arrive(&mut entry, arrival(3, true)));
}

#[test]
fn requests_that_differ_crash_upstreams_by_a_common_message() {
    let mut entry = entry(8, 10);
    let conversation = |serial: u64, message: &str| {
        let parts = [SubjectDigest::of_part(message)];
        let subjects = Subjects::new(SubjectDigest(serial), parts);
        Arrival { subjects, repeatable: false, ..arrival(serial, true) }
    };
    for serial in 1..=3 {
        let sent = arrive(&mut entry, conversation(serial, "bad"));
        fail(&mut entry, attempt_of(&sent), Code::CutShort);
    }
    let refused = arrive(&mut entry, conversation(4, "bad"));
    assert_eq!(refusal_of(&refused), Some(Code::Quarantined));
    attempt_of(&arrive(&mut entry, conversation(5, "other")));
}

#[test]
fn an_attempt_that_crashed_three_upstreams_is_not_retried() {
    let mut entry = entry(6, 10);
    let second = arrive(&mut entry, repeated(1));
    let third = fail(&mut entry, attempt_of(&second), Code::CutShort);
    let fourth = fail(&mut entry, attempt_of(&third), Code::ConnectionLost);
    let effects = fail(&mut entry, attempt_of(&fourth), Code::CutShort);
    assert_eq!(refusal_of(&effects), Some(Code::CutShort), "it has run");
}

#[test]
fn an_answer_that_is_none_is_retried_elsewhere_and_is_no_crash() {
    let mut entry = entry(8, 10);
    for serial in 1..=4 {
        let sent = arrive(&mut entry, repeated(serial));
        let retry = attempt_of(&fail(&mut entry, attempt_of(&sent), Code::UpstreamFailed));
        assert_eq!(retry.number, 2);
    }
    let sent = arrive(&mut entry, arrival(5, false));
    let effects = fail(&mut entry, attempt_of(&sent), Code::UpstreamFailed);
    assert_eq!(refusal_of(&effects), Some(Code::UpstreamFailed), "it may have run");
}

#[test]
fn a_complete_answer_clears_the_request() {
    let mut entry = entry(6, 10);
    let sent = arrive(&mut entry, repeated(1));
    let sent = fail(&mut entry, attempt_of(&sent), Code::ConnectionLost);
    let sent = fail(&mut entry, attempt_of(&sent), Code::ConnectionLost);
    let load = Load { running: 0, limit: 4, uploads: 0 };
    entry.reduce(NOW, 0, EntryEvent::AttemptCompleted { attempt: attempt_of(&sent), load });
    let sent = arrive(&mut entry, repeated(2));
    fail(&mut entry, attempt_of(&sent), Code::ConnectionLost);
    attempt_of(&arrive(&mut entry, repeated(3)));
}

#[test]
fn entries_report_crashing_requests_to_each_other() {
    let mut first = entry(6, 10);
    let other = Instance {
        id: "entry-2".into(),
        place: Location::default(),
        process: Process::Entry,
        address: address(50),
        memory_bytes: 0,
        state: ListedState::Live,
    };
    first.reduce(NOW, 0, EntryEvent::Control(ControlEvent::Listed(vec![other])));
    crash_three_upstreams(&mut first);
    let effects = first.reduce(NOW.plus(50), 0, EntryEvent::Tick);
    let reported = effects.into_iter().find_map(|it| match it {
        EntryEffect::Control(ControlEffect::Send { to, datagram })
            if matches!(datagram.body, DatagramBody::Crashes(_)) && to == address(50) =>
        {
            Some(datagram)
        }
        _ => None,
    });
    let datagram = reported.expect("the other entry receives the report");
    let mut second = entry(6, 10);
    let from = address(1);
    second.reduce(NOW, 0, EntryEvent::Control(ControlEvent::Datagram { from, datagram }));
    assert_eq!(refusal_of(&arrive(&mut second, repeated(9))), Some(Code::Quarantined));
}
