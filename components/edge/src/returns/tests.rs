//! Tests of rows that come back with a copy of the store.

use fleet::LifeWord;
use gateway::RunnerState;

use super::*;

fn entry(id: &str) -> Change {
    Change::Runner(RunnerRecord {
        id: id.into(),
        life: LifeWord::default(),
        service: "ledger".into(),
        address: ([127, 0, 0, 1], 1).into(),
        hall: "a".into(),
        slots: 4,
        state: RunnerState::Ready,
        weights: None,
        cold_ms: 0,
    })
}

#[test]
fn an_entry_that_had_gone_is_held_until_it_has_stood_for_a_while() {
    let (mut returns, now) = (Returns::default(), Instant::now());
    returns.note_gone(now, &"r".into());
    assert!(returns.hold(now, &entry("r")));
    assert!(!returns.hold(now, &entry("other")));
    assert_eq!(returns.left(now), Some(HELD));
    assert!(returns.take_due(now + HELD / 2).is_empty());
    assert_eq!(returns.take_due(now + HELD).len(), 1);
    assert_eq!(returns.left(now), None);
}

#[test]
fn one_that_is_written_again_or_goes_again_is_held_no_more() {
    for is_written in [true, false] {
        let (mut returns, now) = (Returns::default(), Instant::now());
        returns.note_gone(now, &"r".into());
        returns.hold(now, &entry("r"));
        match is_written {
            true => returns.note_listed(&"r".into()),
            false => returns.note_gone(now, &"r".into()),
        }
        assert!(returns.take_due(now + HELD).is_empty());
    }
}

#[test]
fn what_went_longer_ago_than_any_copy_is_believed_at_once() {
    let (mut returns, now) = (Returns::default(), Instant::now());
    returns.note_gone(now, &"r".into());
    assert!(!returns.hold(now + OLDEST_COPY * 2, &entry("r")));
}
