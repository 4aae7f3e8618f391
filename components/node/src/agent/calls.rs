//! Forwards a call from an entry to the upstream and relays the answer.

use std::sync::Arc;
use std::time::Duration;

use errors::{Code, Error, Result};
use externals::{UpstreamCall, UpstreamResponse};
use fleet::{RequestId, VersionId};
use futures_lite::FutureExt;
use net::Deadline;
use reducer::{AgentEffect, AgentEvent};
use wire::{Call, Message};

use super::{Shared, Upstream};
use crate::inbound::InboundSession;

/// Submits a call to the reducer, and forwards it to the upstream if the reducer admits it.
pub(super) async fn handle_call(
    shared: &Arc<Shared>,
    session: &mut InboundSession,
    call: Call,
    body: Vec<u8>,
) -> Result<()> {
    let (ticket, decision) = shared.register_waiter();
    let arrived = shared.now();
    let request = Box::new(call.clone());
    shared.inbox.send(AgentEvent::CallArrived { call: ticket, arrived, request }).await;
    let Ok(effect) = decision.recv().await else {
        return send_failure(shared, session, call.request, Code::Stopping).await;
    };
    match effect {
        AgentEffect::Admit { version, .. } => {
            // Dropping the guard releases the slot of the call, also if this task is cancelled.
            let admitted = AdmittedRequest { shared: shared.clone(), request: call.request };
            let result = relay_until_closed(shared, session, &call, body, version).await;
            drop(admitted);
            result
        }
        AgentEffect::Refuse { code, retry_after_ms, load, .. } => {
            session.writer.send(&Message::Refused { code, retry_after_ms, load }).await
        }
        _ => send_failure(shared, session, call.request, Code::Internal).await,
    }
}

/// Reports the end of an admitted request to the reducer when dropped.
struct AdmittedRequest {
    shared: Arc<Shared>,
    request: RequestId,
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        let inbox = self.shared.inbox.clone();
        let request = self.request;
        let ended = async move { inbox.send(AgentEvent::CallEnded(request)).await };
        self.shared.context.services.tasks.spawn(ended);
    }
}

/// Relays the answer. If the entry closes its connection, the request is cancelled at the upstream.
async fn relay_until_closed(
    shared: &Arc<Shared>,
    session: &mut InboundSession,
    call: &Call,
    body: Vec<u8>,
    version: Option<VersionId>,
) -> Result<()> {
    let InboundSession { reader, writer, .. } = session;
    let relay = async {
        let deadline = Deadline::after(Duration::from_millis(call.budget_ms));
        let result = deadline.run(Code::TimedOut, relay(shared, writer, call, body, version)).await;
        let Err(error) = result else {
            return Ok(());
        };
        // The upstream may have run the request if it was sent at all, which the code tells the entry.
        let load = shared.with_agent(|agent| agent.load());
        let request = call.request;
        let code = failure_code(shared, &error);
        writer.send(&Message::AnswerFailed { request, code, load }).await?;
        if error.code == Code::TimedOut {
            cancel(shared, request).await;
        }
        Ok(())
    };
    let closed = async {
        // An entry sends nothing while it waits for an answer, so any frame or the end of the session ends the call.
        let _ = reader.read().await;
        cancel(shared, call.request).await;
        Err(Error::new(Code::ConnectionLost, "the entry closed the connection"))
    };
    relay.or(closed).await
}

/// The code that entries receive for a failure. Earlier builds can't decode `MalformedAnswer`.
fn failure_code(shared: &Shared, error: &Error) -> Code {
    if error.code != Code::MalformedAnswer {
        return error.code;
    }
    log::warn!("the upstream sent bytes that are no answer: {}", error.detail);
    shared.context.services.metrics.count_malformed_answer("answer", "framing");
    Code::UpstreamFailed
}

async fn relay(
    shared: &Arc<Shared>,
    writer: &mut wire::FrameWriter<async_net::TcpStream>,
    call: &Call,
    body: Vec<u8>,
    version: Option<VersionId>,
) -> Result<()> {
    let request = call.request;
    let mut answer = call_upstream(&shared.upstream, call, body).await?;
    // The reducer is informed before the answer is relayed, so that it takes the backoff into account for every call that
    // the entry sends after the answer.
    let upstream_backoff_ms = answer.retry_after_ms.unwrap_or(0);
    let answered = AgentEvent::UpstreamAnswered { request, backoff_ms: upstream_backoff_ms };
    shared.inbox.send(answered).await;
    let (status, content_type) = (answer.status, answer.content_type.clone());
    writer.send(&Message::AnswerHead { request, status, content_type, version }).await?;
    let mut bytes = 0;
    while let Some(part) = answer.body.next().await? {
        bytes += part.len() as u64;
        writer.send_with(&Message::AnswerPart { request }, &part).await?;
    }
    let load = shared.with_agent(|agent| agent.load());
    writer.send(&Message::AnswerEnd { request, bytes, load }).await
}

async fn call_upstream(
    upstream: &Upstream,
    call: &Call,
    body: Vec<u8>,
) -> Result<UpstreamResponse> {
    let call = UpstreamCall {
        request: call.request,
        method: call.method.clone(),
        path: call.path.clone(),
        content_type: call.content_type.clone(),
        body,
        priority: call.priority,
        time_left_ms: call.budget_ms,
    };
    match upstream {
        Upstream::Engine(engine) => engine.call(call).await,
        Upstream::Service(_, service) => service.call(call).await,
    }
}

async fn cancel(shared: &Arc<Shared>, request: RequestId) {
    if let Upstream::Engine(engine) = &shared.upstream {
        if let Err(error) = engine.cancel(request).await {
            log::debug!(request:display = request; "cannot cancel the request at the engine: {error}");
        }
    }
}

async fn send_failure(
    shared: &Arc<Shared>,
    session: &mut InboundSession,
    request: RequestId,
    code: Code,
) -> Result<()> {
    let load = shared.with_agent(|agent| agent.load());
    session.writer.send(&Message::AnswerFailed { request, code, load }).await
}
