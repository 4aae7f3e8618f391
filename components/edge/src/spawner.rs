//! Spawns tasks of a single-threaded process.

use std::future::Future;
use std::rc::Rc;

use async_executor::{LocalExecutor, Task};

/// Spawns tasks on the executor of this thread.
#[derive(Clone)]
pub struct Spawner(Rc<LocalExecutor<'static>>);

impl Spawner {
    /// Creates a spawner for an executor.
    pub fn new(executor: &Rc<LocalExecutor<'static>>) -> Self {
        Self(executor.clone())
    }

    /// Spawns a task that runs until it ends by itself.
    pub fn detach(&self, future: impl Future<Output = ()> + 'static) {
        self.0.spawn(future).detach();
    }

    /// Spawns a task that ends when its handle is dropped.
    pub fn spawn<T: 'static>(&self, future: impl Future<Output = T> + 'static) -> Task<T> {
        self.0.spawn(future)
    }
}
