//! Answers to callers.

use std::pin::Pin;

use bytes::Bytes;
use errors::{Code, Error};
use http::header::{HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use platform::headers;

/// The body of an answer to a caller.
pub type AnswerBody = Pin<Box<dyn Body<Data = Bytes, Error = Error>>>;

/// A body that is complete in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// An answer that the gateway itself produces.
pub fn error_answer(status: StatusCode, request: Option<&str>, code: Code) -> Response<AnswerBody> {
    let text = format!("{{\"code\":{},\"reason\":\"{}\"}}\n", code.number(), code.name());
    let mut answer = Response::new(full_body(text));
    *answer.status_mut() = status;
    if let Some(id) = request {
        headers::set_request_id(answer.headers_mut(), id);
    }
    answer
}

/// The answer to a refused request that did not run and will not run.
pub fn refusal(request: Option<&str>, code: Code, retry_after_ms: u64) -> Response<AnswerBody> {
    let mut answer = error_answer(StatusCode::SERVICE_UNAVAILABLE, request, code);
    let seconds = format!("{:.3}", retry_after_ms as f64 / 1000.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}
