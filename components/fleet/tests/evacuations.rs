//! Lists of evacuations of a store that comes back from older copies.

use fleet::{
    Ablation, Evacuation, EvacuationChange, EvacuationList, Evacuations, Hall, Millis, StorePlace,
};

const NOW: Millis = Millis(1_000_000);
const GRACE: u64 = Evacuations::LOST_ROW_GRACE;

fn list(era: Option<u64>, revision: u64, halls: &[&str]) -> EvacuationList {
    let evacuated =
        halls.iter().map(|hall| Evacuation { hall: (*hall).into(), age_ms: None }).collect();
    EvacuationList { place: StorePlace { era, revision }, evacuated }
}

fn after(span: u64) -> Millis {
    NOW.plus(span)
}

/// What is known after a list of an era.
fn known(era: Option<u64>, revision: u64, halls: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::new(Some(5000), &Ablation::default());
    evacuations.take(NOW, &list(era, revision, halls));
    evacuations
}

fn halls(evacuations: &Evacuations) -> Vec<String> {
    evacuations.list(NOW).evacuated.into_iter().map(|it| it.hall.0).collect()
}

#[test]
fn a_place_of_a_later_era_is_later_whatever_its_revision() {
    let place = |era, revision| StorePlace { era, revision };
    assert!(place(Some(2), 5) > place(Some(1), 900));
    assert!(place(Some(1), 5) > place(None, 900));
    assert!(place(None, 6) > place(None, 5));
}

#[test]
fn a_list_of_a_lower_revision_in_a_later_era_counts() {
    let mut evacuations = known(Some(1), 900, &[]);
    evacuations.take(after(10), &list(Some(2), 30, &["a"]));
    assert!(!evacuations.admit(after(10), &Hall("a".into())));
}

#[test]
fn a_process_that_has_not_heard_of_the_later_era_overrides_nothing() {
    let mut evacuations = known(Some(2), 30, &["a"]);
    assert!(evacuations.take(after(10), &list(Some(1), 900, &[])).is_empty());
    assert_eq!(halls(&evacuations), ["a"]);
}

#[test]
fn a_hall_that_the_copy_lacks_is_believed_for_a_while_and_longer_where_it_is_written_again() {
    let mut evacuations = known(Some(1), 900, &["a", "b"]);
    assert!(evacuations.take(after(10), &list(Some(2), 30, &[])).is_empty());
    evacuations.take(after(500), &list(Some(2), 31, &["a"]));
    assert!(evacuations.settle(after(GRACE)).is_empty());
    let changes = evacuations.settle(after(GRACE + 10));
    let is_end =
        |it: &EvacuationChange| matches!(it, EvacuationChange::Ended { hall, .. } if hall.0 == "b");
    assert!(changes.len() == 1 && changes.iter().all(is_end), "{changes:?}");
    assert_eq!(halls(&evacuations), ["a"]);
    evacuations.take(after(GRACE + 20), &list(Some(2), 40, &[]));
    assert!(evacuations.is_empty(), "nothing is doubtful about it any more");
}

#[test]
fn within_an_era_a_hall_that_a_list_lacks_is_taken_back_at_once() {
    let mut evacuations = known(Some(1), 900, &["a"]);
    evacuations.take(after(10), &list(Some(1), 901, &[]));
    assert!(evacuations.is_empty());
}

#[test]
fn two_drills_in_a_row_keep_what_neither_copy_has() {
    let mut evacuations = known(Some(1), 900, &["a"]);
    evacuations.take(after(10), &list(Some(2), 30, &[]));
    evacuations.take(after(2000), &list(Some(3), 20, &[]));
    assert!(evacuations.settle(after(GRACE + 100)).is_empty());
    assert!(!evacuations.settle(after(2000 + GRACE)).is_empty());
}

#[test]
fn a_list_without_an_era_counts_only_where_none_with_one_has_come_for_long() {
    let mut evacuations = known(Some(2), 30, &["a"]);
    assert!(evacuations.take(after(9000), &list(None, 900, &[])).is_empty());
    evacuations.take(after(9500), &list(Some(2), 30, &["a"]));
    assert!(evacuations.take(after(19_000), &list(None, 901, &[])).is_empty());
    assert!(!evacuations.take(after(19_600), &list(None, 902, &[])).is_empty());
    assert!(evacuations.is_empty());
}

#[test]
fn among_processes_without_eras_the_revision_decides_as_before() {
    let mut evacuations = known(None, 30, &["a"]);
    assert!(evacuations.take(after(10), &list(None, 29, &[])).is_empty());
    assert!(!evacuations.take(after(10), &list(None, 31, &[])).is_empty());
}
