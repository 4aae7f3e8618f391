use fleet::Millis;
use proptest::prelude::*;

use super::{BufferLimits, CallerBuffers, ConnectionId, NoMemory};

const SECOND_MS: u64 = 1000;

fn buffers() -> CallerBuffers {
    CallerBuffers::new(BufferLimits { process: 1000, answer: 400, event: 500, read_ahead: 100 })
}

fn ids_of(slow: Vec<super::SlowConnection>) -> Vec<ConnectionId> {
    slow.into_iter().map(|it| it.id).collect()
}

#[test]
fn limits_are_proportional_to_the_memory() {
    let (small, large) = (BufferLimits::from_memory_mb(112), BufferLimits::from_memory_mb(224));
    assert_eq!(small.process, 28 << 20);
    assert_eq!(large.process, 2 * small.process);
    assert_eq!(large.answer, 2 * small.answer);
}

#[test]
fn the_slowest_reader_is_closed_first() {
    let mut buffers = buffers();
    let [idle, slow, quick] = [buffers.open(), buffers.open(), buffers.open()];
    for id in [idle, slow, quick] {
        assert!(buffers.reserve_answer(Millis(0), id, 300).is_empty());
    }
    buffers.record_read(slow, 2);
    buffers.record_read(quick, 200);
    let new = buffers.open();
    assert!(buffers.reserve_answer(Millis(SECOND_MS), new, 300).is_empty());
    assert_eq!(ids_of(buffers.reserve_answer(Millis(SECOND_MS), new, 300)), [idle]);
    buffers.record_read(new, 200);
    assert!(buffers.reserve_answer(Millis(SECOND_MS), new, 200).is_empty());
    assert_eq!(ids_of(buffers.reserve_answer(Millis(2 * SECOND_MS), new, 300)), [slow]);
    assert_eq!(buffers.total(), 1000);
}

#[test]
fn a_request_body_without_memory_closes_no_connection() {
    let mut buffers = buffers();
    let [first, second] = [buffers.open(), buffers.open()];
    assert_eq!(buffers.reserve_body(first, 900), Ok(()));
    assert_eq!(buffers.reserve_body(second, 200), Err(NoMemory));
    buffers.release_body(first);
    assert_eq!(buffers.reserve_body(second, 200), Ok(()));
    assert_eq!(buffers.total(), 200);
}

#[test]
fn incomplete_events_of_many_streams_fill_the_memory() {
    let mut buffers = buffers();
    let [first, second] = [buffers.open(), buffers.open()];
    for bytes in [100, 500, 300, 600] {
        assert_eq!(buffers.reserve_event(first, bytes), Ok(()));
        assert_eq!(buffers.total(), bytes);
    }
    assert_eq!(buffers.reserve_event(second, 401), Err(NoMemory));
    assert_eq!(buffers.total(), 600);
    assert_eq!(buffers.reserve_event(first, 0), Ok(()));
    assert_eq!(buffers.reserve_event(second, 401), Ok(()));
    buffers.close(second);
    assert_eq!(buffers.total(), 0);
}

#[test]
fn a_caller_that_has_read_everything_is_not_slow_at_the_next_answer() {
    let mut buffers = buffers();
    let [old, other] = [buffers.open(), buffers.open()];
    buffers.reserve_answer(Millis(0), old, 500);
    buffers.record_read(old, 600);
    buffers.reserve_answer(Millis(9 * SECOND_MS), other, 600);
    let slow = buffers.reserve_answer(Millis(10 * SECOND_MS), old, 500);
    assert_eq!(ids_of(slow), [other]);
}

proptest! {
    /// After any sequence of operations, no more than the limit is buffered and the total is the sum over all
    /// connections.
    #[test]
    fn never_buffers_more_than_the_limit(steps in prop::collection::vec((0..5u8, 0..8usize, 1..400usize), 1..200)) {
        let mut buffers = buffers();
        let mut ids: Vec<ConnectionId> = (0..8).map(|_| buffers.open()).collect();
        for (at, (step, index, bytes)) in steps.into_iter().enumerate() {
            let now = Millis(at as u64 * 100);
            match step {
                0 => { let _ = buffers.reserve_body(ids[index], bytes); }
                1 => buffers.release_body(ids[index]),
                2 => { buffers.reserve_answer(now, ids[index], bytes); }
                3 => buffers.record_read(ids[index], bytes),
                _ => {
                    buffers.close(ids[index]);
                    ids[index] = buffers.open();
                }
            }
            prop_assert!(buffers.total() <= buffers.limits().process);
            prop_assert_eq!(buffers.total(), ids.iter().map(|it| buffers.bytes_of(*it)).sum::<usize>());
        }
    }
}
