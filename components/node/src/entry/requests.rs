//! The requests under way and the tasks that serve them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use async_channel::{Receiver, Sender};
use errors::Error;
use fleet::RequestId;
use reducer::{AttemptId, SavedAnswer};

/// Commands that may wait for a request's task.
const COMMANDS_AHEAD: usize = 8;

/// What the reducer tells the task of a request.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Send a try to an agent.
    Send {
        /// The try.
        attempt: AttemptId,
        /// Where the agent listens.
        address: SocketAddr,
        /// Milliseconds left.
        budget_ms: u64,
    },
    /// End with a code.
    Refuse(Error),
    /// End with the answer of an earlier request under the same key.
    Replay(Box<SavedAnswer>),
}

/// The tasks of requests, by identity.
#[derive(Default)]
pub(crate) struct Requests(Mutex<HashMap<RequestId, Sender<Command>>>);

impl Requests {
    /// Makes a queue of commands for a request.
    pub(crate) fn begin(&self, request: RequestId) -> Receiver<Command> {
        let (sender, receiver) = async_channel::bounded(COMMANDS_AHEAD);
        self.0.lock().expect("the lock is never poisoned").insert(request, sender);
        receiver
    }

    /// Forgets a request.
    pub(crate) fn end(&self, request: RequestId) {
        self.0.lock().expect("the lock is never poisoned").remove(&request);
    }

    /// Passes a command to the task of a request. A request that has ended gets none.
    pub(crate) fn command(&self, request: RequestId, command: Command) {
        let requests = self.0.lock().expect("the lock is never poisoned");
        if let Some(sender) = requests.get(&request) {
            // The reducer gives one command at a time, far fewer than the queue holds.
            let _ = sender.try_send(command);
        }
    }
}
