//! A model engine or a plain service over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use errors::{Code, Error, Result};
use fleet::{RequestId, UNREADABLE_REST_MS};
use http_types::{Method, Request, Response, StatusCode};
use net::{read_body, send, Deadline, HttpBody};

use crate::http_platform::build;
use crate::traits::{
    AnswerBody, EngineLoad, EngineOrder, ModelEngine, PlainService, UpstreamAnswer, UpstreamCall,
};

/// How long an engine may take to load weights.
const LOAD_TIME: Duration = Duration::from_secs(600);
/// How long a small call to an engine may take.
const SMALL_CALL: Duration = Duration::from_secs(3);
/// The largest answer to a small call, in bytes.
const SMALL_BODY: usize = 64 * 1024;

/// An upstream at an address beside the agent.
pub struct HttpUpstream(pub SocketAddr);

impl HttpUpstream {
    async fn pass(&self, call: UpstreamCall) -> Result<UpstreamAnswer> {
        let method = call.method.parse().map_err(|_| bad("the method is unknown"))?;
        let mut request: Request = build(self.0, method, &call.path)?;
        request.insert_header("content-type", call.content_type.as_str());
        request.insert_header("x-request-id", call.request.to_string());
        request.insert_header("x-priority", call.priority.to_string());
        request.set_body(call.body);
        request.insert_header("content-type", call.content_type.as_str());
        let deadline = Deadline::after(Duration::from_millis(call.budget_ms));
        let response = send(self.0, request, deadline).await?;
        let content_type = response.header("content-type");
        Ok(UpstreamAnswer {
            status: response.status().into(),
            rest_ms: rest_ms(&response),
            content_type: content_type.map(|it| it.last().to_string()).unwrap_or_default(),
            body: Box::new(HttpBody::new(response)),
        })
    }

    async fn small_call(&self, request: Request, time: Duration) -> Result<Vec<u8>> {
        let deadline = Deadline::after(time);
        let answer =
            read_body(send(self.0, request, deadline).await?, SMALL_BODY, deadline).await?;
        match answer.status {
            200..=299 => Ok(answer.body),
            409 => Err(Error::new(Code::OldEpoch, "the engine has seen a higher epoch")),
            status => Err(Error::new(Code::UpstreamFailed, format!("the engine said {status}"))),
        }
    }
}

#[async_trait]
impl ModelEngine for HttpUpstream {
    async fn order(&self, order: &EngineOrder) -> Result<()> {
        let mut request = build(self.0, Method::Post, "/orders")?;
        let body = serde_json::to_vec(order).map_err(|error| bad(&error.to_string()))?;
        request.set_body(body);
        self.small_call(request, LOAD_TIME).await.map(drop)
    }

    async fn call(&self, call: UpstreamCall) -> Result<UpstreamAnswer> {
        self.pass(call).await
    }

    async fn cancel(&self, request: RequestId) -> Result<()> {
        let request = build(self.0, Method::Delete, &format!("/requests/{request}"))?;
        self.small_call(request, SMALL_CALL).await.map(drop)
    }

    async fn load(&self) -> Result<EngineLoad> {
        let request = build(self.0, Method::Get, "/load")?;
        let body = self.small_call(request, SMALL_CALL).await?;
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
    async fn call(&self, call: UpstreamCall) -> Result<UpstreamAnswer> {
        self.pass(call).await
    }
}

/// How long an upstream that turned a call away wants to be left alone, in milliseconds. What can't be read is still a
/// request for rest.
fn rest_ms(response: &Response) -> Option<u64> {
    let text = response.header("retry-after")?.last().as_str();
    if response.status() != StatusCode::ServiceUnavailable {
        return None;
    }
    Some(fleet::rest_ms(text).unwrap_or_else(|| {
        log::warn!(text = text, taken_ms = UNREADABLE_REST_MS; "an upstream asks for a rest that can't be read");
        UNREADABLE_REST_MS
    }))
}

fn bad(detail: &str) -> Error {
    Error::new(Code::BadRequest, detail)
}
