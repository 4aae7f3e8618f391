use super::*;
use crate::planner::Estimate;
use fleet::{Incarnation, Instance, ListedState, Place};
use wire::MemberState;

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
    let options =
        EntryOptions { queue_limit, retry_share: 0.1, control_bytes_per_s: 1000, estimate };
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
        target: Target::Service("till".into()),
        workspace: "w".into(),
        prefix: 0,
        deadline: NOW.plus(10_000),
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
    let failure = Failure { code, load: None };
    entry.reduce(NOW, 0, EntryEvent::Failed { attempt, failure })
}

#[test]
fn never_says_not_run_after_a_try_that_may_have_run() {
    // Found by killing an agent in the middle of a stream: the second try found nobody listening,
    // and the caller was told "not run" although the first one had begun.
    let mut entry = entry(2, 10);
    let sent = arrive(&mut entry, arrival(1, true));
    let second = fail(&mut entry, attempt_of(&sent), Code::ConnectionLost);
    let mut effects = fail(&mut entry, attempt_of(&second), Code::Unreachable);
    while refusal_of(&effects).is_none() {
        effects = fail(&mut entry, attempt_of(&effects), Code::Unreachable);
    }
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
fn refuses_unknown_targets_and_work_after_a_stop() {
    let mut entry = entry(1, 1);
    let mut unknown = arrival(1, true);
    unknown.target = Target::Model("nothing".into());
    assert_eq!(refusal_of(&arrive(&mut entry, unknown)), Some(Code::UnknownTarget));
    let effects = entry.reduce(NOW, 0, EntryEvent::Stop);
    assert!(effects.iter().any(|it| matches!(it, EntryEffect::Drained)));
    assert_eq!(refusal_of(&arrive(&mut entry, arrival(2, true))), Some(Code::Stopping));
}
