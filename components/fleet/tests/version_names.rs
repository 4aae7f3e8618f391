//! The versions of a model that were named, and which of them bind.

use fleet::{Millis, VersionName, VersionNames};

const VERSION_MS: u64 = 8000;

fn name(version: u64, at: u64, known: bool) -> VersionName {
    VersionName { version, at: Millis(at), known }
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
