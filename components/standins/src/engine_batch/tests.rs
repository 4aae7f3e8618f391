//! Tests of `engine_batch`.

use super::*;
use futures_lite::future::{block_on, poll_once};

#[test]
fn assigns_a_free_slot_to_the_highest_priority_first() {
    block_on(async {
        let batch = Batch::new(1);
        let slot = batch.acquire(1).await;
        let mut low = Box::pin(batch.acquire(1));
        let mut high = Box::pin(batch.acquire(5));
        assert!(poll_once(&mut low).await.is_none());
        assert!(poll_once(&mut high).await.is_none());
        drop(slot);
        assert!(poll_once(&mut low).await.is_none());
        let slot = poll_once(&mut high).await.unwrap();
        drop(slot);
        assert!(poll_once(&mut low).await.is_some());
    });
}

#[test]
fn skips_requests_that_stopped_waiting() {
    block_on(async {
        let batch = Batch::new(1);
        let slot = batch.acquire(1).await;
        let mut cancelled = Box::pin(batch.acquire(1));
        assert!(poll_once(&mut cancelled).await.is_none());
        drop(cancelled);
        drop(slot);
        assert_eq!(batch.load(), (0, 0));
    });
}
