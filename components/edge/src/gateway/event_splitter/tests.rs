//! Tests of where streams are split, and of whether a stream has ended inside an event.

use super::EventSplitter;

#[test]
fn a_stream_that_ends_inside_an_event_looks_complete() {
    let mut splitter = EventSplitter::new(100);
    assert_eq!(&splitter.push(b"id: 1\ndata: a\n\nid: 2\n")[..], b"id: 1\ndata: a\n\n");
    assert!(splitter.has_partial());
    assert_eq!(&splitter.push(b"data: b\r\n\r\n")[..], b"id: 2\ndata: b\r\n\r\n");
    assert!(!splitter.has_partial());
}

#[test]
fn a_stream_that_ends_inside_an_event_larger_than_the_buffer_looks_complete() {
    let mut splitter = EventSplitter::new(8);
    let mut forwarded = splitter.push(b"data: a long event").to_vec();
    assert!(splitter.has_partial());
    for piece in [&b"\r\n"[..], b"\r", b"\n"] {
        forwarded.extend_from_slice(&splitter.push(piece));
    }
    assert!(!splitter.has_partial());
    assert_eq!(forwarded, b"data: a long event\r\n\r\n");
}
