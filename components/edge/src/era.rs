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
    tasks: RefCell<Vec<Sender<()>>>,
    metrics: Rc<Metrics>,
}

impl Era {
    /// Creates the state before the first answer.
    pub fn new(metrics: Rc<Metrics>) -> Self {
        Self { current: Cell::default(), tasks: RefCell::default(), metrics }
    }

    /// The highest era received. `None` if the store sends none.
    pub fn current(&self) -> Option<u64> {
        self.current.get()
    }

    /// A channel that receives a message on each increase of the era, and whenever the store has to be called
    /// at once.
    pub fn calls(&self) -> Receiver<()> {
        let (task, calls) = async_channel::bounded(1);
        self.tasks.borrow_mut().push(task);
        calls
    }

    /// Makes every task that waits for the store call it at once.
    pub fn call_all(&self) {
        for task in self.tasks.borrow().iter() {
            // One pending message is enough.
            let _ = task.try_send(());
        }
    }

    /// Records the era in the headers of an answer and returns it. An answer with a lower era than the
    /// highest one received, or without an era after one with it, is an error: it does not describe the
    /// present content of the store.
    pub fn note(&self, headers: &HeaderMap) -> Result<Option<u64>> {
        let told = store::read_era(headers)?;
        let known = self.current.get();
        if told < known {
            let detail = format!("an answer of era {told:?} after one of era {known:?}");
            return Err(Error::new(Code::PlatformRefused, detail));
        }
        self.current.set(told);
        if let (Some(before), Some(era)) = (known, told.filter(|_| told > known)) {
            log::warn!(era = era, before = before; "the store came back from an older copy");
            self.metrics.count_era();
            self.call_all();
        }
        Ok(told)
    }
}

#[cfg(test)]
mod tests;
