//! Callers that send completion requests for the whole run.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::{Executor, Task};
use async_io::Timer;
use lab::{ChatAnswer, ChatCaller, Lab};

/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// How long a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of tokens requested for an answer.
const ANSWER_TOKENS: u32 = 8;

/// A task that sends requests until it is stopped.
pub struct Callers {
    task: Task<()>,
    answers: Arc<Mutex<Vec<ChatAnswer>>>,
}

impl Callers {
    /// Sends requests to the entries in turn, also before the model is live.
    pub fn start(executor: &Arc<Executor<'static>>, lab: &Lab, model: &'static str) -> Self {
        let entries: Vec<_> = lab.entries.iter().map(|entry| entry.callers()).collect();
        let answers = Arc::new(Mutex::new(Vec::new()));
        let received = answers.clone();
        let spawner = executor.clone();
        let task = executor.spawn(async move {
            for number in 0_usize.. {
                let caller = ChatCaller {
                    address: entries[number % entries.len()],
                    model: model.to_owned(),
                    tokens: ANSWER_TOKENS,
                    stream: number % 2 == 0,
                    timeout: ANSWER_TIMEOUT,
                };
                let received = received.clone();
                let call = async move {
                    let answer = caller.chat(&format!("How is tip {number} split?")).await;
                    received.lock().expect("the lock is never poisoned").push(answer);
                };
                spawner.spawn(call).detach();
                Timer::after(REQUEST_INTERVAL).await;
            }
        });
        Self { task, answers }
    }

    /// Stops sending requests and returns the answers received so far.
    pub async fn stop(self) -> Vec<ChatAnswer> {
        self.task.cancel().await;
        self.answers.lock().expect("the lock is never poisoned").clone()
    }
}
