//! Buffers a plain answer until it is whole, so that the caller never receives a truncated one.

use std::time::Duration;

use bytes::Bytes;
use errors::{Code, Error};
use futures_lite::future;
use gateway::AttemptOutcome;
use http::{Response, StatusCode};
use http_body::Body;
use uptime::Instant;

use super::answer::{error_answer, full_body, AnswerBody};
use super::attempt::{broken_body_outcome, silence_limit, RunnerAnswer};
use super::attempts::AttemptsResult;
use super::relay::{answer_with, Forwarded, StartedAnswer};
use super::request::with_request_deadline;
use super::trace::RequestEnd;

/// A plain answer that is being read.
pub struct PlainAnswer {
    current: StartedAnswer,
    /// Its body so far.
    body: Vec<u8>,
    /// When its head arrived.
    begun_at: Instant,
    /// When bytes of it arrived last.
    received_at: Instant,
    /// Whether another runner may be asked, because this one is silent or too slow. It may go on.
    stalled: bool,
}

/// What happens while a plain answer is read.
// It is moved once per frame; a box would cost more than it saves.
#[allow(clippy::large_enum_variant)]
enum PlainEvent {
    Bytes(Bytes),
    End,
    /// The rest of the body cannot be read.
    Broken(Error),
    /// The runner has been silent for too long.
    Silent,
    /// The result of attempts at other runners.
    Attempts(AttemptsResult),
}

impl PlainAnswer {
    /// An answer whose head has arrived.
    pub fn new(current: StartedAnswer) -> Self {
        let now = Instant::now();
        Self { current, body: Vec::new(), begun_at: now, received_at: now, stalled: false }
    }

    /// Reads the answer and forwards it.
    pub async fn forward(mut self) -> Forwarded {
        if self.current.answer.body.size_hint().lower() > self.max_bytes() as u64 {
            return Forwarded::Answer(self.fail_too_large());
        }
        loop {
            let (core, deadline) =
                (self.current.core.clone(), self.current.context.answer_deadline);
            match with_request_deadline(&core, deadline, self.next_event()).await {
                None => return Forwarded::Answer(self.fail_late()),
                Some(PlainEvent::Bytes(bytes)) => {
                    self.body.extend_from_slice(&bytes);
                    self.received_at = Instant::now();
                    if self.body.len() > self.max_bytes() {
                        let error = Error::new(Code::TooLarge, "the answer is too large");
                        return self.lose(&error);
                    }
                    if self.is_too_slow() {
                        self.stall();
                    }
                }
                Some(PlainEvent::End) if self.body.is_empty() && self.needs_body() => {
                    return self.lose(&Error::new(Code::CutShort, "the answer has no body"));
                }
                Some(PlainEvent::End) => return Forwarded::Answer(self.finish()),
                Some(PlainEvent::Broken(error)) => return self.lose(&error),
                Some(PlainEvent::Silent) => self.stall(),
                Some(PlainEvent::Attempts(result)) => return self.leave(result),
            }
        }
    }

    async fn next_event(&mut self) -> PlainEvent {
        let silence = self.silence_left();
        let stalled = self.stalled;
        let StartedAnswer { attempts, answer, .. } = &mut self.current;
        let RunnerAnswer { connection, body, .. } = answer;
        let bytes = async {
            match connection.next_bytes(body).await {
                Some(Ok(bytes)) => PlainEvent::Bytes(bytes),
                Some(Err(error)) => PlainEvent::Broken(error),
                None => PlainEvent::End,
            }
        };
        let others = async {
            if !stalled {
                return future::pending().await;
            }
            PlainEvent::Attempts(attempts.next(None).await)
        };
        let timer = async {
            let Some(silence) = silence else {
                return future::pending().await;
            };
            uptime::sleep(silence).await;
            PlainEvent::Silent
        };
        future::or(bytes, future::or(others, timer)).await
    }

    /// The largest body, in bytes.
    fn max_bytes(&self) -> usize {
        self.current.context.caller.limits().answer
    }

    /// Whether the runner is asked to go on within a time. A request that may not be repeated can only wait.
    fn is_watched(&self) -> bool {
        !self.stalled && self.current.context.kind.is_repeatable()
    }

    /// How much longer the runner may be silent.
    fn silence_left(&self) -> Option<Duration> {
        let limit = silence_limit(&self.current.context);
        self.is_watched().then(|| limit.saturating_sub(self.received_at.elapsed()))
    }

    /// Whether a body of a known length can't be whole within the time limit at the rate so far.
    fn is_too_slow(&self) -> bool {
        let StartedAnswer { core, context, answer, .. } = &self.current;
        let took = self.begun_at.elapsed();
        if !self.is_watched() || took < silence_limit(context) {
            return false;
        }
        let left = Duration::from_millis(context.answer_deadline.since(core.clock.now()).0);
        let missing = answer.body.size_hint().lower() as f64;
        missing * took.as_secs_f64() > self.body.len() as f64 * left.as_secs_f64()
    }

    /// Asks another runner as well, while this one may go on.
    fn stall(&mut self) {
        let StartedAnswer { context, target, attempts, .. } = &self.current;
        let silent_ms = self.received_at.elapsed().as_millis() as u64;
        context.trace.add_silence(target, silent_ms, true);
        attempts.stall();
        self.stalled = true;
    }

    /// Whether an empty body means that the connection ended before it.
    fn needs_body(&self) -> bool {
        let RunnerAnswer { status, ends_with_connection, .. } = &self.current.answer;
        *ends_with_connection && status.is_success() && self.current.may_have_body()
    }

    /// The answer to the caller.
    fn finish(mut self) -> Response<AnswerBody> {
        if self.stalled {
            self.current.attempts.keep(&self.current.target);
        }
        self.current.finish();
        let RunnerAnswer { status, headers, .. } = self.current.answer;
        answer_with(full_body(self.body), status, headers)
    }

    /// Ends the part of a runner whose answer is broken. The attempts go on.
    fn lose(self, error: &Error) -> Forwarded {
        let StartedAnswer { mut attempts, context, target, .. } = self.current;
        let outcome = broken_body_outcome(&context.trace, &target, "answer", error);
        attempts.lose_answer(&target, self.stalled, outcome);
        Forwarded::Broken(attempts)
    }

    /// Leaves a stalled runner: another one answers, or none is left.
    fn leave(self, result: AttemptsResult) -> Forwarded {
        let StartedAnswer { attempts, context, target, .. } = self.current;
        if matches!(result, AttemptsResult::Answered(_)) {
            let took_ms = attempts.answer_age_ms();
            context.trace.add_failure(&target, AttemptOutcome::FellSilent, took_ms);
        }
        Forwarded::Replaced(attempts, result)
    }

    /// Ends a request whose answer is not whole at its deadline, or at the end of the process.
    fn fail_late(mut self) -> Response<AnswerBody> {
        let StartedAnswer { core, attempts, context, target, .. } = &mut self.current;
        if !core.stop.is_over() {
            // Its connection is open, so this is no sign of a crash.
            attempts.lose_answer(target, self.stalled, AttemptOutcome::Malformed);
        }
        context.trace.end(RequestEnd::Unknown, 504, Some(Code::TimedOut));
        let id = context.request_headers.id.as_deref();
        error_answer(StatusCode::GATEWAY_TIMEOUT, id, Code::TimedOut)
    }

    /// Ends a request whose answer has a length above the limit. Its runner is not at fault, and another one would send
    /// as much.
    fn fail_too_large(&self) -> Response<AnswerBody> {
        let context = &self.current.context;
        context.trace.end(RequestEnd::Unknown, 502, Some(Code::TooLarge));
        let id = context.request_headers.id.as_deref();
        error_answer(StatusCode::BAD_GATEWAY, id, Code::CutShort)
    }
}
