//! Forwards a runner's answer to the caller as it arrives.

use std::rc::Rc;
use std::time::Duration;

use account::Decision;
use bytes::Bytes;
use errors::{Code, Error, Result};
use fleet::Millis;
use futures_lite::{future, stream};
use gateway::{AttemptOutcome, RunnerTarget};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Method, Response, StatusCode};
use http_body::Frame;
use http_body_util::StreamBody;
use telemetry::MeasuredDuration;

use super::answer::AnswerBody;
use super::attempt::{broken_body_outcome, RunnerAnswer};
use super::attempts::{AnsweredAttempt, Attempts, AttemptsResult};
use super::core::Core;
use super::event_fault::EventFault;
use super::event_reader::{EventReader, ReadEvents};
use super::plain_answer::PlainAnswer;
use super::request::RequestContext;
use super::stream_end::StreamEnd;
use super::trace::RequestEnd;

/// Another runner is asked to resume a stream after a silence of this multiple of its target for the pause
/// between events.
const EVENT_SILENCE_FACTOR: f64 = 2.5;

/// After this many bytes of a stream, other tasks run.
const TURN_BYTES: usize = 64 * 1024;

/// An answer of a runner whose head has arrived.
pub struct StartedAnswer {
    /// The gateway.
    pub core: Core,
    /// The request.
    pub context: Rc<RequestContext>,
    /// The attempts of the request.
    pub attempts: Attempts,
    /// The runner that it comes from.
    pub target: Rc<RunnerTarget>,
    /// The answer.
    pub answer: RunnerAnswer,
}

/// What became of an answer whose head had arrived.
// It is moved once per answer; a box would cost more than it saves.
#[allow(clippy::large_enum_variant)]
pub enum Forwarded {
    /// The answer to the caller.
    Answer(Response<AnswerBody>),
    /// The answer was broken before the caller received any of it. The attempts go on.
    Broken(Attempts),
    /// It was not whole in time, and the attempts that went on beside it have a result.
    Replaced(Attempts, AttemptsResult),
}

impl StartedAnswer {
    /// Forwards the answer.
    pub async fn forward(self) -> Forwarded {
        self.record_start();
        let is_success = self.answer.status.is_success();
        if self.context.kind.is_stream() && is_success && self.may_have_body() {
            return Forwarded::Answer(self.forward_stream());
        }
        PlainAnswer::new(self).forward().await
    }

    /// Records that a runner started to answer.
    fn record_start(&self) {
        let after_ms = self.context.trace.age_ms();
        self.core.metrics.record_duration(MeasuredDuration::FirstByte, after_ms);
        let (runner, status) = (self.target.id.0.clone(), self.answer.status.as_u16());
        let ends_with_connection = self.answer.ends_with_connection;
        let answered = Decision::Answered { runner, status, after_ms, ends_with_connection };
        self.context.trace.add(answered);
    }

    /// Records that the answer is complete.
    pub fn finish(&self) {
        let answer = &self.answer;
        self.attempts.finish(match (answer.status.is_success(), answer.ends_with_connection) {
            (true, false) => AttemptOutcome::Finished,
            (true, true) => AttemptOutcome::EndedWithConnection,
            (false, _) => AttemptOutcome::Unsuccessful,
        });
        self.core
            .metrics
            .record_duration(MeasuredDuration::FullResponse, self.context.trace.age_ms());
        self.context.trace.end(RequestEnd::Complete, self.answer.status.as_u16(), None);
    }

    /// Whether an answer with this status to a request with this method may have a body.
    pub fn may_have_body(&self) -> bool {
        self.answer.status != StatusCode::NO_CONTENT && self.context.method != Method::HEAD
    }

    fn forward_stream(self) -> Response<AnswerBody> {
        let (status, headers) = (self.answer.status, self.answer.headers.clone());
        let reader = EventReader::new(self.context.caller.limits().event, self.first_id_after());
        // The relay is not polled while the caller does not read, and no runner may be occupied longer than
        // the request's time limit.
        self.context
            .caller
            .set_stream_deadline(Some(self.core.clock.instant(self.context.answer_deadline)));
        let now = self.core.clock.now();
        let relay = StreamRelay {
            current: self,
            runner: RunnerState::Sending,
            reader,
            silent_since: now,
            partial: 0,
            turn_bytes: 0,
            ended: false,
        };
        let frames = stream::unfold(relay, |mut relay| async move {
            let bytes = relay.next().await?;
            Some((bytes.map(Frame::data), relay))
        });
        answer_with(Box::pin(StreamBody::new(frames)), status, headers)
    }

    /// The id that the first event has to exceed, if the caller resumes a stream.
    fn first_id_after(&self) -> Option<u64> {
        let last_event = self.context.request_headers.last_event.as_deref();
        last_event.filter(|_| self.context.kind.is_repeatable())?.parse().ok()
    }
}

/// An answer with the status and headers of a runner's answer. The length header is removed, since a stream
/// may resume at another runner.
pub fn answer_with(
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
    /// The state of the current runner.
    runner: RunnerState,
    /// Yields the events that are forwarded.
    reader: EventReader,
    /// Since when the next event is waited for.
    silent_since: Millis,
    /// The bytes of an event that is not complete, as they are accounted for.
    partial: usize,
    /// How many bytes were read since other tasks last ran.
    turn_bytes: usize,
    ended: bool,
}

/// The state of the runner whose answer is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunnerState {
    /// It sends events.
    Sending,
    /// It is silent and may go on. Another runner may be asked to resume the stream.
    Stalled,
    /// Its connection is closed. Another runner has to resume the stream.
    Lost,
}

/// An event on the way from the runners to the caller.
// It is moved once per event; a box would cost more than it saves.
#[allow(clippy::large_enum_variant)]
enum RelayEvent {
    /// Bytes of the current runner.
    Bytes(Bytes),
    /// The end of its answer.
    End,
    /// Its connection has ended within its answer, with this outcome.
    Cut(AttemptOutcome),
    /// It has been silent for too long.
    Stalled,
    /// The result of attempts at other runners.
    Attempts(AttemptsResult),
    /// The time limit of the request has expired.
    Late,
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        self.current.context.caller.set_stream_deadline(None);
        self.reserve_partial(0);
    }
}

impl StreamRelay {
    /// The next events. `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes>> {
        // The runner waits while the caller does not read what came before.
        self.silent_since = self.current.core.clock.now();
        while !self.ended {
            self.end_long_turn().await;
            match self.next_event().await {
                RelayEvent::Bytes(bytes) => {
                    let events = self.read_events(&bytes);
                    if !events.is_empty() {
                        return Some(Ok(events));
                    }
                }
                RelayEvent::End => match self.early_end() {
                    Some((end, outcome)) => {
                        self.note_end(end);
                        self.lose_runner(outcome);
                    }
                    None => self.finish(),
                },
                RelayEvent::Cut(outcome) => {
                    self.note_end(StreamEnd::Cut);
                    self.lose_runner(outcome);
                }
                RelayEvent::Stalled => self.note_silence(),
                RelayEvent::Attempts(AttemptsResult::Answered(answered)) => {
                    self.resume(answered);
                }
                RelayEvent::Attempts(AttemptsResult::GaveUp(Code::MalformedAnswer)) => {
                    return Some(Err(self.abort(Code::MalformedAnswer).await));
                }
                RelayEvent::Attempts(
                    AttemptsResult::Refused { .. } | AttemptsResult::GaveUp(_),
                ) => return Some(Err(self.abort(Code::CutShort).await)),
                RelayEvent::Late => return Some(Err(self.abort(Code::TimedOut).await)),
            }
        }
        None
    }

    /// Lets other tasks run if many bytes were read: neither runner nor caller may ever have to be waited for.
    async fn end_long_turn(&mut self) {
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            future::yield_now().await;
        }
    }

    /// How the answer that has ended was broken off, if it was, and with which outcome: within an event, or without one.
    /// Only an answer with a length or chunks may continue a stream without an event, since it shows that it is whole.
    fn early_end(&self) -> Option<(StreamEnd, AttemptOutcome)> {
        if self.reader.has_partial() {
            return Some((StreamEnd::WithinEvent, AttemptOutcome::Cut));
        }
        if self.current.answer.ends_with_connection {
            let is_empty = !self.reader.has_events();
            return is_empty.then_some((StreamEnd::WithoutEvent, AttemptOutcome::Cut));
        }
        let is_empty = self.reader.last_id().is_none();
        is_empty.then_some((StreamEnd::WithoutEvent, AttemptOutcome::Malformed))
    }

    /// Ends a stream that is complete.
    fn finish(&mut self) {
        self.note_sending();
        self.ended = true;
        self.current.context.caller.set_stream_deadline(None);
        self.current.finish();
    }

    /// The events that bytes of the runner complete. One that sends anything else is left.
    fn read_events(&mut self, bytes: &Bytes) -> Bytes {
        self.turn_bytes += bytes.len();
        let ReadEvents { events, fault } = self.reader.push(bytes);
        if !events.is_empty() {
            self.note_sending();
        }
        let partial = if fault.is_some() { 0 } else { self.reader.partial_bytes() };
        let has_memory = self.reserve_partial(partial);
        if let Some(fault) = fault.or((!has_memory).then_some(EventFault::TooLarge)) {
            self.current.core.metrics.count_malformed_answer("stream", fault.name());
            self.note_end(StreamEnd::Fault(fault));
            self.lose_runner(AttemptOutcome::Malformed);
        }
        events
    }

    /// Accounts for the bytes of an event that is not complete. Returns whether there is memory for them.
    fn reserve_partial(&mut self, bytes: usize) -> bool {
        if std::mem::replace(&mut self.partial, bytes) == bytes {
            return true;
        }
        self.current.context.caller.reserve_event(bytes).is_ok()
    }

    /// Records how the current runner's part ended.
    fn note_end(&self, end: StreamEnd) {
        let StartedAnswer { context, target, answer, .. } = &self.current;
        context.trace.add(Decision::BrokeOff {
            runner: target.id.0.clone(),
            end: end.name().into(),
            ends_with_connection: answer.ends_with_connection,
            events: self.reader.events(),
            last_id: self.reader.last_id(),
        });
    }

    async fn next_event(&mut self) -> RelayEvent {
        let runner = self.runner;
        let now = self.current.core.clock.now();
        let left = Duration::from_millis(self.current.context.answer_deadline.since(now).0);
        // Bytes may be there at every call, so that the timer below is never polled.
        if left.is_zero() {
            return RelayEvent::Late;
        }
        let silent = Duration::from_millis(now.since(self.silent_since).0);
        let silence = self.silence_limit().map(|it| it.saturating_sub(silent));
        let silence = silence.filter(|it| *it < left);
        let last_event = self.last_event();
        let StartedAnswer { attempts, answer, context, target, .. } = &mut self.current;
        let RunnerAnswer { connection, body, .. } = answer;
        let bytes = async {
            if runner == RunnerState::Lost {
                return future::pending().await;
            }
            match connection.next_bytes(body).await {
                Some(Ok(bytes)) => RelayEvent::Bytes(bytes),
                Some(Err(error)) => {
                    let trace = &context.trace;
                    RelayEvent::Cut(broken_body_outcome(trace, target, "stream", &error))
                }
                None => RelayEvent::End,
            }
        };
        let others = async {
            if runner == RunnerState::Sending {
                return future::pending().await;
            }
            RelayEvent::Attempts(attempts.next(last_event.as_deref()).await)
        };
        let timer = async {
            uptime::sleep(silence.unwrap_or(left)).await;
            silence.map_or(RelayEvent::Late, |_| RelayEvent::Stalled)
        };
        future::or(bytes, future::or(others, timer)).await
    }

    /// How long the runner may send no event before another one is asked, if it is sending.
    fn silence_limit(&self) -> Option<Duration> {
        let context = &self.current.context;
        let is_watched = self.runner == RunnerState::Sending && context.kind.is_repeatable();
        let silent_ms = (context.max_event_gap_ms as f64 * EVENT_SILENCE_FACTOR) as u64;
        is_watched.then(|| Duration::from_millis(silent_ms))
    }

    /// The event after which another runner would resume the stream.
    fn last_event(&self) -> Option<String> {
        if self.runner == RunnerState::Sending {
            return None;
        }
        let named = self.current.context.request_headers.last_event.as_deref();
        let received = self.reader.last_id().map(|it| it.to_string());
        received.or(named.filter(|it| !it.is_empty()).map(str::to_owned))
    }

    /// Records that the runner sends events, which decides for it if it was silent.
    fn note_sending(&mut self) {
        if self.runner == RunnerState::Stalled {
            self.current.attempts.keep(&self.current.target);
            self.runner = RunnerState::Sending;
        }
    }

    /// Asks another runner to resume the stream, while this one may go on.
    fn note_silence(&mut self) {
        let silent_ms = self.silence_limit().map_or(0, |it| it.as_millis() as u64);
        self.current.context.trace.add_silence(&self.current.target, silent_ms, true);
        self.runner = RunnerState::Stalled;
        self.current.attempts.stall();
    }

    /// Ends the part of a runner whose connection has ended.
    fn lose_runner(&mut self, outcome: AttemptOutcome) {
        self.note_failure(outcome);
        self.current.answer.connection.close();
        let was_silent = self.runner == RunnerState::Stalled;
        self.current.attempts.end(&self.current.target, was_silent, outcome);
        self.runner = RunnerState::Lost;
    }

    fn note_failure(&self, outcome: AttemptOutcome) {
        let trace = &self.current.context.trace;
        trace.add_failure(&self.current.target, outcome, trace.age_ms());
    }

    /// Ends the stream with an error, so that it does not look complete.
    async fn abort(&mut self, code: Code) -> Error {
        self.ended = true;
        // The HTTP library sends the events so far only when it has to wait for more.
        future::yield_now().await;
        self.current.context.trace.end(
            RequestEnd::Cut,
            self.current.answer.status.as_u16(),
            Some(code),
        );
        Error::new(code, "the stream cannot continue")
    }

    /// Resumes with the answer of another runner, after the last complete event.
    fn resume(&mut self, answered: AnsweredAttempt) {
        if !answered.answer.status.is_success() {
            self.current.attempts.reject(answered);
            return;
        }
        if self.runner == RunnerState::Stalled {
            self.note_failure(AttemptOutcome::Cut);
        }
        self.current.attempts.accept(&answered);
        let after_event = self.reader.last_id().map(|it| it.to_string()).unwrap_or_default();
        self.current.context.trace.add(Decision::Resumed { after_event });
        self.current.target = answered.target;
        self.current.answer = answered.answer;
        self.reader.begin_answer();
        self.reserve_partial(0);
        self.silent_since = self.current.core.clock.now();
        self.runner = RunnerState::Sending;
    }
}
