//! Passes a call from an entry to the upstream and the answer back.

use std::sync::Arc;
use std::time::Duration;

use errors::{Code, Error, Result};
use externals::{UpstreamAnswer, UpstreamCall};
use fleet::{RequestId, VersionId};
use futures_lite::FutureExt;
use net::Deadline;
use reducer::{AgentEffect, AgentEvent};
use wire::{Call, Message};

use super::{Shared, Upstream};
use crate::doors::Door;

/// Asks the reducer, and passes the call on if it is admitted.
pub(super) async fn answer(
    shared: &Arc<Shared>,
    door: &mut Door,
    call: Call,
    body: Vec<u8>,
) -> Result<()> {
    let (ticket, verdict) = shared.wait_for_verdict();
    let arrived = shared.now();
    let request = Box::new(call.clone());
    shared.inbox.send(AgentEvent::CallArrived { call: ticket, arrived, request }).await;
    let Ok(effect) = verdict.recv().await else {
        return fail(shared, door, call.request, Code::Stopping).await;
    };
    match effect {
        AgentEffect::Admit { version, .. } => {
            // The place is given back however the exchange ends, also when this task is dropped.
            let place = Place { shared: shared.clone(), request: call.request };
            let result = pass(shared, door, &call, body, version).await;
            drop(place);
            result
        }
        AgentEffect::Refuse { code, retry_after_ms, load, .. } => {
            door.writer.send(&Message::Refused { code, retry_after_ms, load }).await
        }
        _ => fail(shared, door, call.request, Code::Internal).await,
    }
}

/// The place of an admitted request.
struct Place {
    shared: Arc<Shared>,
    request: RequestId,
}

impl Drop for Place {
    fn drop(&mut self) {
        let inbox = self.shared.inbox.clone();
        let request = self.request;
        let ended = async move { inbox.send(AgentEvent::CallEnded(request)).await };
        self.shared.surroundings.host.tasks.spawn(ended);
    }
}

/// Relays the answer. When the entry closes its connection, the upstream is told to stop.
async fn pass(
    shared: &Arc<Shared>,
    door: &mut Door,
    call: &Call,
    body: Vec<u8>,
    version: Option<VersionId>,
) -> Result<()> {
    let Door { reader, writer, .. } = door;
    let relay = async {
        let deadline = Deadline::after(Duration::from_millis(call.budget_ms));
        let result =
            deadline.limit(Code::TimedOut, relay(shared, writer, call, body, version)).await;
        let Err(error) = result else {
            return Ok(());
        };
        // What was sent to the upstream may have run there, unless nothing was sent at all.
        let load = shared.look(|agent| agent.load());
        let request = call.request;
        writer.send(&Message::AnswerFailed { request, code: error.code, load }).await?;
        if error.code == Code::TimedOut {
            cancel(shared, request).await;
        }
        Ok(())
    };
    let closed = async {
        // An entry sends nothing while it waits, so whatever comes ends the exchange.
        let _ = reader.read().await;
        cancel(shared, call.request).await;
        Err(Error::new(Code::ConnectionLost, "the entry went away"))
    };
    relay.or(closed).await
}

async fn relay(
    shared: &Arc<Shared>,
    writer: &mut wire::FrameWriter<async_net::TcpStream>,
    call: &Call,
    body: Vec<u8>,
    version: Option<VersionId>,
) -> Result<()> {
    let request = call.request;
    let mut answer = send_upstream(&shared.upstream, call, body).await?;
    // Before the answer is handed on, so that no call that follows it can miss this.
    let upstream_rests_ms = answer.rest_ms.unwrap_or(0);
    let answered = AgentEvent::UpstreamAnswered { request, rest_ms: upstream_rests_ms };
    shared.inbox.send(answered).await;
    let (status, content_type) = (answer.status, answer.content_type.clone());
    writer.send(&Message::AnswerHead { request, status, content_type, version }).await?;
    let mut bytes = 0;
    while let Some(part) = answer.body.next().await? {
        bytes += part.len() as u64;
        writer.send_with(&Message::AnswerPart { request }, &part).await?;
    }
    let load = shared.look(|agent| agent.load());
    writer.send(&Message::AnswerEnd { request, bytes, load }).await
}

async fn send_upstream(upstream: &Upstream, call: &Call, body: Vec<u8>) -> Result<UpstreamAnswer> {
    let call = UpstreamCall {
        request: call.request,
        method: call.method.clone(),
        path: call.path.clone(),
        content_type: call.content_type.clone(),
        body,
        priority: call.priority,
        budget_ms: call.budget_ms,
    };
    match upstream {
        Upstream::Engine(engine) => engine.call(call).await,
        Upstream::Service(_, service) => service.call(call).await,
    }
}

async fn cancel(shared: &Arc<Shared>, request: RequestId) {
    if let Upstream::Engine(engine) = &shared.upstream {
        if let Err(error) = engine.cancel(request).await {
            log::debug!(request:display = request; "cancel: {error}");
        }
    }
}

async fn fail(shared: &Arc<Shared>, door: &mut Door, request: RequestId, code: Code) -> Result<()> {
    let load = shared.look(|agent| agent.load());
    door.writer.send(&Message::AnswerFailed { request, code, load }).await
}
