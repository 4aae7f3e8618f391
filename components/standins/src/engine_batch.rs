//! The batch of an engine stand-in: a limited number of slots, assigned to requests by priority.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use async_channel::Sender;

/// Waiting requests, ordered by priority from high to low and then by arrival.
type WaitQueue = BTreeMap<(Reverse<u8>, u64), Sender<BatchSlot>>;

#[derive(Default)]
struct State {
    running: u32,
    last_arrival: u64,
    waiting: WaitQueue,
}

/// The batch of an engine.
pub(crate) struct Batch {
    limit: u32,
    state: Mutex<State>,
}

/// A slot in the batch. Dropping it releases the slot.
pub(crate) struct BatchSlot {
    batch: Arc<Batch>,
}

impl Batch {
    pub(crate) fn new(limit: u32) -> Arc<Self> {
        Arc::new(Self { limit, state: Mutex::default() })
    }

    /// Returns the number of running and of waiting requests.
    pub(crate) fn load(&self) -> (u32, u32) {
        let state = self.state.lock().expect("the lock is never poisoned");
        (state.running, state.waiting.len() as u32)
    }

    /// Waits for a free slot.
    pub(crate) async fn acquire(self: &Arc<Self>, priority: u8) -> Option<BatchSlot> {
        let receiver = {
            let mut state = self.state.lock().expect("the lock is never poisoned");
            if state.running < self.limit {
                state.running += 1;
                return Some(BatchSlot { batch: self.clone() });
            }
            let (sender, receiver) = async_channel::bounded(1);
            state.last_arrival += 1;
            let position = (Reverse(priority), state.last_arrival);
            state.waiting.insert(position, sender);
            receiver
        };
        receiver.recv().await.ok()
    }

    /// Passes a released slot to the first request that still waits.
    fn release(self: &Arc<Self>) {
        loop {
            let next = {
                let mut state = self.state.lock().expect("the lock is never poisoned");
                match state.waiting.pop_first() {
                    Some((_, sender)) if !sender.is_closed() => sender,
                    Some(_) => continue,
                    None => {
                        state.running -= 1;
                        return;
                    }
                }
            };
            // If the request has stopped waiting, the slot is dropped here, which calls `release` again.
            let _ = next.try_send(BatchSlot { batch: self.clone() });
            return;
        }
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        self.batch.release();
    }
}

#[cfg(test)]
mod tests;
