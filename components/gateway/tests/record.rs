//! The record of when versions were first heard of, and what the store may do to it.

use fleet::{Millis, ModelName, NamedVersion};
use gateway::{FirstHeard, OlderName, RecordAnswer, RecordCall, RecordRow, VersionRecord};

const VERSION_MS: u64 = 10_000;
/// Longer than gateways that hear together write apart.
const LATER: u64 = 500;

fn model() -> ModelName {
    ModelName("m".into())
}

fn first_heard(version: u64, not_before_ms: u64) -> FirstHeard {
    FirstHeard { model: model(), version, not_before_ms, older: Vec::new() }
}

/// The same behind a version that still binds.
fn behind(version: u64, not_before_ms: u64, older: (u64, u64)) -> FirstHeard {
    let (older, before) = older;
    let older = vec![OlderName { version: older, not_before_ms: before }];
    FirstHeard { older, ..first_heard(version, not_before_ms) }
}

fn row(version: u64, not_before_ms: u64, revision: u64) -> RecordRow {
    RecordRow { heard: Some(first_heard(version, not_before_ms)), revision }
}

/// A gateway that heard of version 2 as it was named, when the store's clock showed 5000.
fn witness() -> VersionRecord {
    let mut record = VersionRecord::new(VERSION_MS);
    record.hear(Millis(0), 7, model(), 2, Some(5000));
    record
}

/// A gateway that found version 2 in the store.
fn newcomer() -> VersionRecord {
    let mut record = VersionRecord::new(VERSION_MS);
    record.hear(Millis(0), 7, model(), 2, None);
    record
}

fn answer(record: &mut VersionRecord, now: u64, answer: RecordAnswer) -> Vec<NamedVersion> {
    let call = record.due(Millis(now)).expect("a call is due");
    record.take(Millis(now), 7, &call, answer)
}

fn ages(told: &[NamedVersion]) -> Vec<Option<u64>> {
    told.iter().map(|it| it.age_ms).collect()
}

#[test]
fn nothing_is_called_where_nothing_was_named() {
    let mut record = VersionRecord::new(VERSION_MS);
    assert_eq!((record.due(Millis(LATER)), record.next_at()), (None, None));
}

#[test]
fn who_hears_of_a_version_writes_it_once_within_half_a_second() {
    let mut record = witness();
    let due = record.due(Millis(LATER));
    assert_eq!(due, Some(RecordCall::Write(first_heard(2, 5000), 0)));
    answer(&mut record, LATER, RecordAnswer::Written(9));
    record.hear(Millis(600), 7, model(), 2, Some(5600));
    assert_eq!(record.next_at(), None);
}

#[test]
fn the_next_version_is_written_over_the_row_that_was_seen() {
    let mut record = witness();
    answer(&mut record, LATER, RecordAnswer::Written(9));
    record.hear(Millis(2000), 7, model(), 3, Some(7000));
    let due = record.due(Millis(2000 + LATER));
    assert_eq!(due, Some(RecordCall::Write(behind(3, 7000, (2, 5000)), 9)));
}

#[test]
fn another_gateways_row_for_the_same_version_is_left_alone() {
    let mut record = witness();
    let told = answer(&mut record, LATER, RecordAnswer::Differs(Some(row(2, 4900, 9))));
    assert!(told.is_empty(), "it heard of the version itself");
    assert_eq!(record.next_at(), None);
}

#[test]
fn a_row_of_an_older_version_is_replaced_at_once() {
    let mut record = witness();
    answer(&mut record, LATER, RecordAnswer::Differs(Some(row(1, 100, 4))));
    let due = record.due(Millis(LATER));
    assert_eq!(due, Some(RecordCall::Write(behind(2, 5000, (1, 100)), 4)));
}

#[test]
fn a_row_that_cannot_be_read_is_replaced() {
    let mut record = witness();
    let garbled = RecordRow { heard: None, revision: 4 };
    answer(&mut record, LATER, RecordAnswer::Differs(Some(garbled)));
    let due = record.due(Millis(LATER));
    assert_eq!(due, Some(RecordCall::Write(first_heard(2, 5000), 4)));
}

#[test]
fn a_row_that_somebody_removed_is_written_anew() {
    let mut record = witness();
    answer(&mut record, LATER, RecordAnswer::Written(9));
    record.hear(Millis(2000), 7, model(), 3, Some(7000));
    answer(&mut record, 2000 + LATER, RecordAnswer::Differs(None));
    let due = record.due(Millis(2000 + LATER));
    assert_eq!(due, Some(RecordCall::Write(behind(3, 7000, (2, 5000)), 0)));
}

#[test]
fn a_store_that_refuses_a_row_as_it_is_expected_is_not_asked_for_ever() {
    let mut record = witness();
    answer(&mut record, LATER, RecordAnswer::Differs(None));
    assert_eq!(record.next_at(), None);
}

#[test]
fn a_write_whose_answer_was_lost_is_found_done() {
    let mut record = witness();
    answer(&mut record, LATER, RecordAnswer::Failed);
    let again = record.next_at().expect("it is repeated").0;
    assert!(again > LATER && again <= LATER + 500, "after a pause: {again}");
    let due = record.due(Millis(again));
    assert_eq!(due, Some(RecordCall::Write(first_heard(2, 5000), 0)), "under the same condition");
    answer(&mut record, again, RecordAnswer::Differs(Some(row(2, 5000, 9))));
    assert_eq!(record.next_at(), None);
}

#[test]
fn a_store_that_is_down_is_asked_ever_less_and_not_beyond_the_versions_bound() {
    let mut record = witness();
    let mut calls = 0;
    while let Some(at) = record.next_at() {
        if record.due(at).is_none() {
            break;
        }
        calls += 1;
        answer(&mut record, at.0, RecordAnswer::Failed);
    }
    // The shortest pauses: 0.13, 0.26, 0.5 and then 1.0 s.
    assert!((3..=13).contains(&calls), "{calls} calls in {VERSION_MS} ms");
    assert_eq!(record.next_at(), None);
}

#[test]
fn a_newer_version_takes_the_place_of_one_that_was_not_written() {
    let mut record = witness();
    answer(&mut record, LATER, RecordAnswer::Failed);
    record.hear(Millis(2000), 7, model(), 3, Some(7000));
    let due = record.due(Millis(2000 + LATER));
    assert_eq!(due, Some(RecordCall::Write(behind(3, 7000, (2, 5000)), 0)));
}

#[test]
fn a_process_that_starts_learns_the_age_by_the_stores_clock() {
    let mut record = newcomer();
    assert_eq!(record.due(Millis(0)), Some(RecordCall::Read));
    let told = answer(&mut record, 0, RecordAnswer::Rows(vec![row(2, 5000, 9)], 9500));
    assert_eq!(ages(&told), [Some(4500)]);
    assert_eq!(record.next_at(), None);
}

#[test]
fn a_read_that_fails_is_repeated_until_it_is_answered() {
    let mut record = newcomer();
    answer(&mut record, 0, RecordAnswer::Failed);
    let again = record.next_at().expect("it is repeated").0;
    let told = answer(&mut record, again, RecordAnswer::Rows(vec![row(2, 5000, 9)], 9500));
    assert_eq!(ages(&told), [Some(4500)]);
}

#[test]
fn nothing_is_read_where_others_have_told_the_age() {
    let mut record = newcomer();
    record.note_known(&[NamedVersion {
        model: model(),
        version: 2,
        age_ms: Some(900),
        after_ms: None,
    }]);
    assert_eq!(record.due(Millis(0)), None);
}

#[test]
fn the_row_of_another_version_tells_nothing() {
    let mut record = newcomer();
    let told = answer(&mut record, 0, RecordAnswer::Rows(vec![row(1, 5000, 9)], 9500));
    assert!(told.is_empty());
    assert_eq!(record.next_at(), None, "nobody wrote one; it is not asked again");
}

#[test]
fn a_clock_of_the_store_that_went_back_tells_nothing() {
    let mut record = newcomer();
    let told = answer(&mut record, 0, RecordAnswer::Rows(vec![row(2, 5000, 9)], 4000));
    assert!(told.is_empty());
}

#[test]
fn an_old_version_leaves_a_process_that_starts_the_time_that_it_has_without_a_row() {
    let mut record = newcomer();
    let told = answer(&mut record, 0, RecordAnswer::Rows(vec![row(2, 5000, 9)], 5000 + 7500));
    assert!(told.is_empty());
}

#[test]
fn the_time_of_a_read_counts_as_age() {
    let mut record = newcomer();
    let call = record.due(Millis(0)).expect("a read is due");
    let rows = RecordAnswer::Rows(vec![row(2, 5000, 9)], 9500);
    let told = record.take(Millis(900), 7, &call, rows);
    assert_eq!(ages(&told), [Some(5400)], "the store's clock may have been read at once");
}

#[test]
fn a_read_that_is_never_answered_ends_with_the_versions_bound() {
    let mut record = newcomer();
    let mut calls = 0;
    while let Some(at) = record.next_at() {
        if record.due(at).is_none() {
            break;
        }
        calls += 1;
        assert!(calls <= 13, "still asked at {} ms", at.0);
        answer(&mut record, at.0, RecordAnswer::Failed);
    }
    assert_eq!(record.next_at(), None);
}

#[test]
fn a_row_that_changes_with_each_answer_is_not_written_without_a_pause() {
    let mut record = witness();
    answer(&mut record, LATER, RecordAnswer::Differs(Some(row(1, 100, 4))));
    answer(&mut record, LATER, RecordAnswer::Differs(Some(row(1, 100, 5))));
    let again = record.next_at().expect("it is tried again");
    assert!(again.0 > LATER, "after a pause");
    assert_eq!(record.due(again), Some(RecordCall::Write(behind(2, 5000, (1, 100)), 5)));
}

#[test]
fn a_row_that_the_store_may_have_lost_is_written_again_under_the_condition_that_holds_then() {
    let mut record = witness();
    answer(&mut record, LATER, RecordAnswer::Written(9));
    record.note_went_back(Millis(LATER + 1000), 0, |_| true);
    let at = record.next_at().expect("it is written again").0;
    // The revision that it had may have been given out for something else.
    assert_eq!(record.due(Millis(at)), Some(RecordCall::Write(first_heard(2, 5000), 0)));
    answer(&mut record, at, RecordAnswer::Differs(Some(row(1, 100, 4))));
    assert_eq!(record.due(Millis(at)), Some(RecordCall::Write(behind(2, 5000, (1, 100)), 4)));
}

#[test]
fn a_row_that_is_of_no_more_use_or_falls_to_another_gateway_is_not_written_again() {
    let mut record = witness();
    answer(&mut record, LATER, RecordAnswer::Written(9));
    record.note_went_back(Millis(LATER + 1000), 0, |_| false);
    assert_eq!(record.next_at(), None);
    let mut record = witness();
    answer(&mut record, LATER, RecordAnswer::Written(9));
    record.note_went_back(Millis(VERSION_MS + 1000), 0, |_| true);
    assert_eq!(record.next_at(), None);
}

#[test]
fn a_row_names_the_versions_before_it_for_as_long_as_they_bind() {
    let mut record = witness();
    answer(&mut record, LATER, RecordAnswer::Written(9));
    // Heard of within the span, but named too long before by the store's clock.
    record.hear(Millis(2000), 7, model(), 3, Some(5000 + VERSION_MS));
    let due = record.due(Millis(2000 + LATER));
    assert_eq!(due, Some(RecordCall::Write(first_heard(3, 5000 + VERSION_MS), 9)));
    let mut record = witness();
    answer(&mut record, LATER, RecordAnswer::Written(9));
    record.hear(Millis(VERSION_MS + 1), 7, model(), 3, Some(5000 + VERSION_MS - 1));
    let due = record.due(Millis(VERSION_MS + 1 + LATER));
    assert_eq!(due, Some(RecordCall::Write(first_heard(3, 5000 + VERSION_MS - 1), 9)));
}

#[test]
fn who_finds_a_row_knows_the_versions_before_it_too() {
    let mut record = VersionRecord::new(VERSION_MS);
    record.hear(Millis(0), 7, model(), 3, None);
    let found = RecordRow { heard: Some(behind(3, 7000, (2, 5000))), revision: 9 };
    let told = answer(&mut record, 0, RecordAnswer::Rows(vec![found.clone()], 8000));
    let told: Vec<(u64, Option<u64>)> = told.iter().map(|it| (it.version, it.age_ms)).collect();
    assert_eq!(told, [(2, Some(3000)), (3, Some(1000))]);
    // The first bound has nearly passed: a process that has just started may take as long as for an unknown age.
    let mut record = VersionRecord::new(VERSION_MS);
    record.hear(Millis(0), 7, model(), 3, None);
    let told = answer(&mut record, 0, RecordAnswer::Rows(vec![found], 14_000));
    let told: Vec<(u64, Option<u64>)> = told.iter().map(|it| (it.version, it.age_ms)).collect();
    assert_eq!(told, [(2, None)], "and the newest one's age is of no use");
}
