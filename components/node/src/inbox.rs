//! The queue of events for the reducer of a daemon.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use async_channel::{Receiver, Sender};

/// The capacity of the queue, in events. Events that do not fit and were not sent with [`Inbox::send`], such as
/// datagrams and ticks, are dropped and counted.
const INBOX_CAPACITY: usize = 8192;

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
    /// Creates a queue.
    pub(crate) fn new() -> (Self, Receiver<E>) {
        let (sender, receiver) = async_channel::bounded(INBOX_CAPACITY);
        (Self { sender, dropped: Arc::default() }, receiver)
    }

    /// Adds an event and waits for capacity if the queue is full. The task that receives the events must not call this,
    /// as it would wait for itself.
    pub(crate) async fn send(&self, event: E) {
        // The queue is only closed when the daemon exits.
        let _ = self.sender.send(event).await;
    }

    /// Adds an event, or drops and counts it if the queue is full.
    pub(crate) fn send_or_drop(&self, event: E) {
        if self.sender.try_send(event).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The number of events dropped because the queue was full.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
