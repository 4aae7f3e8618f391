//! One try of a request at one agent.

use std::net::SocketAddr;
use std::sync::Arc;

use errors::{Code, Error, Result};
use fleet::{Millis, VersionId};
use http_types::{Response, StatusCode};
use net::{stream_body, BodySender, Deadline};
use reducer::{AttemptId, EntryEvent, Failure, SavedAnswer};
use wire::{Call, Frame, Load, Message};

use super::callers::remaining;
use super::claims;
use super::Shared;
use crate::peers::Session;

/// The largest answer that is collected before it is passed on, in bytes.
const ANSWER_BYTES: usize = 16 << 20;
/// Parts of a stream that wait for a slow caller.
const PARTS_AHEAD: usize = 64;
/// The type of streamed answers.
const STREAM_TYPE: &str = "text/event-stream";

/// What a try needs.
pub(super) struct Attempt<'a> {
    pub(super) id: AttemptId,
    pub(super) address: SocketAddr,
    pub(super) call: &'a Call,
    pub(super) body: &'a [u8],
    pub(super) deadline: Millis,
}

/// An answer to a caller.
pub(super) enum Parts {
    /// It is whole.
    Whole(Response),
    /// Its first part is here; the rest follows while it is read.
    Stream(Response),
}

/// The head of an upstream's answer.
struct Head {
    status: u16,
    content_type: String,
    version: Option<VersionId>,
}

/// Makes the try. A failure says whether the upstream may have run the request.
pub(super) async fn run(shared: &Arc<Shared>, attempt: Attempt<'_>) -> Result<Parts, Failure> {
    let deadline = Deadline::after(remaining(shared, attempt.deadline));
    let exchange = async { Ok(exchange(shared, &attempt, deadline).await) };
    match deadline.limit(Code::TimedOut, exchange).await {
        Ok(result) => result,
        Err(error) => Err(failure(&error)),
    }
}

async fn exchange(
    shared: &Arc<Shared>,
    attempt: &Attempt<'_>,
    deadline: Deadline,
) -> Result<Parts, Failure> {
    let session = shared.surroundings.peers.open(attempt.address).await;
    let mut session = session.map_err(|error| failure(&error))?;
    let call = Message::Call(attempt.call.clone());
    session.writer.send_with(&call, attempt.body).await.map_err(|error| failure(&error))?;
    let head = read_head(&mut session, attempt).await?;
    if attempt.call.stream && head.content_type.starts_with(STREAM_TYPE) {
        return stream(shared, attempt, session, head, deadline).await;
    }
    let mut whole = Vec::new();
    let load = loop {
        match next_part(&mut session, attempt.id, whole.len() as u64).await? {
            Part::More(bytes) => whole.extend_from_slice(&bytes),
            Part::End(load) => break load,
        }
        if whole.len() > ANSWER_BYTES {
            return Err(Failure { code: Code::UpstreamFailed, load: None, retry_after_ms: 0 });
        }
    };
    shared.surroundings.peers.keep(session);
    shared.inbox.send(EntryEvent::Ended { attempt: attempt.id, load }).await;
    if let Some(key) = attempt.call.idempotency_key.clone() {
        let answer = SavedAnswer {
            status: head.status,
            content_type: head.content_type.clone(),
            body: whole.clone(),
        };
        let workspace = attempt.call.workspace.clone();
        let request = attempt.id.request;
        let saving = claims::save(shared.clone(), request, workspace, key, answer);
        shared.surroundings.host.tasks.spawn(saving);
    }
    let mut response = respond(&head);
    response.set_body(whole);
    response.insert_header("content-type", head.content_type.as_str());
    Ok(Parts::Whole(response))
}

/// Passes a stream on. Until its first part is here the request can still be tried elsewhere.
async fn stream(
    shared: &Arc<Shared>,
    attempt: &Attempt<'_>,
    mut session: Session,
    head: Head,
    deadline: Deadline,
) -> Result<Parts, Failure> {
    let first = match next_part(&mut session, attempt.id, 0).await? {
        Part::More(bytes) => bytes,
        Part::End(_) => {
            return Err(Failure { code: Code::CutShort, load: None, retry_after_ms: 0 })
        }
    };
    shared.inbox.send(EntryEvent::Started(attempt.id)).await;
    let (sender, body) = stream_body(PARTS_AHEAD);
    let pump = Pump { shared: shared.clone(), id: attempt.id, sender, session, passed: 0 };
    shared.surroundings.host.tasks.spawn(pump.run(first, deadline));
    let mut response = respond(&head);
    response.set_body(body);
    response.insert_header("content-type", head.content_type.as_str());
    Ok(Parts::Stream(response))
}

/// Passes the parts of a stream on.
struct Pump {
    shared: Arc<Shared>,
    id: AttemptId,
    sender: BodySender,
    session: Session,
    passed: u64,
}

impl Pump {
    async fn run(mut self, first: Vec<u8>, deadline: Deadline) {
        let passing = async { Ok(self.pass(first).await) };
        let result = deadline.limit(Code::TimedOut, passing).await;
        let result = result.unwrap_or_else(|error| Err(failure(&error)));
        let shared = self.shared.clone();
        match result {
            Ok(Some(load)) => {
                self.sender.finish();
                shared.surroundings.peers.keep(self.session);
                shared.inbox.send(EntryEvent::Ended { attempt: self.id, load }).await;
            }
            Ok(None) => {
                let request = self.id.request;
                shared.inbox.send(EntryEvent::CallerGone(request)).await;
            }
            Err(failure) => {
                // The caller sees the code, no `[DONE]`, and a body without its end.
                let error = Error::from(failure.code);
                self.sender.send(stream_error(&error)).await;
                shared.inbox.send(EntryEvent::Failed { attempt: self.id, failure }).await;
            }
        }
    }

    /// Passes parts on until the end; `None` when the caller is gone.
    async fn pass(&mut self, first: Vec<u8>) -> Result<Option<Load>, Failure> {
        let mut part = Part::More(first);
        loop {
            match part {
                Part::End(load) => return Ok(Some(load)),
                Part::More(bytes) => {
                    self.passed += bytes.len() as u64;
                    if !self.sender.send(bytes).await {
                        return Ok(None);
                    }
                }
            }
            part = next_part(&mut self.session, self.id, self.passed).await?;
        }
    }
}

/// A part of an answer.
enum Part {
    More(Vec<u8>),
    End(Load),
}

async fn read_head(session: &mut Session, attempt: &Attempt<'_>) -> Result<Head, Failure> {
    let frame = session.reader.expect().await.map_err(|error| failure(&error))?;
    match frame.message {
        Message::AnswerHead { request, status, content_type, version }
            if request == attempt.id.request =>
        {
            Ok(Head { status, content_type, version })
        }
        other => Err(refusal(other)),
    }
}

/// Reads the next part and checks that it belongs to the request and that the end comes after as
/// many bytes as the agent sent.
async fn next_part(session: &mut Session, id: AttemptId, passed: u64) -> Result<Part, Failure> {
    let Frame { message, payload } =
        session.reader.expect().await.map_err(|error| failure(&error))?;
    match message {
        Message::AnswerPart { request } if request == id.request => Ok(Part::More(payload)),
        Message::AnswerEnd { request, bytes, load } if request == id.request && bytes == passed => {
            Ok(Part::End(load))
        }
        Message::AnswerEnd { .. } => {
            Err(Failure { code: Code::CutShort, load: None, retry_after_ms: 0 })
        }
        other => Err(refusal(other)),
    }
}

fn refusal(message: Message) -> Failure {
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

fn failure(error: &Error) -> Failure {
    Failure { code: error.code, load: None, retry_after_ms: 0 }
}

fn respond(head: &Head) -> Response {
    let status = StatusCode::try_from(head.status).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    if let Some(version) = head.version {
        response.insert_header("silverdock-version", version.to_string());
    }
    response
}

/// The last event of a stream that failed.
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
