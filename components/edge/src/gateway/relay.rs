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
use telemetry::MeasuredDuration;

use super::answer::{error_answer, full_body, AnswerBody};
use super::attempt::{Attempt, AttemptResult, RunnerAnswer};
use super::core::{Core, RequestHandle};
use super::event_splitter::EventSplitter;
use super::request::{with_request_deadline, RequestContext};
use super::trace::RequestEnd;

/// A stream resumes at another runner after a pause between events of this multiple of its target.
const GAP_TIMEOUT_FACTOR: f64 = 2.5;

/// An answer of a runner whose head has arrived.
pub struct StartedAnswer {
    /// The gateway.
    pub core: Core,
    /// The request.
    pub context: Rc<RequestContext>,
    /// The reducer's registration of the request.
    pub handle: RequestHandle,
    /// The runner that it comes from.
    pub target: RunnerTarget,
    /// The answer.
    pub answer: RunnerAnswer,
}

impl StartedAnswer {
    /// Forwards the answer.
    pub async fn forward(self) -> Response<AnswerBody> {
        self.core.dispatch(Event::Attempt(self.handle.key, AttemptOutcome::Answered));
        self.record_start();
        if self.context.kind.is_stream() && self.answer.status.is_success() {
            return self.forward_stream();
        }
        self.forward_plain().await
    }

    /// Records that a runner started to answer.
    fn record_start(&self) {
        let after_ms = self.context.trace.age_ms();
        self.core.metrics.record_duration(MeasuredDuration::FirstByte, after_ms);
        let (runner, status) = (self.target.id.0.clone(), self.answer.status.as_u16());
        self.context.trace.add(Decision::Answered { runner, status, after_ms });
    }

    /// Records that the answer is complete.
    fn finish(&self) {
        self.core.dispatch(Event::Attempt(self.handle.key, AttemptOutcome::Finished));
        self.core
            .metrics
            .record_duration(MeasuredDuration::FullResponse, self.context.trace.age_ms());
        self.context.trace.end(RequestEnd::Complete, self.answer.status.as_u16(), None);
    }

    /// Buffers a plain answer until it is complete, so that the caller never receives a truncated one.
    async fn forward_plain(mut self) -> Response<AnswerBody> {
        let max_bytes = self.context.caller.limits().answer;
        let RunnerAnswer { connection, body, .. } = &mut self.answer;
        let collecting = connection.collect(body, max_bytes);
        let collected =
            with_request_deadline(&self.core, self.context.answer_deadline, collecting).await;
        let id = self.context.request_headers.id.as_deref();
        match collected {
            Some(Ok(text)) => {
                self.finish();
                answer_with(full_body(text), self.answer.status, self.answer.headers)
            }
            Some(Err(error)) => {
                self.context.trace.end(RequestEnd::Unknown, 502, Some(error.code));
                error_answer(StatusCode::BAD_GATEWAY, id, Code::CutShort)
            }
            None => {
                self.context.trace.end(RequestEnd::Unknown, 504, Some(Code::TimedOut));
                error_answer(StatusCode::GATEWAY_TIMEOUT, id, Code::TimedOut)
            }
        }
    }

    fn forward_stream(self) -> Response<AnswerBody> {
        let (status, headers) = (self.answer.status, self.answer.headers.clone());
        let splitter = EventSplitter::new(self.context.caller.limits().answer);
        // The relay is not polled while the caller does not read, and no runner may be occupied longer than
        // the request's time limit.
        self.context
            .caller
            .set_stream_deadline(Some(self.core.clock.instant(self.context.answer_deadline)));
        let relay = StreamRelay { current: self, splitter, ended: false };
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
struct StreamRelay {
    /// The answer of the current runner.
    current: StartedAnswer,
    splitter: EventSplitter,
    ended: bool,
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        self.current.context.caller.set_stream_deadline(None);
    }
}

impl StreamRelay {
    /// The next events. `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes>> {
        while !self.ended {
            match self.read_runner().await {
                ReadResult::Bytes(bytes) => {
                    let events = self.split_events(&bytes);
                    if !events.is_empty() {
                        return Some(Ok(events));
                    }
                }
                ReadResult::End if !self.splitter.has_partial() => {
                    self.ended = true;
                    self.current.context.caller.set_stream_deadline(None);
                    self.current.finish();
                }
                ReadResult::Late => {
                    return Some(Err(self.abort(Code::TimedOut)));
                }
                // A stream that ends within an event was truncated, however its connection ended.
                ReadResult::Cut | ReadResult::End => {
                    if let Err(code) = self.resume().await {
                        return Some(Err(self.abort(code)));
                    }
                }
            }
        }
        None
    }

    /// Bytes of a stream that cannot be resumed are forwarded unchanged.
    fn split_events(&mut self, bytes: &Bytes) -> Bytes {
        if self.current.context.kind.is_repeatable() {
            self.splitter.push(bytes)
        } else {
            bytes.clone()
        }
    }

    async fn read_runner(&mut self) -> ReadResult {
        let now = self.current.core.clock.now();
        let left = Duration::from_millis(self.current.context.answer_deadline.since(now).0);
        let gap = Duration::from_millis(
            (self.current.context.max_event_gap_ms as f64 * GAP_TIMEOUT_FACTOR) as u64,
        );
        let may_resume = self.current.context.kind.is_repeatable() && gap < left;
        let wait = if may_resume { gap } else { left };
        let RunnerAnswer { connection, body, .. } = &mut self.current.answer;
        let next = future::or(async { Some(connection.next_bytes(body).await) }, async {
            uptime::sleep(wait).await;
            None
        })
        .await;
        match next {
            Some(Some(Ok(bytes))) => ReadResult::Bytes(bytes),
            Some(Some(Err(_))) => ReadResult::Cut,
            Some(None) => ReadResult::End,
            None if may_resume => {
                let silent_ms = gap.as_millis() as u64;
                self.current.context.trace.add_silence(&self.current.target, silent_ms, true);
                ReadResult::Cut
            }
            None => ReadResult::Late,
        }
    }

    /// Ends the stream with an error, so that it does not look complete.
    fn abort(&mut self, code: Code) -> Error {
        self.ended = true;
        self.current.context.trace.end(
            RequestEnd::Cut,
            self.current.answer.status.as_u16(),
            Some(code),
        );
        Error::new(code, "the stream cannot continue")
    }

    /// Resumes at another runner, after the last complete event.
    async fn resume(&mut self) -> Result<(), Code> {
        self.splitter.discard_partial();
        let mut outcome = AttemptOutcome::Cut;
        let mut attempts = 1;
        self.current.context.trace.add_failure(
            &self.current.target,
            outcome,
            self.current.context.trace.age_ms(),
        );
        loop {
            self.current.core.dispatch(Event::Attempt(self.current.handle.key, outcome));
            let step = with_request_deadline(
                &self.current.core,
                self.current.context.answer_deadline,
                self.current.handle.next_step(),
            )
            .await
            .flatten();
            let Some(NextStep::Send(target)) = step else {
                return Err(Code::CutShort);
            };
            attempts += 1;
            self.current.context.trace.add_choice(&target, attempts);
            let started_ms = self.current.context.trace.age_ms();
            outcome = match self.attempt(&target).await.ok_or(Code::TimedOut)? {
                AttemptResult::Answer(answer) if answer.status.is_success() => {
                    self.switch_runner(target, answer);
                    return Ok(());
                }
                AttemptResult::Answer(_) => AttemptOutcome::Failed,
                AttemptResult::Failure { outcome, .. } => outcome,
            };
            self.current.context.trace.add_failure(
                &target,
                outcome,
                self.current.context.trace.age_ms() - started_ms,
            );
        }
    }

    /// Asks a runner to resume the stream. `None` if the time limit of the request expires first.
    async fn attempt(&self, target: &RunnerTarget) -> Option<AttemptResult> {
        let last_event =
            self.splitter.last_id().or(self.current.context.request_headers.last_event.as_deref());
        let attempt = Attempt {
            core: &self.current.core,
            context: &self.current.context,
            key: self.current.handle.key,
            target,
        };
        let mut sent = true;
        with_request_deadline(
            &self.current.core,
            self.current.context.answer_deadline,
            attempt.run(last_event, &mut sent),
        )
        .await
    }

    fn switch_runner(&mut self, target: RunnerTarget, answer: RunnerAnswer) {
        self.current
            .core
            .dispatch(Event::Attempt(self.current.handle.key, AttemptOutcome::Answered));
        let after_event = self.splitter.last_id().unwrap_or("").to_owned();
        self.current.context.trace.add(Decision::Resumed { after_event });
        self.current.answer = answer;
        self.current.target = target;
    }
}

/// The result of a read from a runner.
enum ReadResult {
    /// Bytes.
    Bytes(Bytes),
    /// The end of a complete answer.
    End,
    /// The answer was truncated, or paused for too long.
    Cut,
    /// The time limit of the request has expired.
    Late,
}
