//! HTTP client for a model engine or a plain service.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use errors::{Code, Error, Result};
use fleet::{RequestId, UNREADABLE_BACKOFF_MS};
use http_types::{Method, Request};
use net::{read_body, send, Answer, Deadline, HttpBody};

use crate::http_platform::build_request;
use crate::traits::{
    AnswerBody, EngineLoad, EngineOrder, ModelEngine, PlainService, UpstreamCall, UpstreamResponse,
};

/// Timeout of an order to an engine, which includes loading the weights.
const ORDER_TIMEOUT: Duration = Duration::from_secs(600);
/// Timeout of any other control call to an engine.
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of the response to a control call, in bytes.
const MAX_CONTROL_BODY_BYTES: usize = 64 * 1024;

/// The status of an upstream that takes no request at the moment.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Client of the upstream next to the agent.
pub struct HttpUpstream(pub SocketAddr);

impl HttpUpstream {
    async fn forward(&self, call: UpstreamCall) -> Result<UpstreamResponse> {
        let method = call.method.parse().map_err(|_| bad_request("invalid HTTP method"))?;
        let mut request: Request = build_request(self.0, method, &call.path)?;
        request.insert_header("content-type", call.content_type.as_str());
        request.insert_header("x-request-id", call.request.to_string());
        request.insert_header("x-priority", call.priority.to_string());
        request.set_body(call.body);
        request.insert_header("content-type", call.content_type.as_str());
        let deadline = Deadline::after(Duration::from_millis(call.time_left_ms));
        let answer = send(self.0, request, deadline).await?;
        Ok(UpstreamResponse {
            status: answer.status(),
            retry_after_ms: retry_after_ms(&answer),
            content_type: answer.header("content-type").unwrap_or_default().to_owned(),
            body: Box::new(answer.body),
        })
    }

    async fn control_call(&self, request: Request, timeout: Duration) -> Result<Vec<u8>> {
        let deadline = Deadline::after(timeout);
        let answer =
            read_body(send(self.0, request, deadline).await?, MAX_CONTROL_BODY_BYTES, deadline)
                .await?;
        match answer.status {
            200..=299 => Ok(answer.body),
            409 => Err(Error::new(Code::OldEpoch, "the engine has seen a higher epoch")),
            status => Err(Error::new(
                Code::UpstreamFailed,
                format!("the engine responded with status {status}"),
            )),
        }
    }
}

#[async_trait]
impl ModelEngine for HttpUpstream {
    async fn order(&self, order: &EngineOrder) -> Result<()> {
        let mut request = build_request(self.0, Method::Post, "/orders")?;
        let body = serde_json::to_vec(order).map_err(|error| bad_request(&error.to_string()))?;
        request.set_body(body);
        self.control_call(request, ORDER_TIMEOUT).await.map(drop)
    }

    async fn call(&self, call: UpstreamCall) -> Result<UpstreamResponse> {
        self.forward(call).await
    }

    async fn cancel(&self, request: RequestId) -> Result<()> {
        let request = build_request(self.0, Method::Delete, &format!("/requests/{request}"))?;
        self.control_call(request, CONTROL_CALL_TIMEOUT).await.map(drop)
    }

    async fn load(&self) -> Result<EngineLoad> {
        let request = build_request(self.0, Method::Get, "/load")?;
        let body = self.control_call(request, CONTROL_CALL_TIMEOUT).await?;
        serde_json::from_slice(&body)
            .map_err(|error| Error::new(Code::UpstreamFailed, error.to_string()))
    }
}

#[async_trait]
impl AnswerBody for HttpBody {
    async fn next(&mut self) -> Result<Option<Vec<u8>>> {
        HttpBody::next(self).await
    }
}

#[async_trait]
impl PlainService for HttpUpstream {
    async fn call(&self, call: UpstreamCall) -> Result<UpstreamResponse> {
        self.forward(call).await
    }
}

/// Returns the backoff that an upstream requests with a 503 response, in milliseconds. A `Retry-After` value that
/// cannot be parsed still requests a backoff, of `UNREADABLE_BACKOFF_MS`.
fn retry_after_ms(answer: &Answer) -> Option<u64> {
    let text = answer.header("retry-after")?;
    if answer.status() != SERVICE_UNAVAILABLE {
        return None;
    }
    Some(fleet::backoff_ms(text).unwrap_or_else(|| {
        log::warn!(text = text, taken_ms = UNREADABLE_BACKOFF_MS; "cannot parse the Retry-After header of an upstream; using the default pause");
        UNREADABLE_BACKOFF_MS
    }))
}

fn bad_request(detail: &str) -> Error {
    Error::new(Code::BadRequest, detail)
}
