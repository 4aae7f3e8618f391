//! Places at runners, asked of the sidecars beside them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use gateway::AttemptOutcome;

use crate::exchange::within;
use crate::message::Datagram;
use crate::news::News;

/// How long a sidecar may take to answer. One that is awake answers within a few milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(45);

/// Asks sidecars for places.
#[derive(Clone)]
pub struct Reservations {
    news: News,
    /// The port at which sidecars listen.
    port: u16,
    open: Rc<RefCell<Open>>,
}

/// Questions that wait for their answers.
#[derive(Default)]
struct Open {
    next: u64,
    /// What waits for the answer: `None` for a place, else after how long to ask again.
    waiting: HashMap<u64, Sender<Option<u64>>>,
}

impl Reservations {
    /// Asks over a socket.
    pub fn new(news: News, port: u16) -> Self {
        Self { news, port, open: Rc::default() }
    }

    /// Asks for a place at a runner. Gives what keeps the request from being sent, if something does.
    pub async fn ask(
        &self,
        runner: SocketAddr,
        request: &str,
        prompt_tokens: u32,
    ) -> Option<AttemptOutcome> {
        let (sender, answer) = async_channel::bounded(1);
        let question = {
            let mut open = self.open.borrow_mut();
            open.next += 1;
            let question = open.next;
            open.waiting.insert(question, sender);
            question
        };
        let _end = Question { open: &self.open, question };
        let sidecar = SocketAddr::new(runner.ip(), self.port);
        self.news
            .send(
                sidecar,
                &Datagram::Reserve { question, request: request.to_owned(), prompt_tokens },
            )
            .await;
        match within(Instant::now() + ANSWER_TIMEOUT, answer.recv()).await {
            Some(Ok(None)) => None,
            Some(Ok(Some(again_ms))) => Some(AttemptOutcome::Denied { again_ms }),
            Some(Err(_)) | None => Some(AttemptOutcome::Silent),
        }
    }

    /// Takes in an answer: `None` for a place, else after how many milliseconds to ask again.
    pub fn settle(&self, question: u64, denied: Option<u64>) {
        if let Some(waiting) = self.open.borrow_mut().waiting.remove(&question) {
            let _ = waiting.try_send(denied);
        }
    }
}

/// Forgets a question whose asker is gone.
struct Question<'a> {
    open: &'a Rc<RefCell<Open>>,
    question: u64,
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.open.borrow_mut().waiting.remove(&self.question);
    }
}
