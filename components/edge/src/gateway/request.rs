//! Handling of one request of a caller, until the head of its answer.

use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use account::Decision;
use bytes::{Bytes, BytesMut};
use errors::Code;
use fleet::{HomeRegions, Millis, ModelName, ServiceName, WorkspaceId};
use futures_lite::future;
use gateway::{Arrival, Catalog, Limits, RouteKind, ServiceState};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use platform::headers::{self, RequestHeaders};
use quarantine::{SubjectDigest, Subjects};

use super::answer::{error_answer, refusal, AnswerBody};
use super::attempts::{AnsweredAttempt, Attempts, AttemptsResult};
use super::core::{Core, RequestHandle};
use super::relay::{Forwarded, StartedAnswer};
use super::trace::{RequestEnd, Trace};
use crate::caller::Caller;

/// `Retry-After` of a gateway that has no configuration, or does not know whether its own is current, in
/// milliseconds: about the mean time until the next call to the store.
const NOT_READY_RETRY_AFTER_MS: u64 = 500;
/// `Retry-After` if there is no memory for a request body, in milliseconds: slow readers are disconnected
/// meanwhile.
const NO_MEMORY_RETRY_AFTER_MS: u64 = 500;
/// How long a request without a deadline is processed, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// What every attempt of a request needs.
pub struct RequestContext {
    /// The headers that the gateway interprets.
    pub request_headers: RequestHeaders,
    /// The log of the decisions on it.
    pub trace: Trace,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers that the caller sent.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The connection that it arrived on.
    pub caller: Rc<Caller>,
    /// Which attempts the kind of its route allows.
    pub kind: RouteKind,
    /// The number of tokens of its prompt, zero if it has none.
    pub prompt_tokens: u32,
    /// The workspace that sent it.
    pub workspace: Option<WorkspaceId>,
    /// The caller's deadline, if it sent one.
    pub deadline: Option<Millis>,
    /// When the final answer must be sent.
    pub answer_deadline: Millis,
    /// The latency target of the answer, in milliseconds.
    pub target_latency_ms: u64,
    /// The target of the longest pause between events, in milliseconds.
    pub max_event_gap_ms: u64,
}

impl Drop for RequestContext {
    fn drop(&mut self) {
        self.caller.release_body();
    }
}

/// The name of a kind of route in logs and metrics.
fn kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Safe => "safe",
        RouteKind::Unsafe => "unsafe",
        RouteKind::Stream { resumable: false } => "stream",
        RouteKind::Stream { resumable: true } => "resumable_stream",
    }
}

/// The route of a request, by the configuration.
struct ResolvedRoute {
    route: String,
    service: ServiceName,
    /// The model, if the service runs one.
    model: Option<ModelName>,
    /// The number of tokens of its prompt, as sent by the caller or as usual for the model.
    prompt_tokens: u32,
    kind: RouteKind,
    workspace: Option<WorkspaceId>,
    priority: u8,
    timeout_ms: u64,
    target_latency_ms: u64,
    max_event_gap_ms: u64,
    attempts: u32,
    homes: HomeRegions,
}

/// Answers a request.
pub async fn answer(
    core: Core,
    caller: Rc<Caller>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived = core.clock.now();
    let (head, body) = request.into_parts();
    let request_headers = headers::read_request(&head.headers);
    let id = request_headers.id.clone();
    let trace = Trace::new(&core, id.as_deref());
    let own_timeout_ms = request_headers.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let own_deadline = arrived.plus(own_timeout_ms.min(DEFAULT_DEADLINE_MS));
    let Some(catalog) = core.catalog() else {
        let max_bytes = Limits::default().body_bytes;
        discard_body(&core, &caller, body, max_bytes, own_deadline).await;
        return not_ready(&trace, id.as_deref());
    };
    let routed = match route(&catalog, &head.headers, &head.uri, &request_headers) {
        Ok(routed) => routed,
        Err((status, code)) => {
            trace.add(Decision::Unrouted {
                configuration: catalog.version,
                age_ms: core.tables.operator.age_ms(),
            });
            let is_confirmed = core.tables.operator.is_confirmed();
            discard_body(&core, &caller, body, catalog.limits.body_bytes, own_deadline).await;
            if !is_confirmed {
                // A newer configuration may have the route, and callers treat these statuses as final.
                return not_ready(&trace, id.as_deref());
            }
            trace.refuse(status.as_u16(), code, None, ServiceState::default());
            return error_answer(status, id.as_deref(), code);
        }
    };
    let timeout_ms = routed.timeout_ms.min(own_timeout_ms);
    let answer_deadline = arrived.plus(timeout_ms);
    caller.set_read_timeout(Duration::from_millis(routed.timeout_ms));
    let reading = read_body(&caller, body, catalog.limits.body_bytes);
    let body = with_request_deadline(&core, answer_deadline, reading)
        .await
        .unwrap_or(Err(if core.stop.is_over() { BodyError::Stopping } else { BodyError::Late }));
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            caller.release_body();
            return error.refuse(&trace, id.as_deref());
        }
    };
    if core.stop.refuses(arrived, answer_deadline) {
        caller.release_body();
        return refuse_stopping(&trace, id.as_deref());
    }
    let path = head.uri.path_and_query().map_or("", |it| it.as_str());
    let digest =
        SubjectDigest::of_request(head.method.as_str(), path, routed.workspace.as_ref(), &body);
    let parts: Vec<_> =
        request_headers.shared_parts.iter().map(|it| SubjectDigest::of_part(it)).collect();
    trace.set_kind(kind_name(routed.kind));
    trace.add(Decision::Routed {
        route: routed.route.clone(),
        service: routed.service.0.clone(),
        configuration: catalog.version,
        kind: kind_name(routed.kind).into(),
        held_ms: timeout_ms,
        digest: digest.to_string(),
        parts: parts.iter().map(SubjectDigest::to_string).collect(),
    });
    let context = RequestContext {
        trace,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        caller,
        kind: routed.kind,
        prompt_tokens: routed.prompt_tokens,
        workspace: routed.workspace,
        deadline: request_headers.deadline_ms.map(|it| arrived.plus(it)),
        answer_deadline,
        target_latency_ms: routed.target_latency_ms,
        max_event_gap_ms: routed.max_event_gap_ms,
        request_headers,
    };
    let handle = core.register_request(|key| Arrival {
        key,
        subjects: Subjects::new(digest, parts),
        route: routed.route,
        workspace: context.workspace.clone(),
        homes: routed.homes,
        service: routed.service,
        kind: context.kind,
        priority: routed.priority,
        model: routed.model,
        prompt_tokens: context.prompt_tokens,
        target_latency_ms: context.target_latency_ms,
        deadline_ms: context.request_headers.deadline_ms,
        deadline: context.answer_deadline,
        attempts: routed.attempts,
    });
    run_attempts(core, Rc::new(context), handle).await
}

/// Why the body of a request was not read.
enum BodyError {
    /// It is larger than the configuration allows.
    TooLarge,
    /// It was truncated.
    Broken,
    /// Its caller sent it so slowly that the request's time limit expired first.
    Late,
    /// Too many bytes are buffered for other callers.
    NoMemory,
    /// The process ends.
    Stopping,
}

impl BodyError {
    fn refuse(&self, trace: &Trace, id: Option<&str>) -> Response<AnswerBody> {
        let (status, code) = match self {
            Self::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, Code::TooLarge),
            Self::Broken => (StatusCode::BAD_REQUEST, Code::BadRequest),
            Self::Late => (StatusCode::REQUEST_TIMEOUT, Code::TooLate),
            Self::Stopping => return refuse_stopping(trace, id),
            Self::NoMemory => {
                let retry_after_ms = NO_MEMORY_RETRY_AFTER_MS;
                trace.refuse(503, Code::Overloaded, Some(retry_after_ms), ServiceState::default());
                return refusal(id, Code::Overloaded, retry_after_ms);
            }
        };
        trace.refuse(status.as_u16(), code, None, ServiceState::default());
        error_answer(status, id, code)
    }
}

/// Reads the body of a request, as far as there is memory for it. What there is no memory for is discarded, so
/// that the caller does not lose its refusal to a reset.
async fn read_body(
    caller: &Caller,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, BodyError> {
    let mut body_bytes = BytesMut::new();
    let mut length = 0;
    let mut has_memory = true;
    while let Some(frame) = body.frame().await {
        let bytes = frame.map_err(|_| BodyError::Broken)?.into_data().unwrap_or_default();
        length += bytes.len();
        if length > max_bytes {
            return Err(BodyError::TooLarge);
        }
        has_memory = has_memory && caller.reserve_body(bytes.len()).is_ok();
        if has_memory {
            body_bytes.extend_from_slice(&bytes);
        } else {
            body_bytes = BytesMut::new();
            caller.release_body();
        }
    }
    caller.finish_reading();
    if has_memory {
        Ok(body_bytes.freeze())
    } else {
        Err(BodyError::NoMemory)
    }
}

/// Reads the body of a request that is refused, so that its connection can serve the next one. A body that is too
/// large, or does not arrive in time, stays unread.
async fn discard_body(
    core: &Core,
    caller: &Caller,
    mut body: Incoming,
    max_bytes: usize,
    until: Millis,
) {
    let reading = async {
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return;
            };
            length += frame.data_ref().map_or(0, Bytes::len);
            if length > max_bytes {
                return;
            }
        }
        caller.finish_reading();
    };
    // The answer announces the end of the connection if the body stays unread.
    let _ = with_request_deadline(core, until, reading).await;
}

/// Refuses a request because no configuration is known, or it may be outdated.
fn not_ready(trace: &Trace, id: Option<&str>) -> Response<AnswerBody> {
    let retry_after_ms = Some(NOT_READY_RETRY_AFTER_MS);
    trace.refuse(503, Code::NotReady, retry_after_ms, ServiceState::default());
    refusal(id, Code::NotReady, NOT_READY_RETRY_AFTER_MS)
}

/// Refuses a request because the process is stopping: another gateway serves it at once.
fn refuse_stopping(trace: &Trace, id: Option<&str>) -> Response<AnswerBody> {
    trace.refuse(503, Code::Stopping, Some(0), ServiceState::default());
    refusal(id, Code::Stopping, 0)
}

/// Finds the route of a request and checks its API key.
fn route(
    catalog: &Catalog,
    headers: &HeaderMap,
    uri: &Uri,
    request_headers: &RequestHeaders,
) -> Result<ResolvedRoute, (StatusCode, Code)> {
    let host = headers.get(http::header::HOST).and_then(|it| it.to_str().ok()).unwrap_or("");
    let route =
        catalog.route(host, uri.path()).ok_or((StatusCode::NOT_FOUND, Code::UnknownTarget))?;
    let service =
        route.service(rand::random()).ok_or((StatusCode::SERVICE_UNAVAILABLE, Code::NoUpstream))?;
    let workspace = request_headers.key.as_deref().and_then(|key| catalog.workspace(key));
    if catalog.needs_keys() && workspace.is_none() && !route.open {
        return Err((StatusCode::UNAUTHORIZED, Code::Unauthorized));
    }
    // A model named by the caller is used only if the service runs one.
    let engine = catalog.service(service).and_then(|it| it.engine.as_ref());
    let model = engine.map(|it| request_headers.model.clone().unwrap_or_else(|| it.model.clone()));
    Ok(ResolvedRoute {
        route: route.name.clone(),
        service: service.clone(),
        prompt_tokens: engine
            .map_or(0, |it| request_headers.prompt_tokens.unwrap_or(it.usual_prompt_tokens)),
        model,
        kind: route.kind,
        workspace: workspace.map(|it| it.name.clone()),
        // The priority of the workspace takes precedence over that of the route.
        priority: workspace.map_or(0, |it| it.priority) * 10 + route.priority.min(9),
        timeout_ms: route.timeout_ms,
        target_latency_ms: route.target_latency_ms,
        max_event_gap_ms: route.max_event_gap_ms,
        attempts: route.attempts,
        homes: workspace.map_or(route.homes.clone(), |it| route.homes.and(&it.homes)),
    })
}

/// Makes attempts as the reducer decides, until one is answered or none is left.
async fn run_attempts(
    core: Core,
    context: Rc<RequestContext>,
    handle: RequestHandle,
) -> Response<AnswerBody> {
    let deadline = context.answer_deadline;
    let mut attempts = Attempts::new(core.clone(), context.clone(), handle);
    let mut result = with_request_deadline(&core, deadline, attempts.next(None)).await;
    loop {
        let answered = match result {
            None => return deadline_expired(&context, attempts.may_have_run()),
            Some(AttemptsResult::Refused { code, retry_after_ms, service_state }) => {
                context.trace.refuse(503, code, Some(retry_after_ms), service_state);
                return refusal(context.request_headers.id.as_deref(), code, retry_after_ms);
            }
            Some(AttemptsResult::GaveUp(code)) => {
                return final_failure(&context, attempts.take_error_answer(), code);
            }
            Some(AttemptsResult::Answered(answered)) => answered,
        };
        attempts.accept(&answered);
        let AnsweredAttempt { target, answer, .. } = answered;
        let started = StartedAnswer {
            core: core.clone(),
            context: context.clone(),
            attempts,
            target,
            answer,
        };
        (attempts, result) = match started.forward().await {
            Forwarded::Answer(answer) => return answer,
            Forwarded::Broken(mut attempts) => {
                let next = with_request_deadline(&core, deadline, attempts.next(None)).await;
                (attempts, next)
            }
            Forwarded::Replaced(attempts, result) => (attempts, Some(result)),
        };
    }
}

/// The final answer if no attempt is left: the runner's error answer, or one that says that the outcome is
/// unknown.
fn final_failure(
    context: &RequestContext,
    runner_answer: Option<Response<AnswerBody>>,
    code: Code,
) -> Response<AnswerBody> {
    let Some(runner_answer) = runner_answer else {
        context.trace.end(RequestEnd::Unknown, 502, Some(code));
        return error_answer(StatusCode::BAD_GATEWAY, context.request_headers.id.as_deref(), code);
    };
    context.trace.end(RequestEnd::Failed, runner_answer.status().as_u16(), Some(code));
    runner_answer
}

/// The final answer if the time limit of the request has expired, or the process ends.
fn deadline_expired(context: &RequestContext, sent: bool) -> Response<AnswerBody> {
    let id = context.request_headers.id.as_deref();
    if sent {
        context.trace.end(RequestEnd::Unknown, 504, Some(Code::TimedOut));
        error_answer(StatusCode::GATEWAY_TIMEOUT, id, Code::TimedOut)
    } else if context.caller.is_over() {
        refuse_stopping(&context.trace, id)
    } else {
        context.trace.refuse(503, Code::TooLate, Some(0), ServiceState::default());
        refusal(id, Code::TooLate, 0)
    }
}

/// Waits for a future until a time of the process's clock. `None` if the time comes first, or if the process ends: the
/// stop then wakes the connections, and with them the tasks that wait here.
pub async fn with_request_deadline<T>(
    core: &Core,
    answer_deadline: Millis,
    future: impl std::future::Future<Output = T>,
) -> Option<T> {
    let left = Duration::from_millis(answer_deadline.since(core.clock.now()).0);
    future::or(async { Some(future.await) }, async {
        future::or(uptime::sleep(left), end_of_requests(core)).await;
        None
    })
    .await
}

async fn end_of_requests(core: &Core) {
    future::poll_fn(|_| if core.stop.is_over() { Poll::Ready(()) } else { Poll::Pending }).await;
}
