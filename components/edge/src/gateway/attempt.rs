//! One attempt of a request at one runner.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use account::Decision;
use bytes::Bytes;
use errors::{Code, Error};
use fleet::AdvertisedLimit;
use futures_lite::future;
use gateway::{AttemptOutcome, Event, Notice, RequestKey, RunnerTarget, StalledEvent};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use platform::headers::{self, AddedHeaders, AnsweredRequest, ResponseHeaders};
use telemetry::MeasuredDuration;
use uptime::Instant;

use super::answer::{full_body, AnswerBody};
use super::core::Core;
use super::request::RequestContext;
use super::reservations::{ReservedSlot, SlotRequest};
use super::trace::Trace;
use super::withdrawal::wait_for_withdrawal;
use crate::bounded_stream::Pace;
use crate::http_connection::HttpConnection;

/// How long opening a connection to a runner may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long after it was granted a slot may be used: opening the connection takes up to `CONNECT_TIMEOUT`,
/// and the rest allows for a machine that is short of processor time. A sidecar's margin before a version's
/// deadline covers it.
const SLOT_VALIDITY: Duration = Duration::from_millis(350);
/// A repeatable request is sent to another runner as well after a silence of this multiple of its latency
/// target.
const HEAD_SILENCE_FACTOR: f64 = 2.0;
/// The shortest such silence, in milliseconds.
const MIN_SILENCE_MS: u64 = 600;
/// The rate at which a stream of events is read.
const STREAM_PACE: Pace = Pace { bytes_per_s: 2 << 20, burst_bytes: 4 << 20 };
/// The largest error answer of a runner that is buffered to be forwarded, in bytes.
const MAX_ERROR_ANSWER_BYTES: usize = 64 * 1024;

/// An attempt.
pub struct Attempt {
    /// The gateway.
    pub core: Core,
    /// The request.
    pub context: Rc<RequestContext>,
    /// Its key.
    pub key: RequestKey,
    /// The runner.
    pub target: Rc<RunnerTarget>,
    /// How far it has come.
    pub state: Rc<AttemptState>,
}

/// How far an attempt has come.
#[derive(Default)]
pub struct AttemptState {
    sent: Cell<bool>,
    stalled: Cell<bool>,
}

impl AttemptState {
    /// Whether the runner may have received the request.
    pub fn is_sent(&self) -> bool {
        self.sent.get()
    }

    /// Whether the reducer was told that the runner is silent.
    pub fn is_stalled(&self) -> bool {
        self.stalled.get()
    }
}

/// A runner's answer whose head has arrived.
pub struct RunnerAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Whether its body ends with the connection, without a length or chunks.
    pub ends_with_connection: bool,
    /// The connection that it arrives on.
    pub connection: HttpConnection,
    /// The rest of the answer.
    pub body: Incoming,
    /// The slot at the runner, which is held until the answer is dropped.
    _slot: ReservedSlot,
}

/// The result of an attempt when the head of the answer has arrived or the attempt has failed.
// It is moved once per attempt; a box would cost more than it saves.
#[allow(clippy::large_enum_variant)]
pub enum AttemptResult {
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

impl From<AttemptOutcome> for AttemptResult {
    fn from(outcome: AttemptOutcome) -> Self {
        Self::Failure { outcome, answer: None }
    }
}

impl Attempt {
    /// Sends the request and waits for the head of the answer. `last_event` is the event after which a stream
    /// resumes.
    pub async fn run(self, last_event: Option<String>) -> AttemptResult {
        let slot = match self.reserve().await {
            Ok(slot) => slot,
            Err(outcome) => return outcome.into(),
        };
        let granted = Instant::now();
        let Ok(mut connection) = HttpConnection::open(self.target.address, CONNECT_TIMEOUT).await
        else {
            return AttemptOutcome::NotSent.into();
        };
        let Some(request) = self.request(last_event.as_deref()) else {
            return AttemptOutcome::NotSent.into();
        };
        if self.target.reserve && granted.elapsed() > SLOT_VALIDITY {
            // The sidecar granted the slot for immediate use, and this machine was too slow.
            return AttemptOutcome::Expired.into();
        }
        let now = self.core.clock.now();
        if !self.core.read(|gateway| gateway.may_send(now, self.key)) {
            return AttemptOutcome::Withdrawn.into();
        }
        self.state.sent.set(true);
        let started = Instant::now();
        let exchange = async {
            let answer = connection.send(request).await.map_err(|it| self.lost_outcome(&it))?;
            let took_ms = started.elapsed().as_millis() as u64;
            self.core.metrics.record_duration(MeasuredDuration::RunnerHeaders, took_ms);
            Ok(self.evaluate(connection, answer, slot).await)
        };
        let withdrawal = async { Err(self.wait_for_withdrawal().await) };
        let silence = async { Err(self.report_silence().await) };
        future::or(exchange, future::or(withdrawal, silence)).await.unwrap_or_else(Into::into)
    }

    /// Asks the sidecar for a slot, if the runner has a sidecar. The connection is opened afterwards: under
    /// load most reservations are denied, and each connection costs both sides work.
    async fn reserve(&self) -> Result<ReservedSlot, AttemptOutcome> {
        if !self.target.reserve {
            return Ok(ReservedSlot::default());
        }
        let request_headers = &self.context.request_headers;
        let id = request_headers.id.as_deref().unwrap_or("");
        let reservations = &self.core.reservations;
        let prompt_tokens = self.context.prompt_tokens;
        let RunnerTarget { rank, left_ms, wait_ms, limit, pinned_ms, .. } = *self.target;
        let slot_request = SlotRequest { prompt_tokens, rank, left_ms, wait_ms, limit, pinned_ms };
        reservations.reserve(self.target.address, id, slot_request).await
    }

    async fn wait_for_withdrawal(&self) -> AttemptOutcome {
        if self.context.kind.is_repeatable() {
            wait_for_withdrawal(&self.core, &self.target.id).await;
            return AttemptOutcome::VersionDeadlinePassed;
        }
        future::pending().await
    }

    /// Tells the reducer when a repeatable request has waited for too long. The runner keeps it, since it may
    /// still answer.
    async fn report_silence(&self) -> AttemptOutcome {
        if self.context.kind.is_repeatable() {
            let silence = silence_limit(&self.context);
            uptime::sleep(silence).await;
            self.context.trace.add_silence(&self.target, silence.as_millis() as u64, false);
            self.state.stalled.set(true);
            self.core.dispatch(Event::Stalled(self.key));
        }
        future::pending().await
    }

    fn request(&self, last_event: Option<&str>) -> Option<Request<Full<Bytes>>> {
        let context = &self.context;
        let now = self.core.clock.now();
        let added = AddedHeaders {
            runner: &self.target.id,
            deadline_ms: context.deadline.map(|it| it.min(context.answer_deadline).since(now).0),
            workspace: context.workspace.as_ref(),
            last_event,
        };
        let mut request = Request::new(Full::new(context.body.clone()));
        *request.method_mut() = context.method.clone();
        *request.uri_mut() = context.uri.clone();
        *request.headers_mut() = headers::prepare_request(&context.headers, &added);
        Some(request)
    }

    /// Records that the runner wants no more requests, if its answer says so. This happens before any part of
    /// the answer is forwarded, so that no request that arrives afterwards is sent to it.
    fn record_notice(&self, notice: Notice) {
        if notice.is_empty() {
            return;
        }
        if notice.is_leaving {
            self.core.metrics.count_load_notice("leaving");
        }
        if notice.backoff_ms.is_some() {
            self.core.metrics.count_load_notice("rest");
        }
        if notice.limit.is_some() {
            self.core.metrics.count_load_notice("limit");
        }
        let runner = self.target.id.0.clone();
        let Notice { is_leaving, backoff_ms, limit } = notice;
        let limit_per_s = match limit {
            Some(AdvertisedLimit::Limited(rate)) => Some(rate.per_s()),
            _ => None,
        };
        let decision =
            Decision::Told { runner, leaving: is_leaving, rest_ms: backoff_ms, limit_per_s };
        self.context.trace.add(decision);
        self.core.dispatch(if self.state.is_stalled() {
            let runner = self.target.id.clone();
            Event::StalledAttempt(self.key, runner, StalledEvent::Notice(notice))
        } else {
            Event::NoticeReceived(self.key, notice)
        });
    }

    /// What an answer says about its runner. A misdirected answer comes from another runner.
    fn notice(&self, status: StatusCode, response_headers: &ResponseHeaders) -> Notice {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Notice::default();
        }
        let asks_for_backoff = status == StatusCode::SERVICE_UNAVAILABLE;
        Notice {
            is_leaving: response_headers.is_leaving,
            backoff_ms: response_headers.retry_after_ms.filter(|_| asks_for_backoff),
            limit: self.limit_change(response_headers),
        }
    }

    /// What an answer says about the runner's rate limit. That there is no limit matters only if one is
    /// known, and only if it is the answer to this request.
    fn limit_change(&self, response_headers: &ResponseHeaders) -> Option<AdvertisedLimit> {
        let is_own = matches!(response_headers.request, AnsweredRequest::Named(_));
        let is_limited = || self.core.read(|gateway| gateway.is_limited(&self.target.id));
        match response_headers.limit {
            AdvertisedLimit::Unlimited if !is_own || !is_limited() => None,
            word => Some(word),
        }
    }

    /// The outcome if the connection ended before the head of an answer.
    fn lost_outcome(&self, error: &Error) -> AttemptOutcome {
        match error.code {
            Code::TimedOut => AttemptOutcome::FellSilent,
            Code::MalformedAnswer => self.malformed("answer", "head"),
            _ => AttemptOutcome::Lost,
        }
    }

    /// The outcome if the runner sent bytes that are no answer to this request.
    fn malformed(&self, source: &'static str, fault: &'static str) -> AttemptOutcome {
        self.context.trace.add_malformed_answer(&self.target, source, fault);
        AttemptOutcome::Malformed
    }

    /// Evaluates the head of an answer, and reads the body of an error answer.
    async fn evaluate(
        &self,
        mut connection: HttpConnection,
        answer: Response<Incoming>,
        slot: ReservedSlot,
    ) -> AttemptResult {
        let (head, mut body) = answer.into_parts();
        let response_headers = headers::read_response(&head.headers);
        let refusal = refusal_outcome(head.status, &response_headers);
        let own_id = self.context.request_headers.id.as_deref();
        // A refusal may name no request: it came on a connection that has only had this one.
        let may_be_unnamed = refusal.is_some();
        let is_own = response_headers.request.is(own_id)
            || (may_be_unnamed && response_headers.request == AnsweredRequest::Unnamed);
        if !is_own {
            return self.malformed("answer", "other_request").into();
        }
        self.record_notice(self.notice(head.status, &response_headers));
        if let Some(outcome) = refusal {
            return outcome.into();
        }
        if let Some(fault) = head_fault(head.status, &response_headers) {
            return self.malformed("answer", fault).into();
        }
        let headers = headers::without_hop_by_hop(&head.headers);
        if self.context.kind.is_stream() {
            connection.set_pace(STREAM_PACE);
        }
        if !head.status.is_server_error() {
            return AttemptResult::Answer(RunnerAnswer {
                status: head.status,
                headers,
                ends_with_connection: response_headers.ends_with_connection,
                connection,
                body,
                _slot: slot,
            });
        }
        let text = match connection.collect(&mut body, MAX_ERROR_ANSWER_BYTES).await {
            Ok(text) => text,
            Err(error) => {
                let trace = &self.context.trace;
                return broken_body_outcome(trace, &self.target, "error_answer", &error).into();
            }
        };
        let mut answer = Response::new(full_body(text));
        *answer.status_mut() = head.status;
        *answer.headers_mut() = headers;
        let outcome = match head.status {
            StatusCode::GATEWAY_TIMEOUT => AttemptOutcome::OutOfTime,
            _ => AttemptOutcome::Failed,
        };
        AttemptResult::Failure { outcome, answer: Some(answer) }
    }
}

/// How long a runner may be silent before the head of an answer, or within a plain one, until another runner is asked.
pub fn silence_limit(context: &RequestContext) -> Duration {
    let silent_ms = (context.target_latency_ms as f64 * HEAD_SILENCE_FACTOR) as u64;
    Duration::from_millis(silent_ms.max(MIN_SILENCE_MS))
}

/// The outcome if the body of an answer could not be read. `source` is what was read, in the metrics.
pub fn broken_body_outcome(
    trace: &Trace,
    target: &RunnerTarget,
    source: &'static str,
    error: &Error,
) -> AttemptOutcome {
    let fault = match error.code {
        Code::TimedOut => return AttemptOutcome::FellSilent,
        Code::MalformedAnswer => "body",
        Code::TooLarge => "too_large",
        _ => return AttemptOutcome::Cut,
    };
    trace.add_malformed_answer(target, source, fault);
    AttemptOutcome::Malformed
}

/// Why a head is not that of a runner's final answer, if it is not.
fn head_fault(status: StatusCode, response_headers: &ResponseHeaders) -> Option<&'static str> {
    if status.is_informational() {
        return Some("not_final");
    }
    if !response_headers.signed {
        return Some("unsigned");
    }
    response_headers.is_encoded.then_some("encoded")
}

/// The outcome if the runner refused the request.
fn refusal_outcome(
    status: StatusCode,
    response_headers: &ResponseHeaders,
) -> Option<AttemptOutcome> {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Some(AttemptOutcome::Misdirected);
    }
    response_headers.not_executed.then_some(AttemptOutcome::Full)
}
