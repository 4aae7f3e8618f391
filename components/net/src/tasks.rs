//! A group of tasks that can be cancelled together.

use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex};

use async_executor::{Executor, Task};

/// The state of a group.
#[derive(Default)]
struct GroupState {
    next_id: u64,
    cancelled: bool,
    tasks: HashMap<u64, Task<()>>,
}

/// Spawns tasks and keeps track of them, so that all tasks of a daemon can be cancelled at once.
#[derive(Clone)]
pub struct Tasks {
    executor: Arc<Executor<'static>>,
    state: Arc<Mutex<GroupState>>,
}

impl Tasks {
    /// Creates an empty group on an executor.
    pub fn new(executor: &Arc<Executor<'static>>) -> Self {
        Self { executor: executor.clone(), state: Arc::default() }
    }

    /// Creates another empty group on the same executor.
    pub fn group(&self) -> Self {
        Self::new(&self.executor)
    }

    /// Starts a task. Does nothing in a group that was cancelled.
    pub fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        let mut state = self.state.lock().expect("the lock is never poisoned");
        if state.cancelled {
            return;
        }
        let id = state.next_id;
        state.next_id += 1;
        // Weak, as the tasks of a group would otherwise keep it alive.
        let group = Arc::downgrade(&self.state);
        let task = self.executor.spawn(async move {
            future.await;
            let Some(group) = group.upgrade() else {
                return;
            };
            let mut state = group.lock().expect("the lock is never poisoned");
            if let Some(task) = state.tasks.remove(&id) {
                task.detach();
            }
        });
        state.tasks.insert(id, task);
    }

    /// Drops every task at its current await point and prevents new ones, as if the process had been killed.
    pub fn cancel(&self) {
        let tasks = {
            let mut state = self.state.lock().expect("the lock is never poisoned");
            state.cancelled = true;
            std::mem::take(&mut state.tasks)
        };
        drop(tasks);
    }
}

#[cfg(test)]
mod tests;
