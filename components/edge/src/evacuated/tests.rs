use std::time::Duration;

use super::*;

fn evacuated(hall: &str) -> Change {
    Change::Evacuated(hall.into())
}

fn ages(list: &EvacuationList) -> Vec<(&str, Option<u64>)> {
    list.evacuated.iter().map(|it| (it.hall.0.as_str(), it.age_ms)).collect()
}

#[test]
fn a_row_that_went_while_the_store_was_away_is_missing_from_the_listing() {
    let (mut halls, now) = (EvacuatedHalls::default(), Instant::now());
    halls.take_feed(now, 10, &[evacuated("a"), evacuated("b")], false);
    let later = now + Duration::from_millis(700);
    let list = halls.take_listing(later, 20, &[evacuated("b")]);
    assert_eq!((list.revision, ages(&list)), (20, vec![("b", Some(700))]));
}

#[test]
fn nobody_knows_for_how_long_what_a_listing_shows_first_has_been_evacuated() {
    let (mut halls, now) = (EvacuatedHalls::default(), Instant::now());
    let list = halls.take_listing(now, 20, &[evacuated("a")]);
    assert_eq!(ages(&list), [("a", None)]);
}

#[test]
fn late_news_has_no_age_and_fresh_news_has() {
    let (mut halls, now) = (EvacuatedHalls::default(), Instant::now());
    let list = halls.take_feed(now, 10, &[evacuated("a")], true).unwrap();
    assert_eq!(ages(&list), [("a", None)]);
    let list = halls.take_feed(now, 11, &[evacuated("b")], false).unwrap();
    assert_eq!(ages(&list), [("a", None), ("b", Some(0))]);
}

#[test]
fn a_hall_that_was_taken_back_and_is_evacuated_again_starts_anew() {
    let (mut halls, now) = (EvacuatedHalls::default(), Instant::now());
    halls.take_feed(now, 10, &[evacuated("a")], false);
    let later = now + Duration::from_millis(900);
    let changes = [Change::Reopened("a".into()), evacuated("a")];
    let list = halls.take_feed(later, 12, &changes, false).unwrap();
    assert_eq!(ages(&list), [("a", Some(0))]);
}

#[test]
fn a_page_that_tells_of_no_hall_gives_no_list() {
    let mut halls = EvacuatedHalls::default();
    assert_eq!(halls.take_feed(Instant::now(), 10, &[], false), None);
}
