//! Lists of evacuations from a store that is restored from older copies.

use fleet::{
    Ablation, Evacuation, EvacuationChange, EvacuationList, Evacuations, Hall, Millis,
    StorePosition,
};

const NOW: Millis = Millis(1_000_000);
const GRACE_MS: u64 = Evacuations::LOST_ROW_GRACE_MS;

fn list(era: Option<u64>, revision: u64, halls: &[&str]) -> EvacuationList {
    let evacuated =
        halls.iter().map(|hall| Evacuation { hall: (*hall).into(), age_ms: None }).collect();
    EvacuationList { place: StorePosition { era, revision }, evacuated }
}

fn now_plus(span: u64) -> Millis {
    NOW.plus(span)
}

/// The state after one list.
fn evacuations_after(era: Option<u64>, revision: u64, halls: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::new(Some(5000), &Ablation::default());
    evacuations.take(NOW, &list(era, revision, halls));
    evacuations
}

fn halls(evacuations: &Evacuations) -> Vec<String> {
    evacuations.list(NOW).evacuated.into_iter().map(|it| it.hall.0).collect()
}

#[test]
fn position_of_a_later_era_is_later_regardless_of_its_revision() {
    let place = |era, revision| StorePosition { era, revision };
    assert!(place(Some(2), 5) > place(Some(1), 900));
    assert!(place(Some(1), 5) > place(None, 900));
    assert!(place(None, 6) > place(None, 5));
}

#[test]
fn list_of_a_later_era_applies_despite_a_lower_revision() {
    let mut evacuations = evacuations_after(Some(1), 900, &[]);
    evacuations.take(now_plus(10), &list(Some(2), 30, &["a"]));
    assert!(!evacuations.admit(now_plus(10), &Hall("a".into())));
}

#[test]
fn list_of_an_earlier_era_is_ignored() {
    let mut evacuations = evacuations_after(Some(2), 30, &["a"]);
    assert!(evacuations.take(now_plus(10), &list(Some(1), 900, &[])).is_empty());
    assert_eq!(halls(&evacuations), ["a"]);
}

#[test]
fn evacuation_missing_after_a_restore_ends_after_the_grace_time_unless_written_again() {
    let mut evacuations = evacuations_after(Some(1), 900, &["a", "b"]);
    assert!(evacuations.take(now_plus(10), &list(Some(2), 30, &[])).is_empty());
    evacuations.take(now_plus(500), &list(Some(2), 31, &["a"]));
    assert!(evacuations.expire_unconfirmed(now_plus(GRACE_MS)).is_empty());
    let changes = evacuations.expire_unconfirmed(now_plus(GRACE_MS + 10));
    let is_end =
        |it: &EvacuationChange| matches!(it, EvacuationChange::Ended { hall, .. } if hall.0 == "b");
    assert!(changes.len() == 1 && changes.iter().all(is_end), "{changes:?}");
    assert_eq!(halls(&evacuations), ["a"]);
    evacuations.take(now_plus(GRACE_MS + 20), &list(Some(2), 40, &[]));
    assert!(evacuations.is_empty(), "an evacuation that was written again has no grace time left");
}

#[test]
fn evacuation_missing_in_a_list_of_the_same_era_ends_at_once() {
    let mut evacuations = evacuations_after(Some(1), 900, &["a"]);
    evacuations.take(now_plus(10), &list(Some(1), 901, &[]));
    assert!(evacuations.is_empty());
}

#[test]
fn second_restore_extends_the_grace_time_of_a_missing_evacuation() {
    let mut evacuations = evacuations_after(Some(1), 900, &["a"]);
    evacuations.take(now_plus(10), &list(Some(2), 30, &[]));
    evacuations.take(now_plus(2000), &list(Some(3), 20, &[]));
    assert!(evacuations.expire_unconfirmed(now_plus(GRACE_MS + 100)).is_empty());
    assert!(!evacuations.expire_unconfirmed(now_plus(2000 + GRACE_MS)).is_empty());
}

#[test]
fn list_without_an_era_applies_only_after_the_era_timeout() {
    let mut evacuations = evacuations_after(Some(2), 30, &["a"]);
    assert!(evacuations.take(now_plus(9000), &list(None, 900, &[])).is_empty());
    evacuations.take(now_plus(9500), &list(Some(2), 30, &["a"]));
    assert!(evacuations.take(now_plus(19_000), &list(None, 901, &[])).is_empty());
    assert!(!evacuations.take(now_plus(19_600), &list(None, 902, &[])).is_empty());
    assert!(evacuations.is_empty());
}

#[test]
fn lists_without_eras_are_ordered_by_revision() {
    let mut evacuations = evacuations_after(None, 30, &["a"]);
    assert!(evacuations.take(now_plus(10), &list(None, 29, &[])).is_empty());
    assert!(!evacuations.take(now_plus(10), &list(None, 31, &[])).is_empty());
}
