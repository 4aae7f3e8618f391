//! The HTTP handler for callers: parses a request, executes the commands of the reducer for it, and responds.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use errors::{Code, Error, Ran, Result};
use fleet::{Millis, ModelName, RequestId, WorkspaceId};
use futures_lite::FutureExt;
use http_types::{Request, Response, StatusCode};
use net::{error_response, Caller, Handler, Reply};
use quarantine::{SubjectDigest, Subjects};
use reducer::{Arrival, EntryEvent, SavedAnswer, Target};
use serde::Deserialize;
use settings::RequestKind;
use wire::Call;

use super::attempts::{self, Attempt, AttemptAnswer};
use super::requests::Command;
use super::Shared;

/// The path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";
/// The priority of chat completions if no kind in the settings matches their path.
const CHAT_PRIORITY: u8 = 5;
/// The workspace of requests without an `x-workspace` header.
const DEFAULT_WORKSPACE: &str = "default";
/// The length of the prompt prefix that is used to find an upstream with a matching cache, in bytes.
const PREFIX_BYTES: usize = 256;

/// The HTTP handler for callers.
pub(super) struct CallerHandler(pub(super) Arc<Shared>);

/// The fields of a chat completion request that are needed for routing.
#[derive(Deserialize)]
struct Completion {
    model: ModelName,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: String,
}

/// A request with its complete body.
struct ParsedRequest {
    arrival: Arrival,
    call: Call,
    body: Vec<u8>,
    kind: String,
}

#[async_trait]
impl Handler for CallerHandler {
    async fn handle(&self, mut request: Request, caller: Caller) -> Reply {
        let shared = &self.0;
        let id = shared.next_request();
        let parsed = match parse_request(shared, id, &mut request).await {
            Ok(parsed) => parsed,
            Err(error) => {
                shared.context.services.metrics.count_refusal(error.code);
                return Reply::Answer(with_request_id(error_response(&error), id));
            }
        };
        let serving = async { Reply::Answer(with_request_id(serve(shared, parsed).await, id)) };
        let disconnected = async {
            caller.disconnected().await;
            shared.inbox.send(EntryEvent::CallerDisconnected(id)).await;
            Reply::CloseConnection
        };
        let reply = serving.or(disconnected).await;
        shared.requests.remove(id);
        reply
    }
}

async fn parse_request(
    shared: &Shared,
    id: RequestId,
    request: &mut Request,
) -> Result<ParsedRequest> {
    let path = request.url().path().to_owned();
    let kind = find_kind(&shared.kinds, &path);
    let body = request.body_bytes().await;
    let body = body.map_err(|error| Error::new(Code::BadRequest, error.to_string()))?;
    let budget = read_budget(shared, request)?;
    let key = header(request, "idempotency-key");
    let workspace = header(request, "x-workspace").unwrap_or_else(|| DEFAULT_WORKSPACE.to_owned());
    let workspace = WorkspaceId(workspace);
    let query = request.url().query().map(|query| format!("?{query}")).unwrap_or_default();
    let Prompt { target, prefix, parts, stream } = match kind.and_then(|it| it.service.clone()) {
        Some(service) => Prompt::none(Target::Service(service)),
        None => read_completion(&path, &body)?,
    };
    let whole = SubjectDigest::of_request(
        request.method().as_ref(),
        &format!("{path}{query}"),
        Some(&workspace),
        &body,
    );
    let arrival = Arrival {
        request: id,
        subjects: Subjects::new(whole, parts),
        target: target.clone(),
        workspace,
        prefix,
        deadline: shared.now().plus(budget.as_millis() as u64),
        max_wait_ms: kind.map_or(RequestKind::DEFAULT_MAX_WAIT_MS, |it| it.max_wait_ms),
        // A completion has no side effects, so it may run twice unless its kind is configured otherwise.
        repeatable: kind.is_none_or(|it| it.repeatable),
        priority: kind.map_or(CHAT_PRIORITY, |it| it.priority),
        key,
    };
    let call = Call {
        request: id,
        model: match target {
            Target::Model(model) => Some(model),
            Target::Service(_) => None,
        },
        version: None,
        workspace: arrival.workspace.clone(),
        method: request.method().to_string(),
        path: format!("{path}{query}"),
        content_type: header(request, "content-type").unwrap_or_default(),
        budget_ms: 0,
        priority: arrival.priority,
        idempotency_key: arrival.key.clone(),
        stream,
    };
    let kind = kind.map_or_else(|| "chat".to_owned(), |it| it.name.clone());
    Ok(ParsedRequest { arrival, call, body, kind })
}

/// The kind whose path is the longest prefix of the path of the request.
fn find_kind<'a>(kinds: &'a [RequestKind], path: &str) -> Option<&'a RequestKind> {
    let matching = kinds.iter().filter(|kind| path.starts_with(&kind.path));
    matching.max_by_key(|kind| kind.path.len())
}

/// What a request addresses, and what its prompt consists of.
struct Prompt {
    target: Target,
    /// A hash of its start.
    prefix: u64,
    /// All messages but the last one, which is the request's own.
    parts: Vec<SubjectDigest>,
    /// Whether the answer is a stream.
    stream: bool,
}

impl Prompt {
    fn none(target: Target) -> Self {
        Self { target, prefix: 0, parts: Vec::new(), stream: false }
    }
}

fn read_completion(path: &str, body: &[u8]) -> Result<Prompt> {
    if path != CHAT_PATH {
        return Err(Error::new(
            Code::UnknownTarget,
            format!("no model or service handles the path {path}"),
        ));
    }
    let completion: Completion = serde_json::from_slice(body).map_err(|error| {
        Error::new(Code::BadRequest, format!("cannot parse the request body: {error}"))
    })?;
    let shared = completion.messages.split_last().map_or(&[][..], |(_, shared)| shared);
    let parts = shared.iter().map(|it| SubjectDigest::of_part(&it.content)).collect();
    let prompt: String = completion.messages.into_iter().map(|it| it.content).collect();
    let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let digest = blake3::hash(prefix);
    let prefix = u64::from_le_bytes(digest.as_bytes()[..8].try_into().expect("eight bytes"));
    let target = Target::Model(completion.model);
    Ok(Prompt { target, prefix, parts, stream: completion.stream })
}

fn read_budget(shared: &Shared, request: &Request) -> Result<Duration> {
    let Some(text) = header(request, "silverdock-deadline-ms") else {
        return Ok(shared.request_timeout);
    };
    let millis: u64 = text.parse().map_err(|_| {
        Error::new(
            Code::BadRequest,
            "the header silverdock-deadline-ms must be a whole number of milliseconds",
        )
    })?;
    Ok(Duration::from_millis(millis).min(shared.request_timeout))
}

fn header(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(|values| values.last().to_string())
}

/// Answers or refuses a request, before the process ends.
async fn serve(shared: &Arc<Shared>, parsed: ParsedRequest) -> Response {
    let (request, kind) = (parsed.arrival.request, parsed.kind.clone());
    let may_have_run = AtomicBool::new(false);
    let ended = async {
        let _ = shared.requests_end.recv().await;
        let code =
            if may_have_run.load(Ordering::Relaxed) { Code::TimedOut } else { Code::Stopping };
        let error = Error::new(code, "the process is stopping");
        let response = refuse_request(shared, request, &kind, &error);
        shared.inbox.send(EntryEvent::CallerDisconnected(request)).await;
        response
    };
    run_commands(shared, parsed, &may_have_run).or(ended).await
}

/// Executes the commands of the reducer until the request is answered or refused. `may_have_run` is set while an
/// upstream may run the request or may have run it.
async fn run_commands(
    shared: &Arc<Shared>,
    parsed: ParsedRequest,
    may_have_run: &AtomicBool,
) -> Response {
    let ParsedRequest { arrival, mut call, body, kind } = parsed;
    let request = arrival.request;
    let deadline = arrival.deadline;
    let commands = shared.requests.register(request);
    shared.inbox.send(EntryEvent::Arrived(Box::new(arrival))).await;
    loop {
        let (attempt, address, budget_ms) = match commands.recv().await {
            Ok(Command::Send { attempt, address, budget_ms }) => (attempt, address, budget_ms),
            Ok(Command::Replay(answer)) => {
                count_outcome(shared, &kind, "replayed");
                return replay_answer(*answer);
            }
            Ok(Command::Refuse(error)) => return refuse_request(shared, request, &kind, &error),
            Err(_) => {
                let error =
                    Error::new(Code::Internal, "the request was dropped before it was answered");
                return refuse_request(shared, request, &kind, &error);
            }
        };
        call.budget_ms = budget_ms;
        let has_run = may_have_run.swap(true, Ordering::Relaxed);
        let current = Attempt { id: attempt, address, call: &call, body: &body, deadline };
        match attempts::run(shared, current).await {
            Ok(AttemptAnswer::Whole(response)) => {
                count_outcome(shared, &kind, "whole");
                return response;
            }
            Ok(AttemptAnswer::Stream(response)) => {
                count_outcome(shared, &kind, "streamed");
                return response;
            }
            Err(failure) => {
                let ran = has_run || failure.code.ran() != Ran::NotRun;
                may_have_run.store(ran, Ordering::Relaxed);
                shared.inbox.send(EntryEvent::Failed { attempt, failure }).await;
            }
        }
    }
}

fn refuse_request(shared: &Shared, request: RequestId, kind: &str, error: &Error) -> Response {
    count_outcome(shared, kind, error.code.name());
    let code = error.code.number();
    log::info!(request:display, kind, code; "request refused: {error}");
    error_response(error)
}

/// The response for a request whose idempotency key was answered before.
fn replay_answer(answer: SavedAnswer) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::Ok);
    let mut response = Response::new(status);
    response.set_body(answer.body);
    response.insert_header("content-type", answer.content_type.as_str());
    response.insert_header("silverdock-replayed", "true");
    response
}

fn count_outcome(shared: &Shared, kind: &str, outcome: &str) {
    shared.context.services.metrics.count_request(kind, outcome);
}

fn with_request_id(mut response: Response, id: RequestId) -> Response {
    response.insert_header("silverdock-request", id.to_string());
    response
}

/// The duration from now until a deadline.
pub(super) fn time_until(shared: &Shared, deadline: Millis) -> Duration {
    shared.context.clock.time_until(deadline)
}
