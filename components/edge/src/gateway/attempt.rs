//! One attempt of a request at one runner.

use std::time::Duration;

use account::Decision;
use bytes::Bytes;
use fleet::{Millis, RateWord};
use futures_lite::future;
use gateway::{AttemptOutcome, Event, Notice, RequestKey, RunnerTarget};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use platform::headers::{self, Added, AnswerFacts};
use telemetry::Span;
use uptime::Instant;

use super::answer::{whole_body, AnswerBody};
use super::core::Core;
use super::request::Job;
use super::reservations::Wanted;
use crate::http_connection::HttpConnection;

/// How long opening a connection to a runner may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long after it was granted a slot may be used: opening the connection takes up to `CONNECT_TIMEOUT`,
/// and the rest allows for a machine that is short of processor time. A sidecar's margin before a version's
/// deadline covers it.
const PLACE_LIFE: Duration = Duration::from_millis(350);
/// A repeatable request waits for the head of an answer for this multiple of its latency target.
const PATIENCE: f64 = 2.0;
/// The shortest such timeout, in milliseconds.
const MIN_PATIENCE: u64 = 600;
/// A request that has not started is withdrawn from the runner this long before the version's deadline, in
/// milliseconds, because the runner receives the withdrawal a little later.
const TAKE_BACK_MARGIN: u64 = 100;
/// The largest error answer of a runner that is buffered to be forwarded, in bytes.
const HELD_BYTES: usize = 64 * 1024;

/// An attempt.
pub struct Attempt<'a> {
    /// The gateway.
    pub core: &'a Core,
    /// The request.
    pub job: &'a Job,
    /// Its key.
    pub key: RequestKey,
    /// The runner.
    pub target: &'a RunnerTarget,
}

/// A runner's answer whose head has arrived.
pub struct RunnerAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The connection that it arrives on.
    pub connection: HttpConnection,
    /// The rest of the answer.
    pub body: Incoming,
}

/// The result of an attempt when the head of the answer has arrived or the attempt has failed.
// It is moved once per attempt; a box would cost more than it saves.
#[allow(clippy::large_enum_variant)]
pub enum Outcome {
    /// The runner answers.
    Answer(RunnerAnswer),
    /// The attempt failed.
    Failure {
        /// How it failed.
        outcome: AttemptOutcome,
        /// The runner's error answer, which is forwarded if no other attempt succeeds.
        answer: Option<Response<AnswerBody>>,
    },
}

impl From<AttemptOutcome> for Outcome {
    fn from(outcome: AttemptOutcome) -> Self {
        Self::Failure { outcome, answer: None }
    }
}

impl Attempt<'_> {
    /// Sends the request and waits for the head of the answer. `last_event` is the event after which a stream
    /// resumes; `sent` is set once the runner may have received the request.
    pub async fn run(&self, last_event: Option<&str>, sent: &mut bool) -> Outcome {
        if let Err(outcome) = self.reserve().await {
            return outcome.into();
        }
        let granted = Instant::now();
        let Ok(mut connection) = HttpConnection::open(self.target.address, CONNECT_TIMEOUT).await
        else {
            return AttemptOutcome::NotSent.into();
        };
        let Some(request) = self.request(last_event) else {
            return AttemptOutcome::NotSent.into();
        };
        if self.target.reserve && granted.elapsed() > PLACE_LIFE {
            // The sidecar granted the slot for immediate use, and this machine was too slow.
            return AttemptOutcome::Expired.into();
        }
        let now = self.core.clock.now();
        if !self.core.read(|gateway| gateway.may_send(now, self.key)) {
            return AttemptOutcome::Withdrawn.into();
        }
        let was_sent = std::mem::replace(sent, true);
        let begun = Instant::now();
        let answer = async { connection.send(request).await.map_err(|_| AttemptOutcome::Lost) };
        let answer = match future::or(answer, async { Err(self.lose_patience(now).await) }).await {
            Ok(answer) => answer,
            Err(outcome) => return outcome.into(),
        };
        self.core.metrics.note_span(Span::Runner, begun.elapsed().as_millis() as u64);
        let outcome = self.judge(connection, answer).await;
        if let Outcome::Failure { outcome, .. } = &outcome {
            *sent = was_sent || !outcome.is_not_run();
        }
        outcome
    }

    /// Asks the sidecar for a slot, if the runner has a sidecar. The connection is opened afterwards: under
    /// load most reservations are denied, and each connection costs both sides work.
    async fn reserve(&self) -> Result<(), AttemptOutcome> {
        if !self.target.reserve {
            return Ok(());
        }
        let facts = &self.job.facts;
        let id = facts.id.as_deref().unwrap_or("");
        let reservations = &self.core.reservations;
        let prompt_tokens = self.job.prompt_tokens;
        let RunnerTarget { rank, left_ms, wait_ms, limit, .. } = *self.target;
        let wanted = Wanted { prompt_tokens, rank, left_ms, wait_ms, limit };
        match reservations.ask(self.target.address, id, wanted).await {
            None => Ok(()),
            Some(outcome) => Err(outcome),
        }
    }

    /// Waits for as long as a repeatable request sent at `sent` may wait for an answer. Returns why the wait
    /// ended.
    async fn lose_patience(&self, sent: Millis) -> AttemptOutcome {
        if !self.job.kind.is_repeatable() {
            return future::pending().await;
        }
        let patience = ((self.job.aim_ms as f64 * PATIENCE) as u64).max(MIN_PATIENCE);
        let begin_by = self.core.read(|gateway| gateway.begin_by(sent, self.key));
        let left = begin_by.map(|it| it.minus(TAKE_BACK_MARGIN).since(sent).0);
        let outdated = left.filter(|it| *it < patience);
        uptime::sleep(Duration::from_millis(outdated.unwrap_or(patience))).await;
        match outdated {
            Some(_) => AttemptOutcome::Outdated,
            None => AttemptOutcome::Lost,
        }
    }

    fn request(&self, last_event: Option<&str>) -> Option<Request<Full<Bytes>>> {
        let job = self.job;
        let now = self.core.clock.now();
        let added = Added {
            runner: &self.target.id,
            deadline_ms: job.deadline.map(|it| it.min(job.limit).since(now).0),
            workspace: job.workspace.as_ref(),
            last_event,
        };
        let mut request = Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.uri.clone();
        *request.headers_mut() = headers::prepare_request(&job.headers, &added);
        Some(request)
    }

    /// Records that the runner wants no more requests, if its answer says so. This happens before any part of
    /// the answer is forwarded, so that no request that arrives afterwards is sent to it.
    fn take_notice(&self, notice: Notice) {
        if notice.is_empty() {
            return;
        }
        if notice.is_leaving {
            self.core.metrics.count_runner_word("leaving");
        }
        if notice.rest_ms.is_some() {
            self.core.metrics.count_runner_word("rest");
        }
        if notice.limit.is_some() {
            self.core.metrics.count_runner_word("limit");
        }
        let runner = self.target.id.0.clone();
        let Notice { is_leaving, rest_ms, limit } = notice;
        let limit_per_s = match limit {
            Some(RateWord::Limited(rate)) => Some(rate.per_s()),
            _ => None,
        };
        let told = Decision::Told { runner, leaving: is_leaving, rest_ms, limit_per_s };
        self.job.trace.note(told);
        self.core.feed(Event::Noticed(self.key, notice));
    }

    /// What an answer says about its runner. A misdirected answer comes from another runner.
    fn notice(&self, status: StatusCode, facts: &AnswerFacts) -> Notice {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Notice::default();
        }
        let asks_for_rest = status == StatusCode::SERVICE_UNAVAILABLE;
        Notice {
            is_leaving: facts.is_leaving,
            rest_ms: facts.rest_ms.filter(|_| asks_for_rest),
            limit: self.limit_news(facts),
        }
    }

    /// What an answer says about the runner's rate limit. That there is no limit matters only if one is
    /// known, and only if it is the answer to this request.
    fn limit_news(&self, facts: &AnswerFacts) -> Option<RateWord> {
        let is_own = facts.id.is_some() && facts.id == self.job.facts.id;
        let is_limited = || self.core.read(|gateway| gateway.is_limited(&self.target.id));
        match facts.limit {
            RateWord::Unlimited if !is_own || !is_limited() => None,
            word => Some(word),
        }
    }

    async fn judge(&self, mut connection: HttpConnection, answer: Response<Incoming>) -> Outcome {
        let (head, mut body) = answer.into_parts();
        let facts = headers::read_answer(&head.headers);
        self.take_notice(self.notice(head.status, &facts));
        if let Some(outcome) = refused(head.status, &facts) {
            return outcome.into();
        }
        let other = facts.id.is_some() && facts.id != self.job.facts.id;
        if other || !facts.signed {
            return AttemptOutcome::Lost.into();
        }
        let headers = headers::without_hop_by_hop(&head.headers);
        if !head.status.is_server_error() {
            return Outcome::Answer(RunnerAnswer {
                status: head.status,
                headers,
                connection,
                body,
            });
        }
        let Ok(text) = connection.collect(&mut body, HELD_BYTES).await else {
            return AttemptOutcome::Lost.into();
        };
        let mut answer = Response::new(whole_body(text));
        *answer.status_mut() = head.status;
        *answer.headers_mut() = headers;
        Outcome::Failure { outcome: AttemptOutcome::Failed, answer: Some(answer) }
    }
}

/// The outcome if the runner refused the request.
fn refused(status: StatusCode, facts: &AnswerFacts) -> Option<AttemptOutcome> {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Some(AttemptOutcome::Misdirected);
    }
    facts.not_run.then_some(AttemptOutcome::Full)
}
