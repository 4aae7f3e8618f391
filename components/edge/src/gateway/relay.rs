//! Hands a runner's answer on to the caller as it arrives.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use errors::{Code, Error, Result};
use futures_lite::{future, stream};
use gateway::{AttemptOutcome, Event, NextStep};
use http::header::CONTENT_LENGTH;
use http::{Response, StatusCode};
use http_body::Frame;
use http_body_util::StreamBody;

use super::answer::{own_answer, whole_body, AnswerBody};
use super::attempt::{Attempt, Outcome, RunnerAnswer};
use super::core::{Core, Ticket};
use super::events::EventCutter;
use super::request::{before, Job};

/// The largest plain answer that is held until it is whole, in bytes. The caller then never sees
/// one that was cut.
const HELD_BYTES: usize = 256 * 1024;
/// How many times its aim a pause between events may last before the stream goes on elsewhere.
const GAP_PATIENCE: f64 = 2.5;

/// Hands on an answer whose head arrived.
pub async fn answer(
    core: Core,
    job: Rc<Job>,
    ticket: Ticket,
    begun: RunnerAnswer,
) -> Response<AnswerBody> {
    core.feed(Event::Attempt(ticket.key, AttemptOutcome::Answered));
    if job.kind.is_stream() && begun.status.is_success() {
        return stream_answer(core, job, ticket, begun);
    }
    plain_answer(core, job, ticket, begun).await
}

/// Holds a plain answer until it is whole.
async fn plain_answer(
    core: Core,
    job: Rc<Job>,
    ticket: Ticket,
    begun: RunnerAnswer,
) -> Response<AnswerBody> {
    let RunnerAnswer { status, headers, mut exchange, mut body } = begun;
    let collected = before(&core, job.limit, exchange.collect(&mut body, HELD_BYTES)).await;
    let id = job.facts.id.as_deref();
    match collected {
        Some(Ok(text)) => {
            core.feed(Event::Attempt(ticket.key, AttemptOutcome::Finished));
            let mut answer = Response::new(whole_body(text));
            *answer.status_mut() = status;
            *answer.headers_mut() = headers;
            answer.headers_mut().remove(CONTENT_LENGTH);
            answer
        }
        Some(Err(error)) => {
            core.metrics.count_refusal(error.code);
            own_answer(StatusCode::BAD_GATEWAY, id, Code::CutShort)
        }
        None => {
            core.metrics.count_refusal(Code::TimedOut);
            own_answer(StatusCode::GATEWAY_TIMEOUT, id, Code::TimedOut)
        }
    }
}

fn stream_answer(
    core: Core,
    job: Rc<Job>,
    ticket: Ticket,
    begun: RunnerAnswer,
) -> Response<AnswerBody> {
    let status = begun.status;
    let mut headers = begun.headers.clone();
    // The stream may go on at another runner, so its length is not known.
    headers.remove(CONTENT_LENGTH);
    let relay = Relay { core, job, ticket, begun, cutter: EventCutter::default(), ended: false };
    let frames = stream::unfold(relay, |mut relay| async move {
        let bytes = relay.next().await?;
        Some((bytes.map(Frame::data), relay))
    });
    let body: AnswerBody = Box::pin(StreamBody::new(frames));
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// A stream of events on its way.
struct Relay {
    core: Core,
    job: Rc<Job>,
    ticket: Ticket,
    begun: RunnerAnswer,
    cutter: EventCutter,
    ended: bool,
}

impl Relay {
    /// The next events. `None` when the stream is whole.
    async fn next(&mut self) -> Option<Result<Bytes>> {
        while !self.ended {
            match self.read().await {
                Read::Bytes(bytes) => {
                    let events = self.take(&bytes);
                    if !events.is_empty() {
                        return Some(Ok(events));
                    }
                }
                Read::End if !self.cutter.has_partial() => {
                    self.ended = true;
                    self.core.feed(Event::Attempt(self.ticket.key, AttemptOutcome::Finished));
                }
                Read::Late => {
                    self.ended = true;
                    return Some(Err(Error::new(Code::TimedOut, "the time of the route is over")));
                }
                // A stream that ends within an event was cut, however its connection ended.
                Read::Cut | Read::End => {
                    if let Err(error) = self.resume().await {
                        self.ended = true;
                        return Some(Err(error));
                    }
                }
            }
        }
        None
    }

    /// Bytes of a stream that cannot be resumed go on as they are.
    fn take(&mut self, bytes: &Bytes) -> Bytes {
        if self.job.kind.is_repeatable() {
            self.cutter.push(bytes)
        } else {
            bytes.clone()
        }
    }

    async fn read(&mut self) -> Read {
        let now = self.core.clock.now();
        let left = Duration::from_millis(self.job.limit.since(now).0);
        let gap = Duration::from_millis((self.job.gap_aim_ms as f64 * GAP_PATIENCE) as u64);
        let may_resume = self.job.kind.is_repeatable() && gap < left;
        let wait = if may_resume { gap } else { left };
        let RunnerAnswer { exchange, body, .. } = &mut self.begun;
        let next = future::or(async { Some(exchange.next(body).await) }, async {
            Timer::after(wait).await;
            None
        })
        .await;
        match next {
            Some(Some(Ok(bytes))) => Read::Bytes(bytes),
            Some(Some(Err(_))) => Read::Cut,
            Some(None) => Read::End,
            None if may_resume => Read::Cut,
            None => Read::Late,
        }
    }

    /// Goes on at another runner, behind the last whole event.
    async fn resume(&mut self) -> Result<()> {
        self.cutter.forget_partial();
        let mut outcome = AttemptOutcome::Cut;
        loop {
            self.core.feed(Event::Attempt(self.ticket.key, outcome));
            let step = before(&self.core, self.job.limit, self.ticket.next_step()).await.flatten();
            let Some(NextStep::Send(target)) = step else {
                return Err(Error::new(Code::CutShort, "the stream cannot go on"));
            };
            let last =
                self.cutter.last_id().map(str::to_owned).or(self.job.facts.last_event.clone());
            let attempt = Attempt { core: &self.core, job: &self.job, target: &target };
            let mut sent = true;
            let run = attempt.run(last.as_deref(), &mut sent);
            match before(&self.core, self.job.limit, run).await {
                Some(Outcome::Answer(begun)) if begun.status.is_success() => {
                    self.core.feed(Event::Attempt(self.ticket.key, AttemptOutcome::Answered));
                    self.begun = begun;
                    return Ok(());
                }
                Some(Outcome::Failure { outcome: failed, .. }) => outcome = failed,
                Some(Outcome::Answer(_)) => outcome = AttemptOutcome::Failed,
                None => return Err(Error::new(Code::TimedOut, "the time of the route is over")),
            }
        }
    }
}

/// What was read from a runner.
enum Read {
    /// Bytes.
    Bytes(Bytes),
    /// The end of a whole answer.
    End,
    /// The answer broke off, or nothing came for too long.
    Cut,
    /// The time that the request may be held is over.
    Late,
}
