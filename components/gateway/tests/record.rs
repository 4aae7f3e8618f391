//! The record of when versions were first announced, with different faults of the store.

use fleet::{AnnouncedVersion, Millis, ModelName};
use gateway::{FirstSeenVersion, OlderVersion, RecordAnswer, RecordCall, RecordRow, VersionRecord};

const VERSION_MS: u64 = 10_000;
/// Longer than the random delay between writes of gateways that receive an announcement together,
/// in milliseconds.
const LATER_MS: u64 = 500;

fn model() -> ModelName {
    ModelName("m".into())
}

fn first_seen_version(version: u64, not_before_ms: u64) -> FirstSeenVersion {
    FirstSeenVersion { model: model(), version, not_before_ms, older: Vec::new() }
}

/// The same with an earlier version whose version deadline still applies.
fn first_seen_with_older(version: u64, not_before_ms: u64, older: (u64, u64)) -> FirstSeenVersion {
    let (older, before) = older;
    let older = vec![OlderVersion { version: older, not_before_ms: before }];
    FirstSeenVersion { older, ..first_seen_version(version, not_before_ms) }
}

fn row(version: u64, not_before_ms: u64, revision: u64) -> RecordRow {
    RecordRow { first_seen: Some(first_seen_version(version, not_before_ms)), revision }
}

/// A gateway that received the announcement of version 2, when the store's clock showed 5000.
fn record_of_announcement() -> VersionRecord {
    let mut record = VersionRecord::new(VERSION_MS);
    record.record_version(Millis(0), 7, model(), 2, Some(5000));
    record
}

/// A gateway that found version 2 in the store.
fn record_of_found_version() -> VersionRecord {
    let mut record = VersionRecord::new(VERSION_MS);
    record.record_version(Millis(0), 7, model(), 2, None);
    record
}

fn answer(record: &mut VersionRecord, now: u64, answer: RecordAnswer) -> Vec<AnnouncedVersion> {
    let call = record.due(Millis(now)).expect("a call is due");
    record.apply_answer(Millis(now), 7, &call, answer)
}

fn ages(reported: &[AnnouncedVersion]) -> Vec<Option<u64>> {
    reported.iter().map(|it| it.age_ms).collect()
}

#[test]
fn no_call_is_made_without_an_announced_version() {
    let mut record = VersionRecord::new(VERSION_MS);
    assert_eq!((record.due(Millis(LATER_MS)), record.next_at()), (None, None));
}

#[test]
fn a_version_is_written_once_within_half_a_second_of_its_announcement() {
    let mut record = record_of_announcement();
    let due = record.due(Millis(LATER_MS));
    assert_eq!(due, Some(RecordCall::Write(first_seen_version(2, 5000), 0)));
    answer(&mut record, LATER_MS, RecordAnswer::Written(9));
    record.record_version(Millis(600), 7, model(), 2, Some(5600));
    assert_eq!(record.next_at(), None);
}

#[test]
fn the_next_version_replaces_the_last_seen_row() {
    let mut record = record_of_announcement();
    answer(&mut record, LATER_MS, RecordAnswer::Written(9));
    record.record_version(Millis(2000), 7, model(), 3, Some(7000));
    let due = record.due(Millis(2000 + LATER_MS));
    assert_eq!(due, Some(RecordCall::Write(first_seen_with_older(3, 7000, (2, 5000)), 9)));
}

#[test]
fn the_row_of_another_gateway_for_the_same_version_is_kept() {
    let mut record = record_of_announcement();
    let reported = answer(&mut record, LATER_MS, RecordAnswer::Differs(Some(row(2, 4900, 9))));
    assert!(reported.is_empty(), "it received the announcement itself");
    assert_eq!(record.next_at(), None);
}

#[test]
fn a_row_of_an_older_version_is_replaced_at_once() {
    let mut record = record_of_announcement();
    answer(&mut record, LATER_MS, RecordAnswer::Differs(Some(row(1, 100, 4))));
    let due = record.due(Millis(LATER_MS));
    assert_eq!(due, Some(RecordCall::Write(first_seen_with_older(2, 5000, (1, 100)), 4)));
}

#[test]
fn an_unreadable_row_is_replaced() {
    let mut record = record_of_announcement();
    let garbled = RecordRow { first_seen: None, revision: 4 };
    answer(&mut record, LATER_MS, RecordAnswer::Differs(Some(garbled)));
    let due = record.due(Millis(LATER_MS));
    assert_eq!(due, Some(RecordCall::Write(first_seen_version(2, 5000), 4)));
}

#[test]
fn a_removed_row_is_written_again() {
    let mut record = record_of_announcement();
    answer(&mut record, LATER_MS, RecordAnswer::Written(9));
    record.record_version(Millis(2000), 7, model(), 3, Some(7000));
    answer(&mut record, 2000 + LATER_MS, RecordAnswer::Differs(None));
    let due = record.due(Millis(2000 + LATER_MS));
    assert_eq!(due, Some(RecordCall::Write(first_seen_with_older(3, 7000, (2, 5000)), 0)));
}

#[test]
fn a_store_that_refuses_a_write_with_a_matching_revision_is_not_called_forever() {
    let mut record = record_of_announcement();
    answer(&mut record, LATER_MS, RecordAnswer::Differs(None));
    assert_eq!(record.next_at(), None);
}

#[test]
fn a_write_whose_answer_was_lost_is_found_in_the_row() {
    let mut record = record_of_announcement();
    answer(&mut record, LATER_MS, RecordAnswer::Failed);
    let again = record.next_at().expect("it is repeated").0;
    assert!(again > LATER_MS && again <= LATER_MS + 500, "after a delay: {again}");
    let due = record.due(Millis(again));
    assert_eq!(
        due,
        Some(RecordCall::Write(first_seen_version(2, 5000), 0)),
        "under the same condition"
    );
    answer(&mut record, again, RecordAnswer::Differs(Some(row(2, 5000, 9))));
    assert_eq!(record.next_at(), None);
}

#[test]
fn a_store_that_is_down_is_called_less_often_and_not_beyond_the_version_bound() {
    let mut record = record_of_announcement();
    let mut calls = 0;
    while let Some(at) = record.next_at() {
        if record.due(at).is_none() {
            break;
        }
        calls += 1;
        answer(&mut record, at.0, RecordAnswer::Failed);
    }
    // The shortest delays are 0.13, 0.26, 0.5 and then 1.0 s.
    assert!((3..=13).contains(&calls), "{calls} calls in {VERSION_MS} ms");
    assert_eq!(record.next_at(), None);
}

#[test]
fn a_newer_version_replaces_an_unwritten_one() {
    let mut record = record_of_announcement();
    answer(&mut record, LATER_MS, RecordAnswer::Failed);
    record.record_version(Millis(2000), 7, model(), 3, Some(7000));
    let due = record.due(Millis(2000 + LATER_MS));
    assert_eq!(due, Some(RecordCall::Write(first_seen_with_older(3, 7000, (2, 5000)), 0)));
}

#[test]
fn a_starting_process_learns_the_age_from_the_clock_of_the_store() {
    let mut record = record_of_found_version();
    assert_eq!(record.due(Millis(0)), Some(RecordCall::Read));
    let reported = answer(&mut record, 0, RecordAnswer::Rows(vec![row(2, 5000, 9)], 9500));
    assert_eq!(ages(&reported), [Some(4500)]);
    assert_eq!(record.next_at(), None);
}

#[test]
fn a_failed_read_is_repeated_until_it_is_answered() {
    let mut record = record_of_found_version();
    answer(&mut record, 0, RecordAnswer::Failed);
    let again = record.next_at().expect("it is repeated").0;
    let reported = answer(&mut record, again, RecordAnswer::Rows(vec![row(2, 5000, 9)], 9500));
    assert_eq!(ages(&reported), [Some(4500)]);
}

#[test]
fn the_record_is_not_read_if_other_processes_reported_the_age() {
    let mut record = record_of_found_version();
    record.note_known(&[AnnouncedVersion {
        model: model(),
        version: 2,
        age_ms: Some(900),
        after_ms: None,
    }]);
    assert_eq!(record.due(Millis(0)), None);
}

#[test]
fn the_row_of_another_version_gives_no_age() {
    let mut record = record_of_found_version();
    let reported = answer(&mut record, 0, RecordAnswer::Rows(vec![row(1, 5000, 9)], 9500));
    assert!(reported.is_empty());
    assert_eq!(record.next_at(), None, "no row was written, and the record is not read again");
}

#[test]
fn a_store_clock_that_went_back_gives_no_age() {
    let mut record = record_of_found_version();
    let reported = answer(&mut record, 0, RecordAnswer::Rows(vec![row(2, 5000, 9)], 4000));
    assert!(reported.is_empty());
}

#[test]
fn an_old_row_does_not_shorten_the_time_of_a_starting_process() {
    let mut record = record_of_found_version();
    let reported = answer(&mut record, 0, RecordAnswer::Rows(vec![row(2, 5000, 9)], 5000 + 7500));
    assert!(reported.is_empty());
}

#[test]
fn the_duration_of_a_read_is_added_to_the_age() {
    let mut record = record_of_found_version();
    let call = record.due(Millis(0)).expect("a read is due");
    let rows = RecordAnswer::Rows(vec![row(2, 5000, 9)], 9500);
    let reported = record.apply_answer(Millis(900), 7, &call, rows);
    assert_eq!(ages(&reported), [Some(5400)], "the store's clock may have been read at once");
}

#[test]
fn an_unanswered_read_ends_with_the_version_bound() {
    let mut record = record_of_found_version();
    let mut calls = 0;
    while let Some(at) = record.next_at() {
        if record.due(at).is_none() {
            break;
        }
        calls += 1;
        assert!(calls <= 13, "still called at {} ms", at.0);
        answer(&mut record, at.0, RecordAnswer::Failed);
    }
    assert_eq!(record.next_at(), None);
}

#[test]
fn writes_of_a_row_that_changes_with_each_answer_are_delayed() {
    let mut record = record_of_announcement();
    answer(&mut record, LATER_MS, RecordAnswer::Differs(Some(row(1, 100, 4))));
    answer(&mut record, LATER_MS, RecordAnswer::Differs(Some(row(1, 100, 5))));
    let again = record.next_at().expect("it is tried again");
    assert!(again.0 > LATER_MS, "after a delay");
    assert_eq!(
        record.due(again),
        Some(RecordCall::Write(first_seen_with_older(2, 5000, (1, 100)), 5))
    );
}

#[test]
fn a_possibly_lost_row_is_written_again_with_the_current_revision() {
    let mut record = record_of_announcement();
    answer(&mut record, LATER_MS, RecordAnswer::Written(9));
    record.record_store_restore(Millis(LATER_MS + 1000), 0, |_| true);
    let at = record.next_at().expect("it is written again").0;
    // The revision that it had may have been assigned to something else.
    assert_eq!(record.due(Millis(at)), Some(RecordCall::Write(first_seen_version(2, 5000), 0)));
    answer(&mut record, at, RecordAnswer::Differs(Some(row(1, 100, 4))));
    assert_eq!(
        record.due(Millis(at)),
        Some(RecordCall::Write(first_seen_with_older(2, 5000, (1, 100)), 4))
    );
}

#[test]
fn a_possibly_lost_row_is_not_written_if_it_is_useless_or_assigned_to_another_gateway() {
    let mut record = record_of_announcement();
    answer(&mut record, LATER_MS, RecordAnswer::Written(9));
    record.record_store_restore(Millis(LATER_MS + 1000), 0, |_| false);
    assert_eq!(record.next_at(), None);
    let mut record = record_of_announcement();
    answer(&mut record, LATER_MS, RecordAnswer::Written(9));
    record.record_store_restore(Millis(VERSION_MS + 1000), 0, |_| true);
    assert_eq!(record.next_at(), None);
}

#[test]
fn a_row_contains_earlier_versions_while_their_bounds_apply() {
    let mut record = record_of_announcement();
    answer(&mut record, LATER_MS, RecordAnswer::Written(9));
    // Received within the time span, but announced too long before by the store's clock.
    record.record_version(Millis(2000), 7, model(), 3, Some(5000 + VERSION_MS));
    let due = record.due(Millis(2000 + LATER_MS));
    assert_eq!(due, Some(RecordCall::Write(first_seen_version(3, 5000 + VERSION_MS), 9)));
    let mut record = record_of_announcement();
    answer(&mut record, LATER_MS, RecordAnswer::Written(9));
    record.record_version(Millis(VERSION_MS + 1), 7, model(), 3, Some(5000 + VERSION_MS - 1));
    let due = record.due(Millis(VERSION_MS + 1 + LATER_MS));
    assert_eq!(due, Some(RecordCall::Write(first_seen_version(3, 5000 + VERSION_MS - 1), 9)));
}

#[test]
fn a_process_that_reads_a_row_learns_the_earlier_versions_too() {
    let mut record = VersionRecord::new(VERSION_MS);
    record.record_version(Millis(0), 7, model(), 3, None);
    let found =
        RecordRow { first_seen: Some(first_seen_with_older(3, 7000, (2, 5000))), revision: 9 };
    let reported = answer(&mut record, 0, RecordAnswer::Rows(vec![found.clone()], 8000));
    let reported: Vec<(u64, Option<u64>)> =
        reported.iter().map(|it| (it.version, it.age_ms)).collect();
    assert_eq!(reported, [(2, Some(3000)), (3, Some(1000))]);
    // The first version deadline has nearly passed: a process that has just started may use older
    // versions as long as with an unknown age.
    let mut record = VersionRecord::new(VERSION_MS);
    record.record_version(Millis(0), 7, model(), 3, None);
    let reported = answer(&mut record, 0, RecordAnswer::Rows(vec![found], 14_000));
    let reported: Vec<(u64, Option<u64>)> =
        reported.iter().map(|it| (it.version, it.age_ms)).collect();
    assert_eq!(reported, [(2, None)], "the age of the newest version is not useful");
}
