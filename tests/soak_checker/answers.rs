//! Answers with bytes that their runners should not have sent or that belong to nobody.

use super::*;

#[test]
fn a_second_run_of_a_stream_that_may_not_be_resumed_is_reported() {
    let body = complete_body(Kind::OnceStream, "a");
    let stream = request("a", Kind::OnceStream, answer(200, &body));
    let run_at = |millis| Run { service: "assistant".into(), ..run_at("e1", millis) };
    let history = history(stream, vec![run_at(10_010), run_at(10_030)]);
    assert_eq!(violated_guarantee(&history), Some("runs at most once"));
}

/// Returns a stream that was broken off after this text.
fn broken_stream(kind: Kind, body: &str) -> History {
    let outcome = Outcome::Answer { status: 200, whole: false, body: body.into() };
    let runs = vec![Run { service: "assistant".into(), broken_off: true, ..run_at("e1", 10_010) }];
    history(request("a", kind, outcome), runs)
}

/// Returns a complete answer.
fn whole_answer(kind: Kind, body: &str) -> History {
    history(request("a", kind, answer(200, body)), vec![])
}

/// Returns the first events of a stream.
fn events(count: usize) -> String {
    let whole = complete_body(Kind::Stream, "a");
    whole.split_inclusive("\n\n").take(count).collect()
}

const FOREIGN_EVENTS: [&str; 6] = [
    "data: b/1\n\n",
    "id:\ndata: b/1\n\n",
    "id: 1\ndata: b/1\n\n",
    "id: 3\ndata: a/3\n\n",
    "HTTP/1.1 200 OK\r\nrequest-id: b\r\n\r\n",
    "noise\n\n",
];

#[test]
fn an_event_without_an_id_an_empty_one_a_lower_one_a_repeated_one_and_a_second_head_are_reported_in_a_whole_stream(
) {
    for foreign in FOREIGN_EVENTS {
        for body in [
            events(3) + foreign + &events(12)[events(3).len()..],
            events(12) + foreign,
            events(3) + foreign,
        ] {
            let guarantee = violated_guarantee(&whole_answer(Kind::Stream, &body));
            assert_eq!(guarantee, Some("a whole answer is the caller's own"), "{body}");
        }
    }
}

#[test]
fn an_event_that_no_run_sent_is_reported_in_a_stream_that_was_broken_off() {
    for kind in [Kind::Stream, Kind::OnceStream] {
        for foreign in FOREIGN_EVENTS {
            for body in [events(3) + foreign, events(3) + foreign + "id: 4\nda"] {
                let guarantee = violated_guarantee(&broken_stream(kind, &body));
                assert_eq!(guarantee, Some("a broken answer begins as the caller's own"), "{body}");
            }
        }
    }
}

#[test]
fn a_missing_event_is_reported_in_a_stream_that_was_broken_off() {
    let gap = events(3) + &events(6)[events(4).len()..];
    let guarantee = violated_guarantee(&broken_stream(Kind::Stream, &gap));
    assert_eq!(guarantee, Some("a broken answer begins as the caller's own"));
}

#[test]
fn a_stream_that_was_broken_off_between_two_events_or_within_one_violates_nothing() {
    for body in [String::new(), events(3), events(3) + "id: 4\nda", events(3) + "noi", events(12)] {
        assert_eq!(violated_guarantee(&broken_stream(Kind::Stream, &body)), None, "{body}");
    }
}

#[test]
fn bytes_of_another_answer_are_reported_in_a_plain_answer_that_was_broken_off() {
    let runs = vec![Run { broken_off: true, ..run_at("l1", 10_010) }];
    let cut = |body: &str| Outcome::Answer { status: 200, whole: false, body: body.into() };
    let broken = |body| history(request("a", Kind::Safe, cut(body)), runs.clone());
    assert_eq!(violated_guarantee(&broken("led")), None);
    for body in ["ledger b", "ledger aHTTP/1.1 200 OK\r\n"] {
        let guarantee = violated_guarantee(&broken(body));
        assert_eq!(guarantee, Some("a broken answer begins as the caller's own"));
    }
}

#[test]
fn a_second_answer_behind_a_whole_plain_one_is_reported() {
    let body = "ledger aHTTP/1.1 200 OK\r\n\r\n";
    let guarantee = violated_guarantee(&whole_answer(Kind::Safe, body));
    assert_eq!(guarantee, Some("a whole answer is the caller's own"));
}

#[test]
fn an_answer_without_end_is_reported() {
    let endless = History {
        requests: broken_stream(Kind::Stream, &events(3))
            .requests
            .into_iter()
            .map(|it| Request { ending: Ending::TooLong, ..it })
            .collect(),
        ..broken_stream(Kind::Stream, &events(3))
    };
    let guarantee = violated_guarantee(&endless);
    assert_eq!(guarantee, Some("an answer is no longer than its runner's"));
}
