use std::time::Duration;

use proptest::prelude::*;

use super::{LinkYield, LARGE_ANSWER_BYTES, PAUSE_FACTOR};

const MAX_PAUSE: Duration = Duration::from_millis(2000);
/// How far the store's clock is ahead of the process's clock, in milliseconds.
const CLOCK_OFFSET_MS: u64 = 7_000_000;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Records an answer that was produced at `at` and took `transit`, both in milliseconds.
fn record(link_yield: &mut LinkYield, at: u64, transit: u64, bytes: usize) -> Duration {
    link_yield.record_answer(millis(at + transit), Some(CLOCK_OFFSET_MS + at), bytes);
    link_yield.pause()
}

#[test]
fn the_pause_is_a_multiple_of_the_queueing_delay() {
    let mut link_yield = LinkYield::new(MAX_PAUSE);
    assert_eq!(record(&mut link_yield, 0, 10, 40), Duration::ZERO);
    assert_eq!(record(&mut link_yield, 100, 110, LARGE_ANSWER_BYTES), millis(100) * PAUSE_FACTOR);
}

#[test]
fn pauses_become_shorter_gradually() {
    let mut link_yield = LinkYield::new(MAX_PAUSE);
    record(&mut link_yield, 0, 10, 40);
    record(&mut link_yield, 100, 110, LARGE_ANSWER_BYTES);
    assert_eq!(record(&mut link_yield, 2000, 10, LARGE_ANSWER_BYTES), millis(700));
    assert_eq!(record(&mut link_yield, 4000, 10, LARGE_ANSWER_BYTES - 1), Duration::ZERO);
}

#[test]
fn small_answers_cause_no_pause() {
    let mut link_yield = LinkYield::new(MAX_PAUSE);
    record(&mut link_yield, 0, 10, 40);
    assert_eq!(record(&mut link_yield, 100, 900, LARGE_ANSWER_BYTES - 1), Duration::ZERO);
}

#[test]
fn a_pause_is_bounded_however_long_an_answer_took() {
    let mut link_yield = LinkYield::new(MAX_PAUSE);
    record(&mut link_yield, 0, 10, 40);
    assert_eq!(record(&mut link_yield, 100, 60_000, LARGE_ANSWER_BYTES), MAX_PAUSE);
}

#[test]
fn a_table_that_does_not_yield_does_not_pause() {
    let mut link_yield = LinkYield::new(Duration::ZERO);
    record(&mut link_yield, 0, 10, 40);
    assert_eq!(record(&mut link_yield, 100, 500, LARGE_ANSWER_BYTES), Duration::ZERO);
}

#[test]
fn without_a_store_clock_there_is_no_pause() {
    let mut link_yield = LinkYield::new(MAX_PAUSE);
    link_yield.record_answer(millis(10), None, LARGE_ANSWER_BYTES);
    assert_eq!(link_yield.pause(), Duration::ZERO);
}

#[test]
fn a_permanently_longer_transit_becomes_the_baseline() {
    let mut link_yield = LinkYield::new(MAX_PAUSE);
    record(&mut link_yield, 0, 10, 40);
    let mut pause = Duration::ZERO;
    for second in 1..200 {
        pause = record(&mut link_yield, second * 1000, 110, LARGE_ANSWER_BYTES);
    }
    assert!(pause < millis(1), "{pause:?}");
}

#[test]
fn a_restored_store_may_have_another_clock() {
    let mut link_yield = LinkYield::new(MAX_PAUSE);
    record(&mut link_yield, 0, 10, 40);
    link_yield.reset();
    link_yield.record_answer(millis(500), Some(3), LARGE_ANSWER_BYTES);
    assert_eq!(link_yield.pause(), Duration::ZERO);
}

proptest! {
    /// Processes that share a link and call again as soon as they may keep the queue short, even if they
    /// start in step: no process waits longer than a quarter of what it would wait without pauses.
    #[test]
    fn the_queue_of_many_processes_stays_short(processes in 2_usize..200, answer_ms in 1_u64..60) {
        let round = processes as u64 * answer_ms;
        let max_pause = millis(round.max(1));
        let mut waiting: Vec<LinkYield> = (0..processes).map(|_| LinkYield::new(max_pause)).collect();
        let mut asks: Vec<u64> = vec![0; processes];
        for it in &mut waiting {
            record(it, 0, 0, 40);
        }
        let (mut free_at, mut worst) = (0, 0);
        for step in 0..processes * 40 {
            let next = (0..processes).min_by_key(|it| asks[*it]).expect("there are processes");
            let asked = asks[next];
            free_at = free_at.max(asked) + answer_ms;
            let pause = record(&mut waiting[next], asked, free_at - asked, LARGE_ANSWER_BYTES);
            asks[next] = free_at + pause.as_millis() as u64;
            if step > processes * 30 {
                worst = worst.max(free_at - asked);
            }
        }
        prop_assert!(worst <= round / 4 + 2 * answer_ms, "{worst} of a round of {round}");
    }
}
