//! The batch of an engine stand-in: requests join while there is room, by priority.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use async_channel::Sender;

/// Who waits, best first: high priority, then first come.
type Waiting = BTreeMap<(Reverse<u8>, u64), Sender<Seat>>;

#[derive(Default)]
struct State {
    running: u32,
    serial: u64,
    waiting: Waiting,
}

/// The batch.
pub(crate) struct Batch {
    limit: u32,
    state: Mutex<State>,
}

/// A place in the batch, given back when dropped.
pub(crate) struct Seat {
    batch: Arc<Batch>,
}

impl Batch {
    pub(crate) fn new(limit: u32) -> Arc<Self> {
        Arc::new(Self { limit, state: Mutex::default() })
    }

    /// Requests running and waiting.
    pub(crate) fn load(&self) -> (u32, u32) {
        let state = self.state.lock().expect("the lock is never poisoned");
        (state.running, state.waiting.len() as u32)
    }

    /// Waits for a place.
    pub(crate) async fn join(self: &Arc<Self>, priority: u8) -> Option<Seat> {
        let receiver = {
            let mut state = self.state.lock().expect("the lock is never poisoned");
            if state.running < self.limit {
                state.running += 1;
                return Some(Seat { batch: self.clone() });
            }
            let (sender, receiver) = async_channel::bounded(1);
            state.serial += 1;
            let place = (Reverse(priority), state.serial);
            state.waiting.insert(place, sender);
            receiver
        };
        receiver.recv().await.ok()
    }

    /// Hands a freed place to the best request that still waits.
    fn leave(self: &Arc<Self>) {
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
            // A refused seat is dropped inside and comes back here through `leave`.
            let _ = next.try_send(Seat { batch: self.clone() });
            return;
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.batch.leave();
    }
}

#[cfg(test)]
mod tests;
