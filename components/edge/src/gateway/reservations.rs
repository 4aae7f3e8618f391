//! Places at runners, asked of the sidecars beside them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use fleet::ToldLimit;
use gateway::AttemptOutcome;
use uptime::Instant;

use crate::exchange::within;
use crate::message::{Datagram, Reply};
use crate::news::News;

/// How long a sidecar may take to answer. One that is awake answers within a few milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(45);

/// What a question says of its request.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// The rank of the request; zero goes first.
    pub rank: u8,
    /// What is left of the request's aim, in milliseconds. Zero for a later try of a caller that was refused.
    pub left_ms: u64,
    /// How long the question may wait for a place, in milliseconds.
    pub wait_ms: u64,
    /// What the gateway heard of the runner's rate limit, lately.
    pub limit: Option<ToldLimit>,
}

/// Waits for the next answer.
async fn next(answers: &Receiver<Reply>, timeout: Duration) -> Option<Reply> {
    within(Instant::now() + timeout, answers.recv()).await?.ok()
}

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
    /// The runner that each question is about, and who waits for the answers.
    waiting: HashMap<u64, (SocketAddr, Sender<Reply>)>,
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
        wanted: Wanted,
    ) -> Option<AttemptOutcome> {
        let Wanted { prompt_tokens, rank, left_ms, wait_ms, limit } = wanted;
        let left_ms = u32::try_from(left_ms).unwrap_or(u32::MAX);
        let (sender, answers) = async_channel::bounded(2);
        let question = {
            let mut open = self.open.borrow_mut();
            open.next += 1;
            let question = open.next;
            open.waiting.insert(question, (runner, sender));
            question
        };
        let _end = Question { open: &self.open, question };
        let sidecar = SocketAddr::new(runner.ip(), self.port);
        let request = request.to_owned();
        let reserve =
            Datagram::Reserve { question, request, prompt_tokens, rank, left_ms, wait_ms, limit };
        self.news.send(sidecar, &reserve).await;
        let mut reply = next(&answers, ANSWER_TIMEOUT).await;
        if reply == Some(Reply::Queued) {
            reply = next(&answers, Duration::from_millis(wait_ms) + ANSWER_TIMEOUT).await;
        }
        match reply {
            Some(Reply::Granted) => None,
            Some(Reply::Denied { again_ms, short_ms }) => {
                let short_ms = u64::from(short_ms.unwrap_or(0));
                Some(AttemptOutcome::Denied { again_ms, short_ms })
            }
            Some(Reply::Queued) | None => Some(AttemptOutcome::Silent),
        }
    }

    /// Takes in an answer.
    pub fn settle(&self, question: u64, reply: Reply) {
        if let Some((_, waiting)) = self.open.borrow().waiting.get(&question) {
            let _ = waiting.try_send(reply);
        }
    }

    /// The runner that a question is about, while somebody waits for the answer.
    pub fn runner(&self, question: u64) -> Option<SocketAddr> {
        self.open.borrow().waiting.get(&question).map(|(runner, _)| *runner)
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
