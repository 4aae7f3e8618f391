//! Tests of what passes as an event, and of which fault is found in bytes that do not.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use proptest::collection::vec;
use proptest::prelude::*;

use super::super::event_fault::EventFault;
use super::EventReader;

const MAX_BYTES: usize = 100;

fn reader() -> EventReader {
    EventReader::new(MAX_BYTES, None)
}

/// The events that are read from a whole text, and the fault.
fn read(text: &[u8]) -> (String, Option<EventFault>) {
    let read = reader().push(text);
    (String::from_utf8(read.events.to_vec()).unwrap(), read.fault)
}

#[test]
fn whole_events_are_passed_on_unchanged() {
    let events = "id: 1\ndata: a\n\nweight-versions: 7\nevent:x\nid:3\ndata: \u{e4}: b\n\n\
                  id: 4\r\n: comment\r\ndata:\r\nretry: 10\r\n\r\nid: 18446744073709551615\n\n";
    assert_eq!(read(events.as_bytes()), (events.to_owned(), None));
}

#[test]
fn bytes_that_are_no_event_pass_as_one() {
    let cases: [(&[u8], EventFault); 19] = [
        (b"data: x\n\n", EventFault::NoId),
        (b"retry: 5\n\n", EventFault::NoId),
        (b"Id: 5\ndata: x\n\n", EventFault::NotAField),
        (b"id: 5\nid: 6\n\n", EventFault::SeveralIds),
        (b"id:\ndata: x\n\n", EventFault::InvalidId),
        (b"id: five\n\n", EventFault::InvalidId),
        (b"id: +5\n\n", EventFault::InvalidId),
        (b"id: 5 \n\n", EventFault::InvalidId),
        (b"id: 18446744073709551616\n\n", EventFault::InvalidId),
        (b"id: 2\ndata: x\n\n", EventFault::IdNotRising),
        (b"id: 1\ndata: x\n\n", EventFault::IdNotRising),
        (b"garbage\n", EventFault::NotAField),
        (b"content-length: 5\n", EventFault::NotAField),
        (b"id: 5\ndata: x\r\n", EventFault::MixedLineEnds),
        (b"gar bage: x\n", EventFault::NotAField),
        (b"data: x\rid: 9\r\r\n", EventFault::NotAField),
        (b"id: 5\r\r\n", EventFault::NotAField),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", EventFault::StatusLine),
        (b"data: \xff\n", EventFault::NotText),
    ];
    for (bytes, fault) in cases {
        let mut text = b"id: 2\ndata: a\n\n".to_vec();
        text.extend_from_slice(bytes);
        let name = String::from_utf8_lossy(bytes).into_owned();
        assert_eq!(read(&text), ("id: 2\ndata: a\n\n".to_owned(), Some(fault)), "{name:?}");
    }
}

#[test]
fn empty_lines_and_comments_between_events_reach_the_caller() {
    let text = b"\n: wait\n\n\r\nid: 1\ndata: a\n\n\n:\n\nid: 2\n\n\n";
    assert_eq!(read(text), ("id: 1\ndata: a\n\nid: 2\n\n".to_owned(), None));
}

#[test]
fn an_event_larger_than_the_buffer_passes() {
    let event = |padding: usize| format!("id: 1\ndata: {}\n\n", ".".repeat(padding));
    let fixed = event(0).len();
    assert_eq!(read(event(MAX_BYTES - fixed).as_bytes()).1, None);
    let too_large = (String::new(), Some(EventFault::TooLarge));
    assert_eq!(read(event(MAX_BYTES - fixed + 1).as_bytes()), too_large);
    let mut reader = reader();
    let bytes_read = (0..1000).find(|_| reader.push(b"data: a long line ").fault.is_some());
    assert_eq!(bytes_read, Some(MAX_BYTES / 18));
}

#[test]
fn comments_and_empty_lines_are_read_without_end() {
    for filler in ["\n", "\r\n", ": wait\n\n", ": wait\n", ":"] {
        let mut reader = reader();
        reader.push(b"id: 1\n\n");
        let count = (1..1000).find(|_| reader.push(filler.as_bytes()).fault.is_some());
        assert_eq!(count, Some(MAX_BYTES / filler.len() + 1), "{filler:?}");
    }
}

#[test]
fn an_answer_that_continues_the_stream_repeats_an_event() {
    let mut reader = EventReader::new(MAX_BYTES, Some(4));
    assert_eq!(reader.push(b"id: 4\n\n").fault, Some(EventFault::IdNotRising));
    reader.begin_answer();
    assert_eq!(&reader.push(b"id: 5\n\nid: 6\nda").events[..], b"id: 5\n\n");
    assert!(reader.has_partial());
    reader.begin_answer();
    assert!(!reader.has_partial() && !reader.has_events());
    assert_eq!(reader.last_id(), Some(5));
    assert_eq!(reader.push(b"id: 5\n\n").fault, Some(EventFault::IdNotRising));
    reader.begin_answer();
    assert_eq!(&reader.push(b"id: 6\n\n").events[..], b"id: 6\n\n");
    assert!(reader.has_events());
    assert_eq!(reader.events(), 2);
}

#[test]
fn a_stream_that_ends_inside_an_event_looks_complete() {
    let mut reader = reader();
    assert_eq!(&reader.push(b"id: 1\ndata: a\n\nid: 2\n").events[..], b"id: 1\ndata: a\n\n");
    assert!(reader.has_partial());
    assert_eq!(&reader.push(b"data: b\n\n").events[..], b"id: 2\ndata: b\n\n");
    assert!(!reader.has_partial());
}

#[test]
fn another_answer_that_starts_within_an_event_is_no_part_of_it() {
    let whole = "id: 1\ndata: a\n\n";
    let answers = [
        (
            "HTTP/1.1 200 OK\r\nrequest-id: other\r\ncontent-length: 0\r\n\r\n",
            EventFault::MixedLineEnds,
        ),
        ("HTTP/1.1 200 OK\r\n\r\n", EventFault::MixedLineEnds),
        ("HTTP/1.1 200 OK\nrequest-id: other\n\n", EventFault::NotAField),
    ];
    for (answer, fault) in answers {
        let text = format!("{whole}id: 2\ndata: b{answer}");
        assert_eq!(read(text.as_bytes()), (whole.to_owned(), Some(fault)), "{answer:?}");
    }
    let text = "id: 2\r\ndata: bHTTP/1.1 200 OK\r\nrequest-id: other\r\n\r\n";
    assert_eq!(read(text.as_bytes()), (String::new(), Some(EventFault::NotAField)));
}

/// A search from the beginning for each piece would take minutes.
#[test]
fn a_large_event_in_small_pieces_is_searched_again_for_each() {
    let mut reader = EventReader::new(8 << 20, None);
    reader.push(b"id: 1\ndata: ");
    let begun = Instant::now();
    for _ in 0..1 << 16 {
        assert_eq!(reader.push(&[b'.'; 64]).fault, None);
    }
    assert_eq!(reader.push(b"\n\n").events.len(), (4 << 20) + 14);
    assert!(begun.elapsed() < Duration::from_secs(10), "{:?}", begun.elapsed());
}

/// What a reader without state makes of a whole text: the events, and whether a fault follows.
fn read_naively(text: &[u8], max_bytes: usize) -> (Vec<u8>, bool) {
    let (mut events, mut last_id) = (Vec::new(), None);
    let (mut block, mut block_start, mut after_event) = (Vec::new(), 0, 0);
    let (mut line_ends, mut end) = (BTreeSet::new(), 0);
    for line in text.split_inclusive(|byte| *byte == b'\n') {
        end += line.len();
        if end - after_event > max_bytes {
            return (events, true);
        }
        let Some(line) = line.strip_suffix(b"\n") else {
            return (events, false);
        };
        line_ends.insert(line.ends_with(b"\r"));
        if line_ends.len() > 1 {
            return (events, true);
        }
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if !line.is_empty() {
            block.extend(naive_field(line));
            let ids = block.iter().filter(|(name, _)| name == "id");
            let are_valid = ids.clone().all(|(_, value)| naive_id(value).is_some());
            if naive_field(line).is_none() || ids.count() > 1 || !are_valid {
                return (events, true);
            }
            continue;
        }
        line_ends.clear();
        let fields: Vec<_> = block.drain(..).filter(|(name, _)| !name.is_empty()).collect();
        if !fields.is_empty() {
            let id = fields.iter().find(|(name, _)| name == "id");
            let id = id.and_then(|(_, value)| naive_id(value));
            if id.is_none() || id <= last_id {
                return (events, true);
            }
            events.extend_from_slice(&text[block_start..end]);
            (last_id, after_event) = (id, end);
        }
        block_start = end;
    }
    (events, false)
}

/// The name and value of a field; both are empty for a comment. `None` for any other line.
fn naive_field(line: &[u8]) -> Option<(String, String)> {
    let line = String::from_utf8(line.to_vec()).ok().filter(|it| !it.contains('\r'))?;
    let (name, value) = line.split_once(':')?;
    if name.is_empty() {
        return Some((String::new(), String::new()));
    }
    let is_known = ["id", "data", "event", "retry", "weight-versions"].contains(&name);
    is_known.then(|| (name.to_owned(), value.to_owned()))
}

fn naive_id(value: &str) -> Option<u128> {
    let digits = value.strip_prefix(' ').unwrap_or(value);
    let id = digits.parse().ok().filter(|_| !digits.contains('+'));
    id.filter(|it| *it <= u128::from(u64::MAX))
}

/// Bytes of which most are parts of events.
fn any_text() -> impl Strategy<Value = Vec<u8>> {
    let parts: [&[u8]; 25] = [
        b"id: 1\n",
        b"id: 2\n",
        b"id: 3\r\n",
        b"id:4\n",
        b"id: 5\n",
        b"id: 6\n\n",
        b"id: 7\n\n",
        b"id: 8\n\n",
        b"id: 9\r\n\r\n",
        b"data: x\n",
        b"data: \xc3\xa4\r\n",
        b"weight-versions: 2\n",
        b": note\n",
        b"\n",
        b"\n",
        b"\n\n",
        b"\r\n",
        b"\r",
        b"\xc3",
        b"HTTP/1.1 200 OK\r\n",
        b"id: +1\n",
        b"data: y\rz\n",
        b"a b: c\n",
        b"id: ",
        b"9",
    ];
    let ordinary = 0..17usize;
    let any = 0..parts.len();
    let part = prop_oneof![4 => ordinary, 1 => any].prop_map(move |index| parts[index].to_vec());
    vec(part, 0..14).prop_map(|parts| parts.concat())
}

/// The events of a sound stream, each with its bytes.
fn any_events() -> impl Strategy<Value = Vec<String>> {
    let line_end = || prop_oneof![Just("\n"), Just("\r\n")];
    let others = || vec("(data|event|retry|weight-versions)?: ?[^\r\n]{0,6}", 0..3);
    let event = (1..9u64, others(), others(), line_end());
    vec(event, 1..6).prop_map(|events| {
        let mut id = 0;
        let mut texts = Vec::new();
        for (step, before, after, line_end) in events {
            id += step;
            let lines = before.into_iter().chain([format!("id: {id}")]).chain(after);
            let text: String = lines.map(|it| it + line_end).collect();
            texts.push(text + line_end);
        }
        texts
    })
}

/// Reads pieces of the given lengths, in turn, until a fault.
fn read_in_pieces(
    text: &[u8],
    lengths: &[usize],
    max_bytes: usize,
) -> (Vec<u8>, Option<EventFault>) {
    let mut reader = EventReader::new(max_bytes, None);
    let (mut events, mut rest) = (Vec::new(), text);
    for length in lengths.iter().cycle() {
        let (piece, tail) = rest.split_at(rest.len().min(*length));
        let read = reader.push(piece);
        events.extend_from_slice(&read.events);
        if read.fault.is_some() || tail.is_empty() {
            return (events, read.fault);
        }
        rest = tail;
    }
    unreachable!("there is always another length")
}

/// Lines that are a fault wherever a line begins, in a stream with ids above zero.
const NO_FIELDS: &[&[u8]] = &[
    b"no field\n",
    b"HTTP/1.1 200 OK\r\n",
    b"\xff: x\n",
    b"id: \n",
    b"a\rb: c\n",
    b"\r\r\n",
    b"id: 0\nid: 0\n",
];

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn what_passes_depends_on_how_the_bytes_arrive(
        text in any_text(),
        lengths in vec(1..9usize, 1..20),
        max_bytes in 5..80usize,
    ) {
        let whole = read_in_pieces(&text, &[text.len().max(1)], max_bytes);
        prop_assert_eq!(read_in_pieces(&text, &lengths, max_bytes), whole);
    }

    #[test]
    fn something_passes_that_a_reader_of_the_whole_text_refuses(
        text in any_text(),
        lengths in vec(1..9usize, 1..20),
        max_bytes in 5..80usize,
    ) {
        let (events, fault) = read_in_pieces(&text, &lengths, max_bytes);
        prop_assert_eq!((events, fault.is_some()), read_naively(&text, max_bytes));
    }

    #[test]
    fn a_sound_stream_is_changed_or_refused(
        events in any_events(),
        lengths in vec(1..20usize, 1..20),
    ) {
        let text = events.concat();
        let (passed, fault) = read_in_pieces(text.as_bytes(), &lengths, 1000);
        prop_assert_eq!((String::from_utf8(passed).unwrap(), fault), (text, None));
    }

    #[test]
    fn a_line_that_is_no_field_passes_or_hides_the_events_before_it(
        events in any_events(),
        lengths in vec(1..20usize, 1..20),
        garbage in prop::sample::select(NO_FIELDS),
        place in any::<prop::sample::Index>(),
    ) {
        let text = events.concat();
        let line_starts: Vec<_> =
            [0].into_iter().chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect();
        let place = *place.get(&line_starts);
        let spoilt = [&text.as_bytes()[..place], garbage, &text.as_bytes()[place..]].concat();
        let mut whole = String::new();
        for event in &events {
            if whole.len() + event.len() > place {
                break;
            }
            whole += event;
        }
        let (passed, fault) = read_in_pieces(&spoilt, &lengths, 1000);
        prop_assert_eq!(String::from_utf8(passed).unwrap(), whole);
        prop_assert!(fault.is_some());
    }
}
