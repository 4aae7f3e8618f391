//! The requests in progress and the tasks that serve them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use async_channel::{Receiver, Sender};
use errors::Error;
use fleet::RequestId;
use reducer::{AttemptId, SavedAnswer};

/// The capacity of the command queue of a request, in commands.
const COMMAND_QUEUE_CAPACITY: usize = 8;

/// A command from the reducer to the task of a request.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Send the request to an agent.
    Send {
        /// The id of the attempt.
        attempt: AttemptId,
        /// The address of the agent.
        address: SocketAddr,
        /// The time left until the deadline, in milliseconds.
        budget_ms: u64,
    },
    /// Respond with an error.
    Refuse(Error),
    /// Respond with the answer of an earlier request with the same idempotency key.
    Replay(Box<SavedAnswer>),
}

/// The command queues of the tasks, by request id.
#[derive(Default)]
pub(crate) struct RequestTasks(Mutex<HashMap<RequestId, Sender<Command>>>);

impl RequestTasks {
    /// Creates the command queue of a request.
    pub(crate) fn register(&self, request: RequestId) -> Receiver<Command> {
        let (sender, receiver) = async_channel::bounded(COMMAND_QUEUE_CAPACITY);
        self.0.lock().expect("the lock is never poisoned").insert(request, sender);
        receiver
    }

    /// Removes the command queue of a request.
    pub(crate) fn remove(&self, request: RequestId) {
        self.0.lock().expect("the lock is never poisoned").remove(&request);
    }

    /// Sends a command to the task of a request. Does nothing if the request has ended.
    pub(crate) fn send_command(&self, request: RequestId, command: Command) {
        let requests = self.0.lock().expect("the lock is never poisoned");
        if let Some(sender) = requests.get(&request) {
            // The reducer sends one command at a time, so the queue is never full.
            let _ = sender.try_send(command);
        }
    }
}
