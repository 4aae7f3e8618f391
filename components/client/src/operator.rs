//! The operators' calls.

use std::net::SocketAddr;
use std::time::Duration;

use errors::{Code, Error, Result};
use fleet::{Intent, ModelName, Plan, PlanId, PlanReply, Revision, RolloutStatus, Status};
use http_types::{Method, Request, Url};
use net::{read_body, send, Answer, Deadline};
use serde::de::DeserializeOwned;
use serde::Deserialize;

/// How long a call may take; an entry gives up earlier and says so.
const CALL_TIME: Duration = Duration::from_secs(40);
/// The largest answer, in bytes.
const ANSWER_BYTES: usize = 64 << 20;

/// An entry's operators' door and the token that opens it.
#[derive(Clone)]
pub struct Operator {
    address: SocketAddr,
    token: String,
}

/// The part of a refusal that is read here.
#[derive(Deserialize)]
struct Refusal {
    error: RefusalBody,
}

#[derive(Deserialize)]
struct RefusalBody {
    code: u16,
    message: String,
}

impl Operator {
    /// A door at an address.
    pub fn new(address: SocketAddr, token: &str) -> Self {
        Self { address, token: token.trim().to_owned() }
    }

    /// Declares an intent and gets the plan for it.
    pub async fn plan(&self, intent: &Intent) -> Result<Plan> {
        let body = serde_json::to_vec(intent)
            .map_err(|error| Error::new(Code::BadIntent, error.to_string()))?;
        match self.call(Method::Post, "/v1/plans", Some(body)).await? {
            PlanReply::Planned(plan) => Ok(*plan),
            PlanReply::Accepted(_) => Err(Error::new(Code::Internal, "not a plan")),
        }
    }

    /// Puts a plan in force.
    pub async fn confirm(&self, plan: &PlanId) -> Result<Revision> {
        let path = format!("/v1/plans/{plan}/confirm");
        let sent = self.call(Method::Post, &path, Some(Vec::new())).await;
        match sent.map_err(unsettled)? {
            PlanReply::Accepted(revision) => Ok(revision),
            PlanReply::Planned(_) => Err(Error::new(Code::Internal, "not an acceptance")),
        }
    }

    /// What the entry knows of the fleet.
    pub async fn status(&self) -> Result<Status> {
        self.call(Method::Get, "/v1/status", None).await
    }

    /// How far a rollout has come.
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
        let deadline = Deadline::after(CALL_TIME);
        let response = send(self.address, request, deadline).await?;
        let answer = read_body(response, ANSWER_BYTES, deadline).await?;
        if answer.status != 200 {
            return Err(refusal(&answer));
        }
        serde_json::from_slice(&answer.body)
            .map_err(|error| Error::new(Code::Internal, format!("answer: {error}")))
    }
}

/// The code that an entry answered with.
fn refusal(answer: &Answer) -> Error {
    let Ok(refusal) = serde_json::from_slice::<Refusal>(&answer.body) else {
        return Error::new(Code::Internal, format!("the entry answered {}", answer.status));
    };
    let code = Code::from_number(refusal.error.code).unwrap_or(Code::Internal);
    Error::new(code, refusal.error.message)
}

/// A confirmation whose answer did not arrive may have been accepted.
fn unsettled(error: Error) -> Error {
    match error.code {
        Code::ConnectionLost | Code::TimedOut | Code::CutShort => {
            Error::new(Code::OutcomeUnknown, error.detail)
        }
        _ => error,
    }
}
