use std::net::SocketAddr;

use super::*;
use crate::control::ControlEffect;
use crate::planner::Estimate;
use crate::routing::RouteChoice;
use errors::{Code, Ran};
use fleet::{Incarnation, Instance, InstanceId, ListedState, Place, Process};
use quarantine::RequestDigest;
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
        place: Place::default(),
        process,
        address: address(1),
        serving: Vec::new(),
    }
}

/// An entry that is ready and sees `count` instances of a plain service.
fn entry(count: u16, queue_limit: u32) -> Entry {
    let estimate = Estimate { origin_bytes_per_s: 1.0, link_bytes_per_s: 1.0, copies: 1 };
    let options = EntryOptions {
        queue_limit,
        retry_share: 0.1,
        control_bytes_per_s: 1000,
        estimate,
        choice: RouteChoice::Weighed,
    };
    let mut entry = Entry::new(record("entry", Process::Entry), options);
    let list = (0..count).map(|number| Instance {
        id: InstanceId(format!("till-{number}")),
        place: Place::default(),
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
        digest: RequestDigest(serial),
        target: Target::Service("till".into()),
        workspace: "w".into(),
        prefix: 0,
        deadline: NOW.plus(10_000),
        max_wait: 10_000,
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
    sent.expect("a try was sent")
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
fn never_says_not_run_after_a_try_that_may_have_run() {
    // Found by killing an agent in the middle of a stream: the second try found nobody listening,
    // and the caller was told "not run" although the first one had begun.
    let mut entry = entry(2, 10);
    let sent = arrive(&mut entry, arrival(1, true));
    let second = fail(&mut entry, attempt_of(&sent), Code::ConnectionLost);
    // The second upstream is now left out; the first one is tried again and left out as well.
    let third = fail(&mut entry, attempt_of(&second), Code::Unreachable);
    let waiting = fail(&mut entry, attempt_of(&third), Code::Unreachable);
    assert_eq!((refusal_of(&waiting), entry.load()), (None, (1, 1)));
    let effects = entry.reduce(NOW.plus(10_000), 0, EntryEvent::Tick);
    assert_eq!(refusal_of(&effects), Some(Code::ConnectionLost));
}

#[test]
fn never_tries_an_unrepeatable_request_again_once_it_may_have_run() {
    let mut entry = entry(2, 10);
    let sent = arrive(&mut entry, arrival(1, false));
    let effects = fail(&mut entry, attempt_of(&sent), Code::ConnectionLost);
    assert_eq!(refusal_of(&effects), Some(Code::ConnectionLost));
}

#[test]
fn can_try_an_unrepeatable_request_again_when_it_surely_did_not_run() {
    let mut entry = entry(2, 10);
    let sent = arrive(&mut entry, arrival(1, false));
    let effects = fail(&mut entry, attempt_of(&sent), Code::Leaving);
    assert_eq!(attempt_of(&effects).number, 2);
}

#[test]
fn ignores_answers_of_earlier_tries() {
    let mut entry = entry(2, 10);
    let sent = arrive(&mut entry, arrival(1, true));
    let first = attempt_of(&sent);
    let second = attempt_of(&fail(&mut entry, first, Code::Leaving));
    let load = Load { running: 0, limit: 4, uploads: 0 };
    entry.reduce(NOW, 0, EntryEvent::Ended { attempt: first, load });
    assert_eq!(entry.load().0, 1);
    entry.reduce(NOW, 0, EntryEvent::Ended { attempt: second, load });
    assert_eq!(entry.load().0, 0);
}

#[test]
fn refuses_when_the_queue_is_full_and_when_time_runs_out() {
    let mut entry = entry(1, 1);
    let mut sent = 0;
    let mut refused = Vec::new();
    for serial in 0..20 {
        let effects = arrive(&mut entry, arrival(serial, true));
        sent += effects.iter().filter(|it| matches!(it, EntryEffect::Send { .. })).count();
        refused.extend(refusal_of(&effects));
    }
    // A replica that has not answered yet gets half of the usual limit.
    assert_eq!((sent, refused.len()), (8, 11));
    assert!(refused.iter().all(|code| *code == Code::Overloaded));
    let late = entry.reduce(NOW.plus(10_000), 0, EntryEvent::Tick);
    assert_eq!(refusal_of(&late), Some(Code::TooLate));
}

#[test]
fn refuses_a_request_that_has_waited_too_long_to_be_on_time() {
    let mut entry = entry(1, 100);
    for serial in 0..9 {
        let mut arrival = arrival(serial, true);
        arrival.max_wait = 200;
        arrive(&mut entry, arrival);
    }
    assert!(entry.reduce(NOW.plus(199), 0, EntryEvent::Tick).is_empty() || entry.load().1 == 1);
    let effects = entry.reduce(NOW.plus(200), 0, EntryEvent::Tick);
    assert_eq!(refusal_of(&effects), Some(Code::Overloaded));
}

#[test]
fn refuses_unknown_targets_and_work_after_a_stop() {
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
fn gives_the_next_turn_to_the_workspace_with_the_least_running() {
    let mut entry = entry(1, 100);
    let mut first = Vec::new();
    for serial in 0..40 {
        first.extend(arrive(&mut entry, arrival_of("large", serial)));
    }
    arrive(&mut entry, arrival_of("small", 100));
    let load = Load { running: 7, limit: 8, uploads: 0 };
    let ended = EntryEvent::Ended { attempt: attempt_of(&first), load };
    let next = attempt_of(&entry.reduce(NOW, 0, ended));
    assert_eq!(next.request.serial, 100);
}

#[test]
fn makes_room_in_a_full_queue_at_the_cost_of_the_workspace_that_waits_most() {
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

/// What an agent does with a try, as the oracle decides it.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// It runs and is answered whole.
    Whole,
    /// It runs and the answer is cut.
    Cut,
    /// It runs and the connection is lost.
    Lost,
    /// It is refused before admission.
    Refused,
    /// Nothing could be sent.
    Unreachable,
}

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        3 => Just(Fate::Whole),
        1 => Just(Fate::Cut),
        1 => Just(Fate::Lost),
        2 => Just(Fate::Refused),
        1 => Just(Fate::Unreachable),
    ]
}

/// The oracle: how often each request truly ran, and what its caller was told.
#[derive(Default)]
struct Truth {
    ran: BTreeMap<u64, u32>,
    told: BTreeMap<u64, Vec<Option<Code>>>,
    open: Vec<AttemptId>,
}

impl Truth {
    fn take(&mut self, effects: Vec<EntryEffect>) {
        for effect in effects {
            match effect {
                EntryEffect::Send { attempt, .. } => self.open.push(attempt),
                EntryEffect::Refuse { request, error } => {
                    self.told.entry(request.serial).or_default().push(Some(error.code));
                }
                _ => {}
            }
        }
    }

    /// Ends one of the tries that are out.
    fn end(&mut self, entry: &mut Entry, now: Millis, which: usize, fate: Fate) {
        if self.open.is_empty() {
            return;
        }
        let attempt = self.open.remove(which % self.open.len());
        let serial = attempt.request.serial;
        if matches!(fate, Fate::Whole | Fate::Cut | Fate::Lost) {
            *self.ran.entry(serial).or_default() += 1;
        }
        let load = Load { running: 1, limit: 4, uploads: 0 };
        let code = match fate {
            Fate::Whole => {
                self.told.entry(serial).or_default().push(None);
                self.take(entry.reduce(now, 0, EntryEvent::Ended { attempt, load }));
                return;
            }
            Fate::Cut => Code::CutShort,
            Fate::Lost => Code::ConnectionLost,
            Fate::Refused => Code::Overloaded,
            Fate::Unreachable => Code::Unreachable,
        };
        let failure = Failure { code, load: None, retry_after_ms: 0 };
        self.take(entry.reduce(now, 0, EntryEvent::Failed { attempt, failure }));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..Default::default() })]

    #[test]
    fn tells_callers_only_what_is_true_and_runs_the_unrepeatable_once(
        steps in proptest::collection::vec((any::<bool>(), any::<usize>(), fate(), 0u64..400), 1..150),
    ) {
        let mut entry = entry(3, 6);
        let mut truth = Truth::default();
        let mut now = NOW;
        let repeatable = |serial: u64| serial.is_multiple_of(2);
        for (serial, (arrives, which, fate, span)) in steps.iter().enumerate() {
            now = now.plus(*span);
            if *arrives {
                let mut arrival = arrival(serial as u64, repeatable(serial as u64));
                arrival.deadline = now.plus(2_000);
                truth.take(entry.reduce(now, 0, EntryEvent::Arrived(Box::new(arrival))));
            } else {
                truth.end(&mut entry, now, *which, *fate);
            }
            truth.take(entry.reduce(now, 0, EntryEvent::Tick));
        }
        while !truth.open.is_empty() {
            truth.end(&mut entry, now, 0, Fate::Whole);
        }
        truth.take(entry.reduce(now.plus(10_000), 0, EntryEvent::Tick));
        for (serial, endings) in &truth.told {
            let ran = truth.ran.get(serial).copied().unwrap_or(0);
            prop_assert_eq!(endings.len(), 1, "request {} ended {:?}", serial, endings);
            let not_run = endings[0].is_some_and(|code| code.ran() == Ran::NotRun);
            prop_assert!(!not_run || ran == 0, "{} was told {:?} and ran", serial, endings);
            prop_assert!(repeatable(*serial) || ran <= 1, "{} ran {} times", serial, ran);
        }
        prop_assert_eq!(entry.load(), (0, 0));
    }
}

/// Tries of one request by its caller, each with an id of its own.
fn again(serial: u64) -> Arrival {
    Arrival { digest: RequestDigest(77), ..arrival(serial, true) }
}

/// Lets a request end three upstreams, by two tries of its caller.
fn crash_three(entry: &mut Entry) {
    let mut sent = arrive(entry, again(1));
    for _ in 0..3 {
        sent = fail(entry, attempt_of(&sent), Code::ConnectionLost);
        if refusal_of(&sent).is_some() {
            return;
        }
    }
}

#[test]
fn a_request_that_ended_three_upstreams_is_refused_and_others_are_served() {
    let mut entry = entry(6, 10);
    crash_three(&mut entry);
    assert_eq!(refusal_of(&arrive(&mut entry, again(2))), Some(Code::Quarantined));
    attempt_of(&arrive(&mut entry, arrival(3, true)));
}

#[test]
fn a_try_that_has_ended_three_upstreams_is_not_sent_on() {
    let mut entry = entry(6, 10);
    let second = arrive(&mut entry, again(1));
    let third = fail(&mut entry, attempt_of(&second), Code::CutShort);
    let fourth = fail(&mut entry, attempt_of(&third), Code::ConnectionLost);
    let effects = fail(&mut entry, attempt_of(&fourth), Code::CutShort);
    assert_eq!(refusal_of(&effects), Some(Code::CutShort), "it has run");
}

#[test]
fn an_answer_that_is_whole_takes_all_suspicion() {
    let mut entry = entry(6, 10);
    let sent = arrive(&mut entry, again(1));
    let sent = fail(&mut entry, attempt_of(&sent), Code::ConnectionLost);
    let sent = fail(&mut entry, attempt_of(&sent), Code::ConnectionLost);
    let load = Load { running: 0, limit: 4, uploads: 0 };
    entry.reduce(NOW, 0, EntryEvent::Ended { attempt: attempt_of(&sent), load });
    let sent = arrive(&mut entry, again(2));
    fail(&mut entry, attempt_of(&sent), Code::ConnectionLost);
    attempt_of(&arrive(&mut entry, again(3)));
}

#[test]
fn entries_tell_each_other_of_requests_that_end_upstreams() {
    let mut first = entry(6, 10);
    let other = Instance {
        id: "entry-2".into(),
        place: Place::default(),
        process: Process::Entry,
        address: address(50),
        memory_bytes: 0,
        state: ListedState::Live,
    };
    first.reduce(NOW, 0, EntryEvent::Control(ControlEvent::Listed(vec![other])));
    crash_three(&mut first);
    let effects = first.reduce(NOW.plus(50), 0, EntryEvent::Tick);
    let told = effects.into_iter().find_map(|it| match it {
        EntryEffect::Control(ControlEffect::Send { to, datagram })
            if matches!(datagram.body, DatagramBody::Crashes(_)) && to == address(50) =>
        {
            Some(datagram)
        }
        _ => None,
    });
    let datagram = told.expect("the other entry is told");
    let mut second = entry(6, 10);
    let from = address(1);
    second.reduce(NOW, 0, EntryEvent::Control(ControlEvent::Datagram { from, datagram }));
    assert_eq!(refusal_of(&arrive(&mut second, again(9))), Some(Code::Quarantined));
}
