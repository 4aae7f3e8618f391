//! The door of callers: reads a request, follows the reducer's commands, and answers.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use errors::{Code, Error, Result};
use fleet::{Millis, ModelName, RequestId, WorkspaceId};
use futures_lite::FutureExt;
use http_types::{Request, Response, StatusCode};
use net::{refuse, Caller, Handler, Reply};
use quarantine::RequestDigest;
use reducer::{Arrival, EntryEvent, SavedAnswer, Target};
use serde::Deserialize;
use settings::Kind;
use wire::Call;

use super::attempts::{self, Attempt, Parts};
use super::requests::Command;
use super::Shared;

/// The path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";
/// The priority of chat completions that no kind in the settings covers.
const CHAT_PRIORITY: u8 = 5;
/// The workspace of callers that name none.
const NO_WORKSPACE: &str = "default";
/// How much of a prompt decides where its cache may be, in bytes.
const PREFIX_BYTES: usize = 256;

/// The door.
pub(super) struct CallerDoor(pub(super) Arc<Shared>);

/// The part of a chat completion that decides where it goes.
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

/// A request that has been read whole.
struct Reading {
    arrival: Arrival,
    call: Call,
    body: Vec<u8>,
    kind: String,
}

#[async_trait]
impl Handler for CallerDoor {
    async fn handle(&self, mut request: Request, caller: Caller) -> Reply {
        let shared = &self.0;
        let id = shared.next_request();
        let reading = match read(shared, id, &mut request).await {
            Ok(reading) => reading,
            Err(error) => {
                shared.surroundings.host.metrics.count_refusal(error.code);
                return Reply::Answer(with_id(refuse(&error), id));
            }
        };
        let serving = async { Reply::Answer(with_id(serve(shared, reading).await, id)) };
        let leaving = async {
            caller.disconnected().await;
            shared.inbox.send(EntryEvent::CallerGone(id)).await;
            Reply::HangUp
        };
        let reply = serving.or(leaving).await;
        shared.requests.end(id);
        reply
    }
}

async fn read(shared: &Shared, id: RequestId, request: &mut Request) -> Result<Reading> {
    let path = request.url().path().to_owned();
    let kind = find_kind(&shared.kinds, &path);
    let body = request.body_bytes().await;
    let body = body.map_err(|error| Error::new(Code::BadRequest, error.to_string()))?;
    let budget = read_budget(shared, request)?;
    let key = header(request, "idempotency-key");
    let workspace = header(request, "x-workspace").unwrap_or_else(|| NO_WORKSPACE.to_owned());
    let workspace = WorkspaceId(workspace);
    let query = request.url().query().map(|query| format!("?{query}")).unwrap_or_default();
    let (target, prefix, stream) = match kind.and_then(|it| it.service.clone()) {
        Some(service) => (Target::Service(service), 0, false),
        None => read_completion(&path, &body)?,
    };
    let arrival = Arrival {
        request: id,
        digest: RequestDigest::of(
            request.method().as_ref(),
            &format!("{path}{query}"),
            Some(&workspace),
            &body,
        ),
        target: target.clone(),
        workspace,
        prefix,
        deadline: shared.now().plus(budget.as_millis() as u64),
        max_wait: kind.map_or(Kind::USUAL_WAIT_MS, |it| it.max_wait_ms),
        // A completion changes nothing, so it may run twice unless its kind says otherwise.
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
    Ok(Reading { arrival, call, body, kind })
}

/// The kind with the longest path that the request's path starts with.
fn find_kind<'a>(kinds: &'a [Kind], path: &str) -> Option<&'a Kind> {
    let matching = kinds.iter().filter(|kind| path.starts_with(&kind.path));
    matching.max_by_key(|kind| kind.path.len())
}

fn read_completion(path: &str, body: &[u8]) -> Result<(Target, u64, bool)> {
    if path != CHAT_PATH {
        return Err(Error::new(Code::UnknownTarget, format!("nothing answers {path}")));
    }
    let completion: Completion = serde_json::from_slice(body)
        .map_err(|error| Error::new(Code::BadRequest, format!("body: {error}")))?;
    let prompt: String = completion.messages.into_iter().map(|it| it.content).collect();
    let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let digest = blake3::hash(prefix);
    let prefix = u64::from_le_bytes(digest.as_bytes()[..8].try_into().expect("eight bytes"));
    Ok((Target::Model(completion.model), prefix, completion.stream))
}

fn read_budget(shared: &Shared, request: &Request) -> Result<Duration> {
    let Some(text) = header(request, "silverdock-deadline-ms") else {
        return Ok(shared.deadline);
    };
    let millis: u64 = text
        .parse()
        .map_err(|_| Error::new(Code::BadRequest, "silverdock-deadline-ms takes milliseconds"))?;
    Ok(Duration::from_millis(millis).min(shared.deadline))
}

fn header(request: &Request, name: &str) -> Option<String> {
    request.header(name).map(|values| values.last().to_string())
}

/// Follows the reducer's commands until the request is answered or refused.
async fn serve(shared: &Arc<Shared>, reading: Reading) -> Response {
    let Reading { arrival, mut call, body, kind } = reading;
    let request = arrival.request;
    let deadline = arrival.deadline;
    let commands = shared.requests.begin(request);
    shared.inbox.send(EntryEvent::Arrived(Box::new(arrival))).await;
    loop {
        let (attempt, address, budget_ms) = match commands.recv().await {
            Ok(Command::Send { attempt, address, budget_ms }) => (attempt, address, budget_ms),
            Ok(Command::Replay(answer)) => {
                count(shared, &kind, "replayed");
                return replay(*answer);
            }
            Ok(Command::Refuse(error)) => return end(shared, request, &kind, &error),
            Err(_) => {
                let error = Error::new(Code::Internal, "the request was lost");
                return end(shared, request, &kind, &error);
            }
        };
        call.budget_ms = budget_ms;
        let tried = Attempt { id: attempt, address, call: &call, body: &body, deadline };
        match attempts::run(shared, tried).await {
            Ok(Parts::Whole(response)) => {
                count(shared, &kind, "whole");
                return response;
            }
            Ok(Parts::Stream(response)) => {
                count(shared, &kind, "streamed");
                return response;
            }
            Err(failure) => {
                shared.inbox.send(EntryEvent::Failed { attempt, failure }).await;
            }
        }
    }
}

fn end(shared: &Shared, request: RequestId, kind: &str, error: &Error) -> Response {
    count(shared, kind, error.code.name());
    let code = error.code.number();
    log::info!(request:display, kind, code; "refused: {error}");
    refuse(error)
}

/// The answer that an earlier request got under the same key.
fn replay(answer: SavedAnswer) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::Ok);
    let mut response = Response::new(status);
    response.set_body(answer.body);
    response.insert_header("content-type", answer.content_type.as_str());
    response.insert_header("silverdock-replayed", "true");
    response
}

fn count(shared: &Shared, kind: &str, outcome: &str) {
    shared.surroundings.host.metrics.count_request(kind, outcome);
}

fn with_id(mut response: Response, id: RequestId) -> Response {
    response.insert_header("silverdock-request", id.to_string());
    response
}

/// The span until a deadline.
pub(super) fn remaining(shared: &Shared, deadline: Millis) -> Duration {
    shared.surroundings.clock.until(deadline)
}
