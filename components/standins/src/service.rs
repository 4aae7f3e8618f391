//! A plain service that counts how often each request ran.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use async_io::Timer;
use async_trait::async_trait;
use http_types::{Request, Response, StatusCode};
use net::{json, Caller, Handler, Reply};
use serde::Serialize;

/// What the service answers.
#[derive(Serialize)]
struct Receipt {
    /// The digest of the body that was posted.
    body: String,
    /// How often this body has run, this time included.
    runs: u64,
}

/// The service. Bodies stand for requests: the tests post each body once.
pub struct Service {
    work: Duration,
    runs: Mutex<HashMap<String, u64>>,
    /// For how long it wants nothing more, while it turns everything away.
    sheds: Mutex<Option<Duration>>,
    turned_away: Mutex<Vec<Instant>>,
}

impl Service {
    /// A service whose requests take `work`.
    pub fn new(work: Duration) -> Self {
        Self {
            work,
            runs: Mutex::default(),
            sheds: Mutex::default(),
            turned_away: Mutex::default(),
        }
    }

    /// Makes it turn requests away and ask for so long a rest with each, or stop that.
    pub fn set_shedding(&self, rest: Option<Duration>) {
        *self.sheds.lock().expect("the lock is never poisoned") = rest;
    }

    /// When it turned requests away, oldest first.
    pub fn turned_away(&self) -> Vec<Instant> {
        self.turned_away.lock().expect("the lock is never poisoned").clone()
    }

    /// The answer to a request that is turned away, if it is.
    fn shed(&self) -> Option<Reply> {
        let rest = (*self.sheds.lock().expect("the lock is never poisoned"))?;
        self.turned_away.lock().expect("the lock is never poisoned").push(Instant::now());
        let mut answer = Response::new(StatusCode::ServiceUnavailable);
        answer.insert_header("retry-after", format!("{:.3}", rest.as_secs_f64()));
        Some(Reply::Answer(answer))
    }

    /// How often each body ran, by its digest.
    pub fn runs(&self) -> HashMap<String, u64> {
        self.runs.lock().expect("the lock is never poisoned").clone()
    }
}

#[async_trait]
impl Handler for Service {
    async fn handle(&self, mut request: Request, _caller: Caller) -> Reply {
        let Ok(body) = request.body_bytes().await else {
            return Reply::HangUp;
        };
        if let Some(answer) = self.shed() {
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
        Reply::Answer(json(200, &Receipt { body, runs }))
    }
}
