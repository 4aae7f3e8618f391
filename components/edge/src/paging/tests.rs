use std::time::Duration;

use platform::store::PAGE_ROWS;
use proptest::prelude::*;

use super::{Paging, Urgency, FIRST_ROWS, LEAST_ROWS, LONGEST_REST, QUICK};

const SLOW: Duration = Duration::from_millis(400);

#[test]
fn pages_grow_while_they_come_quickly() {
    let mut paging = Paging::new(Urgency::Urgent);
    assert_eq!(paging.rows(), FIRST_ROWS);
    paging.take(QUICK);
    assert_eq!(paging.rows(), FIRST_ROWS * 2);
    (0..10).for_each(|_| paging.take(QUICK));
    assert_eq!(paging.rows(), PAGE_ROWS);
}

#[test]
fn pages_shrink_while_they_come_slowly() {
    let mut paging = Paging::new(Urgency::Urgent);
    paging.take(SLOW);
    assert_eq!(paging.rows(), FIRST_ROWS / 2);
    (0..10).for_each(|_| paging.take(SLOW));
    assert_eq!(paging.rows(), LEAST_ROWS);
}

#[test]
fn only_a_listing_that_nothing_waits_for_rests() {
    let mut urgent = Paging::new(Urgency::Urgent);
    urgent.take(SLOW);
    assert_eq!(urgent.rest(), Duration::ZERO);
    let mut spread = Paging::new(Urgency::Background);
    assert_eq!(spread.rest(), Duration::ZERO, "nothing has been asked for yet");
    spread.take(Duration::from_millis(10));
    assert_eq!(spread.rest(), Duration::from_millis(80));
    spread.take(SLOW);
    assert_eq!(spread.rest(), LONGEST_REST);
}

proptest! {
    #[test]
    fn a_page_is_never_empty_or_too_large(took in proptest::collection::vec(0_u64..5000, 0..50)) {
        let mut paging = Paging::new(Urgency::Background);
        for millis in took {
            paging.take(Duration::from_millis(millis));
            prop_assert!((LEAST_ROWS..=PAGE_ROWS).contains(&paging.rows()));
            prop_assert!(paging.rest() <= LONGEST_REST);
        }
    }
}
