//! The announced versions of a model and their deadlines.

use fleet::{Announcement, Announcements, Millis};

const VERSION_MS: u64 = 8000;

fn name(version: u64, at: u64, known: bool) -> Announcement {
    Announcement { version, at: Millis(at), known, after_ms: None }
}

/// A version of unknown age gets an early deadline and may turn out to be younger. If an older version was
/// removed because of it, the removed version's earlier deadline would be lost.
#[test]
fn version_is_not_removed_because_of_a_newer_one_of_assumed_age() {
    let mut names = Announcements::default();
    names.add(name(2, 1000, true));
    names.add(name(3, 3000, false));
    names.remove_superseded(Millis(7000), VERSION_MS);
    names.add(name(3, 2900, true));
    assert_eq!(names.deadline_of(1, VERSION_MS), Some(Millis(9000)));
}

#[test]
fn version_is_removed_after_the_deadline_of_a_newer_one() {
    let mut names = Announcements::default();
    for (version, at) in [(2, 1000), (3, 2000), (4, 3000)] {
        names.add(name(version, at, true));
    }
    names.remove_superseded(Millis(10_000), VERSION_MS);
    let kept: Vec<u64> = names.all().map(|it| it.version).collect();
    assert_eq!(kept, [3, 4]);
    assert_eq!(names.required(Millis(10_000), VERSION_MS), 3);
}

#[test]
fn earliest_deadline_of_all_newer_versions_applies_in_any_order_of_reports() {
    let mut names = Announcements::default();
    names.add(name(4, 5000, true));
    names.add(name(2, 1000, true));
    names.add(name(3, 3000, true));
    let bounds: Vec<Option<u64>> =
        (0..5).map(|held| names.deadline_of(held, VERSION_MS).map(|it| it.0)).collect();
    assert_eq!(bounds, [Some(9000), Some(9000), Some(11_000), Some(13_000), None]);
}

/// A delayed report, and a report from a process that started after the announcement, are less accurate than
/// the store's history. Of two times at which the version had not been announced yet, the later one is more
/// accurate.
#[test]
fn latest_time_from_the_store_history_takes_precedence_over_other_reports() {
    let dated = |at, after_ms| Announcement { after_ms: Some(after_ms), ..name(2, at, true) };
    let reports =
        [name(2, 5000, false), name(2, 900, true), dated(2000, 52_000), dated(1500, 51_500)];
    for first in 0..reports.len() {
        let mut names = Announcements::default();
        (0..reports.len()).for_each(|it| names.add(reports[(first + it) % reports.len()]));
        assert_eq!(names.get(2), Some(dated(2000, 52_000)));
    }
}

/// The clock of a process that has received only delayed reports is behind, and so are all dates until a faster one.
#[test]
fn a_version_whose_first_report_was_delayed_does_not_look_newer_after_a_faster_one() {
    let dated = |at| Announcement { after_ms: Some(52_000), ..name(2, at, true) };
    for reports in [[dated(3000), dated(2000)], [dated(2000), dated(3000)]] {
        let mut names = Announcements::default();
        reports.into_iter().for_each(|it| names.add(it));
        assert_eq!(names.get(2), Some(dated(2000)));
    }
}
