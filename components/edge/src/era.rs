//! The era of the platform's store: it rises each time the store comes back from an older copy.
//!
//! What was written since the copy is gone then, and revisions are given out again, so no revision of an earlier era says
//! anything of the store as it is. See `docs/design/era.md`.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use errors::{Code, Error, Result};
use http::HeaderMap;
use platform::store;
use telemetry::Metrics;

/// The highest era that an answer of the store told, shared by all calls of a process.
pub struct Era {
    current: Cell<Option<u64>>,
    tasks: RefCell<Vec<Sender<()>>>,
    metrics: Rc<Metrics>,
}

impl Era {
    /// Nothing has been told yet.
    pub fn new(metrics: Rc<Metrics>) -> Self {
        Self { current: Cell::default(), tasks: RefCell::default(), metrics }
    }

    /// The highest era that was told. `None` where the store tells none.
    pub fn current(&self) -> Option<u64> {
        self.current.get()
    }

    /// Told of each rise, and whenever the store is to be asked at once.
    pub fn calls(&self) -> Receiver<()> {
        let (task, calls) = async_channel::bounded(1);
        self.tasks.borrow_mut().push(task);
        calls
    }

    /// Has every task that waits for the store ask it at once.
    pub fn call_all(&self) {
        for task in self.tasks.borrow().iter() {
            // One that waits already is enough.
            let _ = task.try_send(());
        }
    }

    /// Takes in the head of an answer and gives its era. An answer of an earlier era than one that was told, or without
    /// one where one was, is an error: what it says is not of the store as it is.
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
