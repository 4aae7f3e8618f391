//! A group of tasks that end together.

use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex};

use async_executor::{Executor, Task};

/// The tasks that run.
#[derive(Default)]
struct Running {
    next: u64,
    closed: bool,
    tasks: HashMap<u64, Task<()>>,
}

/// Spawns tasks and remembers them, so that all that a daemon started can be ended at once.
#[derive(Clone)]
pub struct Tasks {
    executor: Arc<Executor<'static>>,
    running: Arc<Mutex<Running>>,
}

impl Tasks {
    /// An empty group on an executor.
    pub fn new(executor: &Arc<Executor<'static>>) -> Self {
        Self { executor: executor.clone(), running: Arc::default() }
    }

    /// Another empty group on the same executor.
    pub fn group(&self) -> Self {
        Self::new(&self.executor)
    }

    /// Starts a task. Nothing starts in a group that was ended.
    pub fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        let mut running = self.running.lock().expect("the lock is never poisoned");
        if running.closed {
            return;
        }
        let id = running.next;
        running.next += 1;
        // A strong reference would keep the group alive through its own tasks.
        let group = Arc::downgrade(&self.running);
        let task = self.executor.spawn(async move {
            future.await;
            let Some(group) = group.upgrade() else {
                return;
            };
            let mut running = group.lock().expect("the lock is never poisoned");
            if let Some(task) = running.tasks.remove(&id) {
                task.detach();
            }
        });
        running.tasks.insert(id, task);
    }

    /// Ends every task where it stands, as a killed process would.
    pub fn cancel(&self) {
        let tasks = {
            let mut running = self.running.lock().expect("the lock is never poisoned");
            running.closed = true;
            std::mem::take(&mut running.tasks)
        };
        drop(tasks);
    }
}

#[cfg(test)]
mod tests;
