//! Client of the operator API.

use std::net::SocketAddr;
use std::time::Duration;

use errors::{Code, Error, Result};
use fleet::{Intent, ModelName, Plan, PlanId, PlanReply, Revision, RolloutStatus, Status};
use http_types::{Method, Request, Url};
use net::{read_body, send, Deadline, HttpResponse};
use serde::de::DeserializeOwned;
use serde::Deserialize;

/// Timeout of a call. An entry times out earlier and responds with an error.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of an entry's operator API, with the token that authorizes its calls.
#[derive(Clone)]
pub struct OperatorClient {
    address: SocketAddr,
    token: String,
}

/// The part of an error response that is read.
#[derive(Deserialize)]
struct ErrorResponse {
    error: ErrorBody,
}

#[derive(Deserialize)]
struct ErrorBody {
    code: u16,
    message: String,
}

impl OperatorClient {
    /// Creates a client for the operator API at an address.
    pub fn new(address: SocketAddr, token: &str) -> Self {
        Self { address, token: token.trim().to_owned() }
    }

    /// Declares an intent and returns the plan for it.
    pub async fn plan(&self, intent: &Intent) -> Result<Plan> {
        let body = serde_json::to_vec(intent)
            .map_err(|error| Error::new(Code::BadIntent, error.to_string()))?;
        match self.call(Method::Post, "/v1/plans", Some(body)).await? {
            PlanReply::Planned(plan) => Ok(*plan),
            PlanReply::Accepted(_) => Err(Error::new(
                Code::Internal,
                "the entry responded with an acceptance instead of a plan",
            )),
        }
    }

    /// Confirms a plan and returns the revision from which it is in force.
    pub async fn confirm(&self, plan: &PlanId) -> Result<Revision> {
        let path = format!("/v1/plans/{plan}/confirm");
        let result = self.call(Method::Post, &path, Some(Vec::new())).await;
        match result.map_err(unknown_outcome)? {
            PlanReply::Accepted(revision) => Ok(revision),
            PlanReply::Planned(_) => Err(Error::new(
                Code::Internal,
                "the entry responded with a plan instead of an acceptance",
            )),
        }
    }

    /// Returns the state of the fleet as the entry sees it.
    pub async fn status(&self) -> Result<Status> {
        self.call(Method::Get, "/v1/status", None).await
    }

    /// Returns the progress of a rollout.
    pub async fn rollout(&self, model: &ModelName) -> Result<RolloutStatus> {
        self.call(Method::Get, &format!("/v1/rollouts/{model}"), None).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<T> {
        let url = Url::parse(&format!("http://{}{path}", self.address))
            .map_err(|error| Error::new(Code::BadRequest, error.to_string()))?;
        let mut request = Request::new(method, url);
        request.insert_header("authorization", format!("Bearer {}", self.token));
        if let Some(body) = body {
            request.set_body(body);
        }
        let deadline = Deadline::after(CALL_TIMEOUT);
        let response = send(self.address, request, deadline).await?;
        let answer = read_body(response, MAX_RESPONSE_BYTES, deadline).await?;
        if answer.status != 200 {
            return Err(response_error(&answer));
        }
        serde_json::from_slice(&answer.body).map_err(|error| {
            Error::new(Code::MalformedAnswer, format!("cannot parse the response: {error}"))
        })
    }
}

/// Converts an error response of an entry.
fn response_error(answer: &HttpResponse) -> Error {
    let Ok(error_response) = serde_json::from_slice::<ErrorResponse>(&answer.body) else {
        return Error::new(
            Code::MalformedAnswer,
            format!("the entry responded with status {}", answer.status),
        );
    };
    let code = Code::from_number(error_response.error.code).unwrap_or(Code::Internal);
    Error::new(code, error_response.error.message)
}

/// Converts the error of a confirmation whose response did not arrive or is none: the plan may have been accepted.
fn unknown_outcome(error: Error) -> Error {
    match error.code {
        Code::ConnectionLost | Code::TimedOut | Code::CutShort | Code::MalformedAnswer => {
            Error::new(Code::OutcomeUnknown, error.detail)
        }
        _ => error,
    }
}

#[cfg(test)]
mod tests;
