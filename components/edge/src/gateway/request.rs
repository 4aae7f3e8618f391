//! Handling of one request of a caller, until the head of its answer.

use std::rc::Rc;
use std::time::Duration;

use account::Decision;
use bytes::{Bytes, BytesMut};
use errors::Code;
use fleet::{HomeRegions, Millis, ModelName, ServiceName, WorkspaceId};
use futures_lite::future;
use gateway::{Arrival, Catalog, NextStep, RouteKind, Standing};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use platform::headers::{self, RequestFacts};
use quarantine::RequestDigest;
use telemetry::Span;

use super::answer::{own_answer, refusal, AnswerBody};
use super::attempt::{Attempt, Outcome};
use super::core::{Core, Ticket};
use super::relay::Begun;
use super::trace::{Ending, Trace};
use crate::caller::Caller;
use crate::caller_buffers::NoMemory;

/// `Retry-After` of a gateway that has no configuration, or does not know whether its own is current, in
/// milliseconds: about the mean time until the next call to the store.
const NOT_READY_RETRY_AFTER: u64 = 500;
/// `Retry-After` if there is no memory for a request body, in milliseconds: slow readers are disconnected
/// meanwhile.
const NO_MEMORY_RETRY_AFTER: u64 = 500;
/// How long a request without a deadline is processed, in milliseconds.
const DEFAULT_DEADLINE: u64 = 30_000;

/// What every attempt of a request needs.
pub struct Job {
    /// The facts in its head.
    pub facts: RequestFacts,
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
    pub limit: Millis,
    /// The latency target of the answer, in milliseconds.
    pub aim_ms: u64,
    /// The target of the longest pause between events, in milliseconds.
    pub gap_aim_ms: u64,
}

impl Drop for Job {
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
struct Routed {
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
    aim_ms: u64,
    gap_aim_ms: u64,
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
    let facts = headers::read_request(&head.headers);
    let id = facts.id.clone();
    let trace = Trace::new(&core, id.as_deref());
    let Some(catalog) = core.catalog() else {
        return not_ready(&trace, id.as_deref());
    };
    let routed = match route(&catalog, &head.headers, &head.uri, &facts) {
        Ok(routed) => routed,
        Err((status, code)) => {
            trace.note(Decision::Unrouted {
                configuration: catalog.version,
                age_ms: core.tables.operator.age_ms(),
            });
            if !core.tables.operator.is_confirmed() {
                // A newer configuration may have the route, and callers treat these statuses as final.
                return not_ready(&trace, id.as_deref());
            }
            trace.refuse(status.as_u16(), code, None, Standing::default());
            return own_answer(status, id.as_deref(), code);
        }
    };
    let held = routed.timeout_ms.min(facts.deadline_ms.unwrap_or(DEFAULT_DEADLINE));
    let limit = arrived.plus(held);
    caller.set_read_timeout(Duration::from_millis(routed.timeout_ms));
    let reading = read_body(&caller, body, catalog.limits.body_bytes);
    let body = before(&core, limit, reading).await.unwrap_or(Err(BodyFault::Late));
    let body = match body {
        Ok(body) => body,
        Err(fault) => {
            caller.release_body();
            return fault.refuse(&trace, id.as_deref());
        }
    };
    let path = head.uri.path_and_query().map_or("", |it| it.as_str());
    let digest = RequestDigest::of(head.method.as_str(), path, routed.workspace.as_ref(), &body);
    trace.set_kind(kind_name(routed.kind));
    trace.note(Decision::Routed {
        route: routed.route.clone(),
        service: routed.service.0.clone(),
        configuration: catalog.version,
        kind: kind_name(routed.kind).into(),
        held_ms: held,
        digest: digest.to_string(),
    });
    let job = Job {
        trace,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        caller,
        kind: routed.kind,
        prompt_tokens: routed.prompt_tokens,
        workspace: routed.workspace,
        deadline: facts.deadline_ms.map(|it| arrived.plus(it)),
        limit,
        aim_ms: routed.aim_ms,
        gap_aim_ms: routed.gap_aim_ms,
        facts,
    };
    let ticket = core.announce(|key| Arrival {
        key,
        digest,
        route: routed.route,
        workspace: job.workspace.clone(),
        homes: routed.homes,
        service: routed.service,
        kind: job.kind,
        priority: routed.priority,
        model: routed.model,
        prompt_tokens: job.prompt_tokens,
        aim_ms: job.aim_ms,
        deadline_ms: job.facts.deadline_ms,
        limit: job.limit,
        attempts: routed.attempts,
    });
    carry_out(core, Rc::new(job), ticket).await
}

/// Why the body of a request was not read.
enum BodyFault {
    /// It is larger than the configuration allows.
    TooLarge,
    /// It was truncated.
    Broken,
    /// Its caller sent it so slowly that the request's time limit expired first.
    Late,
    /// Too many bytes are buffered for other callers.
    NoMemory,
}

impl BodyFault {
    fn refuse(&self, trace: &Trace, id: Option<&str>) -> Response<AnswerBody> {
        let (status, code) = match self {
            Self::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, Code::TooLarge),
            Self::Broken => (StatusCode::BAD_REQUEST, Code::BadRequest),
            Self::Late => (StatusCode::REQUEST_TIMEOUT, Code::TooLate),
            Self::NoMemory => {
                let back = NO_MEMORY_RETRY_AFTER;
                trace.refuse(503, Code::Overloaded, Some(back), Standing::default());
                return refusal(id, Code::Overloaded, back);
            }
        };
        trace.refuse(status.as_u16(), code, None, Standing::default());
        own_answer(status, id, code)
    }
}

/// Reads the body of a request, as far as there is memory for it.
async fn read_body(caller: &Caller, mut body: Incoming, most: usize) -> Result<Bytes, BodyFault> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let bytes = frame.map_err(|_| BodyFault::Broken)?.into_data().unwrap_or_default();
        if whole.len() + bytes.len() > most {
            return Err(BodyFault::TooLarge);
        }
        caller.reserve_body(bytes.len()).map_err(|NoMemory| BodyFault::NoMemory)?;
        whole.extend_from_slice(&bytes);
    }
    Ok(whole.freeze())
}

/// Refuses a request because no configuration is known, or it may be outdated.
fn not_ready(trace: &Trace, id: Option<&str>) -> Response<AnswerBody> {
    let back = Some(NOT_READY_RETRY_AFTER);
    trace.refuse(503, Code::NotReady, back, Standing::default());
    refusal(id, Code::NotReady, NOT_READY_RETRY_AFTER)
}

/// Finds the route of a request and checks its API key.
fn route(
    catalog: &Catalog,
    headers: &HeaderMap,
    uri: &Uri,
    facts: &RequestFacts,
) -> Result<Routed, (StatusCode, Code)> {
    let host = headers.get(http::header::HOST).and_then(|it| it.to_str().ok()).unwrap_or("");
    let route =
        catalog.route(host, uri.path()).ok_or((StatusCode::NOT_FOUND, Code::UnknownTarget))?;
    let service =
        route.service(rand::random()).ok_or((StatusCode::SERVICE_UNAVAILABLE, Code::NoUpstream))?;
    let workspace = facts.key.as_deref().and_then(|key| catalog.workspace(key));
    if catalog.needs_keys() && workspace.is_none() && !route.open {
        return Err((StatusCode::UNAUTHORIZED, Code::Unauthorized));
    }
    // A model named by the caller is used only if the service runs one.
    let engine = catalog.service(service).and_then(|it| it.engine.as_ref());
    let model = engine.map(|it| facts.model.clone().unwrap_or_else(|| it.model.clone()));
    Ok(Routed {
        route: route.name.clone(),
        service: service.clone(),
        prompt_tokens: engine.map_or(0, |it| facts.prompt_tokens.unwrap_or(it.usual_prompt_tokens)),
        model,
        kind: route.kind,
        workspace: workspace.map(|it| it.name.clone()),
        // The priority of the workspace takes precedence over that of the route.
        priority: workspace.map_or(0, |it| it.priority) * 10 + route.priority.min(9),
        timeout_ms: route.timeout_ms,
        aim_ms: route.aim_ms,
        gap_aim_ms: route.gap_aim_ms,
        attempts: route.attempts,
        homes: workspace.map_or(route.homes.clone(), |it| route.homes.and(&it.homes)),
    })
}

/// Makes attempts as the reducer decides, until one is answered or none is left.
async fn carry_out(core: Core, job: Rc<Job>, ticket: Ticket) -> Response<AnswerBody> {
    let mut held = None;
    let mut sent = false;
    let mut attempts = 0;
    let id = job.facts.id.clone();
    loop {
        let Some(step) = before(&core, job.limit, ticket.next_step()).await.flatten() else {
            return out_of_time(&job, sent);
        };
        let target = match step {
            NextStep::Send(target) => target,
            NextStep::Refuse { code, retry_after_ms, standing } => {
                job.trace.refuse(503, code, Some(retry_after_ms), standing);
                return refusal(id.as_deref(), code, retry_after_ms);
            }
            NextStep::GiveUp(code) => return give_up(&job, held, code),
        };
        if attempts == 0 {
            core.metrics.note_span(Span::Queue, job.trace.age_ms());
        }
        attempts += 1;
        job.trace.choose(&target, attempts);
        let begun = job.trace.age_ms();
        let attempt = Attempt { core: &core, job: &job, key: ticket.key, target: &target };
        match before(&core, job.limit, attempt.run(None, &mut sent)).await {
            None => return out_of_time(&job, sent),
            Some(Outcome::Answer(answer)) => {
                return Begun { core, job, ticket, target, answer }.hand_on().await;
            }
            Some(Outcome::Failure { outcome, answer }) => {
                held = answer;
                job.trace.fail(&target, outcome, job.trace.age_ms() - begun);
                core.feed(gateway::Event::Attempt(ticket.key, outcome));
            }
        }
    }
}

/// The final answer if no attempt is left: the runner's error answer, or one that says that the outcome is
/// unknown.
fn give_up(job: &Job, held: Option<Response<AnswerBody>>, code: Code) -> Response<AnswerBody> {
    let Some(held) = held else {
        job.trace.end(Ending::Unknown, 502, Some(code));
        return own_answer(StatusCode::BAD_GATEWAY, job.facts.id.as_deref(), code);
    };
    job.trace.end(Ending::Failed, held.status().as_u16(), Some(code));
    held
}

/// The final answer if the time limit of the request has expired.
fn out_of_time(job: &Job, sent: bool) -> Response<AnswerBody> {
    let id = job.facts.id.as_deref();
    if sent {
        job.trace.end(Ending::Unknown, 504, Some(Code::TimedOut));
        own_answer(StatusCode::GATEWAY_TIMEOUT, id, Code::TimedOut)
    } else {
        job.trace.refuse(503, Code::TooLate, Some(0), Standing::default());
        refusal(id, Code::TooLate, 0)
    }
}

/// Waits for a future until a time of the process's clock. `None` if the time comes first.
pub async fn before<T>(
    core: &Core,
    limit: Millis,
    future: impl std::future::Future<Output = T>,
) -> Option<T> {
    let left = Duration::from_millis(limit.since(core.clock.now()).0);
    future::or(async { Some(future.await) }, async {
        uptime::sleep(left).await;
        None
    })
    .await
}
