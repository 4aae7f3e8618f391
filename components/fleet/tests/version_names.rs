//! The versions of a model that were named, and which of them bind.

use fleet::{Millis, VersionName, VersionNames};

const VERSION_MS: u64 = 8000;

fn name(version: u64, at: u64, known: bool) -> VersionName {
    VersionName { version, at: Millis(at), known, after_ms: None }
}

/// A version of unknown age is taken for old soon, and may turn out to be young: what was forgotten for it would bind
/// first.
#[test]
fn a_version_is_not_forgotten_for_one_whose_age_is_assumed() {
    let mut names = VersionNames::default();
    names.take(name(2, 1000, true));
    names.take(name(3, 3000, false));
    names.forget_before(Millis(7000), VERSION_MS);
    names.take(name(3, 2900, true));
    assert_eq!(names.bound_of(1, VERSION_MS), Some(Millis(9000)));
}

#[test]
fn a_version_is_forgotten_once_a_newer_one_binds() {
    let mut names = VersionNames::default();
    for (version, at) in [(2, 1000), (3, 2000), (4, 3000)] {
        names.take(name(version, at, true));
    }
    names.forget_before(Millis(10_000), VERSION_MS);
    let kept: Vec<u64> = names.all().map(|it| it.version).collect();
    assert_eq!(kept, [3, 4]);
    assert_eq!(names.required(Millis(10_000), VERSION_MS), 3);
}

#[test]
fn the_first_bound_of_all_newer_versions_counts_in_whatever_order_they_are_heard_of() {
    let mut names = VersionNames::default();
    names.take(name(4, 5000, true));
    names.take(name(2, 1000, true));
    names.take(name(3, 3000, true));
    let bounds: Vec<Option<u64>> =
        (0..5).map(|held| names.bound_of(held, VERSION_MS).map(|it| it.0)).collect();
    assert_eq!(bounds, [Some(9000), Some(9000), Some(11_000), Some(13_000), None]);
}

/// A word that was long on its way and one of a process that started amid a version tell less than the store's history;
/// of two moments at which it had not been named the later one tells more.
#[test]
fn the_store_s_history_is_believed_before_other_words_and_the_latest_moment_by_it() {
    let dated = |at, after_ms| VersionName { after_ms: Some(after_ms), ..name(2, at, true) };
    let words =
        [name(2, 5000, false), name(2, 900, true), dated(2000, 52_000), dated(1500, 51_500)];
    for first in 0..words.len() {
        let mut names = VersionNames::default();
        (0..words.len()).for_each(|it| names.take(words[(first + it) % words.len()]));
        assert_eq!(names.get(2), Some(dated(2000, 52_000)));
    }
}
