//! A stand-in for a plain service that counts how often it executed each request.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use async_io::Timer;
use async_trait::async_trait;
use http_types::{Request, Response, StatusCode};
use net::{json_response, Caller, Handler, Reply};
use serde::Serialize;

/// The response to a request.
#[derive(Serialize)]
struct Receipt {
    /// The digest of the request body.
    body: String,
    /// How often a request with this body was executed, including this time.
    runs: u64,
}

/// The service stand-in. It identifies requests by their body, since the tests use a different body for each request.
pub struct Service {
    work: Duration,
    runs: Mutex<HashMap<String, u64>>,
    /// While the service rejects all requests: the backoff that it asks callers for.
    shedding_backoff: Mutex<Option<Duration>>,
    rejected_at: Mutex<Vec<Instant>>,
}

impl Service {
    /// Creates a service that takes `work` to execute a request.
    pub fn new(work: Duration) -> Self {
        Self {
            work,
            runs: Mutex::default(),
            shedding_backoff: Mutex::default(),
            rejected_at: Mutex::default(),
        }
    }

    /// Starts or stops rejecting all requests. A rejection asks the caller for this backoff.
    pub fn set_shedding(&self, backoff: Option<Duration>) {
        *self.shedding_backoff.lock().expect("the lock is never poisoned") = backoff;
    }

    /// Returns the times at which requests were rejected, oldest first.
    pub fn rejected_at(&self) -> Vec<Instant> {
        self.rejected_at.lock().expect("the lock is never poisoned").clone()
    }

    /// Returns the response that rejects a request, if the service currently rejects requests.
    fn rejection(&self) -> Option<Reply> {
        let backoff = (*self.shedding_backoff.lock().expect("the lock is never poisoned"))?;
        self.rejected_at.lock().expect("the lock is never poisoned").push(Instant::now());
        let mut answer = Response::new(StatusCode::ServiceUnavailable);
        answer.insert_header("retry-after", format!("{:.3}", backoff.as_secs_f64()));
        Some(Reply::Answer(answer))
    }

    /// Returns how often each request was executed, by the digest of its body.
    pub fn runs(&self) -> HashMap<String, u64> {
        self.runs.lock().expect("the lock is never poisoned").clone()
    }
}

#[async_trait]
impl Handler for Service {
    async fn handle(&self, mut request: Request, _caller: Caller) -> Reply {
        let Ok(body) = request.body_bytes().await else {
            return Reply::CloseConnection;
        };
        if let Some(answer) = self.rejection() {
            return answer;
        }
        let body = blake3::hash(&body).to_hex().to_string();
        let runs = {
            let mut all = self.runs.lock().expect("the lock is never poisoned");
            let runs = all.entry(body.clone()).or_default();
            *runs += 1;
            *runs
        };
        Timer::after(self.work).await;
        Reply::Answer(json_response(200, &Receipt { body, runs }))
    }
}
