use std::time::Duration;

use platform::store::PAGE_ROWS;
use proptest::prelude::*;

use super::{Paging, Urgency, FAST_PAGE, FIRST_ROWS, MAX_PAUSE, MIN_ROWS};

const SLOW_PAGE: Duration = Duration::from_millis(400);

#[test]
fn pages_grow_while_they_arrive_quickly() {
    let mut paging = Paging::new(Urgency::Urgent);
    assert_eq!(paging.rows(), FIRST_ROWS);
    paging.record_page(FAST_PAGE);
    assert_eq!(paging.rows(), FIRST_ROWS * 2);
    (0..10).for_each(|_| paging.record_page(FAST_PAGE));
    assert_eq!(paging.rows(), PAGE_ROWS);
}

#[test]
fn pages_shrink_while_they_arrive_slowly() {
    let mut paging = Paging::new(Urgency::Urgent);
    paging.record_page(SLOW_PAGE);
    assert_eq!(paging.rows(), FIRST_ROWS / 2);
    (0..10).for_each(|_| paging.record_page(SLOW_PAGE));
    assert_eq!(paging.rows(), MIN_ROWS);
}

#[test]
fn only_a_background_listing_pauses_between_pages() {
    let mut urgent = Paging::new(Urgency::Urgent);
    urgent.record_page(SLOW_PAGE);
    assert_eq!(urgent.pause(), Duration::ZERO);
    let mut background = Paging::new(Urgency::Background);
    assert_eq!(background.pause(), Duration::ZERO, "no page was requested yet");
    background.record_page(Duration::from_millis(10));
    assert_eq!(background.pause(), Duration::from_millis(80));
    background.record_page(SLOW_PAGE);
    assert_eq!(background.pause(), MAX_PAUSE);
}

proptest! {
    #[test]
    fn a_page_is_never_empty_or_too_large(took in proptest::collection::vec(0_u64..5000, 0..50)) {
        let mut paging = Paging::new(Urgency::Background);
        for millis in took {
            paging.record_page(Duration::from_millis(millis));
            prop_assert!((MIN_ROWS..=PAGE_ROWS).contains(&paging.rows()));
            prop_assert!(paging.pause() <= MAX_PAUSE);
        }
    }
}
