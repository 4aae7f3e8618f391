//! One attempt to run a request at one agent.

use std::net::SocketAddr;
use std::sync::Arc;

use errors::{Code, Error, Result};
use fleet::{Millis, VersionId};
use http_types::{Response, StatusCode};
use net::{stream_body, BodySender, Deadline};
use reducer::{AttemptId, EntryEvent, Failure, SavedAnswer};
use wire::{Call, Frame, Load, Message};

use super::callers::time_until;
use super::claims;
use super::Shared;
use crate::peers::Session;

/// The largest answer that is buffered before it is sent to the caller, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// The number of parts of a stream that are buffered while the caller reads more slowly.
const BUFFERED_PARTS: usize = 64;
/// The content type of streamed answers.
const STREAM_CONTENT_TYPE: &str = "text/event-stream";

/// The parameters of an attempt.
pub(super) struct Attempt<'a> {
    pub(super) id: AttemptId,
    pub(super) address: SocketAddr,
    pub(super) call: &'a Call,
    pub(super) body: &'a [u8],
    pub(super) deadline: Millis,
}

/// An answer to a caller.
pub(super) enum AttemptAnswer {
    /// The complete answer.
    Whole(Response),
    /// A stream whose first part has arrived. A task relays the rest.
    Stream(Response),
}

/// The head of an answer of an upstream.
struct AnswerHead {
    status: u16,
    content_type: String,
    version: Option<VersionId>,
}

/// Runs the attempt. The code of a failure tells whether the upstream may have run the request.
pub(super) async fn run(
    shared: &Arc<Shared>,
    attempt: Attempt<'_>,
) -> Result<AttemptAnswer, Failure> {
    let deadline = Deadline::after(time_until(shared, attempt.deadline));
    let exchange = async { Ok(exchange(shared, &attempt, deadline).await) };
    match deadline.run(Code::TimedOut, exchange).await {
        Ok(result) => result,
        Err(error) => Err(failure_of_error(&error)),
    }
}

async fn exchange(
    shared: &Arc<Shared>,
    attempt: &Attempt<'_>,
    deadline: Deadline,
) -> Result<AttemptAnswer, Failure> {
    let session = shared.context.peers.open(attempt.address).await;
    let mut session = session.map_err(|error| failure_of_error(&error))?;
    let call = Message::Call(attempt.call.clone());
    session
        .writer
        .send_with(&call, attempt.body)
        .await
        .map_err(|error| failure_of_error(&error))?;
    let head = read_head(&mut session, attempt).await?;
    if attempt.call.stream && head.content_type.starts_with(STREAM_CONTENT_TYPE) {
        return start_stream(shared, attempt, session, head, deadline).await;
    }
    let mut content = Vec::new();
    let load = loop {
        match next_part(&mut session, attempt.id, content.len() as u64).await? {
            Part::Data(bytes) => content.extend_from_slice(&bytes),
            Part::End(load) => break load,
        }
        if content.len() > MAX_ANSWER_BYTES {
            return Err(Failure { code: Code::UpstreamFailed, load: None, retry_after_ms: 0 });
        }
    };
    shared.context.peers.put_idle(session);
    shared.inbox.send(EntryEvent::AttemptCompleted { attempt: attempt.id, load }).await;
    if let Some(key) = attempt.call.idempotency_key.clone() {
        let answer = SavedAnswer {
            status: head.status,
            content_type: head.content_type.clone(),
            body: content.clone(),
        };
        let workspace = attempt.call.workspace.clone();
        let request = attempt.id.request;
        let save = claims::save(shared.clone(), request, workspace, key, answer);
        shared.context.services.tasks.spawn(save);
    }
    let mut response = response_with_head(&head);
    response.set_body(content);
    response.insert_header("content-type", head.content_type.as_str());
    Ok(AttemptAnswer::Whole(response))
}

/// Starts to relay a stream after its first part has arrived. Until then the request can be sent to another agent.
async fn start_stream(
    shared: &Arc<Shared>,
    attempt: &Attempt<'_>,
    mut session: Session,
    head: AnswerHead,
    deadline: Deadline,
) -> Result<AttemptAnswer, Failure> {
    let first = match next_part(&mut session, attempt.id, 0).await? {
        Part::Data(bytes) => bytes,
        Part::End(_) => {
            return Err(Failure { code: Code::CutShort, load: None, retry_after_ms: 0 })
        }
    };
    shared.inbox.send(EntryEvent::Started(attempt.id)).await;
    let (sender, body) = stream_body(BUFFERED_PARTS);
    let relay =
        StreamRelay { shared: shared.clone(), id: attempt.id, sender, session, relayed_bytes: 0 };
    shared.context.services.tasks.spawn(relay.run(first, deadline));
    let mut response = response_with_head(&head);
    response.set_body(body);
    response.insert_header("content-type", head.content_type.as_str());
    Ok(AttemptAnswer::Stream(response))
}

/// Relays the parts of a stream to the caller.
struct StreamRelay {
    shared: Arc<Shared>,
    id: AttemptId,
    sender: BodySender,
    session: Session,
    relayed_bytes: u64,
}

impl StreamRelay {
    async fn run(mut self, first: Vec<u8>, deadline: Deadline) {
        let relaying = async { Ok(self.relay_parts(first).await) };
        let result = deadline.run(Code::TimedOut, relaying).await;
        let result = result.unwrap_or_else(|error| Err(failure_of_error(&error)));
        let shared = self.shared.clone();
        match result {
            Ok(Some(load)) => {
                self.sender.finish();
                shared.context.peers.put_idle(self.session);
                shared.inbox.send(EntryEvent::AttemptCompleted { attempt: self.id, load }).await;
            }
            Ok(None) => {
                let request = self.id.request;
                shared.inbox.send(EntryEvent::CallerDisconnected(request)).await;
            }
            Err(failure) => {
                // The caller receives an event with the code, no `[DONE]`, and a body without its end.
                let error = Error::from(failure.code);
                self.sender.send(stream_error(&error)).await;
                shared.inbox.send(EntryEvent::Failed { attempt: self.id, failure }).await;
            }
        }
    }

    /// Relays parts until the end of the stream; `None` if the caller has disconnected.
    async fn relay_parts(&mut self, first: Vec<u8>) -> Result<Option<Load>, Failure> {
        let mut part = Part::Data(first);
        loop {
            match part {
                Part::End(load) => return Ok(Some(load)),
                Part::Data(bytes) => {
                    self.relayed_bytes += bytes.len() as u64;
                    if !self.sender.send(bytes).await {
                        return Ok(None);
                    }
                }
            }
            part = next_part(&mut self.session, self.id, self.relayed_bytes).await?;
        }
    }
}

/// A part of an answer.
enum Part {
    Data(Vec<u8>),
    End(Load),
}

async fn read_head(session: &mut Session, attempt: &Attempt<'_>) -> Result<AnswerHead, Failure> {
    let frame = session.reader.read_required().await.map_err(|error| failure_of_error(&error))?;
    match frame.message {
        Message::AnswerHead { request, status, content_type, version }
            if request == attempt.id.request =>
        {
            Ok(AnswerHead { status, content_type, version })
        }
        other => Err(failure_of_message(other)),
    }
}

/// Reads the next part of an answer. Checks that it belongs to the request and, at its end, that as many bytes arrived
/// as the agent sent.
async fn next_part(
    session: &mut Session,
    id: AttemptId,
    received_bytes: u64,
) -> Result<Part, Failure> {
    let Frame { message, payload } =
        session.reader.read_required().await.map_err(|error| failure_of_error(&error))?;
    match message {
        Message::AnswerPart { request } if request == id.request => Ok(Part::Data(payload)),
        Message::AnswerEnd { request, bytes, load }
            if request == id.request && bytes == received_bytes =>
        {
            Ok(Part::End(load))
        }
        Message::AnswerEnd { .. } => {
            Err(Failure { code: Code::CutShort, load: None, retry_after_ms: 0 })
        }
        other => Err(failure_of_message(other)),
    }
}

fn failure_of_message(message: Message) -> Failure {
    match message {
        Message::Refused { code, load, retry_after_ms } => {
            Failure { code, load: Some(load), retry_after_ms }
        }
        Message::AnswerFailed { code, load, .. } => {
            Failure { code, load: Some(load), retry_after_ms: 0 }
        }
        _ => Failure { code: Code::BadFrame, load: None, retry_after_ms: 0 },
    }
}

fn failure_of_error(error: &Error) -> Failure {
    Failure { code: error.code, load: None, retry_after_ms: 0 }
}

fn response_with_head(head: &AnswerHead) -> Response {
    let status = StatusCode::try_from(head.status).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    if let Some(version) = head.version {
        response.insert_header("silverdock-version", version.to_string());
    }
    response
}

/// The event that ends a failed stream.
fn stream_error(error: &Error) -> Vec<u8> {
    let body = serde_json::json!({
        "error": {
            "code": error.code.number(),
            "name": error.code.name(),
            "message": error.detail,
        }
    });
    format!("event: error\ndata: {body}\n\n").into_bytes()
}
