use fleet::Millis;
use proptest::prelude::*;

use super::{Backlog, BacklogBounds, ConnectionId, NoMemory};

const SECOND: u64 = 1000;

fn backlog() -> Backlog {
    Backlog::new(BacklogBounds { process: 1000, answer: 400, buffer: 100 })
}

fn ids(dropped: Vec<super::Dropped>) -> Vec<ConnectionId> {
    dropped.into_iter().map(|it| it.id).collect()
}

#[test]
fn bounds_follow_from_the_memory() {
    let (small, large) = (BacklogBounds::of_memory(112), BacklogBounds::of_memory(224));
    assert_eq!(small.process, 28 << 20);
    assert_eq!(large.process, 2 * small.process);
    assert_eq!(large.answer, 2 * small.answer);
}

#[test]
fn those_who_read_least_give_way_first() {
    let mut backlog = backlog();
    let [idle, slow, quick] = [backlog.open(), backlog.open(), backlog.open()];
    for id in [idle, slow, quick] {
        assert!(backlog.keep_answer(Millis(0), id, 300).is_empty());
    }
    backlog.note_read(slow, 2);
    backlog.note_read(quick, 200);
    let new = backlog.open();
    assert!(backlog.keep_answer(Millis(SECOND), new, 300).is_empty());
    assert_eq!(ids(backlog.keep_answer(Millis(SECOND), new, 300)), [idle]);
    backlog.note_read(new, 200);
    assert!(backlog.keep_answer(Millis(SECOND), new, 200).is_empty());
    assert_eq!(ids(backlog.keep_answer(Millis(2 * SECOND), new, 300)), [slow]);
    assert_eq!(backlog.total(), 1000);
}

#[test]
fn a_request_whose_body_finds_no_memory_drops_nobody() {
    let mut backlog = backlog();
    let [first, second] = [backlog.open(), backlog.open()];
    assert_eq!(backlog.keep_body(first, 900), Ok(()));
    assert_eq!(backlog.keep_body(second, 200), Err(NoMemory));
    backlog.release_body(first);
    assert_eq!(backlog.keep_body(second, 200), Ok(()));
    assert_eq!(backlog.total(), 200);
}

#[test]
fn who_has_read_all_is_not_slow_at_the_next_answer() {
    let mut backlog = backlog();
    let [old, other] = [backlog.open(), backlog.open()];
    backlog.keep_answer(Millis(0), old, 500);
    backlog.note_read(old, 600);
    backlog.keep_answer(Millis(9 * SECOND), other, 600);
    let dropped = backlog.keep_answer(Millis(10 * SECOND), old, 500);
    assert_eq!(ids(dropped), [other]);
}

proptest! {
    /// After any sequence of operations, no more than the limit is buffered and the total is the sum over all
    /// connections.
    #[test]
    fn never_keeps_more_than_the_bound(steps in prop::collection::vec((0..5u8, 0..8usize, 1..400usize), 1..200)) {
        let mut backlog = backlog();
        let mut open: Vec<ConnectionId> = (0..8).map(|_| backlog.open()).collect();
        for (at, (step, who, bytes)) in steps.into_iter().enumerate() {
            let now = Millis(at as u64 * 100);
            match step {
                0 => { let _ = backlog.keep_body(open[who], bytes); }
                1 => backlog.release_body(open[who]),
                2 => { backlog.keep_answer(now, open[who], bytes); }
                3 => backlog.note_read(open[who], bytes),
                _ => {
                    backlog.close(open[who]);
                    open[who] = backlog.open();
                }
            }
            prop_assert!(backlog.total() <= backlog.bounds().process);
            prop_assert_eq!(backlog.total(), open.iter().map(|it| backlog.of(*it)).sum::<usize>());
        }
    }
}
