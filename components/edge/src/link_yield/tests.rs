use std::time::Duration;

use proptest::prelude::*;

use super::{LinkYield, BULK_BYTES, RESTS_PER_DELAY};

const LONGEST: Duration = Duration::from_millis(2000);
/// How far the store's clock is ahead of the process's clock, in milliseconds.
const AHEAD: u64 = 7_000_000;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Records an answer that was produced at `at` and took `transit`, both in milliseconds.
fn take(yielding: &mut LinkYield, at: u64, way: u64, bytes: usize) -> Duration {
    yielding.take(millis(at + way), Some(AHEAD + at), bytes);
    yielding.rest()
}

#[test]
fn rests_a_multiple_of_the_wait_in_the_queue() {
    let mut yielding = LinkYield::new(LONGEST);
    assert_eq!(take(&mut yielding, 0, 10, 40), Duration::ZERO);
    assert_eq!(take(&mut yielding, 100, 110, BULK_BYTES), millis(100) * RESTS_PER_DELAY);
}

#[test]
fn a_rest_becomes_shorter_by_and_by() {
    let mut yielding = LinkYield::new(LONGEST);
    take(&mut yielding, 0, 10, 40);
    take(&mut yielding, 100, 110, BULK_BYTES);
    assert_eq!(take(&mut yielding, 2000, 10, BULK_BYTES), millis(700));
    assert_eq!(take(&mut yielding, 4000, 10, BULK_BYTES - 1), Duration::ZERO);
}

#[test]
fn small_answers_are_asked_for_without_a_rest() {
    let mut yielding = LinkYield::new(LONGEST);
    take(&mut yielding, 0, 10, 40);
    assert_eq!(take(&mut yielding, 100, 900, BULK_BYTES - 1), Duration::ZERO);
}

#[test]
fn a_rest_ends_in_time_however_long_an_answer_took() {
    let mut yielding = LinkYield::new(LONGEST);
    take(&mut yielding, 0, 10, 40);
    assert_eq!(take(&mut yielding, 100, 60_000, BULK_BYTES), LONGEST);
}

#[test]
fn a_table_that_yields_to_nothing_does_not_rest() {
    let mut yielding = LinkYield::new(Duration::ZERO);
    take(&mut yielding, 0, 10, 40);
    assert_eq!(take(&mut yielding, 100, 500, BULK_BYTES), Duration::ZERO);
}

#[test]
fn without_the_stores_clock_nothing_is_rested() {
    let mut yielding = LinkYield::new(LONGEST);
    yielding.take(millis(10), None, BULK_BYTES);
    assert_eq!(yielding.rest(), Duration::ZERO);
}

#[test]
fn a_way_that_became_longer_for_good_is_the_usual_one_after_a_while() {
    let mut yielding = LinkYield::new(LONGEST);
    take(&mut yielding, 0, 10, 40);
    let mut rest = Duration::ZERO;
    for second in 1..200 {
        rest = take(&mut yielding, second * 1000, 110, BULK_BYTES);
    }
    assert!(rest < millis(1), "{rest:?}");
}

#[test]
fn the_clock_of_a_store_that_came_back_from_a_copy_may_be_another() {
    let mut yielding = LinkYield::new(LONGEST);
    take(&mut yielding, 0, 10, 40);
    yielding.forget();
    yielding.take(millis(500), Some(3), BULK_BYTES);
    assert_eq!(yielding.rest(), Duration::ZERO);
}

proptest! {
    /// Processes that share a link and call again as soon as they may keep the queue short, even if they
    /// start in step: no process waits longer than a quarter of what it would wait without pauses.
    #[test]
    fn the_queue_of_many_stays_short(processes in 2_usize..200, answer_ms in 1_u64..60) {
        let round = processes as u64 * answer_ms;
        let longest = millis(round.max(1));
        let mut waiting: Vec<LinkYield> = (0..processes).map(|_| LinkYield::new(longest)).collect();
        let mut asks: Vec<u64> = vec![0; processes];
        for it in &mut waiting {
            take(it, 0, 0, 40);
        }
        let (mut free_at, mut worst) = (0, 0);
        for step in 0..processes * 40 {
            let next = (0..processes).min_by_key(|it| asks[*it]).expect("there are processes");
            let asked = asks[next];
            free_at = free_at.max(asked) + answer_ms;
            let rest = take(&mut waiting[next], asked, free_at - asked, BULK_BYTES);
            asks[next] = free_at + rest.as_millis() as u64;
            if step > processes * 30 {
                worst = worst.max(free_at - asked);
            }
        }
        prop_assert!(worst <= round / 4 + 2 * answer_ms, "{worst} of a round of {round}");
    }
}
