//! The era of the platform's store: it increases each time the store is restored from an older copy.
//!
//! Everything written after the copy is lost then, and its revisions are assigned again, so a revision of an
//! earlier era says nothing about the present content of the store. See `docs/design/era.md`.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use errors::{Code, Error, Result};
use http::HeaderMap;
use platform::store;
use telemetry::Metrics;

/// The highest era found in an answer of the store, shared by all calls of a process.
pub struct Era {
    current: Cell<Option<u64>>,
    subscribers: RefCell<Vec<Sender<()>>>,
    metrics: Rc<Metrics>,
}

impl Era {
    /// Creates the state before the first answer.
    pub fn new(metrics: Rc<Metrics>) -> Self {
        Self { current: Cell::default(), subscribers: RefCell::default(), metrics }
    }

    /// The highest era received. `None` if the store sends none.
    pub fn current(&self) -> Option<u64> {
        self.current.get()
    }

    /// A channel that receives a message on each increase of the era, and whenever the store has to be called
    /// at once.
    pub fn subscribe(&self) -> Receiver<()> {
        let (subscriber, notifications) = async_channel::bounded(1);
        self.subscribers.borrow_mut().push(subscriber);
        notifications
    }

    /// Makes every task that waits for the store call it at once.
    pub fn notify_all(&self) {
        for subscriber in self.subscribers.borrow().iter() {
            // One pending message is enough.
            let _ = subscriber.try_send(());
        }
    }

    /// Records the era in the headers of an answer and returns it. An answer with a lower era than the
    /// highest one received, or without an era after one with it, is an error: it does not describe the
    /// present content of the store.
    pub fn record(&self, headers: &HeaderMap) -> Result<Option<u64>> {
        let received = store::read_era(headers)?;
        let previous = self.current.get();
        if received < previous {
            let detail = format!("answer of era {received:?} after one of era {previous:?}");
            return Err(Error::new(Code::PlatformRefused, detail));
        }
        self.current.set(received);
        if let (Some(before), Some(era)) = (previous, received.filter(|_| received > previous)) {
            log::warn!(era = era, before = before; "the store came back from an older copy");
            self.metrics.count_store_restore();
            self.notify_all();
        }
        Ok(received)
    }
}

#[cfg(test)]
mod tests;
