//! The queue of events that a daemon's reducer takes in one after the other.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use async_channel::{Receiver, Sender};

/// Events that may wait; datagrams beyond that are dropped and counted.
const INBOX_EVENTS: usize = 8192;

/// The sending end of the queue.
pub(crate) struct Inbox<E> {
    sender: Sender<E>,
    dropped: Arc<AtomicU64>,
}

impl<E> Clone for Inbox<E> {
    fn clone(&self) -> Self {
        Self { sender: self.sender.clone(), dropped: self.dropped.clone() }
    }
}

impl<E> Inbox<E> {
    /// Makes a queue.
    pub(crate) fn new() -> (Self, Receiver<E>) {
        let (sender, receiver) = async_channel::bounded(INBOX_EVENTS);
        (Self { sender, dropped: Arc::default() }, receiver)
    }

    /// Puts an event into the queue and waits for room. Must not be called by the task that takes
    /// events out.
    pub(crate) async fn send(&self, event: E) {
        // The queue is only closed when the daemon ends.
        let _ = self.sender.send(event).await;
    }

    /// Puts an event into the queue if there is room.
    pub(crate) fn offer(&self, event: E) {
        if self.sender.try_send(event).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Events dropped for want of room.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
