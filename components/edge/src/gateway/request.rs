//! One request of a caller, from its head to the head of its answer.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use errors::Code;
use fleet::{Millis, ModelName, ServiceName, WorkspaceId};
use futures_lite::future;
use gateway::{Arrival, Catalog, NextStep, RouteKind};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use platform::headers::{self, RequestFacts};

use super::answer::{own_answer, refusal, AnswerBody};
use super::attempt::{Attempt, Outcome};
use super::core::{Core, Ticket};
use super::relay;

/// When a caller comes back that reached a gateway which knows no configuration, in milliseconds.
const NOT_READY_RETRY_AFTER: u64 = 500;
/// How long a request is held whose caller names no deadline, in milliseconds.
const DEFAULT_DEADLINE: u64 = 30_000;

/// What every attempt of a request needs.
pub struct Job {
    /// What the head says.
    pub facts: RequestFacts,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers that the caller sent.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// What may be done with it.
    pub kind: RouteKind,
    /// Whose it is.
    pub workspace: Option<WorkspaceId>,
    /// When the caller gives up, if it says so.
    pub deadline: Option<Millis>,
    /// When the final answer must be out.
    pub limit: Millis,
    /// Within how many milliseconds an answer is on time.
    pub aim_ms: u64,
    /// The longest pause between events that is on time, in milliseconds.
    pub gap_aim_ms: u64,
}

/// Where a request goes, by the configuration.
struct Routed {
    service: ServiceName,
    /// The model, where the service runs one.
    model: Option<ModelName>,
    kind: RouteKind,
    workspace: Option<WorkspaceId>,
    priority: u8,
    timeout_ms: u64,
    aim_ms: u64,
    gap_aim_ms: u64,
    attempts: u32,
}

/// Answers a request.
pub async fn answer(core: Core, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = core.clock.now();
    let (head, body) = request.into_parts();
    let facts = headers::read_request(&head.headers);
    let id = facts.id.clone();
    let Some(catalog) = core.catalog() else {
        core.metrics.count_refusal(Code::NotReady);
        return refusal(id.as_deref(), Code::NotReady, NOT_READY_RETRY_AFTER);
    };
    let routed = match route(&catalog, &head.headers, &head.uri, &facts) {
        Ok(routed) => routed,
        Err((status, code)) => {
            core.metrics.count_refusal(code);
            return own_answer(status, id.as_deref(), code);
        }
    };
    let body = match Limited::new(body, catalog.limits.body_bytes).collect().await {
        Ok(body) => body,
        Err(error) => {
            let (status, code) = match error.downcast_ref::<LengthLimitError>() {
                Some(_) => (StatusCode::PAYLOAD_TOO_LARGE, Code::TooLarge),
                None => (StatusCode::BAD_REQUEST, Code::BadRequest),
            };
            core.metrics.count_refusal(code);
            return own_answer(status, id.as_deref(), code);
        }
    };
    let held = routed.timeout_ms.min(facts.deadline_ms.unwrap_or(DEFAULT_DEADLINE));
    let job = Job {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body: body.to_bytes(),
        kind: routed.kind,
        workspace: routed.workspace,
        deadline: facts.deadline_ms.map(|it| arrived.plus(it)),
        limit: arrived.plus(held),
        aim_ms: routed.aim_ms,
        gap_aim_ms: routed.gap_aim_ms,
        facts,
    };
    let ticket = core.announce(|key| Arrival {
        key,
        service: routed.service,
        kind: job.kind,
        priority: routed.priority,
        model: routed.model,
        prompt_tokens: job.facts.prompt_tokens,
        aim_ms: job.aim_ms,
        limit: job.limit,
        attempts: routed.attempts,
    });
    carry_out(core, Rc::new(job), ticket).await
}

/// Finds the route of a request and checks its key.
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
    let tenant = facts.key.as_deref().and_then(|key| catalog.tenant(key));
    if catalog.needs_keys() && tenant.is_none() && !route.open {
        return Err((StatusCode::UNAUTHORIZED, Code::Unauthorized));
    }
    // What a caller says of a model counts only where the service runs one.
    let engine = catalog.service(service).and_then(|it| it.engine.as_ref());
    let model = engine.map(|it| facts.model.clone().unwrap_or_else(|| it.model.clone()));
    Ok(Routed {
        service: service.clone(),
        model,
        kind: route.kind,
        workspace: tenant.map(|it| it.name.clone()),
        // The rank of a tenant goes before that of the route.
        priority: tenant.map_or(0, |it| it.priority) * 10 + route.priority.min(9),
        timeout_ms: route.timeout_ms,
        aim_ms: route.aim_ms,
        gap_aim_ms: route.gap_aim_ms,
        attempts: route.attempts,
    })
}

/// Makes attempts as the reducer says, until one of them answers or none is left.
async fn carry_out(core: Core, job: Rc<Job>, ticket: Ticket) -> Response<AnswerBody> {
    let mut held = None;
    let mut sent = false;
    let id = job.facts.id.clone();
    loop {
        let Some(step) = before(&core, job.limit, ticket.next_step()).await.flatten() else {
            return out_of_time(&core, id.as_deref(), sent);
        };
        let target = match step {
            NextStep::Send(target) => target,
            NextStep::Refuse { code, retry_after_ms } => {
                core.metrics.count_refusal(code);
                return refusal(id.as_deref(), code, retry_after_ms);
            }
            NextStep::GiveUp(code) => {
                return held.unwrap_or_else(|| {
                    core.metrics.count_refusal(code);
                    own_answer(StatusCode::BAD_GATEWAY, id.as_deref(), code)
                });
            }
        };
        let attempt = Attempt { core: &core, job: &job, target: &target };
        let outcome = before(&core, job.limit, attempt.run(None, &mut sent)).await;
        match outcome {
            None => return out_of_time(&core, id.as_deref(), sent),
            Some(Outcome::Answer(answer)) => {
                return relay::answer(core, job, ticket, answer).await;
            }
            Some(Outcome::Failure { outcome, answer }) => {
                held = answer;
                core.feed(gateway::Event::Attempt(ticket.key, outcome));
            }
        }
    }
}

/// The final answer when the time that a request may be held is over.
fn out_of_time(core: &Core, id: Option<&str>, sent: bool) -> Response<AnswerBody> {
    core.metrics.count_refusal(Code::TimedOut);
    if sent {
        own_answer(StatusCode::GATEWAY_TIMEOUT, id, Code::TimedOut)
    } else {
        refusal(id, Code::TooLate, 0)
    }
}

/// Waits for a future until a moment of the process's clock.
pub async fn before<T>(
    core: &Core,
    limit: Millis,
    future: impl std::future::Future<Output = T>,
) -> Option<T> {
    let left = Duration::from_millis(limit.since(core.clock.now()).0);
    future::or(async { Some(future.await) }, async {
        Timer::after(left).await;
        None
    })
    .await
}
