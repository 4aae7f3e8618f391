//! Callers that ask for the model from the start to the end.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::{Executor, Task};
use async_io::Timer;
use lab::{ChatAnswer, ChatCaller, Lab};

/// Time between two requests.
const REQUEST_EVERY: Duration = Duration::from_millis(50);
/// How long a caller waits for its answer.
const PATIENCE: Duration = Duration::from_secs(30);
/// Tokens of an answer.
const TOKENS: u32 = 8;

/// Callers that run until they are stopped.
pub struct Callers {
    task: Task<()>,
    answers: Arc<Mutex<Vec<ChatAnswer>>>,
}

impl Callers {
    /// Calls every entry in turn, whether the model is there already or not.
    pub fn start(executor: &Arc<Executor<'static>>, lab: &Lab, model: &'static str) -> Self {
        let entries: Vec<_> = lab.entries.iter().map(|entry| entry.callers()).collect();
        let answers = Arc::new(Mutex::new(Vec::new()));
        let kept = answers.clone();
        let inner = executor.clone();
        let task = executor.spawn(async move {
            for number in 0_usize.. {
                let caller = ChatCaller {
                    address: entries[number % entries.len()],
                    model: model.to_owned(),
                    tokens: TOKENS,
                    stream: number % 2 == 0,
                    patience: PATIENCE,
                };
                let kept = kept.clone();
                let call = async move {
                    let answer = caller.chat(&format!("How is tip {number} split?")).await;
                    kept.lock().expect("the lock is never poisoned").push(answer);
                };
                inner.spawn(call).detach();
                Timer::after(REQUEST_EVERY).await;
            }
        });
        Self { task, answers }
    }

    /// Ends the calls and gives the answers there are.
    pub async fn stop(self) -> Vec<ChatAnswer> {
        self.task.cancel().await;
        self.answers.lock().expect("the lock is never poisoned").clone()
    }
}
