//! Tests of the size of a listing.

use super::*;

/// The size of a large page, in bytes.
const PAGE_BYTES: usize = 8 << 20;

/// Counts pages of this size until one is refused, and returns how many were accepted.
fn accepted_pages(page_bytes: usize, most: u64) -> (u64, Option<Code>) {
    let (mut cost, metrics) = (ListingCost::start(), Metrics::start().unwrap());
    for accepted in 0..most {
        if let Err(error) = cost.count(Table::Runners, page_bytes, &metrics) {
            return (accepted, Some(error.code));
        }
    }
    (most, None)
}

#[test]
fn a_listing_that_never_ends_fails_before_it_fills_the_memory() {
    let (accepted, code) = accepted_pages(PAGE_BYTES, 1000);
    assert_eq!(code, Some(Code::TooLarge));
    assert!(accepted * PAGE_BYTES as u64 <= MAX_LISTING_BYTES, "{accepted} pages");
}

#[test]
fn a_fleet_of_the_largest_size_with_the_longest_rows_is_listed() {
    let (runners, longest_row) = (600, 64 << 10);
    assert_eq!(accepted_pages(longest_row, runners), (runners, None));
}
