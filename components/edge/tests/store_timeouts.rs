//! Tests that after any lost call a process calls again within the contact time.

use std::time::Duration;

use edge::StoreTimeouts;
use proptest::prelude::*;

/// The time of a new connection and the call on it, on a busy processor.
const CALL_TIME: Duration = Duration::from_millis(150);
/// The most failures in a row: more than an outage of minutes causes.
const MAX_FAILURES: u32 = 200;

fn contact() -> impl Strategy<Value = Duration> {
    (2500_u64..20_000).prop_map(Duration::from_millis)
}

proptest! {
    #[test]
    fn a_feed_call_lost_at_the_end_of_an_outage_is_repeated_within_the_contact_time(
        contact in contact(),
        failures in 1..MAX_FAILURES,
    ) {
        let timeouts = StoreTimeouts::new(contact);
        // The first failure is that of a feed which waited for a change, the others are of short ones.
        let wait = timeouts.feed_wait(failures == 1);
        let lost_for = timeouts.feed_start_timeout(wait) + timeouts.pause(failures).end + CALL_TIME;
        prop_assert!(lost_for <= contact, "{lost_for:?} of {contact:?} after {failures} failures");
    }

    #[test]
    fn a_table_is_listed_within_the_contact_time_after_a_lost_feed_call_whose_history_is_gone(
        contact in contact(),
        failures in 1..MAX_FAILURES,
    ) {
        let timeouts = StoreTimeouts::new(contact);
        let wait = timeouts.feed_wait(failures == 1);
        let lost_for = timeouts.feed_start_timeout(wait) + timeouts.pause(failures).end + CALL_TIME;
        let listed = lost_for + timeouts.pause_before_listing(failures).end + CALL_TIME;
        prop_assert!(listed <= contact, "{listed:?} of {contact:?} after {failures} failures");
    }

    #[test]
    fn processes_that_lose_their_history_together_do_not_list_together(
        contact in contact(),
    ) {
        let pause = StoreTimeouts::new(contact).pause_before_listing(0);
        prop_assert!(pause.end - pause.start >= Duration::from_millis(100), "{pause:?}");
    }

    #[test]
    fn a_listing_lost_at_the_end_of_an_outage_is_repeated_within_the_contact_time(
        contact in contact(),
        failures in 1..MAX_FAILURES,
    ) {
        let timeouts = StoreTimeouts::new(contact);
        let lost_for = StoreTimeouts::LIST_START_TIMEOUT + timeouts.pause(failures).end + CALL_TIME;
        prop_assert!(lost_for <= contact, "{lost_for:?} of {contact:?} after {failures} failures");
    }

    #[test]
    fn pauses_are_never_empty_and_never_become_shorter(
        contact in (0_u64..20_000).prop_map(Duration::from_millis),
        failures in 1..MAX_FAILURES,
    ) {
        let timeouts = StoreTimeouts::new(contact);
        let (pause, next) = (timeouts.pause(failures), timeouts.pause(failures + 1));
        prop_assert!(pause.start < pause.end);
        prop_assert!(pause.start <= next.start && pause.end <= next.end);
    }

    #[test]
    fn a_long_contact_time_allows_long_waits(contact in contact()) {
        let timeouts = StoreTimeouts::new(contact);
        let wait = timeouts.feed_wait(true);
        prop_assert!(wait >= contact / 2 || wait == Duration::from_secs(5));
    }
}
