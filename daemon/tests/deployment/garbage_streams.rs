//! Tests of streams whose runners send bytes that are no event, with gateways as processes.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use account::Decision;
use http::Method;
use platform_standin::{
    Answer, Caller, Framing, Garbage, GarbageContent, GarbagePlace, RunnerFault,
};
use serde_json::json;

use crate::raw_runner::{add_raw_runners, read_feed};
use crate::support::{is_whole_stream, stream, unix_millis, wait_until, Deployment};

/// The number of events of a whole stream.
const EVENTS: u64 = 12;
/// The number of events before garbage in the middle of a stream.
const EVENTS_BEFORE_GARBAGE: u64 = 5;
/// What is no event, although an empty line ends most of it.
const NO_EVENTS: [GarbageContent; 7] = [
    GarbageContent::Noise,
    GarbageContent::TextWithEmptyLine,
    GarbageContent::EventWithoutId,
    GarbageContent::EventWithEmptyId,
    GarbageContent::EventWithLowerId,
    GarbageContent::Head,
    GarbageContent::Answer,
];
/// The most streams that are sent until one is resumed.
const MAX_STREAMS: u32 = 50;
/// The time limit of the routes.
const TIME_LIMIT: Duration = Duration::from_millis(4000);
/// How far beyond its time limit a stream may end.
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(1000);
/// How long a request to another runner may take while a runner floods the gateway.
const MAX_TIME_BESIDE_FLOOD: Duration = Duration::from_millis(1500);

fn garbage(content: GarbageContent, after: u64, framing: Framing) -> Garbage {
    Garbage {
        place: GarbagePlace::WithinBody(after),
        content,
        framing,
        continues: false,
        is_endless: false,
        percent: 100,
    }
}

/// Garbage of each content in the middle of a stream and behind it, alone and with more events, in both framings in
/// which the end of a stream is not known in advance.
fn all_garbage() -> Vec<Garbage> {
    let mut all = Vec::new();
    for content in NO_EVENTS {
        for after in [EVENTS_BEFORE_GARBAGE, EVENTS] {
            for framing in [Framing::Connection, Framing::Chunks] {
                let garbage = garbage(content, after, framing);
                let is_last = after == EVENTS;
                all.push(Garbage { continues: is_last, ..garbage });
                if !is_last {
                    all.push(Garbage { continues: true, ..garbage });
                }
            }
        }
    }
    all
}

/// A deployment with model runners, and a gateway that serves streams.
fn start(runners: &[&str]) -> (Deployment, SocketAddr, Vec<SocketAddr>) {
    let mut deployment = Deployment::start();
    let addresses: Vec<_> =
        runners.iter().map(|id| deployment.add_model_runner(id, Some(1))).collect();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    for runner in runners {
        first_stream_at(&deployment, gateway, runner, &format!("start-{runner}"));
    }
    (deployment, gateway, addresses)
}

fn set_fault(deployment: &Deployment, runners: &[SocketAddr], garbage: Garbage) {
    for runner in runners {
        deployment.standin.change_runner(*runner, |it| it.fault = RunnerFault::Garbage(garbage));
    }
}

fn make_streams_not_resumable(deployment: &Deployment) {
    deployment.standin.reconfigure(|it| it["routes"][0]["resumable"] = json!(false));
    std::thread::sleep(Duration::from_millis(1000));
}

/// The first events of the stream of a request.
fn events(id: &str, count: u64) -> String {
    (1..=count).map(|it| format!("id: {it}\ndata: {id}/{it}\n\n")).collect()
}

/// The answer to the first stream that reaches one of the runners, and its id. A runner that sent garbage gets no
/// requests for a while.
fn first_stream_at(
    deployment: &Deployment,
    gateway: SocketAddr,
    runner: &str,
    prefix: &str,
) -> (Answer, String) {
    let mut number = 0;
    let mut found = None;
    wait_until("a stream reaches the runner", || {
        number += 1;
        let id = format!("{prefix}-{number}");
        let answer = stream(gateway, &id);
        let runs = deployment.standin.runs(&id);
        if runs.first().is_some_and(|it| it.runner.starts_with(runner)) {
            found = Some((answer, id));
        }
        found.is_some()
    });
    found.unwrap()
}

/// Ends the fault of a runner and waits until it has served a stream, so that it is paused for a short time after its
/// next fault.
fn clear_fault(deployment: &Deployment, gateway: SocketAddr, runner: SocketAddr, name: &str) {
    deployment.standin.change_runner(runner, |it| it.fault = RunnerFault::None);
    first_stream_at(deployment, gateway, name, &format!("{name}-{}", unix_millis()));
}

/// The id of the first stream that reaches runner `e1` and is resumed at another one. Every stream before it has to be
/// whole or visibly broken off: the budget of retries may be used up.
fn resumed_stream(
    deployment: &Deployment,
    gateway: SocketAddr,
    garbage: Garbage,
    prefix: &str,
) -> String {
    let GarbagePlace::WithinBody(after) = garbage.place else {
        panic!("the garbage is not in the body");
    };
    for number in 0..MAX_STREAMS {
        let prefix = format!("{prefix}-{number}");
        let (answer, id) = first_stream_at(deployment, gateway, "e1", &prefix);
        let runs = deployment.standin.runs(&id);
        if runs.len() > 1 {
            assert!(is_whole_stream(&answer, &id), "{garbage:?} {answer:?} {runs:?}");
            return id;
        }
        assert!(!answer.is_complete, "{garbage:?} {answer:?} {runs:?}");
        assert!(events(&id, after).starts_with(&answer.body), "{garbage:?} {answer:?} {runs:?}");
    }
    panic!("no stream was resumed: {garbage:?}");
}

#[test]
fn garbage_within_or_behind_a_resumable_stream_reaches_its_caller() {
    let (deployment, gateway, runners) = start(&["e1", "e2"]);
    for (number, garbage) in all_garbage().into_iter().enumerate() {
        set_fault(&deployment, &runners[..1], garbage);
        let id = resumed_stream(&deployment, gateway, garbage, &format!("r{number}"));
        let runs = deployment.standin.runs(&id);
        let GarbagePlace::WithinBody(after) = garbage.place else { unreachable!() };
        assert_eq!(runs[1].last_event, after, "{garbage:?}");
        clear_fault(&deployment, gateway, runners[0], "e1");
    }
}

#[test]
fn garbage_within_or_behind_a_stream_that_cannot_be_resumed_reaches_its_caller() {
    let (deployment, gateway, runners) = start(&["e1"]);
    make_streams_not_resumable(&deployment);
    for (number, garbage) in all_garbage().into_iter().enumerate() {
        set_fault(&deployment, &runners, garbage);
        let (answer, id) = first_stream_at(&deployment, gateway, "e1", &format!("n{number}"));
        let GarbagePlace::WithinBody(after) = garbage.place else { unreachable!() };
        assert!(!answer.is_complete, "{garbage:?} {answer:?}");
        assert_eq!(answer.body, events(&id, after), "{garbage:?}");
        assert_eq!(deployment.standin.runs(&id).len(), 1, "{garbage:?}");
        clear_fault(&deployment, gateway, runners[0], "e1");
    }
}

#[test]
fn garbage_of_every_runner_makes_a_stream_look_complete_or_repeats_events() {
    let (deployment, gateway, runners) = start(&["e1", "e2", "e3"]);
    for (number, content) in NO_EVENTS.into_iter().enumerate() {
        set_fault(&deployment, &runners, garbage(content, 2, Framing::Connection));
        let (answer, id) = first_stream_at(&deployment, gateway, "e", &format!("a{number}"));
        let runs = deployment.standin.runs(&id);
        assert!(!answer.is_complete, "{content:?} {answer:?} {runs:?}");
        assert_eq!(answer.body, events(&id, 2 * runs.len() as u64), "{content:?} {runs:?}");
    }
}

#[test]
fn garbage_at_once_of_the_runner_that_continues_a_stream_reaches_its_caller() {
    let (deployment, gateway, runners) = start(&["e1", "e2"]);
    for (number, content) in NO_EVENTS.into_iter().enumerate() {
        let begun_at_e1 = (0..MAX_STREAMS).any(|stream_number| {
            set_fault(&deployment, &runners[..1], garbage(content, 2, Framing::Connection));
            set_fault(&deployment, &runners[1..], garbage(content, 0, Framing::Connection));
            let id = format!("c{number}-{stream_number}");
            let answer = stream(gateway, &id);
            // Both are cleared after each stream, so that their pauses do not grow.
            clear_fault(&deployment, gateway, runners[0], "e1");
            clear_fault(&deployment, gateway, runners[1], "e2");
            let runs = deployment.standin.runs(&id);
            let is_first = runs.first().is_some_and(|it| it.runner.starts_with("e1"));
            if is_first {
                assert!(!answer.is_complete, "{content:?} {answer:?} {runs:?}");
                assert_eq!(answer.body, events(&id, 2), "{content:?} {runs:?}");
            }
            is_first
        });
        assert!(begun_at_e1, "{content:?}: no stream reached the runner first");
    }
}

#[test]
fn garbage_in_place_of_the_first_event_reaches_the_caller() {
    let (deployment, gateway, runners) = start(&["e1", "e2"]);
    for (number, content) in NO_EVENTS.into_iter().enumerate() {
        // An event with the lowest id is a sound first one.
        if content == GarbageContent::EventWithLowerId {
            continue;
        }
        let garbage = garbage(content, 0, Framing::Chunks);
        set_fault(&deployment, &runners[..1], garbage);
        resumed_stream(&deployment, gateway, garbage, &format!("b{number}"));
        clear_fault(&deployment, gateway, runners[0], "e1");
    }
}

#[test]
fn empty_lines_within_or_behind_a_stream_reach_its_caller() {
    let (deployment, gateway, runners) = start(&["e1"]);
    for (number, after) in [EVENTS_BEFORE_GARBAGE, EVENTS].into_iter().enumerate() {
        let garbage = garbage(GarbageContent::EmptyLine, after, Framing::Chunks);
        set_fault(&deployment, &runners, Garbage { continues: true, ..garbage });
        let (answer, id) = first_stream_at(&deployment, gateway, "e1", &format!("l{number}"));
        assert!(is_whole_stream(&answer, &id), "{garbage:?} {answer:?}");
    }
}

#[test]
fn the_log_and_the_metrics_do_not_tell_which_runner_sent_garbage() {
    let (deployment, gateway, runners) = start(&["e1"]);
    let garbage =
        garbage(GarbageContent::EventWithoutId, EVENTS_BEFORE_GARBAGE, Framing::Connection);
    set_fault(&deployment, &runners, garbage);
    let (_, id) = first_stream_at(&deployment, gateway, "e1", "log");
    let lines = deployment.account(&id).lines.into_iter().map(|it| it.decision);
    let ends: Vec<_> = lines.filter(|it| matches!(it, Decision::BrokeOff { .. })).collect();
    let expected = Decision::BrokeOff {
        runner: "e1".into(),
        end: "no_id".into(),
        ends_with_connection: true,
        events: EVENTS_BEFORE_GARBAGE,
        last_id: Some(EVENTS_BEFORE_GARBAGE),
    };
    assert_eq!(ends, [expected]);
    let metrics = deployment.metrics(gateway.ip());
    let is_count = |it: &&str| it.starts_with("silverdock_malformed_answers_total{");
    let count = metrics.lines().find(is_count).unwrap_or_default();
    assert!(count.contains("fault=\"no_id\"") && count.contains("source=\"stream\""), "{count}");
}

#[test]
fn an_answer_without_events_on_a_stream_route_reaches_the_caller_as_a_whole_stream() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    for (number, resumable) in [true, false].into_iter().enumerate() {
        deployment.standin.reconfigure(|it| {
            it["routes"][1]["kind"] = json!("stream");
            it["routes"][1]["resumable"] = json!(resumable);
        });
        std::thread::sleep(Duration::from_millis(1000));
        let answer = Caller::new(Method::GET, "/get/x", &format!("p{number}")).call(gateway);
        assert!(!answer.is_complete || answer.status != 200, "{answer:?}");
        assert_eq!(answer.body, "");
    }
}

#[test]
fn a_flood_within_a_stream_holds_up_its_caller_or_other_requests() {
    let (deployment, gateway, runners) = start(&["e1"]);
    let contents = [GarbageContent::EmptyLine, GarbageContent::Noise, GarbageContent::Answer];
    for (number, content) in contents.into_iter().enumerate() {
        let flood = garbage(content, EVENTS_BEFORE_GARBAGE, Framing::Connection);
        set_fault(&deployment, &runners, Garbage { is_endless: true, ..flood });
        let caller = std::thread::spawn(move || stream(gateway, &format!("f{number}")));
        while !caller.is_finished() {
            let answer = Caller::new(Method::GET, "/get/x", &format!("o{number}")).call(gateway);
            assert_eq!(answer.status, 200, "{content:?} {answer:?}");
            assert!(answer.duration < MAX_TIME_BESIDE_FLOOD, "{content:?} {answer:?}");
            std::thread::sleep(Duration::from_millis(20));
        }
        let answer = caller.join().unwrap();
        assert!(!answer.is_complete, "{content:?}");
        let expected = events(&format!("f{number}"), EVENTS_BEFORE_GARBAGE);
        assert!(answer.body == expected || answer.status != 200, "{content:?} {}", answer.body);
        assert!(answer.duration < TIME_LIMIT, "{content:?} {:?}", answer.duration);
        std::thread::sleep(Duration::from_millis(1000));
    }
}

/// Writes events with rising ids as fast as the gateway reads them.
fn write_events_without_end(stream: &mut TcpStream) -> std::io::Result<()> {
    let data = ".".repeat(1000);
    let mut next_id = 1;
    loop {
        let ids = next_id..next_id + 50;
        next_id = ids.end;
        let events: String = ids.map(|id| format!("id: {id}\ndata: {data}\n\n")).collect();
        stream.write_all(events.as_bytes())?;
    }
}

#[test]
fn events_without_end_hold_a_stream_beyond_its_time_limit_or_hold_up_other_requests() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    add_raw_runners(&deployment, gateway, true, |stream, _| write_events_without_end(stream));
    let limit = Duration::from_millis(2500);
    let caller = std::thread::spawn(move || read_feed(gateway, limit, None, TIME_LIMIT));
    while !caller.is_finished() {
        let answer = Caller::new(Method::GET, "/get/x", "beside").call(gateway);
        assert_eq!(answer.status, 200, "{answer:?}");
        assert!(answer.duration < MAX_TIME_BESIDE_FLOOD, "{answer:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
    let answer = caller.join().unwrap();
    assert!(answer.beginning.contains("id: 1\n"), "{}", answer.beginning);
    assert!(!answer.is_complete);
    assert!(answer.duration < limit + TIME_LIMIT_SLACK, "{:?}", answer.duration);
}

#[test]
fn a_runner_that_ignores_the_last_event_of_a_caller_repeats_events() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    add_raw_runners(&deployment, gateway, true, |stream, _| {
        stream.write_all(b"id: 4\ndata: a\n\nid: 5\ndata: b\n\nid: 6\ndata: c\n\n")
    });
    let answer = read_feed(gateway, TIME_LIMIT, Some(4), 2 * TIME_LIMIT);
    assert!(!answer.is_complete);
    assert!(!answer.beginning.contains("data: "), "{}", answer.beginning);
    assert!(answer.beginning.starts_with("HTTP/1.1 200"), "{}", answer.beginning);
    let answer = read_feed(gateway, TIME_LIMIT, Some(3), 2 * TIME_LIMIT);
    assert!(answer.is_complete && answer.beginning.contains("id: 6\n"), "{}", answer.beginning);
}

/// The filler is sent more often than the longest silence that a gateway accepts.
#[test]
fn a_stream_waits_for_a_runner_that_sends_anything_but_events() {
    for filler in ["\n", ": wait\n\n", "data: x\n", "x"] {
        let mut deployment = Deployment::start();
        let gateway = deployment.add_gateway();
        deployment.wait_until_ready(gateway);
        add_raw_runners(&deployment, gateway, true, move |stream, last_event| {
            let next_id = last_event.unwrap_or(0) + 1;
            let events: String = (next_id..next_id + 3).map(|it| format!("id: {it}\n\n")).collect();
            stream.write_all(events.as_bytes())?;
            while last_event.is_none() {
                stream.write_all(filler.as_bytes())?;
                std::thread::sleep(Duration::from_millis(50));
            }
            Ok(())
        });
        let answer = read_feed(gateway, TIME_LIMIT, None, 2 * TIME_LIMIT);
        assert!(answer.is_complete, "{filler:?} {}", answer.beginning);
        let ids: Vec<_> = answer.beginning.lines().filter(|it| it.starts_with("id: ")).collect();
        assert_eq!(ids, ["id: 1", "id: 2", "id: 3", "id: 4", "id: 5", "id: 6"], "{filler:?}");
    }
}
