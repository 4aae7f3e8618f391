//! Tests of `engine_batch`.

use super::*;
use futures_lite::future::{block_on, poll_once};

#[test]
fn can_let_the_higher_priority_in_first() {
    block_on(async {
        let batch = Batch::new(1);
        let seat = batch.join(1).await;
        let mut low = Box::pin(batch.join(1));
        let mut high = Box::pin(batch.join(5));
        assert!(poll_once(&mut low).await.is_none());
        assert!(poll_once(&mut high).await.is_none());
        drop(seat);
        assert!(poll_once(&mut low).await.is_none());
        let seat = poll_once(&mut high).await.unwrap();
        drop(seat);
        assert!(poll_once(&mut low).await.is_some());
    });
}

#[test]
fn can_skip_requests_that_gave_up() {
    block_on(async {
        let batch = Batch::new(1);
        let seat = batch.join(1).await;
        let mut gone = Box::pin(batch.join(1));
        assert!(poll_once(&mut gone).await.is_none());
        drop(gone);
        drop(seat);
        assert_eq!(batch.load(), (0, 0));
    });
}
