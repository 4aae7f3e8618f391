//! Forwards a runner's answer to the caller as it arrives.

use std::rc::Rc;
use std::time::Duration;

use account::Decision;
use bytes::Bytes;
use errors::{Code, Error, Result};
use futures_lite::{future, stream};
use gateway::{AttemptOutcome, Event, NextStep, RunnerTarget};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Response, StatusCode};
use http_body::Frame;
use http_body_util::StreamBody;
use telemetry::Span;

use super::answer::{own_answer, whole_body, AnswerBody};
use super::attempt::{Attempt, Outcome, RunnerAnswer};
use super::core::{Core, Ticket};
use super::event_splitter::EventSplitter;
use super::request::{before, Job};
use super::trace::Ending;

/// A stream resumes at another runner after a pause between events of this multiple of its target.
const GAP_PATIENCE: f64 = 2.5;

/// An answer of a runner whose head has arrived.
pub struct Begun {
    /// The gateway.
    pub core: Core,
    /// The request.
    pub job: Rc<Job>,
    /// The reducer's registration of the request.
    pub ticket: Ticket,
    /// The runner that it comes from.
    pub target: RunnerTarget,
    /// The answer.
    pub answer: RunnerAnswer,
}

impl Begun {
    /// Forwards the answer.
    pub async fn hand_on(self) -> Response<AnswerBody> {
        self.core.feed(Event::Attempt(self.ticket.key, AttemptOutcome::Answered));
        self.note();
        if self.job.kind.is_stream() && self.answer.status.is_success() {
            return self.stream();
        }
        self.plain().await
    }

    /// Records that a runner started to answer.
    fn note(&self) {
        let after_ms = self.job.trace.age_ms();
        self.core.metrics.note_span(Span::First, after_ms);
        let (runner, status) = (self.target.id.0.clone(), self.answer.status.as_u16());
        self.job.trace.note(Decision::Answered { runner, status, after_ms });
    }

    /// Records that the answer is complete.
    fn finish(&self) {
        self.core.feed(Event::Attempt(self.ticket.key, AttemptOutcome::Finished));
        self.core.metrics.note_span(Span::Whole, self.job.trace.age_ms());
        self.job.trace.end(Ending::Whole, self.answer.status.as_u16(), None);
    }

    /// Buffers a plain answer until it is complete, so that the caller never receives a truncated one.
    async fn plain(mut self) -> Response<AnswerBody> {
        let most = self.job.caller.limits().answer;
        let RunnerAnswer { connection, body, .. } = &mut self.answer;
        let collecting = connection.collect(body, most);
        let collected = before(&self.core, self.job.limit, collecting).await;
        let id = self.job.facts.id.as_deref();
        match collected {
            Some(Ok(text)) => {
                self.finish();
                answer_with(whole_body(text), self.answer.status, self.answer.headers)
            }
            Some(Err(error)) => {
                self.job.trace.end(Ending::Unknown, 502, Some(error.code));
                own_answer(StatusCode::BAD_GATEWAY, id, Code::CutShort)
            }
            None => {
                self.job.trace.end(Ending::Unknown, 504, Some(Code::TimedOut));
                own_answer(StatusCode::GATEWAY_TIMEOUT, id, Code::TimedOut)
            }
        }
    }

    fn stream(self) -> Response<AnswerBody> {
        let (status, headers) = (self.answer.status, self.answer.headers.clone());
        let cutter = EventSplitter::new(self.job.caller.limits().answer);
        // The relay is not polled while the caller does not read, and no runner may be occupied longer than
        // the request's time limit.
        self.job.caller.set_stream_deadline(Some(self.core.clock.instant(self.job.limit)));
        let relay = Relay { begun: self, cutter, ended: false };
        let frames = stream::unfold(relay, |mut relay| async move {
            let bytes = relay.next().await?;
            Some((bytes.map(Frame::data), relay))
        });
        answer_with(Box::pin(StreamBody::new(frames)), status, headers)
    }
}

/// An answer with the status and headers of a runner's answer. The length header is removed, since a stream
/// may resume at another runner.
fn answer_with(
    body: AnswerBody,
    status: StatusCode,
    mut headers: HeaderMap,
) -> Response<AnswerBody> {
    headers.remove(CONTENT_LENGTH);
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// A stream of events that is being forwarded.
struct Relay {
    /// The answer of the current runner.
    begun: Begun,
    cutter: EventSplitter,
    ended: bool,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.begun.job.caller.set_stream_deadline(None);
    }
}

impl Relay {
    /// The next events. `None` at the end of the stream.
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
                    self.begun.job.caller.set_stream_deadline(None);
                    self.begun.finish();
                }
                Read::Late => {
                    return Some(Err(self.break_off(Code::TimedOut)));
                }
                // A stream that ends within an event was truncated, however its connection ended.
                Read::Cut | Read::End => {
                    if let Err(code) = self.resume().await {
                        return Some(Err(self.break_off(code)));
                    }
                }
            }
        }
        None
    }

    /// Bytes of a stream that cannot be resumed are forwarded unchanged.
    fn take(&mut self, bytes: &Bytes) -> Bytes {
        if self.begun.job.kind.is_repeatable() {
            self.cutter.push(bytes)
        } else {
            bytes.clone()
        }
    }

    async fn read(&mut self) -> Read {
        let now = self.begun.core.clock.now();
        let left = Duration::from_millis(self.begun.job.limit.since(now).0);
        let gap = Duration::from_millis((self.begun.job.gap_aim_ms as f64 * GAP_PATIENCE) as u64);
        let may_resume = self.begun.job.kind.is_repeatable() && gap < left;
        let wait = if may_resume { gap } else { left };
        let RunnerAnswer { connection, body, .. } = &mut self.begun.answer;
        let next = future::or(async { Some(connection.next_bytes(body).await) }, async {
            uptime::sleep(wait).await;
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

    /// Ends the stream with an error, so that it does not look complete.
    fn break_off(&mut self, code: Code) -> Error {
        self.ended = true;
        self.begun.job.trace.end(Ending::Cut, self.begun.answer.status.as_u16(), Some(code));
        Error::new(code, "the stream cannot go on")
    }

    /// Resumes at another runner, after the last complete event.
    async fn resume(&mut self) -> Result<(), Code> {
        self.cutter.forget_partial();
        let mut outcome = AttemptOutcome::Cut;
        let mut attempts = 1;
        self.begun.job.trace.fail(&self.begun.target, outcome, self.begun.job.trace.age_ms());
        loop {
            self.begun.core.feed(Event::Attempt(self.begun.ticket.key, outcome));
            let step =
                before(&self.begun.core, self.begun.job.limit, self.begun.ticket.next_step())
                    .await
                    .flatten();
            let Some(NextStep::Send(target)) = step else {
                return Err(Code::CutShort);
            };
            attempts += 1;
            self.begun.job.trace.choose(&target, attempts);
            let begun = self.begun.job.trace.age_ms();
            outcome = match self.attempt(&target).await.ok_or(Code::TimedOut)? {
                Outcome::Answer(answer) if answer.status.is_success() => {
                    self.go_on(target, answer);
                    return Ok(());
                }
                Outcome::Answer(_) => AttemptOutcome::Failed,
                Outcome::Failure { outcome, .. } => outcome,
            };
            self.begun.job.trace.fail(&target, outcome, self.begun.job.trace.age_ms() - begun);
        }
    }

    /// Asks a runner to resume the stream. `None` if the time limit of the request expires first.
    async fn attempt(&self, target: &RunnerTarget) -> Option<Outcome> {
        let last = self.cutter.last_id().or(self.begun.job.facts.last_event.as_deref());
        let attempt = Attempt {
            core: &self.begun.core,
            job: &self.begun.job,
            key: self.begun.ticket.key,
            target,
        };
        let mut sent = true;
        before(&self.begun.core, self.begun.job.limit, attempt.run(last, &mut sent)).await
    }

    fn go_on(&mut self, target: RunnerTarget, answer: RunnerAnswer) {
        self.begun.core.feed(Event::Attempt(self.begun.ticket.key, AttemptOutcome::Answered));
        let after_event = self.cutter.last_id().unwrap_or("").to_owned();
        self.begun.job.trace.note(Decision::Resumed { after_event });
        self.begun.answer = answer;
        self.begun.target = target;
    }
}

/// The result of a read from a runner.
enum Read {
    /// Bytes.
    Bytes(Bytes),
    /// The end of a complete answer.
    End,
    /// The answer was truncated, or paused for too long.
    Cut,
    /// The time limit of the request has expired.
    Late,
}
